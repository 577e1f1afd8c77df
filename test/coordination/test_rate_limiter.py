"""Unused tokens of a fleet-wide rate move to where the demand is."""

from __future__ import annotations

import asyncio
import time

from filbertshelf import events
from filbertshelf.state.limits import burst_bound
from filbertshelf.state.publication import Fleet

RATE = 60.0
SHARES = Fleet(instances=2, overlap=1)


async def send_steadily(fleet, count, pause):
    started = time.monotonic()
    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(fleet.query("i0", query={"job": number})))
        await asyncio.sleep(pause)
    answers = [answer for _status, answer in await asyncio.gather(*tasks)]
    taken = sum(answer["outcome"] == "whole" for answer in answers)
    refused = {answer["code"] for answer in answers if answer["outcome"] == "not_run"}
    return taken, refused, time.monotonic() - started


async def test_one_busy_instance_gets_the_tokens_of_an_idle_one(fleet, log):
    # Guards against a limit of which an idle instance keeps its part unused, and
    # against tokens that are handed out twice.
    await fleet.start(policy={"rate_per_s": RATE, "canary": False})
    assert fleet.publication()["fleet"] == {"instances": 2, "overlap": 1}
    taken, refused, elapsed = await send_steadily(fleet, 200, 0.01)
    assert refused == {"rate_limited"}
    assert taken <= RATE * elapsed + burst_bound(RATE, SHARES)
    moved = [m for m in log if m.get("event") == events.RATE_TOKENS_RECEIVED.number]
    assert moved
    # More than the own share, burst included, could have given.
    assert taken > RATE / 3 * (elapsed + 0.25)


async def test_a_cut_off_instance_keeps_to_its_own_share(fleet):
    # Guards against handing the whole limit out twice when the fleet is cut in two.
    await fleet.start(policy={"rate_per_s": RATE, "canary": False})
    first, second = fleet.instances.values()
    first.peers.blocked.add(second.peers.address)
    second.peers.blocked.add(first.peers.address)
    await fleet.until(lambda: first.membership.member_count() == 1)
    taken, _refused, elapsed = await send_steadily(fleet, 200, 0.01)
    assert taken <= RATE / 3 * (elapsed + 0.25) + 1
