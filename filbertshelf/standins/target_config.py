"""Settings, faults and execution records of the target stand-in."""

from __future__ import annotations

import random
import zlib
from collections.abc import Mapping
from typing import Any

import attrs

from filbertshelf.protocol.target import SERVING

HISTORY_MAX_EXECUTIONS = 200_000
"""Executions kept per target.

Histories are read whole over HTTP; the limit bounds the memory of a host process.
"""


@attrs.frozen
class Snapshot:
    """The shards of a service in one index version and generation."""

    index_version: str
    generation: int
    shards: tuple[str, ...]


@attrs.frozen
class HostedService:
    """A service and the snapshots of it that a target holds."""

    name: str
    snapshots: tuple[Snapshot, ...]

    def has_shard(self, shard: str, index_version: str, generation: int) -> bool:
        """Return whether a held snapshot with this version has the shard."""
        return any(
            snapshot.index_version == index_version
            and snapshot.generation == generation
            and shard in snapshot.shards
            for snapshot in self.snapshots
        )


@attrs.frozen(kw_only=True)
class TargetConfig:
    """Configuration of one target stand-in; its behaviour without faults."""

    name: str
    services: tuple[HostedService, ...]
    listen: str = "127.0.0.1:0"
    slots: int = 2
    queue: int = 8
    connections: int = 60
    connection_cost_ms: float = 6.0
    network_ms: float = 0.0
    """Network round trip added to every request; it occupies no slot."""
    service_ms: float = 4.0
    """Median of the lognormal service time."""
    sigma: float = 0.3
    """Standard deviation of the logarithm of the service time."""
    seed: int = 1
    rows_per_shard: int = 4
    starts_cold: bool = False
    cold_s: float = 0.0
    """Time for which a target is cold after a cold start; 0 disables cold starts."""
    cold_refuses: bool = False
    """Whether a cold target refuses work instead of running it slowly."""
    cold_factor: float = 8.0
    """Service time factor at a cold start; falls linearly to 1 within `cold_s`."""
    crash_down_s: float = 1.0
    """Time for which the target is down after a poisoned request."""


@attrs.frozen(kw_only=True)
class Faults:
    """The active faults of a target; the default values mean no fault."""

    straggle: float = 1.0
    """Service time factor of slow requests."""
    straggle_share: float = 1.0
    """Fraction of requests that are slow."""
    fail_fast: bool = False
    """Answer with status 500 without running the work."""
    black_hole: bool = False
    """Accept requests and never answer them."""
    draining: bool = False
    """Refuse new work and report the state as draining."""
    hide_draining: bool = False
    """Report the state as serving while draining."""
    down: bool = False
    """Accept no connections and reset the open ones."""
    reset_after_bytes: int | None = None
    """Reset the connection after this many bytes of the response to finished work."""
    reset_on_request: bool = False
    """Reset the connection when a work request arrives, without running the work."""
    answer_delay_s: float = 0.0
    """Delay of the response to finished work; it occupies no slot."""
    forged_id: str | None = None
    """Request id sent in responses to finished work instead of the actual one."""
    reported_load: int | None = None
    """Load that is reported instead of the actual one."""
    load_lag_s: float = 0.0
    """Age of the reported load."""


@attrs.frozen(kw_only=True)
class Execution:
    """One execution of work on a target; times are in monotonic seconds."""

    target: str
    verb: str
    request_id: str
    idempotency_key: str
    service: str
    shard: str
    index_version: str
    generation: int
    body: Mapping[str, Any]
    start: float
    end: float
    ended: str
    """The value of a `WorkOutcome`: done, cancelled, timeout or crashed."""
    in_flight: int
    """Executions running on the target at the start, including this one."""


@attrs.define(kw_only=True)
class Counters:
    """Counters of a target since its start or the last clear."""

    requests: int = 0
    executions: int = 0
    cancelled: int = 0
    refused_draining: int = 0
    refused_overloaded: int = 0
    refused_cold: int = 0
    refused_snapshot: int = 0
    refused_deadline: int = 0
    failed_fast: int = 0
    crashes: int = 0
    restarts: int = 0
    connections_opened: int = 0
    connections_refused: int = 0
    peak_connections: int = 0
    peak_in_flight: int = 0
    history_dropped: int = 0
    """Executions missing from the history because it was full."""


@attrs.frozen(kw_only=True)
class TargetHistory:
    """The counters of a target, and its executions ordered by their ends."""

    target: str
    state: str = SERVING
    counters: Counters = attrs.field(factory=Counters)
    executions: tuple[Execution, ...] = ()


def draw_service_time(cfg: TargetConfig, rng: random.Random) -> float:
    """Return a service time in seconds drawn from the target's distribution."""
    return cfg.service_ms / 1000 * rng.lognormvariate(0.0, cfg.sigma)


def shard_rows(
    service: str, shard: str, index_version: str, count: int
) -> list[dict[str, str]]:
    """Return all rows of a shard in one index version.

    A row's state differs between consecutively numbered versions (v1, v2, ...), so
    that an answer that mixes two of them can be detected.
    """
    version_number = _version_number(index_version)
    rows = []
    for number in range(count):
        row_id = f"{service}-{shard}-{number:04d}"
        digest = zlib.crc32(row_id.encode())
        state = "booked" if (digest + version_number) % 2 else "free"
        depot = f"depot-{digest // 2 % 5}"
        rows.append(
            {"id": row_id, "depot": depot, "state": state, "version": index_version}
        )
    return rows


def select_rows(
    rows: list[dict[str, str]], query: Mapping[str, Any]
) -> list[dict[str, str]]:
    """Return the rows that match a query, with its order and limit applied.

    Each row carries the query's `marker`, if there is one.
    """
    filters = query.get("filter") or {}
    matches = [row for row in rows if all(row.get(k) == v for k, v in filters.items())]
    marker = query.get("marker")
    if marker is not None:
        # The marker shows which query a row was selected for.
        matches = [{**row, "marker": marker} for row in matches]
    sort_key = query.get("order_by", "id")
    matches.sort(key=lambda row: (row.get(sort_key, ""), row["id"]))
    return matches[: query.get("limit", len(matches))]


def _version_number(index_version: str) -> int:
    digits = index_version[len(index_version.rstrip("0123456789")) :]
    return int(digits) if digits else zlib.crc32(index_version.encode())
