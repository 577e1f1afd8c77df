"""Distribution of the platform's content between gateways, in memory."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random

import pytest

from filbertshelf.clock import ManualClock
from filbertshelf.coordination import feed as feed_module
from filbertshelf.coordination.feed import Feed, FeedListener
from filbertshelf.errors import (
    HistoryLostError,
    PeerUnreachableError,
    PlatformContentError,
    PlatformError,
)
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.protocol.feed import FeedUpdate
from filbertshelf.settings import Settings
from filbertshelf.state.directory import DirectoryChange, ListedTarget, TargetChange
from filbertshelf.state.members import Member
from filbertshelf.state.platform_update import ConfigText, PlatformUpdate
from filbertshelf.state.retry_window import RetryPolicy
from filbertshelf.state.routing import Limits, RouteTable

STEP_S = 0.05


class PlatformStub:
    """Holds a configuration and targets, and may refuse the calls of instances."""

    def __init__(self):
        self.revision = 1
        self.config = ConfigText(1, b"1")
        self.targets = {}
        self.change_log = []
        self.calls = 0
        self.unavailable_to = set()
        self.oldest_known = 0

    def publish(self, version: int) -> None:
        """Publish a configuration."""
        self.revision += 1
        self.config = ConfigText(self.revision, b"%d" % version)

    def put(self, id_: str) -> None:
        """List a target."""
        self.revision += 1
        target = ListedTarget(id_, "desk", ("10.0.0.1", 1), "here", 2, False, 0)
        self.targets[id_] = TargetChange(id_, self.revision, target)
        self.change_log.append(self.targets[id_])

    def remove(self, id_: str) -> None:
        """Remove a target."""
        self.revision += 1
        del self.targets[id_]
        self.change_log.append(TargetChange(id_, self.revision, None))


class SourceStub:
    """The platform client of one instance."""

    def __init__(self, platform: PlatformStub, name: str):
        self._platform = platform
        self._name = name

    async def snapshot(self) -> PlatformUpdate:
        """Return the full content."""
        self._call()
        platform = self._platform
        directory = DirectoryChange(
            0, platform.revision, tuple(platform.targets.values())
        )
        return PlatformUpdate(directory, platform.config)

    async def changes(self, after: int) -> PlatformUpdate:
        """Return the changes after a revision."""
        self._call()
        platform = self._platform
        if after < platform.oldest_known:
            raise HistoryLostError("forgotten")
        changes = tuple(
            change for change in platform.change_log if change.revision > after
        )
        config = platform.config if platform.config.revision > after else None
        return PlatformUpdate(
            DirectoryChange(after, platform.revision, changes), config
        )

    def _call(self) -> None:
        self._platform.calls += 1
        if self._name in self._platform.unavailable_to:
            raise PlatformError("the call is refused")


class Fleet:
    """Feeds that can reach each other and share a clock."""

    def __init__(self, size: int):
        self.clock = ManualClock()
        self.platform = PlatformStub()
        self.feeds: dict[str, Feed] = {}
        self.tables: dict[str, list[int]] = {}
        self.removed: dict[str, list[str]] = {}
        self.cut_off: set[str] = set()
        for number in range(size):
            self._add(f"n{number}", number)

    def _add(self, name: str, number: int) -> None:
        peers = PeersStub(self, name)
        tables = self.tables[name] = []
        removed = self.removed[name] = []
        listener = FeedListener(
            lambda table: tables.append(table.version),
            lambda changes: removed.extend(
                change.id for change in changes if change.target is None
            ),
        )
        cfg = GatewaySettings(
            instance=Settings(
                name=name,
                data_centre="here",
                fleet_key="a key for tests only",
                platform=("127.0.0.1", 1),
                peers=(("10.0.0.1", 0),),
            ),
            listen=("127.0.0.1", 0),
            ready_listen=("127.0.0.1", 0),
            retries=RetryPolicy(0.2, 10.0, 10.0),
            stop_grace_s=6.0,
        )
        self.feeds[name] = Feed(
            cfg,
            self.clock,
            random.Random(number),
            SourceStub(self.platform, name),
            decode,
            peers,
            peers,
            listener,
        )

    def address_of(self, name: str) -> tuple[str, int]:
        """Return the address of an instance."""
        return ("10.0.0.1", int(name[1:]))

    async def start(self) -> None:
        """Start all feeds."""
        for feed in self.feeds.values():
            await feed.start()

    async def run(self, seconds: float) -> None:
        """Advance the clock in small steps and let all tasks run in each."""
        for _ in range(round(seconds / STEP_S)):
            for _ in range(12):
                await asyncio.sleep(0)
            self.clock.advance(STEP_S)
        for _ in range(12):
            await asyncio.sleep(0)

    def versions(self) -> set[int]:
        """Return the versions in force."""
        return {feed.table.version if feed.table else 0 for feed in self.feeds.values()}


class PeersStub:
    """The peer connections and the membership of one instance."""

    def __init__(self, fleet: Fleet, name: str):
        self.fleet = fleet
        self.name = name
        self.id = name
        self.address = fleet.address_of(name)
        self.handlers = {}

    def register(self, message_class, handler):
        """Set the handler of a message class."""
        self.handlers[message_class] = handler

    def members(self):
        """Return all instances."""
        return [
            Member(name, "here", self.fleet.address_of(name), 1)
            for name in self.fleet.feeds
        ]

    def member_count(self) -> int:
        """Return the size of the fleet."""
        return len(self.fleet.feeds)

    def random_peers(self, count):
        """Return other instances."""
        return [m for m in self.members() if m.id != self.name][:count]

    async def request(self, address, msg, timeout):
        """Return the reply."""
        return await self._deliver(address, msg)

    async def notify_all(self, addresses, msg):
        """Deliver a message to all reachable peers."""
        for address in addresses:
            with contextlib.suppress(PeerUnreachableError):
                await self._deliver(address, msg)

    async def _deliver(self, address, msg):
        name = f"n{address[1]}"
        if name == self.name or {name, self.name} & self.fleet.cut_off:
            raise PeerUnreachableError(name)
        other = self.fleet.feeds[name]._peers
        return await other.handlers[type(msg)](self, msg)


def decode(text: bytes) -> RouteTable:
    """Return an empty route table with the version in the text."""
    if not text.isdigit():
        raise PlatformContentError("no number")
    return RouteTable.build(int(text), [], [], Limits())


@pytest.fixture
async def fleet():
    """Return a started fleet of six that knows the full content."""
    fleet = Fleet(6)
    fleet.platform.put("t1")
    await fleet.start()
    await fleet.run(2.0)
    yield fleet
    for feed in fleet.feeds.values():
        await feed.stop()


async def test_one_instance_polls_for_the_whole_fleet(fleet):
    # Guards against a rate of platform calls that grows with the fleet.
    before = fleet.platform.calls
    await fleet.run(10.0)
    assert 10 <= fleet.platform.calls - before <= 16


async def test_a_change_is_in_force_everywhere_within_two_seconds(fleet):
    fleet.platform.publish(7)
    fleet.platform.put("t2")
    fleet.platform.remove("t1")
    await fleet.run(2.0)
    assert fleet.versions() == {7}
    for feed in fleet.feeds.values():
        assert set(feed.directory.targets()) == {"t2"}


@pytest.mark.parametrize("refused_instances", [{"n0"}, {"n0", "n1", "n2", "n3"}])
async def test_instances_that_the_platform_refuses_are_updated_by_peers(
    fleet, refused_instances
):
    # Guards against instances that serve an old configuration while their peers have
    # the new one.
    fleet.platform.unavailable_to = refused_instances
    fleet.platform.publish(8)
    await fleet.run(3.0)
    assert fleet.versions() == {8}
    assert max(feed.age_s() for feed in fleet.feeds.values()) < 2.5


async def test_an_instance_cut_off_from_peers_polls_the_platform(fleet):
    fleet.cut_off = {"n4"}
    fleet.platform.publish(9)
    await fleet.run(3.0)
    assert fleet.versions() == {9}


async def test_an_older_version_is_not_applied(fleet):
    fleet.platform.publish(9)
    await fleet.run(2.0)
    fleet.platform.publish(3)
    await fleet.run(2.0)
    assert all(versions == [1, 9] for versions in fleet.tables.values())


async def test_a_malformed_configuration_leaves_the_previous_one_in_force(fleet, log):
    fleet.platform.revision += 1
    fleet.platform.config = ConfigText(fleet.platform.revision, b"nonsense")
    await fleet.run(2.0)
    assert fleet.versions() == {1}
    assert any(line["event"] == 401 for line in log)


async def test_a_lost_history_causes_a_full_read(fleet):
    # Guards against keeping a target that was removed in the missing history.
    fleet.cut_off = set(fleet.feeds)
    fleet.platform.unavailable_to = set(fleet.feeds)
    await fleet.run(1.0)
    fleet.platform.put("t2")
    fleet.platform.remove("t1")
    fleet.platform.oldest_known = fleet.platform.revision
    fleet.platform.unavailable_to = set()
    fleet.cut_off = set()
    await fleet.run(6.0)
    for feed in fleet.feeds.values():
        assert set(feed.directory.targets()) == {"t2"}


async def test_a_target_that_expired_in_an_outage_is_kept_until_it_returns(fleet):
    # Guards against removing live targets whose leases expired with the store.
    fleet.platform.unavailable_to = set(fleet.feeds)
    await fleet.run(4.0)
    fleet.platform.remove("t1")
    fleet.platform.unavailable_to = set()
    await fleet.run(1.5)
    fleet.platform.put("t1")
    await fleet.run(4.0)
    assert all(removed == [] for removed in fleet.removed.values())


async def test_a_target_that_does_not_return_after_an_outage_is_removed(fleet):
    fleet.platform.unavailable_to = set(fleet.feeds)
    await fleet.run(4.0)
    fleet.platform.remove("t1")
    fleet.platform.unavailable_to = set()
    await fleet.run(1.0 + feed_module.REMOVAL_DELAY_S + 2.0)
    assert all(removed == ["t1"] for removed in fleet.removed.values())


async def test_without_an_outage_a_target_is_removed_at_once(fleet):
    # Guards against sending requests to a target that left without notice.
    fleet.platform.remove("t1")
    await fleet.run(1.5)
    assert all(removed == ["t1"] for removed in fleet.removed.values())


async def test_instances_that_start_without_the_platform_are_updated_by_seeds():
    fleet = Fleet(3)
    fleet.platform.put("t1")
    fleet.platform.unavailable_to = {"n1", "n2"}
    await fleet.start()
    await fleet.run(3.0)
    assert fleet.versions() == {1}
    for feed in fleet.feeds.values():
        await feed.stop()


async def test_a_platform_without_configuration_is_polled_at_a_limited_rate():
    # Guards against a tight loop of calls while there is no configuration yet.
    fleet = Fleet(1)
    fleet.platform.config = ConfigText(1, b"nonsense")
    await fleet.start()
    await fleet.run(5.0)
    assert fleet.platform.calls <= 12
    assert not fleet.feeds["n0"].ready
    for feed in fleet.feeds.values():
        await feed.stop()


async def test_a_lagging_instance_fetches_from_one_peer_at_a_time(fleet):
    # Guards against a link filled with many copies of the same reply: version 9 reached
    # an instance of the grown hhgq-shelf too late (CONFIG, scale-2).
    lagging = fleet.feeds["n5"]
    requested = []

    async def request_without_reply(address, msg, timeout):
        requested.append(address)
        await asyncio.sleep(3600)

    lagging._peers.request = request_without_reply
    fleet.cut_off = {"n5"}
    fleet.platform.unavailable_to = {"n5"}
    await fleet.run(1.0)
    fleet.platform.put("t2")
    await fleet.run(2.0)
    fleet.cut_off = set()
    await fleet.run(5.0)
    assert len(requested) == 1


async def test_a_full_read_pushes_only_the_changes(fleet):
    # Guards against the full content being pushed to all peers by each instance that
    # reads all of the platform: 639 MB in one second on the grown turnos-nieve
    # (trouble-1).
    pushed = []
    for feed in fleet.feeds.values():
        real = feed._peers.notify_all

        async def notify_all(addresses, msg, real=real):
            pushed.append(msg)
            await real(addresses, msg)

        feed._peers.notify_all = notify_all
    fleet.platform.put("t2")
    fleet.platform.oldest_known = fleet.platform.revision
    await fleet.run(4.0)
    assert fleet.platform.calls
    assert all(set(f.directory.targets()) == {"t1", "t2"} for f in fleet.feeds.values())
    assert pushed
    assert all(msg.since > 0 for msg in pushed)
    assert all(len(msg.update().directory.targets) <= 1 for msg in pushed)


async def test_a_large_update_is_sent_only_to_instances_that_lack_it(
    fleet, monkeypatch
):
    # Guards against the same 53 KB pushed to all peers by each of 30 instances that
    # polled the platform while they were cut off: scale-2 of the grown hhgq-shelf.
    monkeypatch.setattr(feed_module, "MAX_PUSHED_BYTES", 200)
    sent = []
    for feed in fleet.feeds.values():
        real = feed._peers._deliver

        async def deliver(address, msg, real=real):
            reply = await real(address, msg)
            sent.extend(m for m in (msg, reply) if isinstance(m, FeedUpdate) and m.size)
            return reply

        feed._peers._deliver = deliver
    for number in range(100):
        fleet.platform.put(f"new-{number}")
    await fleet.run(2.0)
    for feed in fleet.feeds.values():
        assert len(feed.directory.targets()) == 101
        # An instance that polled the platform itself has it all and announces it.
        feed._push(PlatformUpdate(feed.directory.changes_since(1), None), False)
    await fleet.run(0.5)
    assert len(sent) == len(fleet.feeds) - 1


async def test_a_large_fleet_polls_an_unavailable_platform_at_a_limited_rate():
    # Guards against 100 calls a second to a platform that is down: 1,241 calls on
    # trouble-1 of the grown turnos-nieve with 130 instances, most of them near its end.
    fleet = Fleet(90)
    fleet.platform.put("t1")
    await fleet.start()
    await fleet.run(2.0)
    fleet.platform.unavailable_to = set(fleet.feeds)
    await fleet.run(6.0)
    before = fleet.platform.calls
    await fleet.run(4.0)
    assert fleet.platform.calls - before <= 4 * 60
    fleet.platform.publish(5)
    fleet.platform.unavailable_to = set()
    await fleet.run(1.0)
    assert fleet.versions() == {5}
    for feed in fleet.feeds.values():
        await feed.stop()


async def test_a_large_fleet_is_updated_within_two_seconds_without_two_relays():
    # Guards against instances behind a relay that is cut off, and against a sender
    # whose messages grow with the fleet.
    fleet = Fleet(90)
    fleet.platform.put("t1")
    await fleet.start()
    await fleet.run(2.0)
    sent = collections.Counter()
    for name, feed in fleet.feeds.items():
        real = feed._peers.notify_all

        async def notify_all(addresses, msg, name=name, real=real):
            sent[name] += len(addresses)
            await real(addresses, msg)

        feed._peers.notify_all = notify_all
    calls_before = fleet.platform.calls
    await fleet.run(7.0)
    assert fleet.platform.calls - calls_before <= 12
    assert max(sent.values()) <= 11 * 13
    fleet.cut_off = {"n10", "n34"}
    fleet.platform.publish(6)
    fleet.platform.put("t2")
    await fleet.run(2.0)
    fleet.platform.publish(7)
    await fleet.run(2.0)
    for name, feed in fleet.feeds.items():
        assert name in fleet.cut_off or feed.table.version == 7
        await feed.stop()
