"""The metrics page documents exactly the metrics of the code."""

from __future__ import annotations

import re
from pathlib import Path

from filbertshelf.gateway_metrics import GatewayMetrics

PAGE = Path(__file__).parent.parent / "docs" / "metrics.md"
GAUGES = re.compile(r'gauge\(\s*"(\w+)"')


def test_the_page_documents_exactly_the_metrics_of_the_code():
    # Guards against a metric without documentation and documentation without a metric.
    source = Path(__file__).parent.parent / "filbertshelf/coordination/gateway.py"
    names = {f"filbertshelf_{name}" for name in GAUGES.findall(source.read_text())}
    text = GatewayMetrics().render().decode()
    types = re.findall(r"^# TYPE (\w+) ", text, re.MULTILINE)
    names |= {name for name in types if not name.endswith("_created")}
    rows = set(re.findall(r"^\| `(\w+)` \|", PAGE.read_text(), re.MULTILINE))
    assert rows == names
