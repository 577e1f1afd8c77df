"""The HTTP/1.1 server for callers: whole requests in, whole responses out."""

from __future__ import annotations

import asyncio
import collections
import enum
from collections.abc import Callable
from typing import Protocol

import attrs
import httptools
import mode

from filbertshelf.clock import Clock
from filbertshelf.protocol.http_messages import (
    Field,
    Response,
    find_field,
    render_fields,
    status_line,
)
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.sockets import prepare

BACKLOG = 1_024
# Whole requests of one connection that wait for the one before them.
MAX_PIPELINED = 8
# How often deadlines of connections are looked at.
SWEEP_S = 0.25
# How long a closing connection takes bytes that were under way; closing a socket
# with unread bytes would reset it and lose the response.
LINGER_S = 1.0
TCP_USER_TIMEOUT_MS = 10_000
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Phase(enum.Enum):
    """What a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"
    CLOSING = "closing"


@attrs.define(eq=False)
class Request:
    """A whole request of a caller; `received_at` is in monotonic seconds.

    `reply` takes the response, once. `on_disconnect` is called if the caller closes the
    connection before that.
    """

    method: bytes
    target: bytes
    fields: list[Field]
    body: bytes
    received_at: float
    keep_alive: bool
    reply: Callable[[Response], None]
    on_disconnect: Callable[[], None] | None = None


class App(Protocol):
    """What handles the requests."""

    def handle(self, req: Request) -> None:
        """Start to answer a request; must not block or raise."""

    def limits(self) -> Limits:
        """Return what callers may send now."""

    def record_rejection(self, status: int, reason: str) -> None:
        """Take note of a request that the server answered by itself."""


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; answers in the order of the requests."""

    def __init__(self, server: HttpServer, app: App, clock: Clock):
        self._server = server
        self._app = app
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[Request] = collections.deque()
        self._running: Request | None = None
        self._limits = app.limits()
        self._refused: tuple[int, str] | None = None
        self._head_bytes = 0
        self._new_message()
        self._phase = Phase.IDLE
        self._due = clock.monotonic() + self._limits.idle_timeout_s

    def _new_message(self) -> None:
        self._target = b""
        self._fields: list[Field] = []
        self._parts: list[bytes] = []
        self._size = 0

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = transport
        prepare(transport, TCP_USER_TIMEOUT_MS)
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse what came and start the next request."""
        if self._phase is Phase.CLOSING:
            return
        if self._phase is Phase.IDLE:
            self._enter(Phase.HEAD)
        if self._phase is Phase.HEAD:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served as it is; what follows is another protocol.
            self._refuse_rest()
        except httptools.HttpParserError as exc:
            self._refuse(400, str(exc) or "the request is malformed")
        if self._phase is Phase.HEAD and self._too_long():
            self._refuse(431, "the headers are too long")
        self._next()

    def eof_received(self) -> bool:
        """Close; a caller that sends no more waits for nothing."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the running request that its caller has left."""
        self._server.connections.discard(self)
        self._phase = Phase.CLOSING
        self._queue.clear()
        req, self._running = self._running, None
        if req is not None and req.on_disconnect is not None:
            req.on_disconnect()

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._new_message()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers of a chunked body are dropped."""
        if self._phase is not Phase.BODY:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the sizes before the body comes."""
        size = sum(len(name) + len(value) + 4 for name, value in self._fields)
        if size + len(self._target) > self._limits.header_bytes:
            self._refuse(431, "the headers are too long")
            return
        length = find_field(self._fields, b"content-length")
        if length is not None and int(length) > self._limits.body_bytes:
            self._refuse(413, "the body is too long")
            return
        if self._phase is not Phase.ANSWER:
            self._enter(Phase.BODY)
        expect = find_field(self._fields, b"expect")
        if expect is not None and expect.lower() == b"100-continue" and length != b"0":
            self._write(_CONTINUE)

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        if self._refused is not None:
            return
        self._size += len(part)
        if self._size > self._limits.body_bytes:
            self._refuse(413, "the body is too long")
            return
        self._parts.append(part)

    def on_message_complete(self) -> None:
        """Queue the whole request."""
        if self._refused is not None:
            return
        req = Request(
            self._parser.get_method(),
            self._target,
            self._fields,
            b"".join(self._parts),
            self._clock.monotonic(),
            self._parser.should_keep_alive(),
            self._reply,
        )
        self._new_message()
        self._queue.append(req)
        if self._phase is not Phase.ANSWER:
            self._phase = Phase.IDLE
        if len(self._queue) >= MAX_PIPELINED:
            self._transport.pause_reading()

    # Requests and answers.

    def _too_long(self) -> bool:
        return self._head_bytes > self._limits.header_bytes

    def _refuse(self, status: int, reason: str) -> None:
        """Answer by itself once the requests before it are answered."""
        if self._refused is None:
            self._refused = (status, reason)

    def _refuse_rest(self) -> None:
        if self._queue:
            self._queue[-1].keep_alive = False

    def _next(self) -> None:
        """Start the next whole request, if none runs."""
        if self._running is not None or self._phase is Phase.CLOSING:
            return
        if self._queue:
            self._running = self._queue.popleft()
            self._phase = Phase.ANSWER
            self._due = float("inf")
            if len(self._queue) < MAX_PIPELINED:
                self._transport.resume_reading()
            self._app.handle(self._running)
        elif self._refused is not None:
            status, reason = self._refused
            self._app.record_rejection(status, reason)
            self._write_response(Response(status), keep_alive=False, head_only=False)
            self.close()

    def _reply(self, resp: Response) -> None:
        req, self._running = self._running, None
        if req is None or self._phase is Phase.CLOSING:
            return
        keep = req.keep_alive and not self._server.stopping
        self._write_response(resp, keep, req.method == b"HEAD")
        if not keep:
            self.close()
            return
        self._enter(Phase.IDLE)
        if self._queue or self._refused is not None:
            # Not from within the call that answered, which may be deep in the stack.
            asyncio.get_running_loop().call_soon(self._next)

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
        self._write(head if head_only else head + resp.body)

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    # Time limits and the end.

    def _enter(self, phase: Phase) -> None:
        self._phase = phase
        if phase is Phase.IDLE:
            self._head_bytes = 0
            self._limits = self._app.limits()
            seconds = self._limits.idle_timeout_s
        else:
            seconds = self._limits.header_timeout_s
        self._due = self._clock.monotonic() + seconds

    @property
    def busy(self) -> bool:
        """Return whether a request has begun to come or waits for its answer."""
        return self._phase in (Phase.HEAD, Phase.BODY, Phase.ANSWER)

    def sweep(self, now: float) -> None:
        """Act on a time limit that has passed."""
        if now < self._due:
            return
        if self._phase is Phase.CLOSING:
            self._transport.abort()
        elif self._phase is Phase.IDLE:
            self.close()
        elif self._phase in (Phase.HEAD, Phase.BODY):
            self._refuse(408, "the request took too long to come")
            self._next()

    def close(self) -> None:
        """Send what is written, then close without a reset."""
        if self._phase is Phase.CLOSING:
            return
        self._phase = Phase.CLOSING
        self._due = self._clock.monotonic() + LINGER_S
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()


class HttpServer(mode.Service):
    """Listens on one address; `stopping` asks callers to connect elsewhere."""

    def __init__(self, address: tuple[str, int], app: App, clock: Clock):
        super().__init__()
        self._app = app
        self._clock = clock
        self._server: asyncio.Server | None = None
        self.address = address
        self.connections: set[CallerConnection] = set()
        self.stopping = False

    async def on_start(self) -> None:
        """Listen; `address` has the bound port afterwards."""
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
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self._clock.sleep(SWEEP_S)
            now = self._clock.monotonic()
            for conn in list(self.connections):
                conn.sweep(now)

    @property
    def in_flight(self) -> int:
        """Return the number of connections with an unanswered request."""
        return sum(conn.busy for conn in self.connections)

    def stop_listening(self) -> None:
        """Take no more connections and close the idle ones."""
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            if not conn.busy:
                conn.close()

    async def on_stop(self) -> None:
        """Close everything."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.close()
