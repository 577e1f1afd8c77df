"""Measures CPU time and latency of the query path, with stub links and sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import statistics
import tempfile
import time
from collections.abc import AsyncIterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import uvloop

from filbertshelf import events
from filbertshelf.bench.cpu_time import min_cpu_us
from filbertshelf.bench.processes import Processes
from filbertshelf.clock import SystemClock
from filbertshelf.coordination.queries import Queries
from filbertshelf.coordination.targets import TargetEntry, Targets
from filbertshelf.logs import LogDestination
from filbertshelf.metrics import NullMetrics
from filbertshelf.protocol import target as api
from filbertshelf.protocol.caller import CallerRequest
from filbertshelf.settings import Settings
from filbertshelf.standins.target_config import HostedService, Snapshot, TargetConfig
from filbertshelf.standins.target_host import HostConfig, save_host_config
from filbertshelf.state.documents import Version
from filbertshelf.state.merge import merge_rows
from filbertshelf.state.outcome import Attempt, Reason, Result
from filbertshelf.state.plan import make_plan
from filbertshelf.state.publication import Publication, parse_publication
from filbertshelf.state.quarantine import Quarantine
from filbertshelf.state.replica_choice import choose_replica
from filbertshelf.transport.target_link import Call

SERVICE = "capacity"
HOST = "targets"
REPLICAS = 2
QUOTA = 8
"""Connections of the instance to each target."""
ROUND_SUB_REQUESTS = 2_048
"""Sub-requests per measured round, so a larger fan-out means fewer queries."""
ROUNDS = 5
LATENCY_SAMPLES = 100
DEADLINE_MS = 60_000
ROWS = [
    {"id": f"row-{i:04d}", "depot": f"depot-{i}", "state": "free"} for i in range(4)
]
REQUEST = CallerRequest(
    "query", "capacity", {}, 5, DEADLINE_MS, {"text": "coat rack", "order_by": "id"}
)


@attrs.frozen
class PathCost:
    """CPU time in microseconds per sub-request at one fan-out.

    `total` covers a whole query from the parsed request to the merged answer. `plan`,
    `choose`, `log` and `merge` are parts of it, measured separately; `rest` covers
    scatter, admission, the bookkeeping of links and the event loop.
    """

    fan_out: int
    total: float
    plan: float
    choose: float
    log: float
    merge: float

    @property
    def rest(self) -> float:
        """Return the time not covered by the four measured parts."""
        return self.total - self.plan - self.choose - self.log - self.merge


@attrs.frozen
class SocketCost:
    """The cost of queries over HTTP, the median of the rounds.

    `cpu_us` is the CPU time per sub-request without that of the targets; `query_ms` is
    the duration of a query.
    """

    fan_out: int
    cpu_us: float
    query_ms: float


@attrs.frozen
class Latency:
    """Median latencies in ms of one sub-request, sent directly and by a query."""

    direct_ms: float
    query_ms: float


class _FixedConfiguration:
    """A configuration with a fixed publication."""

    version = Version(1, b"")
    ready = True

    def __init__(self, publication: Publication):
        self.publication = publication


class _UnlimitedRates:
    """A rate limiter without limits."""

    async def take_token(self, *_: Any) -> None:
        """Return immediately."""


class StubLink:
    """Answers each call in the next iteration of the event loop, or never."""

    load = 0
    limit = QUOTA

    def __init__(self, name: str, answer: Mapping[str, Any] | None):
        self._name = name
        self._answer = answer

    def submit(self, call: Call) -> None:
        """Schedule the answer, if the link has one."""
        call.queued_at = call.started_at = time.monotonic()
        if self._answer is not None:
            asyncio.get_running_loop().call_soon(self._finish, call)

    def _finish(self, call: Call) -> None:
        latency = time.monotonic() - call.queued_at
        attempt = Attempt(
            self._name, Result.ANSWERED, Reason.NONE, self._answer, latency
        )
        call.on_done(call, attempt)

    def cancel(self, call: Call) -> None:
        """Do nothing; the answer is already scheduled."""


class StubTargets(Targets):
    """Targets with stub links instead of sockets."""

    answer: Mapping[str, Any] | None = {"rows": ROWS}

    async def _connect(self, entry: TargetEntry) -> None:
        entry.link = StubLink(entry.target.name, self.answer)
        self._entries[entry.target.name] = entry


def publication_document(
    shards: int, addresses: Mapping[str, str], connections: int = QUOTA
) -> dict[str, Any]:
    """Return the publication document of one service, for one instance.

    `addresses` maps the names of the targets to their addresses.
    """
    names = list(addresses)
    replicas = min(REPLICAS, len(names))
    service = {
        "labels": {},
        "index_version": "v1",
        "generation": 1,
        "shards": {
            f"s{i}": [names[(i + k) % len(names)] for k in range(replicas)]
            for i in range(shards)
        },
    }
    targets = {
        name: {
            "address": address,
            "data_centre": "bne-1",
            "labels": {},
            "slots": connections,
            "connections": connections,
        }
        for name, address in addresses.items()
    }
    policy = {
        "selector": "",
        "services": "",
        "deadline_ms": DEADLINE_MS,
        "canary": False,
        "hedge": False,
    }
    return {
        "fleet": {"instances": 1},
        "services": {SERVICE: service},
        "targets": targets,
        "policies": {"all": policy},
    }


def build_publication(shards: int, addresses: Mapping[str, str]) -> Publication:
    """Return the publication of one service on these targets."""
    return parse_publication(publication_document(shards, addresses))


def stub_addresses(count: int) -> dict[str, str]:
    """Return names and addresses of targets to which nothing connects."""
    return {f"leaf-{i}": "127.0.0.1:1" for i in range(count)}


def instance_settings(**changes: Any) -> Settings:
    """Return the settings of the measured instance."""
    return Settings(
        name="capacity",
        data_centre="bne-1",
        fleet_key="a key for measurements",
        platform=("127.0.0.1", 1),
        log_file="/dev/null",
        **changes,
    )


@contextlib.asynccontextmanager
async def open_queries(
    shards: int,
    addresses: Mapping[str, str],
    targets_class: type[Targets] = StubTargets,
    cfg: Settings | None = None,
) -> AsyncIterator[Queries]:
    """Yield the query path to these targets, which logs to the file in the settings."""
    cfg = cfg or instance_settings()
    clock, metrics = SystemClock(), NullMetrics()
    log = LogDestination(cfg)
    targets = targets_class(cfg, clock, random.Random(1), metrics)
    publication = build_publication(shards, addresses)
    await log.start()
    await targets.start()
    try:
        await targets.apply_publication(publication)
        yield Queries(
            cfg,
            clock,
            metrics,
            _FixedConfiguration(publication),
            targets,
            Quarantine(clock, cfg.fleet_key.encode()),
            _UnlimitedRates(),
            lambda: None,
        )
    finally:
        await targets.stop()
        await log.stop()


async def _run_query(queries: Queries, number: int) -> None:
    answer = await queries.answer(f"{number:032x}", REQUEST)
    if answer.coverage.missing:
        raise RuntimeError(
            f"the measured query has missing shards: {answer.coverage.missing[:1]}"
        )


async def _measure_path(fan_out: int, rounds: int) -> PathCost:
    addresses = stub_addresses(max(REPLICAS, fan_out // 4))
    queries_per_round = max(1, ROUND_SUB_REQUESTS // fan_out)
    async with open_queries(fan_out, addresses) as queries:
        await _run_query(queries, 0)
        fastest_s = float("inf")
        for _ in range(rounds):
            start = time.process_time()
            for number in range(queries_per_round):
                await _run_query(queries, number)
            fastest_s = min(fastest_s, time.process_time() - start)
        parts = _measure_parts(queries, fan_out, queries_per_round, rounds)
    total = fastest_s / queries_per_round / fan_out * 1e6
    return PathCost(fan_out, total, **parts)


def _measure_parts(
    queries: Queries, fan_out: int, calls: int, rounds: int
) -> dict[str, float]:
    publication = queries.publication()
    policy = publication.policies["all"]
    plan = make_plan(publication, 1, policy)
    answers = [(SERVICE, ref.shard, {"rows": ROWS}) for ref in plan.shards]
    states = list(queries.targets.states().values())[:REPLICAS]
    rng = random.Random(1)
    sub_calls = calls * fan_out
    return {
        "plan": min_cpu_us(lambda: make_plan(publication, 1, policy), calls, rounds)
        / fan_out,
        "choose": min_cpu_us(lambda: choose_replica(states, rng), sub_calls, rounds),
        "log": min_cpu_us(log_replica_choice, sub_calls, rounds),
        "merge": min_cpu_us(lambda: merge_rows(answers, REQUEST.body), calls, rounds)
        / fan_out,
    }


def log_replica_choice() -> None:
    """Log the choice of a replica, as every sub-request does."""
    events.emit(
        events.REPLICA_CHOSEN,
        request_id="0123456789abcdef0123456789abcdef",
        service=SERVICE,
        shard="s1",
        target="leaf-1",
        attempt=1,
        reason="first attempt: lower cost of two",
    )


def measure_path(fan_outs: Sequence[int], rounds: int = ROUNDS) -> list[PathCost]:
    """Return the CPU time per sub-request without sockets, in the fastest round."""

    async def measure() -> list[PathCost]:
        return [await _measure_path(fan_out, rounds) for fan_out in fan_outs]

    return uvloop.run(measure())


@contextlib.asynccontextmanager
async def run_target_host(shards: int, targets: int) -> AsyncIterator[dict[str, str]]:
    """Run a process with targets that answer quickly; yield their addresses."""
    names = tuple(f"s{i}" for i in range(shards))
    hosted = HostedService(SERVICE, (Snapshot("v1", 1, names),))
    with (
        tempfile.TemporaryDirectory() as folder,
        Processes(Path(folder)) as processes,
    ):
        cfg = HostConfig(
            targets=tuple(
                TargetConfig(
                    name=f"leaf-{i}",
                    services=(hosted,),
                    slots=QUOTA,
                    queue=1_000,
                    connection_cost_ms=0.0,
                    service_ms=0.01,
                )
                for i in range(targets)
            ),
            ready_file=str(processes.ready_file(HOST)),
        )
        path = Path(folder) / "targets.json"
        save_host_config(path, cfg)
        processes.start(HOST, "standin-target", str(path))
        yield dict((await processes.addresses(HOST))["targets"])


async def _measure_sockets(
    fan_out: int, addresses: Mapping[str, str], rounds: int
) -> SocketCost:
    queries_per_round = max(1, ROUND_SUB_REQUESTS // 4 // fan_out)
    cpu, elapsed = [], []
    async with open_queries(fan_out, addresses, Targets) as queries:
        await _run_query(queries, 0)
        for _ in range(rounds):
            start, start_cpu = time.monotonic(), time.process_time()
            for number in range(queries_per_round):
                await _run_query(queries, number)
            cpu.append(time.process_time() - start_cpu)
            elapsed.append(time.monotonic() - start)
    return SocketCost(
        fan_out,
        statistics.median(cpu) / queries_per_round / fan_out * 1e6,
        statistics.median(elapsed) / queries_per_round * 1e3,
    )


async def _measure_latency(addresses: Mapping[str, str], samples: int) -> Latency:
    address = next(iter(addresses.values()))
    one = {"leaf-0": address}
    direct, through_query = [], []
    async with (
        open_queries(1, one, Targets) as queries,
        aiohttp.ClientSession(f"http://{address}") as session,
    ):
        await _run_query(queries, 0)
        await _send_direct(session)
        # Both alternate so that other work on the machine affects them equally.
        for number in range(samples):
            start = time.monotonic()
            await _send_direct(session)
            middle = time.monotonic()
            await _run_query(queries, number)
            direct.append(middle - start)
            through_query.append(time.monotonic() - middle)
    return Latency(
        1e3 * statistics.median(direct), 1e3 * statistics.median(through_query)
    )


async def _send_direct(session: aiohttp.ClientSession) -> None:
    headers = {
        "Content-Type": "application/json",
        api.REQUEST_ID: "direct",
        api.INDEX_VERSION: "v1",
        api.GENERATION: "1",
        api.DEADLINE_MS: str(DEADLINE_MS),
    }
    body = json.dumps({"query": dict(REQUEST.body)}).encode()
    url = api.work_path(SERVICE, "s0", "search")
    async with session.post(url, data=body, headers=headers) as resp:
        json.loads(await resp.read())


def measure_sockets(
    fan_outs: Sequence[int],
    targets: int = 32,
    rounds: int = ROUNDS,
    samples: int = LATENCY_SAMPLES,
) -> tuple[list[SocketCost], Latency]:
    """Return the costs of queries over loopback to one process with targets."""

    async def measure() -> tuple[list[SocketCost], Latency]:
        async with run_target_host(max(fan_outs), targets) as addresses:
            costs = [
                await _measure_sockets(size, addresses, rounds) for size in fan_outs
            ]
            return costs, await _measure_latency(addresses, samples)

    return uvloop.run(measure())
