"""Per-target observations and the choice of a replica."""

from __future__ import annotations

import enum
import random
from collections.abc import Collection, Sequence
from math import exp

import attrs

from filbertshelf.clock import Clock
from filbertshelf.state.outcome import Reason, Result
from filbertshelf.state.publication import Target

MIN_LATENCY_S = 0.001
"""The assumed latency of a target without samples; low, so that it gets measured."""

RISE_WEIGHT = 0.5
"""The weight of a sample above the average; a slow target is noticed at once."""

FALL_TIME_S = 2.0
"""The time constant with which the average follows samples below it."""

IDLE_TIME_S = 8.0
"""The time constant with which the cost of an unused target falls.

The choice never picks the costliest replica, so without this a target that was
slow once would never be measured again.
"""

FAILURE_LATENCY_S = 1.0
FAILURE_FACTOR = 10.0
"""A failure counts as the larger of this time and this multiple of the usual latency.

A failure is often quick and must not look like speed, also where answers are slow.
"""

SHED_LATENCY_S = 0.25
SHED_FACTOR = 2.0
"""The same for a refusal, which is a sign of load and not of a fault."""

TIMEOUT_FACTOR = 3.0
"""A timeout is the target's failure only above this multiple of its usual latency.

Otherwise callers with very short deadlines would open the breakers of all targets.
"""

FAILED_TIMEOUT_MIN_S = 0.05
"""A shorter timeout is never the target's failure, also before its first answer."""

USUAL_WEIGHT = 0.05
"""The weight of one answer in a target's usual latency."""

FAILURE_WEIGHT = 0.2
"""The weight of one attempt in the failure score; 5 failures in a row open."""

OPEN_SCORE = 0.6
"""The failure score that opens the breaker."""

RECLOSED_SCORE = 0.55
"""The score after a successful probe; one more failure opens the breaker again."""

HEALTHY_SCORE = 0.05
"""The score below which the open time starts from its minimum again."""

OPEN_MIN_S = 1.0
OPEN_MAX_S = 30.0

REPORT_FRESH_S = 1.0
"""How long a load report counts."""

MAX_REPORT_FACTOR = 2.0
"""The most that a load report can weigh."""

RAMP_S = 5.0
"""How long a target takes from its first use to its full share."""

RAMP_ANSWERS = 20
"""How many answers a target must have given before it gets its full share."""

RAMP_MIN = 0.1
"""The part of its share that a target gets at the start of its ramp."""

MAX_RAMP_FACTOR = 4.0
"""A target on its ramp gives no work to a replica that is slower than this factor.

A rarely used target is on its ramp for long and must not slow its work down.
"""

UNUSED_S = 30.0
"""A target without a start for so long is ramped again."""

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
_CUT_SHORT = frozenset((Reason.CANCELLED, Reason.TIMEOUT))
_SHARED_RNG = random.Random()


