"""The observations of one target: latency, failures, load reports and ramp-up."""

from __future__ import annotations

import enum
import random
from math import exp

import attrs

from filbertshelf.clock import Clock
from filbertshelf.state.outcome import Reason, Result
from filbertshelf.state.target import Target

MIN_LATENCY_S = 0.001
"""The assumed latency of a target without samples, low so that it is tried soon."""

RISE_WEIGHT = 0.5
"""The weight of a sample above the average, high to detect a slow target quickly."""

FALL_TIME_S = 2.0
"""The time constant in seconds with which the average follows lower samples."""

IDLE_TIME_S = 8.0
"""The time constant in seconds with which the cost of an unused target decays.

The costliest replica is never chosen, so without the decay a target that was slow
once would never be measured again.
"""

FAILURE_LATENCY_S = 1.0
"""The minimum latency in seconds that is recorded for a failure."""

FAILURE_FACTOR = 10.0
"""The same minimum as a multiple of the typical latency; the larger one applies.

Failures are often quick and must not make a target look fast, even if its answers
are slow.
"""

SHED_LATENCY_S = 0.25
SHED_FACTOR = 2.0
"""The same minimums for a refusal, which indicates load and not a fault."""

TIMEOUT_FACTOR = 3.0
"""A timeout counts as a failure only above this multiple of the typical latency.

Otherwise callers with very short deadlines would open the breakers of all targets.
"""

FAILED_TIMEOUT_MIN_S = 0.05
"""A shorter timeout never counts as a failure, even before the first answer."""

TYPICAL_WEIGHT = 0.05
"""The weight of one answer in the typical latency of a target."""

FAILURE_WEIGHT = 0.2
"""The weight of one attempt in the failure score.

Five failures in a row open the breaker.
"""

OPEN_SCORE = 0.6
"""The failure score at which the breaker opens."""

RECLOSED_SCORE = 0.55
"""The failure score after a successful probe.

One more failure opens the breaker again.
"""

HEALTHY_SCORE = 0.05
"""The failure score below which the open time is reset to its minimum."""

OPEN_MIN_S = 1.0
OPEN_MAX_S = 30.0
"""The bounds of the open time, which doubles each time the breaker opens."""

REPORT_FRESH_S = 1.0
"""How long a load report is used."""

MAX_REPORT_FACTOR = 2.0
"""The highest factor that a load report can have."""

RAMP_S = 5.0
"""The time in seconds from the first use of a target to its full share."""

RAMP_ANSWERS = 20
"""The number of answers after which a target can get its full share."""

RAMP_MIN = 0.1
"""The part of its share that a target gets at the start of its ramp-up."""

RAMP_RESET_IDLE_S = 30.0
"""A target that got no attempt for this long is ramped up again."""

_SHED = frozenset(
    (Reason.OVERLOADED, Reason.COLD, Reason.DRAINING, Reason.OTHER_SNAPSHOT)
)
_FAILED = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECTION_LOST,
        Reason.CONNECTION_CLOSED,
        Reason.BAD_RESPONSE,
    )
)
_ENDED_EARLY = frozenset((Reason.CANCELLED, Reason.TIMEOUT))
_SHARED_RNG = random.Random()


