"""Kept connections to one address, each with one exchange at a time."""

from __future__ import annotations

import asyncio
import collections
import enum
from collections.abc import Callable

import attrs
import httptools

from filbertshelf.clock import Clock
from filbertshelf.protocol.http_messages import Field
from filbertshelf.state.idle_limit import IdleLimit
from filbertshelf.transport.http1.sockets import prepare

CONNECT_TIMEOUT_S = 1.0
# An address without an acknowledgement for so long has lost power or is cut off.
TCP_USER_TIMEOUT_MS = 3_000
# The server's idle timeout may end while a request is in transit to it.
KEEP_ALIVE_MARGIN_S = 1.0
# Used where the server names no idle timeout.
DEFAULT_IDLE_S = 60.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class ExchangeEnd(enum.Enum):
    """How an exchange ended."""

    RESPONDED = "responded"
    NOT_CONNECTED = "not connected"
    NOT_SENT = "not sent"
    LOST = "connection lost"
    MALFORMED = "malformed response"
    CANCELLED = "cancelled"


@attrs.define(eq=False, slots=True)
class Exchange:
    """One request and what came back; `on_end` is called exactly once.

    `make_head` is called when the request is written, which may be long after it was
    queued. `written` tells whether the server may have read the request.
    """

    make_head: Callable[[], bytes]
    body: bytes
    on_end: Callable[[Exchange], None]
    without_body: bool = False
    written: bool = False
    end: ExchangeEnd | None = None
    status: int = 0
    fields: list[Field] = attrs.field(factory=list)
    response_body: bytes = b""
    started_at: float = 0.0
    written_at: float = 0.0
    connection: HttpConnection | None = None

    def finish(self, end: ExchangeEnd) -> None:
        """Record the end and tell it, unless that was done before."""
        if self.end is None:
            self.end = end
            self.on_end(self)


