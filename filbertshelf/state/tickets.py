"""Signed tickets for requests that run at most once."""

from __future__ import annotations

import base64
import binascii
import hmac

import attrs
import cbor2

from filbertshelf.errors import (
    TicketFormatError,
    TicketSignatureError,
    TicketVersionError,
)
from filbertshelf.state.members import Address

VERSION = "v1"
# A ticket is about 200 characters; the limit bounds the work on a forged one.
MAX_TEXT_CHARS = 1024
MAC_BYTES = 32
NONCE_BYTES = 8
MS_PER_S = 1000
_REMEDY = "get a new ticket from POST /v1/tickets"


@attrs.frozen
class Owner:
    """The process that minted a ticket.

    `incarnation` is that of the process's `Identity`, which is never raised, unlike the
    one in its member row. `nonce` is random for each table, so that a process that
    starts with the same start time after a step of the wall clock is not mistaken for
    its predecessor. `address` accepts connections from peers.
    """

    id: str
    address: Address
    incarnation: int
    nonce: str


@attrs.frozen
class Ticket:
    """The right to run one request once, on its owner.

    `issued_ms` is the time since the owner's table was created, on the owner's
    monotonic clock. It has no meaning on other instances.
    """

    serial: int
    owner: Owner
    issued_ms: int
    lifetime_ms: int

    @property
    def id(self) -> str:
        """Return the id of the ticket, which is unique among all owners."""
        return f"{self.owner.nonce}-{self.serial}"

    @property
    def expires_ms(self) -> int:
        """Return the time of expiry on the owner's clock, in ms like `issued_ms`."""
        return self.issued_ms + self.lifetime_ms


def format_ticket(ticket: Ticket, fleet_key: str) -> str:
    """Return the ticket as signed, URL-safe text."""
    owner = ticket.owner
    payload = cbor2.dumps(
        [
            ticket.serial,
            owner.id,
            *owner.address,
            owner.incarnation,
            owner.nonce,
            ticket.issued_ms,
            ticket.lifetime_ms,
        ]
    )
    return f"{VERSION}.{_encode(payload)}.{_encode(_sign(payload, fleet_key))}"


def parse_ticket(text: str, fleet_key: str) -> Ticket:
    """Return the ticket encoded in the text.

    Raises `TicketFormatError`, `TicketVersionError` or `TicketSignatureError`.
    """
    if not isinstance(text, str) or len(text) > MAX_TEXT_CHARS:
        raise TicketFormatError("the ticket is not text or too long", _REMEDY)
    version, *parts = text.split(".")
    if len(parts) != 2:
        raise TicketFormatError("the ticket does not have three parts", _REMEDY)
    if version != VERSION:
        raise TicketVersionError("the ticket's version is unknown", _REMEDY)
    payload, mac = _decode(parts[0]), _decode(parts[1])
    if not hmac.compare_digest(mac, _sign(payload, fleet_key)):
        raise TicketSignatureError("the ticket's signature is wrong", _REMEDY)
    try:
        serial, name, host, port, incarnation, nonce, issued, lifetime = cbor2.loads(
            payload
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise TicketFormatError("the ticket's payload is bad", _REMEDY) from exc
    owner = Owner(name, (host, port), incarnation, nonce)
    return Ticket(serial, owner, issued, lifetime)


def _sign(payload: bytes, fleet_key: str) -> bytes:
    # The handshake signs nonces chosen by a peer with the same fleet key. A key derived
    # for tickets prevents a peer from getting a ticket signed by a handshake.
    key = hmac.digest(fleet_key.encode(), b"filbertshelf ticket v1", "sha256")
    return hmac.digest(key, payload, "sha256")


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    try:
        padded = text.encode("ascii") + b"=" * (-len(text) % 4)
        return base64.b64decode(padded, altchars=b"-_", validate=True)
    except (UnicodeEncodeError, binascii.Error) as exc:
        raise TicketFormatError("the ticket is not URL-safe base64", _REMEDY) from exc
