"""Limits on the number of detail lines in the log."""

from __future__ import annotations

MAX_LINES_PER_REQUEST = 8
"""The highest number of detail lines of a request, whose last line has the totals."""

MAX_LINES_PER_SECOND = 200
"""Detail lines of a process in one second, so that an outage doesn't flood the log."""


class LogRateLimit:
    """Allows a limited number of detail lines per second and counts the others."""

    __slots__ = ("_per_s", "_remaining", "_second", "left_out")

    def __init__(self, per_s: int = MAX_LINES_PER_SECOND) -> None:
        self._second = 0
        self._per_s = self._remaining = per_s
        self.left_out = 0

    def allows(self, now: float) -> bool:
        """Return whether a line may be written; `now` is in monotonic seconds."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._remaining = self._per_s
        if not self._remaining:
            self.left_out += 1
            return False
        self._remaining -= 1
        return True


class RequestLogLimit:
    """Allows a limited number of detail lines for one request."""

    __slots__ = ("_limit", "_remaining", "left_out")

    def __init__(self, limit: LogRateLimit):
        self._limit = limit
        self._remaining = MAX_LINES_PER_REQUEST
        self.left_out = 0

    def allows(self, now: float) -> bool:
        """Return whether a line may be written; `now` is in monotonic seconds."""
        if self._remaining and self._limit.allows(now):
            self._remaining -= 1
            return True
        self.left_out += 1
        return False
