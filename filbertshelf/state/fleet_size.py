"""The estimated size of the fleet, from the highest number of members seen."""

from __future__ import annotations

import math

import attrs

GROWTH = 1.3
"""The factor by which more instances may run than were ever seen."""

STABLE_S = 3.0
"""The members count as known once no new one was seen for this long."""

MIN_DISCOVERY_S = 1.0
"""The time after its start in which an instance finds most of the others."""

UNKNOWN_FLEET_SIZE = 64
"""The lowest divisor of fleet-wide limits until the members are known."""


@attrs.frozen
class FleetEstimate:
    """The size of the fleet as estimated by one instance."""

    size: int
    """The highest number of instances that may run."""
    divisor: int
    """The number by which fleet-wide limits are divided."""
    known: bool
    """Whether the highest number of members has not grown for `STABLE_S`."""


class FleetSizeEstimator:
    """Estimates the size of the fleet; times are in monotonic seconds.

    A started instance gets an early estimate with a high divisor, so that it can open
    connections and send hedges before all members are known. If a known fleet grows,
    the last estimate is kept until the fleet has stopped growing.
    """

    def __init__(self, now: float):
        self._max_members = 1
        self._started_at = now
        self._last_growth_at = now
        self._estimate: FleetEstimate | None = None

    def update(self, members: int, now: float) -> FleetEstimate | None:
        """Record the number of members and return the estimate, None if too early."""
        if members > self._max_members:
            self._max_members = members
            self._last_growth_at = now
        if now - self._started_at < MIN_DISCOVERY_S:
            return None
        known = now - self._last_growth_at >= STABLE_S
        if known or self._estimate is None or not self._estimate.known:
            size = math.ceil(GROWTH * self._max_members)
            divisor = size if known else max(UNKNOWN_FLEET_SIZE, size)
            self._estimate = FleetEstimate(size, divisor, known)
        return self._estimate
