"""Queries over many shards, answered by merging the answers of their targets."""

from __future__ import annotations

import math
from collections.abc import Callable

from filbertshelf.coordination.call_results import (
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
from filbertshelf.protocol.http_messages import Response
from filbertshelf.state.answer_time import AnswerRule
from filbertshelf.state.hedging import LATE_HEDGE_SHARE, are_targets_loaded
from filbertshelf.state.outcome import Reason
from filbertshelf.state.records import greatest_records
from filbertshelf.transport.http1.exchange import Exchange

MAX_LOGGED_MISSING = 8
"""Maximum number of missing shards in the log line of a request."""

MAX_KEPT_PART_BYTES = 4 * 1024
"""Answers longer than this are cut to their greatest records while others come."""

HEDGE_ROUNDS = 3
"""Hedging rounds for outstanding shards; the first may find no retry budget left."""


class Gather:
    """Asks one target of each shard and merges the answers."""

    def __init__(
        self,
        context: RoutingContext,
        request: RoutedRequest,
        on_result: Callable[[RoutedResult], None],
    ):
        self._context = context
        self._request = request
        self._on_result = on_result
        gather = request.route.gather
        self._rule = AnswerRule.make(
            len(gather.shards), gather.min_coverage, request.objective_at
        )
        self._calls = [
            ShardCall(context, request, service, self) for service in gather.shards
        ]
        self._answered = 0
        self._outstanding = len(self._calls)
        self._ended = False
        self._starting = False
        self._started_at = 0.0
        self._hedge_round = 0
        self._targets_loaded = False
        """Whether load seems to slow the targets, so that hedges need a reason."""
        self._timers: list[Timer] = []

    def start(self) -> None:
        """Send the first attempt for each shard, unless too few shards have a target.

        Nothing is sent then, so that the refusal can say that the request has not run
        and the caller can safely come back.
        """
        now = self._context.clock.monotonic()
        if not self._can_reach_coverage(now):
            self._fail()
            return
        self._starting = True
        self._started_at = now
        for call in self._calls:
            call.start(now)
        self._starting = False
        self._set_timer(self._request.deadline - now, self._on_deadline)
        self._set_timer(self._rule.objective_at - now, self._check_at_objective)
        self._set_timer(self._hedge_delay(), self._send_hedges)
        self._check_answers()

    def on_disconnect(self) -> None:
        """Stop the request and cancel its exchanges after the cleanup delay."""
        self._stop()
        self._context.call_later(CLEANUP_DELAY_S, self._cancel_calls)

    def on_resume(self) -> None:
        """End the request if its deadline passed while the process was paused."""
        if self._context.clock.monotonic() >= self._request.deadline:
            self._on_deadline()

    def on_stop(self) -> None:
        """Answer with the shards that have answered, because this instance stops.

        If they are too few, the query is refused.
        """
        if self._ended:
            return
        for call in self._calls:
            call.stop()
        if self._rule.is_covered(self._answered):
            self._finish_with_answers()
        else:
            self._fail()

    def hand_over(self) -> int | None:
        """Stop, so that another instance can run the request.

        Returns how many targets of a shard may have received it, or None if it can't
        be handed over and goes on here or has failed.
        """
        asked = targets_asked_if_movable(self._context, self._calls, self._started_at)
        if asked is not None:
            self.on_disconnect()
        return asked

    # Callbacks from shard calls.

    def on_answered(self, call: ShardCall) -> None:
        """Record that a shard has answered."""
        self._trim(call.answer)
        if self._request.room is not None:
            self._request.room.on_shard_answered()
        self._answered += 1
        self._outstanding -= 1
        self._check_answers()

    def _trim(self, answer: Exchange) -> None:
        """Drop the records of a long answer that can't be in the merged one."""
        if len(answer.response_body) > MAX_KEPT_PART_BYTES:
            answer.response_body = greatest_records(
                [answer.response_body], self._request.route.gather.top_k
            )

    def on_failed(self, call: ShardCall) -> None:
        """Record that a shard is missing."""
        if self._request.room is not None:
            self._request.room.on_shard_failed(call.sub_requests, call.refusals)
        self._outstanding -= 1
        self._check_answers()

    def is_needed(self, call: ShardCall) -> bool:
        """Return whether the coverage can't be reached without a shard."""
        outstanding = self._outstanding - 1
        return self._rule.cannot_reach_coverage(self._answered, outstanding)

    # Decisions.

    def _can_reach_coverage(self, now: float) -> bool:
        """Return whether enough shards have an available target."""
        reachable = sum(call.check_available(now) for call in self._calls)
        return not self._rule.cannot_reach_coverage(reachable, 0)

    def _check_at_objective(self) -> None:
        # Event loop timers may fire a fraction of a millisecond early.
        self._check_answers(self._rule.objective_at)
        self._hedge_late()

    def _check_answers(self, not_before: float = -math.inf) -> None:
        """Finish the request if it has enough answers or can no longer get them.

        The current time counts as `not_before` if it is earlier.
        """
        if self._ended or self._starting:
            return
        now = max(not_before, self._context.clock.monotonic())
        if self._rule.should_answer(self._answered, self._outstanding, now):
            self._finish_with_answers()
        elif self._rule.cannot_reach_coverage(self._answered, self._outstanding):
            self._fail()

    def _finish_with_answers(self) -> None:
        is_whole = self._answered == len(self._calls)
        self._finish(self._merge_answers(), "whole" if is_whole else "partial")

    def _merge_answers(self) -> Response:
        calls = [call for call in self._calls if call.answer is not None]
        bodies = (call.answer.response_body for call in calls)
        body = greatest_records(bodies, self._request.route.gather.top_k)
        header_names = self._context.header_names
        missing = len(self._calls) - len(calls)
        stamps = b", ".join(call.classification.stamp for call in calls)
        fields = (
            (header_names.part_stamps, stamps),
            (header_names.missing_parts, b"%d" % missing),
        )
        return Response(200, fields, body)

    def _fail(self, timed_out: bool = False) -> None:
        """Finish with a failure whose status says whether the request may have run."""
        for call in self._calls:
            call.stop()
        refusal = make_refusal(self._calls, timed_out)
        self._finish(refusal.response, refusal.outcome)

    def _hedge_delay(self) -> float:
        return self._context.hedge_delay(self._request.route).delay_s()

    def _send_hedges(self) -> None:
        """Send hedged requests and set the timer of the next round."""
        if self._ended:
            return
        if self._hedge_round == 0:
            self._targets_loaded = are_targets_loaded(
                self._outstanding, len(self._calls)
            )
        self._check_and_hedge()
        self._hedge_round += 1
        if self._hedge_round < HEDGE_ROUNDS:
            self._set_timer(self._hedge_delay() / 2, self._send_hedges)

    def _hedge_late(self) -> None:
        """Send hedges that were not worthwhile before, until the request ends."""
        if self._ended or not self._targets_loaded:
            return
        self._check_and_hedge()
        interval_s = LATE_HEDGE_SHARE * self._request.route.latency_objective_s
        self._set_timer(interval_s, self._hedge_late)

    def _check_and_hedge(self) -> None:
        """Send hedged requests for the shards that have not answered.

        If no target at all responds, the link is checked first: behind a failed link a
        hedge is lost and would use up an attempt of the instance that takes over.
        """
        self._context.targets.reachability.check_if_silent(
            self._started_at, self._hedge_if_reachable
        )

    def _hedge_if_reachable(self, reachable: bool) -> None:
        if self._ended or not reachable:
            return
        now = self._context.clock.monotonic()
        for call in self._calls:
            if not call.closed:
                call.hedge(now, only_if_worthwhile=self._targets_loaded)

    def _on_deadline(self) -> None:
        if not self._ended:
            self._fail(timed_out=True)

    # Completion and cleanup.

    def _set_timer(self, seconds: float, func: Callable[[], None]) -> None:
        if not self._ended:
            self._timers.append(self._context.call_later(max(0.0, seconds), func))

    def _finish(self, response: Response, outcome: str) -> None:
        self._stop()
        if any(call.running for call in self._calls):
            self._context.call_later(self._cleanup_delay(response), self._cancel_calls)
        sub_requests = sum(call.sub_requests for call in self._calls)
        missing_calls = [
            call
            for call in self._calls
            if call.answer is None and call.reason is not Reason.NOT_ASKED
        ]
        missing_shards = tuple(
            f"{call.service}: {call.reason.value}"
            for call in missing_calls[:MAX_LOGGED_MISSING]
        )
        extra = max(0, sub_requests - len(self._calls))
        self._on_result(
            RoutedResult(
                response,
                outcome,
                sub_requests,
                extra,
                missing_shards,
                slowest_target(self._calls),
            )
        )

    def _cleanup_delay(self, response: Response) -> float:
        """Return the delay in seconds before unfinished exchanges are cancelled.

        After a success they may continue until the deadline, because cutting short the
        slower of two targets would cost a new connection. After a failure their work
        only adds load.
        """
        if response.status != 200:
            return CLEANUP_DELAY_S
        left = self._request.deadline - self._context.clock.monotonic()
        return max(0.0, left) + CLEANUP_DELAY_S

    def _stop(self) -> None:
        self._ended = True
        for timer in self._timers:
            timer.cancel()
        for call in self._calls:
            call.stop()

    def _cancel_calls(self) -> None:
        for call in self._calls:
            call.cancel()
