"""The store, the targets and the gateways of one soak, with operations on them."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from pathlib import Path

from test.platform.store_standin import StoreStandin
from test.soak.checks import COLD_PER_S, MAX_TARGETS, MIN_COVERAGE, TOP_K
from test.soak.gateways import GatewayProcess
from test.soak.history import Config, Evacuation, History
from test.soak.proxy import Proxy
from test.soak.targets import COLD_S, HEALTH_PATH, Target

ZONES = ("zone-a", "zone-b")
SHARDS = 6
DRAIN_PERIOD_S = 3.0
"""How long a target keeps serving after the store lists it as draining, in seconds."""

LEASE_S = 3.0
"""How long the store lists a target that writes no more, in seconds."""

MAX_CONNECTIONS = 60
PRIORITIES = {"all": 0, "one": 1, "book": 0, "move": 2}
"""The routes `one` and `book` use the same service."""


class SoakFleet:
    """The processes, servers and tasks of one soak; `close` ends all of them."""

    def __init__(self, seed: int, folder: Path, gateways: int = 4):
        self.seed = seed
        self.rng = random.Random(seed)
        self.history = History()
        self.store = StoreStandin(page_size=50)
        self.store_server = self.store.make_server()
        self.targets: list[Target] = []
        self.gateways = [
            GatewayProcess(
                f"front-{n}", f"{_network_prefix(seed)}.{n + 1}", ZONES[n % 2], folder
            )
            for n in range(gateways)
        ]
        self.tasks: set[asyncio.Task] = set()
        self.allow_early_reloads = True
        self.has_priorities = False
        """Whether versions state the priorities of routes."""
        self.has_cold_targets = False
        """Whether new targets are cold, and versions state the rate of cold targets."""
        self.first_revision = 0
        """The store's revision after the start; all copies are of later ones."""
        self._config_revision = 0
        self._version = 0
        self._shards = self._new_shard_names()

    # Start and stop.

    async def start(self) -> None:
        """Start the store, targets and gateways; wait until all gateways are ready."""
        await self.store_server.start()
        for service in ("desk", *self._shards):
            await self.add_targets(service)
        await self.publish_version()
        self.first_revision = self.store.revision
        seeds = [gateway.control_address for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.store_proxy = Proxy(self.store_server.address)
            await gateway.store_proxy.start()
            await gateway.caller_proxy.start()
            gateway.write_settings(seeds)
            await gateway.start()
        self.spawn(self._update_readiness())
        async with asyncio.timeout(30.0):
            while not all(gateway.in_rotation for gateway in self.gateways):
                await asyncio.sleep(0.1)

    async def close(self) -> None:
        """Stop all processes, servers and tasks that were started."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            await gateway.kill()
            await gateway.caller_proxy.stop()
            if gateway.store_proxy is not None:
                await gateway.store_proxy.stop()
        for target in self.targets:
            await target.stop()
        await self.store_server.stop()

    def spawn(self, coro) -> None:
        """Run a coroutine in a task that is cancelled at the end of the soak."""
        task = asyncio.create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _update_readiness(self) -> None:
        failed_probes = dict.fromkeys((g.name for g in self.gateways), 2)
        while True:
            for gateway in self.gateways:
                ready = await gateway.is_ready()
                gateway.was_ready |= ready
                failed_probes[gateway.name] = (
                    0 if ready else failed_probes[gateway.name] + 1
                )
                gateway.in_rotation = failed_probes[gateway.name] < 2
            await asyncio.sleep(0.5)

    # Targets and versions.

    async def add_targets(self, service: str, count: int = 2) -> None:
        """Start targets of a service and list them in the store."""
        work_s = 0.02 if service.startswith("shard") else 0.05
        for number in range(count):
            zone = ZONES[number % 2]
            target = Target(service, zone, work_s, self.history, self.rng)
            await target.start()
            self.targets.append(target)
            if self.has_cold_targets:
                target.turn_cold(0.0)
            self._list_target(target)

    def _list_target(self, target: Target) -> None:
        target.sequence += 1
        self.store.put(f"servers/{target.id}", target.store_entry())
        target.listed_revision = self.store.revision

    async def replace_target(self, target: Target, announce: bool = True) -> None:
        """Start another target of the service, drain the given one and stop it.

        Without `announce`, the target is removed from the store instead of being listed
        as draining.
        """
        await self.add_targets(target.service, 1)
        if announce:
            target.state = "draining"
            self._list_target(target)
        else:
            target.state = "gone"
            if f"servers/{target.id}" in self.store.items:
                self.store.delete(f"servers/{target.id}")
        await asyncio.sleep(DRAIN_PERIOD_S + 1.0)
        await self.crash_target(target)

    async def crash_target(self, target: Target) -> None:
        """Stop a target without a drain and remove it from the store."""
        if target in self.targets:
            self.targets.remove(target)
            await target.stop()
            if f"servers/{target.id}" in self.store.items:
                self.store.delete(f"servers/{target.id}")

    async def publish_version(self) -> None:
        """Publish a configuration that moves the route `move` to a new service."""
        self._version += 1
        moving_service = f"moving-{self._version}"
        await self.add_targets(moving_service)
        config = Config(self._version, moving_service, self._shards, self.history.now())
        self.history.configs.append(config)
        self._write_config(config)

    def _write_config(self, config: Config) -> None:
        self.store.put("op/config", self._config_document(config))
        self._config_revision = self.store.revision

    async def restore_store(self, revision: int, rewrite_after_s: float) -> None:
        """Bring the store back from a copy, and write again what it lost.

        Entries of targets that have left since the copy expire some seconds later.
        """
        self.store.restore(revision)
        await asyncio.sleep(rewrite_after_s)
        if not self._holds("op/config", self._config_revision):
            self._write_config(self.history.configs[-1])
        for target in self.targets:
            key = f"servers/{target.id}"
            if target.state != "gone" and not self._holds(key, target.listed_revision):
                self._list_target(target)
        await asyncio.sleep(LEASE_S)
        live = {f"servers/{target.id}" for target in self.targets}
        for key in list(self.store.items):
            if key.startswith("servers/") and key not in live:
                self.store.delete(key)

    def _holds(self, key: str, revision: int) -> bool:
        """Return whether the store still has what was written at a revision."""
        item = self.store.items.get(key)
        return item is not None and item["modRevision"] == revision

    def turn_cold(self, targets: list[Target], learning_s: float) -> None:
        """Let targets be cold, which their entries and answers state."""
        for target in targets:
            target.turn_cold(learning_s)
            if target.state != "gone":
                self._list_target(target)

    def evacuate(self, zone: str) -> Evacuation:
        """Write the evacuation key of a data centre into the store."""
        self.store.put(f"op/evacuate/{zone}", {})
        evacuation = Evacuation(zone, self.history.now())
        self.history.evacuations.append(evacuation)
        return evacuation

    def end_evacuation(self, evacuation: Evacuation) -> None:
        """Remove the evacuation key of a data centre, whose targets are cold then."""
        # Their entries come first, so a gateway that sees the removal knows them.
        returning = [t for t in self.targets if t.zone == evacuation.zone]
        self.turn_cold(returning, 0.0)
        evacuation.removed_at = self.history.now()
        self.store.delete(f"op/evacuate/{evacuation.zone}")

    async def reshard(self) -> None:
        """Start new shards, publish them after a delay, then drain the old ones."""
        old_targets = [
            target for target in self.targets if target.service in self._shards
        ]
        names = self._new_shard_names()
        for service in names:
            await self.add_targets(service)
        await asyncio.sleep(2.0)
        self._shards = names
        await self.publish_version()
        await asyncio.sleep(4.0)
        for target in old_targets:
            target.state = "draining"
            self._list_target(target)

    def _new_shard_names(self) -> tuple[str, ...]:
        return tuple(f"shard-{self._version}-{n}" for n in range(SHARDS))

    def _config_document(self, config: Config) -> dict:
        common_fields = {
            "host": "soak.example",
            "targetLatencyMs": 150,
            "maxAttempts": MAX_TARGETS,
        }
        single_service_fields = {**common_fields, "timeoutMs": 2000}
        routes = [
            {
                **common_fields,
                "name": "all",
                "prefix": "/all/",
                "kind": "safe",
                "timeoutMs": 800,
                "gather": list(config.shards),
                "topK": TOP_K,
                "minCoverage": MIN_COVERAGE,
            },
            {
                **single_service_fields,
                "name": "one",
                "prefix": "/one/",
                "kind": "safe",
                "service": "desk",
            },
            {
                **single_service_fields,
                "name": "book",
                "prefix": "/book/",
                "kind": "unsafe",
                "service": "desk",
            },
            {
                **single_service_fields,
                "name": "move",
                "prefix": "/move/",
                "kind": "safe",
                "service": config.moving_service,
            },
        ]
        names = ("desk", config.moving_service, *config.shards)
        services = [
            {
                "name": name,
                "healthPath": HEALTH_PATH.decode(),
                "maxConns": MAX_CONNECTIONS,
            }
            for name in names
        ]
        if self.has_cold_targets:
            for service in services:
                service |= {"coldStartS": COLD_S, "coldPerS": COLD_PER_S}
        if self.has_priorities:
            for route in routes:
                route["priority"] = PRIORITIES[route["name"]]
        return {
            "version": config.version,
            "routes": routes,
            "services": services,
            "limits": {},
        }

    # Gateways.

    async def restart_gateway(self, gateway: GatewayProcess) -> None:
        """Stop a gateway with SIGTERM, as the platform does, and start it again."""
        if not gateway.running or gateway.expected_exit:
            return
        gateway.expected_exit = True
        gateway.signal(signal.SIGTERM)
        await gateway.wait_for_exit()
        await gateway.start()

    async def kill_gateway(self, gateway: GatewayProcess) -> None:
        """Kill a gateway, and start it again after a short delay."""
        if gateway.expected_exit:
            return
        await gateway.kill()
        await asyncio.sleep(0.5)
        await gateway.start()

    async def pause_gateway(self, gateway: GatewayProcess, seconds: float) -> None:
        """Pause a gateway with SIGSTOP for some seconds."""
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.signal(signal.SIGCONT)

    def reload_settings(self, gateway: GatewayProcess) -> None:
        """Change the settings file of a gateway and mostly send it SIGHUP."""
        seeds = [other.control_address for other in self.gateways[:3]]
        gateway.write_settings(seeds, self.rng.choice((100, 129, 150)))
        may_signal = self.allow_early_reloads or gateway.handles(signal.SIGHUP)
        if self.rng.random() < 0.7 and may_signal:
            gateway.signal(signal.SIGHUP)


def _network_prefix(seed: int) -> str:
    """Return the first three bytes of loopback addresses that no other soak uses.

    The metrics port of a gateway is fixed, so two soaks must not share addresses, even
    if two test runs use the same seed.
    """
    return f"127.{1 + os.getpid() % 250}.{1 + seed % 250}"
