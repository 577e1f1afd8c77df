"""A complete gateway over loopback, with the store, two targets, callers and a peer."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import random
from datetime import timedelta
from types import SimpleNamespace

import attrs
import pytest

from filbertshelf import events
from filbertshelf.clock import BootClock, Clock, SystemClock
from filbertshelf.coordination.forward import Forward
from filbertshelf.coordination.gateway import Gateway
from filbertshelf.coordination.gather import Gather
from filbertshelf.coordination.request_run import RequestRun
from filbertshelf.coordination.routed_request import RoutedRequest
from filbertshelf.coordination.shard_call import ShardCall
from filbertshelf.errors import SettingsError
from filbertshelf.explain import find_messages, format_message
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.platform.constants import HEADERS
from filbertshelf.platform.entries import decode_route_table
from filbertshelf.platform.store import StoreClient
from filbertshelf.protocol.http_messages import Response, find_field
from filbertshelf.settings import Settings
from filbertshelf.state.log_limit import MAX_LINES_PER_SECOND
from filbertshelf.state.retry_window import RetryPolicy
from filbertshelf.state.routing import Limits
from filbertshelf.state.withholding import Cause
from filbertshelf.transport.http1.caller_budget import CallerBudget
from filbertshelf.transport.http1.exchange import Exchange
from filbertshelf.transport.http1.server import HttpServer, Request
from test.platform.store_standin import StoreStandin
from test.transport.serving import serving

LOOPBACK = ("127.0.0.1", 0)


class TargetStandin:
    """An HTTP target that behaves like the platform's targets."""

    def __init__(self, id_: str):
        self.id = id_
        self.server = HttpServer(LOOPBACK, self, SystemClock())
        self.fault = ""
        self.rate_limit = b""
        self.leaving = False
        self.retry_after = b""
        self.held_requests = []
        self.requests = []

    def handle(self, req):
        """Answer, refuse or hold the request."""
        self.requests.append(req)
        request_id = find_field(req.fields, b"request-id")
        stamp = (b"Server-Stamp", self.id.encode() + b"." + request_id)
        fields = [stamp, (b"Request-Id", request_id)]
        if self.rate_limit:
            fields.append((b"Server-Limit", self.rate_limit))
        if self.leaving:
            fields.append((b"Server-Leaving", b"1"))
        answer = Response(200, tuple(fields), self.id.encode().ljust(16))
        if find_field(req.fields, b"expect-instance") != self.id.encode():
            req.reply(Response(421))
        elif self.fault == "shed":
            fields = [(b"Not-Executed", b"1")]
            if self.retry_after:
                fields.append((b"Retry-After", self.retry_after))
            req.reply(Response(503, tuple(fields)))
        elif self.fault == "hold":
            self.held_requests.append((req, answer))
        else:
            req.reply(answer)

    def limits(self):
        """Return the limits."""
        return Limits()

    def record_rejection(self, status, reason):
        """Ignore malformed requests."""

    def entry(self, service: str) -> dict:
        """Return the entry that the target writes to the store."""
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
    """A source of settings that a test can change."""

    cfg: GatewaySettings
    changed_on_disk: bool = False
    invalid: bool = False

    def load(self) -> GatewaySettings:
        """Return the settings."""
        self.changed_on_disk = False
        if self.invalid:
            raise SettingsError([])
        return self.cfg

    def changed(self) -> bool:
        """Return whether the settings were changed."""
        return self.changed_on_disk


