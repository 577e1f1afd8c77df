"""Which instances run the queries over many shards for a large fleet."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable

import attrs

from filbertshelf.state.members import Member, Status

SHARD_CPU_S = 0.0003
"""Processor time of one shard of a query on a whole core."""

SHARD_BITS = 10_000
"""What one shard of a query sends and receives, in bits."""

MEMBERS_PER_DELEGATE = 8
"""Few enough to keep connections to all targets in use and within their caps."""

MIN_DELEGATES = 2
"""In each data centre, so that one can be lost."""

MAX_COST_FACTOR = 2.0
"""A delegate that is slower than the fastest by more would delay its queries."""

FORWARDING_COST_S = 0.004
"""What passing a query on costs; a smaller gain is not worth it."""

SPARE_FACTOR = 1.5
"""The part by which more instances may act as delegates while the members change."""


def shard_cost_us(cores: float, link_mbps: float) -> int:
    """Return how many microseconds an instance takes for one shard of a query.

    `cores` is the processor share in whole cores, `link_mbps` the bandwidth.
    """
    return round(1e6 * SHARD_CPU_S / cores + SHARD_BITS / link_mbps)


@attrs.frozen
class Delegates:
    """The delegates as one instance sees them.

    Instances that see other members may choose others; any instance takes a query, so
    a difference costs connections only.
    """

    local: tuple[Member, ...] = ()
    """Those of the own data centre."""
    remote: tuple[Member, ...] = ()
    """Those of the other data centres, for when no local one is left."""
    includes_self: bool = True
    """Whether this instance is a delegate itself."""

    @classmethod
    def choose(cls, members: Iterable[Member], own: Member) -> Delegates:
        """Return the fastest few live instances of each data centre."""
        centres: dict[str, list[Member]] = {}
        for member in members:
            if member.status is Status.ALIVE:
                centres.setdefault(member.data_centre, []).append(member)
        chosen = {name: _fastest(found) for name, found in centres.items()}
        local = tuple(chosen.pop(own.data_centre, ()))
        remote = tuple(member for found in chosen.values() for member in found)
        return cls(local, remote, any(member.id == own.id for member in local))

    @property
    def total(self) -> int:
        """Return the number of delegates in all data centres."""
        return len(self.local) + len(self.remote)

    def max_connection_holders(self) -> int:
        """Return how many instances may hold connections for queries."""
        return math.ceil(SPARE_FACTOR * max(1, self.total))

    def time_saved_s(self, shards: int, own_cost_us: int) -> float:
        """Return how much sooner a delegate is done with a query."""
        costs = [member.shard_us for member in self.local if member.shard_us]
        if not costs or not own_cost_us:
            return 0.0
        mean = sum(costs) / len(costs)
        return shards * (own_cost_us - mean) / 1e6 - FORWARDING_COST_S

    def pick(self, rng: random.Random, avoid: Collection[str]) -> Member | None:
        """Return a delegate that isn't avoided, None if there is none."""
        for group in (self.local, self.remote):
            usable = [member for member in group if member.id not in avoid]
            if usable:
                return rng.choice(usable)
        return None


def _fastest(members: list[Member]) -> list[Member]:
    most = max(MIN_DELEGATES, math.ceil(len(members) / MEMBERS_PER_DELEGATE))
    # Without a known cost an instance comes last.
    order = sorted(members, key=lambda m: (m.shard_us or math.inf, m.id))
    limit = MAX_COST_FACTOR * (order[0].shard_us or math.inf)
    fast = [member for member in order[:most] if member.shard_us <= limit]
    return fast if len(fast) >= MIN_DELEGATES else order[:MIN_DELEGATES]
