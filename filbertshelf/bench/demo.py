"""Demonstrates both deployments as processes, with faults."""

from __future__ import annotations

import asyncio
import collections
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from filbertshelf.bench.fleet import Fleet, FleetConfig
from filbertshelf.bench.processes import COMMAND, Processes
from filbertshelf.bench.scenarios import NEW_VERSION, OLD_VERSION
from filbertshelf.explain import find_messages, format_message
from filbertshelf.standins.deployments import PROFILES
from filbertshelf.standins.profiles import Profile, RequestKind, scale_profile
from filbertshelf.standins.target_config import Faults

SCALE = 0.1
QUERIES = 40
"""Queries per step."""
IN_FORCE_LIMIT_S = 8.0
"""Maximum time from publication until every instance uses the new version."""
REQUEST_TIMEOUT_S = 10.0
EXPLAINED_LINES = 7


@attrs.frozen
class Check:
    """A statement about the demonstration, and whether it is true."""

    text: str
    passed: bool


class Demonstration:
    """Runs one deployment and collects checks; `say` prints a line."""

    def __init__(self, profile: Profile, say: Callable[[str], None]):
        self.checks: list[Check] = []
        self._profile = profile
        self._say = say
        self._http: aiohttp.ClientSession
        self._fleet: Fleet
        self._processes: Processes

    async def run(self) -> None:
        """Start the processes, run all steps, and stop the processes."""
        self._say(f"\n{self._profile.name}")
        with (
            tempfile.TemporaryDirectory(prefix="filbertshelf-demo-") as folder,
            Processes(Path(folder), COMMAND) as self._processes,
        ):
            cfg = FleetConfig(profile=self._profile)
            timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
            async with (
                Fleet(cfg, self._processes) as self._fleet,
                aiohttp.ClientSession(timeout=timeout) as self._http,
            ):
                await self._run_steps()

    async def _run_steps(self) -> None:
        instances = len(self._fleet.instance_addresses)
        self._say(
            f"  {instances} instances, {len(await self._fleet.histories())} targets"
        )
        await self._run_without_faults()
        await self._send_booking_repeatedly()
        await self._run_with_lost_replica()
        await self._roll_version()
        await self._run_with_killed_instance()

    def _check(self, text: str, passed: bool) -> None:
        self.checks.append(Check(f"{self._profile.name}: {text}", passed))
        self._say(f"  {'ok  ' if passed else 'FAIL'} {text}")

    # Steps.

    async def _run_without_faults(self) -> None:
        answers = await self._query_all()
        self._check_answers("calm", answers, OLD_VERSION.index_version)
        self._explain(answers[0]["request_id"])

    async def _send_booking_repeatedly(self) -> None:
        first, second, *_ = self._fleet.instance_addresses
        ticket = (await self._post(first, "/v1/tickets", {}))["ticket"]
        kind = self._profile.requests[0]
        body = {
            "ticket": ticket,
            "caller": kind.callers[0],
            "labels": dict(kind.labels),
            "booking": {"rack": "r-17", "day": "2026-12-05"},
        }
        sends = [self._post(name, "/v1/bookings", body) for name in (second, first)]
        answers = [*await asyncio.gather(*sends)]
        answers.append(await self._post(second, "/v1/bookings", body))
        rows = {str(answer["rows"]) for answer in answers}
        whole = all(answer["outcome"] == "whole" for answer in answers)
        runs = await self._count_executions("book")
        text = f"a booking sent 3 times over 2 instances ran {runs} time"
        self._check(text, whole and len(rows) == 1 and runs == 1)

    async def _run_with_lost_replica(self) -> None:
        await self._fleet.set_faults(0, Faults(down=True))
        answers = await self._query_all()
        self._check_answers(
            "one replica of each shard lost", answers, OLD_VERSION.index_version
        )
        await self._fleet.set_faults(0, Faults())

    async def _roll_version(self) -> None:
        await self._fleet.hold_versions(None, (OLD_VERSION, NEW_VERSION))
        async with asyncio.TaskGroup() as group:
            query_task = group.create_task(self._query_all(interval_s=0.02))
            publish_task = group.create_task(self._publish())
        counts = collections.Counter(_version(answer) for answer in query_task.result())
        mixed = sum(not _rows_match_version(answer) for answer in query_task.result())
        text = f"index version rolled during queries: {dict(counts)}, {mixed} mixed"
        self._check(text, not mixed and counts.keys() <= {"v1", "v2"})
        seconds = publish_task.result()
        text = f"the new version was in force everywhere after {seconds:.2f} s"
        self._check(text, seconds <= IN_FORCE_LIMIT_S)
        await self._fleet.hold_versions(None, (NEW_VERSION,))
        self._check_answers("after the roll", await self._query_all(), "v2")

    async def _publish(self) -> float:
        """Publish the new version; return the seconds until all instances use it."""
        await asyncio.sleep(0.2)
        start = time.monotonic()
        await self._fleet.publish(NEW_VERSION)
        while time.monotonic() < start + 2 * IN_FORCE_LIMIT_S:
            revisions = [
                (await self._get(name, "/v1/status"))["configuration"]["revision"]
                for name in self._fleet.instance_addresses
            ]
            if len(set(revisions)) == 1 and revisions[0] == 2:
                break
            await asyncio.sleep(0.02)
        return time.monotonic() - start

    async def _run_with_killed_instance(self) -> None:
        killed = next(iter(self._fleet.instance_addresses))
        self._processes.kill(killed)
        answers = await self._query_all(excluded=killed)
        self._check_answers(f"{killed} killed, callers ask the rest", answers, "v2")

    # Requests.

    async def _query_all(
        self, interval_s: float = 0.0, excluded: str = ""
    ) -> list[Any]:
        names = [name for name in self._fleet.instance_addresses if name != excluded]
        kinds = self._profile.requests
        tasks = []
        for number in range(QUERIES):
            kind = kinds[number % len(kinds)]
            name = names[number % len(names)]
            tasks.append(asyncio.create_task(self._query(name, kind, number)))
            await asyncio.sleep(interval_s or 0.005)
        return await asyncio.gather(*tasks)

    async def _query(self, name: str, kind: RequestKind, number: int) -> Any:
        # All bodies differ, as those of distinct callers do, so that no fingerprint is
        # already known as safe.
        body = kind.body(number)
        body["query"]["day"] = number
        return await self._post(name, "/v1/query", body)

    async def _post(self, name: str, path: str, body: Mapping[str, Any]) -> Any:
        url = f"http://{self._fleet.instance_addresses[name]}{path}"
        async with self._http.post(url, json=body) as resp:
            return await resp.json()

    async def _get(self, name: str, path: str) -> Any:
        async with self._http.get(
            f"http://{self._fleet.instance_addresses[name]}{path}"
        ) as resp:
            return await resp.json()

    async def _count_executions(self, verb: str) -> int:
        return sum(
            execution["verb"] == verb
            for history in await self._fleet.histories()
            for execution in history["executions"]
        )

    # Reports.

    def _check_answers(self, step: str, answers: list[Any], version: str) -> None:
        outcomes = collections.Counter(answer["outcome"] for answer in answers)
        versions_match = all(_rows_match_version(answer) for answer in answers)
        expected = all(_version(answer) == version for answer in answers)
        whole = outcomes["whole"] == len(answers)
        text = f"{step}: {dict(outcomes)} of {len(answers)}, version {version}"
        self._check(text, whole and versions_match and expected)

    def _explain(self, request_id: str) -> None:
        time.sleep(0.2)  # Instances write their log lines every 0.1 s.
        logs = sorted(self._processes.folder.glob("entry-*.log"))
        messages = find_messages(request_id, logs)
        self._say(f"       why request {request_id[:8]} went where it did:")
        for message in messages[:EXPLAINED_LINES]:
            self._say(f"       {format_message(message)[:110]}")
        if len(messages) > EXPLAINED_LINES:
            self._say(f"       and {len(messages) - EXPLAINED_LINES} more decisions")


def _version(answer: Mapping[str, Any]) -> str:
    versions = {item["index_version"] for item in answer.get("snapshot", {}).values()}
    return versions.pop() if len(versions) == 1 else "none"


def _rows_match_version(answer: Mapping[str, Any]) -> bool:
    """Return whether all rows have the index version that the answer reports."""
    return {row["version"] for row in answer.get("rows", ())} <= {_version(answer)}


async def demonstrate(say: Callable[[str], None]) -> list[Check]:
    """Run both deployments sequentially and return all checks."""
    checks: list[Check] = []
    for profile in PROFILES.values():
        demonstration = Demonstration(scale_profile(profile, SCALE), say)
        await demonstration.run()
        checks += demonstration.checks
    return checks