class Breaker(enum.Enum):
    """The state of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@attrs.frozen
class ReplicaChoice:
    """The chosen target and the reason for the log."""

    target: str
    reason: str


class TargetState:
    """What this instance itself has seen of one target.

    Each `started` is followed by exactly one `finished`. Draining is sticky: a new
    incarnation of the target gets a new state. `rng` jitters the open time.
    """

    __slots__ = (
        "_answers",
        "_breaker",
        "_choices",
        "_clock",
        "_latency",
        "_open_s",
        "_open_until",
        "_ramp_from",
        "_report",
        "_report_at",
        "_rng",
        "_sample_at",
        "_score",
        "_used_at",
        "_usual",
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
        self._usual = 0.0
        self._breaker = Breaker.CLOSED
        self._score = 0.0
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
        """Return the slowly moving mean of answers in seconds, 0.0 before the first."""
        return self._usual

    def started(self) -> None:
        """Count an attempt that is being sent to the target."""
        now = self._clock.monotonic()
        self.in_flight += 1
        if now - self._used_at > UNUSED_S:
            self._restart_ramp()
        if self._ramp_from is None:
            self._ramp_from = now
        self._used_at = now
        if self._breaker is Breaker.OPEN and now >= self._open_until:
            self._breaker = Breaker.HALF_OPEN

    def finished(self, result: Result, reason: Reason, latency_s: float) -> None:
        """Record the end of an attempt that took `latency_s` seconds.

        An attempt that ended while the process was paused is `Reason.PAUSED`: its
        latency is not the target's.
        """
        self.in_flight -= 1
        if result is Result.ANSWERED:
            self._answered(latency_s)
        elif reason in _FAILED or self._is_late(reason, latency_s):
            self._penalise(latency_s)
            self._failed()
        elif reason is Reason.TARGET_ERROR:
            # The cost keeps load away. The breaker stays as it is, because a query
            # that fails everywhere would open the breakers of all replicas.
            self._penalise(latency_s)
            self._is_alive()
        elif reason in _SHED:
            self._shed(reason, latency_s)
        elif reason in _CUT_SHORT and latency_s > self._latency:
            # The attempt would have taken at least the elapsed time.
            self._sample(latency_s)

    def observe_waiting(self, elapsed_s: float) -> None:
        """Record that an attempt has run for `elapsed_s` seconds without an end."""
        if elapsed_s > self._latency:
            self._sample(elapsed_s)

    def observe_report(self, load: int, draining: bool) -> None:
        """Record the load (requests in flight) and state that the target reports."""
        self._report = load
        self._report_at = self._clock.monotonic()
        if draining:
            self.draining = True

    def available(self) -> bool:
        """Return whether a new attempt may go to the target."""
        if self.draining:
            return False
        if self._breaker is Breaker.CLOSED:
            return True
        return self._probe_is_due()

    def cost(self) -> float:
        """Return (in flight + 1) x average latency in seconds."""
        return self.cost_at(self._clock.monotonic())

    def cost_at(self, now: float) -> float:
        """Return `cost` for a caller that has read the clock."""
        latency = self._latency
        if latency:
            latency *= exp((self._sample_at - now) / IDLE_TIME_S)
        if latency < MIN_LATENCY_S:
            latency = MIN_LATENCY_S
        return (self.in_flight + 1) * latency

    def report_factor(self) -> float:
        """Return 1.0 to 2.0 from the load that others put on the target."""
        return self.report_factor_at(self._clock.monotonic())

    def report_factor_at(self, now: float) -> float:
        """Return `report_factor` for a caller that has read the clock."""
        others = self._report - self.in_flight
        if others <= 0 or now - self._report_at > REPORT_FRESH_S:
            return 1.0
        return min(MAX_REPORT_FACTOR, 1.0 + others / self.target.slots)

    def ramp(self) -> float:
        """Return the part of its share that the target may have, up to 1.0."""
        return self.ramp_at(self._clock.monotonic())

    def ramp_at(self, now: float) -> float:
        """Return `ramp` for a caller that has read the clock."""
        if self._ramp_from is None or now - self._used_at > UNUSED_S:
            return RAMP_MIN
        by_time = (now - self._ramp_from) / RAMP_S
        if by_time >= 1.0 and self._answers >= RAMP_ANSWERS:
            return 1.0
        return max(RAMP_MIN, min(by_time, self._answers / RAMP_ANSWERS))

    def choice_for(self, reason: str) -> ReplicaChoice:
        """Return the choice of this target; kept, because it is made very often."""
        choice = self._choices.get(reason)
        if choice is None:
            choice = self._choices[reason] = ReplicaChoice(self.name, reason)
        return choice

    def is_open(self) -> bool:
        """Return whether the breaker is open or half open."""
        return self._breaker is not Breaker.CLOSED

    def read_clock(self) -> float:
        """Return the monotonic time of this target's clock."""
        return self._clock.monotonic()

    def _open_is_over(self) -> bool:
        return self._clock.monotonic() >= self._open_until

    def _probe_is_due(self) -> bool:
        # Attempts from before the breaker opened must have ended, so that the only
        # attempt in flight is the probe and its end is not taken for another's.
        return self.in_flight == 0 and self._open_is_over()

    def _is_late(self, reason: Reason, latency_s: float) -> bool:
        usual = TIMEOUT_FACTOR * self._usual
        return reason is Reason.TIMEOUT and latency_s >= max(
            usual, FAILED_TIMEOUT_MIN_S
        )

    def _sample(self, latency_s: float) -> None:
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

    def _penalise(self, latency_s: float) -> None:
        usual = FAILURE_FACTOR * self._usual
        self._sample(max(latency_s, FAILURE_LATENCY_S, usual))

    def _answered(self, latency_s: float) -> None:
        self._sample(latency_s)
        usual = self._usual or latency_s
        self._usual = usual + USUAL_WEIGHT * (latency_s - usual)
        self._answers += 1
        if self._breaker is Breaker.CLOSED:
            self._score *= 1.0 - FAILURE_WEIGHT
            if self._score < HEALTHY_SCORE:
                self._open_s = OPEN_MIN_S
        self._is_alive()

    def _shed(self, reason: Reason, latency_s: float) -> None:
        self._sample(max(latency_s, SHED_LATENCY_S, SHED_FACTOR * self._usual))
        if reason is Reason.DRAINING:
            self.draining = True
        elif reason is Reason.COLD:
            self._restart_ramp()
        self._is_alive()

    def _failed(self) -> None:
        if self._breaker is Breaker.HALF_OPEN:
            self._open()
        elif self._breaker is Breaker.CLOSED:
            self._score += (1.0 - self._score) * FAILURE_WEIGHT
            if self._score >= OPEN_SCORE:
                self._open()

    def _open(self) -> None:
        self._breaker = Breaker.OPEN
        jitter = self._rng.uniform(0.5, 1.0)
        self._open_until = self._clock.monotonic() + self._open_s * jitter
        self._open_s = min(OPEN_MAX_S, 2.0 * self._open_s)

    def _is_alive(self) -> None:
        if self._breaker is Breaker.HALF_OPEN:
            self._breaker = Breaker.CLOSED
            self._score = RECLOSED_SCORE
            self._restart_ramp()

    def _restart_ramp(self) -> None:
        self._ramp_from = None
        self._answers = 0


