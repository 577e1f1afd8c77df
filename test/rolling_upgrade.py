"""Checks of a fleet whose gateways are replaced one by one by another build."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from test.soak.callers import Caller
from test.soak.checks import find_violations, lost_during_maintenance
from test.soak.fleet import SoakFleet
from test.soak.gateways import GatewayProcess

CALLERS = 10
SETTLE_S = 4.0
"""How long the fleet serves before the first replacement and after the last one."""

READY_TIMEOUT_S = 20.0
KILL_WINDOW_S = 1.5
"""The time after a kill in which requests may get no answer, in seconds."""

LAST_ANSWERS_S = 3.5
"""The longest deadline of a caller and its wait for late answers, in seconds."""


def use_build(root: Path) -> None:
    """Make the processes that are started next import the build in a folder."""
    os.environ["PYTHONPATH"] = str(root)
    # Keeps Python from putting the working directory before the path.
    os.environ["PYTHONSAFEPATH"] = "1"


class BuildGateway(GatewayProcess):
    """A gateway of one build."""

    def __init__(self, build: Path, *args: Any):
        super().__init__(*args)
        self.build = build

    async def start(self) -> None:
        """Start the process with its build."""
        use_build(self.build)
        await super().start()


class RollingUpgrade:
    """Replaces the gateways of a fleet under load.

    In the middle a configuration is published, a target drains and a gateway is killed.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        gateways: Sequence[BuildGateway],
        known_violations: Sequence[str] = (),
    ):
        """Create for a fleet and its gateways.

        Violations that begin with `known_violations`, of an older build, are ignored.
        """
        self._fleet = fleet
        self._gateways = gateways
        self._known = tuple(known_violations)
        self._killed_at = 0.0

    async def run(self, build: Path) -> list[str]:
        """Replace all gateways and return one line for each violation."""
        fleet, history = self._fleet, self._fleet.history
        callers = [Caller(history, fleet.gateways, n) for n in range(CALLERS)]
        for caller in callers:
            fleet.spawn(caller.run())
        start = history.now()
        await asyncio.sleep(SETTLE_S)
        for number, gateway in enumerate(self._gateways):
            if number == len(self._gateways) // 2:
                await self._disturb()
            gateway.build = build
            await fleet.restart_gateway(gateway)
            await self._wait_until_ready()
        await asyncio.sleep(SETTLE_S)
        for caller in callers:
            caller.stop()
        end = history.now()
        await asyncio.sleep(LAST_ANSWERS_S)
        return self._violations(start, end)

    async def _disturb(self) -> None:
        fleet = self._fleet
        await fleet.publish_version()
        fleet.spawn(fleet.replace_target(fleet.targets[0]))
        self._killed_at = fleet.history.now()
        await fleet.kill_gateway(fleet.gateways[-1])
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all([await g.is_ready() for g in self._fleet.gateways]):
                await asyncio.sleep(0.2)

    def _violations(self, start: float, end: float) -> list[str]:
        history = self._fleet.history
        killed_at = self._killed_at
        violations = find_violations(history)
        # A caller of the killed gateway may have waited since before the kill.
        violations += lost_during_maintenance(history, start, killed_at - KILL_WINDOW_S)
        violations += lost_during_maintenance(history, killed_at + KILL_WINDOW_S, end)
        violations += [
            f"FAULT {gateway.name} {exit_}"
            for gateway in self._fleet.gateways
            for exit_ in gateway.unexpected_exits
        ]
        return [line for line in violations if not line.startswith(self._known)]
