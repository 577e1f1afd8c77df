"""A target's HTTP API: header names, header values and paths."""

from __future__ import annotations

REQUEST_ID = "Filbertshelf-Request-Id"
INDEX_VERSION = "Filbertshelf-Index-Version"
GENERATION = "Filbertshelf-Generation"
DEADLINE_MS = "Filbertshelf-Deadline-Ms"
STATE = "Filbertshelf-State"
LOAD = "Filbertshelf-Load"
NOT_RUN = "Filbertshelf-Not-Run"
REASON = "Filbertshelf-Reason"
IDEMPOTENCY_KEY = "Idempotency-Key"

SERVING = "serving"
DRAINING = "draining"


def work_path(service: str, shard: str, verb: str) -> str:
    """Return the path that runs `verb` ("search" or "book") on a shard."""
    return f"/v1/services/{service}/shards/{shard}/{verb}"
