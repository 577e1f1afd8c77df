"""Fixtures that run target stand-ins in the test process."""

import asyncio
import contextlib

import aiohttp
import attrs
import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.protocol import target as api
from filbertshelf.standins.target import (
    HostedService,
    Snapshot,
    TargetConfig,
    TargetStandin,
)

TIMEOUT = aiohttp.ClientTimeout(total=10)
PLAIN = TargetConfig(
    name="t1",
    services=(
        HostedService(
            "quote", (Snapshot("v1", 1, ("s0",)), Snapshot("v2", 2, ("s0", "s1")))
        ),
    ),
    connection_cost_ms=0.0,
    service_ms=1.0,
)


@attrs.frozen
class Reply:
    """The response of a target."""

    status: int
    headers: dict
    body: dict


class Client:
    """Sends requests to a target, each on a new connection."""

    def __init__(self, standin, session):
        self.standin = standin
        self.session = session

    async def work(self, request_id="r1", verb="search", body=None, **headers):
        """Send work for shard s0 of service quote, by default at v1, generation 1."""
        sent = {
            api.REQUEST_ID: request_id,
            api.INDEX_VERSION: "v1",
            api.GENERATION: "1",
        }
        sent.update({name.replace("_", "-"): v for name, v in headers.items()})
        path = api.work_path("quote", "s0", verb)
        return await self.send("POST", path, body or {"query": {}}, sent)

    async def send(self, method, path, body=None, headers=None):
        """Send a request and read its whole response."""
        url = f"http://{self.standin.address}{path}"
        async with self.session.request(
            method, url, json=body, headers=headers
        ) as resp:
            return Reply(resp.status, resp.headers, await resp.json())


@pytest.fixture
def target():
    @contextlib.asynccontextmanager
    async def run(clock=None, **changes):
        standin = TargetStandin(attrs.evolve(PLAIN, **changes), clock or SystemClock())
        connector = aiohttp.TCPConnector(force_close=True)
        async with (
            standin,
            aiohttp.ClientSession(connector=connector, timeout=TIMEOUT) as session,
        ):
            yield Client(standin, session)

    return run


@pytest.fixture
def until():
    async def wait(condition):
        for _ in range(10_000):
            if condition():
                # Lets tasks that were just created run up to their first sleep.
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                return
            await asyncio.sleep(0.001)
        pytest.fail("the condition was not met in time")

    return wait
