"""Measures the start and the memory of a gateway process: python -m test.footprint."""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

import attrs

from test.platform.store_standin import StoreStandin
from test.soak.gateways import SETTINGS, free_port

IP = "127.0.0.1"
ZONES = ("bne-1", "bne-2", "syd-1")
SHARDS = 225
ROUTES = 1_400
QUERY_SHARDS = (90, 110, 135)
"""The shards of the routes that ask many."""
SETTLE_S = 3.0
"""Time from readiness to the reading of the peak, in which the fleet is estimated."""


@attrs.frozen
class Footprint:
    """Processor time in ms until a gateway listens and is ready, memory in MB."""

    listen_ms: float
    ready_ms: float
    resident_mb: float
    peak_mb: float


def content(shards: int, routes: int) -> dict[str, object]:
    """Return the items of a store with three targets a shard."""
    names = [f"shelf-{i:03d}" for i in range(shards)]
    items: dict[str, object] = {"op/config": _configuration(names, routes)}
    for number, name in enumerate(names * len(ZONES)):
        items[f"servers/leaf-{number:04d}"] = {
            "service": name,
            "address": f"{IP}:{1 + number}",
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
    limits = {"timeoutMs": 2_000, "targetLatencyMs": 150, "maxAttempts": 2}
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


async def measure(store: tuple[str, int], folder: Path) -> Footprint:
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
        memory = _memory_mb(process.pid)
    finally:
        process.kill()
        await process.wait()
    return Footprint(listen_ms, ready_ms, memory["VmRSS"], memory["VmHWM"])


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


async def main(runs: int, shards: int, routes: int, page_size: int) -> None:
    """Print the median and the range of each figure over some starts."""
    store = StoreStandin(page_size=page_size)
    for key, value in content(shards, routes).items():
        store.put(key, value)
    server = store.make_server()
    await server.start()
    results = []
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(runs):
            results.append(await measure(server.address, Path(folder)))
    await server.stop()
    for field in attrs.fields(Footprint):
        values = [getattr(result, field.name) for result in results]
        middle = statistics.median(values)
        print(f"{field.name:12} {middle:7.1f} ({min(values):.1f} to {max(values):.1f})")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--shards", type=int, default=SHARDS)
    parser.add_argument("--routes", type=int, default=ROUTES)
    parser.add_argument("--page-size", type=int, default=500)
    args = parser.parse_args()
    started = time.monotonic()
    asyncio.run(main(args.runs, args.shards, args.routes, args.page_size))
    print(f"{args.runs} runs in {time.monotonic() - started:.0f} s")
