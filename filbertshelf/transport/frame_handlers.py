"""Dispatch of the frames from other instances to message handlers."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable, Collection
from typing import Any

from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from filbertshelf import events
from filbertshelf.addresses import Address
from filbertshelf.errors import MessageError
from filbertshelf.protocol.messages import (
    BodyError,
    Envelope,
    Kind,
    UnknownMessage,
    encode,
    message_name,
)
from filbertshelf.protocol.replies import Done, Failed
from filbertshelf.transport.handshake import Sender
from filbertshelf.transport.peer_link import (
    MAX_FRAME_BYTES,
    PeerCounts,
    decode_frame,
    encode_frame,
    send_buffer_full,
)

_MESSAGE_TOO_BIG = 1009

Handler = Callable[[Sender, Any], Awaitable[Any]]


class FrameHandlers:
    """Runs the handler of each message and sends its reply.

    `blocked` has the addresses of peers that get no replies, a fault hook for tests;
    `stopping` returns whether this instance refuses further requests.
    """

    def __init__(
        self,
        own_id: str,
        counts: PeerCounts,
        blocked: Collection[Address],
        stopping: Callable[[], bool],
    ):
        self._own_id = own_id
        self._counts = counts
        self._blocked = blocked
        self._stopping = stopping
        self._handlers: dict[type, Handler] = {}

    def register(self, message_class: type, handler: Handler) -> None:
        """Set the handler of a message class; it returns the reply, or None.

        Raises `MessageError` if the class is not a registered message.
        """
        message_name(message_class)
        self._handlers[message_class] = handler

    async def handle(
        self, ws: ServerConnection, sender: Sender, data: bytes | str
    ) -> None:
        """Process one frame; an exception of its handler is logged, not raised."""
        try:
            envelope = decode_frame(data)
        except BodyError as exc:
            self.record_malformed(sender.id, exc)
            if exc.kind is Kind.REQUEST:
                failed = Failed("the message is malformed")
                await self._reply(ws, sender, failed, exc.correlation)
            return
        except MessageError as exc:
            self.record_malformed(sender.id, exc)
            return
        reply = await self._run(sender, envelope)
        if envelope.kind is Kind.REQUEST:
            await self._reply(ws, sender, reply, envelope.correlation)

    async def _run(self, sender: Sender, envelope: Envelope) -> Any:
        msg = envelope.message
        if self._stopping():
            return Failed("the instance is stopping")
        if isinstance(msg, UnknownMessage):
            self.record_unknown(sender.id, msg.name)
            return Failed(f"the message type {msg.name!r:.80} is unknown")
        name = message_name(type(msg))
        handler = self._handlers.get(type(msg))
        if handler is None:
            self.record_unknown(sender.id, name)
            return Failed(f"the message type {name!r} has no handler")
        try:
            reply = await handler(sender, msg)
        except Exception as exc:
            # An error in one handler must not end the peer's connection.
            self._counts.failed += 1
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
        if sender.address in self._blocked:
            return
        try:
            frame = encode_frame(reply, correlation, Kind.REPLY)
        except MessageError as exc:
            self.record_malformed(self._own_id, exc)
            failed = Failed("the reply can't be sent")
            frame = encode(failed, correlation, Kind.REPLY)
        if send_buffer_full(ws):
            # The peer sends requests but doesn't read its replies.
            ws.transport.abort()
            return
        with contextlib.suppress(ConnectionClosed):
            self._counts.frames_sent += 1
            await ws.send(frame)

    # Counting and logging.

    def record_malformed(self, peer: str, exc: object) -> None:
        """Count and log a frame that can't be decoded or encoded."""
        self._counts.malformed += 1
        events.emit(events.FRAME_MALFORMED, peer=peer, reason=str(exc))

    def record_unknown(self, peer: str, name: str) -> None:
        """Count and log a message that has an unknown type or no handler."""
        self._counts.unknown += 1
        events.emit(events.MESSAGE_UNKNOWN, peer=peer, message=name[:80])

    def record_oversize(self, peer: str, exc: ConnectionClosed) -> None:
        """Count and log an oversize frame, if that is why the connection was closed."""
        if exc.sent is not None and exc.sent.code == _MESSAGE_TOO_BIG:
            self.record_malformed(peer, f"the frame is over {MAX_FRAME_BYTES} bytes")
