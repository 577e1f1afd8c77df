"""The selection of delegates for queries over many shards."""

from __future__ import annotations

import collections

import pytest

from filbertshelf.state.delegation import Delegates, outside_regions, shard_cost_us
from filbertshelf.state.members import Member, Status

SLOW = shard_cost_us(0.361, 7.0)
FAST = shard_cost_us(2.15, 100.0)


def member(name: str, centre: str, shard_us: int, status=Status.ALIVE) -> Member:
    return Member(name, centre, ("10.0.0.1", 1), 1, status, shard_us)


def fleet(slow: int, fast: int = 2) -> list[Member]:
    """Return members in three data centres, with slow and fast ones in each."""
    return [
        member(f"{centre}-{kind}-{n}", centre, cost)
        for centre in "abc"
        for kind, cost, count in (("slow", SLOW, slow), ("fast", FAST, fast))
        for n in range(count)
    ]


def test_a_narrow_link_counts_like_a_slow_processor():
    # Guards against a delegate with a fast processor that receives answers slowly.
    assert shard_cost_us(2.15, 7.0) > 5 * shard_cost_us(2.15, 100.0)
    assert SLOW > 8 * FAST


def test_the_fastest_instances_of_each_data_centre_are_chosen():
    delegates = Delegates.choose(fleet(30), member("b-slow-3", "b", SLOW))
    assert {m.id for m in delegates.local} == {"b-fast-0", "b-fast-1"}
    assert (delegates.total, delegates.includes_self) == (6, False)
    assert Delegates.choose(fleet(30), member("a-fast-0", "a", FAST)).includes_self


def test_a_data_centre_without_fast_instances_has_delegates_too():
    delegates = Delegates.choose(fleet(30, fast=0), member("x", "c", SLOW))
    assert len(delegates.local) == 4
    assert Delegates.choose(fleet(5, fast=1), member("x", "c", SLOW)).local[0].id == (
        "c-fast-0"
    )


def test_dead_and_leaving_members_are_not_chosen():
    members = [
        *fleet(3, fast=0),
        member("b-gone", "b", FAST, Status.DEAD),
        member("b-left", "b", FAST, Status.LEAVING),
    ]
    delegates = Delegates.choose(members, member("b-slow-0", "b", SLOW))
    assert {m.id for m in delegates.local} <= {"b-slow-0", "b-slow-1", "b-slow-2"}


@pytest.mark.parametrize(
    ("own", "saves_time"), [(SLOW, True), (FAST, False), (0, False)]
)
def test_only_a_slow_instance_saves_time_and_only_with_many_shards(own, saves_time):
    # Guards against forwarding between machines that are equally fast.
    delegates = Delegates.choose(fleet(30), member("x", "a", own))
    assert (delegates.time_saved_s(90, own) > 0) is saves_time
    assert delegates.time_saved_s(1, own) <= 0


def test_remote_delegates_are_used_when_no_local_one_is_left():
    delegates = Delegates.choose(fleet(30), member("x", "a", SLOW))
    local = {m.id for m in delegates.local}
    assert {m.data_centre for m in delegates.candidates(())} == {"a"}
    remote = {m.data_centre for m in delegates.candidates(local)}
    assert remote
    assert "a" not in remote
    all_ids = {m.id for m in (*delegates.local, *delegates.remote)}
    assert delegates.candidates(all_ids) == []


def test_only_data_centres_near_the_shards_have_delegates():
    # Guards against one answer of each shard between data centres instead of one answer
    # of the whole query (large fleets with replicas in two of five data centres).
    own = member("c-slow-0", "c", SLOW)
    delegates = Delegates.choose(fleet(30), own, frozenset(("a", "b")))
    assert {m.data_centre for m in delegates.remote} == {"a", "b"}
    assert (delegates.local, delegates.includes_self) == ((), False)
    chosen = {m.data_centre for m in delegates.candidates(())}
    assert chosen
    assert chosen <= {"a", "b"}
    alone = Delegates.choose([own], own, frozenset(("a", "b")))
    assert alone.includes_self


def test_the_preferred_delegates_are_stable_and_distributed():
    # Guards against a delegate that gets the queries of all instances, and against a
    # random delegate, and so a new connection, for each query.
    everyone = fleet(30)
    near = frozenset(("a", "b"))
    chosen = [Delegates.choose(everyone, own, near) for own in everyone]
    again = Delegates.choose(reversed(everyone), everyone[0], near)
    assert again.preferred == chosen[0].preferred
    senders = [c for c in chosen if not c.local]
    assert {len(c.preferred) for c in senders} == {2}
    counts = collections.Counter(m.id for c in senders for m in c.preferred)
    assert len(counts) == 4
    assert max(counts.values()) <= 2 * min(counts.values())


def test_another_delegate_is_used_while_the_preferred_ones_are_avoided():
    delegates = Delegates.choose(fleet(30, fast=3), member("x", "a", SLOW))
    preferred = {m.id for m in delegates.preferred}
    assert {m.id for m in delegates.candidates(())} == preferred
    others = {m.id for m in delegates.candidates(preferred)}
    assert others
    assert not others & preferred


@pytest.mark.parametrize(
    ("regions", "allowed", "expected"),
    [
        ({"a": "r1", "b": "r1", "c": "r2"}, {"r2"}, ""),
        ({"a": "r1", "b": "r3", "c": "r2"}, {"r2"}, "b"),
        ({"a": "r1", "b": "r1", "c": "r2"}, {"r1"}, "c"),
        ({"c": "r2"}, {"r2"}, "b"),
        ({}, {"r2"}, "bc"),
        ({}, set(), ""),
    ],
)
def test_a_body_stays_in_the_allowed_regions_and_the_callers_own(
    regions, allowed, expected
):
    members = [member(name, name, SLOW) for name in "abc"]
    assert outside_regions(members, allowed, regions, "a") == set(expected)
