"""The membership converges over real connections; time-outs are short."""

import asyncio
import random

import attrs
import pytest

from filbertshelf import events
from filbertshelf.clock import ManualClock, SystemClock
from filbertshelf.coordination.membership import Membership
from filbertshelf.settings import Settings
from filbertshelf.state.members import Identity, ListedInstance, Member, Status
from filbertshelf.transport.peers import Peers

PERIOD = 0.1
TIMEOUT = 0.05
CONVERGED = 20.0
BASE = Settings(
    name="base",
    data_centre="bne-1",
    fleet_key="0123456789abcdef",
    platform=("127.0.0.1", 1),
    probe_period=PERIOD,
    probe_timeout=TIMEOUT,
)


@attrs.define
class Node:
    """One instance of a test fleet."""

    peers: Peers
    membership: Membership

    @property
    def name(self):
        """Return the member id."""
        return self.membership.identity.id

    @property
    def address(self):
        """Return the peer address."""
        return self.peers.address

    def status(self, other):
        """Return what this node takes another one for, None if it is unknown."""
        row = self.membership.table.get(other.name)
        return row and row.status

    async def stop(self):
        """End without a notice, as a crash looks to the others."""
        await self.membership.stop()
        await self.peers.stop()


@pytest.fixture
async def start():
    nodes = []

    async def start_node(name, seeds=(), clock=None, **changes):
        clock = clock or SystemClock()
        cfg = attrs.evolve(BASE, name=name, peers=tuple(seeds), **changes)
        identity = Identity.start(name, "bne-1", clock)
        peers = Peers(cfg, identity, clock)
        await peers.start()
        rng = random.Random(len(nodes))
        membership = Membership(cfg, identity, clock, peers, rng)
        nodes.append(Node(peers, membership))
        await membership.start()
        return nodes[-1]

    yield start_node
    await asyncio.gather(*(node.stop() for node in nodes))


async def start_fleet(start, count, **changes):
    first = await start("n0", **changes)
    seeds = [first.address]
    rest = [await start(f"n{index}", seeds, **changes) for index in range(1, count)]
    fleet = [first, *rest]
    await until(lambda: all(node.membership.member_count() == count for node in fleet))
    return fleet


async def until(condition):
    """Wait for a condition; fail if it does not come true in time."""
    async with asyncio.timeout(CONVERGED):
        while not condition():
            await asyncio.sleep(0.01)


def members_of(log, event):
    return {line["member"] for line in log if line.get("event") == event.number}


def all_alive(fleet):
    return all(node.status(other) is Status.ALIVE for node in fleet for other in fleet)


async def test_a_killed_member_is_dead_everywhere_and_nobody_else_is(start, log):
    *fleet, victim = await start_fleet(start, 5)
    await victim.stop()
    await until(lambda: all(node.status(victim) is Status.DEAD for node in fleet))
    assert {node.membership.member_count() for node in fleet} == {4}
    assert members_of(log, events.MEMBER_DEAD) == {victim.name}


async def test_a_restarted_member_is_alive_with_its_new_incarnation(start):
    *fleet, victim = await start_fleet(start, 3)
    old = victim.membership.own
    await victim.stop()
    await until(lambda: all(node.status(victim) is Status.DEAD for node in fleet))
    again = await start(victim.name, [fleet[0].address])
    await until(lambda: all_alive([*fleet, again]))
    new = fleet[0].membership.table.get(victim.name)
    assert new.incarnation > old.incarnation
    assert new.address == again.address


async def test_both_sides_of_a_partition_join_again(start):
    fleet = await start_fleet(start, 5)
    sides = (fleet[:3], fleet[3:])
    for side, other in (sides, sides[::-1]):
        for node in side:
            node.peers.blocked.update(peer.address for peer in other)
    for side in sides:
        size = len(side)
        await until(lambda: all(n.membership.member_count() == size for n in side))  # noqa: B023
    for node in fleet:
        node.peers.blocked.clear()
    await until(lambda: all_alive(fleet))


async def test_a_member_behind_a_broken_route_is_reached_through_others(start, log):
    # Guards against a suspicion that rests on one broken route.
    # A probe that a busy machine answers late is also a suspicion, so the time-out is
    # near the default of 0.3 s.
    period = 0.5
    times = {"probe_period": period, "probe_timeout": 0.25}
    first, second, _ = await start_fleet(start, 3, **times)
    first.peers.blocked.add(second.address)
    await asyncio.sleep(8 * period)
    assert members_of(log, events.MEMBER_SUSPECT) == set()
    assert first.status(second) is Status.ALIVE


