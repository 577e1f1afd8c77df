"""Callers that send requests with unique markers and record the answers."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import aiohttp

from test.checker import FleetHistory
from test.fleet import SHARDS, Fleet

MARKERS = itertools.count()


class Callers:
    """Sends requests with unique markers and records the answers in a history."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.history = FleetHistory(SHARDS)

    async def query(self, instance: str, **fields: Any) -> Any:
        """Send one query and return the answer."""
        marker = f"q{next(MARKERS)}"
        body = {"order_by": "id", "marker": marker}
        _status, answer = await self.fleet.query(instance, query=body, **fields)
        self.history.record_answer("query", marker, answer)
        return answer

    async def book(self, instance: str, ticket: str, marker: str, **fields: Any) -> Any:
        """Send one booking and return the answer."""
        _status, answer = await self.fleet.book(
            instance, ticket, booking={"marker": marker}, **fields
        )
        self.history.record_answer("booking", marker, answer)
        return answer

    async def record_versions(self) -> None:
        """Record the versions in force on all in-process instances until cancelled."""
        while True:
            for name, instance in self.fleet.instances.items():
                self.history.record_version(name, instance.configuration.version)
            await asyncio.sleep(0.005)

    async def record_reported_revisions(self) -> None:
        """Record the revisions that reachable processes report, until cancelled."""
        while True:
            for name in (
                self.fleet.caller_addresses.keys() - self.fleet.instances.keys()
            ):
                try:
                    async with asyncio.timeout(0.2):
                        status = await self.fleet.status(name)
                except (aiohttp.ClientError, OSError):
                    continue
                self.history.record_version(name, status["configuration"]["revision"])
            await asyncio.sleep(0.1)

    async def check_history(self) -> None:
        """Wait until no target runs a request, then check the whole history."""
        targets = self.fleet.targets.values()
        await self.fleet.until(lambda: not any(t.in_flight for t in targets))
        runs = self.fleet.executions() + self.fleet.executions("book")
        assert self.history.violations(runs) == []
