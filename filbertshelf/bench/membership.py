"""Measures the cost of the membership protocol per node."""

from __future__ import annotations

import asyncio
import random
import time

import attrs
import uvloop

from filbertshelf.clock import SystemClock
from filbertshelf.coordination.membership import Membership
from filbertshelf.settings import Settings
from filbertshelf.state.members import Identity
from filbertshelf.transport.peers import Peers

SETTLE_PERIODS = 15
"""Probe periods until all members know each other and no updates are pending."""
MEASURE_S = 20.0
START_INTERVAL_S = 0.02
"""Time between node starts, so that they don't overload the process."""


@attrs.frozen
class MembershipCost:
    """The mean cost of one node while the membership doesn't change.

    Bytes and frames are sent and received ones together. Bytes include HTTP and
    WebSocket headers, but not TCP/IP headers. `cpu_share` is a fraction of one core.
    `seen_least` is the smallest member count that any node saw at the end.
    """

    members: int
    seconds: float
    bytes_per_s: float
    frames_per_s: float
    connects_per_s: float
    cpu_share: float
    seen_least: int


@attrs.define
class _Totals:
    bytes: int
    frames: int
    connects: int
    cpu: float
    time: float


async def _start_node(
    index: int, seeds: tuple[tuple[str, int], ...], period: float
) -> tuple[Peers, Membership]:
    clock = SystemClock()
    cfg = Settings(
        name=f"entry-{index}",
        data_centre=f"dc-{index % 3}",
        fleet_key="membership-bench-key",
        platform=("127.0.0.1", 1),
        peers=seeds,
        probe_period=period,
    )
    identity = Identity.start(cfg.name, cfg.data_centre, clock)
    peers = Peers(cfg, identity, clock)
    await peers.start()
    membership = Membership(cfg, identity, clock, peers, random.Random(index))
    await membership.start()
    return peers, membership


def _read_totals(nodes: list[tuple[Peers, Membership]]) -> _Totals:
    counts = [peers.counts for peers, _ in nodes]
    return _Totals(
        sum(count.bytes_received for count in counts),
        sum(count.frames_received for count in counts),
        sum(count.dialled for count in counts),
        time.process_time(),
        time.monotonic(),
    )


async def _measure_fleet(members: int, seconds: float, period: float) -> MembershipCost:
    nodes: list[tuple[Peers, Membership]] = []
    seeds: tuple[tuple[str, int], ...] = ()
    try:
        for index in range(members):
            nodes.append(await _start_node(index, seeds, period))
            seeds = seeds or (nodes[0][0].address,)
            await asyncio.sleep(START_INTERVAL_S)
        await asyncio.sleep(SETTLE_PERIODS * period)
        before = _read_totals(nodes)
        await asyncio.sleep(seconds)
        after = _read_totals(nodes)
        seen = min(membership.member_count() for _, membership in nodes)
    finally:
        await asyncio.gather(*(membership.stop() for _, membership in nodes))
        await asyncio.gather(*(peers.stop() for peers, _ in nodes))
    elapsed = after.time - before.time
    node_seconds = members * elapsed
    return MembershipCost(
        members=members,
        seconds=elapsed,
        # All traffic is between the measured nodes, so they send as much as they
        # receive.
        bytes_per_s=2 * (after.bytes - before.bytes) / node_seconds,
        frames_per_s=2 * (after.frames - before.frames) / node_seconds,
        connects_per_s=(after.connects - before.connects) / node_seconds,
        cpu_share=(after.cpu - before.cpu) / node_seconds,
        seen_least=seen,
    )


def measure(
    members: int, seconds: float = MEASURE_S, period: float = 1.0
) -> MembershipCost:
    """Run this number of members in this process and return the mean cost of one.

    The measurement takes `seconds`, after the membership has settled; `period` is the
    probe period in seconds.
    """
    return uvloop.run(_measure_fleet(members, seconds, period))
