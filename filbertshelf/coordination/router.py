"""Matches callers' requests to routes and starts them."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from filbertshelf import events
from filbertshelf.coordination.delegation import (
    CUT_OFF_REASON,
    HOP_RETURN_MARGIN_S,
    Delegation,
    DelegationRefusal,
    max_targets_of_sender,
    targets_left,
)
from filbertshelf.coordination.feed import Feed
from filbertshelf.coordination.forward import Forward
from filbertshelf.coordination.gather import Gather
from filbertshelf.coordination.request_run import LocalRunner, RequestRun
from filbertshelf.coordination.room import RoomControl
from filbertshelf.coordination.routed_request import (
    RETURN_MARGIN_S,
    RoutedRequest,
    RoutedResult,
    RoutingContext,
)
from filbertshelf.gateway_metrics import GatewayMetrics
from filbertshelf.protocol.delegation import DelegationRequest
from filbertshelf.protocol.http_messages import find_field, find_field_values
from filbertshelf.protocol.target_responses import error_response
from filbertshelf.state.routing import Limits, RouteTable, WeightedServiceSequence
from filbertshelf.transport.http1.server import Request

NOT_READY_RETRY_S = 0.3
"""Retry-After seconds while this instance has no configuration."""

STOPPED_RETRY_S = 0.1
"""Retry-After seconds of an instance that has stopped; other instances are ready."""

CRASHING_RETRY_S = 60.0
"""Retry-After seconds for a request that crashes its targets."""

MAX_DEADLINE_S = 600.0
MAX_DEADLINE_DIGITS = 12
"""Digits of a deadline in milliseconds; a longer one is `MAX_DEADLINE_S`."""
DEFAULT_LIMITS = Limits()


@attrs.frozen
class _Refusal:
    """Why a request can't be served; it did not run."""

    status: int
    reason: str


