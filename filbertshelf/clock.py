"""Clocks, which are passed to all code that needs the time."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    counts_suspension: bool
    """Whether `monotonic` includes the time in which the machine was suspended."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start; the value never decreases."""

    async def sleep(self, seconds: float) -> None:
        """Return after `seconds` have passed."""


class SystemClock:
    """The clock of the machine."""

    counts_suspension = False

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return the system's monotonic clock in seconds."""
        return time.monotonic()

    async def sleep(self, seconds: float) -> None:
        """Return after `seconds` have passed."""
        await asyncio.sleep(seconds)


class BootClock(SystemClock):
    """The clock of a machine that may be suspended.

    `monotonic` includes the time in which the machine was suspended.
    """

    counts_suspension = True

    def monotonic(self) -> float:
        """Return the seconds since the machine booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock for tests that only moves when `advance` is called."""

    counts_suspension = False

    def __init__(self, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)):
        self._start = start
        self._elapsed = 0.0
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []
        self._order = itertools.count()

    def now(self) -> datetime:
        """Return the start time plus all advances."""
        return self._start + timedelta(seconds=self._elapsed)

    def monotonic(self) -> float:
        """Return the sum of all advances in seconds."""
        return self._elapsed

    async def sleep(self, seconds: float) -> None:
        """Return once the clock has been advanced by `seconds`."""
        fut = asyncio.get_running_loop().create_future()
        due = self._elapsed + seconds
        heapq.heappush(self._sleepers, (due, next(self._order), fut))
        await fut

    def advance(self, seconds: float) -> None:
        """Move the clock forward and wake the sleepers that are due."""
        self._elapsed += seconds
        while self._sleepers and self._sleepers[0][0] <= self._elapsed:
            fut = heapq.heappop(self._sleepers)[2]
            if not fut.done():
                fut.set_result(None)
