"""Work, limits and faults of the target stand-in."""

import asyncio

import aiohttp
import pytest

from filbertshelf.clock import ManualClock
from filbertshelf.protocol import target as api
from filbertshelf.standins.target import Faults, HostedService, Snapshot


def refused(reply, status, reason):
    return (reply.status, reply.headers[api.REASON], reply.headers[api.NOT_RUN]) == (
        status,
        reason,
        "true",
    )


async def test_an_answer_carries_its_request_id_and_snapshot(target):
    async with target() as client:
        query = {"filter": {"state": "free"}, "order_by": "id", "limit": 1}
        reply = await client.work("r7", body={"query": query})
        assert reply.status == 200
        assert reply.headers[api.REQUEST_ID] == "r7"
        assert reply.headers[api.INDEX_VERSION] == "v1"
        assert reply.headers[api.STATE] == api.SERVING
        assert [row["state"] for row in reply.body["rows"]] == ["free"]


async def test_the_state_of_a_row_differs_between_consecutive_versions(target):
    # Guards against versions with equal rows, which would hide a mixed answer.
    async with target() as client:
        old = await client.work()
        new = await client.work(
            Filbertshelf_Index_Version="v2", Filbertshelf_Generation="2"
        )
        rows = zip(old.body["rows"], new.body["rows"], strict=True)
        assert all(a["id"] == b["id"] and a["state"] != b["state"] for a, b in rows)
        other = await client.work(Filbertshelf_Generation="2")
        assert refused(other, 409, "other_snapshot")


async def test_a_replaced_snapshot_is_refused(target):
    async with target() as client:
        service = HostedService("quote", (Snapshot("v3", 3, ("s0",)),))
        client.standin.set_snapshots(service)
        assert refused(await client.work(), 409, "other_snapshot")


async def test_work_beyond_a_full_queue_is_refused_as_overloaded(target, until):
    clock = ManualClock()
    async with target(clock, slots=1, queue=1) as client:
        running = asyncio.create_task(client.work("r1"))
        queued = asyncio.create_task(client.work("r2"))
        await until(lambda: client.standin.in_flight == 2)
        assert refused(await client.work("r3"), 503, "overloaded")
        clock.advance(60)
        await running
        clock.advance(60)
        await until(lambda: clock.advance(60) or queued.done())
        assert queued.result().status == 200
        history = client.standin.history()
        assert [run.request_id for run in history.executions] == ["r1", "r2"]
        assert history.executions[1].start >= history.executions[0].end
        assert history.counters.peak_in_flight == 1


async def test_cancelled_work_ends_with_499(target, until):
    clock = ManualClock()
    async with target(clock, slots=1) as client:
        running = asyncio.create_task(client.work("r1"))
        await until(lambda: client.standin.in_flight == 1)
        queued = asyncio.create_task(client.work("r2"))
        await until(lambda: client.standin.in_flight == 2)
        for name in ("r2", "r1"):
            assert (await client.send("DELETE", f"/v1/work/{name}")).status == 200
        assert refused(await queued, 499, "cancelled")
        reply = await running
        assert (reply.status, reply.headers[api.REASON]) == (499, "cancelled")
        assert api.NOT_RUN not in reply.headers
        assert [run.ended for run in client.standin.history().executions] == [
            "cancelled"
        ]


async def test_queued_work_past_its_deadline_does_not_start(target, until):
    clock = ManualClock()
    async with target(clock, slots=1) as client:
        running = asyncio.create_task(client.work("r1"))
        await until(lambda: client.standin.in_flight == 1)
        late = asyncio.create_task(client.work("r2", Filbertshelf_Deadline_Ms="50"))
        await until(lambda: client.standin.in_flight == 2)
        clock.advance(60)
        await running
        assert refused(await late, 503, "timeout")
        assert client.standin.history().counters.executions == 1


async def test_a_running_search_stops_at_its_deadline(target, until):
    clock = ManualClock()
    async with target(clock, service_ms=500.0, sigma=0.0) as client:
        reply = asyncio.create_task(client.work("r1", Filbertshelf_Deadline_Ms="50"))
        await until(lambda: client.standin.in_flight == 1)
        clock.advance(0.05)
        assert (await reply).status == 504


async def test_only_the_first_request_of_a_connection_pays_its_setup_cost(
    target, until
):
    clock = ManualClock()
    async with target(clock, connection_cost_ms=6.0, service_ms=0.0) as client:
        session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10))
        client.session = session
        async with session:
            first = asyncio.create_task(client.work("r1"))
            await until(lambda: clock.advance(0.001) or first.done())
            assert clock.monotonic() >= 0.006
            second = asyncio.create_task(client.work("r2"))
            await until(lambda: client.standin.in_flight == 1 or second.done())
            clock.advance(0)
            await second
        assert client.standin.history().counters.connections_opened == 1


async def test_connections_over_the_limit_are_closed(target, until):
    async with target(connections=1) as client:
        host, _, port = client.standin.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        await until(lambda: client.standin.history().counters.connections_opened)
        with pytest.raises(aiohttp.ClientConnectionError):
            await client.work()
        counters = client.standin.history().counters
        assert (counters.connections_refused, counters.peak_connections) == (1, 1)
        writer.close()
        await writer.wait_closed()


