"""How long a target is cold, and how its requests are limited meanwhile."""

from __future__ import annotations

import enum

import attrs

COLD_FACTOR = 4.0
"""The cost factor of a cold target. It exceeds the factor of a target in another data
centre, so a warm target there is preferred to a cold one here."""

SLOW_START_S = 5.0
"""The time in seconds in which the cost factor of a target that turned warm falls."""

MAX_COLD_S = 3_600.0
"""A target that states a longer time counts as cold for this one."""

LISTING_LAG_S = 2.0
"""A listing may have been written this long before it arrives, in seconds. One that
says warm does not end a cold state that a header has stated within this time."""

SAME_END_S = 0.5
"""Statements whose ends differ by less count as the same one; they are repeated with a
remaining time that was rounded or delayed."""

BURST_SHARE = 0.5
"""The share of the burst allowance that unused permits may use. The rest is for
requests that arrive closer together than they were sent."""

SPREAD_SHARE = 0.25
"""The share of the burst allowance that unused permits use on average if it is less
than one request for each instance. Where the instances' slots lie at random, several
times as many permits may be valid at the same moment."""


class Source(enum.Enum):
    """From where it is known that a target is cold."""

    LISTING = "listing"
    HEADER = "header"
    NEW = "new target"
    """No statement is known; it was listed after this instance started."""
    STARTED = "start time"
    """No statement is known; it started a short time ago."""
    EVACUATION = "evacuation"


STATED = frozenset((Source.LISTING, Source.HEADER))
"""The sources that are statements of the target itself."""


@attrs.frozen
class ColdState:
    """Until when a target is cold; times are in monotonic seconds."""

    until: float
    source: Source
    said_at: float

    @classmethod
    def lasting(cls, seconds: float, source: Source, now: float) -> ColdState:
        """Return the state of a target that is cold for some seconds from now on."""
        return cls(now + min(seconds, MAX_COLD_S), source, now)

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold."""
        return now < self.until

    def is_over(self, now: float) -> bool:
        """Return whether the target is warm and its slow start has ended."""
        return now >= self.until + SLOW_START_S

    def cost_factor(self, now: float) -> float:
        """Return the factor by which the target counts as costlier than a warm one."""
        if now < self.until:
            return COLD_FACTOR
        left = max(0.0, 1.0 - (now - self.until) / SLOW_START_S)
        return 1.0 + (COLD_FACTOR - 1.0) * left


def after_statement(
    known: ColdState | None, seconds: float, source: Source, now: float
) -> ColdState | None:
    """Return the state after a target has stated for how long it is cold.

    The result is `known` if the statement changes nothing.
    """
    was_cold = known is not None and known.is_cold(now)
    if seconds <= 0:
        if not was_cold or _is_overruled(known, source, now):
            return known
        return ColdState(now, source, now)
    said = ColdState.lasting(seconds, source, now)
    if was_cold and known.source in STATED and _same_end(known, said):
        return known
    return said


def _is_overruled(known: ColdState, source: Source, now: float) -> bool:
    """Return whether a listing as warm may be older than what a header has stated."""
    return (
        source is Source.LISTING
        and known.source is Source.HEADER
        and now - known.said_at < LISTING_LAG_S
    )


def _same_end(first: ColdState, second: ColdState) -> bool:
    return abs(first.until - second.until) < SAME_END_S


def presumed_state(
    is_first_listing: bool, age_s: float, cold_start_s: float, now: float
) -> ColdState | None:
    """Return the state of a target of which no statement is known, None if warm.

    `is_first_listing` tells whether it is listed in the first content that this
    instance got; `age_s` is the time since its start by the wall clock.
    """
    if cold_start_s <= 0:
        return None
    if not is_first_listing:
        return ColdState.lasting(cold_start_s, Source.NEW, now)
    if age_s < cold_start_s:
        # A start time in the future comes from another machine's clock.
        left_s = cold_start_s - max(0.0, age_s)
        return ColdState.lasting(left_s, Source.STARTED, now)
    return None


def after_evacuation(
    known: ColdState | None, cold_start_s: float, now: float
) -> ColdState | None:
    """Return the state of a target whose data centre is used again.

    The target was without requests, so what it stated before counts only if it is cold
    for longer by that.
    """
    if cold_start_s <= 0:
        return known
    state = ColdState.lasting(cold_start_s, Source.EVACUATION, now)
    if known is not None and known.until >= state.until:
        return known
    return state


# The rate of requests to a cold target.


@attrs.frozen
class ColdBound:
    """How far all instances together may exceed the rate of a cold target.

    In one second at most `rate * overage + slack` requests may reach the target.
    """

    overage: float = 1.5
    slack: float = 5.0

    def burst_allowance(self, rate_per_s: float) -> float:
        """Return the requests in one second that are allowed beyond the rate."""
        return max(0.0, rate_per_s * (self.overage - 1.0) + self.slack)


@attrs.frozen
class PermitRule:
    """How long an instance may use a permit later than it was issued."""

    lifetime_s: float
    keeps_one: bool
    """Whether one permit stays valid without an end."""
    max_in_flight: int
    """How many requests of the instance may be unanswered. What piles up at a target
    that stands still reaches it at once when it goes on."""


def permit_rule(rate_per_s: float, instances: int, bound: ColdBound) -> PermitRule:
    """Return the rule with which the permits of all instances keep to the bound.

    The worst case is that all instances use all their valid permits at the same moment,
    such as when the only warm target fails. If the allowance has a request for each
    instance, each may keep a permit. If not, permits expire after a short time, and the
    slots of the instances keep the number of those that are valid small.
    """
    allowance = bound.burst_allowance(rate_per_s)
    interval_s = instances / rate_per_s
    max_in_flight = max(1, int(allowance / instances))
    if allowance >= instances:
        kept = BURST_SHARE * allowance / instances
        return PermitRule(max(0.0, kept - 1.0) * interval_s, True, max_in_flight)
    lifetime_s = SPREAD_SHARE * allowance / rate_per_s
    return PermitRule(lifetime_s, False, max_in_flight)
