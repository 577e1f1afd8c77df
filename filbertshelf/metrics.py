"""Counters, gauges and timings over statsd."""

from __future__ import annotations

from typing import Protocol

import statsd

from filbertshelf.settings import Settings

PREFIX = "filbertshelf"


class Metrics(Protocol):
    """What the code needs of a metrics client; timings are in milliseconds."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


class NullMetrics:
    """Metrics that are not sent anywhere."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Ignore a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Ignore a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Ignore a duration."""


def make_metrics(cfg: Settings) -> Metrics:
    """Return a statsd client, or one that sends nothing if no address is set."""
    if cfg.statsd is None:
        return NullMetrics()
    host, port = cfg.statsd
    return statsd.StatsClient(host, port, prefix=f"{PREFIX}.{cfg.name}")
