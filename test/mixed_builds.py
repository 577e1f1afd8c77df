"""Checks that this build and an older one work together: `make mixed OLD=FOLDER`.

Operators replace instances one by one, so both builds run side by side for a while.
The folder is a checkout of the older build; both run with this interpreter.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

import aiohttp
import attrs
from absl import app, flags

from filbertshelf.bench.fleet import Fleet, FleetConfig
from filbertshelf.bench.processes import Processes, StartedProcess
from filbertshelf.bench.scenarios import NEW_VERSION, OLD_VERSION
from filbertshelf.explain import find_messages
from filbertshelf.standins.deployments import PROFILES
from filbertshelf.standins.profiles import scale_profile
from test.rolling_upgrade import BuildGateway, RollingUpgrade, use_build
from test.soak import fleet as soak_fleet
from test.soak.callers import Caller
from test.soak.fleet import SoakFleet

OLD_BUILD = flags.DEFINE_string("old", None, "Folder of the older build's checkout.")

HERE = Path(__file__).resolve().parent.parent
INSTANCES = 4
GATEWAYS = 8
MAX_CONNECTIONS = 6
"""Of one target; too few for all gateways, so that some delegate their queries."""

CHANGE_IN_FORCE_S = 8.0
MEMBERS_KNOWN_S = 10.0
QUERIES_PER_GATEWAY = 20
UPGRADED_GATEWAYS = 4
MIN_REQUESTS = 500
"""Requests of a replacement under load; with fewer it shows nothing."""

OLD_FAULTS = ("DRAIN",)
"""Guarantees that the older build doesn't keep."""

QUERY_DELEGATED = 213
"""The number of the event that a sender of queries logs."""


@attrs.frozen
class Check:
    """A statement about both builds and whether it holds."""

    text: str
    passed: bool


class MixedProcesses(Processes):
    """Runs every second instance with the older build."""

    def __init__(self, folder: Path, old: Path):
        super().__init__(folder)
        self._old = old

    def start(self, name: str, *args: str) -> StartedProcess:
        """Start a process with the build that its name selects."""
        use_build(self._old if is_old(name) else HERE)
        return super().start(name, *args)


def is_old(name: str) -> bool:
    """Return whether an instance of the own interface runs the older build."""
    kind, _, number = name.partition("-")
    return kind == "entry" and int(number) % 2 == 1


def imported_build(root: Path) -> Path:
    """Return the folder from which a process imports the package after `use_build`."""
    use_build(root)
    command = "import filbertshelf; print(filbertshelf.__file__)"
    output = subprocess.check_output([sys.executable, "-c", command], text=True)
    return Path(output.strip()).resolve().parent.parent


async def until(holds: Callable[[], Awaitable[bool]], seconds: float) -> bool:
    """Return whether a condition comes true within some seconds."""
    give_up_at = time.monotonic() + seconds
    while time.monotonic() < give_up_at:
        if await holds():
            return True
        await asyncio.sleep(0.1)
    return False