class Deployment:
    """A store, two targets of one shard each, and gateways."""

    def __init__(self, stack: contextlib.AsyncExitStack):
        self._stack = stack
        self.store = StoreStandin(page_size=50)
        self.store_server = self.store.make_server()
        self.targets = [TargetStandin("i-1"), TargetStandin("i-2")]
        self.gateways: list[Gateway] = []
        self.settings: list[SettingsStandin] = []

    async def start_service(self, service) -> None:
        """Start a service that is stopped when the test ends."""
        await service.start()
        self._stack.push_async_callback(service.stop)

    async def start(self) -> None:
        """Start the store, the targets and one gateway, and wait until it is ready."""
        await self.start_service(self.store_server)
        for number, target in enumerate(self.targets):
            await self.start_service(target.server)
            self.store.put(f"servers/{target.id}", target.entry(f"shard-{number}"))
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
        connections = extra.get("connections", 58)
        services = [{"name": f"shard-{n}", "maxConns": connections} for n in range(2)]
        doc = {"version": version, "routes": routes, "services": services}
        self.store.put("op/config", doc)

    async def add_gateway(self, clock: Clock | None = None) -> Gateway:
        """Start another gateway and wait until it is ready."""
        name = f"gateway-{len(self.gateways)}"
        seeds = tuple(gateway.peers.address for gateway in self.gateways)
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
        gateway = Gateway(
            settings,
            HEADERS,
            lambda cfg, clock: StoreClient(cfg.instance.platform, clock),
            decode_route_table,
            clock or SystemClock(),
            random.Random(len(self.gateways)),
        )
        self.gateways.append(gateway)
        self.settings.append(settings)
        await self.start_service(gateway)
        await wait_until(gateway.ready)
        return gateway

    async def send_request(
        self, path: str, request_id: str = "r1", body: bytes = b"", **options
    ):
        """Send a request and return the status, headers and body of the response."""
        gateway = self.gateways[options.get("gateway", 0)]
        method = "POST" if body else "GET"
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request_id}\r\n"
            f"Request-Deadline-Ms: {options.get('deadline_ms', 900)}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection(*gateway.server.address)
        writer.write(head.encode() + body)
        data = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        return int(first.split()[1]), dict(x.split(": ", 1) for x in lines), body


async def wait_until(condition, seconds: float = 8.0) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


@pytest.fixture
async def deployment():
    """Return a started deployment."""
    async with contextlib.AsyncExitStack() as stack:
        started = Deployment(stack)
        await started.start()
        yield started


async def test_a_query_over_shards_is_served_end_to_end(deployment):
    status, fields, body = await deployment.send_request("/all/x")
    assert status == 200
    assert sorted(fields["Part-Stamps"].split(", ")) == ["i-1.r1", "i-2.r1"]
    assert fields["Missing-Parts"] == "0"
    assert body == b"i-2".ljust(16) + b"i-1".ljust(16)
    request = deployment.targets[0].requests[-1]
    assert (request.method, request.target) == (b"GET", b"/all/x")
    assert 0 < int(find_field(request.fields, b"request-deadline-ms")) <= 900


async def test_a_forwarded_request_keeps_method_path_and_body(deployment):
    status, fields, body = await deployment.send_request(
        "/book/x?y=1", body=b"two racks"
    )
    assert (status, fields["Server-Stamp"]) == (200, "i-2.r1")
    assert body == b"i-2".ljust(16)
    request = deployment.targets[1].requests[-1]
    assert (request.method, request.target, request.body) == (
        b"POST",
        b"/book/x?y=1",
        b"two racks",
    )


async def test_finished_requests_are_freed_without_the_garbage_collector(deployment):
    # Guards against reference cycles: they held thousands of finished shard calls,
    # 20 MB, because the collector runs rarely. The extra routes share services with
    # routes of another priority, so that admission is controlled.
    common = {"host": "h", "timeoutMs": 900, "priority": 1}
    shards = ["shard-0", "shard-1"]
    deployment.publish(
        2,
        routes=[
            {**common, "name": "low", "prefix": "/low/", "kind": "safe"}
            | {"gather": shards, "topK": 5, "minCoverage": 0.5},
            {**common, "name": "late", "prefix": "/late/", "kind": "unsafe"}
            | {"service": "shard-0"},
        ],
    )
    gateway = deployment.gateways[0]
    await wait_until(lambda: gateway.feed.table.version == 2)
    gc.collect()
    gc.disable()
    try:
        for path in ("/all/x", "/one/x", "/book/x", "/low/x", "/late/x"):
            assert (await deployment.send_request(path))[0] == 200
        assert gateway.router.room.groups()
        classes = (Gather, Forward, ShardCall, Exchange, RequestRun, RoutedRequest)
        held = [
            item
            for item in gc.get_objects()
            if isinstance(item, classes) and not _runs(item)
        ]
        assert held == []
    finally:
        gc.enable()


def _runs(item) -> bool:
    """Return whether an item is an exchange that runs, such as a poll of the store."""
    return isinstance(item, Exchange) and item.end is None


async def test_an_unknown_route_is_404_and_no_configuration_is_503(deployment):
    # Guards against a 404 from an instance that knows no configuration yet.
    assert (await deployment.send_request("/other/x"))[0] == 404
    deployment.gateways[0].feed._config.table = None
    status, fields, _ = await deployment.send_request("/one/x")
    assert status == 503
    assert float(fields["Retry-After"]) > 0


