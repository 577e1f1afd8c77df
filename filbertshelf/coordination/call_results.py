"""What the shard calls of a request lead to: a refusal, a move, a log field."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from filbertshelf.coordination.routed_request import RoutingContext
from filbertshelf.coordination.shard_call import ShardCall
from filbertshelf.protocol.http_messages import Response
from filbertshelf.protocol.target_responses import error_response
from filbertshelf.state.outcome import Reason

NO_TARGET_RETRY_AFTER_S = 0.5
"""Retry-After seconds if no target is available; a crashed one restarts in seconds."""

BUSY_RETRY_AFTER_S = 0.1
"""Retry-After seconds if all targets refused or are at their rate limit; a slot is free
after one request, and another instance may have a permit."""


def targets_asked_if_movable(
    context: RoutingContext, calls: Sequence[ShardCall], started_at: float
) -> int | None:
    """Return how many targets of a service may have the request, if it can move.

    It can move to another instance if no answer is expected any more, the route allows
    another target, and the retry budgets allow the repeats. Otherwise returns None.
    """
    now = context.clock.monotonic()
    answers_lost = context.targets.reachability.state.answers_lost(started_at, now)
    if not answers_lost and any(call.awaits_answer for call in calls):
        return None
    if not all(call.allows_another_target() for call in calls):
        return None
    if not all(call.try_spend_for_repeat(now) for call in calls):
        return None
    return max(call.targets_asked for call in calls)


@attrs.frozen(eq=False)
class Refusal:
    """The response to a request that has no usable answer, and the outcome to log."""

    response: Response
    outcome: str


def make_refusal(calls: Sequence[ShardCall], timed_out: bool = False) -> Refusal:
    """Return the refusal for calls that have been stopped.

    The response says that the request did not run only if no target can have run it.
    """
    if any(call.answer is not None or call.may_have_run for call in calls):
        if timed_out:
            return Refusal(error_response(504), "timed out")
        return Refusal(error_response(502), "unknown")
    return Refusal(error_response(503, _retry_after_s(calls)), "not run")


def _retry_after_s(calls: Sequence[ShardCall]) -> float:
    """Return after how many seconds a caller whose request didn't run may come back."""
    paused = [call for call in calls if call.reason is Reason.RETRY_LATER]
    if paused:
        returns_in_s = max(call.returns_in_s for call in paused)
        return max(BUSY_RETRY_AFTER_S, returns_in_s)
    busy = any(
        call.sub_requests or call.reason is Reason.RATE_LIMITED for call in calls
    )
    return BUSY_RETRY_AFTER_S if busy else NO_TARGET_RETRY_AFTER_S


def slowest_target(calls: Sequence[ShardCall]) -> str:
    """Return the target with the slowest answer and its latency, for the log."""
    answered_calls = [call for call in calls if call.answered_by]
    if not answered_calls:
        return ""
    slowest_call = max(answered_calls, key=lambda call: call.latency_s)
    return f"{slowest_call.answered_by} {slowest_call.latency_s * 1000:.0f} ms"
