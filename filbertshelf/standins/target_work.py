"""Execution slots and the queue of one target stand-in."""

from __future__ import annotations

import asyncio
import enum
from collections import deque

import attrs

from filbertshelf.clock import Clock


class WorkOutcome(enum.Enum):
    """How the wait for a slot, or the execution of work, ended."""

    DONE = "done"
    CANCELLED = "cancelled"
    TIMEOUT = "timeout"
    CRASHED = "crashed"
    OVERLOADED = "overloaded"


@attrs.define(eq=False)
class Work:
    """The work of one request at the target, queued or running."""

    request_id: str
    fut: asyncio.Future
    """Result of the current stage (waiting or running), a `WorkOutcome`."""

    def end(self, outcome: WorkOutcome) -> None:
        """End the current stage if it hasn't ended yet."""
        if not self.fut.done():
            self.fut.set_result(outcome)


class WorkSlots:
    """Limits concurrent work to `slots` and queued work to `queue`."""

    def __init__(self, slots: int, queue: int, clock: Clock):
        self._slots = slots
        self._max_queued = queue
        self._clock = clock
        self._queue: deque[Work] = deque()
        self._work_by_request_id: dict[str, list[Work]] = {}
        self.running = 0

    @property
    def in_flight(self) -> int:
        """Return the amount of work that is running or queued."""
        return self.running + len(self._queue)

    def register(self, request_id: str) -> Work:
        """Return new work that `cancel` and `crash_all` can interrupt."""
        work = Work(request_id, asyncio.get_running_loop().create_future())
        self._work_by_request_id.setdefault(request_id, []).append(work)
        return work

    def unregister(self, work: Work) -> None:
        """Remove work that has ended."""
        request_work = self._work_by_request_id[work.request_id]
        request_work.remove(work)
        if not request_work:
            del self._work_by_request_id[work.request_id]

    async def acquire(self, work: Work) -> WorkOutcome:
        """Wait for a slot; the slot was acquired only if `DONE` is returned."""
        if self.running < self._slots:
            self.running += 1
            return WorkOutcome.DONE
        if len(self._queue) >= self._max_queued:
            return WorkOutcome.OVERLOADED
        self._queue.append(work)
        outcome = await work.fut
        if outcome is not WorkOutcome.DONE:
            self._queue.remove(work)
        return outcome

    def release(self) -> None:
        """Release a slot, or pass it to the first work that is still queued."""
        next_work = next((work for work in self._queue if not work.fut.done()), None)
        if next_work is None:
            self.running -= 1
            return
        self._queue.remove(next_work)
        granted_fut = next_work.fut
        # The running stage can be interrupted before the waiting task resumes, so it
        # has its own future from here on.
        next_work.fut = asyncio.get_running_loop().create_future()
        granted_fut.set_result(WorkOutcome.DONE)

    async def run(self, work: Work, seconds: float, limit: float) -> WorkOutcome:
        """Occupy the slot for `seconds`, at most `limit`, unless interrupted."""
        timer = asyncio.create_task(self._clock.sleep(min(seconds, limit)))
        outcome = WorkOutcome.DONE if seconds <= limit else WorkOutcome.TIMEOUT
        timer.add_done_callback(lambda _: work.end(outcome))
        try:
            return await work.fut
        finally:
            timer.cancel()

    def cancel(self, request_id: str) -> bool:
        """Cancel all work of this request; return whether there was any."""
        request_work = self._work_by_request_id.get(request_id, ())
        for work in request_work:
            work.end(WorkOutcome.CANCELLED)
        return bool(request_work)

    def crash_all(self) -> None:
        """End all queued and running work as crashed."""
        for request_work in self._work_by_request_id.values():
            for work in request_work:
                work.end(WorkOutcome.CRASHED)
