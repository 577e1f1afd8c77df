"""A whole fleet of processes for one experiment, and control over its stand-ins."""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Collection, Iterable, Mapping
from types import TracebackType
from typing import Any, Self

import aiohttp
import attrs

from filbertshelf.bench.processes import POLL_S, Processes
from filbertshelf.bench.scenarios import Version
from filbertshelf.errors import ExperimentError
from filbertshelf.protocol.platform import (
    ADMIN_PUBLISH_PATH,
    ADMIN_ROW_PATH,
    Row,
    RowKind,
)
from filbertshelf.standins import profiles
from filbertshelf.standins.profiles import Leaf, Profile
from filbertshelf.standins.target_config import Faults, Snapshot
from filbertshelf.standins.target_host import HostConfig, save_host_config

PLATFORM = "platform"
READY_TIMEOUT_S = 20.0
ADMIN_TIMEOUT_S = 10.0
# The first instances have no ready peer; a short grace period starts them sooner.
START_GRACE_S = 1.0


@attrs.frozen(kw_only=True)
class FleetConfig:
    """A fleet to start; the profile is already scaled.

    The targets share `target_processes` processes. `cold_s` is how many seconds a
    target is cold after a restart.
    """

    profile: Profile
    strategy: str = "adaptive"
    target_processes: int = 2
    cold_s: float = 0.0
    seed: int = 1


