"""The messages and proofs that open a connection between two instances."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from filbertshelf.protocol.messages import VERSIONS, message

NONCE_BYTES = 16
# A frame from an unproven peer is small; a longer one is refused unread.
MAX_HELLO_BYTES = 4_096


@message("hello")
@attrs.frozen
class Hello:
    """The first frame of the connecting side: who it is and what it speaks."""

    versions: tuple[int, ...]
    nonce: bytes
    id: str
    data_centre: str
    incarnation: int
    address: tuple[str, int]


@message("challenge")
@attrs.frozen
class Challenge:
    """The accepting side's choice of version, its nonce and its proof."""

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
    """The accepting side takes messages from here on."""


@message("refused")
@attrs.frozen
class Refused:
    """The accepting side closes the connection."""

    reason: str


def choose_version(
    offered: tuple[int, ...], supported: tuple[int, ...] = VERSIONS
) -> int | None:
    """Return the first supported version that was offered, or None."""
    return next((version for version in supported if version in offered), None)


def make_proof(
    key: bytes, role: str, hello: bytes, version: int, server_nonce: bytes
) -> bytes:
    """Return the HMAC over both nonces and the negotiated terms.

    The whole hello frame is covered, so that nobody between the two can change the
    offered versions. The role differs by direction, so that a proof can't be sent
    back to its maker.
    """
    mac = hmac.new(key, digestmod=hashlib.sha256)
    for part in (role.encode(), hello, str(version).encode(), server_nonce):
        mac.update(len(part).to_bytes(4, "big"))
        mac.update(part)
    return mac.digest()
