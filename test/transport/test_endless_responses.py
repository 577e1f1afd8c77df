"""Responses without end: each is cut at a bound, and its connection is closed."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertshelf.clock import SystemClock
from filbertshelf.errors import FetchError, PeerUnreachableError
from filbertshelf.transport.http1 import message_bounds
from filbertshelf.transport.http1.connection import HttpConnection
from filbertshelf.transport.http1.exchange import Exchange, ExchangeEnd
from filbertshelf.transport.http1.fetch import Fetcher
from filbertshelf.transport.http1.message_bounds import (
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    MIN_FRAMING_BYTES,
    HeldBytes,
    ResponseMeter,
)
from filbertshelf.transport.http1.pool import ConnectionPool
from filbertshelf.transport.target_link import TargetLink
from test.transport.endless import ENDLESS, WRITE_BYTES, EndlessServer
from test.transport.serving import serving
from test.transport.test_peers import Echo

HEAD = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
MAX_PART_BYTES = 64 * 1024
# What the kernel's buffers of both ends of a loopback connection may hold.
IN_TRANSIT_BYTES = 16 * 1024 * 1024


async def run(pool: ConnectionPool, **options) -> Exchange:
    ended = asyncio.get_running_loop().create_future()
    pool.submit(Exchange(lambda: HEAD, b"", ended.set_result, **options))
    return await asyncio.wait_for(ended, 3)


def pool_to(address, **options) -> ConnectionPool:
    return ConnectionPool(address, 1, SystemClock(), **options)


@pytest.mark.parametrize("shape", ENDLESS)
async def test_a_response_without_end_is_cut_and_its_connection_closed(shape):
    # Guards against a target that sends until its caller has no memory left.
    async with EndlessServer(*ENDLESS[shape]) as server:
        tracemalloc.start()
        pool = pool_to(server.address)
        exchange = await run(pool, max_body_bytes=MAX_PART_BYTES)
        _now, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        async with asyncio.timeout(2):
            await server.closed.wait()
    assert exchange.end is ExchangeEnd.MALFORMED
    assert exchange.response_body == b""
    assert peak < 32 * 1024 * 1024
    assert server.sent < IN_TRANSIT_BYTES
    assert (pool.size, pool.held.total) == (0, 0)


async def test_a_body_of_tiny_chunks_costs_no_more_memory_than_its_bytes():
    # Guards against an object for each chunk of four bytes: gateways of the soak held
    # up to 276 MB while their targets sent such chunks without end.
    max_body_bytes = 2 * 1024 * 1024
    async with EndlessServer(*ENDLESS["chunks"]) as server:
        tracemalloc.start()
        ended = asyncio.get_running_loop().create_future()
        exchange = Exchange(
            lambda: HEAD, b"", ended.set_result, max_body_bytes=max_body_bytes
        )
        pool_to(server.address).submit(exchange)
        async with asyncio.timeout(20):
            await ended
        _now, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    assert exchange.exceeded == "body"
    assert peak < 4 * max_body_bytes


@pytest.mark.parametrize("shape", ["header value", "chunk extension", "chunks"])
async def test_a_read_of_the_store_ends_at_a_response_without_end(shape):
    # Guards against a store that is read without end until the timeout.
    async with EndlessServer(*ENDLESS[shape]) as server:
        fetcher = Fetcher(server.address, SystemClock())
        with pytest.raises(FetchError, match="malformed"):
            await fetcher.get(b"/x", 3.0)
        async with asyncio.timeout(2):
            await server.closed.wait()


@pytest.mark.parametrize("shape", ["header lines", "header value", "no HTTP"])
async def test_a_peer_that_sends_without_end_is_unreachable(start_peers, shape):
    # Guards against a process at a peer's address that fills this one's memory.
    client = await start_peers("a")
    async with EndlessServer(*ENDLESS[shape]) as server:
        with pytest.raises(PeerUnreachableError):
            await client.request(server.address, Echo(1), 5.0)
        async with asyncio.timeout(3):
            await server.closed.wait()
    assert server.sent < IN_TRANSIT_BYTES


@pytest.mark.parametrize("shape", ["body without a length", "large chunks"])
async def test_a_health_answer_without_end_is_a_failed_probe(shape):
    # Guards against reading a health answer into memory until the timeout.
    async with EndlessServer(*ENDLESS[shape]) as server:
        address = "{}:{}".format(*server.address)
        link = TargetLink("t", address, 1, SystemClock(), None, lambda report: None)
        await link.start()
        assert not await link.probe()
        await link.stop()
    assert server.sent < IN_TRANSIT_BYTES


async def test_the_largest_response_ends_when_all_together_are_too_large():
    # Guards against many targets that each stay below the bound of one response.
    held = HeldBytes(300_000)
    stall = b"HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n"
    sizes = (100_000, 150_000, 120_000)
    started = asyncio.Event()

    async def send_part(size, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        if size == sizes[-1]:
            await started.wait()
        writer.write(stall + b"x" * size)
        await reader.read()
        writer.close()

    pools, ended = [], []
    async with contextlib.AsyncExitStack() as stack:
        for size in sizes:
            server = serving(functools.partial(send_part, size))
            pools.append(pool_to(await stack.enter_async_context(server), held=held))
            exchange = Exchange(lambda: HEAD, b"", lambda _exchange: None)
            ended.append(exchange)
            pools[-1].submit(exchange)
        async with asyncio.timeout(3):
            while held.total < sum(sizes[:-1]):
                await asyncio.sleep(0.01)
            started.set()
            while not any(exchange.end for exchange in ended):
                await asyncio.sleep(0.01)
        assert [exchange.end for exchange in ended] == [
            None,
            ExchangeEnd.MALFORMED,
            None,
        ]
        assert ended[1].exceeded == "all responses"
        for pool, exchange in zip(pools, ended, strict=True):
            pool.cancel(exchange)
        assert held.total == 0


async def test_bytes_after_a_complete_response_do_not_spoil_it():
    # Guards against losing a whole answer because of what the target sends after it.
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    async with EndlessServer(whole + b"x" * WRITE_BYTES, b"x") as server:
        pool = pool_to(server.address)
        exchange = await run(pool)
        async with asyncio.timeout(2):
            await server.closed.wait()
    assert (exchange.end, exchange.response_body) == (ExchangeEnd.RESPONDED, b"ok")


async def test_a_long_body_in_small_chunks_is_no_malformed_response():
    # Guards against bounds that refuse an unusual but correct response.
    body = b"r" * 60_000
    chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    response = ENDLESS["chunks"][0] + chunks + b"0\r\n\r\n"

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await reader.read()
        writer.close()

    async with serving(answer) as address:
        pool = pool_to(address)
        exchange = await run(pool, max_body_bytes=MAX_PART_BYTES)
        pool.close()
    assert (exchange.end, exchange.response_body) == (ExchangeEnd.RESPONDED, body)


class Transport:
    """A transport that records whether it was aborted."""

    def __init__(self):
        self.aborted = False

    def get_extra_info(self, name):
        """Return an object that accepts socket options."""
        return self

    def setsockopt(self, *args):
        """Accept a socket option."""

    def set_write_buffer_limits(self, high, low):
        """Accept limits, which nothing that is written reaches."""

    def write(self, data):
        """Accept bytes."""

    def close(self):
        """Count as aborted."""
        self.aborted = True

    abort = close

    def is_closing(self):
        """Return whether the transport was closed."""
        return self.aborted


def feed(data: bytes, repeated: bytes, cut: int) -> tuple[Exchange, int]:
    """Feed a response in pieces of `cut` bytes, then `repeated` until it is cut."""
    ended = []
    pool = pool_to(("127.0.0.1", 1))
    conn = response_connection(pool)
    exchange = Exchange(lambda: HEAD, b"", ended.append, max_body_bytes=MAX_PART_BYTES)
    conn.send(exchange, 0.0)
    fed = 0
    pieces = [data[at : at + cut] for at in range(0, len(data), cut)]
    repeated *= max(1, cut // len(repeated))
    while not ended and fed < IN_TRANSIT_BYTES:
        piece = pieces.pop(0) if pieces else repeated
        conn.data_received(piece)
        fed += len(piece)
    return exchange, fed


def response_connection(pool: ConnectionPool):
    conn = HttpConnection(pool)
    conn.connection_made(Transport())
    return conn


RESPONSE = (
    b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 200 OK\r\nServer-Stamp: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"10;ext=1\r\n0123456789abcdef\r\n10\r\nfedcba9876543210\r\n0\r\nX-End: 1\r\n\r\n"
)


@settings(deadline=None, max_examples=200)
@given(
    st.integers(0, len(RESPONSE) - 1),
    st.sampled_from([b"x", b"0", b"X: 1\r\n", b"1\r\nx\r\n", b" ", b"\r\n", b"\x00"]),
    st.sampled_from([1, 7, 4096]),
)
def test_wherever_the_endless_part_begins_the_response_ends(at, repeated, cut):
    # Guards against a place in a response at which nothing bounds what comes.
    exchange, fed = feed(RESPONSE[:at], repeated, cut)
    assert exchange.end is not None
    assert fed <= MAX_HEAD_BYTES + MIN_FRAMING_BYTES + 9 * MAX_PART_BYTES + 2 * 4096


def test_a_meter_names_the_bound_that_is_exceeded():
    meter = ResponseMeter(10)
    meter.add_received(MAX_HEAD_BYTES + 1)
    assert meter.exceeded_overhead() == "head"
    meter.end_head()
    assert meter.exceeded_overhead() == ""
    meter.add_received(MIN_FRAMING_BYTES)
    assert meter.exceeded_overhead() == "framing"
    meter.body_bytes = 11
    assert meter.exceeded_content() == "body"
    for _ in range(MAX_FIELDS + 1):
        meter.add_field()
    assert meter.exceeded_content() == "header lines"


def test_interim_responses_are_counted():
    meter = ResponseMeter()
    for _ in range(message_bounds.MAX_INTERIM_RESPONSES):
        meter.end_interim_response()
    assert not meter.exceeded_content()
    meter.end_interim_response()
    assert meter.exceeded_content() == "interim responses"
