"""Admission of queries: waits for a place or refuses at once."""

from __future__ import annotations

import asyncio

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.errors import OverloadedError
from filbertshelf.metrics import Metrics
from filbertshelf.settings import Settings
from filbertshelf.state.admission import AdmissionQueue, PendingRequest, Verdict

_REMEDY = "send the request again later, or with a longer deadline or more urgency"


class Admission:
    """Gives each admitted request a place until `release` is called."""

    def __init__(self, cfg: Settings, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics
        self._queue = AdmissionQueue(cfg.max_queries, cfg.max_queued, clock)
        self._futures: dict[str, asyncio.Future] = {}

    async def acquire(
        self, request_id: str, caller: str, urgency: int, deadline: float
    ) -> None:
        """Return when the request may run; the deadline is in monotonic seconds.

        Raises `OverloadedError` if the request is refused; it did not run.
        """
        decision = self._queue.offer(
            PendingRequest(request_id, caller, urgency, deadline)
        )
        if decision.displaced is not None:
            self._refuse(decision.displaced, "a more urgent request took its place")
        if decision.verdict is Verdict.ADMITTED:
            return
        if decision.verdict is Verdict.REFUSED:
            raise self._error(request_id, decision.reason)
        events.emit(
            events.REQUEST_QUEUED,
            request_id=request_id,
            caller=caller,
            reason=decision.reason,
        )
        await self._wait(request_id, deadline)

    async def _wait(self, request_id: str, deadline: float) -> None:
        fut = asyncio.get_running_loop().create_future()
        self._futures[request_id] = fut
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                await fut
        except TimeoutError as exc:
            self._abandon(request_id, fut)
            reason = "the deadline passed in the queue"
            raise self._error(request_id, reason) from exc
        except asyncio.CancelledError:
            self._abandon(request_id, fut)
            raise
        finally:
            self._futures.pop(request_id, None)

    def _abandon(self, request_id: str, fut: asyncio.Future) -> None:
        """Free the place of a request that stops waiting."""
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(0.0, False)
        else:
            self._queue.withdraw(request_id)

    def release(self, duration: float, whole: bool = True) -> None:
        """Free a place after `duration` seconds of work and start the next.

        `whole` is False if missing shards set the duration.
        """
        released = self._queue.finished(duration, whole)
        for waiting in released.start:
            self._resolve(waiting.request_id)
        for waiting in released.expired:
            self._refuse(waiting, "the deadline passed in the queue")

    def _resolve(self, request_id: str) -> None:
        fut = self._futures.get(request_id)
        if fut is not None and not fut.done():
            fut.set_result(None)
        else:
            # The request stopped waiting in the same instant.
            self.release(0.0, False)

    def _refuse(self, waiting: PendingRequest, reason: str) -> None:
        fut = self._futures.get(waiting.request_id)
        if fut is not None and not fut.done():
            fut.set_exception(self._error(waiting.request_id, reason))

    def _error(self, request_id: str, reason: str) -> OverloadedError:
        self._metrics.incr("admission.refused")
        return OverloadedError(f"request {request_id} was refused ({reason})", _REMEDY)

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return self._queue.queued

    @property
    def running(self) -> int:
        """Return the number of requests that hold a place."""
        return self._queue.running