class Router:
    """Handles the requests of the callers' HTTP server."""

    def __init__(
        self,
        context: RoutingContext,
        feed: Feed,
        delegation: Delegation,
        metrics: GatewayMetrics,
        rng: random.Random,
    ):
        self._context = context
        self._delegation = delegation
        delegation.serve_request = self.serve_delegated
        context.targets.reachability.on_change.append(self._on_link_change)
        self._feed = feed
        self._metrics = metrics
        self._rng = rng
        self._service_sequences: dict[str, WeightedServiceSequence] = {}
        self._runs: dict[RoutedRequest, RequestRun] = {}
        self.room = RoomControl(
            context.clock,
            context.call_later,
            context.targets,
            metrics,
            rng,
            self._choose_service,
        )
        self.stopping = False
        self._closed = False

    @property
    def has_runs(self) -> bool:
        """Return whether requests run that have not ended."""
        return bool(self._runs)

    def limits(self) -> Limits:
        """Return the current limits for the requests of callers."""
        table = self._feed.table
        return DEFAULT_LIMITS if table is None else table.limits

    def record_rejection(self, status: int, reason: str) -> None:
        """Count and log a request that the HTTP server rejected."""
        self._log_refused(b"", status, reason)

    def on_resume(self) -> None:
        """End all requests whose deadline passed while the process was paused."""
        for run in list(self._runs.values()):
            run.on_resume()

    def _on_link_change(self) -> None:
        """Move requests to other instances if this one reaches no target any more."""
        if self._context.targets.reachability.cut_off:
            for run in list(self._runs.values()):
                run.on_cut_off()

    def close(self) -> None:
        """End all requests that still run, and refuse those that come later at once."""
        self._closed = True
        self.room.stopped = True
        for run in list(self._runs.values()):
            run.on_stop()

    def handle(self, req: Request) -> None:
        """Start a request, or refuse it."""
        header_names = self._context.header_names
        request_id = find_field(req.fields, header_names.request_id.lower()) or b""
        if self._closed:
            reason = "the instance has stopped"
            self._refuse(req, request_id, 503, reason, STOPPED_RETRY_S)
            return
        table = self._feed.table
        if table is None or not self._feed.ready:
            reason = "the configuration, the targets or the evacuations are not known"
            self._refuse(req, request_id, 503, reason, NOT_READY_RETRY_S)
            return
        request = self._make_request(req, request_id, table)
        if isinstance(request, _Refusal):
            self._refuse(req, request_id, request.status, request.reason)
        elif self._crashes_targets(request):
            reason = "the request crashed the targets that ran it"
            self._refuse(req, request_id, 503, reason, CRASHING_RETRY_S)
        else:
            self._start_run(request, self._make_run(request))

    def _make_request(
        self, req: Request, request_id: bytes, table: RouteTable
    ) -> RoutedRequest | _Refusal:
        """Return the request with its route, or the reason why it can't be served."""
        hosts = find_field_values(req.fields, b"host")
        caller_timeout_s = self._caller_timeout_s(req)
        if len(hosts) != 1 or not request_id or caller_timeout_s is None:
            return _Refusal(400, "the host, the id or the deadline is malformed")
        path = req.target.partition(b"?")[0].decode("latin-1")
        route = table.match(hosts[0].decode("latin-1"), path)
        if route is None:
            return _Refusal(404, "no route matches")
        deadline = req.received_at + min(caller_timeout_s, route.timeout_s)
        request = RoutedRequest.make(
            req, request_id, route, table, deadline, self._context
        )
        request.data_centre = self._delegation.data_centre
        return request

    def _caller_timeout_s(self, req: Request) -> float | None:
        """Return the caller's timeout in seconds, or None if it is malformed."""
        value = find_field(req.fields, self._context.header_names.deadline_ms.lower())
        if value is None:
            return MAX_DEADLINE_S
        if not value.isdigit():
            return None
        if len(value.lstrip(b"0")) > MAX_DEADLINE_DIGITS:
            return MAX_DEADLINE_S
        return min(MAX_DEADLINE_S, int(value) / 1000)

    def _crashes_targets(self, request: RoutedRequest) -> bool:
        crashes = self._context.crashes
        return crashes.has_records() and crashes.is_quarantined(
            request.fingerprint(crashes)
        )

    def serve_delegated(
        self,
        req: Request,
        msg: DelegationRequest,
        on_result: Callable[[RoutedResult], None],
    ) -> RoutedRequest | DelegationRefusal:
        """Run a request for another instance, or return why it is refused.

        Targets that the sender may still ask are withheld until it confirms the reply.
        """
        table = self._feed.table
        if table is None or table.version < msg.version:
            return DelegationRefusal("the configuration is older than the request's")
        if self.stopping:
            return DelegationRefusal("the instance is stopping")
        if self._context.targets.reachability.cut_off:
            return DelegationRefusal(CUT_OFF_REASON, cut_off=True)
        request_id = (
            find_field(req.fields, self._context.header_names.request_id.lower()) or b""
        )
        request = self._make_request(req, request_id, table)
        if isinstance(request, _Refusal):
            return DelegationRefusal("the configuration has no such route")
        route = request.route
        left = targets_left(route, msg)
        request.max_targets = left - max_targets_of_sender(route, left)
        request.data_centre = msg.data_centre
        request.return_margin_s = RETURN_MARGIN_S + HOP_RETURN_MARGIN_S

        def log_and_report(result: RoutedResult) -> None:
            self._log_result(request, result)
            on_result(result)

        self._start_run(
            request, self._make_run(request, log_and_report, may_delegate=False)
        )
        return request

    def _with_cleanup(
        self, request: RoutedRequest, on_result: Callable[[RoutedResult], None]
    ) -> Callable[[RoutedResult], None]:
        """Return a callback that removes the run and then calls `on_result`."""

        def on_end(result: RoutedResult) -> None:
            self._runs.pop(request, None)
            request.http_request.on_disconnect = None
            on_result(result)
            request.drop_payload()

        return on_end

    def _make_run(
        self,
        request: RoutedRequest,
        on_result: Callable[[RoutedResult], None] | None = None,
        may_delegate: bool = True,
    ) -> RequestRun:
        """Return a request's run; without `on_result` the caller gets the reply."""

        def reply_and_log(result: RoutedResult) -> None:
            request.http_request.reply(result.response)
            self._log_result(request, result)

        return RequestRun(
            self._context,
            self._delegation,
            request,
            lambda on_end: self._make_local_runner(request, on_end),
            self._with_cleanup(request, on_result or reply_and_log),
            may_delegate,
            self.room,
        )

    def _make_local_runner(
        self, request: RoutedRequest, on_result: Callable[[RoutedResult], None]
    ) -> LocalRunner:
        if request.route.gather is not None:
            return Gather(self._context, request, on_result)
        service = request.service or self._choose_service(request)
        request.service = ""
        return Forward(self._context, request, service, on_result)

    def _choose_service(self, request: RoutedRequest) -> str:
        sequence = self._service_sequence(request)
        return sequence.next_service(request.route.weighted_services).service

    def _start_run(self, request: RoutedRequest, run: RequestRun) -> None:
        def on_disconnect() -> None:
            self._runs.pop(request, None)
            self._log_disconnect(request)
            run.on_disconnect()
            request.drop_payload()

        self._runs[request] = run
        request.http_request.on_disconnect = on_disconnect
        run.start()

    def _service_sequence(self, request: RoutedRequest) -> WeightedServiceSequence:
        sequence = self._service_sequences.get(request.route.name)
        if sequence is None:
            sequence = WeightedServiceSequence(self._rng.random())
            self._service_sequences[request.route.name] = sequence
        return sequence

    def _log_result(self, request: RoutedRequest, result: RoutedResult) -> None:
        crashes = self._context.crashes
        if result.succeeded and crashes.has_records():
            crashes.clear(request.fingerprint(crashes))
        elapsed = self._context.clock.monotonic() - request.http_request.received_at
        self._count_result(request, result, elapsed)
        waited = {}
        if request.room is not None and request.room.waited_s:
            waited["waited_ms"] = round(request.room.waited_s * 1000, 1)
        events.emit(
            events.ROUTED_REQUEST_ENDED,
            request_id=request.text_id,
            route=request.route.name,
            version=request.table.version,
            status=result.response.status,
            outcome=result.outcome,
            elapsed_ms=round(elapsed * 1000, 1),
            sub_requests=result.sub_requests,
            extra=result.extra_sub_requests,
            missing=list(result.missing),
            slowest=result.slowest,
            age_s=round(self._feed.age_s(), 2),
            left_out=request.log_limit.left_out,
            **waited,
        )

    def _count_result(
        self, request: RoutedRequest, result: RoutedResult, elapsed: float
    ) -> None:
        metrics = self._metrics
        metrics.routes.record(request.route.name, result.outcome, elapsed)
        metrics.sub_requests.inc(result.sub_requests)
        metrics.extra_sub_requests.inc(result.extra_sub_requests)
        metrics.missing_shards.inc(len(result.missing))
        metrics.dropped_log_lines.inc(request.log_limit.left_out)

    def _log_disconnect(self, request: RoutedRequest) -> None:
        self._metrics.callers_left.inc()
        now = self._context.clock.monotonic()
        if not self._context.log_limit.allows(now):
            self._metrics.dropped_log_lines.inc()
            return
        elapsed = now - request.http_request.received_at
        events.emit(
            events.CALLER_LEFT,
            request_id=request.text_id,
            elapsed_ms=round(elapsed * 1000, 1),
        )

    def _refuse(
        self,
        req: Request,
        request_id: bytes,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        req.reply(error_response(status, retry_after_s))
        self._log_refused(request_id, status, reason)

    def _log_refused(self, request_id: bytes, status: int, reason: str) -> None:
        table = self._feed.table
        self._metrics.refused_requests.labels(str(status)).inc()
        if not self._context.log_limit.allows(self._context.clock.monotonic()):
            self._metrics.dropped_log_lines.inc()
            return
        events.emit(
            events.ROUTED_REQUEST_REFUSED,
            request_id=request_id.decode("latin-1"),
            status=status,
            reason=reason,
            version=table.version if table else 0,
        )
