"""Tickets for requests that run at most once, and the tables of their outcomes."""

from __future__ import annotations

import base64
import binascii
import enum
import hashlib
import heapq
import hmac
import secrets
from collections.abc import Iterable, Sequence

import attrs
import cbor2

from filbertshelf.clock import Clock
from filbertshelf.errors import (
    StoppingError,
    TicketFormatError,
    TicketsFullError,
    TicketSignatureError,
    TicketVersionError,
)
from filbertshelf.settings import Settings
from filbertshelf.state.members import Address, Identity

VERSION = "v1"
# A ticket is about 200 characters; the limit bounds the work on a forged one.
MAX_TEXT_CHARS = 1024
MAC_BYTES = 32
NONCE_BYTES = 8
MS = 1000
_REMEDY = "get a new ticket from POST /v1/tickets"


@attrs.frozen
class Owner:
    """The process that minted a ticket.

    `incarnation` is that of the process's `Identity`; unlike the one in its member
    row it is never raised. `nonce` is drawn at random when the table is
    made, so that a process whose start time repeats after a step of the wall clock
    is not taken for its predecessor. `address` accepts connections of peers.
    """

    id: str
    address: Address
    incarnation: int
    nonce: str


@attrs.frozen
class Ticket:
    """The right to run one request once, at its owner.

    `issued_ms` counts from the making of the owner's table on the owner's monotonic
    clock and means nothing to other instances.
    """

    serial: int
    owner: Owner
    issued_ms: int
    lifetime_ms: int

    @property
    def id(self) -> str:
        """Return the ticket's id, unique over all owners."""
        return f"{self.owner.nonce}-{self.serial}"

    @property
    def expires_ms(self) -> int:
        """Return the time of expiry on the owner's clock."""
        return self.issued_ms + self.lifetime_ms


