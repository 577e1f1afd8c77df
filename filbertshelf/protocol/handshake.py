"""Messages and proofs of the handshake between two instances."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from filbertshelf.protocol.messages import VERSIONS, message

NONCE_BYTES = 16
# A longer frame from an unauthenticated peer is refused without decoding it.
MAX_HELLO_BYTES = 4_096


@message("hello")
@attrs.frozen
class Hello:
    """The first frame of the connecting side: its identity and protocol versions."""

    versions: tuple[int, ...]
    nonce: bytes
    id: str
    data_centre: str
    incarnation: int
    address: tuple[str, int]


@message("challenge")
@attrs.frozen
class Challenge:
    """The accepting side's chosen version, nonce and proof."""

    version: int
    nonce: bytes
    proof: bytes
    id: str


@message("proof")
@attrs.frozen
class Proof:
    """The connecting side's proof."""

    proof: bytes


@message("accepted")
@attrs.frozen
class Accepted:
    """Says that the handshake is complete: the connecting side may send messages."""


@message("refused")
@attrs.frozen
class Refused:
    """Says why the accepting side closes the connection."""

    reason: str


def choose_version(
    offered: tuple[int, ...], supported: tuple[int, ...] = VERSIONS
) -> int | None:
    """Return the first supported version that was offered, or None."""
    return next((version for version in supported if version in offered), None)


def make_proof(
    key: bytes, role: str, hello: bytes, version: int, server_nonce: bytes
) -> bytes:
    """Return the HMAC over both nonces and the negotiated parameters.

    It covers the whole hello frame, so that a man in the middle can't change the
    offered versions. The role differs by direction, so that a proof can't be
    reflected to its sender.
    """
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (role.encode(), hello, str(version).encode(), server_nonce):
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.digest()
