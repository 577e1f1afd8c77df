"""Arrivals, latencies and outcome counts of the load generator."""

import asyncio
import contextlib
import itertools
import time

import pytest
from aiohttp import web

from filbertshelf.bench.load import LoadConfig, RequestOutcome, arrivals, run_load
from filbertshelf.clock import SystemClock
from filbertshelf.standins.deployments import HATSTAND
from filbertshelf.standins.profiles import RequestKind

KIND = RequestKind(
    name="quote",
    weight=1.0,
    callers=("anna",),
    labels={"desk": "quote"},
    urgency=4,
    deadline_ms=5_000,
    query={},
)


def answer(outcome="whole", planned=4, answered=4, sub_requests=5):
    coverage = {"planned": planned, "answered": answered, "missing": []}
    return {"outcome": outcome, "coverage": coverage, "sub_requests": sub_requests}


@contextlib.asynccontextmanager
async def running_instance(handle):
    app = web.Application()
    app.router.add_post("/v1/query", handle)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    try:
        yield f"{host}:{port}"
    finally:
        await runner.cleanup()


async def load(handle, kinds=(KIND,), **changes):
    async with running_instance(handle) as address:
        cfg = {"rate_per_s": 200.0, "duration_s": 0.4, **changes}
        return await run_load(
            LoadConfig(instance_addresses=(address,), mix=kinds, **cfg), SystemClock()
        )


def test_equal_seeds_yield_equal_arrivals_at_the_configured_rate():
    def draw_arrivals(seed):
        cfg = LoadConfig(
            instance_addresses=("a", "b"),
            mix=HATSTAND.requests,
            rate_per_s=100.0,
            duration_s=100.0,
            seed=seed,
        )
        return list(arrivals(cfg))

    first = draw_arrivals(1)
    assert first == draw_arrivals(1)
    assert first != draw_arrivals(2)
    # The tolerance is 4 standard deviations of a Poisson count of 10,000.
    assert abs(len(first) - 10_000) < 400
    assert {arrival.instance_address for arrival in first} == {"a", "b"}


@pytest.mark.parametrize("blocks_sender", [False, True])
async def test_a_stall_increases_the_latency_of_every_request_that_it_delays(
    blocks_sender,
):
    # Guards against coordinated omission: a generator that waits for the stalled
    # request, or that measures from the actual send time, sees just one slow request.
    stalled_until = []

    async def handle(req):
        if not stalled_until:
            stalled_until.append(time.monotonic() + 0.3)
            if blocks_sender:
                time.sleep(0.3)  # noqa: ASYNC251
        await asyncio.sleep(max(0.0, stalled_until[0] - time.monotonic()))
        return web.json_response(answer())

    result = await load(handle)
    # Half of the load arrives within the first 0.2 s and waits for at least 0.1 s.
    assert result.p50_ms > 80
    assert result.counts[RequestOutcome.WHOLE] == result.sent


async def test_every_request_is_counted_by_its_outcome():
    responses = itertools.cycle(
        [
            (200, answer()),
            (200, answer("partial", answered=1)),
            (429, {"outcome": "not_run", "code": "overloaded"}),
            (504, answer("unknown", answered=0)),
            (500, {"message": "broken"}),
        ]
    )

    async def handle(req):
        status, document = next(responses)
        return web.json_response(document, status=status)

    result = await load(handle)
    counts = result.counts
    assert result.sent > 40
    assert sum(counts.values()) == result.sent
    assert max(counts.values()) - min(counts.values()) <= 1
    assert result.refusals == {"overloaded": counts[RequestOutcome.NOT_RUN]}
    answers = counts[RequestOutcome.WHOLE] + counts[RequestOutcome.PARTIAL]
    assert result.on_time == answers
    assert result.urgent_share == pytest.approx(answers / result.sent)
    assert 0.5 < result.mean_coverage < 0.75
    assert result.extra_sub_requests == pytest.approx(0.25)


async def test_requests_beyond_the_outstanding_limit_count_as_failed():
    # Guards against requests that are dropped without being counted.
    release = asyncio.Event()

    async def handle(req):
        await release.wait()
        return web.json_response(answer())

    asyncio.get_running_loop().call_later(1.0, release.set)
    result = await load(handle, max_outstanding=3)
    assert result.counts[RequestOutcome.WHOLE] == 3
    assert result.counts[RequestOutcome.FAILED] == result.sent - 3
    assert result.p99_ms >= KIND.deadline_ms * 0.99


async def test_the_urgent_share_weights_requests_by_urgency():
    def kind(urgency, deadline_ms):
        return RequestKind(
            name=str(urgency),
            weight=1.0,
            callers=("c",),
            labels={},
            urgency=urgency,
            deadline_ms=deadline_ms,
            query={},
        )

    async def handle(req):
        urgent = (await req.json())["urgency"] == 9
        document = answer() if urgent else {"outcome": "not_run", "code": "overloaded"}
        return web.json_response(document, status=200 if urgent else 429)

    result = await load(handle, kinds=(kind(9, 5_000), kind(0, 5_000)))
    urgent = result.counts[RequestOutcome.WHOLE]
    not_run = result.counts[RequestOutcome.NOT_RUN]
    assert result.urgent_share == pytest.approx(10 * urgent / (10 * urgent + not_run))


async def test_a_request_without_a_response_counts_as_failed():
    async def handle(req):
        await asyncio.sleep(60)

    silent = RequestKind(
        name="s",
        weight=1.0,
        callers=("c",),
        labels={},
        urgency=1,
        deadline_ms=1,
        query={},
    )
    result = await load(handle, kinds=(silent,), duration_s=0.05)
    assert result.counts[RequestOutcome.FAILED] == result.sent > 0
