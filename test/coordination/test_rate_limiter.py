"""Unused tokens of a fleet-wide rate limit move to the instances that need them."""

from __future__ import annotations

import asyncio
import time

from filbertshelf import events
from filbertshelf.state.limits import burst_bound
from filbertshelf.state.publication import Fleet

RATE = 60.0
SHARES = Fleet(instances=2, overlap=1)


async def send_steadily(fleet, count, interval_s):
    started = time.monotonic()
    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(fleet.query("i0", query={"job": number})))
        await asyncio.sleep(interval_s)
    answers = [answer for _status, answer in await asyncio.gather(*tasks)]
    answered = sum(answer["outcome"] == "whole" for answer in answers)
    refused = {answer["code"] for answer in answers if answer["outcome"] == "not_run"}
    return answered, refused, time.monotonic() - started


async def test_a_busy_instance_gets_unused_tokens_of_an_idle_one(fleet, log):
    # Guards against tokens that stay unused at an idle instance, and against tokens
    # that are spent twice.
    await fleet.start(policy={"rate_per_s": RATE, "canary": False})
    assert fleet.publication()["fleet"] == {"instances": 2, "overlap": 1}
    answered, refused, elapsed = await send_steadily(fleet, 200, 0.01)
    assert refused == {"rate_limited"}
    assert answered <= RATE * elapsed + burst_bound(RATE, SHARES)
    received_lines = [
        line for line in log if line.get("event") == events.RATE_TOKENS_RECEIVED.number
    ]
    assert received_lines
    # This instance's own share, including its burst, would allow fewer.
    assert answered > RATE / 3 * (elapsed + 0.25)


async def test_a_partitioned_instance_is_limited_to_its_own_share(fleet):
    # Guards against both sides of a partition spending the whole limit.
    await fleet.start(policy={"rate_per_s": RATE, "canary": False})
    first, second = fleet.instances.values()
    first.peers.blocked.add(second.peers.address)
    second.peers.blocked.add(first.peers.address)
    await fleet.until(lambda: first.membership.member_count() == 1)
    answered, _refused, elapsed = await send_steadily(fleet, 200, 0.01)
    assert answered <= RATE / 3 * (elapsed + 0.25) + 1
