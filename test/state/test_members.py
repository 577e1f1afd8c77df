"""Member tables converge, and a member that refutes is never marked as dead."""

import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertshelf.state.members import (
    MAX_UPDATES,
    ListedInstance,
    Member,
    MemberTable,
    Status,
    merge,
)

FIXED = settings(derandomize=True, deadline=None)
OWN = Member("own", "a", ("127.0.0.1", 1), 100)
ROWS = st.builds(
    Member,
    id=st.sampled_from(["m1", "m2", "own"]),
    data_centre=st.sampled_from(["a", "b"]),
    address=st.tuples(st.just("127.0.0.1"), st.integers(1, 3)),
    incarnation=st.integers(0, 4),
    status=st.sampled_from(Status),
)


def make_table(own=OWN, **kwargs):
    return MemberTable(own, random.Random(1), **kwargs)


def row(name, incarnation=1, status=Status.ALIVE):
    return Member(name, "a", ("127.0.0.1", int(name[1:]) + 10), incarnation, status)


@FIXED
@given(st.lists(ROWS, min_size=3, max_size=3))
def test_merge_is_commutative_associative_and_idempotent(rows):
    a, b, c = (attrs.evolve(row, id="m1") for row in rows)
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, a) == a


@FIXED
@given(st.lists(ROWS), st.randoms(use_true_random=False))
def test_tables_agree_whatever_the_order_of_the_rows(rows, rng):
    first, second = make_table(), make_table()
    shuffled = rows + rows
    rng.shuffle(shuffled)
    for update in rows:
        first.apply(update, 0.0)
    for update in shuffled:
        second.apply(update, 0.0)
    assert {member.id: member for member in first} == {
        member.id: member for member in second
    }


@FIXED
@given(ROWS.filter(lambda member: member.id != "own"), ROWS)
def test_a_lower_incarnation_never_overrides_a_higher_one(known, update):
    update = attrs.evolve(update, id=known.id)
    table = make_table()
    table.apply(known, 0.0)
    table.apply(update, 0.0)
    kept = table.get(known.id)
    assert kept.incarnation == max(known.incarnation, update.incarnation)
    if update.incarnation < known.incarnation:
        assert kept == known


@FIXED
@given(st.lists(st.tuples(st.floats(0.1, 4.9), st.booleans()), max_size=40))
def test_a_member_that_keeps_refuting_is_never_dead(steps):
    # In each step the observer suspects the member, and the member receives the
    # suspicion within the suspicion time, directly or in a message.
    observer, accused = make_table(), make_table(row("m1"))
    observer.apply(accused.own, 0.0)
    now = 0.0
    for wait, by_message in steps:
        suspected = observer.suspect("m1", now)
        assert suspected.status is Status.SUSPECT
        now += wait
        assert observer.expire(now, 5.0) == []
        rows = observer.take_updates("m1") if by_message else [suspected]
        for update in rows:
            accused.apply(update, now)
        observer.apply(accused.own, now)
        assert observer.get("m1").status is Status.ALIVE


@FIXED
@given(st.lists(ROWS))
def test_a_bad_row_about_the_own_instance_is_always_refuted(rows):
    table = make_table(attrs.evolve(OWN, incarnation=0))
    for update in rows:
        table.apply(update, 0.0)
        assert table.get("own") == table.own
        assert table.own.status is Status.ALIVE
        if update.id == "own" and update.status is not Status.ALIVE:
            assert table.own.incarnation > update.incarnation


def test_suspects_are_dead_after_the_suspicion_time_and_later_removed():
    table = make_table(dead_retention_s=100.0)
    table.apply(row("m1"), 0.0)
    table.suspect("m1", 10.0)
    # A repeated suspicion must not restart the suspicion time.
    table.suspect("m1", 14.0)
    assert table.expire(14.9, 5.0) == []
    assert [dead.id for dead in table.expire(15.0, 5.0)] == ["m1"]
    assert len(table.members()) == 1
    table.expire(114.0, 5.0)
    assert table.get("m1") is not None
    table.expire(115.0, 5.0)
    assert table.get("m1") is None


def test_a_pause_restarts_the_suspicion_time():
    table = make_table()
    table.apply(row("m1"), 0.0)
    table.suspect("m1", 0.0)
    table.restart_suspicions(60.0)
    assert table.expire(64.9, 5.0) == []


@FIXED
@given(st.integers(1, 60))
def test_updates_are_bounded_and_each_is_sent_a_limited_number_of_times(count):
    # Guards against messages or numbers of resends that grow with the fleet.
    table = make_table()
    for index in range(count):
        table.apply(row(f"m{index}"), 0.0)
    limit = 3 * (count + 1).bit_length()
    for _ in range(limit * (count + 1)):
        updates = table.take_updates("m0")
        assert len(updates) <= MAX_UPDATES
        assert updates[0] == OWN
        assert len({update.id for update in updates}) == len(updates)
    assert not table._updates


def test_a_member_first_receives_the_row_that_it_must_refute():
    # Guards against a member that can't refute because it never receives its row.
    table = make_table()
    for index in range(30):
        table.apply(row(f"m{index}"), 0.0)
    table.apply(row("m3", status=Status.DEAD), 0.0)
    for _ in range(200):
        assert table.take_updates("m3")[1].id == "m3"


def test_each_round_probes_every_member_once():
    table = make_table()
    for index in range(9):
        table.apply(row(f"m{index}"), 0.0)
    for _ in range(3):
        assert len({table.next_probe().id for _ in range(9)}) == 9


def test_the_list_adds_candidates_and_marks_leaving_members_but_removes_none():
    table = make_table()
    table.apply(row("m1"), 0.0)
    table.apply(row("m2"), 0.0)
    new = ListedInstance("m3", "a", ("127.0.0.1", 13))
    table.replace_listed(
        [new, ListedInstance("m2", "a", ("127.0.0.1", 12), leaving=True)]
    )
    assert table.candidates() == (("127.0.0.1", 13),)
    assert table.next_rejoin_address() == ("127.0.0.1", 13)
    status = {member.id: member.status for member in table.members()}
    assert status["m1"] is Status.ALIVE
    assert status["m2"] is Status.LEAVING
    assert [member.id for member in table.sample(5)] == ["m1"]
    table.apply(row("m3"), 0.0)
    assert table.candidates() == ()
