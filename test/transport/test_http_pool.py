"""Tests of the HTTP connection pool against servers that misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.transport.http1.exchange import Exchange, ExchangeEnd
from filbertshelf.transport.http1.pool import ConnectionPool
from test.transport.serving import serving

HEAD = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
ONE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: %d\r\n\r\nok"


class Server:
    """Answers the n-th request of each connection with the n-th of `answers`."""

    def __init__(self, *answers: bytes, reset: bool = False, close: bool = False):
        self.answers = answers
        self.reset = reset
        self.close = close
        self.requests: list[bytes] = []
        self.connections = 0

    async def handle(self, reader, writer):
        """Answer the requests of one connection."""
        self.connections += 1
        for answer in self.answers:
            try:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            writer.write(answer)
            await writer.drain()
        if self.reset:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        if self.reset or self.close:
            writer.close()
        else:
            await reader.read()
            writer.close()


@pytest.fixture
async def pool_of():
    """Return a function that starts a server and returns a pool to it."""
    pools = []
    async with contextlib.AsyncExitStack() as stack:

        async def start(server: Server, quota: int = 1) -> ConnectionPool:
            address = await stack.enter_async_context(serving(server.handle))
            pools.append(ConnectionPool(address, quota, SystemClock()))
            return pools[-1]

        yield start
        for pool in pools:
            pool.close()


def submit(pool: ConnectionPool, head: bytes = HEAD, **options) -> asyncio.Future:
    ended = asyncio.get_running_loop().create_future()
    exchange = Exchange(lambda: head, b"", ended.set_result, **options)
    pool.submit(exchange)
    ended.exchange = exchange
    return ended


async def run(pool: ConnectionPool, head: bytes = HEAD, **options) -> Exchange:
    return await asyncio.wait_for(submit(pool, head, **options), 3)


async def test_a_connection_is_kept_for_the_next_request(pool_of):
    # Guards against opening a connection for each request, which costs a target 6 ms.
    server = Server(ONE % 1, ONE % 2, ONE % 3)
    pool = await pool_of(server)
    for _ in range(3):
        assert (await run(pool)).response_body == b"ok"
    assert server.connections == 1


async def test_connections_that_were_idle_before_a_time_are_closed(pool_of):
    # Guards against requests over a connection whose other end was lost in a cut.
    server = Server(ONE % 1, ONE % 2)
    pool = await pool_of(server)
    started_at = SystemClock().monotonic()
    await run(pool)
    pool.close_idle_since(started_at)
    await run(pool)
    assert server.connections == 1
    pool.close_idle_since(SystemClock().monotonic())
    await run(pool)
    assert server.connections == 2


async def test_bytes_after_a_response_are_not_the_next_response(pool_of):
    # Guards against a second response that is delivered to the next request.
    server = Server(ONE % 1 + ONE % 9, ONE % 2)
    pool = await pool_of(server)
    first = await run(pool)
    second = await run(pool)
    assert [dict(e.fields)[b"Id"] for e in (first, second)] == [b"1", b"1"]
    assert server.connections == 2


async def test_an_unsolicited_response_closes_the_idle_connection(pool_of):
    server = Server(ONE % 1, ONE % 2)
    pool = await pool_of(server)
    await run(pool)
    assert pool.size == 1
    conn = pool._idle[0]
    conn.data_received(ONE % 9)
    await asyncio.sleep(0.05)
    assert pool.size == 0


async def test_a_truncated_response_ends_as_lost(pool_of):
    pool = await pool_of(Server((ONE % 1)[:-1], close=True))
    assert (await run(pool)).end is ExchangeEnd.LOST


async def test_a_body_without_a_length_ends_with_the_connection(pool_of):
    pool = await pool_of(Server(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall", close=True))
    exchange = await run(pool)
    assert (exchange.end, exchange.response_body) == (ExchangeEnd.RESPONDED, b"all")


async def test_a_reset_body_without_a_length_ends_as_lost(pool_of):
    # Guards against a truncated body that counts as complete.
    pool = await pool_of(Server(b"HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhal", reset=True))
    assert (await run(pool)).end is ExchangeEnd.LOST


async def test_bytes_that_are_not_http_end_as_malformed(pool_of):
    pool = await pool_of(Server(b"\x00\x01nonsense\r\n\r\n"))
    assert (await run(pool)).end is ExchangeEnd.MALFORMED


@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
async def test_a_response_without_a_valid_status_ends_as_malformed(pool_of, status):
    # Guards against a caller that gets the status of a target in trouble as an answer.
    # The client offers no other protocol, so that 101 is none either.
    answer = b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nok" % status
    pool = await pool_of(Server(answer))
    exchange = await run(pool)
    assert exchange.end is ExchangeEnd.MALFORMED


async def test_a_chunked_body_is_decoded_and_the_connection_kept(pool_of):
    chunked = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    )
    server = Server(chunked, ONE % 2)
    pool = await pool_of(server)
    assert (await run(pool)).response_body == b"ok"
    await run(pool)
    assert server.connections == 1


async def test_an_interim_response_is_dropped(pool_of):
    pool = await pool_of(Server(b"HTTP/1.1 100 Continue\r\n\r\n" + ONE % 1))
    exchange = await run(pool)
    assert (exchange.status, exchange.response_body) == (200, b"ok")


async def test_a_response_without_a_body_ends_with_its_headers(pool_of):
    # Guards against waiting for a body that a response to HEAD doesn't have.
    pool = await pool_of(Server(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"))
    exchange = await run(pool, without_body=True)
    assert (exchange.end, exchange.response_body) == (ExchangeEnd.RESPONDED, b"")


async def test_a_connection_is_not_reused_near_the_servers_idle_timeout(pool_of):
    # Guards against a request in transit while the server closes the connection.
    keep = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=1\r\n\r\n"
    server = Server(keep, keep)
    pool = await pool_of(server)
    await run(pool)
    await asyncio.sleep(0.6)
    await run(pool)
    assert server.connections == 2


async def test_a_connection_is_not_reused_after_connection_close(pool_of):
    last = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    server = Server(last, last)
    pool = await pool_of(server)
    await run(pool)
    await run(pool)
    assert server.connections == 2


async def test_the_quota_limits_the_connections(pool_of):
    server = Server(*(ONE % n for n in range(9)))
    pool = await pool_of(server, quota=2)
    ended = [submit(pool) for _ in range(8)]
    await asyncio.wait_for(asyncio.gather(*ended), 3)
    assert server.connections == 2


async def test_a_request_to_a_closed_port_ends_as_not_connected():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        pool = ConnectionPool(sock.getsockname(), 1, SystemClock())
        exchange = await run(pool)
    assert (exchange.end, exchange.written) == (ExchangeEnd.NOT_CONNECTED, False)


async def test_a_cancelled_exchange_closes_its_connection(pool_of):
    # Guards against a late response that is delivered to the next request.
    server = Server(b"", ONE % 2)
    pool = await pool_of(server)
    ended = submit(pool)
    await asyncio.sleep(0.05)
    pool.cancel(ended.exchange)
    assert (await ended).end is ExchangeEnd.CANCELLED
    await asyncio.sleep(0.05)
    assert pool.size == 0


async def test_exchanges_of_a_closed_pool_end_exactly_once(pool_of):
    server = Server(b"")
    pool = await pool_of(server)
    running = submit(pool)
    waiting = submit(pool)
    await asyncio.sleep(0.05)
    pool.close()
    assert (await waiting).end is ExchangeEnd.NOT_SENT
    pool.cancel(running.exchange)
    assert (await running).end is ExchangeEnd.CANCELLED


async def test_idle_connections_that_a_server_drops_are_not_reused(pool_of):
    # Guards against losing requests on connections that the server drops without
    # notice when they are idle (trouble idle_race): one request is lost, then none.
    class Forgetful(Server):
        async def handle(self, reader, writer):
            self.connections += 1
            while True:
                waiting_since = asyncio.get_running_loop().time()
                try:
                    await reader.readuntil(b"\r\n\r\n")
                except asyncio.IncompleteReadError:
                    break
                if asyncio.get_running_loop().time() - waiting_since > 0.2:
                    break
                writer.write(ONE % 1)
            writer.transport.abort()

    pool = await pool_of(Forgetful())
    ends = []
    for _ in range(6):
        ends.append((await run(pool)).end)
        await asyncio.sleep(0.3)
    assert ends.count(ExchangeEnd.LOST) == 1
    assert ends[2:] == [ExchangeEnd.RESPONDED] * 4


async def test_a_request_is_not_sent_again_over_a_connection_that_carried_it(pool_of):
    # Guards against a late copy of the first response that is taken for the second one:
    # both name the same request.
    server = Server(ONE % 1, ONE % 1)
    pool = await pool_of(server, quota=2)
    first = await run(pool)
    second = await run(pool, avoid=frozenset({first.connection}))
    assert second.connection is not first.connection
    # Both connections are kept for other requests.
    assert pool.size == 2


async def test_a_used_connection_makes_room_if_the_quota_allows_no_other(pool_of):
    # Guards against a request that waits forever for the only connection.
    server = Server(ONE % 1, ONE % 2)
    pool = await pool_of(server)
    first = await run(pool)
    second = await run(pool, avoid=frozenset({first.connection}))
    assert second.connection is not first.connection
    assert pool.size == 1


async def test_a_released_connection_goes_to_a_request_that_may_use_it(pool_of):
    server = Server(ONE % 1, ONE % 2, ONE % 3)
    pool = await pool_of(server)
    first = await run(pool)
    running = submit(pool)
    again = submit(pool, avoid=frozenset({first.connection}))
    other = submit(pool)
    ended = await asyncio.wait_for(asyncio.gather(running, again, other), 3)
    assert ended[0].connection is ended[2].connection is first.connection
    assert ended[1].connection is not first.connection


async def test_a_request_that_allows_no_idle_time_opens_a_connection(pool_of):
    # Guards against a request that must run only once over a connection whose other
    # end is gone: it can't be repeated then.
    server = Server(ONE % 1, ONE % 2)
    pool = await pool_of(server, quota=2)
    await run(pool)
    await asyncio.sleep(0.05)
    await run(pool, max_idle_s=0.01)
    assert server.connections == 2
    await run(pool)
    assert server.connections == 2


async def test_a_request_that_no_idle_connection_may_carry_ends_if_none_opens(pool_of):
    # Guards against a request that waits for ever beside connections that it can't use.
    server = Server(ONE % 1, ONE % 2)
    pool = await pool_of(server, quota=2)
    await run(pool)
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        pool.address = unused.getsockname()
        await asyncio.sleep(0.05)
        exchange = await run(pool, max_idle_s=0.01)
    assert exchange.end is ExchangeEnd.NOT_CONNECTED
    assert not exchange.written


async def test_a_request_without_a_connection_to_use_ends_as_not_connected():
    # Guards against a wait until the deadline at a target that takes no further
    # connections.
    server = Server(ONE % 1)
    async with serving(server.handle) as address:
        pool = ConnectionPool(address, 2, SystemClock())
        first = await run(pool)
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            pool.address = closed.getsockname()
            second = await run(pool, avoid=frozenset({first.connection}))
        pool.close()
    assert second.end is ExchangeEnd.NOT_CONNECTED
    assert not second.written


class NumberedReader:
    """Takes responses that name a number."""

    watched_fields = frozenset((b"id",))

    def __init__(self, number: int):
        self.number = b"%d" % number
        self.heads = []

    def is_own_response(self, values):
        """Return whether a response names the number."""
        return values.get(b"id") == self.number

    def on_watched_head(self, exchange, values):
        """Record the head."""
        self.heads.append((exchange.status, values[b"id"]))


@pytest.mark.parametrize("copies", [1, 3])
async def test_a_late_response_to_another_request_is_dropped(pool_of, copies):
    # Guards against an extra response that takes the place of the due one, which then
    # takes the place of the next.
    server = Server(ONE % 1, ONE % 1 * copies + ONE % 2, ONE % 3)
    pool = await pool_of(server)
    bodies = []
    for number in (1, 2, 3):
        exchange = await run(pool, reader=NumberedReader(number))
        assert exchange.fields[-1] == (b"Id", b"%d" % number)
        bodies.append(exchange.response_body)
    assert bodies == [b"ok"] * 3
    assert server.connections == 1


async def test_endless_responses_to_other_requests_end_as_malformed(pool_of):
    pool = await pool_of(Server(ONE % 1 * 100))
    exchange = await run(pool, reader=NumberedReader(2))
    assert exchange.end is ExchangeEnd.MALFORMED
    assert exchange.exceeded == "other responses"


async def test_long_responses_to_other_requests_are_no_overhead(pool_of):
    long = b"HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n" + b"x" * 90_000
    pool = await pool_of(Server(long * 3 + ONE % 2))
    exchange = await run(pool, reader=NumberedReader(2))
    assert (exchange.end, exchange.response_body) == (ExchangeEnd.RESPONDED, b"ok")


async def test_the_head_of_every_response_is_read(pool_of):
    # Guards against a target's word that it leaves which is lost because its response
    # is an interim one, belongs to another request or is cut.
    interim = b"HTTP/1.1 103 Early Hints\r\nId: 2\r\n\r\n"
    cut = b"HTTP/1.1 500 Error\r\nContent-Length: 9\r\nId: 2\r\n\r\ncut"
    pool = await pool_of(Server(ONE % 1 + interim + cut, close=True))
    reader = NumberedReader(2)
    exchange = await run(pool, reader=reader)
    assert exchange.end is ExchangeEnd.LOST
    assert reader.heads == [(200, b"1"), (103, b"2"), (500, b"2")]
