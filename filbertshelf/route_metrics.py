"""Counts and latencies of requests by route, as Prometheus text."""

from __future__ import annotations

import array
import bisect
import time
from collections.abc import Iterator

import attrs
from prometheus_client.utils import floatToGoString

REQUESTS = "filbertshelf_requests"
REQUESTS_HELP = "Requests that took a route, by how they ended."
SECONDS = "filbertshelf_request_seconds"
SECONDS_HELP = "Seconds from the whole request to its answer."

LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
)  # fmt: skip
"""Upper bounds of the latency histogram, dense around the usual latency objectives."""

_BOUND_TEXTS = tuple(floatToGoString(bound) for bound in (*LATENCY_BUCKETS_S, "Inf"))


@attrs.define(eq=False)
class _Count:
    """The requests of a route that ended in one way."""

    created: float
    value: int = 0


@attrs.define(eq=False)
class _Latencies:
    """The histogram of a route; the last bucket has no upper bound."""

    created: float
    sum_s: float = 0.0
    buckets: array.array = attrs.field(
        factory=lambda: array.array("Q", bytes(8 * len(_BOUND_TEXTS)))
    )


class RouteMetrics:
    """The metrics that exist once for each route.

    The text is that of a `Counter` and a `Histogram` of `prometheus_client`. Those take
    4 KB a route, and with 1,400 routes 22,000 objects to render.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], _Count] = {}
        self._latencies: dict[str, _Latencies] = {}

    def record(self, route: str, outcome: str, seconds: float) -> None:
        """Count a request that has ended after some seconds."""
        count = self._counts.get((route, outcome))
        if count is None:
            count = self._counts[route, outcome] = _Count(time.time())
        count.value += 1
        latencies = self._latencies.get(route)
        if latencies is None:
            latencies = self._latencies[route] = _Latencies(time.time())
        latencies.sum_s += seconds
        latencies.buckets[bisect.bisect_left(LATENCY_BUCKETS_S, seconds)] += 1

    def render(self) -> Iterator[str]:
        """Yield the text exposition format in small parts."""
        yield _family_head(f"{REQUESTS}_total", REQUESTS_HELP, "counter")
        for (route, outcome), count in self._counts.items():
            labels = _count_labels(route, outcome)
            yield f"{REQUESTS}_total{labels} {floatToGoString(count.value)}\n"
        if self._counts:
            yield _family_head(f"{REQUESTS}_created", REQUESTS_HELP, "gauge")
        for (route, outcome), count in self._counts.items():
            labels = _count_labels(route, outcome)
            yield f"{REQUESTS}_created{labels} {floatToGoString(count.created)}\n"
        yield _family_head(SECONDS, SECONDS_HELP, "histogram")
        for route, latencies in self._latencies.items():
            yield _render_histogram(_escaped(route), latencies)
        if self._latencies:
            yield _family_head(f"{SECONDS}_created", SECONDS_HELP, "gauge")
        for route, latencies in self._latencies.items():
            created = floatToGoString(latencies.created)
            yield f'{SECONDS}_created{{route="{_escaped(route)}"}} {created}\n'


def _family_head(name: str, help_text: str, type_name: str) -> str:
    return f"# HELP {name} {help_text}\n# TYPE {name} {type_name}\n"


def _count_labels(route: str, outcome: str) -> str:
    return f'{{outcome="{_escaped(outcome)}",route="{_escaped(route)}"}}'


def _render_histogram(route: str, latencies: _Latencies) -> str:
    lines = []
    total = 0
    for bound, count in zip(_BOUND_TEXTS, latencies.buckets, strict=True):
        total += count
        labels = f'{{le="{bound}",route="{route}"}}'
        lines.append(f"{SECONDS}_bucket{labels} {floatToGoString(total)}\n")
    lines.append(f'{SECONDS}_count{{route="{route}"}} {floatToGoString(total)}\n')
    sum_text = floatToGoString(latencies.sum_s)
    lines.append(f'{SECONDS}_sum{{route="{route}"}} {sum_text}\n')
    return "".join(lines)


def _escaped(value: str) -> str:
    return value.replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")
