"""Measures the CPU time of refusals and of answers over HTTP."""

from __future__ import annotations

import asyncio
import http.client
import json
import statistics
import time
from collections.abc import Mapping

import attrs
import uvloop

from filbertshelf.bench.query_cost import (
    DEADLINE_MS,
    REQUEST,
    StubTargets,
    instance_settings,
    open_queries,
    run_target_host,
    stub_addresses,
)
from filbertshelf.coordination.queries import Queries
from filbertshelf.coordination.targets import Targets
from filbertshelf.metrics import NullMetrics
from filbertshelf.protocol.caller import CallerRequest
from filbertshelf.state.outcome import Answer
from filbertshelf.transport.caller_server import CallerServer

ROUNDS = 5
REFUSALS = 200
TARGETS = 32


@attrs.frozen
class RefusalCost:
    """CPU time in us of the server's thread per request, the median of the rounds.

    `stub_answer` is an answer from stub links, and `answer` one from targets in another
    process over HTTP.
    """

    fan_out: int
    refusal: float
    stub_answer: float
    answer: float


class _QueryHandler:
    """The request handler of an instance, for queries only."""

    def __init__(self, queries: Queries):
        self._queries = queries

    async def query(self, request_id: str, req: CallerRequest) -> Answer:
        """Return the answer to a query."""
        return await self._queries.answer(request_id, req)


def measure_refusals(
    fan_outs: tuple[int, ...], rounds: int = ROUNDS
) -> list[RefusalCost]:
    """Return the costs at each fan-out.

    Raises `RuntimeError` if a response has an unexpected status.
    """
    return uvloop.run(_measure(fan_outs, rounds))


async def _measure(fan_outs: tuple[int, ...], rounds: int) -> list[RefusalCost]:
    measured = []
    async with run_target_host(max(fan_outs), TARGETS) as addresses:
        for fan_out in fan_outs:
            stubs = stub_addresses(TARGETS)
            refusal, stub_answer = await _measure_served(
                fan_out, stubs, StubTargets, rounds
            )
            _, answer = await _measure_served(fan_out, addresses, Targets, rounds)
            measured.append(RefusalCost(fan_out, refusal, stub_answer, answer))
    return measured


async def _measure_served(
    fan_out: int,
    addresses: Mapping[str, str],
    targets_class: type[Targets],
    rounds: int,
) -> tuple[float, float]:
    """Return the CPU time of a refusal and of an answer."""
    cfg = instance_settings(max_queries=1, max_queued=1)
    async with open_queries(fan_out, addresses, targets_class, cfg) as queries:
        server = CallerServer(cfg, _QueryHandler(queries), NullMetrics())
        await server.start()
        try:
            calls = max(1, 1_024 // fan_out)
            answers = await _measure_requests(server, 200, calls, rounds)
            refusals = await _measure_refusals(queries, server, rounds)
        finally:
            await server.stop()
    return refusals, answers


async def _measure_refusals(
    queries: Queries, server: CallerServer, rounds: int
) -> float:
    """Return the CPU time of a refusal while no place is free and the queue is full."""
    deadline = time.monotonic() + DEADLINE_MS
    await queries.admission.acquire("runs", "holder", 9, deadline)
    waiting = asyncio.create_task(
        queries.admission.acquire("waits", "holder", 9, deadline)
    )
    await asyncio.sleep(0)
    try:
        return await _measure_requests(server, 429, REFUSALS, rounds)
    finally:
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)


async def _measure_requests(
    server: CallerServer, status: int, calls: int, rounds: int
) -> float:
    """Return the CPU time per request of this thread, which runs the server.

    The client runs in another thread.
    """
    await asyncio.to_thread(_send_queries, server.address, status, 1)
    costs = []
    for _ in range(rounds):
        start = time.thread_time()
        await asyncio.to_thread(_send_queries, server.address, status, calls)
        costs.append(time.thread_time() - start)
    return statistics.median(costs) / calls * 1e6


def _send_queries(address: tuple[str, int], status: int, calls: int) -> None:
    doc = {"caller": REQUEST.caller, "query": dict(REQUEST.body)}
    body = json.dumps(doc).encode()
    headers = {"Content-Type": "application/json"}
    conn = http.client.HTTPConnection(*address, timeout=DEADLINE_MS / 1000)
    try:
        for _ in range(calls):
            conn.request("POST", "/v1/query", body, headers)
            resp = conn.getresponse()
            resp.read()
            if resp.status != status:
                raise RuntimeError(f"status {resp.status} instead of {status}")
    finally:
        conn.close()
