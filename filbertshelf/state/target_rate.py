"""The rate limit that a target names, and what this instance sent since then."""

from __future__ import annotations

import attrs

LINE_INTERVAL_S = 1.0
"""The shortest interval between two log lines about a target's rate limit."""


@attrs.frozen
class RateChange:
    """A change of a target's rate limit, for the log; rates are requests a second.

    `sent` and `extra` count the sub-requests of this instance in the `elapsed_s`
    seconds since the last change; hedges and retries are extra.
    """

    before: float | None
    after: float | None
    sent: int
    extra: int
    elapsed_s: float


class TargetRate:
    """The rate limit of one target; times are monotonic seconds."""

    __slots__ = ("_extra", "_logged_at", "_logged_limit", "_sent", "limit_per_s")

    def __init__(self, now: float):
        self.limit_per_s: float | None = None
        """Requests a second from all instances together, None without a limit."""
        self._logged_limit: float | None = None
        self._logged_at = now
        self._sent = 0
        self._extra = 0

    def count(self, is_extra: bool) -> None:
        """Count a sub-request that this instance sends to the target."""
        self._sent += 1
        self._extra += is_extra

    def change_to_log(self, now: float) -> RateChange | None:
        """Return the change since the last one that was returned, None if not due."""
        elapsed_s = now - self._logged_at
        if self.limit_per_s == self._logged_limit or elapsed_s < LINE_INTERVAL_S:
            return None
        change = RateChange(
            self._logged_limit, self.limit_per_s, self._sent, self._extra, elapsed_s
        )
        self._logged_limit = self.limit_per_s
        self._logged_at = now
        self._sent = self._extra = 0
        return change
