"""Admission by cost: overload, and calm traffic that no limit may touch."""

from __future__ import annotations

import itertools
import random

import attrs

from filbertshelf.coordination.delegation import Delegation
from filbertshelf.coordination.router import Router
from filbertshelf.gateway_metrics import GatewayMetrics
from filbertshelf.protocol.http_messages import Response
from filbertshelf.state.members import Member
from filbertshelf.state.routing import Limits, Route, RouteTable
from filbertshelf.transport.http1.server import Request
from test.coordination.peer_fleet import FeedStub
from test.coordination.peers_stub import PeersStub
from test.coordination.simulated_gateway import HERE, Leaf, Simulation, gather_route

SHARDS = 12
OBJECTIVE_S = 0.15
CAPACITY_PER_S = 200.0
"""Queries a second that two replicas with two slots can do at 20 ms each."""


@attrs.define(eq=False)
class Attempt:
    """One request of a caller and its response."""

    id: bytes
    route: Route
    sent_at: float
    deadline_s: float
    request: Request | None = None
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

    @property
    def in_time(self) -> bool:
        """Return whether it was answered within the objective."""
        objective_s = self.route.latency_objective_s
        return self.status == 200 and self.elapsed_s <= objective_s

    @property
    def refused(self) -> bool:
        """Return whether it was refused as not run."""
        return self.status == 503


class RoomGateway:
    """A gateway with routes of several priorities over the same shards."""

    def __init__(self, priorities=(0, 1, 2), replicas: int = 2, seed: int = 7, **leaf):
        """Create the targets with the options `leaf`, and one route a priority."""
        options = {"slots": 2, "queue_limit": 4, **leaf}
        self.simulation = Simulation(seed=seed)
        self.time = self.simulation.time
        self.shards = self.simulation.add_shards(SHARDS, replicas, **options)
        self.routes = [
            gather_route(self.shards, name=f"q{n}", prefix=f"/q{n}/", priority=priority)
            for n, priority in enumerate(priorities)
        ]
        self.rng = random.Random(seed)
        self._ids = itertools.count(1)
        member = Member("gateway", HERE, ("10.1.0.1", 1), 1)
        context = self.simulation.context
        delegation = Delegation(context, PeersStub(member, {}), self.rng)
        self.metrics = GatewayMetrics()
        table = RouteTable.build(1, self.routes, [], Limits())
        self.feed = FeedStub(table)
        self.router = Router(context, self.feed, delegation, self.metrics, self.rng)

    def send(self, route: Route, deadline_s: float = 0.8) -> Attempt:
        """Send a request of a caller."""
        now = self.time.monotonic()
        attempt = Attempt(b"r%d" % next(self._ids), route, now, deadline_s)

        def reply(response: Response) -> None:
            assert attempt.response is None
            attempt.response = response
            attempt.ended_at = self.time.monotonic()

        fields = [
            (b"Host", b"h"),
            (b"Id", attempt.id),
            (b"Left-Ms", b"%d" % (deadline_s * 1000)),
        ]
        path = route.prefix.encode() + b"1"
        attempt.request = Request(b"GET", path, fields, b"", now, True, reply)
        self.router.handle(attempt.request)
        return attempt

    def load(self, per_s: float, seconds: float, routes=None) -> list[Attempt]:
        """Send requests at random times; the last ones may still run at the end."""
        attempts = []
        end = self.time.monotonic() + seconds
        while True:
            at = self.time.monotonic() + self.rng.expovariate(per_s)
            if at >= end:
                self.time.run_until(end)
                return attempts
            self.time.run_until(at)
            attempts.append(self.send(self.rng.choice(routes or self.routes)))

    def leafs(self) -> list[Leaf]:
        """Return all targets."""
        return list(self.simulation.leafs.values())

    def ids_at_targets(self) -> set[bytes]:
        """Return the ids of the requests that reached a target."""
        return {id_ for leaf in self.leafs() for id_ in leaf.request_ids}


def in_time_per_s(attempts: list[Attempt], seconds: float) -> float:
    """Return how many requests a second were answered within the objective."""
    return sum(attempt.in_time for attempt in attempts) / seconds


def test_five_times_the_capacity_leaves_the_served_queries_near_the_best():
    """Guards against queries that fill all shards and fail because a few are full."""
    gateway = RoomGateway()
    gateway.load(0.5 * CAPACITY_PER_S, 1.0)
    attempts = gateway.load(5 * CAPACITY_PER_S, 3.0)
    gateway.load(1.0, 1.0)
    assert in_time_per_s(attempts, 3.0) >= 0.9 * CAPACITY_PER_S
    failed = [attempt for attempt in attempts if attempt.status not in (200, 503)]
    assert len(failed) <= 0.05 * len(attempts)
    at_targets = gateway.ids_at_targets()
    waits = sorted(
        attempt.elapsed_s
        for attempt in attempts
        if attempt.refused and attempt.id not in at_targets
    )
    assert waits[int(0.99 * len(waits))] <= 0.25 * OBJECTIVE_S
