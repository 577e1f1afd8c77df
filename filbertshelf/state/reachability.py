"""Whether an instance still reaches its targets, judged from all of them together."""

from __future__ import annotations

import math

FAILURE_WINDOW_S = 1.0
"""Failures of different targets within this time may have a cause that they share."""

SUSPICIOUS_FAILURES = 2
"""How many targets must fail within the window before the instance's link is checked;
a single one has usually crashed."""

CONTACT_S = 0.25
"""Seconds for which a response of a target shows that the link works."""


class Reachability:
    """What the responses and failures of all targets say about the instance's link.

    One target can't tell whether it failed or the link to it. All times are in
    monotonic seconds.
    """

    def __init__(self) -> None:
        self.cut_off = False
        """Whether the instance reaches no target; peers may still reach them."""
        self._responded_at = -math.inf
        self._failed_at: dict[str, float] = {}

    def record_response(self, now: float) -> None:
        """Record that some target responded."""
        self._responded_at = now

    def record_failure(self, target_id: str, now: float) -> bool:
        """Record that a target took no connection or lost one without a response.

        Returns whether so many targets failed that the link must be checked.
        """
        self._failed_at[target_id] = now
        return self.is_suspicious(now)

    def is_suspicious(self, now: float) -> bool:
        """Return whether so many targets failed of late that the link may be why."""
        self._failed_at = {
            id_: at
            for id_, at in self._failed_at.items()
            if now - at <= FAILURE_WINDOW_S
        }
        return len(self._failed_at) >= SUSPICIOUS_FAILURES

    def silent_since(self, start: float) -> bool:
        """Return whether no target has responded since `start`."""
        return self._responded_at < start

    def answers_lost(self, start: float, now: float) -> bool:
        """Return whether answers to what was sent at `start` have probably been lost.

        Later responses may have come before the link failed, so a long silence counts
        too.
        """
        return self.silent_since(start) or self.silence_s(now) > CONTACT_S

    def in_contact(self, now: float) -> bool:
        """Return whether a target responded so recently that the link works."""
        return not self.cut_off and self.silence_s(now) <= CONTACT_S

    def silence_s(self, now: float) -> float:
        """Return the seconds since the last response, infinite before the first."""
        return now - self._responded_at
