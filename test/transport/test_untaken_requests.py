"""Bounds on requests that targets don't read."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.transport.http1 import connection, pool
from filbertshelf.transport.http1.exchange import Exchange, ExchangeEnd
from filbertshelf.transport.http1.pool import ConnectionPool
from filbertshelf.transport.http1.untaken_requests import UntakenRequests

BODY = b"x" * 2_000_000
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(BODY)
SMALL = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class Target:
    """Accepts connections and reads from one only when told to."""

    def __init__(self):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen()
        self._listener.setblocking(False)
        self.address = self._listener.getsockname()

    async def answer_next(self, size: int) -> None:
        """Read that many bytes from the next connection and answer."""
        loop = asyncio.get_running_loop()
        sock, _ = await loop.sock_accept(self._listener)
        with sock:
            while size > 0:
                size -= len(await loop.sock_recv(sock, 65_536))
            response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            await loop.sock_sendall(sock, response)

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()


@pytest.fixture
def target():
    with contextlib.closing(Target()) as target:
        yield target


@pytest.fixture
def closed():
    return []


@pytest.fixture
async def requests(target, closed):
    """Return a pool to the target."""
    untaken = UntakenRequests(0, lambda bound, *_rest: closed.append(bound))
    requests = ConnectionPool(target.address, 8, SystemClock(), untaken=untaken)
    yield requests
    for conn in list(requests._open):
        conn.abort()


def submit(requests, head: bytes = HEAD, body: bytes = BODY) -> Exchange:
    exchange = Exchange(lambda: head, body, lambda _exchange: None)
    requests.submit(exchange)
    return exchange


async def wait_for(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def test_requests_wait_while_many_bytes_are_not_taken(
    requests, target, monkeypatch
):
    # Guards against a target that reads nothing and gets all that its callers send.
    monkeypatch.setattr(pool, "MAX_TARGET_BYTES", 1_000_000)
    first = submit(requests)
    await wait_for(lambda: requests.untaken.total)
    second = submit(requests, SMALL, b"")
    assert not requests.has_room()
    await asyncio.sleep(0.1)
    assert (first.written, second.written) == (True, False)
    await target.answer_next(len(HEAD + BODY))
    await wait_for(lambda: first.end and second.written)
    assert first.end is ExchangeEnd.RESPONDED
    assert requests.untaken.total == 0


async def test_a_request_that_is_not_taken_ends(requests, closed, monkeypatch):
    # Guards against a body that is held until a long deadline of its route.
    monkeypatch.setattr(connection, "TARGET_STALL_S", 0.2)
    exchange = submit(requests)
    await wait_for(lambda: exchange.end)
    assert exchange.end is ExchangeEnd.NOT_TAKEN
    assert closed == ["untaken request"]
    assert requests.untaken.total == 0


async def test_the_largest_request_ends_when_all_together_are_too_large(
    requests, closed
):
    # Guards against many targets that each stay below the bound of one.
    requests.untaken.set_limit(2_000_000)
    small = submit(requests, HEAD, BODY[:1_000_000])
    await wait_for(lambda: requests.untaken.total)
    large = submit(requests)
    await wait_for(lambda: large.end)
    assert (large.end, small.end) == (ExchangeEnd.NOT_TAKEN, None)
    assert closed == ["untaken requests"]


async def test_a_small_request_is_not_counted(requests, target):
    exchange = submit(requests, SMALL, b"")
    await target.answer_next(len(SMALL))
    await wait_for(lambda: exchange.end)
    assert exchange.end is ExchangeEnd.RESPONDED


async def test_waiting_requests_start_together_when_the_target_reads_again(
    requests, target, monkeypatch
):
    # Guards against requests that share one connection while the quota allows more.
    monkeypatch.setattr(pool, "MAX_TARGET_BYTES", 1_000_000)
    first = submit(requests)
    await wait_for(lambda: requests.untaken.total)
    waiting = [submit(requests, SMALL, b"") for _ in range(4)]
    await target.answer_next(len(HEAD + BODY))
    await wait_for(lambda: first.end)
    # The target answers none of them.
    await wait_for(lambda: all(exchange.written for exchange in waiting))
    assert requests.size <= requests.quota


async def test_a_waiting_request_does_not_hold_up_those_behind_it(
    requests, target, monkeypatch
):
    # Guards against a request that can't use the idle connection and is the first.
    monkeypatch.setattr(pool, "MAX_TARGET_BYTES", 1_000_000)
    requests.quota = 2
    requests.warm_up()
    await wait_for(lambda: requests._idle)
    idle = requests._idle[0]
    monkeypatch.setattr(requests, "_may_write", lambda: False)
    first = Exchange(
        lambda: SMALL, b"", lambda _exchange: None, avoid=frozenset([idle])
    )
    requests.submit(first)
    second = submit(requests, SMALL, b"")
    monkeypatch.undo()
    requests.start_waiting()
    assert (first.written, second.connection) == (False, idle)
    await wait_for(lambda: first.written)
    assert first.connection is not idle
