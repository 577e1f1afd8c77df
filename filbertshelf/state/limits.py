"""Concurrency limits, connection quotas and shares of a fleet-wide rate limit."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from filbertshelf.clock import Clock
from filbertshelf.state.target import Target

if TYPE_CHECKING:
    # A gateway has no publication, and importing it takes memory.
    from filbertshelf.state.publication import Fleet

DECREASE_FACTOR = 0.7
"""The factor by which one decrease lowers a concurrency limit."""

INFLATION_FACTOR = 2.0
"""An average latency above this multiple of its floor indicates queueing."""

AVERAGE_WEIGHT = 0.1
"""The weight of one latency in the average that is compared with the floor."""

FLOOR_SLICE_S = 30.0
"""The slice length; the floor is the lowest average of this slice and the last."""

BURST_S = 0.25
"""The capacity of a bucket in seconds of its share; it is at least one token."""

TRANSFER_MAX_S = 0.5
"""The highest age in seconds at which tokens from a peer are still accepted."""

RESERVE_SHARE = 0.5
"""The share of its bucket that an instance never donates."""


class LatencyFloor:
    """A moving average of latency and its lowest value in the last 30 to 60 seconds.

    A latency that stays inflated for longer than that becomes the floor.
    """

    __slots__ = (
        "_clock",
        "_lowest",
        "_previous_lowest",
        "_slice_started_at",
        "average",
    )

    def __init__(self, clock: Clock):
        self._clock = clock
        self.average = 0.0
        self._lowest = inf
        self._previous_lowest = inf
        self._slice_started_at = clock.monotonic()

    @property
    def floor(self) -> float:
        """Return the lowest average in seconds, 0.0 before the first record."""
        lowest = min(self._lowest, self._previous_lowest)
        return 0.0 if lowest == inf else lowest

    def record(self, seconds: float) -> None:
        """Add one latency in seconds."""
        previous = self.average
        self.average = (
            previous + AVERAGE_WEIGHT * (seconds - previous) if previous else seconds
        )
        now = self._clock.monotonic()
        age = now - self._slice_started_at
        if age >= FLOOR_SLICE_S:
            self._previous_lowest = self._lowest if age < 2 * FLOOR_SLICE_S else inf
            self._lowest = inf
            self._slice_started_at = now
        if self.average < self._lowest:
            self._lowest = self.average

    def is_inflated(self) -> bool:
        """Return whether the average is above `INFLATION_FACTOR` times the floor."""
        return self.average > INFLATION_FACTOR * self.floor


class AdaptiveLimit:
    """The concurrency limit for one target, from 1 to the quota.

    Each `try_start` that returns True is followed by one `finished` or `cancelled`.
    """

    __slots__ = ("_clock", "_decreased_at", "_latency", "_quota", "_value", "in_flight")

    def __init__(self, slots: int, quota: int, clock: Clock):
        self._clock = clock
        self._quota = max(1, quota)
        self._value = float(max(1, min(slots, self._quota)))
        self._latency = LatencyFloor(clock)
        self._decreased_at = -inf
        self.in_flight = 0

    @property
    def limit(self) -> int:
        """Return how many attempts may be in flight."""
        return int(self._value)

    def set_quota(self, quota: int) -> None:
        """Apply the quota of a new publication."""
        self._quota = max(1, quota)
        self._value = min(self._value, float(self._quota))

    def try_start(self) -> bool:
        """Count an attempt in flight, or return False if the limit is reached."""
        if self.in_flight >= int(self._value):
            return False
        self.in_flight += 1
        return True

    def finished(self, latency_s: float, shed: bool = False) -> None:
        """Adjust the limit after an answer or a refusal because of load (`shed`)."""
        at_limit = self.in_flight >= int(self._value)
        self.in_flight -= 1
        if not shed:
            self._latency.record(latency_s)
        if shed or self._latency.is_inflated():
            self._decrease(latency_s)
        elif at_limit:
            self._value = min(float(self._quota), self._value + 1.0 / self._value)

    def cancelled(self) -> None:
        """Count the end of an attempt that says nothing about the target's load."""
        self.in_flight -= 1

    def _decrease(self, latency_s: float) -> None:
        # An attempt that started before the last decrease still reflects the load that
        # caused it, so there is at most one decrease per round trip.
        now = self._clock.monotonic()
        if now - latency_s < self._decreased_at:
            return
        self._decreased_at = now
        self._value = max(1.0, self._value * DECREASE_FACTOR)


