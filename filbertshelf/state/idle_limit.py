"""How long a server keeps idle connections that it drops without notice."""

from __future__ import annotations

import math

QUICK_LOSS_S = 0.02
"""A connection that is lost so soon after a write was gone before; later ones may
end for what the request does."""

SAFE_SHARE = 0.5
"""The part of the idle time after which a drop was seen that is still used."""

MIN_IDLE_S = 0.05
"""Requests that follow each other closely share a connection in any case."""

MEMORY_S = 20.0
"""How long a drop counts; a server that behaves again gets its connections kept."""


class IdleLimit:
    """Learns from connections that were lost right after they were used again.

    Times are monotonic seconds.
    """

    __slots__ = ("_seconds", "_until")

    def __init__(self) -> None:
        self._seconds = math.inf
        self._until = -math.inf

    def limit_s(self, now: float) -> float:
        """Return for how long an idle connection can be trusted."""
        if now >= self._until:
            self._seconds = math.inf
        return self._seconds

    def record_loss(self, idle_s: float, after_s: float, now: float) -> None:
        """Record a connection that was idle, and lost some time after a write."""
        if after_s > QUICK_LOSS_S or idle_s < MIN_IDLE_S:
            return
        self._seconds = max(MIN_IDLE_S, min(self.limit_s(now), SAFE_SHARE * idle_s))
        self._until = now + MEMORY_S
