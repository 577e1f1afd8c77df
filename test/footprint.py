"""Measures the start and the memory of a gateway process: python -m test.footprint."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import os
import random
import re
import statistics
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import uvloop

from filbertshelf.clock import SystemClock
from filbertshelf.platform.constants import METRICS_PORT
from filbertshelf.protocol.http_messages import Response, find_field
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.server import HttpServer, Request
from test.platform.store_standin import StoreStandin
from test.soak.gateways import SETTINGS, free_port

IP = "127.9.{}.{}".format(*random.choices(range(1, 255), k=2))
"""Not 127.0.0.1, where another gateway may have its port for metrics."""
ZONES = ("bne-1", "bne-2", "syd-1")
SHARDS = 225
ROUTES = 1_400
QUERY_SHARDS = (90, 110, 135)
"""The shards of the routes that ask many."""
RECORDS_PER_ANSWER = 20
SETTLE_S = 3.0
"""Time from readiness to the load, in which connections are opened ahead."""
REQUESTS_AT_ONCE = 8


@attrs.frozen
class Footprint:
    """Processor time in ms until a gateway listens and is ready, and memory in MB.

    The idle memory is from before the first request, the peaks are from after the last
    one and from after a collection of the metrics.
    `sub_request_us` is the processor time of queries divided by their sub-requests.
    """

    listen_ms: float
    ready_ms: float
    idle_mb: float
    load_peak_mb: float
    scrape_peak_mb: float
    sub_request_us: float


class TargetHandler:
    """Answers for all targets, with different records for each request."""

    def __init__(self):
        rng = random.Random(1)
        size = 16 * RECORDS_PER_ANSWER
        self._bodies = itertools.cycle([rng.randbytes(size) for _ in range(997)])
        self.count = 0

    def handle(self, req: Request) -> None:
        """Send the next records."""
        self.count += 1
        request_id = find_field(req.fields, b"request-id")
        fields = ((b"Server-Stamp", b"s" * 40), (b"Request-Id", request_id))
        req.reply(Response(200, fields, next(self._bodies)))

    def limits(self) -> Limits:
        """Return the default request limits."""
        return Limits()

    def record_rejection(self, status: int, reason: str) -> None:
        """Fail, because the gateway sent a malformed request."""
        raise AssertionError(f"the gateway sent a bad request: {reason}")


def content(shards: int, routes: int, port: int) -> dict[str, object]:
    """Return the items of a store with three targets a shard, all on one port."""
    names = [f"shelf-{i:03d}" for i in range(shards)]
    items: dict[str, object] = {"op/config": _configuration(names, routes)}
    for number, name in enumerate(names * len(ZONES)):
        items[f"servers/leaf-{number:04d}"] = {
            "service": name,
            "address": f"127.8.{number // 250}.{1 + number % 250}:{port}",
            "zone": ZONES[number // shards],
            "slots": 4,
            "version": "v1",
            "state": "ready",
            "born": 1_796_000_000_000 + number,
            "seq": 3,
            "coldRemainingMs": 0,
        }
    return items


def _configuration(names: list[str], routes: int) -> dict[str, object]:
    limits = {"timeoutMs": 10_000, "targetLatencyMs": 5_000, "maxAttempts": 2}
    queries = [
        {
            "name": f"query-{count}",
            "host": "shelf.example",
            "prefix": f"/query/{count}",
            "kind": "safe",
            "gather": names[:count],
            "topK": 20,
            "minCoverage": 0.9,
            **limits,
        }
        for count in QUERY_SHARDS
    ]
    single = [
        {
            "name": f"route-{number}",
            "host": f"caller-{number % 40}.example",
            "prefix": f"/v1/{number}/",
            "kind": "unsafe" if number % 4 else "safe",
            "service": names[number % len(names)],
            "priority": number % 3,
            **limits,
        }
        for number in range(routes)
    ]
    services = [{"name": n, "healthPath": "/health", "maxConns": 84} for n in names]
    return {"version": 7, "routes": queries + single, "services": services}


async def measure(
    store: tuple[str, int],
    targets: TargetHandler,
    args: argparse.Namespace,
    folder: Path,
) -> Footprint:
    """Start one gateway, read its figures and stop it."""
    ports = {kind: free_port(IP) for kind in ("front", "ready", "control")}
    path = folder / "settings.toml"
    text = SETTINGS.format(
        name="front-1",
        ip=IP,
        zone=ZONES[0],
        seeds="",
        min_retries=129,
        store="{}:{}".format(*store),
        **ports,
    )
    path.write_text(text, encoding="utf-8")
    env = {**os.environ, "FILBERTSHELF_SETTINGS": str(path)}
    with (folder / "log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "filbertshelf.platform",
            env=env,
            stdout=log,
            stderr=log,
        )
    try:
        while not await _answers(ports["front"], b""):
            _check_runs(process, folder)
            await asyncio.sleep(0.002)
        listen_ms = _cpu_ms(process.pid)
        while not await _answers(ports["ready"], b"200"):
            _check_runs(process, folder)
            await asyncio.sleep(0.02)
        ready_ms = _cpu_ms(process.pid)
        await asyncio.sleep(SETTLE_S)
        idle = _memory_mb(process.pid)
        # The first round uses each route and opens the connections that are needed.
        await _send_all(ports["front"], _single_paths(args.routes))
        await _send_all(ports["front"], _query_paths(args.queries // 4))
        cpu_ms, count = _cpu_ms(process.pid), targets.count
        await _send_all(ports["front"], _query_paths(args.queries))
        cpu_ms, count = _cpu_ms(process.pid) - cpu_ms, targets.count - count
        load_peak_mb = _memory_mb(process.pid)["VmHWM"]
        await _send_all(METRICS_PORT, [("metrics", "/metrics")])
        scrape_peak_mb = _memory_mb(process.pid)["VmHWM"]
    finally:
        process.kill()
        await process.wait()
    sub_request_us = cpu_ms / count * 1e3
    return Footprint(
        listen_ms,
        ready_ms,
        idle["VmRSS"],
        load_peak_mb,
        scrape_peak_mb,
        sub_request_us,
    )


def _single_paths(routes: int) -> list[tuple[str, str]]:
    return [(f"caller-{n % 40}.example", f"/v1/{n}/x") for n in range(routes)]


def _query_paths(queries: int) -> list[tuple[str, str]]:
    shards = itertools.islice(itertools.cycle(QUERY_SHARDS), queries)
    return [("shelf.example", f"/query/{count}/x") for count in shards]


async def _send_all(port: int, requests: list[tuple[str, str]]) -> None:
    """Send requests by host and path, some at once."""
    rest = iter(requests)
    await asyncio.gather(*(_send(port, rest) for _ in range(REQUESTS_AT_ONCE)))


async def _send(port: int, requests: Iterator[tuple[str, str]]) -> None:
    reader, writer = await asyncio.open_connection(IP, port)
    for host, path in requests:
        head = f"GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {path}\r\n\r\n"
        writer.write(head.encode())
        answer = await reader.readuntil(b"\r\n\r\n")
        length = int(re.search(rb"(?i)content-length: (\d+)", answer)[1])
        await reader.readexactly(length)
        whole = b"Missing-Parts: 0" in answer or b"Missing-Parts" not in answer
        if b" 200 " not in answer or not whole:
            raise RuntimeError(f"a request failed: {answer[:200]!r}")
    writer.close()


def _check_runs(process: asyncio.subprocess.Process, folder: Path) -> None:
    if process.returncode is not None:
        raise RuntimeError((folder / "log").read_text(encoding="utf-8")[-2_000:])


async def _answers(port: int, status: bytes) -> bool:
    """Return whether the port accepts a connection and answers with the status."""
    try:
        reader, writer = await asyncio.open_connection(IP, port)
    except OSError:
        return False
    try:
        if not status:
            return True
        writer.write(b"GET / HTTP/1.1\r\nHost: ready\r\n\r\n")
        return status in await reader.readline()
    finally:
        writer.close()


def _cpu_ms(pid: int) -> float:
    # Unlike the times in `stat`, those of `schedstat` are in nanoseconds.
    tasks = Path(f"/proc/{pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e6


def _memory_mb(pid: int) -> dict[str, float]:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    pairs = (line.split(":") for line in lines if line.startswith("Vm"))
    return {name: int(value.split()[0]) / 1024 for name, value in pairs}


async def main(args: argparse.Namespace) -> None:
    """Print the median and the range of each figure over some starts."""
    targets = TargetHandler()
    target_server = HttpServer(("0.0.0.0", 0), targets, SystemClock())
    await target_server.start()
    store = StoreStandin(page_size=args.page_size)
    items = content(args.shards, args.routes, target_server.address[1])
    for key, value in items.items():
        store.put(key, value)
    server = store.make_server()
    await server.start()
    results = []
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(args.runs):
            figures = await measure(server.address, targets, args, Path(folder))
            results.append(figures)
    await server.stop()
    await target_server.stop()
    for field in attrs.fields(Footprint):
        values = [getattr(result, field.name) for result in results]
        middle = statistics.median(values)
        print(f"{field.name:14} {middle:7.1f} ({min(values):.1f} to {max(values):.1f})")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--shards", type=int, default=SHARDS)
    parser.add_argument("--routes", type=int, default=ROUTES)
    parser.add_argument("--page-size", type=int, default=500)
    parser.add_argument("--queries", type=int, default=200)
    args = parser.parse_args()
    started = time.monotonic()
    uvloop.run(main(args))
    print(f"{args.runs} runs in {time.monotonic() - started:.0f} s")
