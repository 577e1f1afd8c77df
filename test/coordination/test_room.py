"""Admission by cost: overload, and calm traffic that no limit may touch."""

from __future__ import annotations

import gc
import itertools
import math
import random

import attrs
import pytest

from filbertshelf import events
from filbertshelf.coordination.delegation import Delegation
from filbertshelf.coordination.gather import Gather
from filbertshelf.coordination.request_run import RequestRun
from filbertshelf.coordination.room import RoomClaim
from filbertshelf.coordination.routed_request import RoutedRequest
from filbertshelf.coordination.router import Router
from filbertshelf.coordination.shard_call import ShardCall
from filbertshelf.gateway_metrics import GatewayMetrics
from filbertshelf.protocol.delegation import DelegationRequest
from filbertshelf.protocol.http_messages import Response
from filbertshelf.state.members import Member
from filbertshelf.state.routing import Limits, Repeat, Route, RouteTable
from filbertshelf.transport.http1.server import Request
from test.coordination.peer_fleet import FeedStub
from test.coordination.peers_stub import PeersStub
from test.coordination.simulated_gateway import (
    HERE,
    Leaf,
    Simulation,
    gather_route,
    single_route,
)

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

    def leafs(self, shards: int = SHARDS) -> list[Leaf]:
        """Return the targets of the first shards."""
        services = self.shards[:shards]
        leafs = self.simulation.leafs.values()
        return [leaf for leaf in leafs if leaf.service in services]

    def metric(self, name: str) -> float:
        """Return the sum of a metric's samples."""
        values = [
            sample.value
            for family in self.metrics.registry.collect()
            for sample in family.samples
            if sample.name == name
        ]
        return sum(values)

    @property
    def refusals(self) -> int:
        """Return how many requests were refused for want of room."""
        return int(self.metric("filbertshelf_room_refusals_total"))

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return int(self.metric("filbertshelf_room_waiting"))

    def fill(self) -> Attempt:
        """Start a request, and limit the room to it."""
        attempt = self.send(self.routes[0])
        [group] = self.router.room.groups()
        group.account.limit_s = group.account.minimum_s = group.account.running_s
        return attempt

    def ids_at_targets(self) -> set[bytes]:
        """Return the ids of the requests that reached a target."""
        return {id_ for leaf in self.leafs() for id_ in leaf.request_ids}


def in_time_per_s(attempts: list[Attempt], seconds: float) -> float:
    """Return how many requests a second were answered within the objective."""
    return sum(attempt.in_time for attempt in attempts) / seconds


@pytest.fixture
def waits(monkeypatch):
    """Return a list of the ids of requests that had to wait."""
    ids = []
    emit = events.emit

    def record(event, **fields):
        if event is events.REQUEST_WAITS:
            ids.append(fields["request_id"])
        emit(event, **fields)

    monkeypatch.setattr(events, "emit", record)
    return ids


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
    # No route may starve, however low its priority.
    overall = sum(attempt.in_time for attempt in attempts) / len(attempts)
    for route in gateway.routes:
        own = [attempt for attempt in attempts if attempt.route is route]
        assert sum(attempt.in_time for attempt in own) / len(own) >= 0.25 * overall


def test_targets_that_queue_without_refusing_are_not_flooded():
    """Guards against a limit that reacts only once late answers arrive."""
    gateway = RoomGateway(queue_limit=None)
    gateway.load(0.5 * CAPACITY_PER_S, 1.0)
    attempts = gateway.load(5 * CAPACITY_PER_S, 3.0)
    assert in_time_per_s(attempts, 3.0) >= 0.8 * CAPACITY_PER_S


def test_an_objective_of_twice_the_work_is_met():
    """Guards against full targets that answer each request, but too late."""
    gateway = RoomGateway(slots=8, work_s=0.08)
    gateway.load(0.5 * CAPACITY_PER_S, 1.0)
    gateway.load(5 * CAPACITY_PER_S, 1.0)
    attempts = gateway.load(5 * CAPACITY_PER_S, 2.0)
    # Without a limit, the best rate at any load is 164 a second, and it is 15 here.
    assert in_time_per_s(attempts, 2.0) >= 0.75 * 164


