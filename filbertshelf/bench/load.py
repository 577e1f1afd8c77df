"""An open-loop load generator for the caller API."""

from __future__ import annotations

import asyncio
import collections
import enum
import random
from collections.abc import Iterator, Mapping
from typing import Any

import aiohttp
import attrs
from hdrh.histogram import HdrHistogram

from filbertshelf.clock import Clock
from filbertshelf.standins.profiles import RequestKind

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
RESPONSE_GRACE_S = 1.0
"""Time after its deadline at which an unanswered request counts as failed.

Instances answer by the deadline.
"""


class RequestOutcome(enum.Enum):
    """The outcome of a request from the caller's point of view."""

    WHOLE = "whole"
    PARTIAL = "partial"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    """No usable response, or not sent because too many requests were outstanding."""


ANSWERED_OUTCOMES = frozenset({RequestOutcome.WHOLE, RequestOutcome.PARTIAL})
_OUTCOMES_BY_VALUE = {outcome.value: outcome for outcome in RequestOutcome}


@attrs.frozen(kw_only=True)
class LoadConfig:
    """Configuration of a load."""

    instance_addresses: tuple[str, ...]
    """Addresses of the instances; each request is sent to a random one."""
    mix: tuple[RequestKind, ...]
    rate_per_s: float
    duration_s: float
    seed: int = 1
    max_outstanding: int = 2_000
    """Limit of outstanding requests; others are not sent and count as failed."""


@attrs.frozen
class Arrival:
    """A request to send; `at_s` is its intended time after the start of the load."""

    at_s: float
    number: int
    kind: RequestKind
    instance_address: str


@attrs.frozen(kw_only=True)
class LoadResult:
    """The result of a load.

    Latencies are measured from the intended time of the request. The percentiles cover
    all requests except those refused as not run; a request without a usable response
    counts with the time until its caller stopped waiting.
    """

    sent: int
    counts: Mapping[RequestOutcome, int]
    refusals: Mapping[str, int]
    """Code of the refusal -> number of refused requests."""
    p50_ms: float
    p99_ms: float
    p999_ms: float
    whole_share: float
    """Fraction of all requests with a whole answer."""
    mean_coverage: float
    """Mean fraction of planned shards in whole and partial answers."""
    planned: int
    """Planned shards of the queries that sent sub-requests.

    This is the minimum number of sub-requests for these queries.
    """
    sub_requests: int
    on_time: int
    """Number of answers within the deadline of their request."""
    goodput_per_s: float
    """Answers on time per second.

    Answers after the end of the load are left out, so that requests still queued then
    don't raise the rate.
    """
    urgent_share: float
    """Fraction of requests answered on time, weighted by urgency + 1."""
    max_send_delay_ms: float
    """The longest delay in sending a request, caused by the generator itself."""

    @property
    def extra_sub_requests(self) -> float:
        """Return the sub-requests beyond one per planned shard, as a fraction."""
        return self.sub_requests / self.planned - 1 if self.planned else 0.0


def arrivals(cfg: LoadConfig) -> Iterator[Arrival]:
    """Yield the Poisson arrivals of the load; equal seeds yield equal arrivals."""
    rng = random.Random(f"load/{cfg.seed}")
    weights = [kind.weight for kind in cfg.mix]
    at_s = rng.expovariate(cfg.rate_per_s)
    number = 0
    while at_s < cfg.duration_s:
        kind = rng.choices(cfg.mix, weights)[0]
        yield Arrival(at_s, number, kind, rng.choice(cfg.instance_addresses))
        number += 1
        at_s += rng.expovariate(cfg.rate_per_s)


async def run_load(cfg: LoadConfig, clock: Clock) -> LoadResult:
    """Send the load and return its result.

    It returns at most `RESPONSE_GRACE_S` after the deadline of the last request.
    """
    connector = aiohttp.TCPConnector(limit=0, use_dns_cache=False)
    async with aiohttp.ClientSession(connector=connector) as session:
        return await _LoadRun(cfg, clock, session).run()


