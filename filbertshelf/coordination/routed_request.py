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

RETURN_S = 0.015
"""The time that an answer takes back to the caller, with its request's way here."""

MAX_TIMERS = 1_024
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
    names: HeaderNames
    judge: ResponseClassifier
    crashes: CrashCounter
    on_crash: Callable[[str, str, int], None]
    """Gets a fingerprint, a request id and the number of dead targets in a row."""
    lines: LogRateLimit = attrs.field(factory=LogRateLimit)
    _hedges: dict[str, HedgeDelay] = attrs.field(factory=dict)

    def hedge_timer(self, route: Route) -> HedgeDelay:
        """Return what was learned of a route's latencies."""
        timer = self._hedges.get(route.name)
        if timer is None:
            if len(self._hedges) >= MAX_TIMERS:
                self._hedges.clear()
            timer = self._hedges[route.name] = HedgeDelay(
                route.latency_objective_s, self.clock
            )
        return timer


@attrs.define(eq=False)
class RoutedRequest:
    """A caller's request with the route it takes; times are monotonic seconds."""

    req: Request
    id: bytes
    route: Route
    table: RouteTable
    deadline: float
    """When the caller stops waiting, or the route's time is up."""
    lines: RequestLogLimit
    held_back: int = 0
    """Targets of each shard that are left to another instance, which may run it too."""
    return_s: float = RETURN_S
    """How long before its aim an answer has to leave."""
    _prefix: bytes = b""

    @classmethod
    def make(
        cls,
        req: Request,
        request_id: bytes,
        route: Route,
        table: RouteTable,
        deadline: float,
        tools: RoutingContext,
    ) -> RoutedRequest:
        """Return the request with the part of its head that all targets get."""
        fields: list[Field] = end_to_end_fields(
            req.fields, tools.names.names_set_by_instance()
        )
        if req.body or req.method not in (b"GET", b"HEAD", b"DELETE"):
            fields.append((b"Content-Length", b"%d" % len(req.body)))
        first = b"%b %b HTTP/1.1\r\n" % (req.method, req.target)
        lines = RequestLogLimit(tools.lines)
        routed = cls(req, request_id, route, table, deadline, lines)
        routed._prefix = first + render_fields(fields)
        return routed

    @property
    def max_targets(self) -> int:
        """Return how many targets of each shard this instance may ask."""
        return self.route.max_attempts - self.held_back

    @property
    def text_id(self) -> str:
        """Return the id as text for the log."""
        return self.id.decode("latin-1")

    def fingerprint(self, crashes: CrashCounter) -> str:
        """Return what is the same when the request comes again."""
        host = find_field(self.req.fields, b"host") or b""
        return crashes.fingerprint(host, self.req.target, self.req.body)

    def head_for(self, target_id: str, names: HeaderNames, now: float) -> bytes:
        """Return the head for one target, with the time that is left at `now`."""
        left_ms = max(1, int((self.deadline - now) * 1000))
        return b"%b%b: %d\r\n%b: %b\r\n\r\n" % (
            self._prefix,
            names.deadline_ms,
            left_ms,
            names.expected_target,
            target_id.encode(),
        )


@attrs.frozen(eq=False)
class RoutedResult:
    """The response to a request and what its log line says."""

    response: Response
    outcome: str
    sub_requests: int
    extra: int
    missing: tuple[str, ...] = ()
    slowest: str = ""
    """The target that answered last, and after how many milliseconds."""

    @property
    def answered(self) -> bool:
        """Return whether targets answered the request with success."""
        return 200 <= self.response.status < 300
