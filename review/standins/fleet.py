"""A small deployment: the store, leafs and gateways of one case."""

from __future__ import annotations

import asyncio
import os
import random
import shutil
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from standins.caller import HOST
from standins.gateway import GatewayProcess
from standins.leaf import Leaf
from standins.record import Record
from standins.store import Store

READY_WAIT_S = 20.0
SETTLE_S = 4.5
"""How long a fleet runs before a case starts: `stabilityWindowMs` and a little more."""

CASE_TIMEOUT_S = 114.0
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""The exit codes of a case."""

VERDICTS = {
    HELD: "the rule held",
    BROKEN: "the rule was broken",
    NOT_RUN: "the case couldn't run",
}


def route(name: str, kind: str, timeout_ms: int, **fields: object) -> dict:
    """Return a route of the configuration with the prefix /NAME/."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": 2,
        **fields,
    }


class Fleet:
    """Owns everything that a case starts; `close` ends all of it."""

    def __init__(self, record: Record):
        self.record = record
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.leafs: list[Leaf] = []
        self.gateways: list[GatewayProcess] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def start(
        self,
        leafs: list[Leaf],
        routes: list[dict],
        gateways: int,
        max_conns: int = 90,
        sizes: list[dict[str, float]] | None = None,
    ) -> bool:
        """Start all parts; return whether all gateways are ready.

        `sizes` has the processor shares and links of the first gateways, if they aren't
        like the others.
        """
        sizes = sizes or []
        self.leafs = leafs
        await self.store.start()
        for leaf in leafs:
            await leaf.start()
            self.store.put(f"servers/{leaf.id}", leaf.entry())
        names = sorted({leaf.service for leaf in leafs})
        self.publish(1, routes, names, max_conns)
        prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.gateways = [
            GatewayProcess(f"front-{n}", f"{prefix}.{n}", self.folder)
            for n in range(1, gateways + 1)
        ]
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for number, gateway in enumerate(self.gateways):
            size = sizes[number] if number < len(sizes) else {}
            gateway.write_settings(seeds, self.store.address, **size)
            await gateway.start()
        waits = [gateway.wait_ready(READY_WAIT_S) for gateway in self.gateways]
        if not all(await asyncio.gather(*waits)):
            self._report_start()
            return False
        await asyncio.sleep(SETTLE_S)
        return True

    def _report_start(self) -> None:
        """Report the gateways that have ended, with the last line of their logs."""
        for gateway in self.gateways:
            log = gateway.log_path.read_text(encoding="utf-8").splitlines()
            last = log[-1] if log else ""
            self.record.say(f"{gateway.name}: exit {gateway.exit_code}, {last}")

    def publish(
        self, version: int, routes: list[dict], services: list[str], max_conns: int = 90
    ) -> None:
        """Write a version of the configuration."""
        self.record.add(f"operator writes version {version}")
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": [
                    {"name": name, "healthPath": "/health", "maxConns": max_conns}
                    for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 5000,
                    "idleTimeoutMs": 30000,
                },
            },
        )

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for gateway in self.gateways:
            await gateway.end()
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(path: str, case: Callable[[Fleet], Awaitable[int]]) -> None:
    """Run a case, write `record.txt` beside the script at `path`, and exit."""
    record = Record(Path(path).resolve().parent / "record.txt")
    code = NOT_RUN
    # All processes are ended too if the script itself is told to end.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(_run(record, case))
    except KeyboardInterrupt:
        record.say("the script was told to end")
    except Exception:
        # An error of the script must not look like a broken rule.
        traceback.print_exc()
    record.say(VERDICTS[code])
    record.write()
    sys.exit(code)


async def _run(record: Record, case: Callable[[Fleet], Awaitable[int]]) -> int:
    fleet = Fleet(record)
    record.add(f"trouble: {fleet.trouble}")
    try:
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await case(fleet)
    except TimeoutError:
        record.say("the case took too long")
        return NOT_RUN
    finally:
        await fleet.close()
