"""Concurrency limits, connection quotas and shares of a fleet-wide rate."""

from __future__ import annotations

from math import inf

from filbertshelf.clock import Clock
from filbertshelf.state.publication import Fleet, Target

DECREASE = 0.7
"""The factor of one multiplicative decrease."""

INFLATION = 2.0
"""Average latency above this multiple of its floor means that work queues up."""

SMOOTHING = 0.1
"""The weight of one latency in the average that is compared with the floor."""

FLOOR_SLICE_S = 30.0
"""The floor is the least average of the last 30 to 60 seconds."""

BURST_S = 0.25
"""A bucket holds at most this many seconds of its share, but always one token."""

TRANSFER_MAX_S = 0.5
"""Tokens from a peer are dropped if the answer took longer than this."""

RESERVE = 0.5
"""The part of its bucket that an instance never gives away."""


class LatencyFloor:
    """A running average of latency and its least value in a sliding window.

    A latency that stays inflated for longer than the window becomes the floor.
    """

    __slots__ = ("_clock", "_least", "_least_before", "_since", "average")

    def __init__(self, clock: Clock):
        self._clock = clock
        self.average = 0.0
        self._least = inf
        self._least_before = inf
        self._since = clock.monotonic()

    @property
    def floor(self) -> float:
        """Return the least average in seconds, 0.0 before the first record."""
        least = min(self._least, self._least_before)
        return 0.0 if least == inf else least

    def record(self, seconds: float) -> None:
        """Add one latency."""
        old = self.average
        self.average = old + SMOOTHING * (seconds - old) if old else seconds
        now = self._clock.monotonic()
        age = now - self._since
        if age >= FLOOR_SLICE_S:
            self._least_before = self._least if age < 2 * FLOOR_SLICE_S else inf
            self._least = inf
            self._since = now
        if self.average < self._least:
            self._least = self.average

    def inflated(self) -> bool:
        """Return whether the average is far above the floor."""
        return self.average > INFLATION * self.floor


class AdaptiveLimit:
    """The concurrency limit for one target, from 1 to the quota.

    Each `try_start` that returns True is followed by one `finished`.
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
        """Count an attempt, or return False if the limit is reached."""
        if self.in_flight >= int(self._value):
            return False
        self.in_flight += 1
        return True

    def finished(self, latency_s: float, shed: bool = False) -> None:
        """Adjust the limit after an answer or a refusal for load (`shed`)."""
        used = self.in_flight >= int(self._value)
        self.in_flight -= 1
        if not shed:
            self._latency.record(latency_s)
        if shed or self._latency.inflated():
            self._decrease(latency_s)
        elif used:
            self._value = min(float(self._quota), self._value + 1.0 / self._value)

    def cancelled(self) -> None:
        """Count the end of an attempt that says nothing about the target's load."""
        self.in_flight -= 1

    def _decrease(self, latency_s: float) -> None:
        # An attempt that started before the last decrease tells of the load that
        # the decrease already answers: at most one decrease in a round trip.
        now = self._clock.monotonic()
        if now - latency_s < self._decreased_at:
            return
        self._decreased_at = now
        self._value = max(1.0, self._value * DECREASE)


def connection_quota(target: Target, fleet: Fleet) -> int:
    """Return how many connections to the target one instance may hold.

    At least 1: a target that caps its connections below the fleet's shares can get
    more connections than its cap.
    """
    return max(1, target.connections // fleet.shares)


class RateShare:
    """One instance's share of a fleet-wide rate, as a token bucket.

    Bound: while at most `fleet.shares` instances run at any time, the tokens taken
    by all of them over any W seconds are at most rate x W + `burst_bound(rate,
    fleet)`, whatever is lost, late or partitioned. It holds because a bucket starts
    empty and has a cap; a peer subtracts tokens before it answers; received tokens
    are not passed on; and an answer older than `TRANSFER_MAX_S` is dropped.
    """

    __slots__ = ("_capacity", "_clock", "_own", "_rate", "_received", "_share", "_then")

    def __init__(self, rate: float, fleet: Fleet, clock: Clock):
        self._clock = clock
        self._own = 0.0
        self._received = 0.0
        self._then = clock.monotonic()
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
        """Return the tokens that can be taken now."""
        self._refill()
        return self._own + self._received

    def configure(self, rate: float, fleet: Fleet, members: int = 0) -> None:
        """Apply a new rate (0: no limit), fleet size or number of members seen."""
        self._refill()
        self._rate = rate
        self._share = rate / max(fleet.shares, members, 1)
        self._capacity = max(1.0, self._share * BURST_S)
        self._own = min(self._own, self._capacity)
        self._received = min(self._received, self._capacity - self._own)

    def try_acquire(self, n: float = 1) -> bool:
        """Take `n` tokens; return False and take nothing if there are fewer."""
        if not self._rate:
            return True
        self._refill()
        if self._own + self._received < n:
            return False
        borrowed = min(n, self._received)
        self._received -= borrowed
        self._own = max(0.0, self._own - (n - borrowed))
        return True

    def donate(self, n: float) -> float:
        """Subtract up to `n` tokens for a peer and return how many; 0.0 if none."""
        if not self._rate or n <= 0:
            return 0.0
        self._refill()
        given = max(0.0, min(n, self._own - RESERVE * self._capacity))
        self._own -= given
        return given

    def receive(self, n: float, age_s: float = 0.0) -> float:
        """Add tokens from a peer and return how many fit into the bucket.

        `age_s` is the time since the request for them was sent.
        """
        if age_s > TRANSFER_MAX_S or n <= 0:
            return 0.0
        self._refill()
        added = min(n, self._capacity - self._own - self._received)
        self._received += max(0.0, added)
        return max(0.0, added)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        room = self._capacity - self._received
        self._own = max(0.0, min(room, self._own + (now - self._then) * self._share))
        self._then = now


def burst_bound(rate: float, fleet: Fleet) -> float:
    """Return how far the fleet can exceed rate x time: see `RateShare`.

    All buckets full, as much again in transit, and what the buckets earn and give
    while that is in transit.
    """
    capacity = max(1.0, rate / fleet.shares * BURST_S)
    return 2.0 * fleet.shares * capacity + rate * TRANSFER_MAX_S
