"""The fan-out of updates in small and large fleets."""

from __future__ import annotations

import pytest

from filbertshelf.state.members import Member
from filbertshelf.state.update_tree import MAX_DIRECT_RECIPIENTS, plan_branches


def fleet(size: int, centres: int = 5) -> list[Member]:
    """Return members that are distributed over data centres."""
    return [
        Member(f"n{n:04}", f"dc{n % centres}", ("10.0.0.1", n + 1), 1)
        for n in range(size)
    ]


def reached(branches) -> list[str]:
    """Return the ids of all instances that the branches reach, sorted."""
    recipients = [branch.recipient for branch in branches]
    others = [member for branch in branches for member in branch.others]
    return sorted(member.id for member in (*recipients, *others))


@pytest.mark.parametrize("size", [0, 1, MAX_DIRECT_RECIPIENTS])
def test_a_small_fleet_gets_updates_directly(size):
    branches = plan_branches(fleet(size), 0)
    assert len(branches) == size
    assert not any(branch.others for branch in branches)


@pytest.mark.parametrize("size", [25, 110, 195, 410, 1000])
@pytest.mark.parametrize("turn", [0, 1, 2])
def test_each_instance_of_a_large_fleet_is_reached_once(size, turn):
    # Guards against a sender whose messages grow with the fleet: 229 a second at 160
    # recipients, 13 KB/s of the 8 KB/s that control may use.
    members = fleet(size)
    branches = plan_branches(members, turn)
    assert reached(branches) == sorted(member.id for member in members)
    fan_out = max(len(branches), *(len(branch.others) for branch in branches))
    assert fan_out <= size**0.5 + 6


def test_a_group_lies_in_one_data_centre():
    # Guards against sending each update to a data centre more often than needed.
    for branch in plan_branches(fleet(195), 0):
        assert {m.data_centre for m in branch.others} <= {branch.recipient.data_centre}


def test_two_relays_take_turns_in_stable_groups():
    # Guards against a group that gets no updates while its relay is dead, and against
    # new connections for each update.
    first, second, third = (plan_branches(fleet(195), turn) for turn in range(3))
    assert first == third
    for one, other in zip(first, second, strict=True):
        assert one.recipient != other.recipient
        assert {one.recipient, *one.others} == {other.recipient, *other.others}
