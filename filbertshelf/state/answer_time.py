"""When the answers of many shards are enough to answer the caller."""

from __future__ import annotations

import math

import attrs

_ROUNDING = 1e-9


@attrs.frozen
class AnswerRule:
    """Waits for all shards until the aim, and after it only for enough of them.

    An answer is worth the square of the share of its shards, and a tenth if it is
    late, so a missing shard costs the caller less than the aim does.
    """

    shards: int
    needed: int
    objective_at: float
    """The monotonic time at which an answer must leave to be in time."""

    @classmethod
    def make(cls, shards: int, min_coverage: float, objective_at: float) -> AnswerRule:
        """Return the rule for a route that needs a share of its shards."""
        needed = max(1, math.ceil(min_coverage * shards - _ROUNDING))
        return cls(shards, needed, objective_at)

    def should_answer(self, answered: int, outstanding: int, now: float) -> bool:
        """Return whether to answer now."""
        if answered < self.needed:
            return False
        return not outstanding or now >= self.objective_at

    def cannot_reach_coverage(self, answered: int, outstanding: int) -> bool:
        """Return whether too few shards can still answer."""
        return answered + outstanding < self.needed
