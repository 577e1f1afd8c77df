"""Header names, keys and paths of the platform's interfaces."""

from __future__ import annotations

from filbertshelf.protocol.target_responses import HeaderNames

HEADERS = HeaderNames(
    request_id=b"Request-Id",
    deadline_ms=b"Request-Deadline-Ms",
    stamp=b"Server-Stamp",
    expected_target=b"Expect-Instance",
    not_run=b"Not-Executed",
    part_stamps=b"Part-Stamps",
    missing_parts=b"Missing-Parts",
    rate_limit=b"Server-Limit",
    leaving=b"Server-Leaving",
    cold_remaining_ms=b"Cold-Remaining-Ms",
)

SETTINGS_VARIABLE = "FILBERTSHELF_SETTINGS"

METRICS_PORT = 9464
"""The same port as in deploy/system.toml; the settings have no metrics address."""

CONFIG_KEY = "op/config"
TARGET_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"
"""Before the name of a data centre; the operator writes the key to evacuate it."""
ALL_KEYS_PREFIX = ""

ERA_HEADER = b"store-era"
"""Counts how often the store was restored from an older copy; in lower case."""

RANGE_PATH = "/v1/kv-range"
WATCH_PATH = "/v1/kv-watch"
