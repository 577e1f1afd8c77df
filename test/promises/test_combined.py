"""All faults at once, over one seeded run; the whole history is checked."""

from __future__ import annotations

import asyncio
import contextlib
import random

import aiohttp
import pytest

from filbertshelf.bench.processes import Processes
from filbertshelf.standins.platform import Faults as PlatformFaults
from filbertshelf.standins.target_config import Faults, HostedService, Snapshot
from test.callers import Callers
from test.fleet import SHARDS

SEED = 7
RUN_S = 14.0
QUERY_PERIOD_S = 0.04
BOOKING_PERIOD_S = 0.3
RESENDS = 3
PAUSE_THRESHOLD_S = 0.6
LOST = (aiohttp.ClientError, OSError)  # A timeout is a kind of `OSError`.


class Chaos:
    """Injects seeded faults into a fleet; each ends after a while."""

    def __init__(self, fleet, processes, rng):
        self.fleet = fleet
        self.processes = processes
        self.rng = rng
        self.version = 1
        self.started = 0
        self.live = []
        self.done = []

    async def add_process(self):
        """Start another instance as a process; the name is never used again."""
        name = f"p{self.started}"
        self.started += 1
        await self.fleet.add_process(
            self.processes,
            name,
            pause_threshold=PAUSE_THRESHOLD_S,
            start_grace=0.5,
        )
        self.live.append(name)

    async def run(self, seconds):
        """Inject faults for a time, each at least once if the time suffices."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        actions = [
            self.crash_target,
            self.straggle,
            self.drain,
            self.black_hole,
            self.late_answers,
            self.lose_shard,
            self.freeze,
            self.kill,
            self.cut,
            self.platform_outage,
            self.stale_platform,
            self.roll,
            self.publish_policy,
            self.publish_nonsense,
        ]
        running = []
        while loop.time() < end:
            self.rng.shuffle(actions)
            for action in actions:
                running.append(asyncio.create_task(action()))
                self.done.append(action.__name__)
                await asyncio.sleep(self.rng.uniform(0.2, 0.7))
                if loop.time() >= end:
                    break
        await asyncio.gather(*running)

    def target(self):
        """Return any target."""
        return self.rng.choice(list(self.fleet.targets.values()))

    async def crash_target(self):
        """Cut a target off without warning; it comes back."""
        self.target().crash_for(self.rng.uniform(0.1, 1.0))

    async def faulty(self, **faults):
        """Set faults of one target for a while."""
        target = self.target()
        await target.set_faults(Faults(**faults))
        await asyncio.sleep(self.rng.uniform(0.3, 1.0))
        await target.set_faults(Faults())

    async def straggle(self):
        """Make one target slow."""
        await self.faulty(straggle=30.0, straggle_share=0.5)

    async def drain(self):
        """Let one target refuse new work and say that it serves."""
        await self.faulty(draining=True, hide_draining=True)

    async def black_hole(self):
        """Let one target answer nothing."""
        await self.faulty(black_hole=True)

    async def late_answers(self):
        """Let all targets answer later than most callers wait."""
        await self.on_all(Faults(answer_delay_s=0.6))
        await asyncio.sleep(0.6)
        await self.on_all(Faults())

    async def on_all(self, faults):
        """Set the faults of all targets."""
        for target in self.fleet.targets.values():
            await target.set_faults(faults)

    async def lose_shard(self):
        """Let no target hold one of the shards for a while."""
        for target in self.fleet.targets.values():
            self.hold(target, self.version, shards=SHARDS[:-1])
        await asyncio.sleep(0.6)
        for target in self.fleet.targets.values():
            self.hold(target, self.version)

    async def freeze(self):
        """Pause a process for longer than the threshold."""
        if self.live:
            name = self.rng.choice(self.live)
            self.processes.freeze(name)
            await asyncio.sleep(2 * PAUSE_THRESHOLD_S)
            self.processes.thaw(name)

    async def kill(self):
        """Kill a process and start a new one."""
        if self.live:
            name = self.live.pop(self.rng.randrange(len(self.live)))
            self.fleet.caller_addresses.pop(name)
            self.processes.kill(name)
            self.fleet.platform.remove_row(name)
            await self.add_process()

    async def cut(self):
        """Cut one in-process instance off from its peers."""
        name = self.rng.choice(list(self.fleet.instances))
        self.fleet.partition(name)
        await asyncio.sleep(1.5)
        self.fleet.heal_partitions()

    async def platform_fault(self, **faults):
        """Set faults of the platform for a while."""
        self.fleet.platform.set_faults(PlatformFaults(**faults))
        await asyncio.sleep(self.rng.uniform(0.5, 1.5))
        self.fleet.platform.set_faults(PlatformFaults())

    async def platform_outage(self):
        """Let the platform cut all calls."""
        await self.platform_fault(down=True)

    async def stale_platform(self):
        """Let the platform serve what it served at the start."""
        await self.platform_fault(stale_at={"config": 1})

    def hold(self, target, *versions, shards=SHARDS):
        """Let a target hold exactly these versions."""
        snapshots = tuple(Snapshot(f"v{n}", n, shards) for n in versions)
        target.set_snapshots(HostedService("racks", snapshots))

    async def roll(self):
        """Roll the next index version over the targets while queries run."""
        old, self.version = self.version, self.version + 1
        new = self.version
        for target in self.fleet.targets.values():
            self.hold(target, old, new)
            await asyncio.sleep(0.02)
        self.publish()
        await asyncio.sleep(0.5)
        for target in self.fleet.targets.values():
            self.hold(target, new, self.version)
            await asyncio.sleep(0.02)

    def publish(self):
        """Publish the current version with any policy."""
        policy = {"canary": self.rng.random() < 0.5, "hedge": self.rng.random() < 0.5}
        policy["goal"] = self.rng.choice(["coverage", "tail"])
        if policy["goal"] == "tail":
            policy["partial_after_ms"] = 100
        self.fleet.publish(
            policy=policy, version=f"v{self.version}", generation=self.version
        )

    async def publish_policy(self):
        """Let an operator change a policy only."""
        self.publish()

    async def publish_nonsense(self):
        """Let an operator publish what is not valid."""
        self.fleet.platform.publish({"services": {"racks": {"shards": 5}}})


class Load:
    """A steady load of queries and bookings with resends."""

    def __init__(self, callers, rng):
        self.callers = callers
        self.rng = rng
        self.tasks = []

    async def run(self, seconds):
        """Send requests for a time and return when all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        next_booking = loop.time()
        while loop.time() < end:
            self.spawn(self.query())
            if loop.time() >= next_booking:
                next_booking += BOOKING_PERIOD_S
                self.spawn(self.book(f"b{len(self.tasks)}"))
            await asyncio.sleep(QUERY_PERIOD_S)
        await asyncio.gather(*self.tasks)

    def spawn(self, coro):
        """Run a request on its own."""
        self.tasks.append(asyncio.create_task(coro))

    def anywhere(self):
        """Return any instance that a caller may know."""
        return self.rng.choice(sorted(self.callers.fleet.caller_addresses))

    async def query(self):
        """Send a query; a lost connection leaves nothing to check."""
        with contextlib.suppress(*LOST):
            async with asyncio.timeout(8.0):
                await self.callers.query(
                    self.anywhere(), deadline_ms=self.rng.choice([80, 400, 2000])
                )

    async def book(self, marker):
        """Send a booking and resend it to any instance, whatever the outcome."""
        ticket = ""
        with contextlib.suppress(*LOST, KeyError):
            ticket = await self.callers.fleet.ticket(self.anywhere())
        if not ticket:
            return
        first = [self.send(ticket, marker) for _ in range(2)]
        await asyncio.gather(*first)
        for _ in range(RESENDS):
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            await self.send(ticket, marker)

    async def send(self, ticket, marker):
        """Send a booking once."""
        with contextlib.suppress(*LOST):
            async with asyncio.timeout(8.0):
                await self.callers.book(
                    self.anywhere(), ticket, marker, deadline_ms=1000
                )


