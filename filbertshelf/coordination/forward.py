"""Requests that are forwarded to a single target."""

from __future__ import annotations

from collections.abc import Callable

from filbertshelf.coordination.call_results import (
    Refusal,
    make_refusal,
    slowest_target,
    targets_asked_if_movable,
)
from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutedResult,
    RoutingContext,
    Timer,
)
from filbertshelf.coordination.shard_call import CLEANUP_DELAY_S, ShardCall
from filbertshelf.protocol.http_messages import Response, end_to_end_fields
from filbertshelf.state.routing import Repeat

_FRAMING_FIELDS = frozenset((b"content-length",))
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise that the request has not run."""


class Forward:
    """Forwards one request to one target and returns its answer."""

    def __init__(
        self,
        context: RoutingContext,
        request: RoutedRequest,
        service: str,
        on_result: Callable[[RoutedResult], None],
    ):
        self._context = context
        self._request = request
        self._on_result = on_result
        self._call = ShardCall(context, request, service, self)
        self._ended = False
        self._started_at = 0.0
        self._hedge_timer: Timer | None = None
        self._deadline_timer: Timer | None = None

    def start(self) -> None:
        """Send the request."""
        now = self._started_at = self._context.clock.monotonic()
        self._deadline_timer = self._context.call_later(
            max(0.0, self._request.deadline - now), self._on_deadline
        )
        delay = self._context.hedge_delay(self._request.route).delay_s()
        self._hedge_timer = self._context.call_later(delay, self._send_hedge)
        self._call.start(now)

    def on_disconnect(self) -> None:
        """Stop the request.

        Exchanges of an idempotent request are cancelled after the cleanup delay; one
        that must run only once is left to finish until its deadline.
        """
        self._stop()
        self._call.stop()
        if self._request.route.repeat is Repeat.IDEMPOTENT:
            self._context.call_later(CLEANUP_DELAY_S, self._call.cancel)
        else:
            self._cancel_after_deadline()

    def on_stop(self) -> None:
        """Refuse the request, because this instance stops."""
        if not self._ended:
            self._call.stop()
            self._refuse(make_refusal([self._call]))

    def hand_over(self) -> int | None:
        """Stop, so that another instance can run the request.

        Returns how many targets may have received it, or None if it can't be handed
        over and goes on here or has failed.
        """
        repeatable = self._request.route.repeat is Repeat.IDEMPOTENT
        if self._call.targets_asked and not repeatable:
            return None
        asked = targets_asked_if_movable(self._context, [self._call], self._started_at)
        if asked is not None:
            self.on_disconnect()
        return asked

    # Callbacks from the shard call.

    def on_answered(self, call: ShardCall) -> None:
        """Return the target's answer to the caller."""
        if self._request.room is not None:
            self._request.room.on_shard_answered()
        exchange = call.answer
        fields = tuple(end_to_end_fields(exchange.fields, _FRAMING_FIELDS))
        # The exchange is part of reference cycles, which may be freed much later.
        body, exchange.response_body = exchange.response_body, b""
        self._finish(Response(exchange.status, fields, body), "answered")

    def on_failed(self, call: ShardCall) -> None:
        """Return the target's failure, or else a refusal.

        The status of the refusal says whether the request may have run.
        """
        if self._request.room is not None:
            self._request.room.on_shard_failed(call.sub_requests, call.refusals)
        failure = call.failure
        if failure is not None and failure.status not in _NOT_RUN_STATUSES:
            fields = tuple(end_to_end_fields(failure.fields, _FRAMING_FIELDS))
            response = Response(failure.status, fields, failure.response_body)
            self._finish(response, "target failed")
        else:
            self._refuse(make_refusal([call]))

    def is_needed(self, call: ShardCall) -> bool:
        """Return whether the request needs the answer of the call."""
        return True

    def on_resume(self) -> None:
        """End the request if its deadline passed while the process was paused."""
        if (
            not self._ended
            and self._context.clock.monotonic() >= self._request.deadline
        ):
            self._on_deadline()

    # Timers and completion.

    def _send_hedge(self) -> None:
        self._hedge_timer = None
        if not self._ended:
            # Behind a failed link a hedge would use up an attempt of another instance.
            self._context.targets.reachability.check_if_silent(
                self._started_at, self._hedge_if_reachable
            )

    def _hedge_if_reachable(self, reachable: bool) -> None:
        if reachable and not self._ended:
            self._call.hedge(self._context.clock.monotonic())

    def _on_deadline(self) -> None:
        self._call.stop()
        self._refuse(make_refusal([self._call], timed_out=True))

    def _refuse(self, refusal: Refusal) -> None:
        self._finish(refusal.response, refusal.outcome)

    def _finish(self, response: Response, outcome: str) -> None:
        if self._ended:
            return
        self._stop()
        call = self._call
        self._cancel_after_deadline()
        missing = () if call.answer else (f"{call.service}: {call.reason.value}",)
        extra = max(0, call.sub_requests - 1)
        self._on_result(
            RoutedResult(
                response,
                outcome,
                call.sub_requests,
                extra,
                missing,
                slowest_target([call]),
            )
        )

    def _cancel_after_deadline(self) -> None:
        """Give connections back on which no answer has come by then."""
        if self._call.running:
            left = max(0.0, self._request.deadline - self._context.clock.monotonic())
            self._context.call_later(left + CLEANUP_DELAY_S, self._call.cancel)

    def _stop(self) -> None:
        self._ended = True
        for timer in (self._hedge_timer, self._deadline_timer):
            if timer is not None:
                timer.cancel()
