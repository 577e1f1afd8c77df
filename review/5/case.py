"""Guards against gateways that end because of one unreadable entry in the store."""

from __future__ import annotations

import asyncio
import collections

from standins.caller import Caller, next_id
from standins.fleet import BROKEN, HELD, NOT_RUN, Fleet, route, run_case
from standins.gateway import GatewayProcess
from standins.leaf import Leaf

GATEWAYS = 4
WATCH_S = 30.0
REQUEST_INTERVAL_S = 0.25
RESTART_DELAY_S = 0.5
DEADLINE_S = 1.0
NUMBER_DIGITS = 400
"""Digits of a number that no common type of number can hold."""

OWN_ENDS, MACHINES = 3, 2
"""The rule breaks if processes end by themselves so often on so many machines: three
times on a tenth of the machines, two at least."""

ENTRY = (
    '{"service":"other","address":"127.0.0.1:9","zone":"zone-a","version":"v1",'
    '"slots":2,"state":"ready","seq":1,"coldRemainingMs":%s}'
)


async def supervise(fleet: Fleet, gateway: GatewayProcess, ends: list[int]) -> None:
    """Start a gateway again after each end, as the platform does."""
    while True:
        if gateway.exit_code is not None:
            ends.append(gateway.exit_code)
            fleet.record.add(f"{gateway.name} ended by itself: {gateway.exit_code}")
            await asyncio.sleep(RESTART_DELAY_S)
            await gateway.start()
        await asyncio.sleep(0.05)


async def press(fleet: Fleet, seconds: float) -> collections.Counter[int | None]:
    """Send requests to all gateways in turn and return the answers' statuses."""
    statuses: collections.Counter[int | None] = collections.Counter()
    until = fleet.record.now() + seconds
    while fleet.record.now() < until:
        for gateway in fleet.gateways:
            caller = Caller(gateway.front)
            request_id = next_id()
            ans = await caller.request("GET", "/ficha/1", request_id, DEADLINE_S)
            caller.close()
            status = None if ans is None else ans.status
            statuses[status] += 1
            fleet.record.add(f"{gateway.name} answers {request_id} with {status}")
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return statuses


async def case(fleet: Fleet) -> int:
    """Write the entry of another writer, and watch the processes."""
    leafs = [Leaf("informes", fleet.record, 0.02) for _ in range(3)]
    routes = [route("ficha", "safe", 5000, service="informes")]
    if not await fleet.start(leafs, routes, GATEWAYS):
        return NOT_RUN
    ends: dict[str, list[int]] = {gateway.name: [] for gateway in fleet.gateways}
    watchers = [
        asyncio.create_task(supervise(fleet, gateway, ends[gateway.name]))
        for gateway in fleet.gateways
    ]
    if fleet.trouble:
        fleet.record.say("another writer writes servers/other-1")
        fleet.store.put("servers/other-1", (ENTRY % ("9" * NUMBER_DIGITS)).encode())
    statuses = await press(fleet, WATCH_S)
    for watcher in watchers:
        watcher.cancel()
    await asyncio.gather(*watchers, return_exceptions=True)
    fleet.record.say(f"answers {dict(statuses)}, exit codes {ends}")
    machines = sum(len(codes) >= OWN_ENDS for codes in ends.values())
    if machines >= MACHINES:
        fleet.record.say(f"Fault: {machines} machines with {OWN_ENDS} own ends or more")
        return BROKEN
    return HELD


run_case(__file__, case)
