"""Measures the cost of each part at several sizes."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
from collections.abc import Callable, Iterable, Sequence

import attrs
import eliot

from filbertshelf.bench import decisions, membership
from filbertshelf.bench.booking_cost import BookingCost, measure_bookings
from filbertshelf.bench.decisions import DecisionCosts
from filbertshelf.bench.frame_cost import FrameCost, measure_frames
from filbertshelf.bench.instance_cost import InstanceCost, measure_instance
from filbertshelf.bench.membership import MembershipCost
from filbertshelf.bench.memory_cost import MemoryCost, measure_memory
from filbertshelf.bench.query_cost import (
    Latency,
    PathCost,
    SocketCost,
    measure_path,
    measure_sockets,
)
from filbertshelf.bench.refusal_cost import RefusalCost, measure_refusals
from filbertshelf.bench.routed_cost import measure_routed
from filbertshelf.bench.size_cost import SizeCost, measure_sizes
from filbertshelf.bench.spread import (
    SpreadCost,
    StoreCost,
    measure_spread,
    measure_store,
)

MAX_PROCESSES = 4
"""Limit of concurrent measurements, because the machine is shared."""


@attrs.frozen(kw_only=True)
class CapacityConfig:
    """The sizes at which the parts are measured; the defaults take about 80 s.

    The membership needs its default probe period: with a shorter one, connecting to
    new members takes too large a share of each period and the fleet doesn't settle.
    """

    members: Sequence[int] = (10, 40, 100)
    member_seconds: float = 10.0
    member_period: float = 1.0
    entries: Sequence[int] = (500, 1_000, 2_000)
    spread_nodes: Sequence[int] = (20, 100, 410)
    fan_outs: Sequence[int] = (8, 32, 128, 512)
    refusal_fan_outs: tuple[int, ...] = (8, 32, 128)
    targets: int = 32
    frames: Sequence[int] = (1, 10, 100)
    idle_targets: Sequence[int] = (0, 100, 400)
    idle_seconds: float = 4.0
    records: Sequence[int] = (1_000, 2_000, 4_000)
    decision_calls: int = 10_000
    rounds: int = 5


SMOKE = CapacityConfig(
    members=(2,),
    member_seconds=0.1,
    member_period=0.02,
    entries=(20,),
    spread_nodes=(4,),
    fan_outs=(2, 4),
    refusal_fan_outs=(2,),
    targets=2,
    frames=(1, 10),
    idle_targets=(1,),
    idle_seconds=0.1,
    records=(10,),
    decision_calls=10,
    rounds=1,
)


@attrs.frozen(kw_only=True)
class Costs:
    """The results of all measurements of one run."""

    members: Sequence[MembershipCost]
    stores: Sequence[StoreCost]
    spreads: Sequence[SpreadCost]
    paths: Sequence[PathCost]
    sockets: Sequence[SocketCost]
    routed: Sequence[SocketCost]
    latency: Latency
    memory: MemoryCost
    sizes: SizeCost
    bookings: Sequence[BookingCost]
    decisions: DecisionCosts
    refusals: Sequence[RefusalCost]
    frames: Sequence[FrameCost]
    instances: Sequence[InstanceCost]


@attrs.frozen
class Row:
    """One row of the table; `size` is None if the measure doesn't depend on a size."""

    part: str
    measure: str
    size: int | None
    value: float
    unit: str


def measure(
    cfg: CapacityConfig, progress: Callable[[str], None] = lambda text: None
) -> Costs:
    """Run all measurements; `progress` is called with the name of each part."""
    progress("membership, spread and idle instances")
    members, spreads, instances = _measure_in_processes(cfg)
    progress("configuration")
    stores = [measure_store(size, cfg.rounds) for size in cfg.entries]
    progress("query path")
    paths = measure_path(cfg.fan_outs, cfg.rounds)
    sockets, latency = measure_sockets(cfg.fan_outs, cfg.targets, cfg.rounds)
    routed = measure_routed(cfg.fan_outs, cfg.rounds)
    memory = measure_memory(cfg.targets)
    sizes = measure_sizes()
    progress("bookings")
    bookings = [measure_bookings(size) for size in cfg.records]
    progress("decisions")
    costs = decisions.measure(cfg.decision_calls)
    progress("refusals")
    refusals = measure_refusals(cfg.refusal_fan_outs, cfg.rounds)
    progress("frames")
    frames = [measure_frames(size, rounds=cfg.rounds) for size in cfg.frames]
    return Costs(
        members=members,
        stores=stores,
        spreads=spreads,
        paths=paths,
        sockets=sockets,
        routed=routed,
        latency=latency,
        memory=memory,
        sizes=sizes,
        bookings=bookings,
        decisions=costs,
        refusals=refusals,
        frames=frames,
        instances=instances,
    )


