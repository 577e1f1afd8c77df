"""The selection of the instances that run requests for others."""

from __future__ import annotations

import math
import zlib
from collections.abc import Collection, Iterable, Mapping, Set

import attrs

from filbertshelf.state.members import Member, Status

SHARD_CPU_S = 0.0003
"""The processor time in seconds of one shard of a query on a whole core."""

SHARD_BITS = 10_000
"""The bits that one shard of a query sends and receives."""

MEMBERS_PER_DELEGATE = 8
"""The number of members in a data centre for each delegate.

Few delegates keep the connections to all targets in use and within the targets' caps.
"""

MIN_DELEGATES = 2
"""The minimum number of delegates in each data centre, so that one can fail."""

PREFERRED_DELEGATES = 2
"""The number of delegates that an instance uses first, over connections kept open.

A query over a new connection would wait for its handshake.
"""

MAX_COST_FACTOR = 2.0
"""The highest cost of a delegate, relative to the fastest one.

A slower one would delay its queries.
"""

FORWARDING_COST_S = 0.004
"""The time in seconds that forwarding a query costs; a smaller gain isn't worth it."""

MIN_SUBSTITUTES = 3
"""The number of substitutes among which an instance that is cut off distributes its
requests, so that no single one gets them all."""

SPARE_FACTOR = 1.5
"""The factor by which more instances may be delegates while the members change."""


def shard_cost_us(cores: float, link_mbps: float) -> int:
    """Return the cost of one shard of a query on an instance in microseconds.

    `cores` is the processor share in whole cores, `link_mbps` the bandwidth in Mbit/s.
    """
    return round(1e6 * SHARD_CPU_S / cores + SHARD_BITS / link_mbps)


@attrs.frozen
class Delegates:
    """The delegates as chosen by one instance.

    Instances that know different members may choose different delegates. Any instance
    accepts a query, so a difference only costs additional connections.
    """

    local: tuple[Member, ...] = ()
    """The delegates in the data centre of this instance."""
    remote: tuple[Member, ...] = ()
    """The delegates in other data centres, used if no local one is left."""
    includes_self: bool = True
    """Whether this instance is a delegate itself."""
    preferred: tuple[Member, ...] = ()
    """The delegates that this instance uses first; the others have other ones."""

    @classmethod
    def choose(
        cls,
        members: Iterable[Member],
        own: Member,
        near_shards: Set[str] = frozenset(),
    ) -> Delegates:
        """Return the fastest live instances of each data centre as delegates.

        If instances are alive in the data centres `near_shards`, which hold targets of
        the shards, only those have delegates: one answer between data centres is then
        sent instead of one for each shard.
        """
        by_data_centre: dict[str, list[Member]] = {}
        for member in members:
            if member.status is Status.ALIVE:
                by_data_centre.setdefault(member.data_centre, []).append(member)
        near = {
            name: by_data_centre[name] for name in near_shards & by_data_centre.keys()
        }
        by_data_centre = near or by_data_centre
        chosen = {
            name: _fastest(centre_members)
            for name, centre_members in by_data_centre.items()
        }
        local = tuple(chosen.pop(own.data_centre, ()))
        remote = tuple(member for delegates in chosen.values() for member in delegates)
        includes_self = any(member.id == own.id for member in local)
        return cls(local, remote, includes_self, _preferred(local or remote, own))

    @property
    def total(self) -> int:
        """Return the number of delegates in all data centres."""
        return len(self.local) + len(self.remote)

    def max_connection_holders(self) -> int:
        """Return how many instances may hold connections to targets for queries."""
        return math.ceil(SPARE_FACTOR * max(1, self.total))

    def time_saved_s(self, shards: int, own_cost_us: int) -> float:
        """Return by how many seconds a delegate finishes a query sooner."""
        costs = [member.shard_us for member in self.local if member.shard_us]
        if not costs or not own_cost_us:
            return 0.0
        mean = sum(costs) / len(costs)
        return shards * (own_cost_us - mean) / 1e6 - FORWARDING_COST_S

    def candidates(self, avoid: Collection[str]) -> list[Member]:
        """Return the delegates of the first group that has some not in `avoid`."""
        for group in (self.preferred, self.local, self.remote):
            usable = [member for member in group if member.id not in avoid]
            if usable:
                return usable
        return []


def _preferred(delegates: tuple[Member, ...], own: Member) -> tuple[Member, ...]:
    """Return the same few delegates each time, distributed over all instances."""
    order = sorted(
        delegates, key=lambda member: zlib.crc32(f"{own.id} {member.id}".encode())
    )
    return tuple(order[:PREFERRED_DELEGATES])


def _fastest(members: list[Member]) -> list[Member]:
    count = max(MIN_DELEGATES, math.ceil(len(members) / MEMBERS_PER_DELEGATE))
    # Instances with an unknown cost are sorted last.
    order = sorted(members, key=lambda m: (m.shard_us or math.inf, m.id))
    limit = MAX_COST_FACTOR * (order[0].shard_us or math.inf)
    fast = [member for member in order[:count] if member.shard_us <= limit]
    return fast if len(fast) >= MIN_DELEGATES else order[:MIN_DELEGATES]


def outside_regions(
    members: Iterable[Member],
    allowed_regions: Set[str],
    regions: Mapping[str, str],
    data_centre: str,
) -> set[str]:
    """Return the ids of the members that must not get the body of a request.

    Without `allowed_regions` there are none. Members in these regions and in the region
    of the caller's instance, which runs in `data_centre`, may get it. `regions` has the
    region of each data centre; members elsewhere without one must not get it.
    """
    if not allowed_regions:
        return set()
    allowed = {regions[data_centre]} if data_centre in regions else set()
    allowed |= allowed_regions
    return {
        member.id
        for member in members
        if member.data_centre != data_centre
        and regions.get(member.data_centre) not in allowed
    }


def substitutes(
    members: Iterable[Member],
    proven: Collection[str],
    avoid: Collection[str],
    data_centre: str,
) -> list[Member]:
    """Return the instances for the requests of one that reaches no target.

    They are the `proven`, which have taken a request of late, once there are
    `MIN_SUBSTITUTES`. Others may be cut off as well, most likely those in the same
    `data_centre` as one that is; instances in it are chosen only if none in `avoid`,
    which have refused of late, is in it too. None is left if all are in `avoid`.
    """
    alive = [member for member in members if member.status is Status.ALIVE]
    usable = [member for member in alive if member.id not in avoid]
    known = [member for member in usable if member.id in proven]
    if len(known) >= MIN_SUBSTITUTES:
        return known
    refused_here = any(
        member.id in avoid and member.data_centre == data_centre for member in alive
    )
    unproven = [member for member in usable if member.id not in proven]
    preferred = [
        member
        for member in unproven
        if (member.data_centre == data_centre) is not refused_here
    ]
    for group in (preferred, unproven, known):
        if group:
            return group
    return []
