"""Gateways that share targets and reach each other, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator

import attrs

from filbertshelf.coordination.delegation import Delegation
from filbertshelf.coordination.router import Router
from filbertshelf.gateway_metrics import GatewayMetrics
from filbertshelf.protocol.http_messages import Response
from filbertshelf.state.members import Member
from filbertshelf.state.routing import Limits, Repeat, Route, RouteTable
from filbertshelf.transport.http1.server import Request
from test.coordination.peers_stub import PeersStub
from test.coordination.simulated_gateway import (
    HERE,
    Link,
    Simulation,
    VirtualTime,
    gather_route,
    single_route,
)

SHARDS = 12
STEP_S = 0.002
"""The virtual time after which messages between gateways are delivered."""


@attrs.define
class FeedStub:
    """A feed that knows the configuration."""

    table: RouteTable
    ready: bool = True

    def age_s(self) -> float:
        """Return the age of the content in seconds."""
        return 0.0


@attrs.define(eq=False)
class CallerRequest:
    """One request of a caller, its gateway's response, and when both were sent."""

    id: bytes
    sent_at: float
    http_request: Request | None = None
    response: Response | None = None
    ended_at: float = 0.0

    @property
    def status(self) -> int:
        """Return the status of the response, 0 if there is none."""
        return 0 if self.response is None else self.response.status

    @property
    def elapsed_s(self) -> float:
        """Return the seconds until the response."""
        return self.ended_at - self.sent_at


@attrs.define(eq=False)
class FleetGateway:
    """One gateway of the fleet."""

    member: Member
    simulation: Simulation
    delegation: Delegation
    peers: PeersStub
    router: Router


class PeerFleet:
    """Gateways with one route for queries, one for reads and one for bookings."""

    def __init__(self, size: int):
        self.time = VirtualTime()
        self.gateways: list[FleetGateway] = []
        self._ids = itertools.count(1)
        simulations = [
            Simulation(fleet=size, time=self.time, seed=n) for n in range(size)
        ]
        first = simulations[0]
        shards = first.add_shards(SHARDS)
        for _ in range(3):
            first.add_leaf("desk")
        self.leafs = list(first.leafs.values())
        for simulation in simulations[1:]:
            for leaf in self.leafs:
                simulation.list_leaf(leaf)
        self.query = gather_route(shards, prefix="/query/")
        self.read = single_route("desk", Repeat.IDEMPOTENT, name="r", prefix="/read/")
        self.booking = single_route("desk", Repeat.ONCE, name="b", prefix="/book/")
        routes = [self.query, self.read, self.booking]
        table = RouteTable.build(1, routes, [], Limits())
        network: dict = {}
        for n, simulation in enumerate(simulations):
            member = Member(f"gateway-{n}", HERE, ("10.1.0.1", n), 1)
            peers = PeersStub(member, network)
            rng = random.Random(n)
            delegation = Delegation(simulation.context, peers, rng)
            router = Router(
                simulation.context, FeedStub(table), delegation, GatewayMetrics(), rng
            )
            self.gateways.append(
                FleetGateway(member, simulation, delegation, peers, router)
            )
        members = [gateway.member for gateway in self.gateways]
        for gateway in self.gateways:
            gateway.delegation.own_id = gateway.member.id
            gateway.delegation.members = lambda: members

    async def __aenter__(self) -> PeerFleet:
        for gateway in self.gateways:
            await gateway.delegation.start()
        return self

    async def __aexit__(self, *exc_info) -> None:
        for gateway in self.gateways:
            await gateway.delegation.stop()

    def send(
        self, gateway: FleetGateway, route: Route, deadline_s: float = 0.8
    ) -> CallerRequest:
        """Send a caller's request to a gateway."""
        now = self.time.monotonic()
        call = CallerRequest(b"r%d" % next(self._ids), now)

        def reply(response: Response) -> None:
            assert call.response is None
            call.response = response
            call.ended_at = self.time.monotonic()

        method = b"GET" if route.repeat is Repeat.IDEMPOTENT else b"POST"
        fields = [
            (b"Host", b"h"),
            (b"Id", call.id),
            (b"Left-Ms", b"%d" % (deadline_s * 1000)),
        ]
        path = route.prefix.encode() + b"1"
        call.http_request = Request(method, path, fields, b"", now, True, reply)
        gateway.router.handle(call.http_request)
        return call

    async def run(self, seconds: float) -> None:
        """Let time pass and deliver messages."""
        end = self.time.monotonic() + seconds
        while self.time.monotonic() < end:
            self.time.run_until(min(end, self.time.monotonic() + STEP_S))
            for _ in range(8):
                await asyncio.sleep(0)

    async def send_load(
        self, gateway: FleetGateway, route: Route, per_s: float, seconds: float
    ) -> list[CallerRequest]:
        """Send requests to a gateway at a rate, and run for that time."""
        calls = []
        for _ in range(int(per_s * seconds)):
            calls.append(self.send(gateway, route))
            await self.run(1.0 / per_s)
        return calls

    def cut_off(self, count: int, link: Link) -> list[FleetGateway]:
        """Cut the first gateways off from all targets and return them."""
        cut = self.gateways[:count]
        for gateway in cut:
            gateway.simulation.link = link
        return cut

    def arrivals(self, call: CallerRequest) -> int:
        """Return how many targets received a caller's request."""
        return sum(leaf.request_ids.count(call.id) for leaf in self.leafs)

    def arrivals_by_service(self, call: CallerRequest) -> dict[str, int]:
        """Return how many targets of each service received a caller's request."""
        counts: dict[str, int] = {}
        for leaf in self.leafs:
            arrived = leaf.request_ids.count(call.id)
            counts[leaf.service] = counts.get(leaf.service, 0) + arrived
        return counts


@contextlib.asynccontextmanager
async def serving_fleet(size: int) -> AsyncIterator[PeerFleet]:
    """Start a fleet whose gateways have served some queries."""
    async with PeerFleet(size) as fleet:
        for gateway in fleet.gateways:
            await fleet.send_load(gateway, fleet.query, 20, 0.5)
        yield fleet
