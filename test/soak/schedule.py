"""Random sequences of faults and maintenance, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from test.soak.callers import Caller, send_without_reading
from test.soak.checks import EVACUATE_S
from test.soak.fleet import ZONES, SoakFleet
from test.soak.history import RateLimit
from test.soak.proxy import ENDLESS_BYTES, Proxy

COLD_LEARNING_S = 3.0
"""How long gateways may take to learn that a running target has turned cold.

A gateway without peers polls the store every 1.75 s.
"""

SLOW_CALLERS = 12
BURST_CALLERS = 60
BURST_S = 4.0
RETURN_S = 8.0
"""How long callers go on after the end of an evacuation, in seconds.

With the wait for the last answers it exceeds the 10 s after which a gateway closes the
connection of a caller that reads nothing.
"""

Step = Callable[[SoakFleet], Awaitable[None]]


async def restart_gateways(fleet: SoakFleet) -> None:
    """Restart two gateways in quick succession."""
    chosen = fleet.rng.sample(fleet.gateways, 2)
    for gateway in chosen:
        fleet.spawn(fleet.restart_gateway(gateway))
        await asyncio.sleep(fleet.rng.uniform(0.3, 1.5))


async def reload_settings(fleet: SoakFleet) -> None:
    """Change settings files of gateways several times."""
    for _ in range(3):
        fleet.reload_settings(fleet.rng.choice(fleet.gateways))
        await asyncio.sleep(0.2)


async def publish_versions(fleet: SoakFleet) -> None:
    """Publish some versions in quick succession."""
    for _ in range(fleet.rng.randint(1, 3)):
        await fleet.publish_version()
        await asyncio.sleep(fleet.rng.uniform(0.0, 0.5))


async def replace_target(fleet: SoakFleet) -> None:
    """Replace a target, mostly with an announced drain."""
    target = fleet.rng.choice(fleet.targets)
    if target.state == "ready":
        fleet.spawn(fleet.replace_target(target, fleet.rng.random() < 0.7))


async def reshard(fleet: SoakFleet) -> None:
    """Move the index to another set of shards."""
    fleet.spawn(fleet.reshard())


async def kill_gateways(fleet: SoakFleet) -> None:
    """Kill one, two or all gateways."""
    count = fleet.rng.choice((1, 1, 2, len(fleet.gateways)))
    for gateway in fleet.rng.sample(fleet.gateways, count):
        fleet.spawn(fleet.kill_gateway(gateway))


async def pause_gateways(fleet: SoakFleet) -> None:
    """Pause two gateways, possibly for longer than the pause threshold."""
    for gateway in fleet.rng.sample(fleet.gateways, 2):
        fleet.spawn(fleet.pause_gateway(gateway, fleet.rng.uniform(0.3, 3.0)))


async def crash_target(fleet: SoakFleet) -> None:
    """Crash a target and start another."""
    target = fleet.rng.choice(fleet.targets)
    await fleet.crash_target(target)
    await fleet.add_targets(target.service, 1)


async def degrade_targets(fleet: SoakFleet) -> None:
    """Make some targets slow, failing or unresponsive temporarily."""
    chosen = fleet.rng.sample(fleet.targets, 3)
    for target in chosen:
        target.slow_factor = fleet.rng.choice((1.0, 8.0))
        target.failure = fleet.rng.choice(("", "error", "lost"))
    await asyncio.sleep(fleet.rng.uniform(0.5, 2.0))
    for target in chosen:
        target.slow_factor, target.failure = 1.0, ""


async def fail_store(fleet: SoakFleet) -> None:
    """Make the store refuse or hang temporarily, or compact its change history.

    The fault "some" disturbs only the store connections of one gateway.
    """
    fault = fleet.rng.choice(("503", "429", "silent", "forget", "some"))
    if fault == "forget":
        fleet.store.compacted_revision = fleet.store.revision
        return
    if fault == "some":
        await _disturb_connections(
            fleet, [fleet.rng.choice(fleet.gateways).store_proxy]
        )
        return
    fleet.store.fault = fault
    await asyncio.sleep(fleet.rng.uniform(0.5, 3.0))
    fleet.store.fault = ""


async def disturb_target_connections(fleet: SoakFleet) -> None:
    """Delay, stall or reset the connections to some targets."""
    await _disturb_connections(
        fleet, [t.proxy for t in fleet.rng.sample(fleet.targets, 3)]
    )


async def disturb_caller_connections(fleet: SoakFleet) -> None:
    """Delay, stall or reset the connections of callers to one gateway."""
    await _disturb_connections(fleet, [fleet.rng.choice(fleet.gateways).caller_proxy])


async def _disturb_connections(fleet: SoakFleet, proxies: list[Proxy]) -> None:
    fault = fleet.rng.choice(("delay", "reset", "forward", "back", "silent"))
    for proxy in proxies:
        if fault == "delay":
            proxy.delay_s = fleet.rng.uniform(0.02, 0.3)
        elif fault == "reset":
            proxy.reset()
        else:
            proxy.stall(fault in ("forward", "silent"), fault in ("back", "silent"))
    await asyncio.sleep(fleet.rng.uniform(0.3, 2.5))
    for proxy in proxies:
        proxy.heal()
        if fault in ("forward", "back", "silent") and fleet.rng.random() < 0.5:
            proxy.reset()


MAINTENANCE: tuple[Step, ...] = (
    restart_gateways,
    reload_settings,
    publish_versions,
    replace_target,
    reshard,
)
FAULTS: tuple[Step, ...] = (
    kill_gateways,
    pause_gateways,
    crash_target,
    degrade_targets,
    fail_store,
    disturb_target_connections,
    disturb_caller_connections,
)


async def run_maintenance(fleet: SoakFleet, until: float) -> None:
    """Run overlapping maintenance steps, without faults, until a monotonic time."""
    await _run_steps(fleet, MAINTENANCE, until, (0.5, 1.5))


async def _send_endless_answers(fleet: SoakFleet, until: float) -> None:
    """Let targets send bytes without end instead of answers, two at a time.

    The choices have a generator of their own, so that earlier seeds keep the sequence
    of their other faults.
    """
    rng = random.Random(fleet.seed)
    while fleet.history.now() < until:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        proxies = [target.proxy for target in rng.sample(fleet.targets, 2)]
        for proxy in proxies:
            proxy.endless = rng.choice(sorted(ENDLESS_BYTES))
        await asyncio.sleep(rng.uniform(0.3, 1.0))
        for proxy in proxies:
            proxy.endless = ""


async def _restore_store(fleet: SoakFleet, until: float) -> None:
    """Let the store come back from older copies; the choices have a generator too."""
    rng = random.Random(f"restores of {fleet.seed}")
    while fleet.history.now() < until:
        await asyncio.sleep(rng.uniform(1.0, 4.0))
        fleet.store.fault = "silent"
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        fleet.store.fault = ""
        copy = max(fleet.first_revision, fleet.store.revision - rng.randint(0, 15))
        await fleet.restore_store(copy, rng.uniform(0.0, 1.5))


async def limit_targets(fleet: SoakFleet, until: float) -> None:
    """Let targets name rate limits until a monotonic time, two at a time."""
    rng = random.Random(f"limits of {fleet.seed}")
    while fleet.history.now() < until:
        chosen = rng.sample(fleet.targets, 2)
        for target in chosen:
            limit = RateLimit(
                target.id, rng.choice((0.5, 2.0, 8.0)), fleet.history.now()
            )
            fleet.history.rate_limits.append(limit)
            target.rate_limit = limit
        await asyncio.sleep(rng.uniform(4.0, 12.0))
        for target in chosen:
            target.rate_limit.ended_at = fleet.history.now()
            target.rate_limit = None


async def run_faults(fleet: SoakFleet, until: float) -> None:
    """Run overlapping faults and maintenance steps until a monotonic time."""
    fleet.spawn(_send_endless_answers(fleet, until))
    fleet.spawn(_restore_store(fleet, until))
    await _run_steps(fleet, (*FAULTS, *FAULTS, *MAINTENANCE), until, (0.1, 0.8))


async def cut_off_from_store(fleet: SoakFleet) -> None:
    """Disturb the store connections of one gateway, which can still ask its peers."""
    await _disturb_connections(fleet, [fleet.rng.choice(fleet.gateways).store_proxy])


EVACUATION_STEPS: tuple[Step, ...] = (
    *MAINTENANCE,
    kill_gateways,
    crash_target,
    cut_off_from_store,
)
"""Steps under which an evacuation must hold.