async def test_a_new_route_is_in_force_and_a_dropped_one_is_not(deployment):
    extra = {"name": "new", "host": "h", "prefix": "/new/", "service": "shard-0"}
    extra |= {"kind": "safe", "timeoutMs": 900}
    deployment.publish(2, routes=[extra])
    await wait_until(lambda: deployment.gateways[0].feed.table.version == 2)
    assert (await deployment.send_request("/new/x"))[0] == 200
    deployment.publish(5)
    await wait_until(lambda: deployment.gateways[0].feed.table.version == 5)
    assert (await deployment.send_request("/new/x"))[0] == 404


async def test_a_refusal_is_recorded_in_the_log_and_the_metrics(
    deployment, log, tmp_path
):
    # Guards against a failed request whose log lines lack the inputs of the decision.
    deployment.targets[1].fault = "shed"
    status, _, _ = await deployment.send_request("/book/x", "r-shed", b"racks")
    assert status == 503
    path = tmp_path / "log"
    path.write_text("\n".join(json.dumps(line, default=str) for line in log))
    lines = [format_message(line) for line in find_messages("r-shed", [path])]
    assert any("attempt-failed" in line and "target=i-2" in line for line in lines)
    assert any("reason=overloaded" in line for line in lines)
    last = lines[-1]
    assert "outcome=not run" in last
    assert "status=503" in last
    assert "version=1" in last
    text = deployment.gateways[0].metrics.render().decode()
    assert 'filbertshelf_requests_total{outcome="not run",route="book"} 1.0' in text
    assert "filbertshelf_config_version 1.0" in text


async def test_a_deadline_with_very_many_digits_is_a_long_one(deployment):
    # Guards against a number that can't be converted and ends the connection without
    # an answer.
    status, _headers, _body = await deployment.send_request(
        "/one/x", deadline_ms="9" * 400
    )
    assert status == 200


class SteppedClock(BootClock):
    """A clock whose time of day can be stepped."""

    step_s = 0.0

    def now(self):
        """Return the time of day after all steps."""
        return super().now() + timedelta(seconds=self.step_s)


async def test_steps_of_the_time_of_day_change_nothing(deployment, log):
    # Guards against a decision that reads the time of day: deadlines, the age of the
    # configuration, suspicions of members.
    clock = SteppedClock()
    gateway = await deployment.add_gateway(clock)
    other = deployment.gateways[0]
    await wait_until(lambda: gateway.membership.member_count() == 2)
    for version, step_s in enumerate((7_200.0, -7_200.0, 0.0, -5.0, 5.0), start=2):
        clock.step_s = step_s
        status, _, _ = await deployment.send_request("/all/x", gateway=1)
        assert status == 200
        deployment.publish(version)
        newest = [g.feed for g in deployment.gateways]
        await wait_until(
            lambda newest=newest, version=version: all(
                feed.table.version == version for feed in newest
            )
        )
        assert gateway.feed.age_s() < 5.0
    assert other.membership.member_count() == gateway.membership.member_count() == 2
    events_seen = {line.get("event") for line in log}
    assert not events_seen & {events.PAUSE_DETECTED.number, events.MEMBER_DEAD.number}


async def test_a_stopping_gateway_is_not_ready_but_finishes_its_requests(deployment):
    # Guards against a stop that aborts a request that was already read.
    gateway = deployment.gateways[0]
    deployment.targets[0].fault = "hold"
    response_task = asyncio.create_task(
        deployment.send_request("/one/x", deadline_ms=900)
    )
    await wait_until(lambda: deployment.targets[0].held_requests)
    stop_task = asyncio.create_task(gateway.stop())
    await wait_until(lambda: not gateway.ready())
    await asyncio.sleep(0.2)
    (req, answer), *_ = deployment.targets[0].held_requests
    req.reply(answer)
    assert (await response_task)[0] == 200
    deployment.targets[0].fault = ""
    status, fields, _ = await deployment.send_request("/one/x", "r2")
    assert (status, fields["Connection"]) == (200, "close")
    await stop_task


