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
    """The authenticated sender of messages; `address` is its listening address."""

    id: str
    data_centre: str
    incarnation: int
    address: Address


@attrs.frozen
class Credentials:
    """The key and identity of one side; `address` is its listening address."""

    key: bytes = attrs.field(repr=False)
    versions: tuple[int, ...]
    identity: Identity
    address: Address


async def connect_handshake(ws: Connection, own: Credentials) -> None:
    """Run the connecting side; raises `HandshakeError` if either side refuses."""
    identity = own.identity
    nonce = os.urandom(NONCE_BYTES)
    hello = encode(
        Hello(
            own.versions,
            nonce,
            identity.id,
            identity.data_centre,
            identity.incarnation,
            own.address,
        )
    )
    await ws.send(hello)
    challenge = await _receive(ws, Challenge)
    if challenge.version not in own.versions:
        raise HandshakeError(f"version {challenge.version} was not offered")
    parameters = (hello, challenge.version, challenge.nonce)
    _check_proof(make_proof(own.key, "accept", *parameters), challenge.proof)
    await ws.send(encode(Proof(make_proof(own.key, "connect", *parameters))))
    await _receive(ws, Accepted)


async def accept_handshake(
    ws: Connection, own: Credentials, blocked: Container[Address] = ()
) -> Sender:
    """Run the accepting side and return the authenticated peer.

    A peer at a blocked address never gets a response; the call doesn't return then.
    Raises `HandshakeError` if the handshake is malformed or either side refuses.
    """
    frame = await ws.recv()
    hello = _decode(frame, Hello)
    if hello.address in blocked:
        await asyncio.Event().wait()
    version = choose_version(hello.versions, own.versions)
    if version is None:
        offered = ", ".join(map(str, hello.versions))
        supported = ", ".join(map(str, own.versions))
        raise HandshakeError(
            f"no common protocol version: {offered} offered, {supported} supported"
        )
    nonce = os.urandom(NONCE_BYTES)
    parameters = (frame, version, nonce)
    proof = make_proof(own.key, "accept", *parameters)
    await ws.send(encode(Challenge(version, nonce, proof, own.identity.id)))
    answer = await _receive(ws, Proof)
    _check_proof(make_proof(own.key, "connect", *parameters), answer.proof)
    await ws.send(encode(Accepted()))
    return Sender(hello.id, hello.data_centre, hello.incarnation, hello.address)


def _check_proof(expected: bytes, proof: bytes) -> None:
    if not hmac.compare_digest(expected, proof):
        raise HandshakeError("the peer has another fleet key")


def _decode(data: bytes | str, expected: type) -> Any:
    """Return the message; raises `HandshakeError` if it isn't of class `expected`."""
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


async def _receive(ws: Connection, expected: type) -> Any:
    return _decode(await ws.recv(), expected)