def format_ticket(ticket: Ticket, fleet_key: str) -> str:
    """Return the signed URL-safe text of the ticket."""
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
    """Return the ticket that the text holds.

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
    # The handshake signs nonces that a peer chooses with the same fleet key; a key
    # derived for tickets keeps a handshake from signing a ticket.
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


class Verdict(enum.Enum):
    """What a table knows about a ticket."""

    RUN = "run"
    WAIT = "wait"
    RECORDED = "recorded"
    EXPIRED = "expired"
    CLOSED = "closed"
    ABSENT = "absent"
    OTHER_BODY = "other_body"
    UNKNOWN = "unknown"


@attrs.frozen
class Decision:
    """A verdict, with the outcome if it is recorded.

    Expired, closed and absent state that the ticket did not run and never will.
    """

    verdict: Verdict
    outcome: bytes = b""


class State(enum.Enum):
    """The state of a ticket that was used; unused ones have no record."""

    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"


@attrs.define
class Record:
    """What the owner knows about a used ticket."""

    state: State
    digest: bytes
    expires_ms: int
    outcome: bytes = b""


@attrs.frozen
class TableLimits:
    """Bounds of a table.

    20,000 used tickets with answers of 247 bytes took 14.2 MB. A ticket holds its
    room for its lifetime and, if it was used, for `keep_ms` more: with the default
    lifetime of 10 min an instance can sustain 16 bookings/s.
    """

    records: int = 20_000
    outcome_bytes: int = 8_000_000
    keep_ms: int = 600_000


@attrs.frozen
class FinalRecord:
    """A used ticket in a final table; no outcome means that it is unknown."""

    ticket_id: str
    digest: bytes
    outcome: bytes


@attrs.frozen
class FinalExport:
    """The owner's statement that no ticket outside `records` ran or will run.

    It covers the tickets that expire after `covers_after_ms` on the owner's clock;
    records of older ones may have been dropped. `keep_ms` is how long a receiver
    keeps it. `id` tells the parts of one export from those of another, whose
    boundaries differ.
    """

    id: str
    owner: Owner
    covers_after_ms: int
    keep_ms: int
    records: tuple[FinalRecord, ...]


class TicketTable:
    """The owner's table: decides for each ticket whether it runs, and only once.

    An unused ticket has no record. Its signed text carries the owner's nonce, the
    issue time and the lifetime, so that "no record, not expired, minted here" is
    the unused state. A record is never dropped before its ticket has expired, and
    an expired ticket never runs, so a dropped record can't make a used ticket look
    unused. Only the number of unused tickets is held, by second of expiry: each
    reserves the room for its record, and minting is refused when there is none.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        identity: Identity,
        address: Address,
        limits: TableLimits | None = None,
        nonce: str = "",
    ):
        self.limits = limits or TableLimits()
        self._cfg = cfg
        self._clock = clock
        self._start = clock.monotonic()
        nonce = nonce or _fresh_id()
        self.owner = Owner(identity.id, address, identity.incarnation, nonce)
        self._serial = 0
        self._closed = False
        self._records: dict[str, Record] = {}
        self._drops: list[tuple[int, str]] = []
        self._unused: dict[int, int] = {}
        self._unused_total = 0
        self._outcome_bytes = 0

    @property
    def closed(self) -> bool:
        """Return whether unused tickets are refused for good."""
        return self._closed

    @property
    def size(self) -> int:
        """Return the number of records and of rooms reserved for unused tickets."""
        return len(self._records) + self._unused_total

    def mint(self) -> Ticket:
        """Return a new ticket.

        Raises `StoppingError` once closed and `TicketsFullError` without room.
        """
        if self._closed:
            raise StoppingError("the instance is shutting down", "use another one")
        now = self._purge()
        full = self.size >= self.limits.records
        if full or self._outcome_bytes >= self.limits.outcome_bytes:
            raise TicketsFullError("the ticket table is full", "use another instance")
        self._serial += 1
        lifetime = int(self._cfg.ticket_lifetime * MS)
        ticket = Ticket(self._serial, self.owner, now, lifetime)
        second = ticket.expires_ms // MS
        self._unused[second] = self._unused.get(second, 0) + 1
        self._unused_total += 1
        return ticket

    def begin(self, ticket: Ticket, digest: bytes) -> Decision:
        """Decide what a request with the ticket does; `RUN` marks it running.

        The caller must run the request at once on `RUN`, and must call `finish` or
        `refuse` when the run ends, however it ends.
        """
        if not self.mints(ticket):
            return Decision(Verdict.UNKNOWN)
        now = self._purge()
        record = self._records.get(ticket.id)
        if record is not None:
            return _repeat(record, digest)
        if now >= ticket.expires_ms + self.limits.keep_ms:
            return Decision(Verdict.UNKNOWN)
        if now >= ticket.expires_ms:
            return Decision(Verdict.EXPIRED)
        if self._closed:
            return Decision(Verdict.CLOSED)
        self._records[ticket.id] = Record(State.RUNNING, digest, ticket.expires_ms)
        drop_ms = ticket.expires_ms + self.limits.keep_ms
        heapq.heappush(self._drops, (drop_ms, ticket.id))
        self._unused[ticket.expires_ms // MS] -= 1
        self._unused_total -= 1
        return Decision(Verdict.RUN)

    def finish(self, ticket: Ticket, outcome: bytes) -> None:
        """Record the outcome of the run."""
        self._end(ticket, State.DONE, outcome)

    def refuse(self, ticket: Ticket, outcome: bytes) -> None:
        """Record that the run ended before anything was written; it never runs."""
        self._end(ticket, State.REFUSED, outcome)

    def close(self) -> None:
        """Mint and run nothing from now on; there is no way back."""
        self._closed = True

    def export(self) -> FinalExport:
        """Return the final table; running tickets have an unknown outcome.

        Raises `ValueError` before `close`, since a ticket could then still run
        after the statement that it never will.
        """
        if not self._closed:
            raise ValueError("close the table before its export")
        now = self._purge()
        records = tuple(
            FinalRecord(ticket_id, record.digest, record.outcome)
            for ticket_id, record in self._records.items()
        )
        keep_ms = int(self._cfg.ticket_lifetime * MS) + self.limits.keep_ms
        covers_after_ms = now - self.limits.keep_ms
        return FinalExport(_fresh_id(), self.owner, covers_after_ms, keep_ms, records)

    def mints(self, ticket: Ticket) -> bool:
        """Return whether this table minted the ticket."""
        return ticket.owner == self.owner

    def _end(self, ticket: Ticket, state: State, outcome: bytes) -> None:
        record = self._records[ticket.id]
        if record.state is not State.RUNNING:
            raise ValueError(f"ticket {ticket.id} is already {record.state.value}")
        record.state = state
        record.outcome = outcome
        self._outcome_bytes += len(outcome)

    def _purge(self) -> int:
        """Drop what is past its time and return the time in ms."""
        now = int((self._clock.monotonic() - self._start) * MS)
        while self._drops and self._drops[0][0] <= now:
            _, ticket_id = heapq.heappop(self._drops)
            if self._records[ticket_id].state is State.RUNNING:
                heapq.heappush(self._drops, (now + self.limits.keep_ms, ticket_id))
                continue
            self._outcome_bytes -= len(self._records.pop(ticket_id).outcome)
        # All lifetimes are equal, so the seconds of expiry are in ascending order.
        while self._unused and (second := next(iter(self._unused))) < now // MS:
            self._unused_total -= self._unused.pop(second)
        return now


def _repeat(record: Record | FinalRecord, digest: bytes) -> Decision:
    if record.digest != digest:
        return Decision(Verdict.OTHER_BODY)
    if isinstance(record, Record) and record.state is State.RUNNING:
        return Decision(Verdict.WAIT)
    if not record.outcome:
        return Decision(Verdict.UNKNOWN)
    return Decision(Verdict.RECORDED, record.outcome)


@attrs.define
class _Held:
    """The parts of one owner's final table that have arrived."""

    export: FinalExport
    until_ms: int
    parts: int
    arrived: set[int] = attrs.field(factory=set)
    records: dict[str, FinalRecord] = attrs.field(factory=dict)
    outcome_bytes: int = 0

    @property
    def complete(self) -> bool:
        return len(self.arrived) == self.parts


# Room for two full tables of owners, about 30 MB.
FINAL_LIMITS = TableLimits(records=40_000, outcome_bytes=16_000_000)

# The owner and the id of the export.
_Key = tuple[Owner, str]


class FinalTable:
    """The final tables of owners that have left, held by one of their peers.

    Whole tables are dropped, the oldest first, when the bounds are reached; about
    a dropped table the answer is unknown.
    """

    def __init__(self, clock: Clock, limits: TableLimits | None = None):
        self.limits = limits or FINAL_LIMITS
        self._clock = clock
        self._held: dict[_Key, _Held] = {}

    @property
    def size(self) -> int:
        """Return the number of records held."""
        return sum(len(held.records) for held in self._held.values())

    @property
    def outcome_bytes(self) -> int:
        """Return the size of the outcomes held."""
        return sum(held.outcome_bytes for held in self._held.values())

    def add(self, export: FinalExport, part: int = 0, parts: int = 1) -> bool:
        """Take one part of a final table and return whether it is held.

        The table counts as final once all of its parts have arrived.
        """
        now = self._purge()
        if not 0 <= part < parts or export.keep_ms <= 0:
            return False
        if self._complete(export.owner) is not None:
            return True
        key = (export.owner, export.id)
        if not self._make_room(export, key):
            return False
        held = self._held.get(key)
        if held is None:
            held = _Held(export, now + export.keep_ms, parts)
            self._held[key] = held
        if part not in held.arrived:
            held.arrived.add(part)
            held.records.update({rec.ticket_id: rec for rec in export.records})
            held.outcome_bytes += _size(export.records)
        if held.complete:
            self._drop_others(key)
        return True

    def lookup(self, ticket: Ticket, digest: bytes) -> Decision:
        """Return recorded, absent, other body, or unknown for the ticket."""
        self._purge()
        held = self._complete(ticket.owner)
        if held is None:
            return Decision(Verdict.UNKNOWN)
        record = held.records.get(ticket.id)
        if record is not None:
            return _repeat(record, digest)
        covered = ticket.expires_ms > held.export.covers_after_ms
        return Decision(Verdict.ABSENT if covered else Verdict.UNKNOWN)

    def exports(self) -> list[FinalExport]:
        """Return the complete tables, for the hand-off by a holder that leaves."""
        now = self._purge()
        return [
            attrs.evolve(
                held.export,
                id=_fresh_id(),
                keep_ms=held.until_ms - now,
                records=tuple(held.records.values()),
            )
            for held in self._held.values()
            if held.complete
        ]

    def _complete(self, owner: Owner) -> _Held | None:
        for (holder, _), held in self._held.items():
            if holder == owner and held.complete:
                return held
        return None

    def _drop_others(self, kept: _Key) -> None:
        for key in list(self._held):
            if key[0] == kept[0] and key != kept:
                del self._held[key]

    def _purge(self) -> int:
        now = int(self._clock.monotonic() * MS)
        for key, held in list(self._held.items()):
            if held.until_ms <= now:
                del self._held[key]
        return now

    def _make_room(self, export: FinalExport, kept: _Key) -> bool:
        """Drop the oldest other tables until the part fits."""
        for key in list(self._held):
            if key != kept and not self._fits(export):
                del self._held[key]
        return self._fits(export)

    def _fits(self, export: FinalExport) -> bool:
        return (
            self.size + len(export.records) <= self.limits.records
            and self.outcome_bytes + _size(export.records) <= self.limits.outcome_bytes
        )


def _fresh_id() -> str:
    return secrets.token_hex(NONCE_BYTES)


def _size(records: Iterable[FinalRecord]) -> int:
    return sum(len(record.outcome) for record in records)


def split_export(
    export: FinalExport, max_records: int, max_bytes: int
) -> list[FinalExport]:
    """Return the export in parts of bounded size; an empty table is one part."""
    parts: list[list[FinalRecord]] = [[]]
    size = 0
    for record in export.records:
        size += len(record.outcome)
        if parts[-1] and (len(parts[-1]) >= max_records or size > max_bytes):
            parts.append([])
            size = len(record.outcome)
        parts[-1].append(record)
    return [attrs.evolve(export, records=tuple(part)) for part in parts]


def rank_peers(owner_id: str, members: Iterable[str]) -> Sequence[str]:
    """Return the members by rendezvous hash of the owner id, the highest first."""

    def weight(member: str) -> bytes:
        return hashlib.sha256(f"{owner_id}\0{member}".encode()).digest()

    return sorted(members, key=weight, reverse=True)
