"""The rule that decides when a request over many shards is answered."""

from __future__ import annotations

import math

import attrs

_ROUNDING_TOLERANCE = 1e-9


@attrs.frozen
class AnswerRule:
    """Waits for all shards until the latency objective, then only for `needed` of them.

    The value of an answer is the square of its coverage, and a tenth of that if it is
    late. A missing shard therefore costs the caller less than a late answer does.
    """

    shards: int
    needed: int
    """How many shards must have answered before the request can be answered."""
    objective_at: float
    """The latest monotonic time at which an answer can be sent within the objective."""

    @classmethod
    def make(cls, shards: int, min_coverage: float, objective_at: float) -> AnswerRule:
        """Return the rule that needs the coverage `min_coverage` (0 to 1)."""
        needed = max(1, math.ceil(min_coverage * shards - _ROUNDING_TOLERANCE))
        return cls(shards, needed, objective_at)

    def should_answer(self, answered: int, outstanding: int, now: float) -> bool:
        """Return whether to answer at the monotonic time `now`."""
        if not self.is_covered(answered):
            return False
        return not outstanding or now >= self.objective_at

    def is_covered(self, answered: int) -> bool:
        """Return whether enough shards have answered for a partial answer."""
        return answered >= self.needed

    def cannot_reach_coverage(self, answered: int, outstanding: int) -> bool:
        """Return whether too few shards can still answer to reach the coverage."""
        return answered + outstanding < self.needed
