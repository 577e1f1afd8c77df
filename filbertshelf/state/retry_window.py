"""The share of the fleet's retry budget that one instance may use."""

from __future__ import annotations

import collections

import attrs


@attrs.frozen
class RetryPolicy:
    """The budget of one service over the whole fleet in any window.

    Extra sub-requests may be `ratio` x requests + `slack` in `window_s` seconds.
    """

    ratio: float
    slack: float
    window_s: float


SAFETY = 0.9
"""The part of the allowance that is used; the rest covers requests in transit."""


class RetryWindow:
    """Counts requests and extra sub-requests of one service in a sliding window.

    The ratio applies to the requests of this instance and the slack is divided by the
    size of the fleet, so the sum over all instances stays within the budget.
    """

    __slots__ = ("_extras", "_fleet", "_policy", "_requests", "_slack")

    def __init__(self, policy: RetryPolicy):
        self._policy = policy
        self._fleet = 1
        self._slack = 0.0
        self._requests: collections.deque[float] = collections.deque()
        self._extras: collections.deque[float] = collections.deque()

    def set_policy(self, policy: RetryPolicy) -> None:
        """Take another budget."""
        self._policy = policy
        self.set_fleet_size(self._fleet)

    def set_fleet_size(self, size: int) -> None:
        """Divide the slack by the highest number of instances that may run."""
        self._fleet = max(1, size)
        self._slack = self._policy.slack / self._fleet

    def record_request(self, now: float) -> None:
        """Count a request; `now` is in monotonic seconds."""
        self._requests.append(now)
        self._trim(now)

    def remaining(self, now: float) -> float:
        """Return how many extra sub-requests may be sent now."""
        self._trim(now)
        earned = self._policy.ratio * len(self._requests) + self._slack
        return SAFETY * earned - len(self._extras)

    def try_spend(self, now: float) -> bool:
        """Count an extra sub-request, or return False if none may be sent."""
        if self.remaining(now) < 1.0:
            return False
        self._extras.append(now)
        return True

    def _trim(self, now: float) -> None:
        start = now - self._policy.window_s
        while self._requests and self._requests[0] <= start:
            self._requests.popleft()
        while self._extras and self._extras[0] <= start:
            self._extras.popleft()
