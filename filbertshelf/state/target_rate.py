"""The rate limit that a target names, and this instance's share of it."""

from __future__ import annotations

import math
import random
import zlib

import attrs

MIN_LIMIT_PER_S = 0.5
"""A lower limit that a target names counts as this one, because only an answer tells
when it ends."""

PERMIT_LIFETIME_S = 2.0
"""How long a permit can be used; older ones would add up to bursts in a large fleet."""

GOLDEN_RATIO = 0.6180339887498949

MAX_EPOCH_DRIFT_S = 0.05
"""Smaller changes of the wall clock don't move the permits."""

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


@attrs.frozen
class PermitPhase:
    """Where the permits of one instance lie in the interval between two of them.

    `epoch` is a moment that all instances agree on, in monotonic seconds, and `phase`
    the part of the interval, 0 to 1, after which the first permit follows it.
    """

    epoch: float
    phase: float

    @classmethod
    def choose(cls, epoch: float, rank: int, target_id: str) -> PermitPhase:
        """Return the phase for a target of the instance with a rank in the fleet.

        Multiples of the golden ratio, modulo 1, are spread evenly whatever the number
        of instances. The targets are shifted, so that an instance doesn't get the
        permits for all of them at the same moment.
        """
        shift = zlib.crc32(target_id.encode()) / 2**32
        return cls(epoch, (rank * GOLDEN_RATIO + shift) % 1.0)

    def next_at(self, now: float, interval_s: float) -> float:
        """Return the time of the next permit."""
        return now + (self.epoch + self.phase * interval_s - now) % interval_s

    def differs_from(self, other: PermitPhase | None) -> bool:
        """Return whether the permits lie elsewhere, apart from small clock changes."""
        if other is None or self.phase != other.phase:
            return True
        return abs(self.epoch - other.epoch) > MAX_EPOCH_DRIFT_S


class TargetRate:
    """Permits for sub-requests to one target; times are monotonic seconds.

    A target in need names the requests a second that it takes from all instances
    together. Each instance gets permits at regular intervals, so that all of them
    together stay within the limit. The first interval begins at a random moment, which
    spreads the permits of the instances over time.
    """

    __slots__ = (
        "_extra",
        "_instances",
        "_interval_s",
        "_keeps_one",
        "_limit_per_s",
        "_logged_at",
        "_logged_limit",
        "_malformed_logged_at",
        "_min_limit_per_s",
        "_next_permit_at",
        "_permit_lifetime_s",
        "_phase",
        "_rng",
        "_sent",
    )

    def __init__(
        self,
        now: float,
        rng: random.Random,
        min_limit_per_s: float = MIN_LIMIT_PER_S,
    ):
        """Create without a limit; a lower one than the minimum counts as that."""
        self._rng = rng
        self._min_limit_per_s = min_limit_per_s
        self._limit_per_s: float | None = None
        self._instances = 1
        self._interval_s = 0.0
        self._permit_lifetime_s = PERMIT_LIFETIME_S
        self._keeps_one = False
        self._phase: PermitPhase | None = None
        self._next_permit_at = now
        self._logged_limit: float | None = None
        self._logged_at = now
        self._malformed_logged_at = -math.inf
        self._sent = 0
        self._extra = 0

    @property
    def limit_per_s(self) -> float | None:
        """Return the requests a second from all instances, None without a limit."""
        return self._limit_per_s

    def set_limit(self, limit_per_s: float | None, now: float) -> None:
        """Apply the limit that the target names, None if it names none."""
        if limit_per_s != self._limit_per_s:
            self._limit_per_s = limit_per_s
            self._reschedule(now)

    def set_instances(self, instances: int, now: float) -> None:
        """Set the highest number of instances that may send to the target."""
        if instances != self._instances:
            self._instances = instances
            self._reschedule(now)

    def set_permit_rule(self, lifetime_s: float, keeps_one: bool) -> None:
        """Set how long a permit can be used, and whether the last one never expires.

        Permits that never expire are closer together than the interval only by
        `lifetime_s`, but those of all instances may be used at the same moment.
        """
        self._permit_lifetime_s = lifetime_s
        self._keeps_one = keeps_one

    def set_phase(self, phase: PermitPhase, now: float) -> None:
        """Set where the permits lie in the interval, instead of at random."""
        if phase.differs_from(self._phase):
            self._phase = phase
            if self._interval_s:
                self._next_permit_at = phase.next_at(now, self._interval_s)

    def allows(self, now: float) -> bool:
        """Return whether a sub-request may be sent now."""
        if not self._interval_s:
            return True
        self._drop_expired(now)
        return self._next_permit_at <= now

    def would_allow(self, now: float) -> bool:
        """Return what `allows` would return, without dropping expired permits."""
        return not self._interval_s or self._next_valid_at(now) <= now

    def spend(self, now: float, is_extra: bool) -> None:
        """Use a permit for a sub-request and count it; a hedge or retry is extra."""
        self._sent += 1
        self._extra += is_extra
        if self._interval_s:
            self._drop_expired(now)
            self._next_permit_at += self._interval_s

    def may_log_malformed(self, now: float) -> bool:
        """Return whether to log a malformed limit now, once in `LINE_INTERVAL_S`."""
        due = now - self._malformed_logged_at >= LINE_INTERVAL_S
        if due:
            self._malformed_logged_at = now
        return due

    def change_to_log(self, now: float) -> RateChange | None:
        """Return the change since the last one that was returned, None if not due."""
        elapsed_s = now - self._logged_at
        if self._limit_per_s == self._logged_limit or elapsed_s < LINE_INTERVAL_S:
            return None
        change = RateChange(
            self._logged_limit, self._limit_per_s, self._sent, self._extra, elapsed_s
        )
        self._logged_limit = self._limit_per_s
        self._logged_at = now
        self._sent = self._extra = 0
        return change

    def _reschedule(self, now: float) -> None:
        """Adjust the wait for the next permit to a changed interval."""
        before_s = self._interval_s
        if self._limit_per_s is None:
            self._interval_s = 0.0
            return
        self._interval_s = self._instances / max(
            self._min_limit_per_s, self._limit_per_s
        )
        if self._phase is not None:
            self._next_permit_at = self._phase.next_at(now, self._interval_s)
            return
        if before_s:
            wait_s = (self._next_permit_at - now) * self._interval_s / before_s
        else:
            wait_s = self._rng.random() * self._interval_s
        self._next_permit_at = now + wait_s

    def _drop_expired(self, now: float) -> None:
        """Skip the permits that were not used in time."""
        self._next_permit_at = self._next_valid_at(now)

    def _next_valid_at(self, now: float) -> float:
        """Return the time of the first permit that has not expired."""
        expired_s = now - self._permit_lifetime_s - self._next_permit_at
        if expired_s <= 0:
            return self._next_permit_at
        if self._keeps_one:
            return self._next_permit_at + expired_s
        skipped = math.ceil(expired_s / self._interval_s)
        return self._next_permit_at + skipped * self._interval_s
