"""An instance: assembles its services, detects pauses and stops gracefully."""

from __future__ import annotations

import random
from collections.abc import Mapping

import mode

from filbertshelf import __version__, events
from filbertshelf.clock import Clock, SystemClock
from filbertshelf.coordination.booking_runner import BookingPlanner, BookingRunner
from filbertshelf.coordination.bookings import Bookings
from filbertshelf.coordination.configuration import Configuration
from filbertshelf.coordination.membership import Membership
from filbertshelf.coordination.notices import Notices
from filbertshelf.coordination.queries import Queries
from filbertshelf.coordination.rate_limiter import RateLimiter
from filbertshelf.coordination.targets import DrainSource, Targets
from filbertshelf.errors import NotReadyError, TicketRequiredError
from filbertshelf.logs import LogDestination
from filbertshelf.metrics import make_metrics
from filbertshelf.protocol.bookings import BookingRequest
from filbertshelf.protocol.caller import CallerRequest
from filbertshelf.protocol.notices import Notice, Topic
from filbertshelf.protocol.platform import CONFIG, INSTANCES, RowKind, RowState
from filbertshelf.settings import Settings, settings_digest
from filbertshelf.state.final_table import FinalTableStore
from filbertshelf.state.members import Identity
from filbertshelf.state.outcome import Answer
from filbertshelf.state.pause import PauseMonitor
from filbertshelf.state.quarantine import Quarantine
from filbertshelf.state.ticket_table import TicketTable
from filbertshelf.transport.caller_server import CallerServer
from filbertshelf.transport.peers import Peers
from filbertshelf.transport.platform import PlatformClient

TICKS_PER_PAUSE_THRESHOLD = 8
DRAIN_NOTICE_S = 60.0
BOOKING_DEADLINE_MS = 10_000
HANDOFF_SHARE = 0.5  # Share of the drain timeout for bookings that are still running.


