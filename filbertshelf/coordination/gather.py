"""A request that the targets of many shards answer together."""

from __future__ import annotations

import math
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
from filbertshelf.protocol.http_messages import Response
from filbertshelf.state.answer_time import AnswerRule
from filbertshelf.state.records import greatest_records

MAX_LOGGED_MISSING = 8
"""Missing shards that the log line of a request names."""

HEDGE_ROUNDS = 3
"""How often the outstanding shards are looked at; a first look may find no budget."""


class Gather:
    """Asks one target of each shard and merges what they answer."""

    def __init__(
        self,
        tools: RoutingContext,
        job: RoutedRequest,
        done: Callable[[RoutedResult], None],
    ):
        self._tools = tools
        self._job = job
        self._done = done
        gather = job.route.gather
        aim_at = job.req.received_at + job.route.latency_objective_s - job.return_s
        self._rule = AnswerRule.make(len(gather.shards), gather.min_coverage, aim_at)
        self._calls = [ShardCall(tools, job, name, self) for name in gather.shards]
        self._answered = 0
        self._outstanding = len(self._calls)
        self._ended = False
        self._starting = False
        self._hedge_round = 0
        self._timers: list[Timer] = []

    def start(self) -> None:
        """Send the first attempt for each shard."""
        now = self._tools.clock.monotonic()
        self._starting = True
        for call in self._calls:
            call.start(now)
        self._starting = False
        self._later(self._job.deadline - now, self._timed_out)
        self._later(self._rule.objective_at - now, self._aim_reached)
        self._later(self._hedge_delay(), self._hedge)
        self._look()

    def caller_left(self) -> None:
        """End what nobody waits for."""
        self._end()
        self._tools.call_later(CLEANUP_S, self._cancel)

    def resumed(self) -> None:
        """End the request if its time passed while the process did not run."""
        if self._tools.clock.monotonic() >= self._job.deadline:
            self._timed_out()

    # What the shard calls tell.

    def answered(self, call: ShardCall) -> None:
        """Count a shard that has answered."""
        self._answered += 1
        self._outstanding -= 1
        self._look()

    def failed(self, call: ShardCall) -> None:
        """Count a shard that is missing."""
        self._outstanding -= 1
        self._look()

    # Deciding.

    def _aim_reached(self) -> None:
        # The timers of an event loop may be early by a fraction of a millisecond.
        self._look(self._rule.objective_at)

    def _look(self, not_before: float = -math.inf) -> None:
        """Answer if it is time, or if too few shards can answer."""
        if self._ended or self._starting:
            return
        now = max(not_before, self._tools.clock.monotonic())
        if self._rule.should_answer(self._answered, self._outstanding, now):
            self._finish(self._merged(), "whole" if self._is_whole() else "partial")
        elif self._rule.cannot_reach_coverage(self._answered, self._outstanding):
            self._refuse()

    def _is_whole(self) -> bool:
        return self._answered == len(self._calls)

    def _merged(self) -> Response:
        calls = [call for call in self._calls if call.answer is not None]
        bodies = (call.answer.response_body for call in calls)
        body = greatest_records(bodies, self._job.route.gather.top_k)
        names = self._tools.names
        missing = len(self._calls) - len(calls)
        stamps = b", ".join(call.verdict.stamp for call in calls)
        fields = (
            (names.part_stamps, stamps),
            (names.missing_parts, b"%d" % missing),
        )
        return Response(200, fields, body)

    def _refuse(self, timed_out: bool = False) -> None:
        """Say at once that the request fails, and truthfully whether any of it ran."""
        for call in self._calls:
            call.stop()
        refused = refuse(self._calls, timed_out)
        self._finish(refused.response, refused.outcome)

    def _hedge_delay(self) -> float:
        return self._tools.hedge_timer(self._job.route).delay_s()

    def _hedge(self) -> None:
        """Ask second targets for the shards that have not answered."""
        if self._ended:
            return
        now = self._tools.clock.monotonic()
        for call in self._calls:
            if not call.closed:
                call.hedge(now)
        self._hedge_round += 1
        if self._hedge_round < HEDGE_ROUNDS:
            self._later(self._hedge_delay() / 2, self._hedge)

    def _timed_out(self) -> None:
        if not self._ended:
            self._refuse(timed_out=True)

    # The end.

    def _later(self, seconds: float, func: Callable[[], None]) -> None:
        if not self._ended:
            self._timers.append(self._tools.call_later(max(0.0, seconds), func))

    def _finish(self, response: Response, outcome: str) -> None:
        self._end()
        if any(call.running for call in self._calls):
            self._tools.call_later(self._cleanup_delay(response), self._cancel)
        sends = sum(call.sends for call in self._calls)
        missing = [c for c in self._calls if c.answer is None]
        named = tuple(
            f"{call.service}: {call.reason.value}"
            for call in missing[:MAX_LOGGED_MISSING]
        )
        extra = max(0, sends - len(self._calls))
        self._done(
            RoutedResult(response, outcome, sends, extra, named, slowest(self._calls))
        )

    def _cleanup_delay(self, response: Response) -> float:
        """Return when to close the connections on which nothing useful comes.

        The slower of two targets ends by itself; cutting it short would cost a new
        connection. The work of a request that failed is only a burden.
        """
        if response.status != 200:
            return CLEANUP_S
        left = self._job.deadline - self._tools.clock.monotonic()
        return max(0.0, left) + CLEANUP_S

    def _end(self) -> None:
        self._ended = True
        for timer in self._timers:
            timer.cancel()
        for call in self._calls:
            call.stop()

    def _cancel(self) -> None:
        for call in self._calls:
            call.cancel()