def pause_all(gateway: RoomGateway) -> None:
    """Pause all targets at the same time."""
    for leaf in gateway.leafs():
        leaf.pause_s, leaf.pause_every_s = 0.2, 1.2


def pause_local(gateway: RoomGateway) -> None:
    """Pause one target of each shard."""
    for leaf in gateway.leafs()[::2]:
        leaf.pause_s, leaf.pause_every_s = 0.3, 1.0


def slow_shards(gateway: RoomGateway) -> None:
    """Make all targets of three shards slow."""
    for leaf in gateway.leafs(3):
        leaf.work_s = 0.04


def with_fault(fault: str):
    """Return a change that gives all targets of one shard a fault."""

    def change(gateway: RoomGateway) -> None:
        for leaf in gateway.leafs(1):
            leaf.fault = fault

    return change


@pytest.mark.parametrize(
    "change",
    [
        lambda gateway: None,
        slow_shards,
        pause_all,
        pause_local,
        with_fault("refused"),
        with_fault("silent"),
        with_fault("shed"),
    ],
    ids=["calm", "slow", "all paused", "half paused", "refused", "silent", "shed"],
)
def test_nothing_waits_without_overload(change, waits):
    """Guards against a limit that falls because some shards are slow or dead."""
    gateway = RoomGateway()
    gateway.load(0.3 * CAPACITY_PER_S, 1.0)
    change(gateway)
    gateway.load(0.35 * CAPACITY_PER_S, 2.5)
    assert not waits
    assert not gateway.refusals
    assert gateway.metric("filbertshelf_room_limit_seconds") == math.inf


def test_a_limit_ends_after_the_overload(waits):
    """Guards against an old limit that makes calm traffic wait."""
    gateway = RoomGateway()
    gateway.load(5 * CAPACITY_PER_S, 1.0)
    gateway.load(0.3 * CAPACITY_PER_S, 7.0)
    assert gateway.metric("filbertshelf_room_limit_seconds") == math.inf
    waits.clear()
    slow_shards(gateway)
    gateway.load(0.3 * CAPACITY_PER_S, 2.0)
    assert not waits


def test_routes_of_equal_priority_are_served_as_before(waits):
    """Guards against admission control where no configuration calls for it."""
    gateway = RoomGateway(priorities=(1, 1))
    gateway.load(5 * CAPACITY_PER_S, 0.5)
    assert not waits
    assert not gateway.router.room.groups()


def test_a_new_configuration_may_end_the_admission_control():
    """Guards against requests that wait for ever in a group that is out of use."""
    gateway = RoomGateway()
    gateway.fill()
    waiting = gateway.send(gateway.routes[1])
    gateway.simulation.add_leaf("desk")
    route = single_route("desk", Repeat.IDEMPOTENT, prefix="/desk/", priority=0)
    gateway.feed.table = RouteTable.build(2, [route], [], Limits())
    assert gateway.send(route).response is None
    assert not gateway.router.room.groups()
    gateway.time.run_until(1.0)
    assert waiting.response is not None
    assert not gateway.metric("filbertshelf_room_waiting")


def test_a_caller_that_leaves_while_it_waits_frees_its_place():
    """Guards against a queue that is full of callers that have left."""
    gateway = RoomGateway()
    gateway.fill()
    waiting = gateway.send(gateway.routes[1])
    assert gateway.waiting == 1
    waiting.request.on_disconnect()
    assert gateway.waiting == 0
    gateway.load(0.1, 1.0)
    assert waiting.id not in gateway.ids_at_targets()


def test_a_waiting_request_starts_when_a_running_one_ends():
    """Guards against waiting requests that nothing starts."""
    gateway = RoomGateway()
    first = gateway.fill()
    waiting = gateway.send(gateway.routes[1], deadline_s=0.7)
    gateway.time.run_until(1.0)
    assert (first.status, waiting.status) == (200, 200)
    assert waiting.ended_at > first.sent_at + 0.01


