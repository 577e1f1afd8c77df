"""Takes callers' requests, finds their routes and starts them."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import attrs

from filbertshelf import events
from filbertshelf.coordination.delegation import (
    HOP_RETURN_S,
    DelegatedGather,
    Delegation,
    NotTaken,
    max_targets_of_sender,
)
from filbertshelf.coordination.feed import Feed
from filbertshelf.coordination.forward import Forward
from filbertshelf.coordination.gather import Gather
from filbertshelf.coordination.routed_request import (
    RETURN_S,
    RoutedRequest,
    RoutedResult,
    RoutingContext,
)
from filbertshelf.gateway_metrics import GatewayMetrics
from filbertshelf.protocol.http_messages import find_field, find_field_values
from filbertshelf.protocol.target_responses import error_response
from filbertshelf.state.routing import Limits, RouteTable, WeightedServiceSequence
from filbertshelf.transport.http1.server import Request

NOT_READY_RETRY_S = 0.3
"""When to come back to a fleet of which this instance knows no configuration."""

CRASHING_RETRY_S = 60.0
"""When a request that crashes targets may come back."""

MAX_DEADLINE_S = 600.0
DEFAULT_LIMITS = Limits()


class Run(Protocol):
    """What carries a request to its end."""

    def start(self) -> None:
        """Begin."""

    def caller_left(self) -> None:
        """End what nobody waits for."""

    def resumed(self) -> None:
        """End the request if its time passed while the process did not run."""


@attrs.frozen
class _Refusal:
    """Why a request can't be served; it did not run."""

    status: int
    reason: str


