"""What the cases share: the fleet, the record and the exit code."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path

from gateways import HOST, Gateway, network_prefix
from leafs import Leaf
from store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_RUN_S = 115.0
ZONES = ("qld-south-a", "qld-south-b")
SERVICE = "kite41"
FIRST_VERSION = 17


class Record:
    """Writes lines with the seconds since the start of the run."""

    def __init__(self, path: Path):
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def line(self, text: str, at: float | None = None) -> None:
        """Write one line, by default with the current time."""
        seconds = (time.monotonic() if at is None else at) - self._started_at
        self._file.write(f"{seconds:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Fleet:
    """A store, the leafs of some services and some gateways."""

    def __init__(
        self,
        folder: Path,
        gateways: int,
        leafs: int,
        services: tuple[str, ...] = (SERVICE,),
        seed: int = 7,
    ):
        """Create the fleet with so many gateways, and leafs of each service."""
        prefix = network_prefix()
        rng = random.Random(seed)
        self.store = Store(f"{prefix}.250")
        names = [service for service in services for _ in range(leafs)]
        self.leafs = [
            Leaf(f"{prefix}.{200 + n}", ZONES[n % 2], name, self.store, rng)
            for n, name in enumerate(names)
        ]
        self._services = services
        self._prefix = prefix
        self._folder = folder
        self._count = gateways
        self.gateways: list[Gateway] = []

    @property
    def dead_seeds(self) -> list[str]:
        """Return control addresses at which nothing listens."""
        return [f"{self._prefix}.{240 + n}:8106" for n in range(3)]

    async def start(self, route: dict, seeds: list[str] | None = None) -> None:
        """Start all; without `seeds` the first three gateways are the seeds."""
        await self.store.start()
        for leaf in self.leafs:
            await leaf.start()
        self.publish(FIRST_VERSION, route)
        self.gateways = [
            Gateway(
                f"front-{n + 1}",
                f"{self._prefix}.{n + 1}",
                ZONES[n % 2],
                self.store.address,
                self._folder,
            )
            for n in range(self._count)
        ]
        for gateway in self.gateways:
            gateway.write_settings(seeds or self.live_seeds)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))

    def publish(self, version: int, route: dict) -> None:
        """Write a version of the configuration, whose ack is the return."""
        self.store.put("op/config", _config(version, route, self._services))

    async def move_store(self) -> Store:
        """Start the store at another address with all its content; return the old."""
        old = self.store
        self.store = old.copy(f"{self._prefix}.251")
        await self.store.start()
        for leaf in self.leafs:
            leaf.store = self.store
        return old

    @property
    def live_seeds(self) -> list[str]:
        """Return the control addresses of the first three gateways."""
        return [gateway.control_address for gateway in self.gateways[:3]]

    async def close(self) -> None:
        """End all processes and servers that were started."""
        for gateway in self.gateways:
            await gateway.kill()
        for leaf in self.leafs:
            await leaf.stop()
        await self.store.stop()


def _config(version: int, route: dict, services: tuple[str, ...]) -> dict:
    common = {
        "name": "checks",
        "host": HOST,
        "kind": "safe",
        "service": SERVICE,
        "timeoutMs": 5_000,
        "targetLatencyMs": 700,
        "priority": 1,
    }
    return {
        "version": version,
        "routes": [common | route],
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 244}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 10_000,
        },
    }


def new_request_id() -> str:
    """Return the id of one attempt of a caller."""
    return uuid.uuid4().hex[:16]


Play = Callable[[Path, Record, bool], Awaitable[bool]]
"""Plays a case with a folder for files, the record and whether trouble is made;
returns whether the rule held."""


def run_case(play: Play, case_folder: Path) -> int:
    """Play a case and return the exit code."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case_folder / "record.txt")
    record.line(f"start, trouble {'on' if trouble else 'off'}")
    try:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(_play_bounded(play, Path(folder), record, trouble))
    except (Exception, asyncio.CancelledError) as exc:
        record.line(f"the case could not run: {exc!r}")
        print(f"not run: {exc!r}", file=sys.stderr)
        return NOT_RUN
    finally:
        record.close()
    print("held" if held else "broken")
    return HELD if held else BROKEN


async def _play_bounded(
    play: Play, folder: Path, record: Record, trouble: bool
) -> bool:
    # A case that is told to stop still ends what it has started.
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(MAX_RUN_S):
        return await play(folder, record, trouble)
