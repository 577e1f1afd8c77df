"""Prometheus metrics of a gateway and the handler that serves them."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    generate_latest,
)

from filbertshelf.protocol.http_messages import Response
from filbertshelf.route_metrics import RouteMetrics
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.server import Request

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"

ROUTE_PATH = b"/route"
"""The path at which the metrics server tells where a request would go."""


class GatewayMetrics:
    """All metrics of one gateway, in a registry that no other gateway shares."""

    def __init__(self) -> None:
        registry = self.registry = CollectorRegistry()
        self.routes = RouteMetrics()
        self.refused_requests = Counter(
            "filbertshelf_refused",
            "Requests that were refused before they took a route, by status.",
            ("status",),
            registry=registry,
        )
        self.sub_requests = Counter(
            "filbertshelf_sub_requests", "Requests sent to targets.", registry=registry
        )
        self.extra_sub_requests = Counter(
            "filbertshelf_extra_sub_requests",
            "Requests sent to targets beyond the first of each shard.",
            registry=registry,
        )
        self.missing_shards = Counter(
            "filbertshelf_missing_shards",
            "Shards that were left out of answers.",
            registry=registry,
        )
        self.callers_left = Counter(
            "filbertshelf_callers_left",
            "Callers that closed their connection before the answer.",
            registry=registry,
        )
        self.target_crashes = Counter(
            "filbertshelf_request_crashes",
            "Targets that died while they ran a request.",
            registry=registry,
        )
        self.closed_for_bound = Counter(
            "filbertshelf_connections_closed_by_bound",
            "Connections that were closed or refused for a bound.",
            ("bound",),
            registry=registry,
        )
        self.dropped_log_lines = Counter(
            "filbertshelf_log_lines_left_out",
            "Log lines that were left out or dropped.",
            registry=registry,
        )

        self.room_refusals = Counter(
            "filbertshelf_room_refusals",
            "Requests that were refused for want of room on the targets.",
            ("route",),
            registry=registry,
        )
        self.room_waiting = Gauge(
            "filbertshelf_room_waiting",
            "Requests that wait for room on the targets.",
            ("group",),
            registry=registry,
        )
        self.room_limit = Gauge(
            "filbertshelf_room_limit_seconds",
            "Limit on the work in flight, +Inf while there is none.",
            ("group",),
            registry=registry,
        )
        self.room_running = Gauge(
            "filbertshelf_room_running_seconds",
            "Work in flight, in seconds of one target.",
            ("group",),
            registry=registry,
        )

    def add_gauge(
        self, name: str, help_text: str, read_value: Callable[[], float]
    ) -> None:
        """Register a gauge whose value is read at each scrape."""
        gauge = Gauge(f"filbertshelf_{name}", help_text, registry=self.registry)
        gauge.set_function(read_value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text exposition format."""
        parts = [part.encode() for part in self.routes.render()]
        parts.append(generate_latest(self.registry))
        return b"".join(parts)


class MetricsHandler:
    """Serves the metrics to a collector at any path, apart from route previews."""

    def __init__(
        self,
        metrics: GatewayMetrics,
        preview: Callable[[bytes], Response | None] = lambda query: None,
    ):
        """`preview` answers a query string, or returns None if it isn't one for it."""
        self._metrics = metrics
        self._preview = preview

    def handle(self, req: Request) -> None:
        """Send a response with all metrics, or with the preview of a request."""
        path, _, query = req.target.partition(b"?")
        response = None
        if path == ROUTE_PATH and req.method == b"GET":
            response = self._preview(query)
        if response is None:
            headers = ((b"Content-Type", CONTENT_TYPE),)
            response = Response(200, headers, self._metrics.render())
        req.reply(response)

    def limits(self) -> Limits:
        """Return the default request limits."""
        return Limits()

    def record_rejection(self, status: int, reason: str) -> None:
        """Count a malformed request."""
        self._metrics.refused_requests.labels(str(status)).inc()
