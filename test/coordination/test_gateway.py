"""A whole gateway over loopback: the store, two targets, callers and a peer."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random

import attrs
import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.coordination.gateway import Gateway
from filbertshelf.errors import SettingsError
from filbertshelf.explain import find_messages, format_message
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.platform.constants import HEADERS
from filbertshelf.platform.entries import decode_route_table
from filbertshelf.platform.store import StoreClient
from filbertshelf.protocol.http_messages import Response, find_field
from filbertshelf.settings import Settings
from filbertshelf.state.retry_window import RetryPolicy
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.server import HttpServer
from test.platform.store_standin import StoreStandin

LOOPBACK = ("127.0.0.1", 0)


class Leaf:
    """A target that answers over HTTP as the platform's targets do."""

    def __init__(self, id_: str):
        self.id = id_
        self.server = HttpServer(LOOPBACK, self, SystemClock())
        self.fault = ""
        self.held = []
        self.seen = []

    def handle(self, req):
        """Answer, refuse, fail or hold the request back."""
        self.seen.append(req)
        request_id = find_field(req.fields, b"request-id")
        stamp = (b"Server-Stamp", self.id.encode() + b"." + request_id)
        answer = Response(
            200, (stamp, (b"Request-Id", request_id)), self.id.encode().ljust(16)
        )
        if find_field(req.fields, b"expect-instance") != self.id.encode():
            req.reply(Response(421))
        elif self.fault == "shed":
            req.reply(Response(503, ((b"Not-Executed", b"1"),)))
        elif self.fault == "hold":
            self.held.append((req, answer))
        else:
            req.reply(answer)

    def limits(self):
        """Return the limits."""
        return Limits()

    def record_rejection(self, status, reason):
        """Ignore malformed requests."""

    def entry(self, service: str) -> dict:
        """Return what the target writes to the store."""
        return {
            "service": service,
            "address": "{}:{}".format(*self.server.address),
            "zone": "here",
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": 1,
        }


@attrs.define(eq=False)
class SettingsStandin:
    """Settings that a test may change."""

    cfg: GatewaySettings
    written: bool = False
    broken: bool = False

    def load(self) -> GatewaySettings:
        """Return the settings."""
        self.written = False
        if self.broken:
            raise SettingsError([])
        return self.cfg

    def changed(self) -> bool:
        """Return whether they were written."""
        return self.written


