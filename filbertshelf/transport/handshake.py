"""The two sides of the handshake between instances."""

from __future__ import annotations

import asyncio
import hmac
import os
from collections.abc import Container
from typing import Any

import attrs
from websockets.asyncio.connection import Connection

from filbertshelf.errors import HandshakeError, MessageError
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
from filbertshelf.protocol.messages import encode, message_name
from filbertshelf.state.members import Address, Identity
from filbertshelf.transport.peer_link import decode_frame


@attrs.frozen
class Sender:
    """The proven origin of a message; `address` is where it accepts connections."""

    id: str
    data_centre: str
    incarnation: int
    address: Address


@attrs.frozen
class Credentials:
    """What one side brings into a handshake; `address` is where it listens."""

    key: bytes = attrs.field(repr=False)
    versions: tuple[int, ...]
    identity: Identity
    address: Address


async def connect_handshake(ws: Connection, mine: Credentials) -> None:
    """Run the connecting side; raises `HandshakeError` if either side refuses."""
    me = mine.identity
    nonce = os.urandom(NONCE_BYTES)
    hello = encode(
        Hello(mine.versions, nonce, me.id, me.data_centre, me.incarnation, mine.address)
    )
    await ws.send(hello)
    challenge = await _expect(ws, Challenge)
    if challenge.version not in mine.versions:
        raise HandshakeError(f"version {challenge.version} was not offered")
    terms = (hello, challenge.version, challenge.nonce)
    _check(make_proof(mine.key, "accept", *terms), challenge.proof)
    await ws.send(encode(Proof(make_proof(mine.key, "connect", *terms))))
    await _expect(ws, Accepted)


async def accept_handshake(
    ws: Connection, mine: Credentials, blocked: Container[Address] = ()
) -> Sender:
    """Run the accepting side; return the proven peer.

    A peer at a blocked address gets no answer. Raises `HandshakeError`.
    """
    frame = await ws.recv()
    hello = _read(frame, Hello)
    if hello.address in blocked:
        await asyncio.Event().wait()
    version = choose_version(hello.versions, mine.versions)
    if version is None:
        offered = ", ".join(map(str, hello.versions))
        supported = ", ".join(map(str, mine.versions))
        raise HandshakeError(
            f"no common protocol version: {offered} offered, {supported} supported"
        )
    nonce = os.urandom(NONCE_BYTES)
    terms = (frame, version, nonce)
    proof = make_proof(mine.key, "accept", *terms)
    await ws.send(encode(Challenge(version, nonce, proof, mine.identity.id)))
    answer = await _expect(ws, Proof)
    _check(make_proof(mine.key, "connect", *terms), answer.proof)
    await ws.send(encode(Accepted()))
    return Sender(hello.id, hello.data_centre, hello.incarnation, hello.address)


def _check(expected: bytes, proof: bytes) -> None:
    if not hmac.compare_digest(expected, proof):
        raise HandshakeError("the peer has another fleet key")


def _read(data: bytes | str, expected: type) -> Any:
    """Return the message; raises `HandshakeError` if it isn't of that class."""
    if len(data) > MAX_HELLO_BYTES:
        raise HandshakeError(f"a handshake frame has {len(data)} bytes")
    try:
        msg = decode_frame(data).message
    except MessageError as exc:
        raise HandshakeError(f"the handshake is malformed: {exc}") from exc
    if isinstance(msg, Refused):
        raise HandshakeError(f"the peer refused: {msg.reason:.200}")
    if not isinstance(msg, expected):
        raise HandshakeError(
            f"{message_name(expected)!r} was expected in the handshake"
        )
    return msg


async def _expect(ws: Connection, expected: type) -> Any:
    return _read(await ws.recv(), expected)