Paused gateways and delayed connections to targets are left out, because what is sent in
time may then arrive late.
"""


async def _turn_targets_cold(fleet: SoakFleet) -> None:
    """Let targets that run turn cold, two at a time."""
    rng = random.Random(f"cold targets of {fleet.seed}")
    while True:
        await asyncio.sleep(rng.uniform(2.0, 4.0))
        fleet.turn_cold(rng.sample(fleet.targets, 2), COLD_LEARNING_S)


async def _send_burst(fleet: SoakFleet) -> None:
    """Let more callers than the targets have room for send for some time."""
    rng = random.Random(f"burst of {fleet.seed}")
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    callers = [
        Caller(fleet.history, fleet.gateways, rng.getrandbits(32))
        for _ in range(BURST_CALLERS)
    ]
    for caller in callers:
        fleet.spawn(caller.run())
    await asyncio.sleep(BURST_S)
    for caller in callers:
        caller.stop()


async def run_evacuation(fleet: SoakFleet) -> None:
    """Evacuate a data centre, and return it, during maintenance and some faults."""
    rng = random.Random(f"evacuation of {fleet.seed}")
    fleet.has_cold_targets = fleet.has_priorities = True
    await fleet.publish_version()
    fleet.spawn(_turn_targets_cold(fleet))
    fleet.spawn(_send_burst(fleet))
    for number in range(SLOW_CALLERS):
        gateway = fleet.gateways[number % len(fleet.gateways)]
        read_bytes = rng.choice((0, 200, 2_000))
        fleet.spawn(send_without_reading(gateway, read_bytes))
    evacuation = fleet.evacuate(rng.choice(ZONES))
    evacuated_s = EVACUATE_S + rng.uniform(2.0, 4.0)
    removal = fleet.history.now() + evacuated_s
    await _run_steps(fleet, EVACUATION_STEPS, removal, (0.5, 1.5))
    fleet.end_evacuation(evacuation)
    await asyncio.sleep(RETURN_S)


async def _run_steps(
    fleet: SoakFleet,
    steps: tuple[Step, ...],
    until: float,
    pause_range_s: tuple[float, float],
) -> None:
    rng: random.Random = fleet.rng
    while fleet.history.now() < until:
        fleet.spawn(rng.choice(steps)(fleet))
        await asyncio.sleep(rng.uniform(*pause_range_s))
