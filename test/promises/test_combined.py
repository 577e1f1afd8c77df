"""Tests of all guarantees under combined faults, on the history of a seeded run."""

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
LOST_CONNECTION_ERRORS = (aiohttp.ClientError, OSError)  # TimeoutError is an OSError.


class FaultInjector:
    """Injects seeded temporary faults into a fleet."""

    def __init__(self, fleet, processes, rng):
        self.fleet = fleet
        self.processes = processes
        self.rng = rng
        self.version = 1
        self.start_count = 0
        self.live_processes = []
        self.injected = []

    async def add_process(self):
        """Start another instance as a process; its name is never reused."""
        name = f"p{self.start_count}"
        self.start_count += 1
        await self.fleet.add_process(
            self.processes,
            name,
            pause_threshold=PAUSE_THRESHOLD_S,
            start_grace=0.5,
        )
        self.live_processes.append(name)

    async def run(self, seconds):
        """Inject faults for some seconds, each at least once if time allows."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        actions = [
            self.crash_target,
            self.slow_target,
            self.drain_silently,
            self.black_hole,
            self.delay_answers,
            self.remove_shard,
            self.pause_process,
            self.kill_process,
            self.partition_instance,
            self.platform_outage,
            self.stale_platform,
            self.roll_index_version,
            self.publish_policy,
            self.publish_invalid,
        ]
        running = []
        while loop.time() < end:
            self.rng.shuffle(actions)
            for action in actions:
                running.append(asyncio.create_task(action()))
                self.injected.append(action.__name__)
                await asyncio.sleep(self.rng.uniform(0.2, 0.7))
                if loop.time() >= end:
                    break
        await asyncio.gather(*running)

    def random_target(self):
        """Return a random target."""
        return self.rng.choice(list(self.fleet.targets.values()))

    async def crash_target(self):
        """Take a target down without a drain; it restarts after a delay."""
        self.random_target().crash_for(self.rng.uniform(0.1, 1.0))

    async def fault_target(self, **faults):
        """Set faults of one target temporarily."""
        target = self.random_target()
        await target.set_faults(Faults(**faults))
        await asyncio.sleep(self.rng.uniform(0.3, 1.0))
        await target.set_faults(Faults())

    async def slow_target(self):
        """Make one target slow temporarily."""
        await self.fault_target(straggle=30.0, straggle_share=0.5)

    async def drain_silently(self):
        """Make one target refuse new work while it reports that it serves."""
        await self.fault_target(draining=True, hide_draining=True)

    async def black_hole(self):
        """Make one target accept requests and never answer."""
        await self.fault_target(black_hole=True)

    async def delay_answers(self):
        """Delay the answers of all targets beyond most deadlines."""
        await self.fault_all(Faults(answer_delay_s=0.6))
        await asyncio.sleep(0.6)
        await self.fault_all(Faults())

    async def fault_all(self, faults):
        """Set the faults of all targets."""
        for target in self.fleet.targets.values():
            await target.set_faults(faults)

    async def remove_shard(self):
        """Remove one shard from all targets temporarily."""
        for target in self.fleet.targets.values():
            self.host_versions(target, self.version, shards=SHARDS[:-1])
        await asyncio.sleep(0.6)
        for target in self.fleet.targets.values():
            self.host_versions(target, self.version)

    async def pause_process(self):
        """Pause a process for longer than the pause threshold."""
        if self.live_processes:
            name = self.rng.choice(self.live_processes)
            self.processes.freeze(name)
            await asyncio.sleep(2 * PAUSE_THRESHOLD_S)
            self.processes.thaw(name)

    async def kill_process(self):
        """Kill a process and start another one."""
        if self.live_processes:
            name = self.live_processes.pop(self.rng.randrange(len(self.live_processes)))
            self.fleet.caller_addresses.pop(name)
            self.processes.kill(name)
            self.fleet.platform.remove_row(name)
            await self.add_process()

    async def partition_instance(self):
        """Partition one in-process instance from its peers temporarily."""
        name = self.rng.choice(list(self.fleet.instances))
        self.fleet.partition(name)
        await asyncio.sleep(1.5)
        self.fleet.heal_partitions()

    async def platform_fault(self, **faults):
        """Set faults of the platform temporarily."""
        self.fleet.platform.set_faults(PlatformFaults(**faults))
        await asyncio.sleep(self.rng.uniform(0.5, 1.5))
        self.fleet.platform.set_faults(PlatformFaults())

    async def platform_outage(self):
        """Make the platform fail all calls."""
        await self.platform_fault(down=True)

    async def stale_platform(self):
        """Make the platform serve the first publication again."""
        await self.platform_fault(stale_at={"config": 1})

    def host_versions(self, target, *versions, shards=SHARDS):
        """Make a target host exactly these index versions."""
        snapshots = tuple(Snapshot(f"v{n}", n, shards) for n in versions)
        target.set_snapshots(HostedService("racks", snapshots))

    async def roll_index_version(self):
        """Roll out the next index version over the targets while queries run."""
        old, self.version = self.version, self.version + 1
        new = self.version
        for target in self.fleet.targets.values():
            self.host_versions(target, old, new)
            await asyncio.sleep(0.02)
        self.publish_version()
        await asyncio.sleep(0.5)
        for target in self.fleet.targets.values():
            self.host_versions(target, new, self.version)
            await asyncio.sleep(0.02)

    def publish_version(self):
        """Publish the current index version with a random policy."""
        policy = {"canary": self.rng.random() < 0.5, "hedge": self.rng.random() < 0.5}
        policy["goal"] = self.rng.choice(["coverage", "tail"])
        if policy["goal"] == "tail":
            policy["partial_after_ms"] = 100
        self.fleet.publish(
            policy=policy, version=f"v{self.version}", generation=self.version
        )

    async def publish_policy(self):
        """Publish a change of the policy only."""
        self.publish_version()

    async def publish_invalid(self):
        """Publish an invalid configuration."""
        self.fleet.platform.publish({"services": {"racks": {"shards": 5}}})


class Load:
    """A steady load of queries and bookings with resends."""

    def __init__(self, callers, rng):
        self.callers = callers
        self.rng = rng
        self.tasks = []

    async def run(self, seconds):
        """Send requests for some seconds and return when all have ended."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        next_booking = loop.time()
        while loop.time() < end:
            self.spawn(self.send_query())
            if loop.time() >= next_booking:
                next_booking += BOOKING_PERIOD_S
                self.spawn(self.send_booking_with_resends(f"b{len(self.tasks)}"))
            await asyncio.sleep(QUERY_PERIOD_S)
        await asyncio.gather(*self.tasks)

    def spawn(self, coro):
        """Run a request in a task."""
        self.tasks.append(asyncio.create_task(coro))

    def random_instance(self):
        """Return a random instance that callers can reach."""
        return self.rng.choice(sorted(self.callers.fleet.caller_addresses))

    async def send_query(self):
        """Send a query; after a lost connection there is no answer to check."""
        with contextlib.suppress(*LOST_CONNECTION_ERRORS):
            async with asyncio.timeout(8.0):
                await self.callers.query(
                    self.random_instance(), deadline_ms=self.rng.choice([80, 400, 2000])
                )

    async def send_booking_with_resends(self, marker):
        """Send a booking, and resend it to random instances whatever its outcome."""
        ticket = ""
        with contextlib.suppress(*LOST_CONNECTION_ERRORS, KeyError):
            ticket = await self.callers.fleet.ticket(self.random_instance())
        if not ticket:
            return
        duplicates = [self.send_booking(ticket, marker) for _ in range(2)]
        await asyncio.gather(*duplicates)
        for _ in range(RESENDS):
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            await self.send_booking(ticket, marker)

    async def send_booking(self, ticket, marker):
        """Send a booking once."""
        with contextlib.suppress(*LOST_CONNECTION_ERRORS):
            async with asyncio.timeout(8.0):
                await self.callers.book(
                    self.random_instance(), ticket, marker, deadline_ms=1000
                )


