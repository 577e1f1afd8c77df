"""Bounds the log lines of details, and counts those that were left out."""

from __future__ import annotations

MAX_LINES_PER_REQUEST = 8
"""Detail lines of one request; its last line has the sums."""

MAX_LINES_PER_SECOND = 200
"""Detail lines of one process in a second, so that an outage doesn't fill the log."""


class LogRateLimit:
    """Allows a number of detail lines in each second."""

    __slots__ = ("_left", "_second", "left_out")

    def __init__(self) -> None:
        self._second = 0
        self._left = MAX_LINES_PER_SECOND
        self.left_out = 0

    def allows(self, now: float) -> bool:
        """Return whether a line may be written; `now` is in monotonic seconds."""
        second = int(now)
        if second != self._second:
            self._second = second
            self._left = MAX_LINES_PER_SECOND
        if not self._left:
            self.left_out += 1
            return False
        self._left -= 1
        return True


class RequestLogLimit:
    """Allows a number of detail lines for one request."""

    __slots__ = ("_left", "_limit", "left_out")

    def __init__(self, limit: LogRateLimit):
        self._limit = limit
        self._left = MAX_LINES_PER_REQUEST
        self.left_out = 0

    def allows(self, now: float) -> bool:
        """Return whether a line may be written; `now` is in monotonic seconds."""
        if self._left and self._limit.allows(now):
            self._left -= 1
            return True
        self.left_out += 1
        return False
