"""Booking requests, their CBOR encoding, and the peer messages about them."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any

import attrs
import cattrs
import cbor2

from filbertshelf.errors import MessageError
from filbertshelf.protocol.messages import message
from filbertshelf.state.members import Address
from filbertshelf.state.outcome import Answer
from filbertshelf.state.ticket_table import FinalExport, FinalRecord
from filbertshelf.state.tickets import Owner

_CONVERTER = cattrs.Converter()


@attrs.frozen
class BookingRequest:
    """One non-idempotent request to one shard of one service."""

    request_id: str
    caller: str
    labels: Mapping[str, str]
    service: str
    shard: str
    body: Any

    def digest(self) -> bytes:
        """Return the SHA-256 hash of the fields that the ticket is bound to.

        The request id and the labels are left out: they may differ when the caller
        sends the booking again.
        """
        bound = [self.caller, self.service, self.shard, self.body]
        text = json.dumps(bound, sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).digest()


@message("forward-booking")
@attrs.frozen
class ForwardBooking:
    """Forwards a booking to the owner of its ticket.

    `request` is an encoded `BookingRequest`; `deadline_ms` is the time that remains.
    """

    ticket: str
    request: bytes
    deadline_ms: int


@message("booking-result")
@attrs.frozen
class BookingResult:
    """The owner's reply: a verdict's value and the encoded outcome, if recorded."""

    verdict: str
    outcome: bytes = b""


@attrs.frozen
class HandoffRecord:
    """A used ticket; an empty `outcome` means that the outcome is unknown."""

    ticket_id: str
    digest: bytes
    outcome: bytes


@message("ticket-handoff")
@attrs.frozen
class TicketHandoff:
    """One part of the final ticket table of an owner that is stopping."""

    export_id: str
    owner_id: str
    address: Address
    incarnation: int
    nonce: str
    covers_after_ms: int
    keep_ms: int
    part: int
    parts: int
    records: tuple[HandoffRecord, ...]


@message("handoff-reply")
@attrs.frozen
class HandoffReply:
    """Says whether the receiver has stored the part."""

    accepted: bool


@message("ask-final")
@attrs.frozen
class FinalTableRequest:
    """Asks a peer to look up a ticket in the final table of the ticket's owner."""

    ticket: str
    digest: bytes


@message("final-reply")
@attrs.frozen
class FinalTableReply:
    """The final table's verdict (its value) and the encoded outcome, if recorded."""

    verdict: str
    outcome: bytes = b""


def handoff_message(export: FinalExport, part: int, parts: int) -> TicketHandoff:
    """Return the message for one part of a final table."""
    owner = export.owner
    return TicketHandoff(
        export_id=export.id,
        owner_id=owner.id,
        address=owner.address,
        incarnation=owner.incarnation,
        nonce=owner.nonce,
        covers_after_ms=export.covers_after_ms,
        keep_ms=export.keep_ms,
        part=part,
        parts=parts,
        records=tuple(
            HandoffRecord(record.ticket_id, record.digest, record.outcome)
            for record in export.records
        ),
    )


def read_handoff(msg: TicketHandoff) -> FinalExport:
    """Return the part of a final table in the message."""
    owner = Owner(msg.owner_id, msg.address, msg.incarnation, msg.nonce)
    records = tuple(
        FinalRecord(record.ticket_id, record.digest, record.outcome)
        for record in msg.records
    )
    return FinalExport(msg.export_id, owner, msg.covers_after_ms, msg.keep_ms, records)


def encode_answer(answer: Answer) -> bytes:
    """Return the answer as CBOR."""
    return cbor2.dumps(_CONVERTER.unstructure(answer))


def decode_answer(data: bytes) -> Answer:
    """Return the decoded answer; raises `MessageError` if the data is malformed."""
    return _decode(data, Answer)


def encode_request(request: BookingRequest) -> bytes:
    """Return the request as CBOR."""
    return cbor2.dumps(_CONVERTER.unstructure(request))


def decode_request(data: bytes) -> BookingRequest:
    """Return the decoded request; raises `MessageError` if the data is malformed."""
    return _decode(data, BookingRequest)


def _decode(data: bytes, expected: type) -> Any:
    try:
        return _CONVERTER.structure(cbor2.loads(data), expected)
    except (cbor2.CBORDecodeError, cattrs.BaseValidationError, ValueError) as exc:
        raise MessageError(f"the {expected.__name__} can't be read: {exc}") from exc