class _LoadRun:
    """Sends the requests of one load."""

    def __init__(self, cfg: LoadConfig, clock: Clock, session: aiohttp.ClientSession):
        self._cfg = cfg
        self._clock = clock
        self._session = session
        self._statistics = _LoadStatistics()
        self._outstanding: set[asyncio.Task] = set()
        self._ends_at = 0.0

    async def run(self) -> LoadResult:
        start = self._clock.monotonic()
        self._ends_at = start + self._cfg.duration_s
        for arrival in arrivals(self._cfg):
            intended_at = start + arrival.at_s
            delay_s = intended_at - self._clock.monotonic()
            if delay_s > 0:
                await self._clock.sleep(delay_s)
            self._dispatch(arrival, intended_at)
        if self._outstanding:
            await asyncio.wait(set(self._outstanding))
        return self._statistics.result(self._cfg.duration_s)

    def _dispatch(self, arrival: Arrival, intended_at: float) -> None:
        self._statistics.record_sent(
            arrival.kind, self._clock.monotonic() - intended_at
        )
        if len(self._outstanding) >= self._cfg.max_outstanding:
            deadline_s = arrival.kind.deadline_ms / 1000
            self._statistics.record_outcome(
                arrival.kind, RequestOutcome.FAILED, deadline_s, {}
            )
            return
        task = asyncio.create_task(self._request(arrival, intended_at))
        self._outstanding.add(task)
        task.add_done_callback(self._outstanding.discard)

    async def _request(self, arrival: Arrival, intended_at: float) -> None:
        try:
            doc = await self._post(arrival)
            outcome = _OUTCOMES_BY_VALUE.get(
                doc.get("outcome", ""), RequestOutcome.FAILED
            )
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            doc, outcome = {}, RequestOutcome.FAILED
        now = self._clock.monotonic()
        during_load = now <= self._ends_at
        self._statistics.record_outcome(
            arrival.kind, outcome, now - intended_at, doc, during_load
        )

    async def _post(self, arrival: Arrival) -> Mapping[str, Any]:
        timeout = aiohttp.ClientTimeout(
            total=arrival.kind.deadline_ms / 1000 + RESPONSE_GRACE_S
        )
        async with self._session.post(
            f"http://{arrival.instance_address}/v1/query",
            json=arrival.kind.body(arrival.number),
            timeout=timeout,
        ) as resp:
            doc = await resp.json()
        if not isinstance(doc, dict):
            raise ValueError("the response is not a JSON object")
        return doc


class _LoadStatistics:
    """Collects the statistics of one load."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self._counts: collections.Counter[RequestOutcome] = collections.Counter()
        self._refusals: collections.Counter[str] = collections.Counter()
        self._sent = 0
        self._planned = 0
        self._sub_requests = 0
        self._coverage = 0.0
        self._on_time = 0
        self._on_time_during_load = 0
        self._weight = 0
        self._weight_on_time = 0
        self._max_send_delay_s = 0.0

    def record_sent(self, kind: RequestKind, delay_s: float) -> None:
        self._sent += 1
        self._weight += kind.urgency + 1
        self._max_send_delay_s = max(self._max_send_delay_s, delay_s)

    def record_outcome(
        self,
        kind: RequestKind,
        outcome: RequestOutcome,
        latency_s: float,
        doc: Mapping[str, Any],
        during_load: bool = True,
    ) -> None:
        self._counts[outcome] += 1
        if outcome is RequestOutcome.NOT_RUN:
            self._refusals[str(doc.get("code") or doc.get("reason", ""))] += 1
        else:
            latency_us = max(1, round(latency_s * 1e6))
            self._histogram.record_value(min(latency_us, MAX_LATENCY_US))
        if doc.get("sub_requests"):
            # Sub-requests of queries without an answer are load on the targets too.
            self._sub_requests += doc["sub_requests"]
            self._planned += doc.get("coverage", {}).get("planned", 0)
        if outcome in ANSWERED_OUTCOMES:
            coverage = doc.get("coverage", {})
            planned = coverage.get("planned", 0)
            self._coverage += coverage.get("answered", 0) / planned if planned else 1.0
            if latency_s * 1000 <= kind.deadline_ms:
                self._record_on_time(kind, during_load)

    def _record_on_time(self, kind: RequestKind, during_load: bool) -> None:
        self._on_time += 1
        self._on_time_during_load += during_load
        self._weight_on_time += kind.urgency + 1

    def result(self, duration_s: float) -> LoadResult:
        answers = sum(self._counts[outcome] for outcome in ANSWERED_OUTCOMES)
        return LoadResult(
            sent=self._sent,
            counts={outcome: self._counts[outcome] for outcome in RequestOutcome},
            refusals=dict(self._refusals),
            p50_ms=self._percentile_ms(50),
            p99_ms=self._percentile_ms(99),
            p999_ms=self._percentile_ms(99.9),
            whole_share=_fraction(self._counts[RequestOutcome.WHOLE], self._sent),
            mean_coverage=_fraction(self._coverage, answers),
            planned=self._planned,
            sub_requests=self._sub_requests,
            on_time=self._on_time,
            goodput_per_s=self._on_time_during_load / duration_s,
            urgent_share=_fraction(self._weight_on_time, self._weight),
            max_send_delay_ms=self._max_send_delay_s * 1000,
        )

    def _percentile_ms(self, percentile: float) -> float:
        return self._histogram.get_value_at_percentile(percentile) / 1000


def _fraction(numerator: float, denominator: float) -> float:
    return numerator / denominator if denominator else 0.0
