"""A keep-alive HTTP/1.1 connection to a server."""

from __future__ import annotations

import asyncio
from typing import Protocol

import httptools

from filbertshelf.protocol.http_messages import HeaderField
from filbertshelf.transport.http1.exchange import (
    Exchange,
    ExchangeEnd,
    HeaderValues,
)
from filbertshelf.transport.http1.message_bounds import HeldBytes, ResponseMeter
from filbertshelf.transport.http1.sockets import (
    StallMeter,
    set_tcp_options,
    untaken_bytes,
)
from filbertshelf.transport.http1.untaken_requests import (
    BUFFERED_BYTES,
    STALL_CHECK_S,
    TARGET_STALL_S,
    UntakenRequests,
)

# A host that acknowledges nothing for this long is down or unreachable.
TCP_USER_TIMEOUT_MS = 3_000
# A connection is not reused during this time before the server's idle timeout, because
# the server could close it while a request is in transit.
KEEP_ALIVE_MARGIN_S = 1.0
# The statuses that HTTP defines; a target in trouble may send others.
VALID_STATUSES = range(100, 600)
# This status ends HTTP on a connection, which no request here asks for.
SWITCHING_PROTOCOLS = 101
# The idle timeout that is assumed for servers that send none.
DEFAULT_IDLE_S = 60.0

_KEEP_ALIVE = b"keep-alive"
_NO_VALUES: HeaderValues = {}


class Owner(Protocol):
    """The pool that a connection belongs to."""

    address: tuple[str, int]
    held: HeldBytes
    untaken: UntakenRequests

    def monotonic(self) -> float:
        """Return the seconds of the monotonic clock."""

    def start_waiting(self) -> None:
        """Start queued exchanges if the server has taken enough of the others."""

    def on_untaken(self, conn: HttpConnection) -> None:
        """Note that the server leaves a part of a request untaken."""

    def on_taken(self, conn: HttpConnection) -> None:
        """Note that the server has taken the request, or that the exchange ended."""

    def release(self, conn: HttpConnection, seconds: float) -> None:
        """Take back a connection that may be reused for some seconds."""

    def remove(self, conn: HttpConnection, exchange: Exchange | None) -> None:
        """Forget a closed connection; `exchange` is the one it interrupted, if any."""


