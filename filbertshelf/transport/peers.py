"""Connections between instances that carry requests, replies and notices."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
from collections.abc import Coroutine, Iterable
from typing import Any

import mode
from websockets.asyncio.client import ClientConnection, connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.errors import (
    HandshakeError,
    MessageError,
    PeerFailedError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from filbertshelf.protocol.handshake import Refused
from filbertshelf.protocol.messages import (
    VERSIONS,
    BodyError,
    Kind,
    UnknownMessage,
    encode,
)
from filbertshelf.protocol.replies import Done, Failed
from filbertshelf.settings import Settings
from filbertshelf.state.members import Address, Identity
from filbertshelf.transport.frame_handlers import FrameHandlers, Handler
from filbertshelf.transport.handshake import (
    Credentials,
    Sender,
    accept_handshake,
    connect_handshake,
)
from filbertshelf.transport.peer_link import (
    CLOSE_TIMEOUT_S,
    MAX_FRAME_BYTES,
    MeteredClient,
    MeteredServer,
    PeerCounts,
    PeerLink,
    close_connection,
    connection_factory,
    decode_frame,
    encode_frame,
    format_address,
    format_remote_address,
    send_buffer_full,
)

# Must not be less than the number of peers that one round of updates goes to;
# otherwise connections would be closed and opened again in each round.
MAX_IDLE_LINKS = 160
# Seconds from the TCP connect to the end of the handshake.
CONNECT_TIMEOUT_S = 2.0
# Seconds that a notice may wait for space in the write buffer.
NOTICE_TIMEOUT_S = 2.0
# Concurrent requests of one connection; above it, reading from the connection pauses.
MAX_RUNNING_REQUESTS = 256

_POLICY_VIOLATION = 1008


class Peers(mode.Service):
    """All connections of this instance to and from other instances.

    A request is delivered at most once: it is never written twice.
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
        self._frame_handlers = FrameHandlers(
            identity.id, self.counts, self.blocked, lambda: self.should_stop
        )
        self._links: collections.OrderedDict[Address, PeerLink] = (
            collections.OrderedDict()
        )
        self._dials: dict[Address, asyncio.Task[PeerLink]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._running: set[asyncio.Task[Any]] = set()
        self._server: Server | None = None
        self._correlation_ids = itertools.count(1)
        self._closed = False

    def register(self, message_class: type, handler: Handler) -> None:
        """Set the handler of a message class; it returns the reply, or None.

        Raises `MessageError` if the class is not a registered message.
        """
        self._frame_handlers.register(message_class, handler)

    async def request(self, address: Address, msg: Any, timeout: float) -> Any:
        """Send a message and return the reply, None if the handler returned None.

        `timeout` is in seconds and includes opening a connection. Raises
        `PeerUnreachableError` if the message was certainly not delivered,
        `PeerFailedError` if the peer replied that it has no result,
        `PeerTimeoutError` if it is unknown whether the peer handled the message, and
        `MessageError` if the message can't be encoded.
        """
        correlation = next(self._correlation_ids)
        frame = encode_frame(msg, correlation, Kind.REQUEST)
        written = False
        try:
            async with asyncio.timeout(timeout):
                link = await self._ready_link(address)
                written = True
                return await self._exchange(link, correlation, frame)
        except TimeoutError as exc:
            where = format_address(address)
            if not written:
                text = f"no connection to {where} within {timeout:.3f} s"
                raise PeerUnreachableError(text) from exc
            raise PeerTimeoutError(f"no reply from {where} in {timeout:.3f} s") from exc

    async def open(self, address: Address) -> None:
        """Open a connection unless one is open, so that a later message needn't wait.

        Raises `PeerUnreachableError`.
        """
        await self._ready_link(address)

    async def notify(self, address: Address, msg: Any) -> None:
        """Send a message without a reply; return when it is written.

        Raises `PeerUnreachableError` if the message was certainly not delivered,
        `PeerTimeoutError` if it may be lost, because the peer doesn't read or the
        connection was closed, and `MessageError` if it can't be encoded.
        """
        await self._write_notice(address, encode_frame(msg))

    async def notify_all(self, addresses: Iterable[Address], msg: Any) -> None:
        """Send a message to several peers, except those that can't be reached.

        Raises `MessageError` if the message can't be encoded.
        """
        frame = encode_frame(msg)
        await asyncio.gather(
            *(self._try_write_notice(address, frame) for address in addresses)
        )

    async def _try_write_notice(self, address: Address, frame: bytes) -> None:
        # A peer that doesn't read must not delay or prevent the notices to the others.
        try:
            await self._write_notice(address, frame)
        except (PeerUnreachableError, PeerTimeoutError) as exc:
            self.log.debug("a notice to %s was lost: %s", format_address(address), exc)

    async def _write_notice(self, address: Address, frame: bytes) -> None:
        link = await self._ready_link(address)
        if address in self.blocked:
            return
        self.counts.frames_sent += 1
        try:
            async with asyncio.timeout(NOTICE_TIMEOUT_S):
                await link.ws.send(frame)
        except (TimeoutError, ConnectionClosed) as exc:
            text = f"a notice to {format_address(address)} may be lost"
            raise PeerTimeoutError(text) from exc

    # Outgoing connections.

    async def _ready_link(self, address: Address) -> PeerLink:
        """Return an open link; it stays writable until the caller's next await."""
        for _ in range(2):
            if self._closed:
                raise PeerUnreachableError("the connections of this instance ended")
            link = await self._get_link(address)
            if send_buffer_full(link.ws):
                text = f"{format_address(address)} does not read what is sent to it"
                raise PeerUnreachableError(text)
            if link.is_open:
                return link
        raise PeerUnreachableError(f"{format_address(address)} closes each connection")

    async def _get_link(self, address: Address) -> PeerLink:
        link = self._links.get(address)
        if link is not None and link.is_open:
            self._links.move_to_end(address)
            return link
        task = self._dials.get(address)
        if task is None:
            task = self._spawn(self._dial(address), self._tasks)
            self._dials[address] = task
            task.add_done_callback(lambda finished: self._on_dialled(address, finished))
        # Other requests may wait for the same connection, so cancelling this one must
        # not cancel the connection attempt.
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if not task.cancelled():
                raise
            text = f"the connect to {format_address(address)} was given up"
            raise PeerUnreachableError(text) from None

    def _on_dialled(self, address: Address, task: asyncio.Task[PeerLink]) -> None:
        self._dials.pop(address, None)
        if not task.cancelled():
            task.exception()

    async def _dial(self, address: Address) -> PeerLink:
        host, port = address
        ws = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                if address in self.blocked:
                    await asyncio.sleep(CONNECT_TIMEOUT_S)
                ws = await connect(
                    f"ws://{host}:{port}",
                    compression=None,
                    proxy=None,
                    user_agent_header=None,
                    max_size=MAX_FRAME_BYTES,
                    close_timeout=CLOSE_TIMEOUT_S,
                    create_connection=connection_factory(MeteredClient, self.counts),
                )
                await self._run_handshake(ws, address)
        except (OSError, WebSocketException, HandshakeError) as exc:
            await close_connection(ws)
            text = f"{format_address(address)} takes no connection: {exc!r:.200}"
            raise PeerUnreachableError(text) from exc
        except asyncio.CancelledError:
            await close_connection(ws)
            raise
        self.counts.dialled += 1
        link = PeerLink(address, ws)
        self._links[address] = link
        self._spawn(self._read_replies(link), self._tasks)
        self._close_excess_links()
        return link

    async def _run_handshake(self, ws: ClientConnection, address: Address) -> None:
        try:
            await connect_handshake(ws, self._credentials())
        except HandshakeError as exc:
            self._log_refusal(format_address(address), "outgoing", exc)
            raise

    async def _exchange(self, link: PeerLink, correlation: int, frame: bytes) -> Any:
        fut = link.expect_reply(correlation)
        try:
            if link.address not in self.blocked:
                self.counts.frames_sent += 1
                await link.ws.send(frame)
            reply = await fut
        except ConnectionClosed as exc:
            text = f"the connection to {format_address(link.address)} was lost"
            raise PeerTimeoutError(text) from exc
        finally:
            link.pending.pop(correlation, None)
            if fut.done() and not fut.cancelled():
                fut.exception()
            self._close_excess_links()
        if isinstance(reply, Failed):
            raise PeerFailedError(f"{format_address(link.address)}: {reply.reason}")
        return None if isinstance(reply, Done) else reply

    async def _read_replies(self, link: PeerLink) -> None:
        where = format_address(link.address)
        try:
            async for data in link.ws:
                self.counts.frames_received += 1
                if link.address not in self.blocked:
                    self._handle_reply(link, data)
        except ConnectionClosed as exc:
            self._frame_handlers.record_oversize(where, exc)
        finally:
            link.closing = True
            if self._links.get(link.address) is link:
                del self._links[link.address]
            link.fail_pending()

    def _handle_reply(self, link: PeerLink, data: bytes | str) -> None:
        where = format_address(link.address)
        try:
            envelope = decode_frame(data)
        except BodyError as exc:
            self._frame_handlers.record_malformed(where, exc)
            link.resolve(exc.correlation, Failed("the reply is malformed"))
        except MessageError as exc:
            self._frame_handlers.record_malformed(where, exc)
        else:
            reply = envelope.message
            if isinstance(reply, UnknownMessage):
                self._frame_handlers.record_unknown(where, reply.name)
                reply = Failed(f"the reply has the unknown type {reply.name!r:.80}")
            link.resolve(envelope.correlation, reply)

    def _close_excess_links(self) -> None:
        """Close the least recently used idle links beyond `MAX_IDLE_LINKS`."""
        idle = [link for link in self._links.values() if not link.pending]
        for link in idle[: max(0, len(idle) - MAX_IDLE_LINKS)]:
            link.closing = True
            del self._links[link.address]
            self._spawn(close_connection(link.ws), self._tasks)

    # Incoming connections.

    async def _handle_connection(self, ws: ServerConnection) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                sender = await accept_handshake(ws, self._credentials(), self.blocked)
        except TimeoutError:
            self._log_refusal(
                format_remote_address(ws), "incoming", "the handshake took too long"
            )
            return
        except HandshakeError as exc:
            self._log_refusal(format_remote_address(ws), "incoming", exc)
            with contextlib.suppress(ConnectionClosed):
                await ws.send(encode(Refused(str(exc))))
                await ws.close(_POLICY_VIOLATION, "handshake refused")
            return
        except ConnectionClosed as exc:
            self._log_refusal(
                format_remote_address(ws), "incoming", f"closed early: {exc}"
            )
            return
        self.counts.accepted += 1
        await self._read_requests(ws, sender)

    async def _read_requests(self, ws: ServerConnection, sender: Sender) -> None:
        slots = asyncio.Semaphore(MAX_RUNNING_REQUESTS)
        try:
            async for data in ws:
                self.counts.frames_received += 1
                if sender.address in self.blocked:
                    continue
                await slots.acquire()
                coro = self._frame_handlers.handle(ws, sender, data)
                task = self._spawn(coro, self._running)
                task.add_done_callback(lambda _: slots.release())
        except ConnectionClosed as exc:
            self._frame_handlers.record_oversize(sender.id, exc)

    # Start and stop.

    async def on_start(self) -> None:
        """Listen on the configured address; `address` has the bound port afterwards."""
        host, port = self.cfg.peer_listen
        self._server = await serve(
            self._handle_connection,
            host,
            port,
            compression=None,
            server_header=None,
            max_size=MAX_FRAME_BYTES,
            close_timeout=CLOSE_TIMEOUT_S,
            open_timeout=CONNECT_TIMEOUT_S,
            create_connection=connection_factory(MeteredServer, self.counts),
        )
        self.address = self._server.sockets[0].getsockname()[:2]
        where = format_address(self.address)
        events.emit(events.PEERS_LISTENING, instance=self.identity.id, address=where)

    async def on_stop(self) -> None:
        """Stop listening, let running handlers finish, then close all connections."""
        if self._server is None:
            return
        self._server.close(close_connections=False)
        if self._running:
            await asyncio.wait(self._running, timeout=self.cfg.drain_timeout)
        for task in self._running:
            task.cancel()
        self._closed = True
        # A connection that opened after the others are listed would stay open, and
        # the peer's own stop would wait for it.
        await _cancel_all(self._dials.values())
        links = list(self._links.values())
        for link in links:
            link.closing = True
        incoming = list(self._server.connections)
        closing = [close_connection(link.ws) for link in links] + [
            close_connection(ws) for ws in incoming
        ]
        await asyncio.gather(*closing)
        await _cancel_all(self._tasks | self._running)
        await self._server.wait_closed()

    def _credentials(self) -> Credentials:
        key = self.cfg.fleet_key.encode()
        return Credentials(key, self.versions, self.identity, self.address)

    def _spawn(
        self, coro: Coroutine[Any, Any, Any], tasks: set[asyncio.Task[Any]]
    ) -> asyncio.Task[Any]:
        task = asyncio.create_task(coro)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    def _log_refusal(self, peer: str, direction: str, reason: object) -> None:
        self.counts.refused += 1
        events.emit(
            events.HANDSHAKE_REFUSED,
            peer=peer,
            direction=direction,
            reason=str(reason),
        )


async def _cancel_all(tasks: Iterable[asyncio.Task[Any]]) -> None:
    cancelled = list(tasks)
    for task in cancelled:
        task.cancel()
    await asyncio.gather(*cancelled, return_exceptions=True)