class InstanceChecks:
    """Checks a fleet of instances that serves the project's own interface."""

    def __init__(self, fleet: Fleet, http: aiohttp.ClientSession, folder: Path):
        self._fleet = fleet
        self._http = http
        self._folder = folder
        self._kind = fleet.cfg.profile.requests[0]

    async def run(self) -> list[Check]:
        """Return all checks."""
        names = sorted(self._fleet.instance_addresses)
        new = next(name for name in names if not is_old(name))
        old = next(name for name in names if is_old(name))
        found = [
            Check(
                "instances of both builds see each other alive",
                await until(self._all_alive, MEMBERS_KNOWN_S),
            ),
            *[await self._query(name) for name in names],
            await self._booking(old, new),
            await self._booking(new, old),
        ]
        await self._fleet.hold_versions(None, (OLD_VERSION, NEW_VERSION))
        await self._fleet.publish(NEW_VERSION)
        in_force = await until(self._one_revision, CHANGE_IN_FORCE_S)
        found.append(Check("one publication is in force on both builds", in_force))
        return [*found, *[await self._query(name) for name in names]]

    async def _all_alive(self) -> bool:
        names = set(self._fleet.instance_addresses)
        for name in names:
            members = (await self._get(name, "/v1/status"))["members"]
            alive = {id_ for id_, status in members.items() if status == "alive"}
            if alive | {name} != names:
                return False
        return True

    async def _one_revision(self) -> bool:
        docs = [
            await self._get(n, "/v1/status") for n in self._fleet.instance_addresses
        ]
        return {doc["configuration"]["revision"] for doc in docs} == {2}

    async def _query(self, name: str) -> Check:
        body = self._kind.body(1)
        answer = await self._post(name, "/v1/query", body)
        await asyncio.sleep(0.3)
        log = self._folder / f"{name}.log"
        explained = find_messages(answer["request_id"], [log])
        return Check(
            f"{name} answers a whole query and its log explains it",
            answer["outcome"] == "whole" and len(explained) > 1,
        )

    async def _booking(self, minter: str, sender: str) -> Check:
        """Send a booking through an instance that didn't mint the ticket, twice."""
        ticket = (await self._post(minter, "/v1/tickets", {}))["ticket"]
        body = {
            "ticket": ticket,
            "caller": self._kind.callers[0],
            "labels": dict(self._kind.labels),
            "booking": {"rack": "r-17", "minter": minter},
        }
        before = await self._bookings()
        answers = [await self._post(sender, "/v1/bookings", body) for _ in range(2)]
        ran = await self._bookings() - before
        outcomes = [answer["outcome"] for answer in answers]
        return Check(
            f"a ticket of {minter} is booked through {sender}, once: {outcomes}, {ran}",
            outcomes == ["whole", "whole"] and ran == 1,
        )

    async def _bookings(self) -> int:
        return sum(
            execution["verb"] == "book"
            for history in await self._fleet.histories()
            for execution in history["executions"]
        )

    async def _post(self, name: str, path: str, body: Mapping[str, Any]) -> Any:
        url = f"http://{self._fleet.instance_addresses[name]}{path}"
        async with self._http.post(url, json=body) as resp:
            return await resp.json()

    async def _get(self, name: str, path: str) -> Any:
        async with self._http.get(
            f"http://{self._fleet.instance_addresses[name]}{path}"
        ) as resp:
            return await resp.json()


async def check_instances(old: Path, folder: Path) -> list[Check]:
    """Return the checks of instances of both builds in one fleet."""
    profile = scale_profile(next(iter(PROFILES.values())), 0.1)
    profile = attrs.evolve(profile, instances=INSTANCES)
    timeout = aiohttp.ClientTimeout(total=10.0)
    with MixedProcesses(folder, old) as processes:
        async with (
            Fleet(FleetConfig(profile=profile), processes) as fleet,
            aiohttp.ClientSession(timeout=timeout) as http,
        ):
            return await InstanceChecks(fleet, http, folder).run()


class GatewayChecks:
    """Checks a fleet of gateways; every second pair runs the older build.

    In pairs, because neighbours are in different zones and each zone needs both builds.
    """

    def __init__(self, fleet: SoakFleet, old: Path, folder: Path):
        self._fleet = fleet
        self._old = old
        builds = (HERE, HERE, old, old)
        self._gateways = [
            BuildGateway(build, gateway.name, gateway.ip, gateway.zone, folder)
            for gateway, build in zip(
                fleet.gateways, itertools.cycle(builds), strict=False
            )
        ]
        fleet.gateways = list(self._gateways)

    async def run(self) -> list[Check]:
        """Return all checks."""
        await self._fleet.start()
        found = [await self._queries()]
        for isolated, source in ((self._old, "new"), (HERE, "old")):
            found.append(await self._updates_from_peers(isolated, source))
        return [*found, *self._delegations()]

    async def _queries(self) -> Check:
        """Ask each gateway; they need some seconds to agree on who delegates."""
        await asyncio.sleep(MEMBERS_KNOWN_S)
        requests = []
        for number, gateway in enumerate(self._gateways):
            caller = Caller(self._fleet.history, [gateway], number)
            for _ in range(QUERIES_PER_GATEWAY):
                requests.append(await caller.send_once(gateway, "all"))
        answers = [request for request in requests if request.status == 200]
        whole = sum(not answer.missing_parts for answer in answers)
        text = f"{len(answers)} of {len(requests)} queries are answered, {whole} whole"
        return Check(text, len(answers) == len(requests))

    async def _updates_from_peers(self, isolated: Path, source: str) -> Check:
        """Publish while the store answers only the gateways of the other build."""
        gateways = [gateway for gateway in self._gateways if gateway.build == isolated]
        proxies = [gateway.store_proxy for gateway in gateways]
        for proxy in proxies:
            proxy.stall(True, True)
        await self._fleet.publish_version()
        in_force = await until(self._newest_in_force, CHANGE_IN_FORCE_S)
        for proxy in proxies:
            proxy.heal()
            proxy.reset()
        return Check(f"a version spreads from the {source} build's peers", in_force)

    async def _newest_in_force(self) -> bool:
        newest = self._fleet.history.configs[-1]
        for gateway in self._gateways:
            caller = Caller(self._fleet.history, [gateway], 0)
            request = await caller.send_once(gateway, "move")
            runs = self._fleet.history.runs.get(request.request_id, [])
            if {run.service for run in runs} != {newest.moving_service}:
                return False
        return True

    def _delegations(self) -> Iterable[Check]:
        """Check that each build has run queries for the other."""
        builds = {gateway.name: self._label(gateway) for gateway in self._gateways}
        runs = collections.Counter(
            (builds[gateway.name], builds[event["member"]])
            for gateway in self._gateways
            for event in _events(gateway.log_path, QUERY_DELEGATED)
            if event["taken"]
        )
        for sender, delegate in (("new", "old"), ("old", "new")):
            count = runs[sender, delegate]
            text = f"{count} queries of the {sender} build ran in the {delegate} one"
            yield Check(text, count > 0)

    def _label(self, gateway: BuildGateway) -> str:
        return "old" if gateway.build == self._old else "new"


