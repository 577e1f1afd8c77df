"""Slots, queue and interruption of the work at one target."""

from __future__ import annotations

import asyncio
import enum
from collections import deque

import attrs

from filbertshelf.clock import Clock


class WorkOutcome(enum.Enum):
    """How the wait for a slot or a piece of work ended."""

    DONE = "done"
    CANCELLED = "cancelled"
    TIMEOUT = "timeout"
    CRASHED = "crashed"
    OVERLOADED = "overloaded"


@attrs.define(eq=False)
class Work:
    """One request at the target, queued or running."""

    request_id: str
    fut: asyncio.Future
    """Resolves to the `WorkOutcome` of the current stage."""

    def end(self, ended: WorkOutcome) -> None:
        """End the current stage unless it has already ended."""
        if not self.fut.done():
            self.fut.set_result(ended)


class WorkSlots:
    """Runs up to `slots` pieces of work at once and queues up to `queue` more."""

    def __init__(self, slots: int, queue: int, clock: Clock):
        self._slots = slots
        self._queue_limit = queue
        self._clock = clock
        self._queue: deque[Work] = deque()
        self._works: dict[str, list[Work]] = {}
        self.running = 0

    @property
    def in_flight(self) -> int:
        """Return how many pieces of work run or wait."""
        return self.running + len(self._queue)

    def open(self, request_id: str) -> Work:
        """Register a piece of work, so that it can be interrupted."""
        work = Work(request_id, asyncio.get_running_loop().create_future())
        self._works.setdefault(request_id, []).append(work)
        return work

    def close(self, work: Work) -> None:
        """Forget a piece of work."""
        works = self._works[work.request_id]
        works.remove(work)
        if not works:
            del self._works[work.request_id]

    async def acquire(self, work: Work) -> WorkOutcome:
        """Wait for a slot; anything but `DONE` means that none is held."""
        if self.running < self._slots:
            self.running += 1
            return WorkOutcome.DONE
        if len(self._queue) >= self._queue_limit:
            return WorkOutcome.OVERLOADED
        self._queue.append(work)
        ended = await work.fut
        if ended is not WorkOutcome.DONE:
            self._queue.remove(work)
        return ended

    def release(self) -> None:
        """Give the slot to the first queued work that still waits."""
        waiting = next((work for work in self._queue if not work.fut.done()), None)
        if waiting is None:
            self.running -= 1
            return
        self._queue.remove(waiting)
        granted = waiting.fut
        # The next stage can be interrupted before the waiter has resumed.
        waiting.fut = asyncio.get_running_loop().create_future()
        granted.set_result(WorkOutcome.DONE)

    async def run(self, work: Work, seconds: float, limit: float) -> WorkOutcome:
        """Hold the slot for `seconds`, at most `limit`, unless interrupted."""
        timer = asyncio.create_task(self._clock.sleep(min(seconds, limit)))
        ended = WorkOutcome.DONE if seconds <= limit else WorkOutcome.TIMEOUT
        timer.add_done_callback(lambda _: work.end(ended))
        try:
            return await work.fut
        finally:
            timer.cancel()

    def cancel(self, request_id: str) -> bool:
        """Cancel the work with this request id; return whether there was any."""
        works = self._works.get(request_id, ())
        for work in works:
            work.end(WorkOutcome.CANCELLED)
        return bool(works)

    def crash(self) -> None:
        """End all work as crashed."""
        for works in self._works.values():
            for work in works:
                work.end(WorkOutcome.CRASHED)