class Breaker(enum.Enum):
    """The state of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@attrs.frozen
class ReplicaChoice:
    """The chosen target and the reason for choosing it, for the log."""

    target: str
    reason: str


class TargetState:
    """The observations of this instance about one target.

    Each call of `attempt_started` is followed by exactly one of `attempt_finished`.
    Draining is permanent, because a new incarnation of the target gets a new state.
    `rng` jitters the open time of the breaker.
    """

    __slots__ = (
        "_answers",
        "_breaker",
        "_choices",
        "_clock",
        "_failure_score",
        "_latency",
        "_open_s",
        "_open_until",
        "_ramp_from",
        "_report",
        "_report_at",
        "_rng",
        "_sample_at",
        "_typical_latency",
        "_used_at",
        "draining",
        "in_flight",
        "name",
        "target",
    )

    def __init__(self, target: Target, clock: Clock, rng: random.Random | None = None):
        self.target = target
        self.name = target.name
        self.in_flight = 0
        self.draining = False
        self._clock = clock
        self._rng = rng or _SHARED_RNG
        self._latency = 0.0
        self._sample_at = 0.0
        self._typical_latency = 0.0
        self._breaker = Breaker.CLOSED
        self._failure_score = 0.0
        self._open_s = OPEN_MIN_S
        self._open_until = 0.0
        self._report = 0
        self._report_at = float("-inf")
        self._used_at = float("-inf")
        self._ramp_from: float | None = None
        self._answers = 0
        self._choices: dict[str, ReplicaChoice] = {}

    @property
    def breaker(self) -> Breaker:
        """Return the state of the circuit breaker."""
        if self._breaker is Breaker.OPEN and self._open_is_over():
            return Breaker.HALF_OPEN
        return self._breaker

    @property
    def latency_s(self) -> float:
        """Return the average latency in seconds, 0.0 before the first sample."""
        return self._latency

    @property
    def typical_latency_s(self) -> float:
        """Return the slowly moving mean latency in seconds, 0.0 before any answer."""
        return self._typical_latency

    def attempt_started(self) -> None:
        """Record the start of an attempt."""
        now = self._clock.monotonic()
        self.in_flight += 1
        if now - self._used_at > RAMP_RESET_IDLE_S:
            self._restart_ramp()
        if self._ramp_from is None:
            self._ramp_from = now
        self._used_at = now
        if self._breaker is Breaker.OPEN and now >= self._open_until:
            self._breaker = Breaker.HALF_OPEN

    def attempt_finished(
        self, result: Result, reason: Reason, latency_s: float
    ) -> None:
        """Record the end of an attempt that took `latency_s` seconds.

        An attempt that ended while this process was paused has `Reason.PAUSED`, and
        its latency says nothing about the target.
        """
        self.in_flight -= 1
        if result is Result.ANSWERED:
            self._record_answer(latency_s)
        elif reason in _FAILED or self._is_late(reason, latency_s):
            self._add_penalty_sample(latency_s)
            self._record_failure()
        elif reason is Reason.TARGET_ERROR:
            # The higher cost keeps load away. The breaker isn't opened, because a
            # query that fails everywhere would open the breakers of all replicas.
            self._add_penalty_sample(latency_s)
            self._record_response()
        elif reason in _SHED:
            self._record_refusal(reason, latency_s)
        elif reason in _ENDED_EARLY and latency_s > self._latency:
            # The attempt would have taken at least the elapsed time.
            self._add_sample(latency_s)

    def observe_waiting(self, elapsed_s: float) -> None:
        """Record that an attempt has been running for `elapsed_s` seconds."""
        if elapsed_s > self._latency:
            self._add_sample(elapsed_s)

    def observe_report(self, load: int, draining: bool) -> None:
        """Record the load (requests in flight) and the draining state of a report."""
        self._report = load
        self._report_at = self._clock.monotonic()
        if draining:
            self.draining = True

    def forget_failures(self) -> None:
        """Forget failures and late answers that the target did not cause."""
        self._breaker = Breaker.CLOSED
        self._failure_score = 0.0
        self._open_s = OPEN_MIN_S
        self._latency = self._typical_latency

    def is_available(self) -> bool:
        """Return whether a new attempt may be sent to the target."""
        if self.draining:
            return False
        if self._breaker is Breaker.CLOSED:
            return True
        return self._probe_is_due()

    def cost(self) -> float:
        """Return (attempts in flight + 1) x average latency in seconds."""
        return self.cost_at(self._clock.monotonic())

    def cost_at(self, now: float) -> float:
        """Return `cost` at the monotonic time `now`."""
        latency = self._latency
        if latency:
            latency *= exp((self._sample_at - now) / IDLE_TIME_S)
        if latency < MIN_LATENCY_S:
            latency = MIN_LATENCY_S
        return (self.in_flight + 1) * latency

    def report_factor(self) -> float:
        """Return a factor from 1.0 to 2.0 for the load that other instances cause."""
        return self.report_factor_at(self._clock.monotonic())

    def report_factor_at(self, now: float) -> float:
        """Return `report_factor` at the monotonic time `now`."""
        others = self._report - self.in_flight
        if others <= 0 or now - self._report_at > REPORT_FRESH_S:
            return 1.0
        return min(MAX_REPORT_FACTOR, 1.0 + others / self.target.slots)

    def ramp(self) -> float:
        """Return the part of its full share that the target may get, up to 1.0."""
        return self.ramp_at(self._clock.monotonic())

    def ramp_at(self, now: float) -> float:
        """Return `ramp` at the monotonic time `now`."""
        if self._ramp_from is None or now - self._used_at > RAMP_RESET_IDLE_S:
            return RAMP_MIN
        by_time = (now - self._ramp_from) / RAMP_S
        if by_time >= 1.0 and self._answers >= RAMP_ANSWERS:
            return 1.0
        return max(RAMP_MIN, min(by_time, self._answers / RAMP_ANSWERS))

    def choice_for(self, reason: str) -> ReplicaChoice:
        """Return the choice of this target, cached because it is made very often."""
        choice = self._choices.get(reason)
        if choice is None:
            choice = self._choices[reason] = ReplicaChoice(self.name, reason)
        return choice

    def is_breaker_open(self) -> bool:
        """Return whether the breaker is open or half open."""
        return self._breaker is not Breaker.CLOSED

    def read_clock(self) -> float:
        """Return the current monotonic time in seconds."""
        return self._clock.monotonic()

    def _open_is_over(self) -> bool:
        return self._clock.monotonic() >= self._open_until

    def _probe_is_due(self) -> bool:
        # Attempts sent before the breaker opened must have ended, so that the probe is
        # the only attempt in flight and their ends aren't mistaken for its end.
        return self.in_flight == 0 and self._open_is_over()

    def _is_late(self, reason: Reason, latency_s: float) -> bool:
        late_s = TIMEOUT_FACTOR * self._typical_latency
        return reason is Reason.TIMEOUT and latency_s >= max(
            late_s, FAILED_TIMEOUT_MIN_S
        )

    def _add_sample(self, latency_s: float) -> None:
        now = self._clock.monotonic()
        old = self._latency
        if not old:
            self._latency = latency_s
        elif latency_s >= old:
            self._latency = old + RISE_WEIGHT * (latency_s - old)
        else:
            keep = exp((self._sample_at - now) / FALL_TIME_S)
            self._latency = old * keep + latency_s * (1.0 - keep)
        self._sample_at = now

    def _add_penalty_sample(self, latency_s: float) -> None:
        relative_s = FAILURE_FACTOR * self._typical_latency
        self._add_sample(max(latency_s, FAILURE_LATENCY_S, relative_s))

    def _record_answer(self, latency_s: float) -> None:
        self._add_sample(latency_s)
        typical = self._typical_latency or latency_s
        self._typical_latency = typical + TYPICAL_WEIGHT * (latency_s - typical)
        self._answers += 1
        if self._breaker is Breaker.CLOSED:
            self._failure_score *= 1.0 - FAILURE_WEIGHT
            if self._failure_score < HEALTHY_SCORE:
                self._open_s = OPEN_MIN_S
        self._record_response()

    def _record_refusal(self, reason: Reason, latency_s: float) -> None:
        self._add_sample(
            max(latency_s, SHED_LATENCY_S, SHED_FACTOR * self._typical_latency)
        )
        if reason is Reason.DRAINING:
            self.draining = True
        elif reason is Reason.COLD:
            self._restart_ramp()
        self._record_response()

    def _record_failure(self) -> None:
        if self._breaker is Breaker.HALF_OPEN:
            self._open_breaker()
        elif self._breaker is Breaker.CLOSED:
            self._failure_score += (1.0 - self._failure_score) * FAILURE_WEIGHT
            if self._failure_score >= OPEN_SCORE:
                self._open_breaker()

    def _open_breaker(self) -> None:
        self._breaker = Breaker.OPEN
        jitter = self._rng.uniform(0.5, 1.0)
        self._open_until = self._clock.monotonic() + self._open_s * jitter
        self._open_s = min(OPEN_MAX_S, 2.0 * self._open_s)

    def _record_response(self) -> None:
        if self._breaker is Breaker.HALF_OPEN:
            self._breaker = Breaker.CLOSED
            self._failure_score = RECLOSED_SCORE
            self._restart_ramp()

    def _restart_ramp(self) -> None:
        self._ramp_from = None
        self._answers = 0
