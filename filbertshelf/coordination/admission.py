"""Admission control of queries: admits, queues or refuses each request."""

from __future__ import annotations

import asyncio

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.errors import OverloadedError, StoppingError
from filbertshelf.metrics import Metrics
from filbertshelf.settings import Settings
from filbertshelf.state.admission import AdmissionQueue, PendingRequest, Verdict

_REMEDY = "send the request again later, or with a longer deadline or more urgency"


class Admission:
    """Holds a place for each admitted request until `release` is called."""

    def __init__(self, cfg: Settings, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics
        self._queue = AdmissionQueue(cfg.max_queries, cfg.max_queued, clock)
        self._futures: dict[str, asyncio.Future] = {}

    async def acquire(
        self, request_id: str, caller: str, urgency: int, deadline: float
    ) -> None:
        """Wait until the request may run.

        `deadline` is in seconds of the monotonic clock. Raises `OverloadedError` if
        the request is refused.
        """
        decision = self._queue.offer(
            PendingRequest(request_id, caller, urgency, deadline)
        )
        if decision.displaced is not None:
            self._refuse(decision.displaced, "a more urgent request took its place")
        if decision.verdict is Verdict.ADMITTED:
            return
        if decision.verdict is Verdict.REFUSED:
            raise self._overloaded_error(request_id, decision.reason)
        events.emit(
            events.REQUEST_QUEUED,
            request_id=request_id,
            caller=caller,
            reason=decision.reason,
        )
        await self._wait_in_queue(request_id, deadline)

    async def _wait_in_queue(self, request_id: str, deadline: float) -> None:
        fut = asyncio.get_running_loop().create_future()
        self._futures[request_id] = fut
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                await fut
        except TimeoutError as exc:
            self._stop_waiting(request_id, fut)
            reason = "the deadline passed in the queue"
            raise self._overloaded_error(request_id, reason) from exc
        except (asyncio.CancelledError, StoppingError):
            self._stop_waiting(request_id, fut)
            raise
        finally:
            self._futures.pop(request_id, None)

    def _stop_waiting(self, request_id: str, fut: asyncio.Future) -> None:
        """Withdraw a request that stops waiting, or free the place it already has."""
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.release(0.0, False)
        else:
            self._queue.withdraw(request_id)

    async def close(self) -> None:
        """Refuse all waiting requests, because the instance stops.

        Returns once they have stopped waiting.
        """
        waiting = list(self._futures.values())
        for fut in waiting:
            if not fut.done():
                fut.set_exception(
                    StoppingError(
                        "this instance stopped before the request could run",
                        "send the request to another instance",
                    )
                )
        # The requests wait for these futures too, and their tasks run first.
        await asyncio.gather(*waiting, return_exceptions=True)

    def release(self, duration: float, reflects_load: bool = True) -> None:
        """Free a place after `duration` seconds of work and start queued requests.

        `reflects_load` is False if missing shards determined the duration, which then
        is no measure of load.
        """
        released = self._queue.query_finished(duration, reflects_load)
        for request in released.start:
            self._start_request(request.request_id)
        for request in released.expired:
            self._refuse(request, "the deadline passed in the queue")

    def _start_request(self, request_id: str) -> None:
        fut = self._futures.get(request_id)
        if fut is not None and not fut.done():
            fut.set_result(None)
        else:
            # The request stopped waiting before its place was assigned.
            self.release(0.0, False)

    def _refuse(self, request: PendingRequest, reason: str) -> None:
        fut = self._futures.get(request.request_id)
        if fut is not None and not fut.done():
            fut.set_exception(self._overloaded_error(request.request_id, reason))

    def _overloaded_error(self, request_id: str, reason: str) -> OverloadedError:
        self._metrics.incr("admission.refused")
        return OverloadedError(f"request {request_id} was refused ({reason})", _REMEDY)

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return self._queue.queued

    @property
    def running(self) -> int:
        """Return the number of requests that are running."""
        return self._queue.running
