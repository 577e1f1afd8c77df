"""The selection of a target for one shard."""

from __future__ import annotations

import random
from datetime import timedelta

from filbertshelf.clock import ManualClock
from filbertshelf.state.outcome import Reason, Result
from filbertshelf.state.replicas import TargetState
from filbertshelf.state.selection import Candidate, choose_cheapest
from filbertshelf.state.target import Target

RNG = random.Random(1)


def candidate(clock, name, local, latency_s=0.0, answers=5) -> Candidate:
    """Return a target that has given some answers."""
    state = TargetState(Target(name, "", "", {}, 2, 0), clock, RNG)
    for _ in range(answers if latency_s else 0):
        state.attempt_started()
        state.attempt_finished(Result.ANSWERED, Reason.NONE, latency_s)
    return Candidate(state, local)


def chosen(candidates, clock, rounds=100) -> set[str]:
    """Return the names of the targets chosen in a number of rounds."""
    now = clock.monotonic()
    choices = (choose_cheapest(candidates, (), now, RNG) for _ in range(rounds))
    return {item.state.name for item in choices}


def test_the_local_target_of_two_equal_ones_is_chosen():
    # Guards against traffic between data centres if the targets are equal.
    clock = ManualClock()
    pair = [candidate(clock, "far", False, 0.03), candidate(clock, "near", True, 0.03)]
    assert chosen(pair, clock) == {"near"}


def test_a_remote_target_is_chosen_over_a_much_slower_local_one():
    clock = ManualClock()
    pair = [candidate(clock, "far", False, 0.03), candidate(clock, "near", True, 0.3)]
    assert chosen(pair, clock) == {"far"}


def test_a_local_target_with_a_free_slot_is_chosen_over_a_remote_one():
    # Guards against sending every second request of a burst to another data centre
    # while the targets here still have free slots.
    clock = ManualClock()
    near = candidate(clock, "near", True, 0.03)
    pair = [candidate(clock, "far", False, 0.03), near]
    near.state.attempt_started()
    assert chosen(pair, clock) == {"near"}
    for _ in range(3):
        near.state.attempt_started()
    assert chosen(pair, clock) == {"far"}


def test_a_stalled_target_is_not_chosen():
    # Guards against sending one query after the other to a paused target.
    clock = ManualClock()
    near = candidate(clock, "near", True, 0.03)
    near.state.attempt_started()
    near.oldest_start = clock.monotonic()
    clock.advance(timedelta(milliseconds=120).total_seconds())
    pair = [candidate(clock, "far", False, 0.03), near]
    assert chosen(pair, clock) == {"far"}


def test_a_new_target_is_preferred_to_siblings_that_fail():
    # Guards against using the penalty of a failing target as its typical latency.
    clock = ManualClock()
    failing = candidate(clock, "failing", True)
    failing.state.attempt_started()
    failing.state.attempt_finished(Result.NOT_RUN, Reason.OVERLOADED, 0.002)
    pair = [failing, candidate(clock, "new", False)]
    assert chosen(pair, clock) == {"new"}


def test_a_draining_target_is_never_chosen():
    clock = ManualClock()
    only = candidate(clock, "only", True, 0.03)
    only.state.draining = True
    assert choose_cheapest([only], (), clock.monotonic(), RNG) is None
