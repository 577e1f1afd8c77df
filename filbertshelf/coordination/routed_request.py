"""Routed requests, their results and the context that all of them share."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import attrs

from filbertshelf.clock import Clock
from filbertshelf.coordination.listed_targets import ListedTargets
from filbertshelf.protocol.http_messages import (
    HeaderField,
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
from filbertshelf.transport.http1.message_bounds import MAX_BODY_BYTES
from filbertshelf.transport.http1.server import Request

if TYPE_CHECKING:
    from filbertshelf.coordination.room import RoomClaim

RETURN_MARGIN_S = 0.015
"""Network time of a request to the gateway and of the answer back to the caller."""

MAX_PART_BYTES = 128 * 1024
"""Maximum length of one shard's answer; a query receives one from each shard."""

MAX_KEPT_BYTES = 16 * 1024
"""Headers and body of an ended request that are left to the garbage collector."""

MAX_HEDGE_DELAYS = 1_024
"""Maximum number of routes with latency statistics; one more resets all of them."""


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


CallLater = Callable[[float, Callable[[], None]], Timer]


@attrs.define(eq=False)
class RoutingContext:
    """The dependencies of routed requests; all requests share one object."""

    clock: Clock
    call_later: CallLater
    targets: ListedTargets
    header_names: HeaderNames
    classifier: ResponseClassifier
    crashes: CrashCounter
    on_crash: Callable[[str, str, int], None]
    """Called with a fingerprint, a request id and the number of consecutive target
    deaths."""
    log_limit: LogRateLimit = attrs.field(factory=LogRateLimit)
    _hedge_delays: dict[str, HedgeDelay] = attrs.field(factory=dict)

    def hedge_delay(self, route: Route) -> HedgeDelay:
        """Return the hedge delay with the latency statistics of a route."""
        delay = self._hedge_delays.get(route.name)
        if delay is None:
            if len(self._hedge_delays) >= MAX_HEDGE_DELAYS:
                self._hedge_delays.clear()
            delay = self._hedge_delays[route.name] = HedgeDelay(
                route.latency_objective_s, self.clock
            )
        return delay


@attrs.define(eq=False)
class RoutedRequest:
    """A caller's HTTP request and its route; times are monotonic seconds."""

    http_request: Request
    id: bytes
    route: Route
    table: RouteTable
    deadline: float
    """When the caller's deadline or the route's timeout expires, whichever is first."""
    log_limit: RequestLogLimit
    max_targets: int
    """How many targets of each shard this instance may ask at most; the others are left
    to another instance, which may be running the request too."""
    return_margin_s: float = RETURN_MARGIN_S
    """Seconds before the latency objective at which the answer must be sent at the
    latest."""
    data_centre: str = ""
    """The data centre of the instance that has the caller, "" if it is unknown."""
    service: str = ""
    """The service that was chosen for a single request before it starts."""
    room: RoomClaim | None = None
    """Its part of the targets' capacity, None where admission is not controlled."""
    _head_prefix: bytes = b""
    _fingerprint: str = ""

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
        """Return the request, with the part of its head for all targets rendered."""
        fields: list[HeaderField] = end_to_end_fields(
            http_request.fields, context.header_names.names_set_by_instance()
        )
        if http_request.body or http_request.method not in (b"GET", b"HEAD", b"DELETE"):
            fields.append((b"Content-Length", b"%d" % len(http_request.body)))
        request_line = b"%b %b HTTP/1.1\r\n" % (
            http_request.method,
            http_request.target,
        )
        log_limit = RequestLogLimit(context.log_limit)
        request = cls(
            http_request,
            request_id,
            route,
            table,
            deadline,
            log_limit,
            route.max_attempts,
        )
        request._head_prefix = request_line + render_fields(fields)
        return request

    @property
    def objective_at(self) -> float:
        """Return the monotonic time until which an answer is within the objective."""
        received_at = self.http_request.received_at
        return received_at + self.route.latency_objective_s - self.return_margin_s

    @property
    def max_response_bytes(self) -> int:
        """Return how long the body of a target's response may be."""
        return MAX_BODY_BYTES if self.route.gather is None else MAX_PART_BYTES

    @property
    def text_id(self) -> str:
        """Return the request id as text for the log."""
        return self.id.decode("latin-1")

    def fingerprint(self, crashes: CrashCounter) -> str:
        """Return the fingerprint; it is the same if the caller repeats the request."""
        if not self._fingerprint:
            req = self.http_request
            host = find_field(req.fields, b"host") or b""
            self._fingerprint = crashes.fingerprint(host, req.target, req.body)
        return self._fingerprint

    def drop_payload(self) -> None:
        """Drop the headers and the body of a large request that has ended.

        A run is part of reference cycles, so the collector may free it much later. The
        fingerprint is known afterwards if it was computed before.
        """
        req = self.http_request
        if len(self._head_prefix) + len(req.body) > MAX_KEPT_BYTES:
            req.fields, req.body, self._head_prefix = [], b"", b""

    def head_for(self, target_id: str, header_names: HeaderNames, now: float) -> bytes:
        """Return the request head for one target, with the time left at `now`."""
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
    """The response to a request and the details for its log line."""

    response: Response
    outcome: str
    sub_requests: int
    extra_sub_requests: int
    missing: tuple[str, ...] = ()
    slowest: str = ""
    """The target with the slowest answer, and its latency in milliseconds."""

    @property
    def succeeded(self) -> bool:
        """Return whether the response status is a success."""
        return 200 <= self.response.status < 300
