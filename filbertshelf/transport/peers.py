"""Connections between instances: requests, replies and notices."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import hmac
import itertools
import os
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs
import mode
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.protocol import State

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.errors import (
    HandshakeError,
    MessageError,
    PeerFailedError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from filbertshelf.protocol.handshake import (
    MAX_HELLO_BYTES,
    NONCE_BYTES,
    Accepted,
    Challenge,
    Hello,
    Proof,
    Refused,
    choose_version,
    make_proof,
)
from filbertshelf.protocol.messages import (
    VERSIONS,
    BodyError,
    Envelope,
    Kind,
    UnknownMessage,
    decode,
    encode,
    name_of,
)
from filbertshelf.protocol.replies import Done, Failed
from filbertshelf.settings import Settings
from filbertshelf.state.members import Address, Identity

MAX_FRAME_BYTES = 2 * 1024 * 1024
MAX_IDLE_LINKS = 16
# Seconds from the TCP connect to the end of the handshake.
CONNECT_TIMEOUT = 2.0
# Seconds that a notice may wait for room in the socket's buffer.
NOTICE_TIMEOUT = 2.0
CLOSE_TIMEOUT = 1.0
# A connection with more unsent bytes than this belongs to a peer that doesn't read;
# further messages to it are refused instead of buffered.
MAX_UNSENT_BYTES = 4 * 1024 * 1024
# Requests of one connection that run at once; reading stops above it.
MAX_RUNNING = 256

_POLICY_VIOLATION = 1008
_MESSAGE_TOO_BIG = 1009


@attrs.frozen
class Sender:
    """The proven origin of a message; `address` is where it accepts connections."""

    id: str
    data_centre: str
    incarnation: int
    address: Address


Handler = Callable[[Sender, Any], Awaitable[Any]]


@attrs.define
class PeerCounts:
    """Totals since the start."""

    dialled: int = 0
    accepted: int = 0
    refused: int = 0
    malformed: int = 0
    unknown: int = 0
    failed: int = 0
    frames_sent: int = 0
    frames_received: int = 0
    # Bytes read from the sockets, with HTTP and WebSocket headers.
    bytes_received: int = 0


class _Metered:
    """Counts the bytes that a connection reads."""

    counts: PeerCounts

    def data_received(self, data: bytes) -> None:
        self.counts.bytes_received += len(data)
        super().data_received(data)


class _MeteredClient(_Metered, ClientConnection):
    pass


class _MeteredServer(_Metered, ServerConnection):
    pass


class _Link:
    """One outgoing connection and the requests that wait for a reply on it."""

    def __init__(self, address: Address, ws: ClientConnection):
        self.address = address
        self.ws = ws
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.closing = False

    @property
    def open(self) -> bool:
        """Tell whether a frame can be written now."""
        return not self.closing and self.ws.state is State.OPEN

    @property
    def clogged(self) -> bool:
        """Tell whether the peer has stopped reading."""
        return self.ws.transport.get_write_buffer_size() > MAX_UNSENT_BYTES

    def expect(self, correlation: int) -> asyncio.Future[Any]:
        """Return the future of the reply with this correlation id."""
        fut = asyncio.get_running_loop().create_future()
        self.pending[correlation] = fut
        return fut

    def resolve(self, correlation: int, reply: Any) -> None:
        """Hand a reply to the request that waits for it; a late one is dropped."""
        fut = self.pending.get(correlation)
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def fail(self) -> None:
        """End all waiting requests; their outcome at the peer is unknown."""
        for fut in self.pending.values():
            if not fut.done():
                text = "the connection was lost after the message was written"
                fut.set_exception(PeerTimeoutError(text))


class Peers(mode.Service):
    """All connections of this instance to and from other instances.

    A request is delivered at most once: it is never written a second time.
    `blocked` is a fault hook for tests: traffic from and to these peer addresses is
    dropped, as in a partition.
    """

    def __init__(
        self,
        cfg: Settings,
        identity: Identity,
        clock: Clock,
        versions: tuple[int, ...] = VERSIONS,
        **kwargs: Any,
    ):
        super().__init__(**kwargs)
        self.cfg = cfg
        self.identity = identity
        self.clock = clock
        self.versions = versions
        self.address: Address = cfg.peer_listen
        self.blocked: set[Address] = set()
        self.counts = PeerCounts()
        self._key = cfg.fleet_key.encode()
        self._handlers: dict[type, Handler] = {}
        self._links: collections.OrderedDict[Address, _Link] = collections.OrderedDict()
        self._dials: dict[Address, asyncio.Task[_Link]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._running: set[asyncio.Task[Any]] = set()
        self._server: Server | None = None
        self._ids = itertools.count(1)
        self._closed = False

    def register(self, message_class: type, handler: Handler) -> None:
        """Set the handler of a message class; its result is the reply, or None.

        Raises `MessageError` if the class is not a registered message.
        """
        name_of(message_class)
        self._handlers[message_class] = handler

    async def request(self, address: Address, msg: Any, timeout: float) -> Any:
        """Send a message and return the reply, None if the handler returned None.

        `timeout` is in seconds and includes the connect. Raises
        `PeerUnreachableError` if the message was certainly not delivered,
        `PeerFailedError` if the peer says that it has no result, `PeerTimeoutError`
        if it is unknown what became of it, and `MessageError` if it can't be sent.
        """
        correlation = next(self._ids)
        frame = _frame(msg, correlation, Kind.REQUEST)
        written = False
        try:
            async with asyncio.timeout(timeout):
                link = await self._ready_link(address)
                written = True
                return await self._exchange(link, correlation, frame)
        except TimeoutError as exc:
            where = _text(address)
            if not written:
                text = f"no connection to {where} within {timeout:.3f} s"
                raise PeerUnreachableError(text) from exc
            raise PeerTimeoutError(f"no reply from {where} in {timeout:.3f} s") from exc

    async def notify(self, address: Address, msg: Any) -> None:
        """Send a message that gets no reply; return when it is written.

        Raises `PeerUnreachableError` if it was certainly not delivered,
        `PeerTimeoutError` if the peer takes no bytes, and `MessageError` if it can't
        be sent.
        """
        frame = _frame(msg)
        link = await self._ready_link(address)
        if address in self.blocked:
            return
        self.counts.frames_sent += 1
        try:
            async with asyncio.timeout(NOTICE_TIMEOUT):
                await link.ws.send(frame)
        except (TimeoutError, ConnectionClosed) as exc:
            text = f"a notice to {_text(address)} may be lost"
            raise PeerTimeoutError(text) from exc

    # Outgoing connections.

    async def _ready_link(self, address: Address) -> _Link:
        """Return a link on which the caller can write before its next await."""
        for _ in range(2):
            if self._closed:
                raise PeerUnreachableError("the connections of this instance ended")
            link = await self._link(address)
            if link.clogged:
                text = f"{_text(address)} does not read what is sent to it"
                raise PeerUnreachableError(text)
            if link.open:
                return link
        raise PeerUnreachableError(f"{_text(address)} closes each connection")

    async def _link(self, address: Address) -> _Link:
        link = self._links.get(address)
        if link is not None and link.open:
            self._links.move_to_end(address)
            return link
        task = self._dials.get(address)
        if task is None:
            task = self._spawn(self._dial(address), self._tasks)
            self._dials[address] = task
            task.add_done_callback(lambda done: self._dialled(address, done))
        # Other requests wait for the same connection, so one that gives up must not
        # cancel it.
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            text = f"the connect to {_text(address)} was given up"
            raise PeerUnreachableError(text) from None

    def _dialled(self, address: Address, task: asyncio.Task[_Link]) -> None:
        self._dials.pop(address, None)
        if not task.cancelled():
            task.exception()

    async def _dial(self, address: Address) -> _Link:
        host, port = address
        ws = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                if address in self.blocked:
                    await asyncio.sleep(CONNECT_TIMEOUT)
                ws = await connect(
                    f"ws://{host}:{port}",
                    compression=None,
                    proxy=None,
                    user_agent_header=None,
                    max_size=MAX_FRAME_BYTES,
                    close_timeout=CLOSE_TIMEOUT,
                    create_connection=self._metered(_MeteredClient),
                )
                await self._introduce(ws, address)
        except (OSError, WebSocketException, HandshakeError) as exc:
            await _close(ws)
            text = f"{_text(address)} takes no connection: {exc!r:.200}"
            raise PeerUnreachableError(text) from exc
        except asyncio.CancelledError:
            await _close(ws)
            raise
        self.counts.dialled += 1
        link = _Link(address, ws)
        self._links[address] = link
        self._spawn(self._read_replies(link), self._tasks)
        self._trim()
        return link

    async def _introduce(self, ws: ClientConnection, address: Address) -> None:
        """Run the connecting side of the handshake."""
        me = self.identity
        hello = encode(
            Hello(
                self.versions,
                os.urandom(NONCE_BYTES),
                me.id,
                me.data_centre,
                me.incarnation,
                self.address,
            )
        )
        try:
            await ws.send(hello)
            challenge = await _expect(ws, Challenge)
            if challenge.version not in self.versions:
                raise HandshakeError(f"version {challenge.version} was not offered")
            terms = (hello, challenge.version, challenge.nonce)
            proof = make_proof(self._key, "accept", *terms)
            if not hmac.compare_digest(proof, challenge.proof):
                raise HandshakeError("the peer has another fleet key")
            await ws.send(encode(Proof(make_proof(self._key, "connect", *terms))))
            await _expect(ws, Accepted)
        except HandshakeError as exc:
            self._log_refusal(_text(address), "outgoing", exc)
            raise

    async def _exchange(self, link: _Link, correlation: int, frame: bytes) -> Any:
        fut = link.expect(correlation)
        try:
            if link.address not in self.blocked:
                self.counts.frames_sent += 1
                await link.ws.send(frame)
            reply = await fut
        except ConnectionClosed as exc:
            text = f"the connection to {_text(link.address)} was lost"
            raise PeerTimeoutError(text) from exc
        finally:
            link.pending.pop(correlation, None)
            if fut.done() and not fut.cancelled():
                fut.exception()
            self._trim()
        if isinstance(reply, Failed):
            raise PeerFailedError(f"{_text(link.address)}: {reply.reason}")
        return None if isinstance(reply, Done) else reply

    async def _read_replies(self, link: _Link) -> None:
        where = _text(link.address)
        try:
            async for data in link.ws:
                self.counts.frames_received += 1
                if link.address not in self.blocked:
                    self._take_reply(link, data)
        except ConnectionClosed as exc:
            self._note_oversize(where, exc)
        finally:
            link.closing = True
            if self._links.get(link.address) is link:
                del self._links[link.address]
            link.fail()

    def _take_reply(self, link: _Link, data: bytes | str) -> None:
        where = _text(link.address)
        try:
            envelope = _decode(data)
        except BodyError as exc:
            self._note_malformed(where, exc)
            link.resolve(exc.correlation, Failed("the reply is malformed"))
        except MessageError as exc:
            self._note_malformed(where, exc)
        else:
            reply = envelope.message
            if isinstance(reply, UnknownMessage):
                self._note_unknown(where, reply.name)
                reply = Failed(f"the reply has the unknown type {reply.name!r:.80}")
            link.resolve(envelope.correlation, reply)

    def _trim(self) -> None:
        """Close the least recently used idle links above the limit."""
        idle = [link for link in self._links.values() if not link.pending]
        for link in idle[: max(0, len(idle) - MAX_IDLE_LINKS)]:
            link.closing = True
            del self._links[link.address]
            self._spawn(_close(link.ws), self._tasks)

    # Incoming connections.

    async def _serve(self, ws: ServerConnection) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                sender = await self._accept(ws)
        except TimeoutError:
            self._log_refusal(_remote(ws), "incoming", "the handshake took too long")
            return
        except HandshakeError as exc:
            self._log_refusal(_remote(ws), "incoming", exc)
            with contextlib.suppress(ConnectionClosed):
                await ws.send(encode(Refused(str(exc))))
                await ws.close(_POLICY_VIOLATION, "handshake refused")
            return
        except ConnectionClosed as exc:
            self._log_refusal(_remote(ws), "incoming", f"closed early: {exc}")
            return
        self.counts.accepted += 1
        await self._read_requests(ws, sender)

    async def _accept(self, ws: ServerConnection) -> Sender:
        """Run the accepting side of the handshake; return the proven peer."""
        frame = await ws.recv()
        hello = _handshake_message(frame, Hello)
        if hello.address in self.blocked:
            await asyncio.sleep(CONNECT_TIMEOUT)
        version = choose_version(hello.versions, self.versions)
        if version is None:
            offered = ", ".join(map(str, hello.versions))
            supported = ", ".join(map(str, self.versions))
            raise HandshakeError(
                f"no common protocol version: {offered} offered, {supported} supported"
            )
        nonce = os.urandom(NONCE_BYTES)
        terms = (frame, version, nonce)
        proof = make_proof(self._key, "accept", *terms)
        await ws.send(encode(Challenge(version, nonce, proof, self.identity.id)))
        answer = await _expect(ws, Proof)
        if not hmac.compare_digest(
            make_proof(self._key, "connect", *terms), answer.proof
        ):
            raise HandshakeError("the peer has another fleet key")
        await ws.send(encode(Accepted()))
        return Sender(hello.id, hello.data_centre, hello.incarnation, hello.address)

    async def _read_requests(self, ws: ServerConnection, sender: Sender) -> None:
        gate = asyncio.Semaphore(MAX_RUNNING)
        try:
            async for data in ws:
                self.counts.frames_received += 1
                if sender.address in self.blocked:
                    continue
                await gate.acquire()
                work = self._handle(ws, sender, data)
                task = self._spawn(work, self._running)
                task.add_done_callback(lambda _: gate.release())
        except ConnectionClosed as exc:
            self._note_oversize(sender.id, exc)

    async def _handle(
        self, ws: ServerConnection, sender: Sender, data: bytes | str
    ) -> None:
        """Process one frame; nothing that it raises reaches the connection."""
        try:
            envelope = _decode(data)
        except BodyError as exc:
            self._note_malformed(sender.id, exc)
            if exc.kind is Kind.REQUEST:
                failed = Failed("the message is malformed")
                await self._reply(ws, sender, failed, exc.correlation)
            return
        except MessageError as exc:
            self._note_malformed(sender.id, exc)
            return
        reply = await self._run(sender, envelope)
        if envelope.kind is Kind.REQUEST:
            await self._reply(ws, sender, reply, envelope.correlation)

    async def _run(self, sender: Sender, envelope: Envelope) -> Any:
        msg = envelope.message
        if self.should_stop:
            return Failed("the instance is stopping")
        if isinstance(msg, UnknownMessage):
            self._note_unknown(sender.id, msg.name)
            return Failed(f"the message type {msg.name!r:.80} is unknown")
        name = name_of(type(msg))
        handler = self._handlers.get(type(msg))
        if handler is None:
            self._note_unknown(sender.id, name)
            return Failed(f"the message type {name!r} has no handler")
        try:
            reply = await handler(sender, msg)
        except Exception as exc:
            # A fault in one handler must not end the connection of a peer.
            self.counts.failed += 1
            events.emit(
                events.PEER_HANDLER_FAILED,
                peer=sender.id,
                message=name,
                reason=f"{exc!r:.200}",
            )
            return Failed(f"the handler of {name!r} failed")
        return Done() if reply is None else reply

    async def _reply(
        self, ws: ServerConnection, sender: Sender, reply: Any, correlation: int
    ) -> None:
        if sender.address in self.blocked:
            return
        try:
            frame = _frame(reply, correlation, Kind.REPLY)
        except MessageError as exc:
            self._note_malformed(self.identity.id, exc)
            failed = Failed("the reply can't be sent")
            frame = encode(failed, correlation, Kind.REPLY)
        if ws.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            # The peer sends requests but doesn't read the replies.
            ws.transport.abort()
            return
        with contextlib.suppress(ConnectionClosed):
            self.counts.frames_sent += 1
            await ws.send(frame)

    # Life of the service.

    async def on_start(self) -> None:
        """Listen; `address` has the bound port afterwards."""
        host, port = self.cfg.peer_listen
        self._server = await serve(
            self._serve,
            host,
            port,
            compression=None,
            server_header=None,
            max_size=MAX_FRAME_BYTES,
            close_timeout=CLOSE_TIMEOUT,
            open_timeout=CONNECT_TIMEOUT,
            create_connection=self._metered(_MeteredServer),
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        where = _text(self.address)
        events.emit(events.PEERS_LISTENING, instance=self.identity.id, address=where)

    async def on_stop(self) -> None:
        """Accept no more, let running handlers finish, then close everything."""
        if self._server is None:
            return
        self._server.close(close_connections=False)
        if self._running:
            await asyncio.wait(self._running, timeout=self.cfg.drain_timeout)
        for task in self._running:
            task.cancel()
        self._closed = True
        links = list(self._links.values())
        for link in links:
            link.closing = True
        served = list(self._server.connections)
        closing = [_close(link.ws) for link in links] + [_close(ws) for ws in served]
        await asyncio.gather(*closing)
        left = list(self._tasks | self._running)
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)
        await self._server.wait_closed()

    def _spawn(
        self, coro: Coroutine[Any, Any, Any], owned: set[asyncio.Task[Any]]
    ) -> asyncio.Task[Any]:
        task = asyncio.create_task(coro)
        owned.add(task)
        task.add_done_callback(owned.discard)
        return task

    def _metered(self, cls: type) -> Callable[..., Connection]:
        def make(*args: Any, **kwargs: Any) -> Connection:
            conn = cls(*args, **kwargs)
            conn.counts = self.counts
            return conn

        return make

    def _log_refusal(self, peer: str, direction: str, reason: object) -> None:
        self.counts.refused += 1
        events.emit(
            events.HANDSHAKE_REFUSED,
            peer=peer,
            direction=direction,
            reason=str(reason),
        )

    def _note_malformed(self, peer: str, exc: object) -> None:
        self.counts.malformed += 1
        events.emit(events.FRAME_MALFORMED, peer=peer, reason=str(exc))

    def _note_unknown(self, peer: str, name: str) -> None:
        self.counts.unknown += 1
        events.emit(events.MESSAGE_UNKNOWN, peer=peer, message=name[:80])

    def _note_oversize(self, peer: str, exc: ConnectionClosed) -> None:
        if exc.sent is not None and exc.sent.code == _MESSAGE_TOO_BIG:
            self._note_malformed(peer, f"the frame is over {MAX_FRAME_BYTES} bytes")


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _remote(ws: Connection) -> str:
    remote = ws.remote_address
    return _text(remote) if remote else "unknown"


def _frame(msg: Any, correlation: int = 0, kind: Kind = Kind.NOTICE) -> bytes:
    """Return the frame of a message; raises `MessageError` if it is too large."""
    frame = encode(msg, correlation, kind)
    if len(frame) > MAX_FRAME_BYTES:
        raise MessageError(
            f"the message has {len(frame)} bytes, the limit is {MAX_FRAME_BYTES}; "
            "split it"
        )
    return frame


def _decode(data: bytes | str) -> Envelope:
    if isinstance(data, str):
        raise MessageError("a text frame was received instead of a binary one")
    return decode(data)


def _handshake_message(data: bytes | str, expected: type) -> Any:
    """Return the message; raises `HandshakeError` if it isn't of that class."""
    if len(data) > MAX_HELLO_BYTES:
        raise HandshakeError(f"a handshake frame has {len(data)} bytes")
    try:
        msg = _decode(data).message
    except MessageError as exc:
        raise HandshakeError(f"the handshake is malformed: {exc}") from exc
    if isinstance(msg, Refused):
        raise HandshakeError(f"the peer refused: {msg.reason:.200}")
    if not isinstance(msg, expected):
        raise HandshakeError(f"{name_of(expected)!r} was expected in the handshake")
    return msg


async def _expect(ws: Connection, expected: type) -> Any:
    return _handshake_message(await ws.recv(), expected)


async def _close(ws: Connection | None) -> None:
    """Close a connection; abort it if the peer doesn't read.

    The closing handshake waits for room in the write buffer without a limit of its
    own, so a peer that doesn't read would hold it up forever.
    """
    if ws is None:
        return
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT):
            await ws.close()
    except TimeoutError:
        ws.transport.abort()
