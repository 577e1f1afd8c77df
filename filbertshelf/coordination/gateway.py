"""A gateway: serves routes by host and path, and stops gracefully."""

from __future__ import annotations

import asyncio
import math
import random

import mode

from filbertshelf import events
from filbertshelf.clock import Clock, SystemClock
from filbertshelf.coordination.feed import (
    Decoder,
    Feed,
    FeedListener,
    PlatformSource,
)
from filbertshelf.coordination.forward import Forward
from filbertshelf.coordination.gather import Gather
from filbertshelf.coordination.listed_targets import UNKNOWN_FLEET, ListedTargets
from filbertshelf.coordination.membership import Membership
from filbertshelf.coordination.routed import Result, RoutedRequest, Tools
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.protocol.dialect import HeaderNames, Judge, refusal
from filbertshelf.protocol.heads import Response, find, find_all
from filbertshelf.state.members import Identity
from filbertshelf.state.routing import Limits, RouteTable, ShareSequence
from filbertshelf.transport.http1.server import HttpServer, Request
from filbertshelf.transport.log_pipe import LogPipe
from filbertshelf.transport.peers import Peers

STDOUT = 1

NOT_READY_RETRY_S = 0.3
"""When to come back to a fleet of which this instance knows no configuration."""

FLEET_GROWTH = 1.3
"""The part by which more instances may run than were ever seen."""

FLEET_KNOWN_S = 3.0
"""The time after the start in which the members are found."""

STOP_SERVE_S = 2.6
"""How long a stopping instance takes new connections; the platform notices within."""

STOP_MARGIN_S = 0.7
"""The part of the stop's grace that is left for the end of the process."""

DRAIN_CHECK_S = 0.05
MAX_DEADLINE_S = 600.0
DEFAULT_LIMITS = Limits()


class ReadyCheck:
    """Answers the platform's question whether callers may be sent here."""

    def __init__(self, gateway: Gateway):
        self._gateway = gateway

    def handle(self, req: Request) -> None:
        """Answer with 200 or 503."""
        req.reply(Response(200 if self._gateway.ready() else 503))

    def limits(self) -> Limits:
        """Return the limits for the platform's requests."""
        return DEFAULT_LIMITS

    def rejected(self, status: int, reason: str) -> None:
        """Take note of a malformed question."""
        events.emit(
            events.ROUTED_REFUSED,
            request_id="",
            status=status,
            reason=f"ready check: {reason}",
            version=0,
        )


