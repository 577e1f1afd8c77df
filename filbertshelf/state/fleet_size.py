"""How many instances may run, from how many were ever seen."""

from __future__ import annotations

import math

import attrs

GROWTH = 1.3
"""The part by which more instances may run than were ever seen."""

STABLE_S = 3.0
"""The members are known once no new one was found for so long."""

MIN_DISCOVERY_S = 1.0
"""A started instance has found most of the others after so long."""

UNKNOWN_FLEET_SIZE = 64
"""The least size by which limits are divided until the members are known."""


@attrs.frozen
class FleetEstimate:
    """What one instance takes the fleet for."""

    size: int
    """The highest number of instances that may run, by those that were seen."""
    divisor: int
    """The number by which the limits of the whole fleet are divided."""
    known: bool
    """Whether the members are known."""


class FleetSizeEstimator:
    """Estimates the size of the fleet; times are monotonic seconds.

    A started instance soon gets an estimate with a high divisor, so that it can open
    connections and send hedges before all members are known. Later a growing fleet
    keeps its last estimate until it has stopped growing.
    """

    def __init__(self, now: float):
        self._most = 1
        self._started_at = now
        self._grown_at = now
        self._estimate: FleetEstimate | None = None

    def update(self, members: int, now: float) -> FleetEstimate | None:
        """Take the number of members and return the estimate, None if it is early."""
        if members > self._most:
            self._most = members
            self._grown_at = now
        if now - self._started_at < MIN_DISCOVERY_S:
            return None
        known = now - self._grown_at >= STABLE_S
        if known or self._estimate is None or not self._estimate.known:
            size = math.ceil(GROWTH * self._most)
            divisor = size if known else max(UNKNOWN_FLEET_SIZE, size)
            self._estimate = FleetEstimate(size, divisor, known)
        return self._estimate
