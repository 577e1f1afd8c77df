"""The statsd metrics client: counters, gauges and timings."""

from __future__ import annotations

from typing import Protocol

import statsd

from filbertshelf.settings import Settings

PREFIX = "filbertshelf"


class Metrics(Protocol):
    """The interface of a metrics client."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NullMetrics:
    """A metrics client that discards everything."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard a duration."""


def make_metrics(cfg: Settings) -> Metrics:
    """Return a statsd client, or a `NullMetrics` if no address is set."""
    if cfg.statsd is None:
        return NullMetrics()
    host, port = cfg.statsd
    return statsd.StatsClient(host, port, prefix=f"{PREFIX}.{cfg.name}")
