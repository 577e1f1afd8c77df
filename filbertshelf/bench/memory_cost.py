"""Measures the memory of targets, connections and queries in flight."""

from __future__ import annotations

import asyncio
import gc
import random
import tracemalloc
from collections.abc import Mapping

import attrs
import uvloop

from filbertshelf.bench.query_cost import (
    QUOTA,
    REQUEST,
    StubTargets,
    build_publication,
    open_queries,
    run_target_host,
    stub_addresses,
)
from filbertshelf.clock import SystemClock
from filbertshelf.coordination.targets import TargetEntry
from filbertshelf.protocol.caller import CallerRequest
from filbertshelf.state.limits import AdaptiveLimit
from filbertshelf.state.outcome import Reason, Result
from filbertshelf.state.replicas import TargetState
from filbertshelf.transport.target_link import TargetLink


@attrs.frozen
class MemoryCost:
    """Bytes allocated by Python, without kernel buffers.

    `target` is a link without connections, with its state and limit; `connection` is
    added for each open connection; `sub_request` is one sub-request of a query in
    flight.
    """

    target: float
    connection: float
    sub_request: float


class SilentTargets(StubTargets):
    """Targets that never answer."""

    answer = None


def traced_bytes() -> int:
    """Return the bytes of all live objects that tracemalloc traces."""
    gc.collect()
    return tracemalloc.get_traced_memory()[0]


def measure_memory(
    targets: int = 32, queries: int = 20, fan_out: int = 128
) -> MemoryCost:
    """Return the memory costs, with queries of `fan_out` sub-requests each."""
    return uvloop.run(_measure_memory(targets, queries, fan_out))


async def _measure_memory(targets: int, queries: int, fan_out: int) -> MemoryCost:
    async with run_target_host(fan_out, targets) as addresses:
        tracemalloc.start()
        try:
            target, connection = await _measure_target_bytes(addresses)
            sub_request = (
                await _measure_query_bytes(queries, fan_out) / queries / fan_out
            )
        finally:
            tracemalloc.stop()
    return MemoryCost(target, connection, sub_request)


async def _measure_target_bytes(addresses: Mapping[str, str]) -> tuple[float, float]:
    """Return the bytes of a target with a full latency window and of a connection."""
    clock = SystemClock()
    rng = random.Random(1)
    entries = []
    before = traced_bytes()
    for target in build_publication(1, addresses).targets.values():
        limit = AdaptiveLimit(target.slots, QUOTA, clock)
        link = TargetLink(
            target.name, target.address, QUOTA, clock, limit, lambda _: None
        )
        state = TargetState(target, clock, rng)
        for _ in range(100):
            state.attempt_started()
            state.attempt_finished(Result.ANSWERED, Reason.NONE, 0.005)
        entries.append(TargetEntry(target, link, state, limit, QUOTA))
        await link.start()
    created = traced_bytes()
    for entry in entries:
        await entry.link.warm_up()
    opened = traced_bytes()
    for entry in entries:
        await entry.link.stop()
    count = len(entries)
    return (created - before) / count, (opened - created) / count / QUOTA


async def _measure_query_bytes(queries: int, fan_out: int) -> int:
    addresses = stub_addresses(fan_out)
    async with open_queries(fan_out, addresses, SilentTargets) as path:
        before = traced_bytes()
        tasks = [
            asyncio.create_task(path.answer(f"{n:032x}", _request(n)))
            for n in range(queries)
        ]
        # A few iterations of the event loop start all tasks and their sub-requests.
        for _ in range(5):
            await asyncio.sleep(0)
        after = traced_bytes()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return after - before


def _request(number: int) -> CallerRequest:
    return attrs.evolve(REQUEST, body={"text": f"coat rack {number}"})
