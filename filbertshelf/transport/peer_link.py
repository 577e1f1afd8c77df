"""A connection to a peer, and the frames on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.protocol import Protocol, State

from filbertshelf.errors import MessageError, PeerTimeoutError
from filbertshelf.protocol.messages import Envelope, Kind, decode, encode
from filbertshelf.state.members import Address

MAX_FRAME_BYTES = 2 * 1024 * 1024
# The opening request or response; the library limits its lines, but reads on after an
# error until the other end closes.
MAX_OPENING_BYTES = 64 * 1024
CLOSE_TIMEOUT_S = 1.0
# Above this many unsent bytes a peer is considered to have stopped reading; further
# messages to it are refused instead of buffered.
MAX_UNSENT_BYTES = 4 * 1024 * 1024


@attrs.define
class PeerCounts:
    """Counters of connections and frames since the start."""

    dialled: int = 0
    accepted: int = 0
    refused: int = 0
    malformed: int = 0
    unknown: int = 0
    failed: int = 0
    frames_sent: int = 0
    frames_received: int = 0
    # Bytes read from the sockets, including HTTP and WebSocket headers.
    bytes_received: int = 0


class _Metered:
    """A mixin that counts received bytes and limits those of the opening handshake."""

    counts: PeerCounts
    protocol: Protocol
    transport: asyncio.Transport
    _opening_bytes = 0

    def data_received(self, data: bytes) -> None:
        self.counts.bytes_received += len(data)
        if self.protocol.state is State.CONNECTING:
            self._opening_bytes += len(data)
            if self._opening_bytes > MAX_OPENING_BYTES:
                self.transport.abort()
                return
        super().data_received(data)


class MeteredClient(_Metered, ClientConnection):
    """An outgoing connection that counts the bytes that it receives."""


class MeteredServer(_Metered, ServerConnection):
    """An incoming connection that counts the bytes that it receives."""


def connection_factory(cls: type, counts: PeerCounts) -> Callable[..., Connection]:
    """Return a factory of connections of class `cls` that add to `counts`."""

    def make(*args: Any, **kwargs: Any) -> Connection:
        conn = cls(*args, **kwargs)
        conn.counts = counts
        return conn

    return make


def send_buffer_full(ws: Connection) -> bool:
    """Return whether so much is unsent that the peer seems to have stopped reading."""
    return ws.transport.get_write_buffer_size() > MAX_UNSENT_BYTES


class PeerLink:
    """An outgoing connection and the requests that wait for a reply on it."""

    def __init__(self, address: Address, ws: ClientConnection):
        self.address = address
        self.ws = ws
        self.pending: dict[int, asyncio.Future[Any]] = {}
        self.closing = False

    @property
    def is_open(self) -> bool:
        """Return whether a frame can be written now."""
        return not self.closing and self.ws.state is State.OPEN

    def expect_reply(self, correlation: int) -> asyncio.Future[Any]:
        """Return a future for the reply with this correlation id."""
        fut = asyncio.get_running_loop().create_future()
        self.pending[correlation] = fut
        return fut

    def resolve(self, correlation: int, reply: Any) -> None:
        """Set the reply of a pending request; a late reply is dropped."""
        fut = self.pending.get(correlation)
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def fail_pending(self) -> None:
        """Fail all pending requests; their outcome at the peer is unknown."""
        for fut in self.pending.values():
            if not fut.done():
                text = "the connection was lost after the message was written"
                fut.set_exception(PeerTimeoutError(text))


def format_address(address: Address) -> str:
    """Return an address as IP:PORT."""
    return f"{address[0]}:{address[1]}"


def format_remote_address(ws: Connection) -> str:
    """Return the remote address of a connection as IP:PORT."""
    remote = ws.remote_address
    return format_address(remote) if remote else "unknown"


def encode_frame(msg: Any, correlation: int = 0, kind: Kind = Kind.NOTICE) -> bytes:
    """Return the frame of a message; raises `MessageError` if it is too large."""
    frame = encode(msg, correlation, kind)
    if len(frame) > MAX_FRAME_BYTES:
        raise MessageError(
            f"the message has {len(frame)} bytes, the limit is {MAX_FRAME_BYTES}; "
            "split it"
        )
    return frame


def decode_frame(data: bytes | str) -> Envelope:
    """Return the envelope in a frame; raises `MessageError` if it is malformed."""
    if isinstance(data, str):
        raise MessageError("a text frame was received instead of a binary one")
    return decode(data)


async def close_connection(ws: Connection | None) -> None:
    """Close a connection; abort it if the peer doesn't read.

    The closing handshake waits for space in the write buffer without a timeout, so a
    peer that doesn't read would block it forever.
    """
    if ws is None:
        return
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await ws.close()
    except TimeoutError:
        ws.transport.abort()