def choose_replica(
    states: Sequence[TargetState],
    rng: random.Random,
    exclude: Collection[str] = (),
) -> ReplicaChoice | None:
    """Return the better of two random available replicas, None if there is none.

    A replica on its ramp gives up a part of its choices. A load report moves at
    most half of a replica's choices, and only to one that costs at most twice as
    much, so that false reports can at most halve or double a share.
    """
    live = [s for s in states if s.available() and s.name not in exclude]
    count = len(live)
    if count < 2:
        return live[0].choice_for("only replica available") if live else None
    index = int(rng.random() * count)
    other = int(rng.random() * (count - 1))
    if other >= index:
        other += 1
    one, two = live[index], live[other]
    # The costs of open breakers are out of date; only a probe can renew them.
    if one.is_open():
        return one.choice_for("probe of an open breaker")
    if two.is_open():
        return two.choice_for("probe of an open breaker")
    return _better(one, two, rng)


def choose_random(
    states: Sequence[TargetState],
    rng: random.Random,
    exclude: Collection[str] = (),
) -> ReplicaChoice | None:
    """Return any replica that is not draining: the baseline without observations."""
    live = [s for s in states if s.name not in exclude and not s.draining]
    if not live:
        return None
    return live[int(rng.random() * len(live))].choice_for("random")


def _better(one: TargetState, two: TargetState, rng: random.Random) -> ReplicaChoice:
    now = one.read_clock()
    cost_one = one.cost_at(now)
    cost_two = two.cost_at(now)
    if cost_two < cost_one:
        one, two = two, one
        cost_one, cost_two = cost_two, cost_one
    ramp = one.ramp_at(now)
    # Relative to the other's ramp: after a restart of all replicas none yields.
    if ramp < 1.0 and rng.random() * two.ramp_at(now) >= ramp and _may_yield(one, two):
        return two.choice_for("lower-cost replica is ramping up")
    if cost_two <= MAX_REPORT_FACTOR * cost_one:
        load = one.report_factor_at(now)
        if load > 1.0:
            ratio = two.report_factor_at(now) / load
            if rng.random() >= ratio:
                return two.choice_for("lower-cost replica reports more load")
    return one.choice_for("lower cost of two")


def _may_yield(one: TargetState, two: TargetState) -> bool:
    """Return whether the ramp of `one` may send its work to `two`."""
    return not one.latency_s or two.latency_s <= MAX_RAMP_FACTOR * one.latency_s