class HttpConnection(asyncio.Protocol):
    """One connection, with at most one exchange at a time."""

    def __init__(self, pool: Owner):
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        # One buffer, because a part of a few bytes would cost ten times its length.
        self._body = bytearray()
        self._meter = ResponseMeter()
        self._values: HeaderValues = _NO_VALUES
        self._complete = False
        self._malformed = False
        self._body_ends_with_connection = False
        self._reusable = True
        self.exchange: Exchange | None = None
        self.idle_until = float("inf")
        self.idle_since = 0.0
        self.idle_s = 0.0
        """How many seconds it was idle before the current exchange."""
        self.untaken_request: UntakenRequest | None = None

    # Callbacks from asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its TCP options."""
        self._transport = transport
        set_tcp_options(transport, TCP_USER_TIMEOUT_MS)
        self._transport.set_write_buffer_limits(high=BUFFERED_BYTES, low=0)

    def pause_writing(self) -> None:
        """Count the request until the server has taken it."""
        if self.exchange is not None:
            self.untaken_request = UntakenRequest(self, self._transport, self._pool)
            self._pool.on_untaken(self)

    def resume_writing(self) -> None:
        """Count the request no more."""
        self._end_untaken()

    def _end_untaken(self) -> None:
        request, self.untaken_request = self.untaken_request, None
        if request is not None:
            request.end()
            self._pool.on_taken(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; unsolicited bytes close the connection."""
        if self.exchange is None:
            self.abort()
            return
        self._meter.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reusable = False
            if not self._complete:
                self._fail_exchange(ExchangeEnd.MALFORMED)
                return
        self._check_progress()

    def _check_progress(self) -> None:
        """Finish a complete response, or end one that exceeds a bound."""
        if self._malformed:
            self._fail_exchange(ExchangeEnd.MALFORMED)
            return
        meter = self._meter
        exceeded = meter.exceeded_content() or (
            "" if self._complete else meter.exceeded_overhead()
        )
        if exceeded:
            self.exchange.exceeded = exceeded
            self._fail_exchange(ExchangeEnd.MALFORMED)
        elif self._complete:
            self._finish_exchange()
        else:
            self._pool.held.update(self, self._meter.body_bytes)

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection."""
        if self.exchange is not None and self._body_ends_with_connection:
            self._complete = True
            self._reusable = False
            self._finish_exchange()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the current exchange and remove the connection from the pool."""
        exchange, self.exchange = self.exchange, None
        self._pool.held.release(self)
        self._end_untaken()
        self._pool.remove(self, exchange)
        if exchange is not None:
            exchange.finish(ExchangeEnd.LOST)

    # Callbacks from the parser.

    def on_message_begin(self) -> None:
        """Prevent reuse of the connection if a second response follows the first."""
        if self._complete:
            self._reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; those of a second response are ignored."""
        if not self._complete and self._meter.add_field():
            self.exchange.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine how the body is delimited."""
        if self._complete:
            return
        exchange = self.exchange
        exchange.status = self._parser.get_status_code()
        self._meter.end_head()
        if exchange.status not in VALID_STATUSES or (
            exchange.status == SWITCHING_PROTOCOLS
        ):
            self._malformed = True
            return
        values = self._values = {name.lower(): val for name, val in exchange.fields}
        reader = exchange.reader
        if reader is not None and not reader.watched_fields.isdisjoint(values):
            reader.on_watched_head(exchange, values)
        framed = b"content-length" in values or b"transfer-encoding" in values
        empty = exchange.status in (204, 304) or exchange.status < 200
        if exchange.without_body:
            # The parser doesn't know that there is no body and would wait for it.
            self._complete = True
            self._reusable = False
        elif not framed and not empty:
            self._body_ends_with_connection = True

    def on_body(self, part: bytes) -> None:
        """Store a part of the body; that of a second response is ignored."""
        if not self._complete:
            self._body += part
            self._meter.body_bytes += len(part)

    def on_message_complete(self) -> None:
        """Mark the response as complete.

        An interim (1xx) response and one to another request are dropped.
        """
        if self._complete or self._malformed:
            return
        exchange = self.exchange
        if 100 <= exchange.status < 200:
            self._meter.end_interim_response()
            self._expect_next_response()
            return
        reader = exchange.reader
        if reader is not None and not reader.is_own_response(self._values):
            exchange.dropped_responses += 1
            self._meter.end_other_response()
            self._drop_body()
            self._expect_next_response()
            return
        self._complete = True
        # This must be checked here, because the parser loses the information once the
        # message has ended.
        if not self._parser.should_keep_alive():
            self._reusable = False

    def _expect_next_response(self) -> None:
        self.exchange.fields.clear()
        self.exchange.status = 0

    # Methods for the pool.

    def send(self, exchange: Exchange, now: float) -> None:
        """Write a request; `now` is in seconds of the monotonic clock."""
        self.exchange = exchange
        self.idle_s = now - self.idle_since
        exchange.written_at = now
        exchange.connection = self
        exchange.written = True
        self._complete = False
        self._body_ends_with_connection = False
        self._body = bytearray()
        self._meter = ResponseMeter(exchange.max_body_bytes)
        # The exchange may last much longer than the write.
        body, exchange.body = exchange.body, b""
        if len(body) > BUFFERED_BYTES:
            # Other exchanges may share the body, so it isn't copied.
            self._transport.writelines((exchange.make_head(), body))
        else:
            self._transport.write(exchange.make_head() + body)

    def abort(self) -> None:
        """Close without sending buffered data; the current exchange ends as lost."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()
        self._end_untaken()

    def abandon(self) -> None:
        """Close the connection without ending its exchange."""
        self.exchange = None
        self._drop_body()
        self.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self._reusable = False
        if self._transport is not None:
            self._transport.close()

    def is_usable(self, now: float) -> bool:
        """Return whether the connection can be used for another request."""
        return (
            self._reusable
            and now < self.idle_until
            and not self._transport.is_closing()
        )

    def shed(self) -> None:
        """Give up the response, because all responses together are too large."""
        self.exchange.exceeded = "all responses"
        self._fail_exchange(ExchangeEnd.MALFORMED)

    def give_up_request(self, bound: str, count: int) -> None:
        """End the exchange, because the server doesn't take the request."""
        address = "{}:{}".format(*self._pool.address)
        self._pool.untaken.on_closed(bound, count, address)
        if self.exchange is None:
            self.abort()
        else:
            self._fail_exchange(ExchangeEnd.NOT_TAKEN)

    def _finish_exchange(self) -> None:
        exchange, self.exchange = self.exchange, None
        exchange.response_body = bytes(self._body)
        self._drop_body()
        if self.untaken_request is not None:
            # The server has answered without reading the whole request.
            self.abort()
        elif self._reusable:
            named = _KEEP_ALIVE in self._values
            idle_s = _idle_timeout(exchange.fields) if named else DEFAULT_IDLE_S
            self._values = _NO_VALUES
            self._pool.release(self, idle_s)
        else:
            self.close()
        exchange.finish(ExchangeEnd.RESPONDED)

    def _fail_exchange(self, end: ExchangeEnd) -> None:
        exchange, self.exchange = self.exchange, None
        exchange.cut_bytes = self._meter.body_bytes
        self._drop_body()
        self.abort()
        exchange.finish(end)

    def _drop_body(self) -> None:
        self._body = bytearray()
        self._pool.held.release(self)


class UntakenRequest:
    """A request of which the server has not taken all bytes; ends it after a stall."""

    __slots__ = ("_conn", "_meter", "_pool", "_timer", "_transport")

    def __init__(self, conn: HttpConnection, transport: asyncio.Transport, pool: Owner):
        self._conn = conn
        self._transport = transport
        self._pool = pool
        self._meter = StallMeter(untaken_bytes(transport), pool.monotonic())
        # Not called directly, because it may end the exchange while it is written.
        self._timer = asyncio.get_running_loop().call_soon(self._check)

    @property
    def count(self) -> int:
        """Return how many bytes wait in this process."""
        return self._transport.get_write_buffer_size()

    def shed(self) -> None:
        """Give the request up, because all together are too large."""
        count = self._pool.untaken.held_by(self)
        self.end()
        self._conn.give_up_request("untaken requests", count)

    def end(self) -> None:
        """Count the request no more."""
        self._timer.cancel()
        self._pool.untaken.release(self)

    def _check(self) -> None:
        if self._transport.is_closing():
            return
        untaken = untaken_bytes(self._transport)
        if self._meter.stalled_s(untaken, self._pool.monotonic()) > TARGET_STALL_S:
            self._conn.give_up_request("untaken request", self.count)
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(STALL_CHECK_S, self._check)
        self._pool.untaken.update(self, self.count)
        self._pool.start_waiting()


def _idle_timeout(fields: list[HeaderField]) -> float:
    """Return for how many seconds the idle connection may be reused."""
    for name, value in fields:
        if name.lower() != _KEEP_ALIVE:
            continue
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key.lower() == b"timeout" and number.strip().isdigit():
                seconds = float(number)
                return max(seconds / 2, seconds - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_IDLE_S
