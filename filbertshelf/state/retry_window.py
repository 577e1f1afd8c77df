"""The part of the fleet's retry budget that one instance may use."""

from __future__ import annotations

import collections

import attrs


@attrs.frozen
class RetryPolicy:
    """The retry budget of one service for the whole fleet.

    At most `ratio` x requests + `slack` extra sub-requests are allowed in any window
    of `window_s` seconds.
    """

    ratio: float
    slack: float
    window_s: float


SAFETY_FACTOR = 0.9
"""The part of the allowance that is used; the rest covers requests in transit."""


HEDGE_RESERVE = 1.5
"""Extra sub-requests that hedges leave for retries after failures."""

HEDGE_RESERVE_SHARE = 0.3
"""The highest share of the allowance that hedges leave.

An instance that has just started has a small allowance, and still needs a hedge for
each shard whose target is paused.
"""


class RetryWindow:
    """Counts requests and extra sub-requests of one service in a sliding window.

    The ratio applies to the requests of this instance, and the slack is divided by the
    size of the fleet, so that all instances together stay within the budget.
    """

    __slots__ = ("_extras", "_fleet_size", "_policy", "_requests", "_slack")

    def __init__(self, policy: RetryPolicy):
        self._policy = policy
        self._fleet_size = 1
        self._slack = 0.0
        self._requests: collections.deque[float] = collections.deque()
        # Few, and none in most services, where a deque would take 0.7 KB.
        self._extras: list[float] = []

    def set_policy(self, policy: RetryPolicy) -> None:
        """Replace the budget."""
        self._policy = policy
        self.set_fleet_size(self._fleet_size)

    def set_fleet_size(self, size: int) -> None:
        """Set the highest number of instances that may run, which divides the slack."""
        self._fleet_size = max(1, size)
        self._slack = self._policy.slack / self._fleet_size

    def record_request(self, now: float) -> None:
        """Count a request at the monotonic time `now`."""
        self._requests.append(now)
        self._drop_expired(now)

    def remaining(self, now: float) -> float:
        """Return how many extra sub-requests may be sent at the time `now`."""
        return self._allowance(now) - len(self._extras)

    def remaining_for_hedges(self, now: float) -> float:
        """Return how many hedges may be sent at the time `now`."""
        reserve = min(HEDGE_RESERVE, HEDGE_RESERVE_SHARE * self._allowance(now))
        return self.remaining(now) - reserve

    def _allowance(self, now: float) -> float:
        self._drop_expired(now)
        allowance = self._policy.ratio * len(self._requests) + self._slack
        return SAFETY_FACTOR * allowance

    def try_spend(self, now: float) -> bool:
        """Count an extra sub-request, or return False if the budget is used up."""
        if self.remaining(now) < 1.0:
            return False
        self._extras.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        start = now - self._policy.window_s
        while self._requests and self._requests[0] <= start:
            self._requests.popleft()
        while self._extras and self._extras[0] <= start:
            del self._extras[0]
