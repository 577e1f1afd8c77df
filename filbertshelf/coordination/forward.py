"""A request that one target answers."""

from __future__ import annotations

from collections.abc import Callable

from filbertshelf.coordination.routed import Ending, RoutedRequest, Timer, Tools
from filbertshelf.coordination.shard_call import ShardCall, slowest
from filbertshelf.protocol.dialect import refusal
from filbertshelf.protocol.heads import Response, end_to_end
from filbertshelf.state.routing import Repeat

NO_TARGET_RETRY_S = 0.5
"""When to come back if no target is there; a crashed one is back after seconds."""

BUSY_RETRY_S = 0.1
"""When to come back if all targets refused; a place is free after one request."""

CLEANUP_S = 0.25
"""How long a target may still work on what nobody waits for; cutting it short would
cost a new connection."""

_FRAMING = frozenset((b"content-length",))
_PROMISES = frozenset((408, 421, 429, 503))
"""Statuses that say that the request has not run."""


class Forward:
    """Passes one request on to one target, and the answer back."""

    def __init__(
        self,
        tools: Tools,
        job: RoutedRequest,
        service: str,
        done: Callable[[Ending], None],
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
        fields = tuple(end_to_end(exchange.fields, _FRAMING))
        self._finish(
            Response(exchange.status, fields, exchange.response_body), "answered"
        )

    def failed(self, call: ShardCall) -> None:
        """Pass the target's failure back, or say truthfully whether any ran."""
        failure = call.failure
        if failure is not None and failure.status not in _PROMISES:
            fields = tuple(end_to_end(failure.fields, _FRAMING))
            response = Response(failure.status, fields, failure.response_body)
            self._finish(response, "target failed")
        elif call.may_have_run:
            self._finish(refusal(502), "unknown")
        else:
            wait = BUSY_RETRY_S if call.sends else NO_TARGET_RETRY_S
            self._finish(refusal(503, wait), "not run")

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
        if self._call.may_have_run:
            self._finish(refusal(504), "timed out")
        else:
            self._finish(refusal(503, BUSY_RETRY_S), "not run")

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
            Ending(response, outcome, call.sends, extra, missing, slowest([call]))
        )

    def _end(self) -> None:
        self._ended = True
        for timer in (self._timer, self._deadline):
            if timer is not None:
                timer.cancel()
