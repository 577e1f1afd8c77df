"""Links are updated to the publication without losing observed state or calls."""

from __future__ import annotations

import asyncio

from filbertshelf.standins.target_config import Faults
from test.fleet import SHARDS


async def publish(fleet, **fleet_size):
    doc = fleet.publication()
    doc["fleet"].update(fleet_size)
    revision = fleet.platform.publish(doc)
    await fleet.until(
        lambda: all(
            instance.configuration.version.revision == revision
            for instance in fleet.instances.values()
        )
    )


async def test_a_new_fleet_size_keeps_observations_and_queued_calls(fleet):
    # Guards against a quota change that sends work to a draining target again, and
    # against losing queued sub-requests with the old connections.
    options = {"service_ms": 100.0, "sigma": 0.0}
    await fleet.start(target_options=options)
    await fleet.targets["t0"].set_faults(Faults(draining=True))
    instance = fleet.instances["i0"]
    await fleet.until(lambda: instance.targets.states()["t0"].draining)
    await fleet.targets["t0"].set_faults(Faults(draining=True, hide_draining=True))
    queries = [
        asyncio.create_task(fleet.query("i0", query={"job": number}, deadline_ms=8000))
        for number in range(20)
    ]
    await asyncio.sleep(0.05)
    state = instance.targets.states()["t1"]
    await publish(fleet, instances=15)
    answers = [answer for _status, answer in await asyncio.gather(*queries)]
    assert {answer["outcome"] for answer in answers} == {"whole"}
    assert instance.targets.states()["t1"] is state


async def test_calls_running_at_a_removed_target_are_finished(fleet):
    # Guards against a publication that aborts running calls.
    await fleet.start(target_options={"service_ms": 200.0, "sigma": 0.0})
    query = asyncio.create_task(fleet.query("i0", deadline_ms=5000))
    await asyncio.sleep(0.1)
    doc = fleet.publication()
    del doc["targets"]["t0"]
    doc["services"]["racks"]["shards"] = {shard: ["t1"] for shard in SHARDS}
    fleet.platform.publish(doc)
    status, answer = await query
    assert (status, answer["outcome"]) == (200, "whole")
