"""A request that one target answers."""

from __future__ import annotations

from collections.abc import Callable

from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutedResult,
    RoutingContext,
    Timer,
)
from filbertshelf.coordination.shard_call import (
    CLEANUP_S,
    ShardCall,
    refuse,
    slowest,
)
from filbertshelf.protocol.http_messages import Response, end_to_end_fields
from filbertshelf.state.routing import Repeat

_FRAMING = frozenset((b"content-length",))
_PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that say that the request has not run."""


class Forward:
    """Passes one request on to one target, and the answer back."""

    def __init__(
        self,
        tools: RoutingContext,
        job: RoutedRequest,
        service: str,
        done: Callable[[RoutedResult], None],
    ):
        self._tools = tools
        self._job = job
        self._done = done
        self._call = ShardCall(tools, job, service, self)
        self._ended = False
        self._timer: Timer | None = None
        self._deadline: Timer | None = None

    def start(self) -> None:
        """Send the request."""
        now = self._tools.clock.monotonic()
        self._deadline = self._tools.call_later(
            max(0.0, self._job.deadline - now), self._timed_out
        )
        delay = self._tools.hedge_timer(self._job.route).delay_s()
        self._timer = self._tools.call_later(delay, self._hedge)
        self._call.start(now)

    def caller_left(self) -> None:
        """End what nobody waits for; what may run once only goes on."""
        self._end()
        self._call.stop()
        if self._job.route.repeat is Repeat.IDEMPOTENT:
            self._tools.call_later(CLEANUP_S, self._call.cancel)

    # What the shard call tells.

    def answered(self, call: ShardCall) -> None:
        """Pass the answer back."""
        exchange = call.answer
        fields = tuple(end_to_end_fields(exchange.fields, _FRAMING))
        self._finish(
            Response(exchange.status, fields, exchange.response_body), "answered"
        )

    def failed(self, call: ShardCall) -> None:
        """Pass the target's failure back, or say truthfully whether any ran."""
        failure = call.failure
        if failure is not None and failure.status not in _PROMISES:
            fields = tuple(end_to_end_fields(failure.fields, _FRAMING))
            response = Response(failure.status, fields, failure.response_body)
            self._finish(response, "target failed")
        else:
            refused = refuse([call])
            self._finish(refused.response, refused.outcome)

    def resumed(self) -> None:
        """End the request if its time passed while the process did not run."""
        if not self._ended and self._tools.clock.monotonic() >= self._job.deadline:
            self._timed_out()

    # Timers and the end.

    def _hedge(self) -> None:
        self._timer = None
        if not self._ended:
            self._call.hedge(self._tools.clock.monotonic())

    def _timed_out(self) -> None:
        self._call.stop()
        refused = refuse([self._call], timed_out=True)
        self._finish(refused.response, refused.outcome)

    def _finish(self, response: Response, outcome: str) -> None:
        if self._ended:
            return
        self._end()
        call = self._call
        if call.running:
            left = max(0.0, self._job.deadline - self._tools.clock.monotonic())
            self._tools.call_later(left + CLEANUP_S, call.cancel)
        missing = () if call.answer else (f"{call.service}: {call.reason.value}",)
        extra = max(0, call.sends - 1)
        self._done(
            RoutedResult(response, outcome, call.sends, extra, missing, slowest([call]))
        )

    def _end(self) -> None:
        self._ended = True
        for timer in (self._timer, self._deadline):
            if timer is not None:
                timer.cancel()