async def test_a_false_suspicion_is_refuted_everywhere(start, log):
    fleet = await start_fleet(start, 4)
    accused = fleet[3]
    before = accused.membership.own.incarnation
    fleet[0].membership.table.suspect(accused.name, SystemClock().monotonic())
    await until(
        lambda: all(
            node.membership.table.get(accused.name).incarnation > before
            for node in fleet
        )
    )
    assert all_alive(fleet)
    assert accused.name not in members_of(log, events.MEMBER_DEAD)
    assert accused.membership.identity.incarnation == before


async def test_leave_is_announced_before_the_member_is_gone(start):
    *fleet, leaver = await start_fleet(start, 4)
    await leaver.membership.leave()
    await until(lambda: all(node.status(leaver) is Status.LEAVING for node in fleet))
    for node in fleet:
        names = {member.id for member in node.membership.random_peers(9)}
        assert len(names) == 2
        assert leaver.name not in names
        assert node.membership.member_count() == 4
    await leaver.stop()
    await until(lambda: all(node.status(leaver) is Status.DEAD for node in fleet))


async def test_an_instance_that_joins_learns_a_large_table_at_once(start):
    # Guards against a mass start in which rows travel only 8 at a time.
    first, second = await start("n0"), await start("n1")
    now = SystemClock().monotonic()
    for index in range(2, 302):
        row = Member(f"n{index}", "bne-1", ("127.0.0.1", index), 5)
        first.membership.table.apply(row, now)
    second.membership.merge_instance_list(
        [ListedInstance("n0", "bne-1", first.address)]
    )
    period = second.membership._period
    await until(lambda: second.membership.member_count() > 290)
    assert second.membership._period - period <= 15


async def test_the_list_joins_instances_without_seeds(start):
    first, second = await start("n0"), await start("n1")
    row = ListedInstance("n1", "bne-1", second.address)
    first.membership.merge_instance_list([row])
    await until(lambda: all_alive([first, second]))


async def test_a_payload_travels_with_probes_and_acks_in_both_directions(start, log):
    first, second = await start("n0"), await start("n1")
    got = {}

    def broken(sender, payload):
        got[sender.id] = payload
        raise KeyError("broken")

    for node, on_payload in ((first, broken), (second, broken)):
        versions = {"configuration": [7, node.name]}
        node.membership.payload = lambda versions=versions: versions
        node.membership.on_payload = on_payload
    row = ListedInstance("n1", "bne-1", second.address)
    first.membership.merge_instance_list([row])
    await until(lambda: len(got) == 2)
    assert got == {name: {"configuration": [7, name]} for name in ("n0", "n1")}
    # Guards against a fault in the payload that stops the probes.
    await until(lambda: all_alive([first, second]))
    assert members_of(log, events.PROBE_PAYLOAD_FAILED) == {"n0", "n1"}


async def step(clock, node, seconds):
    """Wait until the probe loop sleeps, then move its clock until it runs again."""
    await until(lambda: any(not fut.done() for _, _, fut in clock._sleepers))
    period = node.membership._period
    clock.advance(seconds)
    await until(lambda: node.membership._period > period)


async def test_a_member_that_wakes_after_a_pause_accuses_nobody(start, log):
    # Guards against a frozen process that takes its own overdue timers and unread
    # answers for the death of all others.
    clock = ManualClock()
    node = await start("n0", clock=clock, probe_period=1.0, pause_threshold=2.0)
    table = node.membership.table
    for index in range(1, 4):
        address = ("127.0.0.1", index)
        table.apply(Member(f"n{index}", "bne-1", address, 5), clock.monotonic())
    table.suspect("n1", clock.monotonic())
    before = node.membership.own.incarnation
    for _ in range(3):
        await step(clock, node, 60.0)
    statuses = {row.id: row.status for row in table if row.id != "n0"}
    assert statuses == {
        "n1": Status.SUSPECT,
        "n2": Status.ALIVE,
        "n3": Status.ALIVE,
    }
    assert node.membership.own.incarnation == before + 3
    # Without pauses the same silence is a reason for suspicion, then for death.
    for _ in range(4):
        await step(clock, node, 1.0)
    assert members_of(log, events.MEMBER_SUSPECT) == {"n2", "n3"}
    # Guards against a pause that counts into the time for a refutation.
    assert members_of(log, events.MEMBER_DEAD) == set()
    for _ in range(6):
        await step(clock, node, 1.0)
    assert members_of(log, events.MEMBER_DEAD) == {"n1", "n2", "n3"}
