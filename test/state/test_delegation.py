"""Which instances run the queries over many shards."""

from __future__ import annotations

import random

import pytest

from filbertshelf.state.delegation import Delegates, shard_cost_us
from filbertshelf.state.members import Member, Status

SLOW = shard_cost_us(0.361, 7.0)
FAST = shard_cost_us(2.15, 100.0)


def member(name: str, centre: str, shard_us: int, status=Status.ALIVE) -> Member:
    return Member(name, centre, ("10.0.0.1", 1), 1, status, shard_us)


def fleet(slow: int, fast: int = 2) -> list[Member]:
    """Return members of three data centres, each with some fast ones."""
    return [
        member(f"{centre}-{kind}-{n}", centre, cost)
        for centre in "abc"
        for kind, cost, count in (("slow", SLOW, slow), ("fast", FAST, fast))
        for n in range(count)
    ]


def test_a_narrow_link_counts_like_a_slow_processor():
    # Guards against a delegate that computes fast and can't receive the answers.
    assert shard_cost_us(2.15, 7.0) > 5 * shard_cost_us(2.15, 100.0)
    assert SLOW > 8 * FAST


def test_the_fastest_of_each_data_centre_are_chosen():
    found = Delegates.choose(fleet(30), member("b-slow-3", "b", SLOW))
    assert {m.id for m in found.local} == {"b-fast-0", "b-fast-1"}
    assert (found.total, found.includes_self) == (6, False)
    assert Delegates.choose(fleet(30), member("a-fast-0", "a", FAST)).includes_self


def test_a_data_centre_without_fast_ones_has_two_all_the_same():
    found = Delegates.choose(fleet(30, fast=0), member("x", "c", SLOW))
    assert len(found.local) == 4
    assert Delegates.choose(fleet(5, fast=1), member("x", "c", SLOW)).local[0].id == (
        "c-fast-0"
    )


def test_who_has_died_or_leaves_is_not_chosen():
    members = [
        *fleet(3, fast=0),
        member("b-gone", "b", FAST, Status.DEAD),
        member("b-left", "b", FAST, Status.LEAVING),
    ]
    found = Delegates.choose(members, member("b-slow-0", "b", SLOW))
    assert {m.id for m in found.local} <= {"b-slow-0", "b-slow-1", "b-slow-2"}


@pytest.mark.parametrize(("own", "gains"), [(SLOW, True), (FAST, False), (0, False)])
def test_only_a_real_gain_is_worth_the_hop(own, gains):
    # Guards against a hop between machines that are equally fast.
    found = Delegates.choose(fleet(30), member("x", "a", own))
    assert (found.time_saved_s(90, own) > 0) is gains
    assert found.time_saved_s(1, own) <= 0


def test_remote_delegates_serve_when_no_local_one_is_left():
    found = Delegates.choose(fleet(30), member("x", "a", SLOW))
    rng = random.Random(1)
    local = {m.id for m in found.local}
    assert found.pick(rng, ()).data_centre == "a"
    assert found.pick(rng, local).data_centre != "a"
    everyone = {m.id for m in (*found.local, *found.remote)}
    assert found.pick(rng, everyone) is None
