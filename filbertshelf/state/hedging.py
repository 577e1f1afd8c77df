"""When a hedged request is sent for a slow shard."""

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

MAX_LATE_SHARE = 0.2
"""The highest share of a query's shards that counts as a few late ones, twice the share
that `HEDGE_QUANTILE` leaves; with more, the load has probably slowed all targets."""

OVERDUE_FACTOR = 1.5
"""How much longer than the other target should take the first one must have taken
before a hedge is sent after the objective."""

LATE_HEDGE_SHARE = 0.5
"""The time between hedges after the objective, as a share of it."""


def are_targets_loaded(outstanding: int, shards: int) -> bool:
    """Return whether so many of a query's shards are late that load is the cause.

    `outstanding` is how many have not answered when the hedge delay has passed.
    """
    return outstanding > max(1.0, MAX_LATE_SHARE * shards)


def is_worthwhile(waited_s: float, expected_s: float, left_s: float) -> bool:
    """Return whether a hedge probably helps; all arguments are in seconds.

    `waited_s` is how long the first target has been asked, `expected_s` the time after
    which the other one should answer, and `left_s` the time left until the latency
    objective. Until then a hedge must be in time: if load slows all targets, it comes
    late too and only adds to the load. Later, the first target must have taken longer
    than the other one should.
    """
    if left_s > 0:
        return expected_s <= left_s
    return waited_s >= OVERDUE_FACTOR * expected_s


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
