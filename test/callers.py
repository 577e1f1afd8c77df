"""Callers that send marked requests to a fleet and record what they are told."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import aiohttp

from test.checker import Record
from test.fleet import SHARDS, Fleet

MARKERS = itertools.count()


class Callers:
    """Sends marked requests and records the answers."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.record = Record(SHARDS)

    async def query(self, instance: str, **fields: Any) -> Any:
        """Send one query and return the answer."""
        marker = f"q{next(MARKERS)}"
        body = {"order_by": "id", "marker": marker}
        _status, answer = await self.fleet.query(instance, query=body, **fields)
        self.record.note("query", marker, answer)
        return answer

    async def book(self, instance: str, ticket: str, marker: str, **fields: Any) -> Any:
        """Send one booking and return the answer."""
        _status, answer = await self.fleet.book(
            instance, ticket, booking={"marker": marker}, **fields
        )
        self.record.note("booking", marker, answer)
        return answer

    async def watch(self) -> None:
        """Record the versions in force on all in-process instances."""
        while True:
            for name, instance in self.fleet.instances.items():
                self.record.saw(name, instance.configuration.version)
            await asyncio.sleep(0.005)

    async def poll(self) -> None:
        """Record the revisions that processes report, while they can be reached."""
        while True:
            for name in self.fleet.entries.keys() - self.fleet.instances.keys():
                try:
                    async with asyncio.timeout(0.2):
                        status = await self.fleet.status(name)
                except (aiohttp.ClientError, OSError):
                    continue
                self.record.saw(name, status["configuration"]["revision"])
            await asyncio.sleep(0.1)

    async def check(self) -> None:
        """Check all that happened, once no target runs anything."""
        targets = self.fleet.targets.values()
        await self.fleet.until(lambda: not any(t.in_flight for t in targets))
        runs = self.fleet.executions() + self.fleet.executions("book")
        assert self.record.violations(runs) == []
