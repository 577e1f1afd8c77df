"""Runs a service as a daemon until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import gc
import json
import signal
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from types import FrameType

import mode
import uvloop

from filbertshelf.errors import FilbertshelfError

# The container objects allocated between two collections of the youngest generation.
# A query allocates dozens for each sub-request, so the interpreter's default of 700
# would collect during every query.
GC_THRESHOLD_OBJECTS = 20_000


def run_daemon(
    make_service: Callable[[], mode.Service],
    ready_file: str,
    get_addresses: Callable[[mode.Service], Mapping[str, object]],
    reload: Callable[[mode.Service], None] | None = None,
) -> int:
    """Start the service that `make_service` returns, and return the exit code.

    It is 0 for a service that was told to stop, and `FilbertshelfError.exit_code` for
    one that an unexpected error has ended.

    The result of `get_addresses` is written to `ready_file` as JSON after the start,
    unless `ready_file` is empty. `reload` is called with the service on each SIGHUP.
    """
    return uvloop.run(_serve(make_service, ready_file, get_addresses, reload))


async def _serve(
    make_service: Callable[[], mode.Service],
    ready_file: str,
    get_addresses: Callable[[mode.Service], Mapping[str, object]],
    reload: Callable[[mode.Service], None] | None,
) -> int:
    service = make_service()
    stop_requested = asyncio.Event()
    actions = dict.fromkeys((signal.SIGTERM, signal.SIGINT), stop_requested.set)
    if reload is not None:
        actions[signal.SIGHUP] = lambda: reload(service)
    with _handled_signals(actions):
        await service.start()
        tune_garbage_collector()
        if ready_file:
            write_ready_file(Path(ready_file), get_addresses(service))
        service_ended = asyncio.create_task(service.wait_until_stopped())
        signalled = asyncio.create_task(stop_requested.wait())
        await asyncio.wait(
            {service_ended, signalled}, return_when=asyncio.FIRST_COMPLETED
        )
        await service.stop()
        for task in (service_ended, signalled):
            task.cancel()
    return FilbertshelfError.exit_code if service.crashed else 0


@contextlib.contextmanager
def _handled_signals(
    actions: Mapping[signal.Signals, Callable[[], object]],
) -> Iterator[None]:
    """Run the action of each signal in the event loop, and ignore the signals after.

    `loop.add_signal_handler` isn't used: a loop that closes restores the default
    action, which would end the process with an error until it has exited.
    """
    loop = asyncio.get_running_loop()
    for signum, action in actions.items():
        signal.signal(signum, functools.partial(_call_in_loop, loop, action))
    try:
        yield
    finally:
        for signum in actions:
            signal.signal(signum, signal.SIG_IGN)


def _call_in_loop(
    loop: asyncio.AbstractEventLoop,
    action: Callable[[], object],
    signum: int,
    frame: FrameType | None,
) -> None:
    loop.call_soon_threadsafe(action)


def tune_garbage_collector() -> None:
    """Collect garbage less often and exclude objects that live as long as the process.

    These are the objects that exist when the function is called. They aren't collected
    before: that takes a tenth of the time of a start and finds some hundred of them.
    """
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, *gc.get_threshold()[1:])


def write_ready_file(path: Path, addresses: Mapping[str, object]) -> None:
    """Write the addresses atomically, so that no reader sees an incomplete file."""
    partial = path.with_suffix(".partial")
    partial.write_text(json.dumps(addresses), encoding="utf-8")
    partial.replace(path)
