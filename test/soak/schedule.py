"""Faults and planned work in random series, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from test.soak.fleet import SoakFleet
from test.soak.proxy import Proxy

Step = Callable[[SoakFleet], Awaitable[None]]


async def restart_gateways(fleet: SoakFleet) -> None:
    """Stop and start two gateways one shortly after the other."""
    chosen = fleet.rng.sample(fleet.gateways, 2)
    for gateway in chosen:
        fleet.spawn(fleet.restart_gateway(gateway))
        await asyncio.sleep(fleet.rng.uniform(0.3, 1.5))


async def reload_settings(fleet: SoakFleet) -> None:
    """Change settings files, a few times in a row."""
    for _ in range(3):
        fleet.reload_settings(fleet.rng.choice(fleet.gateways))
        await asyncio.sleep(0.2)


async def publish_versions(fleet: SoakFleet) -> None:
    """Publish some versions in quick succession."""
    for _ in range(fleet.rng.randint(1, 3)):
        await fleet.publish_version()
        await asyncio.sleep(fleet.rng.uniform(0.0, 0.5))


async def replace_target(fleet: SoakFleet) -> None:
    """Replace a target that drains, with or without a word."""
    target = fleet.rng.choice(fleet.targets)
    if target.state == "ready":
        fleet.spawn(fleet.replace_target(target, fleet.rng.random() < 0.7))


async def reshard(fleet: SoakFleet) -> None:
    """Cut the index into another set of shards."""
    fleet.spawn(fleet.reshard())


async def kill_gateways(fleet: SoakFleet) -> None:
    """Kill one gateway, or all of them."""
    count = fleet.rng.choice((1, 1, 2, len(fleet.gateways)))
    for gateway in fleet.rng.sample(fleet.gateways, count):
        fleet.spawn(fleet.kill_gateway(gateway))


async def pause_gateways(fleet: SoakFleet) -> None:
    """Let gateways stand still, for longer than a pause threshold."""
    for gateway in fleet.rng.sample(fleet.gateways, 2):
        fleet.spawn(fleet.pause_gateway(gateway, fleet.rng.uniform(0.3, 3.0)))


async def crash_target(fleet: SoakFleet) -> None:
    """End a target at once and start another."""
    target = fleet.rng.choice(fleet.targets)
    await fleet.crash_target(target)
    await fleet.add_targets(target.service, 1)


async def degrade_targets(fleet: SoakFleet) -> None:
    """Let some targets be slow, fail, or lose answers for a while."""
    chosen = fleet.rng.sample(fleet.targets, 3)
    for target in chosen:
        target.slow_x = fleet.rng.choice((1.0, 8.0))
        target.failing = fleet.rng.choice(("", "error", "lost"))
    await asyncio.sleep(fleet.rng.uniform(0.5, 2.0))
    for target in chosen:
        target.slow_x, target.failing = 1.0, ""


async def fail_store(fleet: SoakFleet) -> None:
    """Let the store refuse, hang, forget, or turn single gateways away."""
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
    """Delay, hold or reset the connections to some targets."""
    await _disturb_connections(
        fleet, [t.proxy for t in fleet.rng.sample(fleet.targets, 3)]
    )


async def disturb_caller_connections(fleet: SoakFleet) -> None:
    """Delay, hold or reset the connections of callers to one gateway."""
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
    """Do planned work only, in an overlapping series."""
    await _run_steps(fleet, MAINTENANCE, until, (0.5, 1.5))


async def run_faults(fleet: SoakFleet, until: float) -> None:
    """Let faults and planned work overlap."""
    await _run_steps(fleet, (*FAULTS, *FAULTS, *MAINTENANCE), until, (0.1, 0.8))


async def _run_steps(
    fleet: SoakFleet, steps: tuple[Step, ...], until: float, gap: tuple[float, float]
) -> None:
    rng: random.Random = fleet.rng
    while fleet.history.now() < until:
        fleet.spawn(rng.choice(steps)(fleet))
        await asyncio.sleep(rng.uniform(*gap))
