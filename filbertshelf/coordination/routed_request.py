"""What the forwards and gathers of a gateway share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from filbertshelf.clock import Clock
from filbertshelf.coordination.listed_targets import ListedTargets
from filbertshelf.protocol.http_messages import (
    Field,
    Response,
    end_to_end_fields,
    find_field,
    render_fields,
)
from filbertshelf.protocol.target_responses import HeaderNames, ResponseClassifier
from filbertshelf.state.crashes import CrashCounter
from filbertshelf.state.hedging import HedgeDelay
from filbertshelf.state.log_limit import LogRateLimit, RequestLogLimit
from filbertshelf.state.routing import Route, RouteTable
from filbertshelf.transport.http1.server import Request

RETURN_MARGIN_S = 0.015
"""The time that an answer takes back to the caller, with its request's way here."""

MAX_HEDGE_TIMERS = 1_024
"""Routes whose latencies are kept; a configuration with more starts to learn anew."""


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """Don't make the call."""


CallLater = Callable[[float, Callable[[], None]], Timer]


@attrs.define(eq=False)
class RoutingContext:
    """The services that requests use; one object for all requests."""

    clock: Clock
    call_later: CallLater
    targets: ListedTargets
    header_names: HeaderNames
    judge: ResponseClassifier
    crashes: CrashCounter
    on_crash: Callable[[str, str, int], None]
    """Gets a fingerprint, a request id and the number of dead targets in a row."""
    log_limit: LogRateLimit = attrs.field(factory=LogRateLimit)
    _hedge_timers: dict[str, HedgeDelay] = attrs.field(factory=dict)

    def hedge_timer(self, route: Route) -> HedgeDelay:
        """Return what was learned of a route's latencies."""
        timer = self._hedge_timers.get(route.name)
        if timer is None:
            if len(self._hedge_timers) >= MAX_HEDGE_TIMERS:
                self._hedge_timers.clear()
            timer = self._hedge_timers[route.name] = HedgeDelay(
                route.latency_objective_s, self.clock
            )
        return timer


@attrs.define(eq=False)
class RoutedRequest:
    """A caller's request with the route it takes; times are monotonic seconds."""

    http_request: Request
    id: bytes
    route: Route
    table: RouteTable
    deadline: float
    """When the caller stops waiting, or the route's time is up."""
    log_limit: RequestLogLimit
    withheld_targets: int = 0
    """Targets of each shard that are left to another instance, which may run it too."""
    return_margin_s: float = RETURN_MARGIN_S
    """How long before its aim an answer has to leave."""
    _head_prefix: bytes = b""

    @classmethod
    def make(
        cls,
        http_request: Request,
        request_id: bytes,
        route: Route,
        table: RouteTable,
        deadline: float,
        context: RoutingContext,
    ) -> RoutedRequest:
        """Return the request with the part of its head that all targets get."""
        fields: list[Field] = end_to_end_fields(
            http_request.fields, context.header_names.names_set_by_instance()
        )
        if http_request.body or http_request.method not in (b"GET", b"HEAD", b"DELETE"):
            fields.append((b"Content-Length", b"%d" % len(http_request.body)))
        request_line = b"%b %b HTTP/1.1\r\n" % (
            http_request.method,
            http_request.target,
        )
        log_limit = RequestLogLimit(context.log_limit)
        request = cls(http_request, request_id, route, table, deadline, log_limit)
        request._head_prefix = request_line + render_fields(fields)
        return request

    @property
    def max_targets(self) -> int:
        """Return how many targets of each shard this instance may ask."""
        return self.route.max_attempts - self.withheld_targets

    @property
    def text_id(self) -> str:
        """Return the id as text for the log."""
        return self.id.decode("latin-1")

    def fingerprint(self, crashes: CrashCounter) -> str:
        """Return what is the same when the request comes again."""
        host = find_field(self.http_request.fields, b"host") or b""
        return crashes.fingerprint(
            host, self.http_request.target, self.http_request.body
        )

    def head_for(self, target_id: str, header_names: HeaderNames, now: float) -> bytes:
        """Return the head for one target, with the time that is left at `now`."""
        left_ms = max(1, int((self.deadline - now) * 1000))
        return b"%b%b: %d\r\n%b: %b\r\n\r\n" % (
            self._head_prefix,
            header_names.deadline_ms,
            left_ms,
            header_names.expected_target,
            target_id.encode(),
        )


@attrs.frozen(eq=False)
class RoutedResult:
    """The response to a request and what its log line says."""

    response: Response
    outcome: str
    sub_requests: int
    extra_sub_requests: int
    missing: tuple[str, ...] = ()
    slowest: str = ""
    """The target that answered last, and after how many milliseconds."""

    @property
    def succeeded(self) -> bool:
        """Return whether targets answered the request with success."""
        return 200 <= self.response.status < 300
