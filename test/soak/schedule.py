"""Faults and planned work in random series, drawn from a seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from test.soak.fleet import World
from test.soak.proxy import Proxy

Step = Callable[[World], Awaitable[None]]


async def roll(world: World) -> None:
    """Stop and start two gateways one shortly after the other."""
    chosen = world.rng.sample(world.gateways, 2)
    for gateway in chosen:
        world.spawn(world.restart(gateway))
        await asyncio.sleep(world.rng.uniform(0.3, 1.5))


async def reload(world: World) -> None:
    """Change settings files, a few times in a row."""
    for _ in range(3):
        world.reload(world.rng.choice(world.gateways))
        await asyncio.sleep(0.2)


async def publish(world: World) -> None:
    """Publish some versions in quick succession."""
    for _ in range(world.rng.randint(1, 3)):
        await world.publish()
        await asyncio.sleep(world.rng.uniform(0.0, 0.5))


async def release(world: World) -> None:
    """Replace a target that drains, with or without a word."""
    target = world.rng.choice(world.targets)
    if target.state == "ready":
        world.spawn(world.replace(target, world.rng.random() < 0.7))


async def reshard(world: World) -> None:
    """Cut the index into another set of shards."""
    world.spawn(world.reshard())


async def kill(world: World) -> None:
    """Kill one gateway, or all of them."""
    count = world.rng.choice((1, 1, 2, len(world.gateways)))
    for gateway in world.rng.sample(world.gateways, count):
        world.spawn(world.kill(gateway))


async def freeze(world: World) -> None:
    """Let gateways stand still, for longer than a pause threshold."""
    for gateway in world.rng.sample(world.gateways, 2):
        world.spawn(world.freeze(gateway, world.rng.uniform(0.3, 3.0)))


async def crash_target(world: World) -> None:
    """End a target at once and start another."""
    target = world.rng.choice(world.targets)
    await world.crash(target)
    await world.add_targets(target.service, 1)


async def weak_targets(world: World) -> None:
    """Let some targets be slow, fail, or lose answers for a while."""
    chosen = world.rng.sample(world.targets, 3)
    for target in chosen:
        target.slow_x = world.rng.choice((1.0, 8.0))
        target.failing = world.rng.choice(("", "error", "lost"))
    await asyncio.sleep(world.rng.uniform(0.5, 2.0))
    for target in chosen:
        target.slow_x, target.failing = 1.0, ""


async def store_away(world: World) -> None:
    """Let the store refuse, hang, forget, or turn single gateways away."""
    how = world.rng.choice(("503", "429", "silent", "forget", "some"))
    if how == "forget":
        world.store.compacted_revision = world.store.revision
        return
    if how == "some":
        await _disturb(world, [world.rng.choice(world.gateways).store])
        return
    world.store.fault = how
    await asyncio.sleep(world.rng.uniform(0.5, 3.0))
    world.store.fault = ""


async def disturb_targets(world: World) -> None:
    """Delay, hold or reset the connections to some targets."""
    await _disturb(world, [t.proxy for t in world.rng.sample(world.targets, 3)])


async def disturb_callers(world: World) -> None:
    """Delay, hold or reset the connections of callers to one gateway."""
    await _disturb(world, [world.rng.choice(world.gateways).front])


async def _disturb(world: World, proxies: list[Proxy]) -> None:
    how = world.rng.choice(("delay", "reset", "forward", "back", "silent"))
    for proxy in proxies:
        if how == "delay":
            proxy.delay_s = world.rng.uniform(0.02, 0.3)
        elif how == "reset":
            proxy.reset()
        else:
            proxy.hold(how in ("forward", "silent"), how in ("back", "silent"))
    await asyncio.sleep(world.rng.uniform(0.3, 2.5))
    for proxy in proxies:
        proxy.heal()
        if how in ("forward", "back", "silent") and world.rng.random() < 0.5:
            proxy.reset()


PLANNED: tuple[Step, ...] = (roll, reload, publish, release, reshard)
FAULTS: tuple[Step, ...] = (
    kill,
    freeze,
    crash_target,
    weak_targets,
    store_away,
    disturb_targets,
    disturb_callers,
)


async def planned_work(world: World, until: float) -> None:
    """Do planned work only, in an overlapping series."""
    await _series(world, PLANNED, until, (0.5, 1.5))


async def trouble(world: World, until: float) -> None:
    """Let faults and planned work overlap."""
    await _series(world, (*FAULTS, *FAULTS, *PLANNED), until, (0.1, 0.8))


async def _series(
    world: World, steps: tuple[Step, ...], until: float, gap: tuple[float, float]
) -> None:
    rng: random.Random = world.rng
    while world.history.now() < until:
        world.spawn(rng.choice(steps)(world))
        await asyncio.sleep(rng.uniform(*gap))
