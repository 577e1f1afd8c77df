"""A simulated fleet of configuration services with a fake network and platform."""

import asyncio
import collections
import random

import attrs

from filbertshelf.clock import ManualClock
from filbertshelf.coordination.configuration import Configuration
from filbertshelf.errors import PeerTimeoutError, PeerUnreachableError, PlatformError
from filbertshelf.protocol import messages
from filbertshelf.protocol.platform import PlatformDocument
from filbertshelf.settings import parse_settings
from filbertshelf.state.members import Member

STEP_S = 0.05
"""Step of the simulated clock."""
LOOP_PASSES_PER_STEP = 20
"""Event loop iterations per clock step; a request and its reply take about 6."""
DATA_CENTRES = ("bne-1", "bne-2", "bne-3")


class FakePlatform:
    """Counts calls and serves documents, with faults.

    `down` fails every call. `stale_documents` are served instead of the current ones.
    A watch returns immediately with the old document if `watches_return_unchanged` is
    set, and with None if `watches_return_none` is set.
    """

    def __init__(self, clock):
        self.clock = clock
        self.documents = {"instances": PlatformDocument(0, {})}
        self.stale_documents = {}
        self.down = False
        self.watches_return_unchanged = False
        self.watches_return_none = False
        self.calls = 0

    def publish(self, revision, content):
        """Replace the publication."""
        self.documents["config"] = PlatformDocument(revision, content)

    def _served_document(self, document):
        if self.down:
            raise PlatformError("down")
        return self.stale_documents.get(document) or self.documents[document]

    async def read(self, document):
        """Return the document."""
        self.calls += 1
        await asyncio.sleep(0)
        return self._served_document(document)

    async def watch(self, document, after, wait):
        """Return the document once its revision is above `after`.

        Returns None after `wait` seconds.
        """
        self.calls += 1
        await asyncio.sleep(0)
        deadline = self.clock.monotonic() + wait
        while (
            self._served_document(document).revision <= after
            and not self.watches_return_unchanged
        ):
            if self.watches_return_none or self.clock.monotonic() >= deadline:
                return None
            await self.clock.sleep(STEP_S)
        return self._served_document(document)


@attrs.define(eq=False, slots=False)
class Node:
    """One simulated instance: its service, peer connections and membership."""

    fleet: "Fleet"
    member: Member
    rng: random.Random
    handlers: dict = attrs.field(factory=dict)
    config: Configuration = None
    received: collections.Counter = attrs.field(factory=collections.Counter)
    paused: bool = False
    payload = None
    on_payload = None

    # Peer connections.

    def register(self, message_class, handler):
        """Register the handler of a message class."""
        self.handlers[message_class] = handler

    async def request(self, address, msg, timeout):
        """Return the peer's reply.

        Raises `PeerUnreachableError` if there is no such node, and `PeerTimeoutError`
        if the request is lost.
        """
        other = self.fleet.nodes.get(address)
        if other is None:
            raise PeerUnreachableError("no such peer")
        if self.fleet.is_partitioned(self, other) or self.fleet.loses_message():
            await self.fleet.clock.sleep(timeout)
            raise PeerTimeoutError("lost")
        reply = await other.receive(self, msg)
        await self.fleet.wait_latency()
        data = messages.encode(reply)
        self.received[type(reply).__name__] += len(data)
        return messages.decode(data).message

    async def notify(self, address, msg):
        """Deliver a notice, unless the network loses it."""
        other = self.fleet.nodes[address]
        if (
            not self.fleet.is_partitioned(self, other)
            and not self.fleet.loses_message()
        ):
            await other.receive(self, msg)

    async def receive(self, sender, msg):
        """Count the bytes of a message and return the result of its handler."""
        data = messages.encode(msg)
        self.received[type(msg).__name__] += len(data)
        await self.fleet.wait_latency()
        return await self.handlers[type(msg)](
            sender.member, messages.decode(data).message
        )

    # Membership.

    def members(self):
        """Return the reachable members, starting with this one."""
        others = (
            n
            for n in self.fleet.nodes.values()
            if not self.fleet.is_partitioned(self, n)
        )
        return [self.member, *(n.member for n in others if n is not self)]

    def random_peers(self, count):
        """Return up to `count` random other reachable members."""
        others = self.members()[1:]
        return self.rng.sample(others, min(count, len(others)))

    def merge_instance_list(self, rows):
        """Do nothing; the simulation knows all nodes."""

    async def probe(self):
        """Exchange payloads with a random node about once per second, forever."""
        while True:
            for member in self.random_peers(1):
                other = self.fleet.nodes[member.address]
                self._send_payload(other)
                other._send_payload(self)
            await self.fleet.clock.sleep(self.rng.uniform(0.9, 1.1))

    def _send_payload(self, other):
        payload = self.payload()
        other.received["payload"] += len(messages.cbor2.dumps(payload))
        other.on_payload(self.member, payload)


class Fleet:
    """The simulated nodes with their clock and platform.

    `partitions` maps the address of a node to the number of its partition.
    """

    def __init__(self, seed=1, loss=0.0, latency=0.0):
        self.clock = ManualClock()
        self.platform = FakePlatform(self.clock)
        self.nodes = {}
        self.partitions = collections.defaultdict(int)
        self.loss = loss
        self.latency = latency
        self.rng = random.Random(seed)

    def is_partitioned(self, one, other):
        """Return whether two nodes can't exchange messages."""
        if one.paused or other.paused:
            return True
        return (
            self.partitions[one.member.address] != self.partitions[other.member.address]
        )

    def loses_message(self):
        """Draw whether the network loses the next message."""
        return self.rng.random() < self.loss

    async def wait_latency(self):
        """Wait for the time that a message takes."""
        if self.latency:
            await self.clock.sleep(self.latency)
        else:
            await asyncio.sleep(0)

    async def add(self, count):
        """Start `count` more nodes and return them."""
        return [await self._add() for _ in range(count)]

    async def _add(self):
        number = len(self.nodes)
        dc = DATA_CENTRES[number % len(DATA_CENTRES)]
        address = ("127.0.0.1", 1_000 + number)
        seed = next(iter(self.nodes), address)
        text = f"""
            [instance]
            name = entry-{number}
            data_centre = {dc}
            [peers]
            fleet_key = 0123456789abcdef
            peers = {seed[0]}:{seed[1]}
            [platform]
            platform = 127.0.0.1:1
        """
        cfg = parse_settings(text.replace("            ", ""))
        member = Member(cfg.name, dc, address, 1)
        node = Node(self, member, random.Random(self.rng.random()))
        rng = random.Random(self.rng.random())
        node.config = Configuration(cfg, self.clock, self.platform, node, node, rng)
        self.nodes[address] = node
        node.config.add_future(node.probe())
        await node.config.start()
        return node

    async def run(self, seconds, until=lambda: False, step=STEP_S):
        """Advance the clock by `seconds`, or until `until()` is true.

        Returns the seconds that passed.
        """
        start = self.clock.monotonic()
        while self.clock.monotonic() - start < seconds and not until():
            self.clock.advance(step)
            for _ in range(LOOP_PASSES_PER_STEP):
                await asyncio.sleep(0)
        return self.clock.monotonic() - start

    def count_at_revision(self, revision):
        """Return how many nodes have this revision of the publication."""
        return sum(n.config.version.revision == revision for n in self.nodes.values())

    def ready(self):
        """Return whether all nodes are ready."""
        return all(node.config.ready for node in self.nodes.values())

    async def stop(self):
        """Stop all nodes."""
        for node in self.nodes.values():
            await node.config.stop()