async def settle(fleet, chaos):
    """End all faults and wait until every instance has the last publication."""
    fleet.heal_partitions()
    fleet.platform.set_faults(PlatformFaults())
    for target in fleet.targets.values():
        await target.set_faults(Faults())
    await fleet.until(lambda: all(t.listening for t in fleet.targets.values()))
    # The last publication may be the invalid one, so a valid one follows.
    chaos.publish()
    revision = fleet.platform.current_document("config").revision
    async with asyncio.timeout(30.0):
        for name in fleet.caller_addresses:
            status = {"ready": False}
            while not status["ready"] or status["configuration"]["revision"] < revision:
                status = await fleet.status(name)
                await asyncio.sleep(0.05)
    return revision


@pytest.mark.parametrize("seed", [SEED])
async def test_all_promises_hold_under_combined_faults(fleet, tmp_path, seed):
    # Guards against faults that only meet in combination; asserts safety, and that
    # the fleet answered at all, but nothing about speed.
    rng = random.Random(seed)
    with Processes(tmp_path) as processes:
        fleet.size = 4
        await fleet.start(instances=2, targets=4)
        chaos = Chaos(fleet, processes, rng)
        for _ in range(2):
            await chaos.add_process()
        callers = Callers(fleet)
        load = Load(callers, random.Random(seed + 1))
        watching = [
            asyncio.create_task(callers.record_versions()),
            asyncio.create_task(callers.record_reported_revisions()),
        ]
        await asyncio.gather(chaos.run(RUN_S), load.run(RUN_S))
        revision = await settle(fleet, chaos)
        await asyncio.sleep(0.3)
        for task in watching:
            task.cancel()
        await asyncio.gather(*watching, return_exceptions=True)
        for name in fleet.caller_addresses:
            assert (await fleet.status(name))["configuration"]["revision"] == revision
        await callers.check_history()
        record = callers.history
        assert record.count_whole() and record.count_whole("booking")
