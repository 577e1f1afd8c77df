"""Tests of the HTTP server for callers: parsing, refusals and closing."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc

import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.protocol.http_messages import Response
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.server import HttpServer

GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class Echo:
    """Answers with the method, the target and the body, or keeps requests pending."""

    def __init__(self):
        self.pending = []
        self.hold = False
        self.disconnected = []
        self.seen = []
        self.refused = []
        self.current_limits = Limits(1_000, 2_000, 0.3, 0.6)

    def handle(self, req):
        """Answer the request, or keep it pending."""
        self.seen.append(req)
        req.on_disconnect = lambda: self.disconnected.append(req)
        if self.hold:
            self.pending.append(req)
        else:
            req.reply(Response(200, (), req.method + b" " + req.target + req.body))

    def limits(self):
        """Return the limits."""
        return self.current_limits

    def record_rejection(self, status, reason):
        """Record the status."""
        self.refused.append(status)

    def refusing(self, server):
        """Return whether a connection will refuse its next request."""
        return any(conn._refusal is not None for conn in server.connections)


@pytest.fixture
def app():
    """Return the handler of the requests."""
    return Echo()


@pytest.fixture
async def server(app):
    """Return a server that listens."""
    http_server = HttpServer(("127.0.0.1", 0), app, SystemClock())
    await http_server.start()
    yield http_server
    await http_server.stop()


async def send_and_read(server, *parts: bytes, pause: float = 0.0) -> bytes:
    """Send the parts and return all bytes received until the connection closes."""
    reader, writer = await asyncio.open_connection(*server.address)
    for part in parts:
        writer.write(part)
        await writer.drain()
        await asyncio.sleep(pause)
    data = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return data


def statuses(data: bytes) -> list[int]:
    """Return the statuses of all responses in the data."""
    return [int(part[:3]) for part in data.split(b"HTTP/1.1 ")[1:]]


async def test_pipelined_requests_are_answered_in_order(server, app):
    app.hold = True
    response = asyncio.create_task(
        send_and_read(server, GET.replace(b"/x", b"/1") + GET.replace(b"/x", b"/2"))
    )
    while not app.pending:
        await asyncio.sleep(0.01)
    assert len(app.seen) == 1
    app.hold = False
    app.pending[0].reply(Response(200, (), b"first"))
    data = await response
    assert data.index(b"first") < data.index(b"GET /2")


async def test_a_request_in_small_parts_is_assembled(server):
    post = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
    parts = [post[at : at + 7] for at in range(0, len(post), 7)]
    data = await send_and_read(server, *parts, pause=0.005)
    assert b"POST /xhello" in data


async def test_a_chunked_body_is_assembled(server):
    post = (
        b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
    )
    assert b"POST /xhello" in await send_and_read(server, post)


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"Content-Length: -1\r\n",
        b"Transfer-Encoding: chunked, gzip\r\n",
        b"X: a\nb\r\n",
        b"Bad Name: 1\r\n",
    ],
)
async def test_ambiguous_framing_is_refused(server, app, head):
    # Guards against request smuggling: a body that two parsers delimit differently.
    post = b"POST /x HTTP/1.1\r\nHost: h\r\n" + head + b"\r\n0\r\n\r\nGET /y HTTP/1.1"
    data = await send_and_read(server, post + b"\r\nHost: h\r\n\r\n")
    assert statuses(data)[0] == 400
    assert b"/y" not in data
    assert [req.target for req in app.seen] == []


async def test_bytes_that_are_not_http_are_refused(server, app):
    assert statuses(await send_and_read(server, b"\x16\x03\x01nonsense\r\n\r\n")) == [
        400
    ]
    assert app.refused == [400]


async def test_long_headers_are_refused(server):
    long = b"GET /x HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 2_000 + b"\r\n\r\n"
    assert statuses(await send_and_read(server, long)) == [431]


async def test_unterminated_long_headers_are_refused(server):
    assert statuses(
        await send_and_read(server, b"GET /x HTTP/1.1\r\nX: " + b"a" * 2_000)
    ) == [431]


@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: 3000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\nbb8\r\n"],
)
async def test_a_long_body_is_refused_without_a_reset(server, app, framing):
    # Guards against losing the response because unread bytes reset the connection.
    head = b"POST /x HTTP/1.1\r\nHost: h\r\n" + framing
    assert statuses(await send_and_read(server, head + b"a" * 3_000)) == [413]
    assert app.seen == []


async def test_incomplete_headers_are_refused_after_a_timeout(server, app):
    assert statuses(await send_and_read(server, b"GET /x HTTP/1.1\r\nHo")) == [408]


async def test_an_idle_connection_is_closed_without_a_response(server):
    assert await send_and_read(server) == b""


async def test_a_response_to_head_has_no_body(server):
    data = await send_and_read(server, GET.replace(b"GET", b"HEAD"))
    assert data.endswith(b"\r\n\r\n")
    assert b"Content-Length: 7" in data


async def test_expect_100_continue_is_answered(server):
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2"
    data = await send_and_read(server, head + b"\r\n\r\n", b"ok", pause=0.05)
    assert statuses(data) == [100, 200]


async def test_on_disconnect_is_called_when_the_caller_leaves(server, app):
    app.hold = True
    _reader, writer = await asyncio.open_connection(*server.address)
    writer.write(GET)
    while not app.pending:
        await asyncio.sleep(0.01)
    writer.close()
    for _ in range(100):
        if app.disconnected:
            break
        await asyncio.sleep(0.01)
    assert app.disconnected == app.pending
    app.pending[0].reply(Response(200))


async def test_connection_close_of_a_request_closes_the_connection(server):
    data = await send_and_read(
        server, GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    )
    assert b"Connection: close" in data


async def test_a_stopping_server_finishes_a_running_request(server, app):
    # Guards against a stop that drops a request that has been received.
    app.hold = True
    response = asyncio.create_task(send_and_read(server, GET))
    while not app.pending:
        await asyncio.sleep(0.01)
    server.stopping = True
    server.stop_listening()
    assert server.in_flight == 1
    app.pending[0].reply(Response(200, (), b"done"))
    data = await response
    assert b"Connection: close" in data
    assert data.endswith(b"done")
    assert server.in_flight == 0


async def test_a_stopping_server_answers_pipelined_requests(server, app):
    # Guards against requests that were received behind a running one, and that a stop
    # drops with the answer to the first.
    app.hold = True
    response = asyncio.create_task(send_and_read(server, GET * 3))
    while not app.pending:
        await asyncio.sleep(0.01)
    server.stopping = True
    app.hold = False
    app.pending[0].reply(Response(200, (), b"first"))
    server.stop_listening()
    assert server.in_flight == 1
    data = await response
    assert statuses(data) == [200, 200, 200]
    assert data.count(b"Connection: close") == 1


async def test_a_server_that_ends_answers_what_was_received(server, app):
    # Guards against a stop that closes a connection before its queued requests get the
    # refusal of a handler that takes no more.
    app.hold = True
    response = asyncio.create_task(send_and_read(server, GET * 3))
    while not app.pending:
        await asyncio.sleep(0.01)
    server.stopping = True
    app.hold = False
    app.pending[0].reply(Response(503))
    await server.stop()
    assert statuses(await response) == [503, 200, 200]


OFFERS = {
    "h2c": b"Connection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AA\r\n",
    "websocket": b"Connection: keep-alive, upgrade\r\nUpgrade: websocket\r\n",
    "two lines": b"Connection: upgrade\r\nConnection: x-y\r\nUpgrade: h2c, foo\r\n",
}
FRAMINGS = {
    "length": (b"Content-Length: 5\r\n\r\n", b"racks"),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"2\r\nra\r\n3\r\ncks\r\n0\r\n\r\n",
    ),
    "none": (b"Content-Length: 0\r\n\r\n", b""),
}


@pytest.mark.parametrize("part_bytes", [1, 7, 1_000])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("offer", OFFERS)
async def test_an_offer_of_another_protocol_is_ignored(
    server, app, offer, framing, part_bytes
):
    # Guards against a body that is lost: the parser takes it for bytes of the offered
    # protocol, and a booking ran without its body.
    end, body = FRAMINGS[framing]
    data = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Y: 1\r\n" + OFFERS[offer] + end + body
    data += GET + GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    parts = [data[at : at + part_bytes] for at in range(0, len(data), part_bytes)]
    answer = await send_and_read(server, *parts)
    assert statuses(answer) == [200, 200, 200]
    first = app.seen[0]
    assert first.body == (b"racks" if body else b"")
    assert (b"X-Y", b"1") in first.fields
    assert [req.method for req in app.seen] == [b"POST", b"GET", b"GET"]


async def test_thousands_of_offers_in_one_write_are_ignored(server, app):
    # Guards against a call stack that grows with each pipelined offer: a caller could
    # end its connection and fill the log with one write.
    count = 3_000
    offer = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    last = GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    data = await send_and_read(server, offer * count + last)
    assert statuses(data) == [200] * (count + 1)


async def test_an_offer_beside_expect_gets_one_interim_response(server):
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n" + OFFERS["h2c"]
    last = b"Content-Length: 2\r\n\r\n"
    data = await send_and_read(
        server, head + last, b"ok", GET[:-2], b"Connection: close\r\n\r\n"
    )
    assert statuses(data) == [100, 200, 200]


async def test_a_tunnel_is_not_opened(server, app):
    # Guards against bytes for another server that are read as a request.
    head = b"CONNECT h:80 HTTP/1.1\r\nHost: h:80\r\n\r\n"
    data = await send_and_read(server, head + GET)
    assert len(statuses(data)) == 1
    assert len(app.seen) <= 1


POST_CHUNKED = b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "repeated", "status"),
    [
        (b"GET /", b"x", 431),
        (b"GET / HTTP/1.1\r\n", b"X-Filler: 1\r\n", 431),
        (b"GET / HTTP/1.1\r\nX-Filler: ", b"x", 431),
        (POST_CHUNKED + b"1;", b"x", 400),
        (POST_CHUNKED, b"0", 400),
        (POST_CHUNKED + b"0\r\n", b"X-Filler: 1\r\n", 400),
        (POST_CHUNKED + b"0\r\nX-Filler: ", b"x", 400),
        (POST_CHUNKED, b"1\r\nx\r\n", 413),
    ],
)
@pytest.mark.parametrize("behind_another", [False, True])
async def test_a_request_without_end_is_refused(
    server, app, start, repeated, status, behind_another
):
    # Guards against a caller that sends until the process has no memory left, also
    # while its previous request still runs.
    app.current_limits = Limits(1_000, 2_000, 30.0, 30.0)
    app.hold = behind_another
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write((GET if behind_another else b"") + start)
    tracemalloc.start()
    with contextlib.suppress(ConnectionError):
        for _ in range(400):
            writer.write(repeated * (64 * 1024 // len(repeated)))
            await writer.drain()
            if app.pending and app.refusing(server):
                app.pending.pop().reply(Response(200))
    _now, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    async with asyncio.timeout(5):
        data = await reader.read()
    writer.close()
    assert statuses(data) == ([200] if behind_another else []) + [status]
    assert peak < 4 * 1024 * 1024