def test_the_higher_priority_starts_first():
    """Guards against an order by arrival alone."""
    gateway = RoomGateway(work_s=0.01)
    gateway.load(0.5 * CAPACITY_PER_S, 1.0)
    gateway.time.run_until(2.0)
    gateway.fill()
    low = [gateway.send(gateway.routes[2]) for _ in range(4)]
    high = gateway.send(gateway.routes[0])
    gateway.time.run_until(3.0)
    assert high.status == 200
    assert all(high.ended_at <= attempt.ended_at for attempt in low if attempt.in_time)


@pytest.mark.parametrize("end", ["stop", "resume"])
def test_a_waiting_request_that_can_not_start_is_refused_as_not_run(end):
    """Guards against waiting requests that are lost, or run after their deadline."""
    gateway = RoomGateway()
    gateway.fill()
    waiting = gateway.send(gateway.routes[1], deadline_s=0.3)
    if end == "stop":
        gateway.router.close()
    else:
        gateway.time.pause(0.5)
        gateway.router.on_resume()
    assert waiting.status == 503
    assert gateway.refusals == 1
    gateway.time.run_until(2.0)
    assert waiting.id not in gateway.ids_at_targets()


def test_a_delegate_without_room_answers_with_the_refusal():
    """Guards against a delegated query that is lost, or run by its sender too."""
    gateway = RoomGateway()
    for leaf in gateway.leafs():
        leaf.fault = "silent"
    gateway.fill()
    fields = ((b"Host", b"h"), (b"Id", b"d1"), (b"Left-Ms", b"800"))
    path = b"/q1/1"
    message = DelegationRequest("k", b"GET", path, fields, b"", 0.0, 1, 2)
    request = Request(b"GET", path, list(fields), b"", 0.0, True, lambda _: None)
    results = []
    gateway.router.serve_delegated(request, message, results.append)
    gateway.time.run_until(OBJECTIVE_S)
    [result] = results
    assert (result.response.status, result.outcome) == (503, "not run")
    assert b"d1" not in gateway.ids_at_targets()


def test_no_hedge_is_sent_while_requests_wait():
    """Guards against extra sub-requests that take room from waiting requests."""
    gateway = RoomGateway()
    gateway.load(0.3 * CAPACITY_PER_S, 1.0)
    for leaf in gateway.leafs():
        leaf.fault = "silent"
    before = gateway.simulation.arrivals()
    gateway.fill()
    for n in range(30):
        gateway.send(gateway.routes[1])
        gateway.time.run_until(1.0 + 0.02 * n)
    assert gateway.simulation.arrivals() - before == SHARDS


@pytest.mark.parametrize(("shards", "attempts"), [(1, 1), (2, 3)])
def test_a_retry_is_sent_while_requests_wait_only_if_it_is_needed(shards, attempts):
    """Guards against retries that take room, and queries that fail for lack of one."""
    gateway = RoomGateway()
    for leaf in gateway.leafs(shards):
        leaf.fault = "shed"
    gateway.fill()
    gateway.send(gateway.routes[1])
    gateway.time.run_until(0.02)
    # One of 12 shards may be missing; the second one is asked again.
    assert sum(len(leaf.arrivals) for leaf in gateway.leafs(shards)) == attempts


def test_an_attempt_that_reached_no_target_is_made_again_while_requests_wait():
    """Guards against a shard that is lost because one replica takes no connection."""
    gateway = RoomGateway()
    unreachable, other = gateway.leafs(1)
    unreachable.fault = "refused"
    gateway.fill()
    gateway.send(gateway.routes[1])
    gateway.time.run_until(0.02)
    assert len(other.arrivals) == 1


def test_a_deadline_before_the_objective_ends_the_wait():
    """Guards against a request that waits until its caller has given up."""
    gateway = RoomGateway()
    for leaf in gateway.leafs():
        leaf.fault = "silent"
    gateway.fill()
    waiting = gateway.send(gateway.routes[1], deadline_s=0.1)
    assert gateway.waiting == 1
    gateway.time.run_until(0.5)
    assert waiting.refused
    assert waiting.elapsed_s <= 0.25 * 0.1