def connection_quota(target: Target, fleet: Fleet) -> int:
    """Return how many connections to the target one instance may hold, at least 1.

    A target whose cap is below the number of the fleet's shares can therefore get more
    connections than its cap.
    """
    return max(1, target.connections // fleet.shares)


class RateShare:
    """One instance's share of a fleet-wide rate, as a token bucket.

    Bound: while at most `fleet.shares` instances run at any time, all of them together
    acquire at most rate x W + `burst_bound(rate, fleet)` tokens in any W seconds, even
    if messages are lost or late or the network is partitioned. This holds because a
    bucket starts empty and is capped, a peer subtracts tokens before it sends them,
    received tokens are never donated again, and an answer older than `TRANSFER_MAX_S`
    is dropped.
    """

    __slots__ = (
        "_capacity",
        "_clock",
        "_own",
        "_rate",
        "_received",
        "_refilled_at",
        "_share",
    )

    def __init__(self, rate: float, fleet: Fleet, clock: Clock):
        self._clock = clock
        self._own = 0.0
        self._received = 0.0
        self._refilled_at = clock.monotonic()
        self._share = 0.0
        self._capacity = 0.0
        self._rate = 0.0
        self.configure(rate, fleet)

    @property
    def share(self) -> float:
        """Return this instance's tokens per second."""
        return self._share

    @property
    def tokens(self) -> float:
        """Return the number of tokens that can be acquired now."""
        self._refill()
        return self._own + self._received

    def configure(self, rate: float, fleet: Fleet, members: int = 0) -> None:
        """Set the rate (0: no limit), the fleet size and the number of members seen."""
        self._refill()
        self._rate = rate
        self._share = rate / max(fleet.shares, members, 1)
        self._capacity = max(1.0, self._share * BURST_S)
        self._own = min(self._own, self._capacity)
        self._received = min(self._received, self._capacity - self._own)

    def try_acquire(self, count: float = 1) -> bool:
        """Take `count` tokens; return False and take none if there are fewer."""
        if not self._rate:
            return True
        self._refill()
        if self._own + self._received < count:
            return False
        borrowed = min(count, self._received)
        self._received -= borrowed
        self._own = max(0.0, self._own - (count - borrowed))
        return True

    def donate(self, count: float) -> float:
        """Subtract up to `count` tokens for a peer and return how many they are."""
        if not self._rate or count <= 0:
            return 0.0
        self._refill()
        donated = max(0.0, min(count, self._own - RESERVE_SHARE * self._capacity))
        self._own -= donated
        return donated

    def receive(self, count: float, age_s: float = 0.0) -> float:
        """Add up to `count` tokens from a peer and return how many were added.

        `age_s` is the time in seconds since the request for them was sent.
        """
        if age_s > TRANSFER_MAX_S or count <= 0:
            return 0.0
        self._refill()
        added = min(count, self._capacity - self._own - self._received)
        self._received += max(0.0, added)
        return max(0.0, added)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        room = self._capacity - self._received
        self._own = max(
            0.0, min(room, self._own + (now - self._refilled_at) * self._share)
        )
        self._refilled_at = now


def burst_bound(rate: float, fleet: Fleet) -> float:
    """Return by how many tokens the fleet can exceed rate x time (see `RateShare`).

    In the worst case all buckets are full, as many tokens are in transit, and the
    buckets earn and donate more during that transit.
    """
    capacity = max(1.0, rate / fleet.shares * BURST_S)
    return 2.0 * fleet.shares * capacity + rate * TRANSFER_MAX_S
