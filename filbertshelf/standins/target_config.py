"""Settings, faults and execution records of the target stand-in."""

from __future__ import annotations

import random
import zlib
from collections.abc import Mapping
from typing import Any

import attrs

from filbertshelf.protocol.target import SERVING

# Histories are read whole over HTTP; this bounds the memory of a host process.
HISTORY_MAX_EXECUTIONS = 200_000


@attrs.frozen
class Snapshot:
    """One index version and generation of a service and its shards."""

    index_version: str
    generation: int
    shards: tuple[str, ...]


@attrs.frozen
class HostedService:
    """A service and the snapshots of it that a target holds at once."""

    name: str
    snapshots: tuple[Snapshot, ...]

    def has_shard(self, shard: str, index_version: str, generation: int) -> bool:
        """Return whether the shard exists in exactly this snapshot."""
        return any(
            snapshot.index_version == index_version
            and snapshot.generation == generation
            and shard in snapshot.shards
            for snapshot in self.snapshots
        )


@attrs.frozen(kw_only=True)
class TargetConfig:
    """How one target behaves without faults; times are in the unit of their name."""

    name: str
    services: tuple[HostedService, ...]
    listen: str = "127.0.0.1:0"
    slots: int = 2
    queue: int = 8
    connections: int = 60
    connection_cost_ms: float = 6.0
    network_ms: float = 0.0
    """Round trip added to every request; it holds no slot."""
    service_ms: float = 4.0
    """Median of the lognormal service time."""
    sigma: float = 0.3
    """Standard deviation of the logarithm of the service time."""
    seed: int = 1
    rows_per_shard: int = 4
    starts_cold: bool = False
    cold_s: float = 0.0
    """How long a target is cold after a start; 0 for never."""
    cold_refuses: bool = False
    """Whether a cold target refuses work (else it is slow)."""
    cold_factor: float = 8.0
    """Service time factor at a cold start; falls evenly to 1 within `cold_s`."""
    crash_down_s: float = 1.0
    """How long the target stays down after a poisoned request."""


@attrs.frozen(kw_only=True)
class Faults:
    """The faults in force on a target; the defaults are no fault."""

    straggle: float = 1.0
    """Factor on the service time of the requests that straggle."""
    straggle_share: float = 1.0
    """Share of the requests that straggle."""
    fail_fast: bool = False
    """Answer 500 at once without running the work."""
    black_hole: bool = False
    """Accept requests and never answer them."""
    draining: bool = False
    """Refuse new work and say so."""
    hide_draining: bool = False
    """Report the state as serving even while draining."""
    down: bool = False
    """Accept no connection and cut the open ones."""
    reset_after_bytes: int | None = None
    """Cut the connection after this many bytes of a response to finished work."""
    reset_on_request: bool = False
    """Cut the connection when a request for work has arrived, without running it."""
    answer_delay_s: float = 0.0
    """Hold the response to finished work back for this long; it holds no slot."""
    forged_id: str | None = None
    """Answer finished work with this request id instead of the true one."""
    reported_load: int | None = None
    """Report this load instead of the true one."""
    load_lag_s: float = 0.0
    """Report the load as it was this many seconds ago."""


@attrs.frozen(kw_only=True)
class Execution:
    """Work that began on a target; times are monotonic seconds."""

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
    """done, cancelled, timeout or crashed."""
    in_flight: int
    """Work that ran on the target at the start, with this one."""


@attrs.define(kw_only=True)
class Counters:
    """Totals of a target since its start or the last clear."""

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
    """Executions left out of the history because it was full."""


@attrs.frozen(kw_only=True)
class TargetHistory:
    """What a target did: its totals and its executions in order of their ends."""

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

    A row's state differs between consecutive numbered versions (v1, v2, ...), so
    that an answer mixed from two of them is recognisable.
    """
    step = _ordinal(index_version)
    rows = []
    for number in range(count):
        row_id = f"{service}-{shard}-{number:04d}"
        digest = zlib.crc32(row_id.encode())
        state = "booked" if (digest + step) % 2 else "free"
        depot = f"depot-{digest // 2 % 5}"
        rows.append(
            {"id": row_id, "depot": depot, "state": state, "version": index_version}
        )
    return rows


def select_rows(
    rows: list[dict[str, str]], query: Mapping[str, Any]
) -> list[dict[str, str]]:
    """Return the rows that a query's filter, order and limit leave.

    Each row repeats the query's `marker`, if there is one.
    """
    wanted = query.get("filter") or {}
    found = [row for row in rows if all(row.get(k) == v for k, v in wanted.items())]
    marker = query.get("marker")
    if marker is not None:
        # Shows whose query a row was selected for.
        found = [{**row, "marker": marker} for row in found]
    key = query.get("order_by", "id")
    found.sort(key=lambda row: (row.get(key, ""), row["id"]))
    return found[: query.get("limit", len(found))]


def _ordinal(index_version: str) -> int:
    digits = index_version[len(index_version.rstrip("0123456789")) :]
    return int(digits) if digits else zlib.crc32(index_version.encode())
