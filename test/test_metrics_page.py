"""The metrics page names what the code counts."""

from __future__ import annotations

import re
from pathlib import Path

from filbertshelf.gateway_metrics import GatewayMetrics

PAGE = Path(__file__).parent.parent / "docs" / "metrics.md"
GAUGES = re.compile(r'gauge\(\s*"(\w+)"')


def test_each_metric_stands_in_the_page():
    # Guards against a metric that an operator can't look up, and a row without one.
    source = Path(__file__).parent.parent / "filbertshelf/coordination/gateway.py"
    names = {f"filbertshelf_{name}" for name in GAUGES.findall(source.read_text())}
    for family in GatewayMetrics().registry.collect():
        suffix = "_total" if family.type == "counter" else ""
        names.add(family.name + suffix)
    rows = set(re.findall(r"^\| `(\w+)` \|", PAGE.read_text(), re.MULTILINE))
    assert rows == names
