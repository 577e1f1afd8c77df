"""Tests that leaving targets get no new work and leaving instances lose none."""

from __future__ import annotations

import asyncio

import aiohttp

from filbertshelf.standins.target_config import Faults
from test.fleet import SHARDS

DRAIN_NOTICED_S = 3.0


async def wait_until_draining(fleet, name):
    """Wait until every instance considers the target draining."""
    instances = fleet.instances.values()
    await fleet.until(
        lambda: all(i.targets.states()[name].draining for i in instances),
        DRAIN_NOTICED_S,
    )


async def query_for_seconds(fleet, seconds, count=40):
    answers = []
    for number in range(count):
        _status, answer = await fleet.query(f"i{number % 2}", query={"job": number})
        answers.append(answer)
        await asyncio.sleep(seconds / count)
    return answers


async def test_a_listed_leaving_target_gets_no_new_work(fleet):
    await fleet.start()
    fleet.list_target_as_leaving("t0")
    await wait_until_draining(fleet, "t0")
    fleet.targets["t0"].clear_history()
    answers = await query_for_seconds(fleet, 0.5)
    assert all(answer["outcome"] == "whole" for answer in answers)
    assert fleet.targets["t0"].history().executions == ()


async def test_a_target_that_only_reports_draining_itself_gets_no_new_work(fleet):
    # Guards against waiting for the instance list, which lags. No response can report
    # the drain either, because no query has been sent.
    await fleet.start()
    await fleet.targets["t0"].set_faults(Faults(draining=True))
    await wait_until_draining(fleet, "t0")
    fleet.targets["t0"].clear_history()
    answers = await query_for_seconds(fleet, 0.5)
    assert all(answer["outcome"] == "whole" for answer in answers)
    assert fleet.targets["t0"].history().counters.requests == 0


async def test_a_notice_spreads_the_drain_that_one_instance_detected(fleet):
    await fleet.start()
    first, second = fleet.instances.values()
    first.targets.on_draining("t0")
    await fleet.until(lambda: second.targets.states()["t0"].draining, 1.0)


async def test_a_restarted_target_serves_again(fleet):
    # Guards against a draining state that persists after the target process has been
    # replaced.
    await fleet.start()
    await fleet.targets["t0"].set_faults(Faults(draining=True))
    instances = fleet.instances.values()
    await fleet.until(lambda: all(i.targets.states()["t0"].draining for i in instances))
    await fleet.targets["t0"].set_faults(Faults())
    await fleet.until(
        lambda: not any(i.targets.states()["t0"].draining for i in instances)
    )


async def test_a_stopping_instance_finishes_its_requests_in_flight(fleet):
    # Guards against truncated answers on keep-alive connections and against refusing
    # a request after it was accepted.
    await fleet.start(target_options={"service_ms": 300.0, "sigma": 0.0})
    await fleet.query("i0")
    queries = [
        asyncio.create_task(fleet.query("i0", deadline_ms=5000)) for _ in range(8)
    ]
    ticket = await fleet.ticket("i0")
    booking = asyncio.create_task(fleet.book("i0", ticket))
    await asyncio.sleep(0.1)
    stopping = asyncio.create_task(fleet.instances["i0"].stop())
    for status, answer in await asyncio.gather(*queries):
        assert (status, answer["outcome"]) == (200, "whole")
    _status, booked = await booking
    assert booked["outcome"] == "whole"
    await stopping
    # The peer that received the final ticket table repeats the outcome.
    _status, again = await fleet.book("i1", ticket)
    assert again["rows"] == booked["rows"]
    assert len(fleet.executions("book")) == 1


async def test_a_stopping_instance_answers_not_run_on_a_keep_alive_connection(fleet):
    await fleet.start(target_options={"service_ms": 500.0, "sigma": 0.0})
    host, port = fleet.instances["i0"].caller_server.address
    url = f"http://{host}:{port}/v1/query"
    doc = {"caller": "desk", "query": {}, "deadline_ms": 5000}
    async with aiohttp.ClientSession() as http:
        async with http.get(f"http://{host}:{port}/v1/ready") as resp:
            assert resp.status == 200
        slow = asyncio.create_task(fleet.query("i0", deadline_ms=5000))
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(fleet.instances["i0"].stop())
        await fleet.until(lambda: fleet.instances["i0"].caller_server.stopping)
        async with http.post(url, json=doc) as resp:
            refusal = await resp.json()
            assert resp.status == 503
            assert resp.headers["Connection"] == "close"
    assert (refusal["outcome"], refusal["code"]) == ("not_run", "stopping")
    assert (await slow)[1]["outcome"] == "whole"
    await stopping


async def test_a_stopping_instance_answers_what_it_can_no_longer_run(fleet):
    # Guards against requests that lose their connection without an answer when the
    # drain timeout of their instance ends: one that waits for its target, and one that
    # waits for admission.
    await fleet.start(
        target_options={"service_ms": 4_000.0, "sigma": 0.0},
        max_queries=1,
        drain_timeout=0.4,
    )
    queries = [
        asyncio.create_task(fleet.query("i0", deadline_ms=9_000)) for _ in range(2)
    ]
    instance = fleet.instances["i0"]
    await fleet.until(lambda: instance.queries.admission.waiting == 1)
    await instance.stop()
    answers = await asyncio.gather(*queries)
    outcomes = sorted((status, answer["outcome"]) for status, answer in answers)
    assert outcomes == [(503, "not_run"), (504, "unknown")]


async def test_a_leaving_row_read_before_the_publication_is_applied(fleet):
    # Guards against an instance that sends work to a leaving target because it read
    # the instance list before the publication: the list was applied to no target and
    # then discarded.
    await fleet.start(instances=1)
    fleet.list_target_as_leaving("t0")
    targets = fleet.instances["i0"].targets
    await wait_until_draining(fleet, "t0")
    doc = fleet.publication()
    del doc["targets"]["t0"]
    doc["services"]["racks"]["shards"] = {shard: ["t1"] for shard in SHARDS}
    fleet.platform.publish(doc)
    await fleet.until(lambda: "t0" not in targets.states())
    fleet.publish()
    await fleet.until(lambda: "t0" in targets.states())
    assert targets.states()["t0"].draining