class World:
    """A store, two leafs of one shard each, and gateways."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self._stack = stack
        self.store = StoreStandin(page_size=50)
        self.store_server = self.store.make_server()
        self.leafs = [Leaf("i-1"), Leaf("i-2")]
        self.gateways: list[Gateway] = []
        self.settings: list[SettingsStandin] = []

    async def run(self, service) -> None:
        """Start a service that ends with the test."""
        await service.start()
        self._stack.push_async_callback(service.stop)

    async def start(self) -> None:
        """Start everything with one gateway, and wait until it is ready."""
        await self.run(self.store_server)
        for number, leaf in enumerate(self.leafs):
            await self.run(leaf.server)
            self.store.put(f"servers/{leaf.id}", leaf.entry(f"shard-{number}"))
        self.publish(1)
        await self.add_gateway()

    def publish(self, version: int, **extra) -> None:
        """Publish the routes under a version."""
        common = {"host": "h", "kind": "safe", "timeoutMs": 900, "maxAttempts": 2}
        routes = [
            {
                **common,
                "name": "all",
                "prefix": "/all/",
                "targetLatencyMs": 300,
                "gather": ["shard-0", "shard-1"],
                "topK": 5,
                "minCoverage": 0.5,
            },
            {**common, "name": "one", "prefix": "/one/", "service": "shard-0"},
            {
                **common,
                "name": "book",
                "prefix": "/book/",
                "service": "shard-1",
                "kind": "unsafe",
            },
            *extra.get("routes", ()),
        ]
        services = [{"name": f"shard-{n}", "maxConns": 58} for n in range(2)]
        doc = {"version": version, "routes": routes, "services": services}
        self.store.put("op/config", doc)

    async def add_gateway(self) -> Gateway:
        """Start another gateway and wait until it is ready."""
        name = f"gateway-{len(self.gateways)}"
        seeds = tuple(found.peers.address for found in self.gateways)
        cfg = GatewaySettings(
            instance=Settings(
                name=name,
                data_centre="here",
                fleet_key="a key for tests only",
                platform=self.store_server.address,
                peers=seeds,
                drain_timeout=1.0,
            ),
            listen=LOOPBACK,
            ready_listen=LOOPBACK,
            metrics_listen=LOOPBACK,
            retries=RetryPolicy(0.2, 129.0, 10.0),
            stop_grace_s=4.0,
            stop_serve_s=0.6,
        )
        settings = SettingsStandin(cfg)
        found = Gateway(
            settings,
            HEADERS,
            lambda cfg, clock: StoreClient(cfg.instance.platform, clock),
            decode_route_table,
            SystemClock(),
            random.Random(len(self.gateways)),
        )
        self.gateways.append(found)
        self.settings.append(settings)
        await self.run(found)
        await until(found.ready)
        return found

    async def ask(self, path: str, request_id: str = "r1", body: bytes = b"", **more):
        """Return the status, headers and body of an answer."""
        gateway = self.gateways[more.get("gateway", 0)]
        method = "POST" if body else "GET"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n"
            f"Request-Deadline-Ms: {more.get('deadline_ms', 900)}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection(*gateway.server.address)
        writer.write(head.encode() + body)
        data = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        return int(first.split()[1]), dict(x.split(": ", 1) for x in lines), body


async def until(done, seconds: float = 8.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not done():
            await asyncio.sleep(0.02)


@pytest.fixture
async def world():
    """Return a started world."""
    async with contextlib.AsyncExitStack() as stack:
        found = World(stack)
        await found.start()
        yield found


async def test_a_query_over_shards_is_served_end_to_end(world):
    status, fields, body = await world.ask("/all/x")
    assert status == 200
    assert sorted(fields["Part-Stamps"].split(", ")) == ["i-1.r1", "i-2.r1"]
    assert fields["Missing-Parts"] == "0"
    assert body == b"i-2".ljust(16) + b"i-1".ljust(16)
    seen = world.leafs[0].seen[-1]
    assert (seen.method, seen.target) == (b"GET", b"/all/x")
    assert 0 < int(find_field(seen.fields, b"request-deadline-ms")) <= 900


async def test_a_single_request_passes_method_path_and_body(world):
    status, fields, body = await world.ask("/book/x?y=1", body=b"two racks")
    assert (status, fields["Server-Stamp"]) == (200, "i-2.r1")
    assert body == b"i-2".ljust(16)
    seen = world.leafs[1].seen[-1]
    assert (seen.method, seen.target, seen.body) == (
        b"POST",
        b"/book/x?y=1",
        b"two racks",
    )


async def test_an_unknown_route_is_404_and_no_configuration_is_503(world):
    # Guards against a 404 from an instance that knows no configuration yet.
    assert (await world.ask("/other/x"))[0] == 404
    world.gateways[0].feed.table = None
    status, fields, _ = await world.ask("/one/x")
    assert status == 503
    assert float(fields["Retry-After"]) > 0


async def test_a_new_route_is_in_force_and_a_dropped_one_is_not(world):
    extra = {"name": "new", "host": "h", "prefix": "/new/", "service": "shard-0"}
    extra |= {"kind": "safe", "timeoutMs": 900}
    world.publish(2, routes=[extra])
    await until(lambda: world.gateways[0].feed.table.version == 2)
    assert (await world.ask("/new/x"))[0] == 200
    world.publish(5)
    await until(lambda: world.gateways[0].feed.table.version == 5)
    assert (await world.ask("/new/x"))[0] == 404


async def test_a_refusal_is_explained_from_the_log_and_the_metrics(
    world, log, tmp_path
):
    # Guards against a failed request whose story lacks the inputs that decided it.
    world.leafs[1].fault = "shed"
    status, _, _ = await world.ask("/book/x", "r-shed", b"racks")
    assert status == 503
    path = tmp_path / "log"
    path.write_text("\n".join(json.dumps(line, default=str) for line in log))
    story = [format_message(line) for line in find_messages("r-shed", [path])]
    assert any("attempt-failed" in line and "target=i-2" in line for line in story)
    assert any("reason=overloaded" in line for line in story)
    last = story[-1]
    assert "outcome=not run" in last
    assert "status=503" in last
    assert "version=1" in last
    text = world.gateways[0].metrics.render().decode()
    assert 'filbertshelf_requests_total{outcome="not run",route="book"} 1.0' in text
    assert "filbertshelf_config_version 1.0" in text


async def test_a_stopping_gateway_is_not_ready_but_finishes(world):
    # Guards against a stop that cuts a request that was read.
    gateway = world.gateways[0]
    world.leafs[0].fault = "hold"
    asking = asyncio.create_task(world.ask("/one/x", deadline_ms=900))
    await until(lambda: world.leafs[0].held)
    stopping = asyncio.create_task(gateway.stop())
    await until(lambda: not gateway.ready())
    await asyncio.sleep(0.2)
    (req, answer), *_ = world.leafs[0].held
    req.reply(answer)
    assert (await asking)[0] == 200
    world.leafs[0].fault = ""
    status, fields, _ = await world.ask("/one/x", "r2")
    assert (status, fields["Connection"]) == (200, "close")
    await stopping


async def test_settings_are_reloaded_and_bad_ones_refused(world, log):
    # Guards against a signal that ends the process, or half of a settings file.
    settings = world.settings[0]
    retries = RetryPolicy(0.1, 5.0, 10.0)
    settings.cfg = attrs.evolve(settings.cfg, retries=retries, listen=("127.0.0.1", 9))
    settings.written = True
    await until(lambda: any(line["event"] == 106 for line in log))
    (line,) = [line for line in log if line["event"] == 106]
    assert line["changed"] == ["listen", "retries"]
    assert line["need_restart"] == ["listen"]
    settings.broken = True
    world.gateways[0].reload()
    assert world.gateways[0].cfg.retries == retries
    assert any(line["event"] == 107 for line in log)


async def test_a_gateway_that_the_store_turns_away_starts_from_its_peers(world):
    world.store.fault = "503"
    second = await world.add_gateway()
    assert second.feed.table.version == 1
    assert (await world.ask("/all/x", gateway=1))[0] == 200


async def test_crashes_are_counted_over_the_fleet(world):
    # Guards against a request that crashes targets through each instance anew.
    await world.add_gateway()
    first, second = world.gateways
    await until(lambda: first.membership.size_seen() == 2)
    for wave in (1, 2, 3):
        first._request_crashed("fingerprint", "r1", wave)
    await until(lambda: second.crashes.is_quarantined("fingerprint"))


async def test_an_answer_clears_a_request_and_a_conviction_refuses_it(world):
    # Guards against a good request that stays suspected, and a bad one that runs on.
    gateway = world.gateways[0]
    fingerprint = gateway.crashes.fingerprint(b"h", b"/one/x", b"")
    gateway.crashes.record_crash(fingerprint, "r0", 2)
    assert (await world.ask("/one/x"))[0] == 200
    assert not gateway.crashes.has_records()
    gateway.crashes.record_crash(fingerprint, "r0", 3)
    seen = len(world.leafs[0].seen)
    status, fields, _ = await world.ask("/one/x")
    assert (status, float(fields["Retry-After"])) == (503, 60.0)
    assert len(world.leafs[0].seen) == seen


async def test_a_pause_is_noticed_and_the_platform_asked_at_once(world, log):
    gateway = world.gateways[0]
    calls = len(world.store.calls)
    gateway._guard._mono -= 5.0
    await until(lambda: any(line["event"] == 104 for line in log))
    await until(lambda: len(world.store.calls) > calls, 0.5)
