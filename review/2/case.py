"""Guards against an unsafe request that runs twice, or is refused though it ran.

A leaf without room refuses a request; the gateway sends it again over the same
connection; a late extra copy of the refusal arrives where the answer to the second
sending is due, and bears the same id.
"""

from __future__ import annotations

import asyncio
import collections
import random

from standins.caller import Caller, next_id
from standins.fleet import BROKEN, HELD, NOT_RUN, Fleet, route, run_case
from standins.http import Message
from standins.leaf import Leaf

EXTRA_SHARE = 0.03
"""The share of its answers that a faulty leaf sends again late."""

LEAFS, EXTRA_LEAFS = 5, 3
"""How many leafs there are, and how many of them, 0.6, send such answers."""

WORK_S, SLOTS, QUEUE = 0.04, 2, 2
GATEWAYS = 12
TROUBLE_S = 5.0
ROUNDS = 13
CALLERS = 24
DEADLINE_S = 5.0
PROMISES = (408, 421, 429, 503)


class FaultyLeaf(Leaf):
    """A leaf that may send an answer a second time, before the next one."""

    faulty = False
    extras = 0

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._late: dict[asyncio.StreamWriter, bytes] = {}
        self._rng = random.Random(self.id)

    async def before_answer(
        self, writer: asyncio.StreamWriter, request: Message
    ) -> None:
        """Send the late copy of the last answer on this connection, if there is one."""
        late = self._late.pop(writer, b"")
        if late:
            self.extras += 1
            first = late.split(b"\r\n")[0].decode()
            self.record.add(f"leaf {self.id} sends an extra answer late: {first}")
            writer.write(late)

    async def answer(self, writer: asyncio.StreamWriter, request: Message) -> None:
        """Answer, and remember some answers to send them again."""
        data = await self.respond(request)
        writer.write(data)
        await writer.drain()
        if self.faulty and self._rng.random() < EXTRA_SHARE:
            self._late[writer] = data


async def case(fleet: Fleet) -> int:
    """Press unsafe requests on a small service, some of whose leafs are faulty."""
    leafs = [
        FaultyLeaf("cabina", fleet.record, WORK_S, SLOTS, QUEUE) for _ in range(LEAFS)
    ]
    routes = [route("ficha", "unsafe", 5000, service="cabina", maxAttempts=1)]
    if not await fleet.start(leafs, routes, gateways=GATEWAYS):
        return NOT_RUN
    answers: dict[str, int | None] = {}
    for _ in range(ROUNDS):
        for leaf in leafs[:EXTRA_LEAFS]:
            leaf.faulty = fleet.trouble
        await press(fleet, answers, TROUBLE_S)
        for leaf in leafs:
            leaf.faulty = False
        await press(fleet, answers, 1.0)
    return judge(fleet, answers)


async def press(fleet: Fleet, answers: dict, seconds: float) -> None:
    """Let many requesters send unsafe requests one after the other."""
    until = fleet.record.now() + seconds

    async def send(number: int) -> None:
        caller = Caller(fleet.gateways[number % len(fleet.gateways)].front)
        while fleet.record.now() < until:
            request_id = next_id()
            fleet.record.add(f"requester {number} sends {request_id}")
            ans = await caller.request(
                "POST", f"/ficha/{request_id}", request_id, DEADLINE_S, b"book"
            )
            answers[request_id] = None if ans is None else ans.status
            fleet.record.add(
                f"requester {number} gets {request_id} {answers[request_id]}"
            )
            await asyncio.sleep(0.02)
        caller.close()

    await asyncio.gather(*(send(number) for number in range(CALLERS)))


def judge(fleet: Fleet, answers: dict[str, int | None]) -> int:
    """Compare the runs with the answers."""
    runs = collections.Counter(id_ for leaf in fleet.leafs for id_ in leaf.runs)
    twice = [id_ for id_, count in runs.items() if count > 1]
    refused = [
        id_ for id_, status in answers.items() if status in PROMISES and runs[id_]
    ]
    for id_ in twice:
        fleet.record.say(f"TWICE: {id_} ran {runs[id_]} times, answered {answers[id_]}")
    for id_ in refused:
        fleet.record.say(f"REFUSED: {id_} ran and was answered {answers[id_]}")
    statuses = collections.Counter(answers.values())
    extras = sum(leaf.extras for leaf in fleet.leafs)
    fleet.record.say(
        f"{len(answers)} requests, answers {dict(statuses)}, extras {extras}"
    )
    return BROKEN if twice or refused else HELD


run_case(__file__, case)
