"""Renders measurements as a text table with one column per strategy."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

import attrs

from filbertshelf.bench.experiment import Measurement
from filbertshelf.bench.load import RequestOutcome

MISSING = "-"
GAP = "  "


@attrs.frozen
class Metric:
    """One row per scenario: its name and the function that formats its value."""

    name: str
    format_value: Callable[[Measurement], str]


def _format_percent(share: float) -> str:
    return f"{share * 100:.2f} %"


METRICS: tuple[Metric, ...] = (
    Metric("requests", lambda m: str(m.load.sent)),
    Metric("p50 ms", lambda m: f"{m.load.p50_ms:.1f}"),
    Metric("p99 ms", lambda m: f"{m.load.p99_ms:.1f}"),
    Metric("p99.9 ms", lambda m: f"{m.load.p999_ms:.1f}"),
    Metric("whole answers", lambda m: _format_percent(m.load.whole_share)),
    Metric("mean coverage", lambda m: _format_percent(m.load.mean_coverage)),
    Metric("urgency-weighted on time", lambda m: _format_percent(m.load.urgent_share)),
    Metric("answers on time per s", lambda m: f"{m.load.goodput_per_s:.1f}"),
    Metric("extra sub-requests", lambda m: _format_percent(m.load.extra_sub_requests)),
    Metric("refused as not run", lambda m: str(m.load.counts[RequestOutcome.NOT_RUN])),
    Metric("unknown", lambda m: str(m.load.counts[RequestOutcome.UNKNOWN])),
    Metric("failed", lambda m: str(m.load.counts[RequestOutcome.FAILED])),
    Metric("CPU us per sub-request", lambda m: f"{m.cpu_us_per_sub_request:.0f}"),
    Metric("peak connections a target", lambda m: str(m.peak_connections)),
    Metric("generator delay ms", lambda m: f"{m.load.max_send_delay_ms:.1f}"),
)


def render(measurements: Iterable[Measurement]) -> str:
    """Return the table, with scenarios and strategies in order of first occurrence."""
    cells = {(item.scenario, item.strategy): item for item in measurements}
    scenarios = tuple(dict.fromkeys(scenario for scenario, _ in cells))
    strategies = tuple(dict.fromkeys(strategy for _, strategy in cells))
    rows = [("scenario", "measure", *strategies)]
    for scenario in scenarios:
        for number, metric in enumerate(METRICS):
            row_measurements = [
                cells.get((scenario, strategy)) for strategy in strategies
            ]
            texts = [
                metric.format_value(item) if item else MISSING
                for item in row_measurements
            ]
            rows.append(("" if number else scenario, metric.name, *texts))
    return _format_table(rows)


def _format_table(rows: Sequence[Sequence[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    rule = ["-" * width for width in widths]
    lines = [rows[0], rule, *rows[1:]]
    return "".join(f"{_format_line(line, widths)}\n" for line in lines)


def _format_line(cells: Sequence[str], widths: Sequence[int]) -> str:
    """Return one line with two left-aligned name columns and right-aligned values."""
    texts = [
        cell.ljust(width) if column < 2 else cell.rjust(width)
        for column, (cell, width) in enumerate(zip(cells, widths, strict=True))
    ]
    return GAP.join(texts).rstrip()