class Instance(mode.Service):
    """Runs all services; the instance is ready once its configuration is confirmed."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        super().__init__()
        self.cfg = cfg
        self.clock = clock or SystemClock()
        self._rng = rng or random.Random()
        self._metrics = make_metrics(cfg)
        self._pause_monitor = PauseMonitor(self.clock, cfg.pause_threshold)
        self._platform_client = PlatformClient(cfg.platform)
        identity = Identity.start(cfg.name, cfg.data_centre, self.clock)
        self.log_destination = LogDestination(cfg)
        self.peers = Peers(cfg, identity, self.clock)
        self.membership = Membership(cfg, identity, self.clock, self.peers, self._rng)
        self.configuration = Configuration(
            cfg,
            self.clock,
            self._platform_client,
            self.peers,
            self.membership,
            self._rng,
        )
        self.notices = Notices(self.peers, self.membership)
        self.quarantine = Quarantine(
            self.clock, cfg.fleet_key.encode(), self._announce_reservation
        )
        self.targets = Targets(
            cfg,
            self.clock,
            self._rng,
            self._metrics,
            self._announce_drain,
            self._on_target_died,
            lambda: bool(self._pause_monitor.pending_pause_s()),
        )
        self.rate_limiter = RateLimiter(self.clock, self.peers, self.membership)
        self.queries = Queries(
            cfg,
            self.clock,
            self._metrics,
            self.configuration,
            self.targets,
            self.quarantine,
            self.rate_limiter,
            self.check_confirmed,
        )
        self.caller_server = CallerServer(cfg, self, self._metrics)
        self.bookings: Bookings | None = None
        self._identity = identity
        self._was_ready = False
        self.notices.subscribe(Topic.TARGET_DRAINING, self._on_drain_notice)
        self.notices.subscribe(Topic.QUERY_CONVICTED, self._on_quarantine_notice)
        self.notices.subscribe(Topic.TARGET_RESERVED, self._on_reservation_notice)
        self.configuration.subscribe(self._on_document)

    def bound_addresses(self) -> Mapping[str, object]:
        """Return the instance's name and the addresses that it listens on."""
        return {
            "name": self.cfg.name,
            "address": "{}:{}".format(*self.caller_server.address),
            "peer_address": "{}:{}".format(*self.peers.address),
        }

    async def on_start(self) -> None:
        """Start the services; the caller server, which accepts requests, is last."""
        await self.add_runtime_dependency(self.log_destination)
        await self.add_runtime_dependency(self.peers)
        self.bookings = self._make_bookings()
        for service in (
            self.membership,
            self.notices,
            self.targets,
            self.configuration,
            self.caller_server,
        ):
            await self.add_runtime_dependency(service)
        events.emit(
            events.INSTANCE_STARTED,
            instance=self.cfg.name,
            incarnation=self._identity.incarnation,
            address="{}:{}".format(*self.caller_server.address),
            peer_address="{}:{}".format(*self.peers.address),
            data_centre=self.cfg.data_centre,
            version=__version__,
            settings=settings_digest(self.cfg),
        )

    def _make_bookings(self) -> Bookings:
        # The table needs the peer address, which is known once the peer server listens.
        table = TicketTable(self.cfg, self.clock, self._identity, self.peers.address)
        planner = BookingPlanner(self.queries)
        return Bookings(
            self.cfg,
            self.clock,
            table,
            FinalTableStore(self.clock),
            self.peers,
            self.membership,
            planner,
            BookingRunner(planner, self.targets),
            self._pause_monitor,
        )

    async def on_stop(self) -> None:
        """Leave the membership, hand off the bookings and drain the caller server."""
        timeout = self.cfg.drain_timeout
        events.emit(events.INSTANCE_STOPPING, in_flight=self.caller_server.in_flight)
        await self.membership.leave()
        if self.bookings is not None:
            await self.bookings.leave(timeout * HANDOFF_SHARE)
        unfinished = await self.caller_server.drain(timeout)
        events.emit(events.INSTANCE_STOPPED, in_flight=unfinished)
        # What can't be finished any more is answered before its connection is closed.
        await self.queries.admission.close()
        await self.caller_server.end_requests()

    async def on_shutdown(self) -> None:
        """Close the connections to the platform."""
        await self._platform_client.close()

    # Methods called by the caller server.

    async def query(self, request_id: str, req: CallerRequest) -> Answer:
        """Return the answer to a query; raises `UserError` if it is refused."""
        return await self.queries.answer(request_id, req)

    async def book(self, request_id: str, req: CallerRequest) -> Answer:
        """Return the outcome of a booking; raises `UserError` if it is refused."""
        if not req.ticket:
            raise TicketRequiredError(
                "the booking has no ticket",
                "get one with POST /v1/tickets and send it in the field 'ticket'",
            )
        request = BookingRequest(
            request_id,
            req.caller,
            {**req.labels, "urgency": str(req.urgency)},
            req.labels.get("service", ""),
            req.labels.get("shard", ""),
            dict(req.body),
        )
        deadline_ms = req.deadline_ms or BOOKING_DEADLINE_MS
        deadline = self.clock.monotonic() + deadline_ms / 1000
        return await self.bookings.submit(req.ticket, request, deadline)

    def mint_ticket(self) -> str:
        """Return a new ticket; raises `UserError` if none can be minted."""
        self.check_confirmed()
        return self.bookings.mint_ticket()

    def ready(self) -> bool:
        """Return whether the instance accepts requests."""
        return self.configuration.ready and not self._pause_monitor.pending_pause_s()

    def status(self) -> dict:
        """Return the status of the instance for operators."""
        version = self.configuration.version
        return {
            "instance": self.cfg.name,
            "ready": self.ready(),
            "configuration": {"revision": version.revision, "digest": str(version)},
            "watches_platform": self.configuration.watching,
            "members": {
                member.id: member.status.name.lower()
                for member in self.membership.members()
            },
            "queries": {
                "running": self.queries.admission.running,
                "waiting": self.queries.admission.waiting,
            },
            "targets": {
                name: {
                    "in_flight": state.in_flight,
                    "draining": state.draining,
                    "breaker": state.breaker.value,
                    "latency_ms": round(state.latency_s * 1000, 2),
                }
                for name, state in self.targets.states().items()
            },
        }

    # Pauses.

    def check_confirmed(self) -> None:
        """Raise `NotReadyError` unless the configuration is confirmed.

        After a pause, the configuration must be confirmed again.
        """
        if self._pause_monitor.pending_pause_s() or not self.configuration.ready:
            raise NotReadyError(
                "this instance has no confirmed configuration",
                "send the request to another instance or wait a few seconds",
            )

    @mode.Service.task
    async def _watch_pauses(self) -> None:
        period = self.cfg.pause_threshold / TICKS_PER_PAUSE_THRESHOLD
        while not self.should_stop:
            await self.clock.sleep(period)
            self._handle_pause()
            self._log_ready()

    def _handle_pause(self) -> None:
        paused = self._pause_monitor.pending_pause_s()
        if not paused:
            self._pause_monitor.tick()
            return
        events.emit(events.PAUSE_DETECTED, paused_s=round(paused, 3))
        # The configuration must stop being ready before the pause is acknowledged.
        self.configuration.require_confirmation()
        self.membership.raise_incarnation()
        self._pause_monitor.acknowledge()

    def _log_ready(self) -> None:
        ready = self.configuration.ready
        if ready and not self._was_ready:
            events.emit(
                events.INSTANCE_READY, reason=f"version {self.configuration.version}"
            )
        self._was_ready = ready

    # Documents and notices.

    def _on_document(self, document: str) -> None:
        publication = self.configuration.publication
        if document == CONFIG and publication is not None:
            self.targets.enqueue_publication(publication)
            self.rate_limiter.apply_publication(publication)
        elif document == INSTANCES:
            leaving = {
                name
                for name, row in self.configuration.instances().items()
                if row.kind is RowKind.TARGET and row.state is RowState.LEAVING
            }
            self.targets.set_leaving(leaving)

    def _announce_drain(self, target: str) -> None:
        self.notices.broadcast(Topic.TARGET_DRAINING, target, DRAIN_NOTICE_S)

    def _on_drain_notice(self, notice: Notice) -> None:
        self.targets.drain(notice.subject, DrainSource.NOTICE)

    def _announce_reservation(self, target: str, seconds: float) -> None:
        events.emit(events.TARGET_RESERVED, target=target, seconds=seconds)
        self.notices.broadcast(Topic.TARGET_RESERVED, target, seconds)

    def _on_reservation_notice(self, notice: Notice) -> None:
        other_has_priority = notice.origin < self.cfg.name
        self.quarantine.reserved_elsewhere(
            notice.subject, notice.seconds, other_has_priority
        )

    def _on_target_died(self, target: str) -> None:
        for entry in self.quarantine.target_died(target):
            self._log_quarantine(entry.fingerprint, target, entry.seconds)
            self.notices.broadcast(
                Topic.QUERY_CONVICTED, entry.fingerprint, entry.seconds
            )

    def _on_quarantine_notice(self, notice: Notice) -> None:
        self.quarantine.quarantine(notice.subject, notice.seconds)
        self._log_quarantine(notice.subject, "notice of a peer", notice.seconds)

    def _log_quarantine(self, fingerprint: str, source: str, seconds: float) -> None:
        events.emit(
            events.QUERY_QUARANTINED,
            fingerprint=fingerprint,
            source=source,
            seconds=seconds,
        )