async def clear_faults(fleet, injector):
    """Clear all faults and wait until every instance has the last publication.

    Returns the revision of that publication.
    """
    fleet.heal_partitions()
    fleet.platform.set_faults(PlatformFaults())
    for target in fleet.targets.values():
        await target.set_faults(Faults())
    await fleet.until(lambda: all(t.listening for t in fleet.targets.values()))
    # The last publication may be invalid, so publish a valid one.
    injector.publish_version()
    revision = fleet.platform.current_document("config").revision
    async with asyncio.timeout(30.0):
        for name in fleet.caller_addresses:
            status = {"ready": False}
            while not status["ready"] or status["configuration"]["revision"] < revision:
                status = await fleet.status(name)
                await asyncio.sleep(0.05)
    return revision


@pytest.mark.parametrize("seed", [SEED])
async def test_all_guarantees_hold_under_combined_faults(fleet, tmp_path, seed):
    # Guards against violations that only a combination of faults causes. Asserts
    # safety and that some requests were answered whole, but nothing about latency.
    rng = random.Random(seed)
    with Processes(tmp_path) as processes:
        fleet.size = 4
        await fleet.start(instances=2, targets=4)
        injector = FaultInjector(fleet, processes, rng)
        for _ in range(2):
            await injector.add_process()
        callers = Callers(fleet)
        load = Load(callers, random.Random(seed + 1))
        recorders = [
            asyncio.create_task(callers.record_versions()),
            asyncio.create_task(callers.record_reported_revisions()),
        ]
        await asyncio.gather(injector.run(RUN_S), load.run(RUN_S))
        revision = await clear_faults(fleet, injector)
        await asyncio.sleep(0.3)
        for task in recorders:
            task.cancel()
        await asyncio.gather(*recorders, return_exceptions=True)
        for name in fleet.caller_addresses:
            assert (await fleet.status(name))["configuration"]["revision"] == revision
        await callers.check_history()
        history = callers.history
        assert history.count_whole() and history.count_whole("booking")
