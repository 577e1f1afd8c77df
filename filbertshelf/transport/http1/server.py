"""The HTTP/1.1 server for callers; requests and responses are not streamed."""

from __future__ import annotations

import asyncio
import collections
import enum
import heapq
from collections.abc import Callable
from typing import Protocol

import attrs
import httptools
import mode

from filbertshelf.clock import Clock
from filbertshelf.protocol.http_messages import (
    HeaderField,
    Response,
    find_field,
    render_fields,
    status_line,
)
from filbertshelf.state.routing import Limits
from filbertshelf.supervision import log_unexpected
from filbertshelf.transport.http1.caller_budget import (
    CALLER_STALL_S,
    LINE_BYTES,
    REQUEST_BYTES,
    TRANSIENT_DESCRIPTORS,
    CallerBudget,
)
from filbertshelf.transport.http1.message_bounds import max_framing_bytes
from filbertshelf.transport.http1.sockets import (
    StallMeter,
    set_tcp_options,
    untaken_bytes,
)
from filbertshelf.transport.http1.upgrade import head_without_offer

BACKLOG = 1_024
# Complete requests of one connection that may be queued behind the current one.
MAX_PIPELINED = 8
# Bytes that are parsed at a time, since one read may hold thousands of requests.
PARSED_BYTES = 16 * 1024
# Longer bodies are written without a copy that joins them with the head.
MAX_COPIED_BYTES = 16 * 1024
# The interval at which the deadlines of connections are checked.
DEADLINE_CHECK_INTERVAL_S = 0.25
# How long a closing connection still receives bytes that were in transit; closing a
# socket with unread bytes would reset it and lose the response.
LINGER_S = 1.0
TCP_USER_TIMEOUT_MS = 10_000
# How long a new connection, or one whose request has begun to come, is closed for the
# cap only after all others.
EVICTION_GRACE_S = 1.0
# Connections that one scan evicts at the cap, and evicted ones that linger. Those are
# not counted, so they take half of the descriptors for connections in transition.
EVICTION_BATCH = TRANSIENT_DESCRIPTORS // 2
# A batch is at most this part of the cap.
EVICTION_SHARE = 16
# How long new connections are refused without a scan if the last one found none to
# evict.
EVICTION_RETRY_S = 0.05
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Phase(enum.Enum):
    """What a connection is waiting for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    CLOSING = "closing"


class EvictionRank(enum.IntEnum):
    """The order in which connections are closed at the cap, the lowest first.

    A request that comes slowly ranks below an idle connection, because one byte would
    otherwise protect a connection better than a caller that behaves well.
    """

    SLOW_REQUEST = 0
    IDLE = 1
    CLOSING = 2
    RECENT = 3


@attrs.define(eq=False)
class Request:
    """A complete request of a caller.

    `received_at` is in seconds of the monotonic clock. `reply` sends the response and
    must be called once. `on_disconnect` is called if the connection closes before that.
    `held_bytes` is about the memory that it takes.
    """

    method: bytes
    target: bytes
    fields: list[HeaderField]
    body: bytes
    received_at: float
    keep_alive: bool
    reply: Callable[[Response], None]
    on_disconnect: Callable[[], None] | None = None
    held_bytes: int = 0


class App(Protocol):
    """The handler of the requests."""

    def handle(self, req: Request) -> None:
        """Start handling a request; must not block or raise."""

    def limits(self) -> Limits:
        """Return the current limits on callers' requests."""

    def record_rejection(self, status: int, reason: str) -> None:
        """Record a request that the server refused without calling `handle`."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; responses are sent in the order of the requests."""

    def __init__(self, server: HttpServer, app: App, clock: Clock):
        self._server = server
        self._app = app
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._budget = server.budget
        self._unparsed = memoryview(b"")
        self._queue: collections.deque[Request] = collections.deque()
        self._queued_bytes = 0
        self._running: Request | None = None
        self._reading = True
        self._stall: StallMeter | None = None
        """Set while written answers wait in this process for the caller."""
        self._limits = app.limits()
        self._refusal: tuple[int, str] | None = None
        self._message_bytes = 0
        self._reset_message()
        self._phase = Phase.IDLE
        self._accepted_at = self._phase_since = clock.monotonic()
        self._deadline = self._phase_since + self._limits.idle_timeout_s

    def _reset_message(self) -> None:
        self._target = b""
        self._fields: list[HeaderField] = []
        self._headers_complete = False
        # One buffer, because a part of a few bytes would cost ten times its length.
        self._body = bytearray()
        self._body_bytes = 0

    # Callbacks from asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its TCP options."""
        self._transport = transport
        set_tcp_options(transport, TCP_USER_TIMEOUT_MS)
        # `pause_writing` is called for any answer that the kernel doesn't take at once.
        self._transport.set_write_buffer_limits(high=0)
        self._server.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the next request."""
        if self._phase is Phase.CLOSING or self._refusal is not None:
            return
        if self._phase is Phase.IDLE:
            self._enter_phase(Phase.HEAD)
        if self._unparsed:
            # Read before reading was paused.
            data = bytes(self._unparsed) + data
        self._unparsed = memoryview(data)
        self._parse_pending()
        self._advance()

    def _advance(self) -> None:
        """Start the next request, and count what is held by then."""
        self._start_next()
        self._update_budget()

    def _parse_pending(self) -> None:
        """Parse received bytes until enough requests are queued."""
        while (
            self._unparsed
            and self._refusal is None
            and len(self._queue) < MAX_PIPELINED
        ):
            part = self._unparsed[:PARSED_BYTES]
            self._unparsed = self._unparsed[PARSED_BYTES:]
            self._message_bytes += len(part)
            self._parse(part)
            self._check_overhead()
        self._choose_reading()

    def _choose_reading(self) -> None:
        """Pause reading while requests wait or answers are not read.

        Behind a refusal, what comes is read and dropped, because unread bytes would
        reset the connection.
        """
        dropping = self._phase is Phase.CLOSING or self._refusal is not None
        full = self._stall is not None or len(self._queue) >= MAX_PIPELINED
        reading = dropping or not full
        if reading == self._reading or self._transport.is_closing():
            return
        self._reading = reading
        if reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def pause_writing(self) -> None:
        """Start no request and read none until the caller takes its answers."""
        now = self._clock.monotonic()
        self._stall = StallMeter(untaken_bytes(self._transport), now)
        self._choose_reading()

    def resume_writing(self) -> None:
        """Go on with the queued requests."""
        self._stall = None
        if self._phase is not Phase.ANSWER:
            # The caller could send nothing meanwhile.
            self._enter_phase(self._phase)
        self._choose_reading()
        self._advance()

    def _parse(self, rest: memoryview) -> None:
        while rest and self._refusal is None:
            try:
                self._parser.feed_data(rest)
                return
            except httptools.HttpParserUpgrade as exc:
                if not self._offers_upgrade:
                    # Bytes after CONNECT are for another server.
                    self._disable_keep_alive()
                    return
                rest = rest[exc.args[0] :]
                self._parse_without_offer()
            except httptools.HttpParserError as exc:
                self._refuse(400, str(exc) or "the request is malformed")
                return

    def _parse_without_offer(self) -> None:
        """Let a new parser read the head again without the offer of a protocol.

        The parser ends a message with an offer at its head; the new one reads the body
        and what follows.
        """
        head = self._head_without_offer()
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(head)

    @property
    def _offers_upgrade(self) -> bool:
        """Return whether the message at hand offers another protocol."""
        parser = self._parser
        return parser.should_upgrade() and parser.get_method() != b"CONNECT"

    def _head_without_offer(self) -> bytes:
        parser = self._parser
        return head_without_offer(
            parser.get_method(), self._target, parser.get_http_version(), self._fields
        )

    def eof_received(self) -> bool:
        """Close the connection: a half-closed one counts as a caller that left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop everything and call `on_disconnect` of the current request."""
        self._leave()

    def _leave(self) -> None:
        self._server.discard(self)
        self._phase = Phase.CLOSING
        self._drop_received()
        self._budget.release(self)
        req, self._running = self._running, None
        if req is not None and req.on_disconnect is not None:
            req.on_disconnect()

    # Callbacks from the parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._reset_message()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers of a chunked body are dropped."""
        if not self._headers_complete and self._refusal is None:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the sizes of the headers and the body before the body arrives."""
        if self._offers_upgrade or self._refusal is not None:
            # With an offer, they come again without it.
            return
        self._headers_complete = True
        size = sum(len(name) + len(value) + 4 for name, value in self._fields)
        if size + len(self._target) > self._limits.header_bytes:
            self._refuse(431, "the headers are too long")
            return
        length = find_field(self._fields, b"content-length")
        if length is not None and int(length) > self._limits.body_bytes:
            self._refuse(413, "the body is too long")
            return
        if self._phase is not Phase.ANSWER:
            self._enter_phase(Phase.BODY)
        expect = find_field(self._fields, b"expect")
        if expect is not None and expect.lower() == b"100-continue" and length != b"0":
            self._write(_CONTINUE)

    def on_body(self, part: bytes) -> None:
        """Store a part of the body and check its size."""
        if self._refusal is not None:
            return
        self._body_bytes += len(part)
        if self._body_bytes > self._limits.body_bytes:
            self._refuse(413, "the body is too long")
            return
        self._body += part

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        if self._refusal is not None or self._offers_upgrade:
            return
        req = Request(
            self._parser.get_method(),
            self._target,
            self._fields,
            bytes(self._body),
            self._clock.monotonic(),
            self._parser.should_keep_alive(),
            self._reply,
            held_bytes=self._message_held_bytes(),
        )
        self._reset_message()
        self._message_bytes = 0
        self._queue.append(req)
        self._queued_bytes += req.held_bytes
        if self._phase is not Phase.ANSWER:
            self._phase = Phase.IDLE

    # Requests and responses.

    def _check_overhead(self) -> None:
        """Refuse an incomplete request with too many bytes beside its body."""
        overhead = self._message_bytes - self._body_bytes
        if overhead <= self._limits.header_bytes:
            return
        if not self._headers_complete:
            self._refuse(431, "the headers are too long")
            return
        framing = overhead - self._limits.header_bytes
        if framing > max_framing_bytes(self._body_bytes):
            self._refuse(400, "the chunks or the trailers are too long")

    def _refuse(self, status: int, reason: str) -> None:
        """Send an error response once the requests before it have been answered."""
        if self._refusal is None:
            self._refusal = (status, reason)
            self._unparsed = memoryview(b"")
            self._message_bytes = 0
            self._reset_message()

    def _disable_keep_alive(self) -> None:
        self._unparsed = memoryview(b"")
        if self._queue:
            self._queue[-1].keep_alive = False

    def _start_next(self) -> None:
        """Start the next request or send a pending refusal, unless a request runs."""
        if self._running is not None or self._phase is Phase.CLOSING:
            return
        if self._stall is not None:
            # Each answer would add to those that are not read.
            return
        if self._queue:
            self._running = self._queue.popleft()
            self._queued_bytes -= self._running.held_bytes
            self._phase = Phase.ANSWER
            self._deadline = float("inf")
            self._parse_pending()
            self._app.handle(self._running)
        elif self._refusal is not None:
            status, reason = self._refusal
            self._app.record_rejection(status, reason)
            self._write_response(Response(status), keep_alive=False, head_only=False)
            self.close()

    def _reply(self, resp: Response) -> None:
        req, self._running = self._running, None
        if req is None or self._phase is Phase.CLOSING:
            return
        # Requests that were received behind this one are answered even by a server that
        # stops.
        keep_alive = req.keep_alive and (not self._server.stopping or bool(self._queue))
        self._write_response(resp, keep_alive, req.method == b"HEAD")
        if keep_alive:
            self._enter_phase(Phase.IDLE)
        else:
            self.close()
        self._update_budget()
        if self._queue or self._refusal is not None:
            # Not called directly, because `reply` may be called deep in the stack.
            asyncio.get_running_loop().call_soon(self._advance)

    def _write_response(
        self, resp: Response, keep_alive: bool, head_only: bool
    ) -> None:
        connection = b"keep-alive" if keep_alive else b"close"
        head = b"%b%bContent-Length: %d\r\nConnection: %b\r\n\r\n" % (
            status_line(resp.status),
            render_fields(resp.fields),
            len(resp.body),
            connection,
        )
        self._write(head, b"" if head_only else resp.body)

    def _write(self, head: bytes, body: bytes = b"") -> None:
        if self._transport is None or self._transport.is_closing():
            return
        if len(body) > MAX_COPIED_BYTES:
            self._transport.writelines((head, body))
        else:
            self._transport.write(head + body)

    # Bounds.

    def _received_held_bytes(self) -> int:
        """Return about how much memory is held by what was received and not started."""
        held = self._queued_bytes
        if self._unparsed:
            held += len(self._unparsed.obj)
        if self._message_bytes or self._fields:
            held += self._message_held_bytes()
        return held

    def _message_held_bytes(self) -> int:
        return REQUEST_BYTES + self._message_bytes + LINE_BYTES * len(self._fields)

    def _update_budget(self) -> None:
        """Count what the connection holds; it or another one may be shed for that."""
        if self._transport.is_closing():
            return
        held = self._received_held_bytes() + self._transport.get_write_buffer_size()
        if self._running is not None:
            held += self._running.held_bytes
        self._budget.update(self, held)

    def _drop_received(self) -> None:
        """Drop all that was received and not started."""
        self._queue.clear()
        self._queued_bytes = 0
        self._unparsed = memoryview(b"")
        self._message_bytes = 0
        self._reset_message()

    def shed(self) -> None:
        """Give up what the connection holds, because all hold too much together.

        What has not been started is refused. If that is not what takes the memory, the
        connection is closed, which promises nothing.
        """
        received = self._received_held_bytes()
        running = self._running.held_bytes if self._running is not None else 0
        unread = self._stall is not None or self._phase is Phase.CLOSING
        if unread or self._refusal is not None or received < running:
            self.cut("memory")
            return
        self._budget.release(self)
        self._drop_received()
        self._report_closed("memory", received)
        self._refuse(503, "the requests of all callers take too much memory")
        self._start_next()

    def cut(self, bound: str) -> None:
        """Close the connection at once for a bound."""
        self._report_closed(bound, self._budget.held_by(self))
        self.abort()

    def _report_closed(self, bound: str, held: int) -> None:
        peer = self._transport.get_extra_info("peername") or ("",)
        self._budget.on_closed(bound, held, str(peer[0]))

    def evict(self) -> None:
        """Close the connection for the cap; an idle one lingers, to avoid a reset."""
        if self._phase is not Phase.IDLE:
            self.cut("connections")
            return
        self._report_closed("connections", self._budget.held_by(self))
        self.close()
        self._budget.release(self)
        self._server.linger(self)

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()
        # `connection_lost` comes later, when further connections may have been read.
        self._leave()

    def eviction_key(self, now: float) -> tuple[EvictionRank, float] | None:
        """Return the rank and age, the lowest of which is closed first.

        None if a request has been received or an answer is not sent.
        """
        if self._running is not None or self._queue or self._stall is not None:
            return None
        return self._eviction_rank(now), self._phase_since

    def _eviction_rank(self, now: float) -> EvictionRank:
        if self._phase is Phase.CLOSING:
            return EvictionRank.CLOSING
        if self._phase is Phase.IDLE:
            new = now - self._accepted_at < EVICTION_GRACE_S
            return EvictionRank.RECENT if new else EvictionRank.IDLE
        slow = now - self._phase_since >= EVICTION_GRACE_S
        return EvictionRank.SLOW_REQUEST if slow else EvictionRank.RECENT

    # Timeouts and closing.

    def _enter_phase(self, phase: Phase) -> None:
        self._phase = phase
        self._phase_since = self._clock.monotonic()
        if phase is Phase.IDLE:
            self._limits = self._app.limits()
            seconds = self._limits.idle_timeout_s
        elif phase is Phase.CLOSING:
            seconds = LINGER_S
        else:
            seconds = self._limits.header_timeout_s
        self._deadline = self._phase_since + seconds

    @property
    def busy(self) -> bool:
        """Return whether a request is being received or its response is not sent."""
        if self._queue or self._stall is not None:
            # Between two queued requests the phase is `IDLE`.
            return True
        return self._phase in (Phase.HEAD, Phase.BODY, Phase.ANSWER)

    def check_deadline(self, now: float) -> None:
        """Act on the deadline of the current phase if it has passed.

        An idle connection is closed, an incomplete request is refused, and a closing
        connection is aborted. While the caller takes answers, no deadline applies.
        """
        if self._stall is not None:
            self._check_stall(now)
            return
        if now < self._deadline:
            return
        if self._phase is Phase.CLOSING:
            self._transport.abort()
        elif self._phase is Phase.IDLE:
            self.close()
        elif self._phase in (Phase.HEAD, Phase.BODY):
            self._refuse(408, "the request took too long to come")
            self._start_next()

    def _check_stall(self, now: float) -> None:
        if self._transport.is_closing():
            return
        if self._stall.stalled_s(untaken_bytes(self._transport), now) > CALLER_STALL_S:
            self.cut("unread answers")
        else:
            self._update_budget()

    def finish(self) -> None:
        """Start the queued requests that the handler answers at once, then close."""
        while (
            self._queue and self._running is None and self._phase is not Phase.CLOSING
        ):
            # The end can't wait for a caller that doesn't read.
            self._stall = None
            self._start_next()
        self.close()

    def close(self) -> None:
        """Send buffered data, then close the connection without a reset."""
        if self._phase is Phase.CLOSING:
            return
        self._enter_phase(Phase.CLOSING)
        self._drop_received()
        self._choose_reading()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()


class HttpServer(mode.Service):
    """Listens on one address.

    While `stopping` is true, each response carries `Connection: close`.
    """

    def __init__(
        self,
        address: tuple[str, int],
        app: App,
        clock: Clock,
        budget: CallerBudget | None = None,
        max_connections: int = 0,
    ):
        """Create a server; several may share a budget.

        `max_connections` replaces the cap of the budget unless it is 0.
        """
        super().__init__()
        self.budget = budget or CallerBudget()
        self._max_connections = max_connections
        self._app = app
        self._clock = clock
        self._server: asyncio.Server | None = None
        self.address = address
        self.connections: set[CallerConnection] = set()
        self._lingering: dict[CallerConnection, None] = {}
        """Evicted connections that still receive, in the order of their eviction."""
        self._next_scan = 0.0
        self.stopping = False

    async def on_start(self) -> None:
        """Listen on the address; `address` has the bound port afterwards."""
        self._check_cap(self._clock.monotonic())
        host, port = self.address
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self, self._app, self._clock),
            host,
            port,
            backlog=BACKLOG,
            reuse_address=True,
        )
        self.address = self._server.sockets[0].getsockname()[:2]

    @mode.Service.task
    async def _check_deadlines(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(DEADLINE_CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            self._check_cap(now)
            for conn in [*self.connections, *self._lingering]:
                try:
                    conn.check_deadline(now)
                except Exception as exc:
                    # The other connections still need their checks.
                    log_unexpected("the deadline of a caller's connection", exc)

    def add(self, conn: CallerConnection) -> None:
        """Add a new connection; at the cap, others are evicted first.

        If all have a request or an unsent answer, the new one is closed.
        """
        if len(self.connections) >= self._cap and not self._evict_batch():
            conn.cut("connections")
        else:
            self.connections.add(conn)

    def discard(self, conn: CallerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(conn)
        self._lingering.pop(conn, None)

    def linger(self, conn: CallerConnection) -> None:
        """Count an evicted connection no more; the oldest of too many is aborted."""
        self.connections.discard(conn)
        self._lingering[conn] = None
        if len(self._lingering) > EVICTION_BATCH:
            next(iter(self._lingering)).abort()

    @property
    def _cap(self) -> float:
        return self._max_connections or self.budget.max_connections

    def _check_cap(self, now: float) -> None:
        """Adjust the cap, and keep to it if others need more descriptors by now."""
        if self._max_connections:
            return
        held = len(self.connections) + len(self._lingering)
        self.budget.check_descriptors(held, now)
        excess = len(self.connections) - self._cap
        if excess > 0:
            self._evict(int(excess), now)

    def _evict_batch(self) -> int:
        """Make room for several new connections, since each scan looks at all."""
        now = self._clock.monotonic()
        if now < self._next_scan:
            return 0
        batch = min(EVICTION_BATCH, max(1, int(self._cap) // EVICTION_SHARE))
        evicted = self._evict(batch, now)
        if not evicted:
            self._next_scan = now + EVICTION_RETRY_S
        return evicted

    def _evict(self, count: int, now: float) -> int:
        """Close at most `count` connections; return how many were."""
        keys = {conn: conn.eviction_key(now) for conn in self.connections}
        evictable = [conn for conn, key in keys.items() if key is not None]
        chosen = heapq.nsmallest(count, evictable, key=keys.__getitem__)
        for conn in chosen:
            conn.evict()
        return len(chosen)

    @property
    def in_flight(self) -> int:
        """Return the number of connections with an unanswered request."""
        return sum(conn.busy for conn in self.connections)

    def stop_listening(self) -> None:
        """Stop accepting connections and close the idle ones."""
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            if not conn.busy:
                conn.close()

    async def on_stop(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.finish()
