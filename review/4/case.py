"""Guards against requests that a stopping gateway drops without an answer.

They wait in the gateway for one of its few connections to the leafs when its grace
period ends.
"""

from __future__ import annotations

import asyncio
import collections
import signal

from standins.caller import Caller, next_id
from standins.fleet import BROKEN, HELD, NOT_RUN, Fleet, route, run_case
from standins.http import Message
from standins.leaf import Leaf

GATEWAYS = 8
LEAFS = 3
SLOTS = 24
"""The slots of a leaf; all three have room for many more requests than are sent."""

MAX_CONNS = 58
WORK_S = 4.0
TIMEOUT_S = 5.0
"""The route's timeout and the time budget of each request, in seconds."""

REQUESTS = 60
"""Requests that come at the same time; the leafs have more slots than that."""

SENT_AFTER_S = 0.9
"""From the SIGTERM to the requests, in seconds. The platform asks for readiness each
second and takes a gateway out after two misses, so this one still gets requests."""

GRACE_S = 6.0
LOSS_SLACK_S = 0.2


class CountingLeaf(Leaf):
    """A leaf that notes the requests that have reached it."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.reached: set[str] = set()

    async def respond(self, request: Message) -> bytes:
        """Note the request and respond to it."""
        self.reached.add(request.headers.get("request-id", ""))
        return await super().respond(request)


async def case(fleet: Fleet) -> int:
    """Stop a gateway while some of its requests wait for a connection."""
    leafs = [CountingLeaf("cabina", fleet.record, WORK_S, SLOTS) for _ in range(LEAFS)]
    routes = [route("ficha", "unsafe", int(TIMEOUT_S * 1000), service="cabina")]
    if not await fleet.start(leafs, routes, GATEWAYS, MAX_CONNS):
        return NOT_RUN
    gateway = fleet.gateways[0]
    outcomes: collections.Counter[str] = collections.Counter()
    lost: list[str] = []

    async def send() -> None:
        caller = Caller(gateway.front)
        request_id = next_id()
        fleet.record.add(f"requester sends {request_id}")
        sent_at = fleet.record.now()
        ans = await caller.request(
            "POST", f"/ficha/{request_id}", request_id, TIMEOUT_S, b"book"
        )
        took_s = fleet.record.now() - sent_at
        caller.close()
        reached = any(request_id in leaf.reached for leaf in leafs)
        what = "no answer" if ans is None else str(ans.status)
        outcomes[f"{what}, {'reached' if reached else 'never reached'} a leaf"] += 1
        fleet.record.add(f"requester gets {request_id} {what} after {took_s:.2f} s")
        # What a leaf still worked on is excused.
        if ans is None and not reached and took_s > LOSS_SLACK_S:
            lost.append(request_id)

    if fleet.trouble:
        fleet.record.say("SIGTERM to front-1")
        gateway.signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    await asyncio.gather(*(send() for _ in range(REQUESTS)))
    fleet.record.say(str(dict(outcomes)))
    for request_id in lost:
        fleet.record.say(f"LOST: {request_id} got no answer and reached no leaf")
    if fleet.trouble and gateway.exit_code is None:
        await asyncio.sleep(GRACE_S)
    fleet.record.say(f"exit code of front-1: {gateway.exit_code}")
    return BROKEN if lost else HELD


run_case(__file__, case)