async def test_a_stopping_gateway_answers_what_it_can_no_longer_run(deployment):
    # Guards against requests that wait in a stopping gateway, for a target's answer or
    # for a connection, and lose their connection without an answer when its time ends.
    gateway = deployment.gateways[0]
    wait = {"name": "wait", "host": "h", "prefix": "/wait/", "service": "shard-1"}
    wait |= {"kind": "unsafe", "timeoutMs": 9_000}
    # Each gateway opens only one connection to a target.
    deployment.publish(2, routes=[wait], connections=1)
    await wait_until(lambda: gateway.feed.table.version == 2)
    deployment.targets[1].fault = "hold"
    sending = [
        asyncio.create_task(
            deployment.send_request("/wait/x", f"r{n}", b"racks", deadline_ms=9_000)
        )
        for n in range(4)
    ]
    await wait_until(lambda: gateway.server.in_flight == len(sending))
    await gateway.stop()
    answers = await asyncio.gather(*sending)
    ((running, _answer),) = deployment.targets[1].held_requests
    running_id = find_field(running.fields, b"request-id").decode()
    for number, (status, fields, _) in enumerate(answers):
        if f"r{number}" == running_id:
            assert status == 502
        else:
            assert status == 503
            assert float(fields["Retry-After"]) > 0


async def test_settings_are_reloaded_and_invalid_ones_refused(deployment, log):
    # Guards against a reload that ends the process, or applies half of a settings file.
    settings = deployment.settings[0]
    retries = RetryPolicy(0.1, 5.0, 10.0)
    settings.cfg = attrs.evolve(settings.cfg, retries=retries, listen=("127.0.0.1", 9))
    settings.changed_on_disk = True
    await wait_until(lambda: any(line["event"] == 106 for line in log))
    (line,) = [line for line in log if line["event"] == 106]
    assert line["changed"] == ["listen", "retries"]
    assert line["need_restart"] == ["listen"]
    settings.invalid = True
    deployment.gateways[0].reload()
    assert deployment.gateways[0].cfg.retries == retries
    assert any(line["event"] == 107 for line in log)


async def test_a_gateway_that_the_store_refuses_starts_from_its_peers(deployment):
    deployment.store.fault = "503"
    second = await deployment.add_gateway()
    assert second.feed.table.version == 1
    assert (await deployment.send_request("/all/x", gateway=1))[0] == 200


async def test_crashes_are_counted_across_the_fleet(deployment):
    # Guards against a request that may crash targets again through each instance.
    await deployment.add_gateway()
    first, second = deployment.gateways
    await wait_until(lambda: first.membership.member_count() == 2)
    for deaths in (1, 2, 3):
        first.fleet_notices.announce_crash("fingerprint", "r1", deaths)
    await wait_until(lambda: second.crashes.is_quarantined("fingerprint"))


async def test_a_rate_limit_is_kept_and_its_end_is_known_to_all_gateways(
    deployment, log
):
    # Guards against a target in need that gets its usual load, and against one that
    # hardly gets requests after its need.
    await deployment.add_gateway()
    gateways = deployment.gateways
    await wait_until(lambda: all(g.membership.member_count() == 2 for g in gateways))
    deployment.targets[0].rate_limit = b"0.5"
    for number in range(2):
        status, fields, _ = await deployment.send_request("/one/x", gateway=number)
        assert (status, fields["Server-Limit"]) == (200, "0.5")
    status, fields, _ = await deployment.send_request("/one/x", "r-limited")
    assert (status, float(fields["Retry-After"]) > 0) == (503, True)
    metrics = gateways[0].metrics.render().decode()
    assert "filbertshelf_rate_limited_targets 1.0" in metrics
    deployment.targets[0].rate_limit = b""
    first, second = (g.targets for g in gateways)
    first.statements.record_rate_limit(first._entries["i-1"], None, 0.0)
    await wait_until(lambda: not second.rate_limited_count())
    assert (await deployment.send_request("/one/x", "r2", gateway=1))[0] == 200
    assert any(
        line.get("event") == 209 and line["missing"] == ["shard-0: rate_limited"]
        for line in log
    )


async def test_a_target_that_says_it_leaves_gets_no_new_request(deployment, log):
    # Guards against requests at a target after its drain time while the listing, which
    # may lag, still calls it ready; from other gateways too.
    await deployment.add_gateway()
    gateways = deployment.gateways
    await wait_until(lambda: all(g.membership.member_count() == 2 for g in gateways))
    target = deployment.targets[0]
    target.leaving = True
    status, fields, _ = await deployment.send_request("/one/x")
    assert (status, fields["Server-Leaving"]) == (200, "1")
    status, fields, _ = await deployment.send_request("/one/x")
    assert (status, float(fields["Retry-After"]) > 0) == (503, True)
    other = gateways[1].targets
    await wait_until(lambda: other.withheld_count(Cause.LEAVING) == 1)
    assert (await deployment.send_request("/one/x", gateway=1))[0] == 503
    assert len(target.requests) == 1
    metrics = gateways[0].metrics.render().decode()
    assert "filbertshelf_leaving_targets 1.0" in metrics


