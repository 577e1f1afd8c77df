"""The way of an update from one instance to all others, with a bounded fan-out."""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator

import attrs

from filbertshelf.state.members import Member

MAX_DIRECT_RECIPIENTS = 24
"""Up to this many instances get an update directly; more get it through relays."""

RELAYS_PER_GROUP = 2
"""Members of a group that relay updates in turn, so that one may fail.

An instance that misses one update gets the next one before it polls the platform.
"""


@attrs.frozen
class Branch:
    """One recipient of an update and the instances to which it forwards the update."""

    recipient: Member
    others: tuple[Member, ...] = ()


def plan_branches(members: Iterable[Member], turn: int) -> list[Branch]:
    """Return the branches that reach all members; `turn` counts the updates.

    The groups have about the square root of the fleet's size, lie in one data centre
    each, and change only with the members, so that the same connections are used
    again.
    """
    order = sorted(members, key=lambda member: (member.data_centre, member.id))
    if len(order) <= MAX_DIRECT_RECIPIENTS:
        return [Branch(member) for member in order]
    size = math.isqrt(len(order) - 1) + 1
    return [_branch(group, turn) for group in _groups(order, size)]


def _groups(order: list[Member], size: int) -> Iterator[list[Member]]:
    """Yield runs of at most `size` members of the same data centre."""
    group: list[Member] = []
    for member in order:
        if group and (len(group) == size or member.data_centre != group[0].data_centre):
            yield group
            group = []
        group.append(member)
    yield group


def _branch(group: list[Member], turn: int) -> Branch:
    relay = group[turn % min(RELAYS_PER_GROUP, len(group))]
    return Branch(relay, tuple(member for member in group if member is not relay))