class Router:
    """What the callers' server asks for answers."""

    def __init__(
        self,
        tools: RoutingContext,
        feed: Feed,
        delegation: Delegation,
        metrics: GatewayMetrics,
        rng: random.Random,
    ):
        self._tools = tools
        self._delegation = delegation
        delegation.serve = self.serve_delegated
        self._feed = feed
        self._metrics = metrics
        self._rng = rng
        self._shares: dict[str, WeightedServiceSequence] = {}
        self._running: dict[RoutedRequest, Run] = {}
        self.stopping = False

    def limits(self) -> Limits:
        """Return what callers may send now."""
        table = self._feed.table
        return DEFAULT_LIMITS if table is None else table.limits

    def record_rejection(self, status: int, reason: str) -> None:
        """Take note of a request that the server refused."""
        self._log_refused(b"", status, reason)

    def resumed(self) -> None:
        """End what passed its time while the process did not run."""
        for run in list(self._running.values()):
            run.resumed()

    def handle(self, req: Request) -> None:
        """Pass a request on, or refuse it at once."""
        names = self._tools.names
        request_id = find_field(req.fields, names.request_id.lower()) or b""
        table = self._feed.table
        if table is None or not self._feed.ready:
            self._refuse(
                req, request_id, 503, "no configuration is known", NOT_READY_RETRY_S
            )
            return
        job = self._job(req, request_id, table)
        if isinstance(job, _Refusal):
            self._refuse(req, request_id, job.status, job.reason)
        elif self._crashes_targets(job):
            why = "the request crashed the targets that ran it"
            self._refuse(req, request_id, 503, why, CRASHING_RETRY_S)
        else:
            self._start(job, self._run_for(job))

    def _job(
        self, req: Request, request_id: bytes, table: RouteTable
    ) -> RoutedRequest | _Refusal:
        """Return the request with its route, or why it can't be served."""
        hosts = find_field_values(req.fields, b"host")
        wait_s = self._wait_s(req)
        if len(hosts) != 1 or not request_id or wait_s is None:
            return _Refusal(400, "the host, the id or the deadline is malformed")
        path = req.target.partition(b"?")[0].decode("latin-1")
        route = table.match(hosts[0].decode("latin-1"), path)
        if route is None:
            return _Refusal(404, "no route matches")
        deadline = req.received_at + min(wait_s, route.timeout_s)
        return RoutedRequest.make(req, request_id, route, table, deadline, self._tools)

    def _wait_s(self, req: Request) -> float | None:
        """Return how many seconds the caller waits, None if it is malformed."""
        value = find_field(req.fields, self._tools.names.deadline_ms.lower())
        if value is None:
            return MAX_DEADLINE_S
        if not value.isdigit():
            return None
        return min(MAX_DEADLINE_S, int(value) / 1000)

    def _crashes_targets(self, job: RoutedRequest) -> bool:
        crashes = self._tools.crashes
        return crashes.has_records() and crashes.is_quarantined(
            job.fingerprint(crashes)
        )

    def serve_delegated(
        self, req: Request, version: int, done: Callable[[RoutedResult], None]
    ) -> RoutedRequest | NotTaken:
        """Run a query for another instance, with what it leaves to this one."""
        table = self._feed.table
        if table is None or table.version < version:
            return NotTaken("the configuration is older than the query's")
        if self.stopping:
            return NotTaken("the instance is stopping")
        request_id = find_field(req.fields, self._tools.names.request_id.lower()) or b""
        job = self._job(req, request_id, table)
        if isinstance(job, _Refusal) or job.route.gather is None:
            return NotTaken("the configuration has no such query")
        job.held_back = max_targets_of_sender(job.route)
        job.return_s = RETURN_S + HOP_RETURN_S

        def log_and_tell(ending: RoutedResult) -> None:
            self._log_ending(job, ending)
            done(ending)

        self._start(job, Gather(self._tools, job, self._ended(job, log_and_tell)))
        return job

    def _ended(
        self, job: RoutedRequest, done: Callable[[RoutedResult], None]
    ) -> Callable[[RoutedResult], None]:
        """Return what to call at the end of a run; it forgets the run first."""

        def ended(ending: RoutedResult) -> None:
            self._running.pop(job, None)
            job.req.on_disconnect = None
            done(ending)

        return ended

    def _run_for(self, job: RoutedRequest) -> Run:
        """Return what runs a caller's request."""

        def answer(ending: RoutedResult) -> None:
            job.req.reply(ending.response)
            self._log_ending(job, ending)

        done = self._ended(job, answer)
        if job.route.gather is None:
            service = (
                self._sequence(job).next_service(job.route.weighted_services).service
            )
            return Forward(self._tools, job, service, done)
        member = self._delegation.choose(job)
        if member is not None:
            return DelegatedGather(self._tools, job, done, self._delegation, member)
        return Gather(self._tools, job, done)

    def _start(self, job: RoutedRequest, run: Run) -> None:
        def caller_left() -> None:
            self._running.pop(job, None)
            self._log_left(job)
            run.caller_left()

        self._running[job] = run
        job.req.on_disconnect = caller_left
        run.start()

    def _sequence(self, job: RoutedRequest) -> WeightedServiceSequence:
        sequence = self._shares.get(job.route.name)
        if sequence is None:
            sequence = WeightedServiceSequence(self._rng.random())
            self._shares[job.route.name] = sequence
        return sequence

    def _log_ending(self, job: RoutedRequest, ending: RoutedResult) -> None:
        crashes = self._tools.crashes
        if ending.answered and crashes.has_records():
            crashes.clear(job.fingerprint(crashes))
        elapsed = self._tools.clock.monotonic() - job.req.received_at
        self._count(job, ending, elapsed)
        events.emit(
            events.ROUTED_REQUEST_ENDED,
            request_id=job.text_id,
            route=job.route.name,
            version=job.table.version,
            status=ending.response.status,
            outcome=ending.outcome,
            elapsed_ms=round(elapsed * 1000, 1),
            sub_requests=ending.sub_requests,
            extra=ending.extra,
            missing=list(ending.missing),
            slowest=ending.slowest,
            age_s=round(self._feed.age_s(), 2),
            left_out=job.lines.left_out,
        )

    def _count(self, job: RoutedRequest, ending: RoutedResult, elapsed: float) -> None:
        metrics = self._metrics
        metrics.requests.labels(job.route.name, ending.outcome).inc()
        metrics.request_seconds.labels(job.route.name).observe(elapsed)
        metrics.sub_requests.inc(ending.sub_requests)
        metrics.extra_sub_requests.inc(ending.extra)
        metrics.missing_shards.inc(len(ending.missing))
        metrics.dropped_log_lines.inc(job.lines.left_out)

    def _log_left(self, job: RoutedRequest) -> None:
        self._metrics.callers_left.inc()
        elapsed = self._tools.clock.monotonic() - job.req.received_at
        events.emit(
            events.CALLER_LEFT,
            request_id=job.text_id,
            elapsed_ms=round(elapsed * 1000, 1),
        )

    def _refuse(
        self,
        req: Request,
        request_id: bytes,
        status: int,
        why: str,
        retry_after_s: float | None = None,
    ) -> None:
        req.reply(error_response(status, retry_after_s))
        self._log_refused(request_id, status, why)

    def _log_refused(self, request_id: bytes, status: int, why: str) -> None:
        table = self._feed.table
        self._metrics.refused_requests.labels(str(status)).inc()
        if not self._tools.lines.allows(self._tools.clock.monotonic()):
            self._metrics.dropped_log_lines.inc()
            return
        events.emit(
            events.ROUTED_REQUEST_REFUSED,
            request_id=request_id.decode("latin-1"),
            status=status,
            reason=why,
            version=table.version if table else 0,
        )