async def test_an_evacuated_data_centre_gets_no_request_until_its_key_is_removed(
    deployment,
):
    # Guards against a request at a data centre that the operator drains, also if it
    # waits for a connection, and against one that stays unused afterwards.
    target = deployment.targets[0]
    target.fault = "hold"
    queued = [asyncio.create_task(deployment.send_request("/one/x")) for _ in range(60)]
    gateway = deployment.gateways[0]
    pool = gateway.targets._entries["i-1"].pool
    await wait_until(lambda: pool.waiting and len(target.held_requests) == pool.size)
    deployment.store.put("op/evacuate/here", {})
    gateway.feed.refresh()
    await wait_until(lambda: gateway.targets.withheld_count(Cause.EVACUATED) == 2)
    assert pool.waiting == 0
    running = len(target.held_requests)
    for req, answer in target.held_requests:
        req.reply(answer)
    statuses = [status for status, _, _ in await asyncio.gather(*queued)]
    assert (statuses.count(200), statuses.count(503)) == (running, 60 - running)
    assert (await deployment.send_request("/one/x"))[0] == 503
    assert len(target.requests) == running
    metrics = gateway.metrics.render().decode()
    assert "filbertshelf_evacuated_data_centres 1.0" in metrics
    target.fault = ""
    deployment.store.delete("op/evacuate/here")
    await wait_until(lambda: not gateway.targets.withheld_count(Cause.EVACUATED))
    assert (await deployment.send_request("/one/x"))[0] == 200


async def test_a_target_that_names_a_time_to_return_gets_nothing_until_then(deployment):
    # Guards against retries and new requests at a target that wants none.
    target = deployment.targets[1]
    target.fault = "shed"
    target.retry_after = b"1.5"
    status, fields, _ = await deployment.send_request("/book/x", body=b"racks")
    assert status == 503
    target.fault = ""
    for _ in range(4):
        status, fields, _ = await deployment.send_request("/book/x", body=b"racks")
        assert (status, float(fields["Retry-After"]) > 0) == (503, True)
    assert len(target.requests) == 1
    await asyncio.sleep(1.7)
    assert (await deployment.send_request("/book/x", body=b"racks"))[0] == 200


async def test_an_answer_clears_a_suspected_request_and_a_quarantined_one_is_refused(
    deployment,
):
    # Guards against a harmless request that stays suspected, and a harmful one that
    # still runs.
    gateway = deployment.gateways[0]
    fingerprint = gateway.crashes.fingerprint(b"h", b"/one/x", b"")
    gateway.crashes.record_crash(fingerprint, "r0", 2)
    assert (await deployment.send_request("/one/x"))[0] == 200
    assert not gateway.crashes.has_records()
    gateway.crashes.record_crash(fingerprint, "r0", 3)
    request_count = len(deployment.targets[0].requests)
    status, fields, _ = await deployment.send_request("/one/x")
    assert (status, float(fields["Retry-After"])) == (503, 60.0)
    assert len(deployment.targets[0].requests) == request_count


async def test_a_pause_is_detected_and_the_platform_polled_at_once(deployment, log):
    gateway = deployment.gateways[0]
    calls = len(deployment.store.calls)
    gateway._pause_monitor._monotonic_at -= 5.0
    await wait_until(lambda: any(line["event"] == 104 for line in log))
    await wait_until(lambda: len(deployment.store.calls) > calls, 0.5)


class LateTarget:
    """A target that refuses the first sending and repeats its answers late.

    Each answer comes once more before the next one on the same connection, as a copy.
    """

    id = "i-late"

    def __init__(self):
        self.runs: list[bytes] = []
        self.refused = False

    async def handle(self, reader, writer) -> None:
        """Serve one connection."""
        last_answer = b""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(int(header_of(head, b"content-length")))
                writer.write(last_answer)
                last_answer = self.answer(header_of(head, b"request-id"))
                writer.write(last_answer)

    def answer(self, request_id: bytes) -> bytes:
        """Refuse the first request, and run the others."""
        common = b"Request-Id: " + request_id + b"\r\nContent-Length: 0\r\n\r\n"
        if not self.refused:
            self.refused = True
            return b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n" + common
        self.runs.append(request_id)
        return b"HTTP/1.1 200 OK\r\nServer-Stamp: s." + request_id + b"\r\n" + common


