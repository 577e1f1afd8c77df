"""Feeds of several gateways in memory, and the platform that they poll."""

from __future__ import annotations

import asyncio
import contextlib
import random

import attrs

from filbertshelf.clock import ManualClock
from filbertshelf.coordination.feed import Feed, FeedListener
from filbertshelf.errors import (
    HistoryLostError,
    PeerUnreachableError,
    PlatformContentError,
    PlatformError,
)
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.settings import Settings
from filbertshelf.state.directory import DirectoryChange, ListedTarget, TargetChange
from filbertshelf.state.evacuation import EvacuationChange, EvacuationEntry
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
        self.evacuation_log = []
        self.calls = 0
        self.unavailable_to = set()
        self.oldest_known = 0
        self.era = 1

    def publish(self, version: int) -> None:
        """Publish a configuration."""
        self.revision += 1
        self.config = ConfigText(self.revision, b"%d" % version)

    def put(
        self,
        id_: str,
        draining: bool = False,
        sequence: int = 1,
        cold_s: float = 0.0,
    ) -> None:
        """List a target."""
        self.revision += 1
        target = ListedTarget(
            id_, "desk", ("10.0.0.1", 1), "here", 2, draining, 0, sequence, cold_s
        )
        self.targets[id_] = TargetChange(id_, self.revision, target)
        self.change_log.append(self.targets[id_])

    def remove(self, id_: str) -> None:
        """Remove a target."""
        self.revision += 1
        del self.targets[id_]
        self.change_log.append(TargetChange(id_, self.revision, None))

    def evacuate(self, data_centre: str, active: bool = True) -> None:
        """Write or delete the key that evacuates a data centre."""
        self.revision += 1
        entry = EvacuationEntry(data_centre, self.revision, active)
        self.evacuation_log.append(entry)

    def evacuations(self, after: int) -> EvacuationChange:
        """Return the evacuations that began or ended after a revision."""
        latest = {entry.data_centre: entry for entry in self.evacuation_log}
        entries = tuple(
            entry
            for entry in latest.values()
            if entry.revision > after and (after or entry.active)
        )
        return EvacuationChange(after, self.revision, entries, self.era)

    def copy(self) -> PlatformCopy:
        """Return a copy of the content, from which the platform can be restored."""
        return PlatformCopy(
            self.revision,
            self.config,
            dict(self.targets),
            tuple(self.change_log),
            tuple(self.evacuation_log),
        )

    def restore(self, copy: PlatformCopy) -> None:
        """Lose all writes since the copy; their revisions are given out again."""
        self.era += 1
        self.revision = copy.revision
        self.config = copy.config
        self.targets = dict(copy.targets)
        self.change_log = list(copy.change_log)
        self.evacuation_log = list(copy.evacuation_log)


@attrs.frozen
class PlatformCopy:
    """The content of a platform at one revision."""

    revision: int
    config: ConfigText
    targets: dict[str, TargetChange]
    change_log: tuple[TargetChange, ...]
    evacuation_log: tuple[EvacuationEntry, ...]


class SourceStub:
    """The platform client of one instance."""

    def __init__(self, platform: PlatformStub, name: str):
        self._platform = platform
        self._name = name

    async def snapshot(self) -> PlatformUpdate:
        """Return the full content."""
        await self._call()
        platform = self._platform
        directory = DirectoryChange(
            0, platform.revision, tuple(platform.targets.values()), platform.era
        )
        return PlatformUpdate(directory, platform.config, platform.evacuations(0))

    async def changes(self, after: int) -> PlatformUpdate:
        """Return the changes after a revision."""
        await self._call()
        platform = self._platform
        if not platform.oldest_known <= after <= platform.revision:
            raise HistoryLostError("forgotten")
        changes = tuple(
            change for change in platform.change_log if change.revision > after
        )
        config = platform.config if platform.config.revision > after else None
        return PlatformUpdate(
            DirectoryChange(after, platform.revision, changes, platform.era),
            config,
            platform.evacuations(after),
        )

    async def _call(self) -> None:
        # A call over a network lets other tasks run.
        await asyncio.sleep(0)
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
        self.evacuated: dict[str, list[frozenset[str]]] = {}
        """The sets that each instance has put in force, in order."""
        self.cut_off: set[str] = set()
        for number in range(size):
            self.add(f"n{number}", number)

    def add(self, name: str, number: int) -> None:
        """Add an instance, not yet started."""
        peers = PeersStub(self, name)
        tables = self.tables[name] = []
        removed = self.removed[name] = []
        evacuated = self.evacuated[name] = []
        listener = FeedListener(
            lambda table: tables.append(table.version),
            lambda changes: removed.extend(
                change.id for change in changes if change.target is None
            ),
            evacuated.append,
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


@contextlib.asynccontextmanager
async def started_fleet(size: int):
    """Start a fleet that knows the full content, and stop it at the end."""
    fleet = Fleet(size)
    fleet.platform.put("t1")
    await fleet.start()
    await fleet.run(2.0)
    yield fleet
    for feed in fleet.feeds.values():
        await feed.stop()
