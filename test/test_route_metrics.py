"""The metrics of routes have the text of `prometheus_client`."""

from __future__ import annotations

import random

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from filbertshelf import route_metrics
from filbertshelf.route_metrics import RouteMetrics


def _reference():
    registry = CollectorRegistry()
    counter = Counter(
        route_metrics.REQUESTS,
        route_metrics.REQUESTS_HELP,
        ("route", "outcome"),
        registry=registry,
    )
    histogram = Histogram(
        route_metrics.SECONDS,
        route_metrics.SECONDS_HELP,
        ("route",),
        buckets=route_metrics.LATENCY_BUCKETS_S,
        registry=registry,
    )
    return registry, counter, histogram


def _text(metrics):
    return "".join(metrics.render()).encode()


def test_the_text_is_that_of_the_client_library(monkeypatch):
    # Guards against metrics that a collector reads differently than before.
    monkeypatch.setattr("time.time", lambda: 1796593784.77)
    registry, counter, histogram = _reference()
    metrics = RouteMetrics()
    assert _text(metrics) == generate_latest(registry)
    rng = random.Random(1)
    for number in range(2_000):
        route = ("a", 'quoted "b"\\\n', "caf\u00e9")[number % 3]
        outcome = rng.choice(("answered", "not run"))
        seconds = rng.choice((0.01, 0.0100001, 7.0, rng.expovariate(10.0), 1e7))
        metrics.record(route, outcome, seconds)
        counter.labels(route, outcome).inc()
        histogram.labels(route).observe(seconds)
    assert _text(metrics) == generate_latest(registry)
