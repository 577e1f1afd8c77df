"""Counters and latency histograms of a gateway, as text for a metrics collector."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from filbertshelf.protocol.heads import Response
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.server import Request

LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
)  # fmt: skip
"""The upper bounds of the latency histogram; dense where the aims of routes lie."""

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class GatewayMetrics:
    """All metrics of one gateway in a registry of their own."""

    def __init__(self) -> None:
        registry = self.registry = CollectorRegistry()
        self.requests = Counter(
            "filbertshelf_requests",
            "Requests that took a route, by how they ended.",
            ("route", "outcome"),
            registry=registry,
        )
        self.seconds = Histogram(
            "filbertshelf_request_seconds",
            "Seconds from the whole request to its answer.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.refused = Counter(
            "filbertshelf_refused",
            "Requests that were refused before they took a route, by status.",
            ("status",),
            registry=registry,
        )
        self.sub_requests = Counter(
            "filbertshelf_sub_requests", "Requests sent to targets.", registry=registry
        )
        self.extra = Counter(
            "filbertshelf_extra_sub_requests",
            "Requests sent to targets beyond the first of each shard.",
            registry=registry,
        )
        self.missing = Counter(
            "filbertshelf_missing_shards",
            "Shards that were left out of answers.",
            registry=registry,
        )
        self.callers_left = Counter(
            "filbertshelf_callers_left",
            "Callers that closed their connection before the answer.",
            registry=registry,
        )
        self.crashes = Counter(
            "filbertshelf_request_crashes",
            "Targets that died while they ran a request.",
            registry=registry,
        )
        self.lines_left_out = Counter(
            "filbertshelf_log_lines_left_out",
            "Log lines that were left out or dropped.",
            registry=registry,
        )

    def gauge(self, name: str, meaning: str, read: Callable[[], float]) -> None:
        """Add a value that is read when the metrics are asked for."""
        gauge = Gauge(f"filbertshelf_{name}", meaning, registry=self.registry)
        gauge.set_function(read)

    def text(self) -> bytes:
        """Return all metrics in the usual exposition format."""
        return generate_latest(self.registry)


class MetricsPage:
    """Answers a collector's requests, whatever their path."""

    def __init__(self, metrics: GatewayMetrics):
        self._metrics = metrics

    def handle(self, req: Request) -> None:
        """Answer with all metrics."""
        fields = ((b"Content-Type", CONTENT_TYPE),)
        req.reply(Response(200, fields, self._metrics.text()))

    def limits(self) -> Limits:
        """Return the limits for a collector's requests."""
        return Limits()

    def rejected(self, status: int, reason: str) -> None:
        """Count a malformed request."""
        self._metrics.refused.labels(str(status)).inc()
