"""Configuration over real connections, with membership and a stand-in platform."""

import asyncio
import contextlib
import random

import attrs

from filbertshelf.clock import SystemClock
from filbertshelf.coordination.configuration import Configuration
from filbertshelf.coordination.membership import Membership
from filbertshelf.protocol.platform import Row, RowKind
from filbertshelf.settings import parse_settings
from filbertshelf.standins.platform import Faults, PlatformStandin
from filbertshelf.state.members import Identity
from filbertshelf.transport.peers import Peers
from filbertshelf.transport.platform import PlatformClient

CFG = parse_settings("""
[instance]
name = entry
data_centre = bne-1
[peers]
fleet_key = 0123456789abcdef
probe_period = 0.1
probe_timeout = 0.05
[platform]
platform = 127.0.0.1:1
start_grace = 0.5
""")


@contextlib.asynccontextmanager
async def running_configuration(name, platform):
    cfg = attrs.evolve(CFG, name=name, platform=platform.address)
    clock = SystemClock()
    identity = Identity.start(name, cfg.data_centre, clock)
    peers = Peers(cfg, identity, clock)
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(PlatformClient(cfg.platform))
        await stack.enter_async_context(peers)
        membership = Membership(cfg, identity, clock, peers)
        rng = random.Random(name)
        config = Configuration(cfg, clock, client, peers, membership, rng)
        await stack.enter_async_context(membership)
        await stack.enter_async_context(config)
        address = "{}:{}".format(*peers.address)
        platform.set_row(Row(name, RowKind.INSTANCE, address, cfg.data_centre))
        yield config


async def until(condition):
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the condition did not hold within 10 s")


async def test_instances_discover_each_other_and_agree_with_a_stale_platform(log):
    """Guards against a mismatch between the real services that fakes would hide."""
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(PlatformStandin())
        platform.publish({"fleet": {"instances": 3}})
        names = [f"entry-{i}" for i in range(4)]
        configs = [
            await stack.enter_async_context(running_configuration(name, platform))
            for name in names
        ]
        await until(lambda: all(config.ready for config in configs))
        await until(lambda: all(len(config.instances()) == 4 for config in configs))
        await until(lambda: sum(config.watching for config in configs) == 2)
        platform.publish({"fleet": {"instances": 4}})
        await until(lambda: all(config.version.revision == 2 for config in configs))

        platform.set_faults(Faults(stale_at={"config": 1}))
        new = await stack.enter_async_context(
            running_configuration("entry-9", platform)
        )
        await until(lambda: new.ready)
        assert new.publication.fleet.instances == 4
        assert new.version == configs[0].version
    numbers = {line["event"] for line in log if "event" in line}
    assert {400, 405, 408} <= numbers
    assert not numbers & {401, 402, 406, 409, 410}
