"""One connection between instances and the frames on it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.protocol import State

from filbertshelf.errors import MessageError, PeerTimeoutError
from filbertshelf.protocol.messages import Envelope, Kind, decode, encode
from filbertshelf.state.members import Address

MAX_FRAME_BYTES = 2 * 1024 * 1024
CLOSE_TIMEOUT = 1.0
# A connection with more unsent bytes than this belongs to a peer that doesn't read;
# further messages to it are refused instead of buffered.
MAX_UNSENT_BYTES = 4 * 1024 * 1024


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


class MeteredClient(_Metered, ClientConnection):
    """An outgoing connection that counts."""


class MeteredServer(_Metered, ServerConnection):
    """An incoming connection that counts."""


def metered(cls: type, counts: PeerCounts) -> Callable[..., Connection]:
    """Return a constructor of connections that add to `counts`."""

    def make(*args: Any, **kwargs: Any) -> Connection:
        conn = cls(*args, **kwargs)
        conn.counts = counts
        return conn

    return make


def clogged(ws: Connection) -> bool:
    """Tell whether the other side has stopped reading."""
    return ws.transport.get_write_buffer_size() > MAX_UNSENT_BYTES


class Link:
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


def text_of(address: Address) -> str:
    """Return an address as IP:PORT."""
    return f"{address[0]}:{address[1]}"


def remote_of(ws: Connection) -> str:
    """Return the other end of a connection as IP:PORT."""
    remote = ws.remote_address
    return text_of(remote) if remote else "unknown"


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
    """Return the envelope in a frame; raises `MessageError`."""
    if isinstance(data, str):
        raise MessageError("a text frame was received instead of a binary one")
    return decode(data)


async def close(ws: Connection | None) -> None:
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