@pytest.mark.parametrize("end", ["answered", "refused", "disconnected"])
def test_a_request_with_room_is_freed_without_the_garbage_collector(end):
    """Guards against finished requests that are held until the collector runs."""
    gateway = RoomGateway()
    gc.collect()
    gc.disable()
    try:
        gateway.fill()
        waiting = gateway.send(gateway.routes[1])
        if end == "refused":
            gateway.router.close()
        elif end == "disconnected":
            # The server drops the callback with the connection.
            on_disconnect, waiting.request.on_disconnect = (
                waiting.request.on_disconnect,
                None,
            )
            on_disconnect()
            del on_disconnect
        gateway.time.run_until(3.0)
        for pool in gateway.simulation.pools.values():
            pool.reset()
        assert waiting.status == {"answered": 200, "refused": 503}.get(end, 0)
        classes = (RequestRun, RoutedRequest, RoomClaim, Gather, ShardCall)
        assert [item for item in gc.get_objects() if isinstance(item, classes)] == []
    finally:
        gc.enable()


def test_an_error_in_a_start_harms_only_the_request_that_starts(monkeypatch):
    """Guards against a running query that loses a shard because another can't start."""
    gateway = RoomGateway()
    first = gateway.fill()
    # A route that was not served goes first.
    failing = gateway.send(gateway.routes[1])
    later = gateway.send(gateway.routes[0])
    start = RoomClaim.start

    def fail_once(claim, now):
        start(claim, now)
        monkeypatch.undo()
        raise RuntimeError("a fault of the program")

    monkeypatch.setattr(RoomClaim, "start", fail_once)
    gateway.time.run_until(2.0)
    assert first.status == later.status == 200
    assert first.response.fields[-1][1] == b"0"
    assert failing.status == 502
    [group] = gateway.router.room.groups()
    assert group.account.running_s == 0.0


def test_waiting_requests_start_after_the_callback_that_made_room():
    """Guards against an answer that is delayed by the starts of other requests."""
    gateway = RoomGateway()
    gateway.fill()
    gateway.send(gateway.routes[1])
    [group] = gateway.router.room.groups()
    group.account.limit_s = math.inf
    gateway.router.room.on_room(group)
    gateway.router.room.on_room(group)
    assert gateway.waiting == 1
    gateway.time.run_until(gateway.time.monotonic())
    assert gateway.waiting == 0


def test_waiting_requests_are_not_ranked_while_there_is_no_room(monkeypatch):
    """Guards against a cost of each answer that grows with routes and data centres."""
    gateway = RoomGateway()
    gateway.fill()
    gateway.send(gateway.routes[1])
    [group] = gateway.router.room.groups()
    ranked = []
    first = type(group.waiting).first

    def record(waiting, now):
        ranked.append(now)
        return first(waiting, now)

    monkeypatch.setattr(type(group.waiting), "first", record)
    gateway.router.room.on_room(group)
    gateway.time.run_until(gateway.time.monotonic())
    assert not ranked
    group.account.limit_s = math.inf
    gateway.router.room.on_room(group)
    gateway.time.run_until(gateway.time.monotonic())
    assert len(ranked) == 1


def test_a_request_of_an_older_table_is_in_the_group_of_its_own_services():
    """Guards against a query that counts towards the limit of other services."""
    gateway = RoomGateway()
    old = gateway.feed.table
    fewer = [
        gather_route(
            gateway.shards[:6],
            name=f"q{n}",
            prefix=f"/q{n}/",
            priority=n,
            timeout_s=9.0,
        )
        for n in range(3)
    ]
    new = RouteTable.build(2, fewer, [], Limits())
    sizes = []
    for table in (new, old, new):
        gateway.feed.table = table
        gateway.send(gateway.routes[1])
        sizes.append(
            [
                (len(group.services), group.account.running_s > 0)
                for group in gateway.router.room.groups()
            ]
        )
        gateway.time.run_until(gateway.time.monotonic() + 1.0)
    assert sizes == [
        [(6, True)],
        [(6, False), (12, True)],
        [(6, True), (12, False)],
    ]