class Gateway(mode.Service):
    """One instance that passes callers' requests on by route."""

    def __init__(
        self,
        cfg: GatewaySettings,
        names: HeaderNames,
        source: PlatformSource,
        decode: Decoder,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        super().__init__()
        self.cfg = cfg
        self.clock = clock or SystemClock()
        self._rng = rng or random.Random()
        instance = cfg.instance
        identity = Identity.start(instance.name, instance.data_centre, self.clock)
        self._identity = identity
        self._names = names
        self.peers = Peers(instance, identity, self.clock)
        self.membership = Membership(
            instance, identity, self.clock, self.peers, self._rng
        )
        self.targets = ListedTargets(cfg, self.clock, self._rng, self._call_later)
        self.feed = Feed(
            cfg,
            self.clock,
            self._rng,
            source,
            decode,
            self.peers,
            self.membership,
            FeedListener(self._on_table, self.targets.apply),
        )
        self.tools = Tools(
            self.clock, self._call_later, self.targets, names, Judge(names)
        )
        self.log_pipe = LogPipe(STDOUT, self._lines_dropped)
        self.server = HttpServer(cfg.listen, self, self.clock)
        self.ready_server = HttpServer(cfg.ready_listen, ReadyCheck(self), self.clock)
        self._shares: dict[str, ShareSequence] = {}
        self._stopping = False
        self._most_members = 1
        self._started_at = self.clock.monotonic()
        self._was_ready = False

    async def on_start(self) -> None:
        """Start the services; callers are accepted last."""
        for service in (
            self.log_pipe,
            self.peers,
            self.membership,
            self.feed,
            self.ready_server,
            self.server,
        ):
            await self.add_runtime_dependency(service)
        events.emit(
            events.STARTED,
            instance=self.cfg.instance.name,
            incarnation=self._identity.incarnation,
            address="{}:{}".format(*self.server.address),
            peer_address="{}:{}".format(*self.peers.address),
            data_centre=self.cfg.instance.data_centre,
        )

    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self.feed.ready and not self._stopping

    def limits(self) -> Limits:
        """Return what callers may send now."""
        table = self.feed.table
        return DEFAULT_LIMITS if table is None else table.limits

    def rejected(self, status: int, reason: str) -> None:
        """Take note of a request that the server refused."""
        self._log_refused(b"", status, reason)

    # Requests.

    def handle(self, req: Request) -> None:
        """Pass a request on, or refuse it at once."""
        table = self.feed.table
        request_id = find(req.fields, self._names.request_id.lower()) or b""
        if table is None or not self.feed.ready:
            self._refuse(req, request_id, 503, "no configuration is known")
            return
        hosts = find_all(req.fields, b"host")
        if len(hosts) != 1 or not request_id:
            self._refuse(req, request_id, 400, "the host or the request id is missing")
            return
        path = req.target.partition(b"?")[0].decode("latin-1")
        route = table.match(hosts[0].decode("latin-1"), path)
        if route is None:
            self._refuse(req, request_id, 404, "no route matches")
            return
        wait_s = self._wait_s(req)
        if wait_s is None:
            self._refuse(req, request_id, 400, "the deadline is not a number")
            return
        deadline = req.received_at + min(wait_s, route.timeout_s)
        job = RoutedRequest.make(req, request_id, route, table, deadline, self._names)
        self._start(job)

    def _wait_s(self, req: Request) -> float | None:
        """Return how many seconds the caller waits, None if it is malformed."""
        value = find(req.fields, self._names.deadline_ms.lower())
        if value is None:
            return MAX_DEADLINE_S
        if not value.isdigit():
            return None
        return min(MAX_DEADLINE_S, int(value) / 1000)

    def _start(self, job: RoutedRequest) -> None:
        def done(result: Result) -> None:
            self._answer(job, result)

        if job.route.gather is not None:
            run: Gather | Forward = Gather(self.tools, job, done)
        else:
            service = self._sequence(job).next(job.route.shares).service
            run = Forward(self.tools, job, service, done)

        def caller_left() -> None:
            elapsed = self.clock.monotonic() - job.req.received_at
            events.emit(
                events.CALLER_LEFT,
                request_id=job.id.decode("latin-1"),
                elapsed_ms=round(elapsed * 1000, 1),
            )
            run.caller_left()

        job.req.on_gone = caller_left
        run.start()

    def _sequence(self, job: RoutedRequest) -> ShareSequence:
        sequence = self._shares.get(job.route.name)
        if sequence is None:
            sequence = ShareSequence(self._rng.random())
            self._shares[job.route.name] = sequence
        return sequence

    def _answer(self, job: RoutedRequest, result: Result) -> None:
        job.req.on_gone = None
        elapsed = self.clock.monotonic() - job.req.received_at
        job.req.reply(result.response)
        events.emit(
            events.ROUTED_ANSWERED,
            request_id=job.id.decode("latin-1"),
            route=job.route.name,
            version=job.table.version,
            status=result.response.status,
            outcome=result.outcome,
            elapsed_ms=round(elapsed * 1000, 1),
            sub_requests=result.sub_requests,
            extra=result.extra,
            missing=list(result.missing),
            age_s=round(self.feed.age_s(), 2),
        )

    def _refuse(self, req: Request, request_id: bytes, status: int, why: str) -> None:
        wait = NOT_READY_RETRY_S if status == 503 else None
        req.reply(refusal(status, wait))
        self._log_refused(request_id, status, why)

    def _log_refused(self, request_id: bytes, status: int, why: str) -> None:
        table = self.feed.table
        events.emit(
            events.ROUTED_REFUSED,
            request_id=request_id.decode("latin-1"),
            status=status,
            reason=why,
            version=table.version if table else 0,
        )

    # Changes.

    def _on_table(self, table: RouteTable) -> None:
        self.targets.apply_table(table)

    def _call_later(self, seconds: float, func) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(seconds, func)

    def _lines_dropped(self, count: int) -> None:
        events.emit(events.LINES_DROPPED, count=count)

    @mode.Service.task
    async def _watch_fleet(self) -> None:
        """Keep the shares of limits in line with the size of the fleet."""
        while not self.should_stop:
            await self.clock.sleep(1.0)
            self._most_members = max(self._most_members, self.membership.size_seen())
            if self.clock.monotonic() - self._started_at < FLEET_KNOWN_S:
                self.targets.set_fleet(UNKNOWN_FLEET)
            else:
                self.targets.set_fleet(math.ceil(FLEET_GROWTH * self._most_members))
            self._note_ready()

    def _note_ready(self) -> None:
        ready = self.ready()
        if ready and not self._was_ready:
            version = self.feed.table.version if self.feed.table else 0
            events.emit(events.READY, reason=f"version {version}")
        self._was_ready = ready

    # Stopping.

    async def on_stop(self) -> None:
        """Be not ready at once, serve on, then finish what is in flight."""
        self._stopping = True
        self.server.stopping = True
        end = self.clock.monotonic() + self.cfg.stop_grace_s - STOP_MARGIN_S
        events.emit(events.STOPPING, in_flight=self.server.in_flight)
        await self.membership.leave()
        await self.clock.sleep(STOP_SERVE_S)
        self.server.stop_listening()
        while self.server.in_flight and self.clock.monotonic() < end:
            await self.clock.sleep(DRAIN_CHECK_S)
        events.emit(events.STOPPED, in_flight=self.server.in_flight)
        self.targets.close()
