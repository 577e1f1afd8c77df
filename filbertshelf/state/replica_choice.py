"""The choice of a replica by the observations of its targets."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence

from filbertshelf.state.replicas import (
    MAX_REPORT_FACTOR,
    ReplicaChoice,
    TargetState,
)

MAX_RAMP_FACTOR = 4.0
"""A target that is ramping up doesn't yield to a replica slower by more than this.

A rarely used target ramps up for a long time, and its requests must not be slowed
down for as long.
"""


def choose_replica(
    states: Sequence[TargetState],
    rng: random.Random,
    exclude: Collection[str] = (),
) -> ReplicaChoice | None:
    """Return the better of two random available replicas, None if there is none.

    A replica that is ramping up yields a part of its requests. A load report moves at
    most half of a replica's requests, and only to one that costs at most twice as
    much, so that false reports can at most halve or double a share.
    """
    available = [
        state for state in states if state.is_available() and state.name not in exclude
    ]
    count = len(available)
    if count < 2:
        return available[0].choice_for("only replica available") if available else None
    index = int(rng.random() * count)
    other = int(rng.random() * (count - 1))
    if other >= index:
        other += 1
    first, second = available[index], available[other]
    # The cost of a target with an open breaker is outdated until a probe updates it.
    if first.is_breaker_open():
        return first.choice_for("probe of an open breaker")
    if second.is_breaker_open():
        return second.choice_for("probe of an open breaker")
    return _choose_better(first, second, rng)


def choose_random(
    states: Sequence[TargetState],
    rng: random.Random,
    exclude: Collection[str] = (),
) -> ReplicaChoice | None:
    """Return a random replica that isn't draining, None if there is none.

    The baseline strategy uses it, which ignores observations.
    """
    available = [
        state for state in states if state.name not in exclude and not state.draining
    ]
    if not available:
        return None
    return available[int(rng.random() * len(available))].choice_for("random")


def _choose_better(
    first: TargetState, second: TargetState, rng: random.Random
) -> ReplicaChoice:
    now = first.read_clock()
    cost_first = first.cost_at(now)
    cost_second = second.cost_at(now)
    if cost_second < cost_first:
        first, second = second, first
        cost_first, cost_second = cost_second, cost_first
    ramp = first.ramp_at(now)
    # The ramp is relative to that of the other replica, so that none yields after all
    # replicas have restarted.
    if (
        ramp < 1.0
        and rng.random() * second.ramp_at(now) >= ramp
        and _may_yield(first, second)
    ):
        return second.choice_for("lower-cost replica is ramping up")
    if cost_second <= MAX_REPORT_FACTOR * cost_first:
        load = first.report_factor_at(now)
        if load > 1.0:
            ratio = second.report_factor_at(now) / load
            if rng.random() >= ratio:
                return second.choice_for("lower-cost replica reports more load")
    return first.choice_for("lower cost of two")


def _may_yield(first: TargetState, second: TargetState) -> bool:
    """Return whether `first`, which is ramping up, may yield to `second`."""
    return not first.latency_s or second.latency_s <= MAX_RAMP_FACTOR * first.latency_s