def _events(path: Path, number: int) -> Iterable[dict[str, Any]]:
    for line in path.read_bytes().splitlines():
        message = json.loads(line)
        if message.get("event") == number:
            yield message


async def check_gateways(old: Path, folder: Path) -> list[Check]:
    """Return the checks of gateways of both builds in one fleet."""
    soak_fleet.MAX_CONNECTIONS = MAX_CONNECTIONS
    fleet = SoakFleet(1, folder, GATEWAYS)
    try:
        return await GatewayChecks(fleet, old, folder).run()
    finally:
        await fleet.close()


async def check_upgrade(before: Path, after: Path, seed: int, folder: Path) -> Check:
    """Return the check that a rolling replacement keeps all guarantees.

    Builds without the header of leaving targets break only their drain.
    """
    fleet = SoakFleet(seed, folder, UPGRADED_GATEWAYS)
    gateways = [
        BuildGateway(before, gateway.name, gateway.ip, gateway.zone, folder)
        for gateway in fleet.gateways
    ]
    fleet.gateways = list(gateways)
    try:
        await fleet.start()
        violations = await RollingUpgrade(fleet, gateways, OLD_FAULTS).run(after)
    finally:
        await fleet.close()
    count = len(fleet.history.requests)
    text = f"{count} requests while {before} is replaced by {after}: {violations[:3]}"
    return Check(text, count > MIN_REQUESTS and not violations)


async def check_builds(old: Path) -> bool:
    """Print all checks and return whether all of them hold."""
    folder = Path(tempfile.mkdtemp(prefix="mixed-builds-"))
    found = [
        Check(f"processes import {root}", imported_build(root) == root)
        for root in (HERE, old)
    ]
    found += await check_instances(old, folder)
    found += await check_gateways(old, folder)
    for seed, (before, after) in enumerate([(old, HERE), (HERE, old)], start=2):
        logs = Path(tempfile.mkdtemp(prefix="upgrade-", dir=folder))
        found.append(await check_upgrade(before, after, seed, logs))
    for check in found:
        print("ok  " if check.passed else "FAIL", check.text)
    passed = sum(check.passed for check in found)
    print(f"{passed} of {len(found)} checks passed, logs in {folder}")
    return all(check.passed for check in found)


def main(_argv: list[str]) -> None:
    """Run the checks and exit with 1 if one doesn't hold."""
    old = Path(OLD_BUILD.value).resolve()
    if not (old / "filbertshelf" / "platform" / "__main__.py").exists():
        sys.exit(f"{old} is no checkout of filbertshelf; name one with --old")
    sys.exit(0 if asyncio.run(check_builds(old)) else 1)


if __name__ == "__main__":
    flags.mark_flag_as_required("old")
    app.run(main)
