"""Tests of the platform client against the platform stand-in."""

import asyncio

import aiohttp
import pytest

from filbertshelf.errors import (
    PlatformContentError,
    PlatformError,
    PlatformMissingError,
    PlatformTooLargeError,
)
from filbertshelf.protocol.platform import (
    MAX_BODY_BYTES,
    Row,
    RowKind,
    parse_document,
    parse_rows,
)
from filbertshelf.standins.platform import Faults, PlatformStandin
from filbertshelf.transport.platform import PlatformClient

ROW = Row("entry-1", RowKind.INSTANCE, "127.0.0.1:9000", "bne-1")


@pytest.fixture
async def platform():
    standin = PlatformStandin()
    await standin.start()
    yield standin
    await standin.stop()


@pytest.fixture
async def client(platform):
    async with PlatformClient(platform.address, timeout=0.5) as platform_client:
        yield platform_client


async def test_a_watch_waits_for_the_next_revision(platform, client):
    with pytest.raises(PlatformMissingError):
        await client.read("config")
    assert await client.watch("config", 0, 0.05) is None
    watch = asyncio.create_task(client.watch("config", 0, 5))
    await asyncio.sleep(0.05)
    assert platform.publish({"fleet": {"instances": 2}}) == 1
    assert (await watch).content == {"fleet": {"instances": 2}}
    assert (await client.read("config")).revision == 1
    # A waiting watch counts as one call regardless of how long it waits.
    assert platform.call_counts == {"read config": 2, "watch config": 2}


async def test_a_stale_platform_serves_the_old_revision(platform, client):
    platform.publish({"fleet": {"instances": 1}})
    platform.publish({"fleet": {"instances": 2}})
    platform.set_faults(Faults(stale_at={"config": 1}))
    assert (await client.read("config")).revision == 1
    assert await client.watch("config", 1, 0.05) is None


async def test_calls_to_a_dead_or_slow_platform_raise_an_error(platform, client):
    watch = asyncio.create_task(client.watch("config", 0, 30))
    await asyncio.sleep(0.05)
    platform.set_faults(Faults(down=True))
    with pytest.raises(PlatformError):
        await watch
    with pytest.raises(PlatformError):
        await client.read("config")
    platform.set_faults(Faults(delay=2))
    with pytest.raises(PlatformError):
        await client.read("config")
    await platform.stop()
    with pytest.raises(PlatformError):
        await client.read("config")


async def test_a_watch_sees_a_delayed_row_of_the_instance_list(platform, client):
    platform.set_faults(Faults(lag=0.1))
    platform.set_row(ROW)
    assert (await client.read("instances")).content == {}
    document = await client.watch("instances", 0, 5)
    assert parse_rows(document.content) == ({"entry-1": ROW}, [])


async def test_the_admin_paths_publish_and_set_rows(platform, client):
    host, port = platform.address
    base = f"http://{host}:{port}"
    async with aiohttp.ClientSession(base) as http:
        async with http.put("/admin/documents/config?revision=7", json={}) as resp:
            assert await resp.json() == {"revision": 7}
        async with http.put("/admin/instances/entry-1", json=ROW.content()) as resp:
            assert resp.status == 200
        async with http.put("/admin/instances/entry-2", json={"kind": "x"}) as resp:
            assert resp.status == 400
        async with http.put("/admin/faults", json={"stale_at": {"config": 3}}) as resp:
            assert resp.status == 200
        # The read path does not accept writes.
        async with http.put("/v1/documents/config", json={}) as resp:
            assert resp.status == 405
        with pytest.raises(PlatformMissingError):
            await client.read("config")
        assert (await client.read("instances")).content == {"entry-1": ROW.content()}
        async with http.get("/v1/calls") as resp:
            assert (await resp.json())["total"] == 2


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"revision": true, "content": {}}',
        b'{"revision": -1, "content": {}}',
        b'{"revision": 1, "content": []}',
        b'{"revision": 1, "content": {"a": NaN}}',
        b'{"revision": 1, "content": {"a": 1e999}}',
        b'{"revision": 1, "content": {"a": 1, "a": 2}}',
        b'{"revision": 1, "content": {"a": "\\ud800"}}',
        b"[" * 100_000,
    ],
)
def test_a_body_that_is_not_a_document_raises_a_content_error(body):
    with pytest.raises(PlatformContentError):
        parse_document(body)


async def test_a_body_over_the_limit_raises_a_too_large_error(platform, client):
    with pytest.raises(PlatformTooLargeError):
        platform.publish({"a": "x" * 1_000_000})
    oversize = b" " * (MAX_BODY_BYTES + 1)
    stored = platform._history["instances"][-1]
    platform._history["instances"].append(type(stored)(stored.document, oversize))
    with pytest.raises(PlatformTooLargeError):
        await client.read("instances")
