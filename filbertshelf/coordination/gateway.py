"""A gateway, an instance that serves routes by host and path."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable
from typing import Protocol

import attrs
import mode

from filbertshelf import __version__, events
from filbertshelf.addresses import Address
from filbertshelf.clock import Clock, SystemClock
from filbertshelf.coordination.delegation import Delegation
from filbertshelf.coordination.feed import Feed, FeedListener, PlatformSource
from filbertshelf.coordination.feed_config import Decoder
from filbertshelf.coordination.fleet_notices import FleetNotices
from filbertshelf.coordination.listed_targets import ListedTargets
from filbertshelf.coordination.membership import Membership
from filbertshelf.coordination.notices import Notices
from filbertshelf.coordination.routed_request import RoutingContext, Timer
from filbertshelf.coordination.router import DEFAULT_LIMITS, Router
from filbertshelf.errors import SettingsError
from filbertshelf.gateway_metrics import GatewayMetrics, MetricsHandler
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.protocol.http_messages import Response
from filbertshelf.protocol.target_responses import HeaderNames, ResponseClassifier
from filbertshelf.settings import settings_digest
from filbertshelf.state.crashes import CrashCounter
from filbertshelf.state.delegation import Delegates
from filbertshelf.state.fleet_role import FleetRole
from filbertshelf.state.fleet_size import FleetEstimate, FleetSizeEstimator
from filbertshelf.state.log_limit import LogRateLimit
from filbertshelf.state.members import Identity
from filbertshelf.state.pause import PauseMonitor
from filbertshelf.state.routing import Limits
from filbertshelf.state.withholding import Cause
from filbertshelf.supervision import contain_errors
from filbertshelf.transport.http1.caller_budget import CallerBounds, CallerBudget
from filbertshelf.transport.http1.pool import ConnectionPool
from filbertshelf.transport.http1.server import App, HttpServer, Request
from filbertshelf.transport.http1.untaken_requests import UntakenRequests, total_limit
from filbertshelf.transport.log_pipe import LogPipe
from filbertshelf.transport.peers import Peers

STDOUT = 1

FLEET_CHECK_INTERVAL_S = 1.0
"""Interval at which the members are counted."""

PAUSE_THRESHOLD_S = 1.0
"""After a pause of this length the configuration and targets count as out of date."""

PAUSE_CHECK_INTERVAL_S = 0.2

SETTINGS_CHECK_INTERVAL_S = 2.0
"""Interval of the checks for changed settings, as they may change without a signal."""

STOP_MARGIN_S = 0.7
"""Seconds of the stop grace period that are left for the exit of the process."""

DRAIN_CHECK_INTERVAL_S = 0.05

MAX_BOUND_LINES_PER_S = 10
"""Log lines of connections that are closed for a bound."""

MAX_OPERATOR_CONNECTIONS = 64
"""Connections for readiness checks, and as many for metrics."""


class SettingsSource(Protocol):
    """The source of the settings."""

    def load(self) -> GatewaySettings:
        """Return the settings; raises `SettingsError`."""

    def changed(self) -> bool:
        """Return whether the settings were written since the last `load`."""


class ReadyCheck:
    """Handles the platform's readiness checks."""

    def __init__(self, ready: Callable[[], bool]):
        self._ready = ready

    def handle(self, req: Request) -> None:
        """Answer with 200 or 503."""
        req.reply(Response(200 if self._ready() else 503))

    def limits(self) -> Limits:
        """Return the limits for the platform's requests."""
        return DEFAULT_LIMITS

    def record_rejection(self, status: int, reason: str) -> None:
        """Log a malformed readiness check."""
        events.emit(
            events.ROUTED_REQUEST_REFUSED,
            request_id="",
            status=status,
            reason=f"ready check: {reason}",
            version=0,
        )


