"""The fleet of processes of one experiment, and the control of its stand-ins."""

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
START_GRACE_S = 1.0
"""Start grace period of the instances.

It is short because the first instances have no ready peer and wait for all of it.
"""


@attrs.frozen(kw_only=True)
class FleetConfig:
    """Configuration of a fleet; the profile is already scaled.

    The targets are distributed over `target_processes` processes. `cold_s` is the
    seconds for which a target is cold after a restart.
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
        """Instance name -> address of its caller API."""
        self._processes = processes
        self._leaves = profiles.list_leaves(cfg.profile)
        self._target_addresses: dict[str, str] = {}
        self._admin_addresses: dict[str, str] = {}
        self._platform_address = ""
        self._fleet_key = secrets.token_hex(16)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        """Start all processes and wait until every instance is ready.

        Raises `ExperimentError` if one doesn't start or become ready in time.
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
        """Close the control connections; `Processes` stops the processes."""
        await self._session.close()

    async def set_faults(self, leaf: int | None, faults: Faults) -> None:
        """Replace the faults of the selected targets."""
        await self._post_to_targets(leaf, "faults", {"faults": attrs.asdict(faults)})

    async def restart(self, leaf: int | None, down_s: float) -> None:
        """Crash the selected targets; they start cold after `down_s` seconds."""
        await self._post_to_targets(leaf, "restart", {"down_s": down_s})

    async def hold_versions(
        self, leaf: int | None, versions: Collection[Version]
    ) -> None:
        """Replace the versions that the selected targets hold."""
        await asyncio.gather(
            *(
                self._post_admin(self._admin_addresses[selected.name], "versions", body)
                for selected, body in self._snapshot_bodies(leaf, versions)
            )
        )

    async def publish(self, version: Version) -> None:
        """Publish the configuration with all services at this version."""
        doc = profiles.publication_document(
            self.cfg.profile,
            self._target_addresses,
            version.index_version,
            version.generation,
        )
        url = f"http://{self._platform_address}{ADMIN_PUBLISH_PATH}"
        await self._request_json("PUT", url, doc)

    async def clear_histories(self) -> None:
        """Reset the histories and counters of all targets."""
        await self._post_to_targets(None, "clear", {})

    async def histories(self) -> list[dict[str, Any]]:
        """Return the `TargetHistory` of every target as JSON objects."""
        histories = []
        for admin in self._list_admin_addresses():
            doc = await self._request_json("GET", f"http://{admin}/admin/history", None)
            histories.extend(doc["targets"])
        return histories

    def cpu_seconds(self) -> float:
        """Return the CPU seconds that all running instances have used so far."""
        running = (
            name for name in self.instance_addresses if self._processes.is_running(name)
        )
        return sum(self._processes.cpu_seconds(name) for name in running)

    async def _start(self) -> None:
        host_names = self._start_standins()
        self._platform_address = (await self._processes.addresses(PLATFORM))["address"]
        for name in host_names:
            self._record_target_addresses(await self._processes.addresses(name))
        await self.publish(Version(profiles.FIRST_VERSION, profiles.FIRST_GENERATION))
        instances = [self._start_instance(i) for i in range(self.cfg.profile.instances)]
        await asyncio.gather(*(self._add_to_instance_list(*item) for item in instances))
        await asyncio.gather(*(self._wait_until_ready(name) for name, _ in instances))

    def _start_standins(self) -> list[str]:
        ready = self._processes.ready_file(PLATFORM)
        self._processes.start(PLATFORM, "standin-platform", str(ready))
        configs = profiles.target_configs(self.cfg.profile, self.cfg.seed)
        configs = [attrs.evolve(cfg, cold_s=self.cfg.cold_s) for cfg in configs]
        host_names = []
        for number in range(self.cfg.target_processes):
            name = f"targets-{number}"
            share = tuple(configs[number :: self.cfg.target_processes])
            ready = self._processes.ready_file(name)
            path = self._processes.folder / f"{name}.json"
            save_host_config(path, HostConfig(targets=share, ready_file=str(ready)))
            self._processes.start(name, "standin-target", str(path))
            host_names.append(name)
        return host_names

    def _record_target_addresses(self, addresses: Mapping[str, Any]) -> None:
        for name, address in addresses["targets"].items():
            self._target_addresses[name] = address
            self._admin_addresses[name] = addresses["admin"]

    def _start_instance(self, number: int) -> tuple[str, str]:
        data_centres = self.cfg.profile.data_centres
        name, data_centre = (
            f"entry-{number:02d}",
            data_centres[number % len(data_centres)],
        )
        self._processes.start_instance(name, self._instance_settings(name, data_centre))
        return name, data_centre

    def _instance_settings(
        self, name: str, data_centre: str
    ) -> dict[str, dict[str, Any]]:
        return {
            "instance": {
                "name": name,
                "data_centre": data_centre,
                "ready_file": self._processes.ready_file(name),
            },
            "peers": {"fleet_key": self._fleet_key},
            "platform": {
                "platform": self._platform_address,
                "start_grace": START_GRACE_S,
            },
            "limits": {"strategy": self.cfg.strategy},
        }

    async def _add_to_instance_list(self, name: str, data_centre: str) -> None:
        addresses = await self._processes.addresses(name)
        self.instance_addresses[name] = addresses["address"]
        row = Row(name, RowKind.INSTANCE, addresses["peer_address"], data_centre)
        url = f"http://{self._platform_address}{ADMIN_ROW_PATH.format(name=name)}"
        await self._request_json("PUT", url, row.content())

    async def _wait_until_ready(self, name: str) -> None:
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

    def _list_admin_addresses(self) -> list[str]:
        return sorted(set(self._admin_addresses.values()))

    def _select_leaves(self, leaf: int | None) -> list[Leaf]:
        return [item for item in self._leaves if leaf in (None, item.number)]

    def _snapshot_bodies(
        self, leaf: int | None, versions: Iterable[Version]
    ) -> Iterable[tuple[Leaf, dict[str, Any]]]:
        for selected in self._select_leaves(leaf):
            shards = profiles.hosted_shards(selected)
            snapshots = [
                attrs.asdict(Snapshot(item.index_version, item.generation, shards))
                for item in versions
            ]
            yield (
                selected,
                {
                    "target": selected.name,
                    "service": selected.service,
                    "snapshots": snapshots,
                },
            )

    async def _post_to_targets(
        self, leaf: int | None, verb: str, body: Mapping[str, Any]
    ) -> None:
        selected = [item.name for item in self._select_leaves(leaf)]
        for admin in self._list_admin_addresses():
            target_names = [
                name for name in selected if self._admin_addresses[name] == admin
            ]
            await self._post_admin(admin, verb, {"target": target_names, **body})

    async def _post_admin(self, admin: str, verb: str, body: Mapping[str, Any]) -> None:
        await self._request_json("POST", f"http://{admin}/admin/{verb}", body)

    async def _request_json(
        self, method: str, url: str, body: Mapping[str, Any] | None
    ) -> Any:
        async with self._session.request(method, url, json=body) as resp:
            if resp.status != 200:
                raise ExperimentError(
                    f"{method} {url} answered {resp.status}: {await resp.text()}",
                    "this is a bug in the experiment; correct the request",
                )
            return await resp.json()