def _measure_in_processes(
    cfg: CapacityConfig,
) -> tuple[list[MembershipCost], list[SpreadCost], list[InstanceCost]]:
    """Return the costs that need long runs, measured in processes of a pool."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        MAX_PROCESSES, context, initializer=discard_logs
    ) as pool:
        members = [
            pool.submit(membership.measure, size, cfg.member_seconds, cfg.member_period)
            for size in cfg.members
        ]
        spreads = [pool.submit(measure_spread, size) for size in cfg.spread_nodes]
        instances = [
            pool.submit(measure_instance, size, cfg.idle_seconds)
            for size in cfg.idle_targets
        ]
        return (
            [future.result() for future in members],
            [future.result() for future in spreads],
            [future.result() for future in instances],
        )


def discard_logs() -> None:
    """Discard log messages; eliot would buffer them if it had no destination."""
    eliot.add_destinations(_discard)


def _discard(_message: dict) -> None:
    pass


def make_rows(costs: Costs) -> list[Row]:
    """Return the rows of the table."""
    return [
        *_make_part_rows("membership", costs.members, "members", _MEMBER_UNITS),
        *_make_part_rows("configuration", costs.stores, "entries", _STORE_UNITS),
        *_make_part_rows("spread", costs.spreads, "nodes", _SPREAD_UNITS),
        *_make_part_rows("query, stub links", costs.paths, "fan_out", _PATH_UNITS),
        *_make_part_rows("query, HTTP", costs.sockets, "fan_out", _SOCKET_UNITS),
        *_make_part_rows("gateway query, HTTP", costs.routed, "fan_out", _SOCKET_UNITS),
        *_make_part_rows("latency", [costs.latency], "", _LATENCY_UNITS),
        *_make_part_rows("memory", [costs.memory], "", _MEMORY_UNITS),
        *_make_part_rows("sizes", [costs.sizes], "", _SIZE_UNITS),
        *_make_part_rows("bookings", costs.bookings, "records", _BOOKING_UNITS),
        *_make_part_rows("decisions", [costs.decisions], "", _DECISION_UNITS),
        *_make_part_rows("refusal, HTTP", costs.refusals, "fan_out", _REFUSAL_UNITS),
        *_make_part_rows("shared frame", costs.frames, "sub_requests", _FRAME_UNITS),
        *_make_part_rows("idle instance", costs.instances, "targets", _INSTANCE_UNITS),
    ]


def _make_part_rows(
    part: str, costs: Iterable[object], size: str, units: dict[str, str]
) -> list[Row]:
    return [
        Row(part, name, getattr(cost, size, None), float(getattr(cost, name)), unit)
        for name, unit in units.items()
        for cost in costs
    ]


_US = "us CPU"
_MEMBER_UNITS = {
    "bytes_per_s": "B/s per node",
    "frames_per_s": "frames/s per node",
    "connects_per_s": "connects/s per node",
    "cpu_share": "cores per node",
    "seen_least": "members seen",
}
_STORE_UNITS = {
    "accept_ms": "ms CPU",
    "delta_ms": "ms CPU",
    "apply_ms": "ms CPU",
    "delta_bytes": "B",
    "whole_bytes": "B",
    "held_bytes": "B",
}
_SPREAD_UNITS = {
    "mean_bytes": "B per node and change",
    "most_bytes": "B at one node",
    "most_trips": "one-way trips to 90%",
    "one_way_trips": "one-way trips",
    "idle_bytes_per_s": "B/s per node",
    "calls_per_s": "platform calls/s",
}
_PATH_UNITS = dict.fromkeys(("total", "plan", "choose", "log", "merge", "rest"), _US)
_SOCKET_UNITS = {"cpu_us": _US, "query_ms": "ms"}
_LATENCY_UNITS = {"direct_ms": "ms median", "query_ms": "ms median"}
_MEMORY_UNITS = dict.fromkeys(("target", "connection", "sub_request"), "B")
_SIZE_UNITS = dict.fromkeys(("log_line", "health", "member"), "B")
_BOOKING_UNITS = {
    "record": "B",
    "final_record": "B",
    "handoff": "B",
    "run_us": _US,
    "export_us": _US,
}
_DECISION_UNITS = dict.fromkeys(
    (field.name for field in attrs.fields(DecisionCosts)), _US
)
_REFUSAL_UNITS = dict.fromkeys(("refusal", "stub_answer", "answer"), _US)
_FRAME_UNITS = {
    "codec": _US,
    "both_ends": _US,
    "bytes_each": "B",
}
_INSTANCE_UNITS = {"cpu_share": "cores", "resident_bytes": "B"}


def render(rows: Sequence[Row]) -> str:
    """Return the table as aligned text."""
    cells = [
        (
            row.part,
            row.measure,
            "-" if row.size is None else str(row.size),
            f"{row.value:.4g}",
            row.unit,
        )
        for row in rows
    ]
    cells.insert(0, ("part", "measure", "size", "value", "unit"))
    widths = [max(len(line[i]) for line in cells) for i in range(5)]
    return "\n".join(
        f"{part:<{widths[0]}}  {name:<{widths[1]}}  {size:>{widths[2]}}  "
        f"{value:>{widths[3]}}  {unit}"
        for part, name, size, value, unit in cells
    )
