"""A gateway with simulated targets, in virtual time and without a network."""

from __future__ import annotations

import enum
import heapq
import itertools
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

import attrs

from filbertshelf.addresses import Address
from filbertshelf.coordination.forward import Forward
from filbertshelf.coordination.gather import Gather
from filbertshelf.coordination.listed_targets import ListedTargets
from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutedResult,
    RoutingContext,
)
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.protocol.target_responses import HeaderNames, ResponseClassifier
from filbertshelf.settings import Settings
from filbertshelf.state.crashes import CrashCounter
from filbertshelf.state.directory import ListedTarget, TargetChange
from filbertshelf.state.fleet_role import FleetRole
from filbertshelf.state.retry_window import RetryPolicy
from filbertshelf.state.routing import (
    Gather as GatherRule,
)
from filbertshelf.state.routing import (
    Limits,
    Repeat,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from filbertshelf.state.withholding import LeavingTarget
from filbertshelf.transport.http1.exchange import Exchange, ExchangeEnd
from filbertshelf.transport.http1.pool import CONNECT_TIMEOUT_S
from filbertshelf.transport.http1.server import Request

HEADER_NAMES = HeaderNames(
    b"Id",
    b"Left-Ms",
    b"Stamp",
    b"Expect",
    b"Not-Run",
    b"Parts",
    b"Missing",
    b"Limit",
    b"Leaving",
    cold_remaining_ms=b"Cold-Ms",
)
HERE = "here"
ELSEWHERE = "elsewhere"


class VirtualTime:
    """A clock and a timer queue that advance only when a test calls for it."""

    def __init__(self, early_s: float = 0.0) -> None:
        """Fire timers `early_s` seconds early, as an event loop may do."""
        self._early_s = early_s
        self._now = 0.0
        self._due: list[tuple[float, int, VirtualTimer]] = []
        self._order = itertools.count()

    def monotonic(self) -> float:
        """Return the virtual monotonic time in seconds."""
        return self._now

    def now(self) -> datetime:
        """Return the virtual time of day."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self._now)

    def call_later(self, seconds: float, func: Callable[[], None]) -> VirtualTimer:
        """Schedule a call."""
        timer = VirtualTimer(func)
        due = self._now + max(0.0, seconds - self._early_s)
        heapq.heappush(self._due, (due, next(self._order), timer))
        return timer

    def pause(self, seconds: float) -> None:
        """Let time pass without any call, as in a process that is paused."""
        self._now += seconds
        # The calls that came due are made now, in the order in which they were due.
        due = sorted(self._due)
        self._due = [(max(at, self._now), order, timer) for at, order, timer in due]
        heapq.heapify(self._due)

    def run_until(self, end: float) -> None:
        """Make all calls that are due by `end`."""
        while self._due and self._due[0][0] <= end:
            due, _, timer = heapq.heappop(self._due)
            self._now = due
            if not timer.cancelled:
                timer.func()
        self._now = end


@attrs.define(eq=False)
class VirtualTimer:
    """A scheduled call."""

    func: Callable[[], None] | None
    cancelled: bool = False

    def cancel(self) -> None:
        """Cancel the call, and drop its function as the timers of asyncio do."""
        self.cancelled = True
        self.func = None


@attrs.define(eq=False)
class Leaf:
    """A simulated target with slots, a queue, pauses and faults."""

    simulation: Simulation
    id: str
    service: str
    slots: int = 2
    work_s: float = 0.02
    pause_s: float = 0.0
    pause_every_s: float = 0.0
    pause_phase_s: float = 0.0
    fault: str = ""
    """One of:

    "": none; refused: no connection; silent: no answer; shed: says that it did not run
    the request; error: its own 500; reset: the connection ends after the request ran;
    endless: the response has no end and is cut at a bound;
    crash: like reset, and the leaf dies; moved: another target has its address; full:
    no connection is free; held: requests wait for a connection.
    """
    rate_limit: float | None = None
    """The requests a second that it names in its answers, None for no limit."""
    rate_limit_text: bytes | None = None
    """A malformed limit that it names."""
    leaving: bytes | None = None
    """The value of the header in which it says that it leaves."""
    retry_after: bytes | None = None
    """The pause that it asks for when it refuses."""
    cold_ms: bytes | None = None
    """The value of the header in which it says how long it is still cold."""
    queue_limit: int | None = None
    """How many requests wait for a slot before it refuses more; None for no limit."""
    arrivals: list[float] = attrs.field(factory=list)
    request_ids: list[bytes] = attrs.field(factory=list)
    deadlines_ms: list[int] = attrs.field(factory=list)
    queued: list[Exchange] = attrs.field(factory=list)
    _slots_free_at: list[float] = attrs.field(factory=list)
    _ends: list[float] = attrs.field(factory=list)
    """When the requests that run or wait for a slot end."""

    def receive(self, exchange: Exchange) -> None:
        """Receive a request."""
        now = self.simulation.time.monotonic()
        if self.fault == "refused":
            self.simulation.time.call_later(
                0.002, lambda: exchange.finish(ExchangeEnd.NOT_CONNECTED)
            )
            return
        if self.fault in ("full", "held"):
            self.queued.append(exchange)
            return
        exchange.written = True
        head = _fields(exchange.make_head())
        self.arrivals.append(now)
        self.request_ids.append(head[b"Id"])
        self.deadlines_ms.append(int(head[b"Left-Ms"]))
        if self.fault == "silent":
            return
        if self.fault == "shed" or self._is_full(now):
            self._answer(exchange, 0.002, 503, [(b"Not-Run", b"1")])
        elif self.fault == "moved":
            self._answer(exchange, 0.002, 421, [(b"Target", b"other")])
        elif self.fault == "error":
            self._answer(exchange, 0.002, 500, [(b"Stamp", b"s-" + head[b"Id"])])
        elif self.fault in ("reset", "crash"):
            self.simulation.time.call_later(
                0.01, lambda: exchange.finish(ExchangeEnd.LOST)
            )
        elif self.fault == "endless":
            exchange.exceeded = "body"
            self.simulation.time.call_later(
                0.01, lambda: exchange.finish(ExchangeEnd.MALFORMED)
            )
        else:
            self._serve(exchange, now, head[b"Id"])

    def _is_full(self, now: float) -> bool:
        """Return whether as many requests run and wait as it takes."""
        self._ends = [end for end in self._ends if end > now]
        limit = self.queue_limit
        return limit is not None and len(self._ends) >= self.slots + limit

    def _serve(self, exchange: Exchange, now: float, request_id: bytes) -> None:
        if len(self._slots_free_at) < self.slots:
            self._slots_free_at.append(now)
        free = min(self._slots_free_at)
        start = self._after_pause(max(now, free))
        end = self._after_pause(
            start + self.work_s * self.simulation.rng.uniform(0.6, 1.4)
        )
        self._slots_free_at[self._slots_free_at.index(free)] = end
        self._ends.append(end)
        stamp = f"{self.id}-".encode() + request_id
        fields = [(b"Stamp", stamp), (b"Id", request_id)]
        if self.rate_limit is not None:
            fields.append((b"Limit", b"%.1f" % self.rate_limit))
        if self.rate_limit_text is not None:
            fields.append((b"Limit", self.rate_limit_text))
        self._answer(exchange, end - now, 200, fields, self.record())

    def record(self) -> bytes:
        """Return the single record of this leaf's answers."""
        return self.id.encode().ljust(16, b".")

    def _after_pause(self, at: float) -> float:
        if not self.pause_every_s:
            return at
        phase_s = (at + self.pause_phase_s) % self.pause_every_s
        return at + self.pause_s - phase_s if phase_s < self.pause_s else at

    def _answer(self, exchange, delay, status, fields, body=b"") -> None:
        fields = list(fields)
        if self.leaving is not None:
            fields.append((b"Leaving", self.leaving))
        if self.cold_ms is not None:
            fields.append((b"Cold-Ms", self.cold_ms))
        if status == 503 and self.retry_after is not None:
            fields.append((b"Retry-After", self.retry_after))
        reader = exchange.reader

        def respond() -> None:
            # A gateway reads the head of a late response too.
            exchange.status = status
            values = {name.lower(): value for name, value in fields}
            if not reader.watched_fields.isdisjoint(values):
                reader.on_watched_head(exchange, values)
            if exchange.end is None:
                exchange.status = status
                exchange.fields = fields
                exchange.response_body = body
                exchange.finish(ExchangeEnd.RESPONDED)

        self.simulation.time.call_later(delay, respond)


class Link(enum.Enum):
    """The state of a gateway's link to all leafs."""

    WORKS = "works"
    SILENT = "silent"
    """Bytes get lost in both directions, and connects hang."""
    RESET = "reset"
    """Connections are reset, and new ones are refused."""
    REFUSED = "refused"
    """New connections are refused, and none is open."""


class LeafPool:
    """Passes exchanges to a leaf, as a connection pool does."""

    def __init__(self, leaf: Leaf, gateway: Simulation):
        self._leaf = leaf
        self._gateway = gateway
        self._submitted: list[Exchange] = []
        self.has_hung = False
        """Whether what the idle connection sends gets lost, until it is closed."""
        self.quota = 1
        self.warmed = False

    def has_room(self) -> bool:
        """Return whether a connection is free."""
        return self._leaf.fault != "full"

    def submit(self, exchange: Exchange) -> None:
        """Send the exchange."""
        exchange.started_at = self._leaf.simulation.time.monotonic()
        self._submitted.append(exchange)
        link = self._gateway.link
        if self.has_hung and link is Link.WORKS:
            exchange.written = True
        elif link is Link.WORKS:
            self._leaf.receive(exchange)
        elif link is Link.REFUSED:
            self._end_later(exchange, ExchangeEnd.NOT_CONNECTED)
        else:
            exchange.written = True
            if link is Link.RESET:
                self._end_later(exchange, ExchangeEnd.LOST)

    def reset(self) -> None:
        """End the exchanges that wait for an answer, as a reset connection does."""
        for exchange in self._submitted:
            if exchange.end is None:
                exchange.finish(ExchangeEnd.LOST)
        self._submitted.clear()

    def end_waiting(self) -> None:
        """End the exchanges that wait for a connection."""
        for exchange in self._submitted:
            if exchange.end is None and not exchange.written:
                exchange.finish(ExchangeEnd.NOT_SENT)

    def close_idle_since(self, at: float) -> None:
        """Close the idle connection."""
        self.has_hung = False

    def _end_later(self, exchange: Exchange, end: ExchangeEnd) -> None:
        self._gateway.time.call_later(0.002, lambda: exchange.finish(end))

    def cancel(self, exchange: Exchange) -> None:
        """Cancel the exchange."""
        exchange.finish(ExchangeEnd.CANCELLED)

    def warm_up(self) -> None:
        """Record that a connection was opened."""
        self.warmed = True

    def check_alive(self, on_dead: Callable[[], None]) -> None:
        """Call `on_dead` if the leaf has crashed."""
        self.probe(lambda accepted: None if accepted else on_dead())

    def probe(self, on_result: Callable[[bool], None]) -> None:
        """Call `on_result` with whether the leaf accepts a connection."""
        link = self._gateway.link
        accepted = link is Link.WORKS and self._leaf.fault not in ("refused", "crash")
        delay_s = CONNECT_TIMEOUT_S if link is Link.SILENT else 0.002
        self._gateway.time.call_later(delay_s, lambda: on_result(accepted))

    def close(self) -> None:
        """Do nothing."""
        return None


def _fields(head: bytes) -> dict[bytes, bytes]:
    lines = head.split(b"\r\n")[1:]
    return dict(line.split(b": ", 1) for line in lines if line)


@attrs.define(eq=False)
class Call:
    """One request of a caller and its result."""

    sent_at: float
    runner: Gather | Forward | None = None
    result: RoutedResult | None = None
    ended_at: float = 0.0

    @property
    def status(self) -> int:
        """Return the status of the response."""
        return self.result.response.status

    @property
    def elapsed_s(self) -> float:
        """Return the seconds until the response."""
        return self.ended_at - self.sent_at

    def header(self, name: bytes) -> bytes:
        """Return a header of the response."""
        return dict(self.result.response.fields)[name]


class Simulation:
    """One gateway and the leafs of some services."""

    def __init__(
        self,
        ratio: float = 0.2,
        slack: float = 129.0,
        fleet: int = 1,
        early_s: float = 0.0,
        role: FleetRole | None = None,
        time: VirtualTime | None = None,
        seed: int = 7,
        seeds: tuple[Address, ...] = (),
    ):
        """Create a gateway; one that belongs to a fleet shares the `time` of all."""
        self.time = time or VirtualTime(early_s)
        self.rng = random.Random(seed)
        self.link = Link.WORKS
        self.leafs: dict[str, Leaf] = {}
        self.pools: dict[str, LeafPool] = {}
        self._ports: dict[int, Leaf] = {}
        self._ids = itertools.count(1)
        self.on_limit_ended: Callable[[str], None] = lambda target_id: None
        """Called when a leaf names no rate limit any more."""
        self.on_leaving: Callable[[LeavingTarget], None] = lambda target: None
        """Called when a leaf has said that it leaves."""
        cfg = GatewaySettings(
            instance=Settings(
                name="gateway",
                data_centre=HERE,
                fleet_key="a key for tests only",
                platform=("127.0.0.1", 1),
                peers=seeds,
            ),
            listen=("127.0.0.1", 0),
            ready_listen=("127.0.0.1", 0),
            retries=RetryPolicy(ratio, slack, 10.0),
            stop_grace_s=6.0,
        )
        self.targets = ListedTargets(
            cfg,
            self.time,
            self.rng,
            self.time.call_later,
            lambda address, quota, clock, held: self._pool(address[1]),
            lambda target_id: self.on_limit_ended(target_id),
            lambda target: self.on_leaving(target),
        )
        self.targets.set_role(role or FleetRole(fleet, fleet, True, True))
        self.crashes = CrashCounter(self.time)
        self.context = RoutingContext(
            self.time,
            self.time.call_later,
            self.targets,
            HEADER_NAMES,
            ResponseClassifier(HEADER_NAMES),
            self.crashes,
            self.crashes.record_crash,
        )

    def _pool(self, port: int) -> LeafPool:
        leaf = self._ports[port]
        self.pools[leaf.id] = LeafPool(leaf, self)
        return self.pools[leaf.id]

    def add_leaf(self, service: str, data_centre: str = HERE, **options) -> Leaf:
        """Add a leaf of a service and list it."""
        leaf = Leaf(self, f"t{len(self.leafs) + 1}", service, **options)
        self.list_leaf(leaf, data_centre)
        return leaf

    def list_leaf(
        self, leaf: Leaf, data_centre: str = HERE, cold_s: float | None = None
    ) -> None:
        """List a leaf, which may belong to another simulation of the same fleet."""
        number = len(self.leafs) + 1
        self.leafs[leaf.id] = leaf
        self._ports[number] = leaf
        address = ("10.0.0.1", number)
        listed = ListedTarget(
            leaf.id,
            leaf.service,
            address,
            data_centre,
            leaf.slots,
            False,
            0,
            cold_s=cold_s,
        )
        self.targets.apply([TargetChange(leaf.id, number, listed)])

    def add_shards(self, count: int, replicas: int = 2, **options) -> list[str]:
        """Add services with one leaf in this data centre and the others elsewhere."""
        services = [f"shard-{n}" for n in range(count)]
        for service in services:
            for replica in range(replicas):
                self.add_leaf(service, HERE if replica == 0 else ELSEWHERE, **options)
        return services

    def send_request(self, route: Route, deadline_s: float = 0.8) -> Call:
        """Send a request on the route now."""
        now = self.time.monotonic()
        call = Call(now)
        request_id = b"r%d" % next(self._ids)
        req = Request(
            b"GET" if route.repeat is Repeat.IDEMPOTENT else b"POST",
            b"/x/1",
            [(b"Host", b"h"), (b"Id", request_id)],
            b"",
            now,
            True,
            lambda response: None,
        )
        deadline = now + min(deadline_s, route.timeout_s)
        table = RouteTable.build(1, [route], [], Limits())
        request = RoutedRequest.make(
            req, request_id, route, table, deadline, self.context
        )

        def on_result(result: RoutedResult) -> None:
            assert call.result is None
            call.result = result
            call.ended_at = self.time.monotonic()

        if route.gather is not None:
            call.runner = Gather(self.context, request, on_result)
        else:
            call.runner = Forward(
                self.context, request, route.weighted_services[0].service, on_result
            )
        call.runner.start()
        return call

    def send_load(self, route: Route, per_s: float, seconds: float) -> list[Call]:
        """Send requests at a rate for some time and run until the last ones end."""
        calls = []
        start = self.time.monotonic()
        for n in range(int(per_s * seconds)):
            self.time.run_until(start + n / per_s)
            calls.append(self.send_request(route))
        self.time.run_until(start + seconds + route.timeout_s + 1.0)
        return calls

    def arrivals(self) -> int:
        """Return how many sub-requests all leafs received."""
        return sum(len(leaf.arrivals) for leaf in self.leafs.values())

    def extra_times(self, service: str) -> list[float]:
        """Return the times of the sub-requests beyond the first of each request."""
        seen_ids: set[bytes] = set()
        extra_times = []
        arrivals = [
            arrival
            for leaf in self.leafs.values()
            if leaf.service == service
            for arrival in zip(leaf.arrivals, leaf.request_ids, strict=True)
        ]
        for at, request_id in sorted(arrivals):
            if request_id in seen_ids:
                extra_times.append(at)
            seen_ids.add(request_id)
        return extra_times


def gather_route(shards: list[str], **changes) -> Route:
    """Return a route that gathers from shards."""
    values = {
        "name": "all",
        "host": "h",
        "prefix": "/x/",
        "repeat": Repeat.IDEMPOTENT,
        "timeout_s": 0.8,
        "latency_objective_s": 0.15,
        "max_attempts": 2,
        "priority": 1,
        "gather": GatherRule(tuple(shards), 10, 0.89),
    }
    return Route(**{**values, **changes})


def single_route(service: str, repeat: Repeat, **changes) -> Route:
    """Return a route to a single service."""
    values = {
        "name": "one",
        "host": "h",
        "prefix": "/x/",
        "repeat": repeat,
        "timeout_s": 4.0,
        "latency_objective_s": 0.6,
        "max_attempts": 2,
        "priority": 2,
        "weighted_services": (WeightedService(service, 1.0),),
    }
    return Route(**{**values, **changes})


def service_named(name: str, connections: int = 58) -> Service:
    """Return a service for a route table."""
    return Service(name, "/health", connections)