class Gateway(mode.Service):
    """Assembles the services of a gateway, reloads its settings and stops it."""

    def __init__(
        self,
        settings: SettingsSource,
        header_names: HeaderNames,
        make_source: Callable[[GatewaySettings, Clock], PlatformSource],
        decode: Decoder,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        """Read the settings; raises `SettingsError` if that fails."""
        super().__init__()
        self.cfg = settings.load()
        self.clock = clock or SystemClock()
        self._settings = settings
        self._rng = rng or random.Random()
        cfg = self.cfg
        instance = cfg.instance
        identity = Identity.start(instance.name, instance.data_centre, self.clock)
        self._identity = identity
        self.metrics = GatewayMetrics()
        self._bound_log_limit = LogRateLimit(MAX_BOUND_LINES_PER_S)
        self.budget = CallerBudget(_caller_bounds(cfg), self._on_closed_for_bound)
        self._untaken = UntakenRequests(cfg.memory_bytes, self._on_closed_for_bound)
        self.peers = Peers(instance, identity, self.clock)
        self.membership = Membership(
            instance, identity, self.clock, self.peers, self._rng
        )
        self.notices = Notices(self.peers, self.membership)
        self.crashes = CrashCounter(self.clock)
        self.fleet_notices = FleetNotices(
            instance.name, self.notices, self.crashes, self.metrics
        )
        self.targets = ListedTargets(
            cfg,
            self.clock,
            self._rng,
            _call_later,
            functools.partial(ConnectionPool, untaken=self._untaken),
            on_limit_ended=self.fleet_notices.announce_limit_end,
            on_leaving=self.fleet_notices.announce_leaving,
        )
        self.context = RoutingContext(
            self.clock,
            _call_later,
            self.targets,
            header_names,
            ResponseClassifier(header_names),
            self.crashes,
            self.fleet_notices.announce_crash,
        )
        self.feed = Feed(
            cfg,
            self.clock,
            self._rng,
            make_source(cfg, self.clock),
            decode,
            self.peers,
            self.membership,
            FeedListener(
                self.targets.apply_table,
                self.targets.apply,
                self.targets.set_evacuated,
            ),
        )
        self.delegation = Delegation(self.context, self.peers, self._rng)
        self.delegation.own_id = instance.name
        self.delegation.data_centre = instance.data_centre
        self.delegation.regions = cfg.regions
        self.delegation.members = self.membership.members
        self.delegation.own_cost_us = cfg.shard_cost_us
        self.membership.table.set_shard_cost(cfg.shard_cost_us)
        self.router = Router(
            self.context, self.feed, self.delegation, self.metrics, self._rng
        )
        self.log_pipe = LogPipe(STDOUT, self._on_lines_dropped)
        self.server = HttpServer(cfg.listen, self.router, self.clock, self.budget)
        self.ready_server = self._operator_server(
            cfg.ready_listen, ReadyCheck(self.ready)
        )
        self.metrics_server: HttpServer | None = None
        self._pause_monitor = PauseMonitor(self.clock, PAUSE_THRESHOLD_S)
        self._stopping = False
        self._fleet_size = FleetSizeEstimator(self.clock.monotonic())
        self._was_ready = False
        self.fleet_notices.subscribe(self.targets.statements)
        self._add_gauges()

    def _operator_server(self, address: Address, app: App) -> HttpServer:
        return HttpServer(
            address, app, self.clock, self.budget, MAX_OPERATOR_CONNECTIONS
        )

    def _add_gauges(self) -> None:
        gauge = self.metrics.add_gauge
        gauge(
            "feed_age_seconds",
            "Seconds since the platform last confirmed what is known.",
            lambda: min(self.feed.age_s(), 1e9),
        )
        gauge(
            "config_version",
            "The version of the configuration in force, 0 if none is.",
            lambda: self.feed.table.version if self.feed.table else 0,
        )
        gauge("members", "Instances that are believed alive.", self._member_count)
        gauge("targets", "Listed targets.", lambda: len(self.targets.states()))
        gauge(
            "rate_limited_targets",
            "Listed targets that name a rate limit.",
            self.targets.rate_limited_count,
        )
        gauge(
            "evacuated_data_centres",
            "Data centres whose targets get no requests by order of the operator.",
            lambda: len(self.feed.evacuations.data_centres),
        )
        gauge(
            "cold_targets",
            "Listed targets that are cold.",
            self.targets.cold.count,
        )
        for cause in Cause:
            gauge(
                f"{cause.value}_targets",
                f"Listed targets that get no new requests: {cause.value}.",
                functools.partial(self.targets.withheld_count, cause),
            )
        gauge(
            "cut_off_from_targets",
            "Whether this instance reaches no target: 1 if so, else 0.",
            lambda: int(self.targets.reachability.cut_off),
        )
        gauge(
            "requests_in_flight",
            "Requests that wait for their answer.",
            lambda: self.server.in_flight,
        )
        gauge(
            "caller_connections",
            "Open connections of callers.",
            lambda: len(self.server.connections),
        )
        gauge(
            "caller_bytes",
            "Bytes held for callers: heads, bodies, queued requests, unread answers.",
            lambda: self.budget.total,
        )
        gauge(
            "untaken_bytes",
            "Bytes of requests that targets have not taken.",
            lambda: self._untaken.total,
        )

    def _preview_route(self, query: bytes) -> Response | None:
        """Return where a request would go now, None if the query names no request."""
        # Most gateways are never asked, so this is not imported at the start.
        from filbertshelf.coordination import route_preview

        sources = route_preview.Sources(
            self.context, self.feed, self.delegation, self.router.room
        )
        return route_preview.answer(sources, query)

    def _member_count(self) -> int:
        return self.membership.member_count()

    async def on_start(self) -> None:
        """Start the services; callers are accepted last."""
        services: list[mode.Service] = [
            self.log_pipe,
            self.peers,
            self.membership,
            self.notices,
            self.delegation,
            self.feed,
            self.ready_server,
            self.server,
        ]
        if self.cfg.metrics_listen is not None:
            page = MetricsHandler(self.metrics, self._preview_route)
            self.metrics_server = self._operator_server(self.cfg.metrics_listen, page)
            services.append(self.metrics_server)
        for service in services:
            await self.add_runtime_dependency(service)
        events.emit(
            events.INSTANCE_STARTED,
            instance=self.cfg.instance.name,
            incarnation=self._identity.incarnation,
            address="{}:{}".format(*self.server.address),
            peer_address="{}:{}".format(*self.peers.address),
            data_centre=self.cfg.instance.data_centre,
            version=__version__,
            settings=settings_digest(self.cfg),
        )

    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        return self.feed.ready and not self._stopping

    def _on_lines_dropped(self, count: int) -> None:
        self.metrics.dropped_log_lines.inc(count)
        events.emit(events.LOG_LINES_DROPPED, count=count)

    def _on_closed_for_bound(self, bound: str, count: int, peer: str) -> None:
        self.metrics.closed_for_bound.labels(bound).inc()
        if not self._bound_log_limit.allows(self.clock.monotonic()):
            self.metrics.dropped_log_lines.inc()
            return
        events.emit(
            events.CONNECTION_CLOSED_FOR_BOUND, bound=bound, bytes=count, peer=peer
        )

    # Periodic checks and reload.

    @mode.Service.task
    async def _watch_fleet(self) -> None:
        """Adjust the shares of limits to the size of the fleet."""
        while not self.should_stop:
            await self.clock.sleep(FLEET_CHECK_INTERVAL_S)
            await self._check_fleet()

    @contain_errors
    async def _check_fleet(self) -> None:
        now = self.clock.monotonic()
        estimate = self._fleet_size.update(self.membership.member_count(), now)
        if estimate is not None:
            self._apply_fleet(estimate)
        self._log_readiness()

    def _apply_fleet(self, fleet: FleetEstimate) -> None:
        """Choose the instances that run queries over many shards; divide the limits."""
        table = self.feed.table
        full_mesh = table is None or self.targets.full_mesh_fits(table, fleet.size)
        near_shards = (
            frozenset() if full_mesh else self.targets.data_centres_near_shards(table)
        )
        delegates = Delegates.choose(
            self.membership.members(), self.membership.own, near_shards
        )
        current = self.delegation.delegates
        if (delegates, full_mesh) != (current, self.delegation.full_mesh):
            events.emit(
                events.DELEGATES_CHANGED,
                local=[member.id for member in delegates.local],
                total=delegates.total,
                own=delegates.includes_self,
                mesh=full_mesh,
            )
        self.delegation.delegates = delegates
        self.delegation.full_mesh = full_mesh
        self.targets.set_role(FleetRole.choose(fleet, delegates, full_mesh))
        own_id = self.cfg.instance.name
        self.targets.set_rank(
            sum(member.id < own_id for member in self.membership.members())
        )
        if fleet.known:
            self.delegation.keep_connected()

    def _log_readiness(self) -> None:
        ready = self.ready()
        if ready and not self._was_ready:
            version = self.feed.table.version if self.feed.table else 0
            events.emit(events.INSTANCE_READY, reason=f"version {version}")
        self._was_ready = ready

    @mode.Service.task
    async def _watch_pauses(self) -> None:
        while not self.should_stop:
            await self.clock.sleep(PAUSE_CHECK_INTERVAL_S)
            await self._check_pause()

    @contain_errors
    async def _check_pause(self) -> None:
        paused = self._pause_monitor.pending_pause_s()
        if paused:
            events.emit(events.PAUSE_DETECTED, paused_s=round(paused, 3))
            self._pause_monitor.acknowledge()
            self.feed.refresh()
            self.router.on_resume()
        self._pause_monitor.tick()

    @mode.Service.task
    async def _watch_settings(self) -> None:
        while not self.should_stop:
            await self.clock.sleep(SETTINGS_CHECK_INTERVAL_S)
            await self._check_settings()

    @contain_errors
    async def _check_settings(self) -> None:
        if self._settings.changed():
            self.reload()

    def reload(self) -> None:
        """Read the settings again and apply what can change without a restart."""
        try:
            cfg = self._settings.load()
        except SettingsError as exc:
            events.emit(events.SETTINGS_REFUSED, reason=str(exc))
            return
        old, self.cfg = self.cfg, cfg
        self.budget.set_bounds(_caller_bounds(cfg))
        self._untaken.set_limit(total_limit(cfg.memory_bytes))
        self.targets.set_retries(cfg.retries)
        self.targets.set_regions(cfg.regions)
        self.delegation.regions = cfg.regions
        self.targets.set_cold_bound(cfg.cold)
        self.feed.set_seeds(cfg.instance.peers)
        changed = _changed_fields(old, cfg)
        need_restart = [name for name in changed if name.endswith("listen")]
        events.emit(
            events.SETTINGS_RELOADED, changed=changed, need_restart=need_restart
        )

    # Shutdown.

    async def on_stop(self) -> None:
        """Report not ready, keep serving a while, then finish requests in flight."""
        self._stopping = True
        self.router.stopping = True
        self.server.stopping = True
        deadline = self.clock.monotonic() + self.cfg.stop_grace_s - STOP_MARGIN_S
        events.emit(events.INSTANCE_STOPPING, in_flight=self.server.in_flight)
        await self.membership.leave()
        await self.clock.sleep(self.cfg.stop_serve_s)
        self.server.stop_listening()
        while self._has_unfinished_requests and self.clock.monotonic() < deadline:
            await self.clock.sleep(DRAIN_CHECK_INTERVAL_S)
        events.emit(events.INSTANCE_STOPPED, in_flight=self.server.in_flight)
        # What can't be finished any more is answered before its connection is closed.
        self.router.close()
        self.targets.close()

    @property
    def _has_unfinished_requests(self) -> bool:
        """Return whether requests of callers or of other instances have not ended."""
        return bool(self.server.in_flight) or self.router.has_runs


def _call_later(seconds: float, func: Callable[[], None]) -> Timer:
    return asyncio.get_running_loop().call_later(seconds, func)


def _caller_bounds(cfg: GatewaySettings) -> CallerBounds:
    return CallerBounds(cfg.memory_bytes, cfg.max_descriptors)


def _changed_fields(old: GatewaySettings, new: GatewaySettings) -> list[str]:
    field_names = [field.name for field in attrs.fields(GatewaySettings)]
    return [name for name in field_names if getattr(old, name) != getattr(new, name)]
