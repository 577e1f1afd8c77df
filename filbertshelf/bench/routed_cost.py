"""Measures the CPU time of a gateway's query path over HTTP."""

from __future__ import annotations

import asyncio
import random
import statistics
import threading
import time
from collections.abc import Sequence

import uvloop

from filbertshelf.bench.query_cost import (
    ROUND_SUB_REQUESTS,
    SocketCost,
    instance_settings,
)
from filbertshelf.clock import SystemClock
from filbertshelf.coordination.gather import Gather
from filbertshelf.coordination.listed_targets import ListedTargets
from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutedResult,
    RoutingContext,
)
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.protocol.http_messages import Response, find_field
from filbertshelf.protocol.target_responses import HeaderNames, ResponseClassifier
from filbertshelf.state.crashes import CrashCounter
from filbertshelf.state.directory import ListedTarget, TargetChange
from filbertshelf.state.fleet_role import FleetRole
from filbertshelf.state.retry_window import RetryPolicy
from filbertshelf.state.routing import Gather as GatherRule
from filbertshelf.state.routing import Limits, Repeat, Route, RouteTable
from filbertshelf.transport.http1.server import HttpServer, Request

HEADER_NAMES = HeaderNames(
    request_id=b"Id",
    deadline_ms=b"Left-Ms",
    stamp=b"Stamp",
    expected_target=b"Expect",
    not_run=b"Not-Run",
    part_stamps=b"Parts",
    missing_parts=b"Missing",
    rate_limit=b"Limit",
    leaving=b"Leaving",
)
RECORDS = bytes(range(192))
TIMEOUT_S = 60.0
_LOOPBACK = ("127.0.0.1", 0)


class _LeafHandler:
    """Answers each request with the same records."""

    def handle(self, req: Request) -> None:
        request_id = find_field(req.fields, b"id")
        fields = ((b"Stamp", b"stamp-" + request_id), (b"Id", request_id))
        req.reply(Response(200, fields, RECORDS))

    def limits(self) -> Limits:
        return Limits(idle_timeout_s=TIMEOUT_S)

    def record_rejection(self, status: int, reason: str) -> None:
        raise AssertionError(f"the measurement sent a bad request: {reason}")


class _LeafThread(threading.Thread):
    """A thread that serves all targets on one address until `stop` is called."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.ready = threading.Event()
        self.address = _LOOPBACK
        self._loop: asyncio.AbstractEventLoop | None = None
        self._stop_event: asyncio.Event | None = None

    def run(self) -> None:
        uvloop.run(self._serve())

    async def _serve(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._stop_event = asyncio.Event()
        server = HttpServer(_LOOPBACK, _LeafHandler(), SystemClock())
        await server.start()
        self.address = server.address
        self.ready.set()
        await self._stop_event.wait()
        await server.stop()

    def stop(self) -> None:
        """Stop the server and wait until the thread has ended."""
        self._loop.call_soon_threadsafe(self._stop_event.set)
        self.join()


def measure_routed(fan_outs: Sequence[int], rounds: int) -> list[SocketCost]:
    """Return the cost of queries at each fan-out, with one target per shard.

    The CPU time is that of the gateway's thread; the targets run in another thread.
    """
    leaf = _LeafThread()
    leaf.start()
    leaf.ready.wait()
    try:
        return [uvloop.run(_measure(count, rounds, leaf.address)) for count in fan_outs]
    finally:
        leaf.stop()


async def _measure(fan_out: int, rounds: int, address: tuple[str, int]) -> SocketCost:
    context = _make_context(fan_out, address)
    route = _make_route(fan_out)
    await _run_query(context, route)
    queries = max(1, ROUND_SUB_REQUESTS // fan_out)
    cpu, wall = [], []
    for _ in range(rounds):
        cpu_start, wall_start = time.thread_time(), time.monotonic()
        for _ in range(queries):
            await _run_query(context, route)
        cpu.append((time.thread_time() - cpu_start) / (queries * fan_out) * 1e6)
        wall.append((time.monotonic() - wall_start) / queries * 1e3)
    context.targets.close()
    return SocketCost(fan_out, statistics.median(cpu), statistics.median(wall))


def _make_context(fan_out: int, address: tuple[str, int]) -> RoutingContext:
    clock = SystemClock()
    cfg = GatewaySettings(
        instance=instance_settings(),
        listen=_LOOPBACK,
        ready_listen=_LOOPBACK,
        retries=RetryPolicy(0.2, 100.0, 10.0),
        stop_grace_s=1.0,
    )
    loop = asyncio.get_running_loop()
    targets = ListedTargets(cfg, clock, random.Random(1), loop.call_later)
    targets.set_role(FleetRole(1, 1, True, True))
    for number in range(fan_out):
        listed = ListedTarget(
            f"t{number}", f"s{number}", address, cfg.instance.data_centre, 2, False, 0
        )
        targets.apply([TargetChange(listed.id, number + 1, listed)])
    crashes = CrashCounter(clock)
    return RoutingContext(
        clock,
        loop.call_later,
        targets,
        HEADER_NAMES,
        ResponseClassifier(HEADER_NAMES),
        crashes,
        crashes.record_crash,
    )


def _make_route(fan_out: int) -> Route:
    shards = tuple(f"s{number}" for number in range(fan_out))
    return Route(
        name="capacity",
        host="h",
        prefix="/",
        repeat=Repeat.IDEMPOTENT,
        timeout_s=TIMEOUT_S,
        latency_objective_s=TIMEOUT_S,
        max_attempts=1,
        priority=0,
        gather=GatherRule(shards, 10, 1.0),
    )


async def _run_query(context: RoutingContext, route: Route) -> None:
    result_future: asyncio.Future[RoutedResult] = (
        asyncio.get_running_loop().create_future()
    )
    now = context.clock.monotonic()
    fields = [(b"Host", b"h"), (b"Id", b"r1")]
    req = Request(b"GET", b"/x", fields, b"", now, True, lambda response: None)
    table = RouteTable.build(1, [route], [], Limits())
    request = RoutedRequest.make(req, b"r1", route, table, now + TIMEOUT_S, context)
    Gather(context, request, result_future.set_result).start()
    result = await result_future
    if result.outcome != "whole":
        raise RuntimeError(f"a measured query ended as {result.outcome}")
