"""No module outside the adapter uses the platform's names."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent / "filbertshelf"
NAMES = (
    "Request-Deadline-Ms",
    "Server-Stamp",
    "Expect-Instance",
    "Not-Executed",
    "Instance-Id",
    "Part-Stamps",
    "Missing-Parts",
    "kv-range",
    "kv-watch",
    "op/config",
    "op/evacuate",
    "evacuateMs",
    "allowedRegions",
    "servers/",
    "modRevision",
    "storeRevision",
    "timeoutMs",
    "targetLatencyMs",
    "maxAttempts",
    "minCoverage",
    "topK",
    "maxConns",
    "healthPath",
    "coldRemainingMs",
    "Cold-Remaining-Ms",
    "coldStartS",
    "coldPerS",
    "coldOverage",
    "coldSlack",
    "FILBERTSHELF_SETTINGS",
    "retryBudgetRatio",
    "budgetMinRetries",
    "graceS",
    "memoryMb",
    "maxFds",
)
SOURCES = sorted(
    path for path in ROOT.rglob("*.py") if path.parent != ROOT / "platform"
)


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: str(p.relative_to(ROOT)))
def test_module_outside_the_adapter_uses_no_platform_name(path):
    source = path.read_text(encoding="utf-8")
    used_names = [name for name in NAMES if re.search(re.escape(name), source)]
    assert used_names == []


def test_no_module_outside_the_adapter_imports_it():
    # Guards against making the product depend on one platform.
    importers = [
        path
        for path in SOURCES
        if "filbertshelf.platform" in path.read_text(encoding="utf-8")
    ]
    assert importers == []
