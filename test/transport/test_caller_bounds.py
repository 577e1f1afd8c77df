"""Bounds on what callers' connections cost: memory, unread answers, their number."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.protocol.http_messages import Response
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1 import caller_budget, untaken_requests
from filbertshelf.transport.http1 import server as server_module
from filbertshelf.transport.http1.caller_budget import CallerBounds, CallerBudget
from filbertshelf.transport.http1.server import HttpServer

GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n"
ANSWER = b"x" * 4_000_000


class App:
    """Answers each request, or holds it while `hold` is set."""

    def __init__(self):
        self.hold = False
        self.body = b"x"
        self.held = []
        self.disconnected = []
        self.handled = 0
        self.idle_timeout_s = 30.0

    def handle(self, req):
        """Answer or hold the request."""
        self.handled += 1
        req.on_disconnect = lambda: self.disconnected.append(req)
        if self.hold:
            self.held.append(req)
        else:
            req.reply(Response(200, (), self.body))

    def limits(self):
        """Return the limits."""
        return Limits(header_bytes=131_072, idle_timeout_s=self.idle_timeout_s)

    def record_rejection(self, status, reason):
        """Ignore a refusal."""


@pytest.fixture
def app():
    return App()


@pytest.fixture
def closed():
    return []


@pytest.fixture
async def server(app, closed):
    budget = CallerBudget(on_closed=lambda bound, *_rest: closed.append(bound))
    http_server = HttpServer(("127.0.0.1", 0), app, SystemClock(), budget)
    await http_server.start()
    yield http_server
    await http_server.stop()


@contextlib.asynccontextmanager
async def connection(server, data: bytes = b"", receive_bytes: int = 0):
    """Connect, send some data and yield the streams; read them only when asked."""
    sock = socket.socket()
    if receive_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, server.address)
    reader, writer = await asyncio.open_connection(sock=sock, limit=1_024)
    writer.write(data)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def test_bounds_follow_the_machine():
    bounds = CallerBounds(152_000_000, 1_535)
    assert bounds.budget_bytes == 30_400_000
    assert bounds.max_connections(300) == 1_535 - 200 - 32 - 300
    # Connections to targets can't take all descriptors.
    assert bounds.max_connections(1_300) == (1_535 - 200 - 32) // 4
    assert CallerBounds().max_connections(10_000) == float("inf")


def test_the_cap_follows_what_others_have_open():
    open_now = [500]
    budget = CallerBudget(CallerBounds(0, 1_535), count_open=lambda: open_now[0])
    budget.check_descriptors(400, 0.0)
    assert budget.max_connections == 1_535 - 232 - 100
    open_now[0] = 700
    budget.check_descriptors(400, 0.5)
    assert budget.max_connections == 1_535 - 232 - 100
    budget.check_descriptors(400, 1.0)
    assert budget.max_connections == 1_535 - 232 - 300


async def test_the_largest_incomplete_request_is_refused(server, app, closed):
    # Guards against bodies that together need more memory than the machine has.
    server.budget.set_limit(1_000_000)
    async with (
        connection(server, POST + b"x" * 700_000) as (reader, _writer),
        connection(server, POST + b"x" * 100_000),
    ):
        await until(lambda: server.budget.total > 800_000)
        async with connection(server, POST + b"x" * 300_000):
            assert (await reader.readline()).startswith(b"HTTP/1.1 503")
            await until(lambda: server.budget.total > 400_000)
            assert server.budget.total < 500_000
    assert closed == ["memory"]
    assert app.handled == 0


async def test_a_running_request_that_is_too_large_is_closed(server, app, closed):
    # Guards against a refusal that says not run while a target may run the request.
    app.hold = True
    async with connection(server, POST + b"x" * 900_000) as (reader, _writer):
        await until(lambda: app.held)
        server.budget.set_limit(500_000)
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        assert app.disconnected == app.held
    assert server.budget.total == 0


async def test_a_refusal_comes_after_the_answer_to_the_running_request(server, app):
    # Guards against a refusal that the caller takes for that of the running request.
    app.hold = True
    async with connection(server, GET + POST + b"x" * 800_000) as (reader, _writer):
        await until(lambda: server.budget.total > 800_000)
        server.budget.set_limit(500_000)
        app.held[0].reply(Response(200, (), b"first"))
        data = await reader.read()
    statuses = [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"503"]
    assert app.handled == 1


async def test_a_large_head_of_short_lines_is_served(server, app):
    # Guards against a bound that refuses a single request inside the limits.
    server.budget.set_bounds(CallerBounds(152_000_000, 1_535))
    head = GET[:-2] + b"a:\r\n" * 16_284 + b"\r\n"
    async with connection(server, head) as (reader, _writer):
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")


async def test_pipelined_requests_wait_while_answers_are_not_read(server, app, closed):
    # Guards against answers that collect in the process; a caller that reads them
    # late still gets all.
    app.body = b"x" * 500_000
    async with connection(server, GET * 40, receive_bytes=4_096) as (reader, _writer):
        await asyncio.sleep(0.5)
        assert app.handled < 20
        assert server.budget.total < 2_000_000
        data = bytearray()
        while data.count(b"HTTP/1.1 200") < 40 or not data.endswith(b"x" * 1_000):
            data += await reader.read(65_536)
    assert closed == []


async def test_a_caller_that_never_reads_is_cut(server, app, closed, monkeypatch):
    # Guards against unread answers that are held without end.
    monkeypatch.setattr(server_module, "CALLER_STALL_S", 0.5)
    app.body = ANSWER
    async with connection(server, GET, receive_bytes=4_096):
        await until(lambda: closed)
        assert not server.connections
    assert closed == ["unread answers"]


@pytest.mark.parametrize("option", [b"keep-alive", b"close"])
async def test_a_slow_reader_gets_its_answer(server, app, closed, option, monkeypatch):
    # Guards against counting the kernel's pace for a stall, and against the end of the
    # linger or idle time, both of which are shorter than the transfer.
    monkeypatch.setattr(server_module, "CALLER_STALL_S", 1.0)
    app.idle_timeout_s = 0.6
    app.body = ANSWER
    get = GET[:-2] + b"Connection: %b\r\n\r\n" % option
    count = 0
    async with connection(server, get, receive_bytes=65_536) as (reader, _writer):
        while count < len(ANSWER):
            count += len(await reader.readexactly(100_000))
            await asyncio.sleep(0.05)
    assert closed == []


async def test_the_connection_that_is_idle_longest_makes_room(server, app, closed):
    # Guards against idle connections that use up the descriptors.
    server.budget.max_connections = 2
    app.hold = True
    async with connection(server, GET) as (busy, _writer):
        await until(lambda: app.held)
        async with connection(server) as (idle, _writer):
            await until(lambda: len(server.connections) == 2)
            async with connection(server) as (_newer, newer_writer):
                with contextlib.suppress(ConnectionError):
                    assert await idle.read() == b""
                newer_writer.write(GET)
                await until(lambda: len(app.held) == 2)
                async with connection(server) as (refused, _writer):
                    # All are busy, so the new one is closed.
                    with contextlib.suppress(ConnectionError):
                        assert await refused.read() == b""
                app.held[0].reply(Response(200))
                assert (await busy.readline()).startswith(b"HTTP/1.1 200")
    assert closed == ["connections"] * 2


async def test_a_lower_cap_closes_idle_connections(server, closed):
    # Guards against connections to targets that find no descriptor left.
    async with connection(server), connection(server), connection(server, b"G"):
        await until(lambda: sum(conn.busy for conn in server.connections) == 1)
        await until(lambda: len(server.connections) == 3)
        server.budget.max_connections = 1
        await until(lambda: len(server.connections) == 1)
        assert server.in_flight == 1
    assert closed == ["connections"] * 2


async def test_an_incomplete_request_makes_room(server, app):
    # Guards against callers that send one byte so as not to count as idle.
    server.budget.max_connections = 1
    async with connection(server, b"G"):
        await until(lambda: any(conn.busy for conn in server.connections))
        async with connection(server, GET) as (reader, _writer):
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")


async def test_a_slow_request_makes_room_before_an_idle_connection(
    server, closed, monkeypatch
):
    # Guards against callers that send one byte and outlast those that behave well.
    monkeypatch.setattr(server_module, "EVICTION_GRACE_S", 0.1)
    server.budget.max_connections = 2
    async with connection(server, GET) as (idle, writer), connection(server, b"G"):
        await idle.readuntil(b"\r\n\r\n")
        await until(lambda: server.in_flight == 1)
        await asyncio.sleep(0.15)
        async with connection(server):
            await until(lambda: closed)
            assert server.in_flight == 0
            await idle.readexactly(1)
            writer.write(GET)
            assert (await idle.readline()).startswith(b"HTTP/1.1 200")


async def test_an_old_idle_connection_makes_room_before_a_new_one(
    server, closed, monkeypatch
):
    # Guards against closing a new connection before its first request has come.
    monkeypatch.setattr(server_module, "EVICTION_GRACE_S", 0.3)
    server.budget.max_connections = 2
    async with connection(server, GET) as (used, used_writer):
        await used.readuntil(b"\r\n\r\n")
        await used.readexactly(1)
        await asyncio.sleep(0.35)
        async with connection(server) as (new, new_writer):
            await until(lambda: len(server.connections) == 2)
            used_writer.write(GET)
            await used.readuntil(b"\r\n\r\n")
            await used.readexactly(1)
            # Now the new connection is idle for longer than the used one.
            async with connection(server):
                await until(lambda: closed)
                assert await used.read() == b""
                new_writer.write(GET)
                assert (await new.readline()).startswith(b"HTTP/1.1 200")


async def write_repeatedly(writer):
    """Write three times; this raises if the first write causes a reset."""
    for _ in range(3):
        writer.write(GET)
        await writer.drain()
        await asyncio.sleep(0.05)


async def test_a_request_on_an_evicted_connection_causes_no_reset(server, app, closed):
    # Guards against a reset while a request is in transit to an idle connection.
    server.budget.max_connections = 1
    async with connection(server) as (idle, writer):
        await until(lambda: server.connections)
        async with connection(server) as (_new, new_writer):
            await until(lambda: closed)
            await write_repeatedly(writer)
            assert await idle.read() == b""
            assert app.handled == 0
            new_writer.write(GET)
            await until(lambda: app.handled == 1)
            await asyncio.sleep(1.5)
            # The lingering ends by itself.
            with pytest.raises(ConnectionError):
                await write_repeatedly(writer)
    assert closed == ["connections"]


@pytest.mark.parametrize("hold", [False, True], ids=["idle", "busy"])
async def test_few_scans_at_the_cap(server, app, closed, hold, monkeypatch):
    # Guards against a scan of all connections for each that is accepted.
    scans = []
    evict = HttpServer._evict
    monkeypatch.setattr(
        HttpServer, "_evict", lambda *args: scans.append(0) or evict(*args)
    )
    monkeypatch.setattr(server_module, "EVICTION_RETRY_S", 60.0)
    server.budget.max_connections = 64
    app.hold = hold
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(64):
            await stack.enter_async_context(connection(server, GET))
        await until(lambda: app.handled == 64)
        for _ in range(16):
            await stack.enter_async_context(connection(server))
        await until(lambda: len(closed) == 16)
        assert len(scans) == (1 if hold else 4)
        assert len(server.connections) == 64


async def test_evicted_connections_that_linger_are_few(server, closed):
    # Guards against evicted connections that take the descriptors of others.
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(60):
            await stack.enter_async_context(connection(server))
        await until(lambda: len(server.connections) == 60)
        server.budget.max_connections = 1
        await until(lambda: len(server.connections) == 1)
        assert len(server._lingering) == server_module.EVICTION_BATCH
        server.budget.max_connections = 100
        await until(lambda: not server._lingering)
    assert closed == ["connections"] * 59


def test_the_bounds_on_callers_and_on_targets_have_names_of_their_own():
    # Guards against importing the constant of the other bound.
    shared = {
        name
        for name in vars(caller_budget)
        if name.isupper() and name in vars(untaken_requests)
    }
    assert shared == set()