async def test_a_booking_sent_twice_is_recorded_twice(target):
    # Guards against a stand-in that hides a duplicated booking.
    async with target() as client:
        for name in ("r1", "r2"):
            body = {"booking": {"rack": "a"}}
            reply = await client.work(name, "book", body, Idempotency_Key="k1")
            assert reply.body == {"booked": "t1/k1"}
        runs = client.standin.history().executions
        assert [run.idempotency_key for run in runs] == ["k1", "k1"]
        assert all(run.end >= run.start for run in runs)


async def test_a_draining_target_refuses_work_and_can_report_serving(target):
    async with target() as client:
        await client.standin.set_faults(Faults(draining=True))
        reply = await client.work()
        assert refused(reply, 503, "draining")
        assert reply.headers[api.STATE] == api.DRAINING
        await client.standin.set_faults(Faults(draining=True, hide_draining=True))
        assert (await client.work()).headers[api.STATE] == api.SERVING


@pytest.mark.parametrize("refuses", [True, False])
async def test_a_cold_target_refuses_or_is_slow(target, until, refuses):
    clock = ManualClock()
    cold = {"starts_cold": True, "cold_s": 10.0, "cold_factor": 8.0}
    async with target(
        clock, cold_refuses=refuses, service_ms=100.0, sigma=0.0, **cold
    ) as client:
        reply = asyncio.create_task(client.work())
        await until(lambda: reply.done() or client.standin.in_flight == 1)
        if refuses:
            assert refused(await reply, 503, "cold")
        clock.advance(0.79)
        await asyncio.sleep(0.01)
        assert reply.done() is refuses
        clock.advance(0.02)
        await reply


async def test_the_reported_load_can_be_forged_or_delayed(target, until):
    clock = ManualClock()
    async with target(clock, service_ms=0.0) as client:
        await client.standin.set_faults(Faults(reported_load=99))
        assert (await client.send("GET", "/v1/health")).headers[api.LOAD] == "99"
        await client.standin.set_faults(Faults(load_lag_s=5.0))
        busy = asyncio.create_task(client.work())
        await until(lambda: client.standin.in_flight == 1)
        assert (await client.send("GET", "/v1/health")).headers[api.LOAD] == "0"
        clock.advance(5)
        await busy
        assert (await client.send("GET", "/v1/health")).headers[api.LOAD] == "1"


async def test_a_straggler_multiplies_the_service_time(target, until):
    clock = ManualClock()
    async with target(clock, service_ms=10.0, sigma=0.0) as client:
        await client.standin.set_faults(Faults(straggle=20.0))
        reply = asyncio.create_task(client.work())
        await until(lambda: client.standin.in_flight == 1)
        clock.advance(0.199)
        await asyncio.sleep(0.01)
        assert not reply.done()
        clock.advance(0.002)
        assert (await reply).status == 200


async def test_fail_fast_answers_500_without_running(target):
    async with target() as client:
        await client.standin.set_faults(Faults(fail_fast=True))
        reply = await client.work()
        assert (reply.status, reply.headers[api.REASON]) == (500, "target_error")
        assert client.standin.history().counters.executions == 0


async def test_a_black_hole_never_answers(target, until):
    async with target() as client:
        await client.standin.set_faults(Faults(black_hole=True))
        reply = asyncio.create_task(client.work())
        await until(lambda: client.standin.history().counters.connections_opened)
        await asyncio.sleep(0.05)
        assert not reply.done()
        await client.standin.set_faults(Faults())
        with pytest.raises(aiohttp.ClientConnectionError):
            await reply


async def test_a_response_can_be_reset_after_some_bytes(target):
    async with target() as client:
        await client.standin.set_faults(Faults(reset_after_bytes=20))
        with pytest.raises(aiohttp.ClientError):
            await client.work()
        assert [run.ended for run in client.standin.history().executions] == ["done"]


async def test_a_poisoned_query_crashes_the_target_for_a_while(target, until):
    clock = ManualClock()
    async with target(clock, slots=2, crash_down_s=5.0) as client:
        running = asyncio.create_task(client.work("r1"))
        await until(lambda: client.standin.in_flight == 1)
        with pytest.raises(aiohttp.ClientConnectionError):
            await client.work("r2", body={"query": {"poison": True}})
        with pytest.raises(aiohttp.ClientConnectionError):
            await running
        with pytest.raises(aiohttp.ClientConnectionError):
            await client.work("r3")
        await until(lambda: clock.advance(1) or client.standin.listening)
        reply = asyncio.create_task(client.work("r4"))
        await until(lambda: clock.advance(1) or reply.done())
        assert (await reply).status == 200
        runs = client.standin.history().executions
        assert {(run.request_id, run.ended) for run in runs} == {
            ("r1", "crashed"),
            ("r2", "crashed"),
            ("r4", "done"),
        }


async def test_a_target_that_was_down_listens_on_the_same_address_again(target):
    async with target() as client:
        await client.standin.set_faults(Faults(down=True))
        with pytest.raises(aiohttp.ClientConnectionError):
            await client.work()
        await client.standin.set_faults(Faults())
        assert (await client.work()).status == 200