class HttpConnection(asyncio.Protocol):
    """One connection; it belongs to a `ConnectionPool`."""

    def __init__(self, pool: ConnectionPool):
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._size = 0
        self._complete = False
        self._until_end = False
        self._reusable = True
        self.exchange: Exchange | None = None
        self.idle_until = float("inf")
        self.idle_since = 0.0
        self.idle_s = 0.0
        """How long it was idle before the exchange that runs."""

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = transport
        prepare(transport, TCP_USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse what came; bytes that no request asked for end the connection."""
        if self.exchange is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            if not self._complete:
                self._fail(ExchangeEnd.MALFORMED)
                return
        if self._size > MAX_RESPONSE_BYTES:
            self._fail(ExchangeEnd.MALFORMED)
        elif self._complete:
            self._deliver()

    def eof_received(self) -> bool:
        """Take the end of the connection as the end of a body without a length."""
        if self.exchange is not None and self._until_end:
            self._complete = True
            self._reusable = False
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange and leave the pool."""
        exchange, self.exchange = self.exchange, None
        self._pool.lost(self, exchange)
        if exchange is not None:
            exchange.finish(ExchangeEnd.LOST)

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Notice a second response."""
        if self._complete:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header of the first response."""
        if not self._complete:
            self.exchange.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        if self._complete:
            return
        exchange = self.exchange
        exchange.status = self._parser.get_status_code()
        names = {name.lower() for name, _value in exchange.fields}
        framed = b"content-length" in names or b"transfer-encoding" in names
        empty = exchange.status in (204, 304) or exchange.status < 200
        if exchange.without_body:
            # The parser would wait for a body that never comes.
            self._complete = True
            self._reusable = False
        elif not framed and not empty:
            self._until_end = True

    def on_body(self, part: bytes) -> None:
        """Take a part of the first response's body."""
        if not self._complete:
            self._parts.append(part)
            self._size += len(part)

    def on_message_complete(self) -> None:
        """Note the end of the response; an interim one is dropped."""
        if self._complete:
            return
        if 100 <= self.exchange.status < 200:
            self.exchange.fields.clear()
            self.exchange.status = 0
            return
        self._complete = True
        # The parser forgets the answer to this once the message has ended.
        if not self._parser.should_keep_alive():
            self._reusable = False

    # What the pool calls.

    def send(self, exchange: Exchange, now: float) -> None:
        """Write a request; `now` is in monotonic seconds."""
        self.exchange = exchange
        self.idle_s = now - self.idle_since
        exchange.written_at = now
        exchange.connection = self
        exchange.written = True
        self._complete = False
        self._until_end = False
        self._parts = []
        self._size = 0
        self._transport.write(exchange.make_head() + exchange.body)

    def abort(self) -> None:
        """Close at once; an exchange ends as lost."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self._reusable = False
        if self._transport is not None:
            self._transport.close()

    def usable(self, now: float) -> bool:
        """Return whether a request can be written."""
        return (
            self._reusable
            and now < self.idle_until
            and not self._transport.is_closing()
        )

    def _deliver(self) -> None:
        exchange, self.exchange = self.exchange, None
        exchange.response_body = b"".join(self._parts)
        self._parts = []
        if self._reusable:
            self._pool.idle(self, _idle_timeout(exchange.fields))
        else:
            self.close()
        exchange.finish(ExchangeEnd.RESPONDED)

    def _fail(self, end: ExchangeEnd) -> None:
        exchange, self.exchange = self.exchange, None
        self.abort()
        exchange.finish(end)


def _idle_timeout(fields: list[Field]) -> float:
    """Return for how many seconds the server keeps the idle connection open."""
    for name, value in fields:
        if name.lower() != b"keep-alive":
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.strip().isdigit():
                seconds = float(number)
                return max(seconds / 2, seconds - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_IDLE_S


class ConnectionPool:
    """At most `quota` connections to one address, opened when they are needed."""

    def __init__(self, address: tuple[str, int], quota: int, clock: Clock):
        self.address = address
        self.quota = quota
        self._clock = clock
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        self._connecting: set[asyncio.Task] = set()
        self._waiting: collections.deque[Exchange] = collections.deque()
        self._closed = False
        self._on_refused: list[Callable[[], None]] = []
        self._idle_limit = IdleLimit()

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._open) + len(self._connecting)

    @property
    def waiting(self) -> int:
        """Return the number of exchanges that wait for a connection."""
        return len(self._waiting)

    def has_room(self) -> bool:
        """Return whether an exchange would start without waiting for another."""
        return bool(self._idle) or self.size < self.quota

    def submit(self, exchange: Exchange) -> None:
        """Start an exchange, or queue it until a connection is free."""
        now = exchange.started_at = self._clock.monotonic()
        if self._closed:
            exchange.finish(ExchangeEnd.NOT_SENT)
            return
        conn = self._take_idle(now)
        if conn is not None:
            conn.send(exchange, now)
            return
        self._waiting.append(exchange)
        if len(self._connecting) < len(self._waiting) and self.size < self.quota:
            self._connect()

    def cancel(self, exchange: Exchange) -> None:
        """Give an exchange up; its connection is closed if the server works on it."""
        if exchange.end is not None:
            return
        if exchange.connection is None:
            self._forget(exchange)
        else:
            exchange.connection.exchange = None
            exchange.connection.abort()
        exchange.finish(ExchangeEnd.CANCELLED)

    def warm_up(self) -> None:
        """Open a connection before it is needed."""
        if not self._closed and not self.size:
            self._connect()

    def check_alive(self, on_dead: Callable[[], None]) -> None:
        """Open a connection, and call `on_dead` if the address accepts none."""
        if self._closed:
            return
        self._on_refused.append(on_dead)
        if not self._connecting:
            self._connect()

    def close(self) -> None:
        """Close what is idle, and the others once their exchange has ended."""
        self._closed = True
        for conn in self._idle:
            conn.close()
        self._idle.clear()
        waiting, self._waiting = self._waiting, collections.deque()
        for exchange in waiting:
            exchange.finish(ExchangeEnd.NOT_SENT)

    def idle(self, conn: HttpConnection, seconds: float) -> None:
        """Take back a connection whose exchange has ended."""
        if self._closed:
            conn.close()
            return
        now = conn.idle_since = self._clock.monotonic()
        conn.idle_until = now + seconds
        if self._waiting:
            conn.send(self._waiting.popleft(), now)
        else:
            self._idle.append(conn)

    def lost(self, conn: HttpConnection, exchange: Exchange | None) -> None:
        """Forget a connection that has ended, maybe during an exchange."""
        self._open.discard(conn)
        if exchange is not None and not exchange.status:
            now = self._clock.monotonic()
            self._idle_limit.record_loss(conn.idle_s, now - exchange.written_at, now)
        if conn in self._idle:
            self._idle.remove(conn)
        if self._waiting and not self._connecting and self.size < self.quota:
            self._connect()

    def _take_idle(self, now: float) -> HttpConnection | None:
        """Return the connection that was used last, if it can be used again."""
        longest = self._idle_limit.limit_s(now)
        while self._idle:
            conn = self._idle.pop()
            if conn.usable(now) and now - conn.idle_since <= longest:
                return conn
            conn.close()
        return None

    def _forget(self, exchange: Exchange) -> None:
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def _connect(self) -> None:
        task = asyncio.get_running_loop().create_task(self._open_one())
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _open_one(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _transport, conn = await loop.create_connection(
                    lambda: HttpConnection(self), host, port
                )
        except (OSError, TimeoutError):
            self._connect_failed()
            return
        self._on_refused.clear()
        self._open.add(conn)
        self.idle(conn, DEFAULT_IDLE_S)

    def _connect_failed(self) -> None:
        """End what waits, unless another connection can still serve it."""
        asking, self._on_refused = self._on_refused, []
        for on_dead in asking:
            on_dead()
        if self._open:
            return
        waiting, self._waiting = self._waiting, collections.deque()
        for exchange in waiting:
            exchange.finish(ExchangeEnd.NOT_CONNECTED)
