"""Tests that each answer uses one snapshot and reports its coverage correctly."""

from __future__ import annotations

import asyncio
import collections

import pytest

from filbertshelf.standins.target_config import Faults, HostedService, Snapshot
from test.fleet import SHARDS

QUERIES = 60


def host_versions(target, *versions):
    snapshots = tuple(Snapshot(*version, SHARDS) for version in versions)
    target.set_snapshots(HostedService("racks", snapshots))


def check_answer(answer):
    """Check that rows, coverage and outcome of an answer are consistent."""
    version = answer["snapshot"]["racks"]["index_version"]
    assert {row["version"] for row in answer["rows"]} <= {version}
    states = collections.defaultdict(set)
    for row in answer["rows"]:
        states[row["id"]].add(row["state"])
    assert all(len(seen) == 1 for seen in states.values()), (
        "a row is both booked and free"
    )
    coverage = answer["coverage"]
    missing = {item["shard"] for item in coverage["missing"]}
    assert coverage["planned"] == len(SHARDS)
    assert coverage["answered"] == len(SHARDS) - len(missing)
    assert all(item["reason"] != "none" for item in coverage["missing"])
    assert (answer["outcome"] == "whole") == (not missing)


async def query_steadily(fleet, count=QUERIES, pause=0.01):
    tasks = []
    for number in range(count):
        query = {"order_by": "id", "job": number}
        tasks.append(asyncio.create_task(fleet.query(f"i{number % 2}", query=query)))
        await asyncio.sleep(pause)
    return [answer for _status, answer in await asyncio.gather(*tasks)]


async def test_no_answer_mixes_versions_during_an_index_rollout(fleet):
    # Guards against merging rows from a replica that already serves the next version.
    await fleet.start()
    querying = asyncio.create_task(query_steadily(fleet))
    for target in fleet.targets.values():
        host_versions(target, ("v1", 1), ("v2", 2))
        await asyncio.sleep(0.05)
    fleet.publish(version="v2", generation=2)
    await asyncio.sleep(0.15)
    for target in fleet.targets.values():
        host_versions(target, ("v2", 2))
    answers = await querying
    for answer in answers:
        check_answer(answer)
    versions = collections.Counter(
        a["snapshot"]["racks"]["index_version"] for a in answers
    )
    assert set(versions) == {"v1", "v2"}
    assert all(answer["outcome"] == "whole" for answer in answers)


async def test_a_query_is_replanned_when_no_target_hosts_its_version_any_more(fleet):
    # Guards against a partial answer when replanning within the deadline avoids it.
    await fleet.start()
    for target in fleet.targets.values():
        host_versions(target, ("v2", 2))
    query = asyncio.create_task(fleet.query(deadline_ms=4000))
    await asyncio.sleep(0.1)
    fleet.publish(version="v2", generation=2)
    _status, answer = await query
    assert answer["outcome"] == "whole"
    assert answer["snapshot"]["racks"] == {"index_version": "v2", "generation": 2}
    check_answer(answer)


async def test_without_the_version_the_answer_is_not_run_and_lists_each_shard(fleet):
    await fleet.start()
    for target in fleet.targets.values():
        host_versions(target, ("v9", 9))
    status, answer = await fleet.query(deadline_ms=600)
    assert (status, answer["outcome"]) == (503, "not_run")
    reasons = {item["reason"] for item in answer["coverage"]["missing"]}
    assert reasons == {"other_snapshot"}
    assert fleet.executions() == []


@pytest.mark.parametrize("goal", ["coverage", "tail"])
async def test_a_shard_without_replicas_makes_the_answer_partial(fleet, goal):
    # Guards against omitting an unavailable shard from the planned count.
    await fleet.start(targets=2, policy={"goal": goal, "partial_after_ms": 100})
    doc = fleet.publication()
    doc["services"]["racks"]["shards"]["s2"] = ["t1"]
    doc["policies"]["all"].update(goal=goal, partial_after_ms=100)
    fleet.platform.publish(doc)
    await fleet.until(
        lambda: all(
            i.configuration.version.revision == 2 for i in fleet.instances.values()
        )
    )
    await fleet.targets["t1"].set_faults(Faults(down=True))
    status, answer = await fleet.query(deadline_ms=1000)
    assert (status, answer["outcome"]) == (200, "partial")
    assert [item["shard"] for item in answer["coverage"]["missing"]] == ["s2"]
    check_answer(answer)


async def test_an_empty_shard_is_not_reported_missing(fleet):
    await fleet.start(target_options={"rows_per_shard": 0})
    _status, answer = await fleet.query()
    assert (answer["outcome"], answer["rows"]) == ("whole", [])


async def test_hedged_requests_that_both_answer_count_once(fleet):
    # Guards against duplicate rows of one shard in an answer.
    await fleet.start(target_options={"sigma": 1.5, "service_ms": 4.0})
    answers = await query_steadily(fleet, 150, 0.002)
    # A busy machine may refuse some of the 500 queries per second.
    refused = [answer for answer in answers if answer["outcome"] == "not_run"]
    assert {answer["code"] for answer in refused} <= {"overloaded"}
    assert not any(answer.get("rows") for answer in refused)
    assert len(refused) < len(answers) / 2
    for answer in answers:
        if answer in refused:
            continue
        check_answer(answer)
        ids = [row["id"] for row in answer["rows"]]
        assert len(ids) == len(set(ids))