def header_of(head: bytes, name: bytes) -> bytes:
    """Return the value of a header of a request."""
    (line,) = [x for x in head.split(b"\r\n") if x.lower().startswith(name + b":")]
    return line.partition(b":")[2].strip()


async def test_a_late_copy_of_a_refusal_is_not_the_answer_to_the_next_sending(
    deployment, log
):
    # Guards against a booking that runs twice, or that is refused though it ran: the
    # copy names the same request as the due answer.
    gateway = deployment.gateways[0]
    target = LateTarget()
    async with serving(target.handle) as address:
        entry = deployment.targets[0].entry("late")
        entry |= {"address": "{}:{}".format(*address)}
        deployment.store.put(f"servers/{target.id}", entry)
        late = {"name": "late", "host": "h", "prefix": "/late/", "service": "late"}
        late |= {"kind": "unsafe", "timeoutMs": 900, "maxAttempts": 1}
        deployment.publish(2, routes=[late])
        await wait_until(lambda: gateway.feed.table.version == 2)
        await wait_until(lambda: target.id in gateway.targets.states())
        answers = [
            await deployment.send_request("/late/x", f"r{n}", b"racks")
            for n in range(6)
        ]
    assert [status for status, _, _ in answers] == [200] * 6
    assert target.runs == [b"r%d" % n for n in range(6)]
    assert any(line["event"] == 216 for line in log)


async def test_connections_closed_for_a_bound_are_counted_and_some_logged(
    deployment, log
):
    # Guards against a log that grows with each connection of an abusive client.
    gateway = deployment.gateways[0]
    for _ in range(100):
        gateway.budget.on_closed("memory", 5_000, "10.1.2.3")
    lines = [line for line in log if line["event"] == 220]
    assert (lines[0]["bound"], lines[0]["bytes"]) == ("memory", 5_000)
    # The loop may run in two seconds of the clock.
    assert len(lines) <= 20
    text = gateway.metrics.render().decode()
    name = "filbertshelf_connections_closed_by_bound_total"
    assert f'{name}{{bound="memory"}} 100.0' in text


async def test_callers_that_leave_are_counted_and_some_logged(deployment, log):
    # Guards against a log that grows with each caller that is cut off.
    gateway = deployment.gateways[0]
    context = gateway.router._context
    http_request = SimpleNamespace(received_at=context.clock.monotonic())
    request = SimpleNamespace(text_id="r1", http_request=http_request)
    for _ in range(1_000):
        gateway.router._log_disconnect(request)
    lines = [line for line in log if line["event"] == 211]
    # The loop may run in two seconds of the clock.
    assert 0 < len(lines) <= 2 * MAX_LINES_PER_SECOND
    text = gateway.metrics.render().decode()
    assert "filbertshelf_callers_left_total 1000.0" in text
    left_out = 1_000 - len(lines)
    assert f"filbertshelf_log_lines_left_out_total {left_out}.0" in text


async def test_a_reload_applies_the_memory_and_descriptors(deployment):
    gateway, source = deployment.gateways[0], deployment.settings[0]
    source.cfg = attrs.evolve(
        source.cfg, memory_bytes=200_000_000, max_descriptors=1_535
    )
    gateway.reload()
    await wait_until(lambda: gateway.budget.max_connections < 1_303)
    gateway.budget.update(FixedHolder(gateway.budget), 41_000_000)
    assert gateway.budget.total == 0


@attrs.define(eq=False)
class FixedHolder:
    """Something that is shed completely."""

    budget: CallerBudget

    def shed(self):
        """Release all bytes."""
        self.budget.release(self)


@pytest.mark.parametrize("size", [100, 100_000])
async def test_an_ended_request_keeps_its_fingerprint(deployment, size):
    # Guards against large bodies that reference cycles keep, and against a target's
    # death that is counted for another request because the body is gone.
    gateway = deployment.gateways[0]
    fields = [(b"Host", b"h"), (b"Request-Id", b"r1")]
    req = Request(b"POST", b"/one/x", fields, b"x" * size, 0.0, True, lambda resp: None)
    table = gateway.feed.table
    request = RoutedRequest.make(
        req, b"r1", table.match("h", "/one/x"), table, 9.0, gateway.context
    )
    before = request.fingerprint(gateway.crashes)
    request.drop_payload()
    assert len(req.body) == (size if size == 100 else 0)
    assert request.fingerprint(gateway.crashes) == before
