"""Runs a service as a daemon until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
from collections.abc import Callable, Mapping
from pathlib import Path

import mode
import uvloop

# Container objects between two collections of the youngest generation. A query makes
# dozens for each sub-request, so the interpreter's 700 collects during every query.
GC_OBJECTS = 20_000


def run_daemon(
    make: Callable[[], mode.Service],
    ready_file: str,
    addresses: Callable[[mode.Service], Mapping[str, object]],
    reload: Callable[[mode.Service], None] | None = None,
) -> int:
    """Start the service that `make` returns and return 0 once it has stopped.

    The bound addresses are written to `ready_file` as JSON when it has started.
    `reload` is called with the service for each SIGHUP.
    """
    return uvloop.run(_serve(make, ready_file, addresses, reload))


async def _serve(
    make: Callable[[], mode.Service],
    ready_file: str,
    addresses: Callable[[mode.Service], Mapping[str, object]],
    reload: Callable[[mode.Service], None] | None,
) -> int:
    service = make()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload, service)
    await service.start()
    tune_collector()
    if ready_file:
        write_ready_file(Path(ready_file), addresses(service))
    crashed = asyncio.create_task(service.wait_until_stopped())
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait({crashed, stopped}, return_when=asyncio.FIRST_COMPLETED)
    await service.stop()
    for task in (crashed, stopped):
        task.cancel()
    return 0


def tune_collector() -> None:
    """Collect garbage less often, and leave out what lives as long as the process."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_OBJECTS, *gc.get_threshold()[1:])


def write_ready_file(path: Path, addresses: Mapping[str, object]) -> None:
    """Write the addresses in one step, so that a reader never sees half of them."""
    partial = path.with_suffix(".partial")
    partial.write_text(json.dumps(addresses), encoding="utf-8")
    partial.replace(path)
