"""The delay before a hedged request is sent for a slow shard."""

from __future__ import annotations

from filbertshelf.clock import Clock
from filbertshelf.state.budgets import LatencyWindow

HEDGE_QUANTILE = 0.9
"""The latency quantile after which a hedge is sent.

The retry budget of the fleet covers the extra sub-requests that this causes.
"""

MIN_OBJECTIVE_SHARE = 0.12
"""The shortest delay, as a share of the latency objective.

Earlier hedges would mostly double the load of targets that are not slow.
"""

MAX_OBJECTIVE_SHARE = 0.4
"""The longest delay, as a share of the latency objective.

A later hedge can't answer within the objective.
"""


class HedgeDelay:
    """Computes the hedge delay of one route from recent latencies of its targets."""

    __slots__ = ("_objective_s", "_window")

    def __init__(self, objective_s: float, clock: Clock):
        self._objective_s = objective_s
        self._window = LatencyWindow(clock)

    def record(self, seconds: float) -> None:
        """Add the latency of one target in seconds."""
        self._window.record(seconds)

    def delay_s(self) -> float:
        """Return after how many seconds without an answer to send a hedge."""
        observed_s = self._window.quantile(HEDGE_QUANTILE)
        longest_s = MAX_OBJECTIVE_SHARE * self._objective_s
        if observed_s is None:
            return longest_s
        return min(longest_s, max(observed_s, MIN_OBJECTIVE_SHARE * self._objective_s))
