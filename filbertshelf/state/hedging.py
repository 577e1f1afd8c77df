"""When a second target is asked for a shard that is slow to answer."""

from __future__ import annotations

from filbertshelf.clock import Clock
from filbertshelf.state.budgets import LatencyWindow

HEDGE_QUANTILE = 0.9
"""The retry budget of the fleet allows more extra sub-requests than this causes."""

MIN_OBJECTIVE_SHARE = 0.12
"""An earlier hedge would mostly double the load of targets that are not late."""

MAX_OBJECTIVE_SHARE = 0.4
"""A later hedge can't answer within the aim."""

BUDGET_RESERVE = 1.5
"""Extra sub-requests that are kept for retries after a failure."""


class HedgeDelay:
    """Learns how long the targets of one route take."""

    __slots__ = ("_objective_s", "_window")

    def __init__(self, objective_s: float, clock: Clock):
        self._objective_s = objective_s
        self._window = LatencyWindow(clock)

    def record(self, seconds: float) -> None:
        """Add the time that one target took."""
        self._window.record(seconds)

    def delay_s(self) -> float:
        """Return after how many seconds without an answer to ask a second target."""
        usual = self._window.quantile(HEDGE_QUANTILE)
        latest = MAX_OBJECTIVE_SHARE * self._objective_s
        if usual is None:
            return latest
        return min(latest, max(usual, MIN_OBJECTIVE_SHARE * self._objective_s))