class Fleet:
    """The running platform, targets and instances of an experiment."""

    def __init__(self, cfg: FleetConfig, processes: Processes):
        self.cfg = cfg
        self.instance_addresses: dict[str, str] = {}
        """The caller address of each instance."""
        self._processes = processes
        self._leaves = profiles.list_leaves(cfg.profile)
        self._targets: dict[str, str] = {}
        self._admin: dict[str, str] = {}
        self._platform = ""
        self._fleet_key = secrets.token_hex(16)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Start all processes and wait until every instance is ready.

        Raises `ExperimentError` if one doesn't start or get ready in time.
        """
        timeout = aiohttp.ClientTimeout(total=ADMIN_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        try:
            await self._start()
        except BaseException:
            await self._session.close()
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the control connections; `Processes` ends the processes."""
        await self._session.close()

    async def set_faults(self, leaf: int | None, faults: Faults) -> None:
        """Replace the faults of the selected targets."""
        await self._each(leaf, "faults", {"faults": attrs.asdict(faults)})

    async def restart(self, leaf: int | None, down_s: float) -> None:
        """Crash the selected targets; they come back cold after `down_s`."""
        await self._each(leaf, "restart", {"down_s": down_s})

    async def hold_versions(
        self, leaf: int | None, versions: Collection[Version]
    ) -> None:
        """Make the selected targets hold exactly these versions."""
        await asyncio.gather(
            *(
                self._post_admin(self._admin[chosen.name], "versions", body)
                for chosen, body in self._version_bodies(leaf, versions)
            )
        )

    async def publish(self, version: Version) -> None:
        """Publish the configuration with this version of all services."""
        doc = profiles.build_publication(
            self.cfg.profile, self._targets, version.index_version, version.generation
        )
        url = f"http://{self._platform}{ADMIN_PUBLISH_PATH}"
        await self._send("PUT", url, doc)

    async def clear_histories(self) -> None:
        """Reset the histories and totals of all targets."""
        await self._each(None, "clear", {})

    async def histories(self) -> list[dict[str, Any]]:
        """Return the `TargetHistory` of every target as JSON objects."""
        found = []
        for admin in self._admins():
            doc = await self._send("GET", f"http://{admin}/admin/history", None)
            found.extend(doc["targets"])
        return found

    def cpu_seconds(self) -> float:
        """Return the CPU time that all running instances have used so far."""
        running = (
            name for name in self.instance_addresses if self._processes.is_running(name)
        )
        return sum(self._processes.cpu_seconds(name) for name in running)

    async def _start(self) -> None:
        names = self._start_stand_ins()
        self._platform = (await self._processes.addresses(PLATFORM))["address"]
        for name in names:
            self._note_targets(await self._processes.addresses(name))
        await self.publish(Version(profiles.FIRST_VERSION, profiles.FIRST_GENERATION))
        instances = [self._start_instance(i) for i in range(self.cfg.profile.instances)]
        await asyncio.gather(*(self._list_instance(*item) for item in instances))
        await asyncio.gather(*(self._wait_ready(name) for name, _ in instances))

    def _start_stand_ins(self) -> list[str]:
        ready = self._processes.ready_file(PLATFORM)
        self._processes.start(PLATFORM, "standin-platform", str(ready))
        configs = profiles.target_configs(self.cfg.profile, self.cfg.seed)
        configs = [attrs.evolve(cfg, cold_s=self.cfg.cold_s) for cfg in configs]
        names = []
        for number in range(self.cfg.target_processes):
            name = f"targets-{number}"
            share = tuple(configs[number :: self.cfg.target_processes])
            ready = self._processes.ready_file(name)
            path = self._processes.folder / f"{name}.json"
            save_host_config(path, HostConfig(targets=share, ready_file=str(ready)))
            self._processes.start(name, "standin-target", str(path))
            names.append(name)
        return names

    def _note_targets(self, addresses: Mapping[str, Any]) -> None:
        for name, address in addresses["targets"].items():
            self._targets[name] = address
            self._admin[name] = addresses["admin"]

    def _start_instance(self, number: int) -> tuple[str, str]:
        places = self.cfg.profile.data_centres
        name, place = f"entry-{number:02d}", places[number % len(places)]
        self._processes.start_instance(name, self._settings(name, place))
        return name, place

    def _settings(self, name: str, place: str) -> dict[str, dict[str, Any]]:
        return {
            "instance": {
                "name": name,
                "data_centre": place,
                "ready_file": self._processes.ready_file(name),
            },
            "peers": {"fleet_key": self._fleet_key},
            "platform": {"platform": self._platform, "start_grace": START_GRACE_S},
            "limits": {"strategy": self.cfg.strategy},
        }

    async def _list_instance(self, name: str, place: str) -> None:
        addresses = await self._processes.addresses(name)
        self.instance_addresses[name] = addresses["address"]
        row = Row(name, RowKind.INSTANCE, addresses["peer_address"], place)
        url = f"http://{self._platform}{ADMIN_ROW_PATH.format(name=name)}"
        await self._send("PUT", url, row.content())

    async def _wait_ready(self, name: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            async with self._session.get(
                f"http://{self.instance_addresses[name]}/v1/ready"
            ) as resp:
                if resp.status == 200:
                    return
            await asyncio.sleep(POLL_S)
        raise ExperimentError(
            f"{name} is not ready after {READY_TIMEOUT_S:g} s",
            f"read its log in {self._processes.folder}",
        )

    def _admins(self) -> list[str]:
        return sorted(set(self._admin.values()))

    def _chosen(self, leaf: int | None) -> list[Leaf]:
        return [item for item in self._leaves if leaf in (None, item.number)]

    def _version_bodies(
        self, leaf: int | None, versions: Iterable[Version]
    ) -> Iterable[tuple[Leaf, dict[str, Any]]]:
        for chosen in self._chosen(leaf):
            shards = profiles.hosted_shards(chosen)
            snapshots = [
                attrs.asdict(Snapshot(item.index_version, item.generation, shards))
                for item in versions
            ]
            yield (
                chosen,
                {
                    "target": chosen.name,
                    "service": chosen.service,
                    "snapshots": snapshots,
                },
            )

    async def _each(self, leaf: int | None, verb: str, body: Mapping[str, Any]) -> None:
        chosen = [item.name for item in self._chosen(leaf)]
        for admin in self._admins():
            names = [name for name in chosen if self._admin[name] == admin]
            await self._post_admin(admin, verb, {"target": names, **body})

    async def _post_admin(self, admin: str, verb: str, body: Mapping[str, Any]) -> None:
        await self._send("POST", f"http://{admin}/admin/{verb}", body)

    async def _send(self, method: str, url: str, body: Mapping[str, Any] | None) -> Any:
        async with self._session.request(method, url, json=body) as resp:
            if resp.status != 200:
                raise ExperimentError(
                    f"{method} {url} answered {resp.status}: {await resp.text()}",
                    "this is a fault of the experiment; correct the request",
                )
            return await resp.json()
