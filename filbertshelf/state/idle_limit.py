"""The idle time after which a server drops connections without notice."""

from __future__ import annotations

import math

QUICK_LOSS_S = 0.02
"""A connection lost within this time after a write was already dropped before it.

A later loss may be caused by the request.
"""

SAFE_SHARE = 0.5
"""The limit as a share of the idle time after which a connection was dropped."""

MIN_IDLE_S = 0.05
"""The lowest limit, so that requests in quick succession share a connection."""

RETENTION_S = 20.0
"""How long a limit lasts.

Afterwards the connections to a server that no longer drops them are kept again.
"""


class IdleLimit:
    """Limits the idle time by connections that were lost right after their reuse.

    Times are in monotonic seconds.
    """

    __slots__ = ("_expires_at", "_limit_s")

    def __init__(self) -> None:
        self._limit_s = math.inf
        self._expires_at = -math.inf

    def limit_s(self, now: float) -> float:
        """Return how long a connection can be idle and still be reused, in seconds."""
        if now >= self._expires_at:
            self._limit_s = math.inf
        return self._limit_s

    def record_loss(self, idle_s: float, after_s: float, now: float) -> None:
        """Record a connection that was idle and was lost `after_s` after a write."""
        if after_s > QUICK_LOSS_S or idle_s < MIN_IDLE_S:
            return
        self._limit_s = max(MIN_IDLE_S, min(self.limit_s(now), SAFE_SHARE * idle_s))
        self._expires_at = now + RETENTION_S
