"""The table of an owner: which of its tickets ran, and with what outcome."""

from __future__ import annotations

import enum
import heapq
import secrets

import attrs

from filbertshelf.clock import Clock
from filbertshelf.errors import (
    StoppingError,
    TicketsFullError,
)
from filbertshelf.settings import Settings
from filbertshelf.state.members import Address, Identity
from filbertshelf.state.tickets import MS_PER_S, NONCE_BYTES, Owner, Ticket


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
        nonce = nonce or new_random_id()
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
        lifetime = int(self._cfg.ticket_lifetime * MS_PER_S)
        ticket = Ticket(self._serial, self.owner, now, lifetime)
        second = ticket.expires_ms // MS_PER_S
        self._unused[second] = self._unused.get(second, 0) + 1
        self._unused_total += 1
        return ticket

    def begin(self, ticket: Ticket, digest: bytes) -> Decision:
        """Decide what a request with the ticket does; `RUN` marks it running.

        The caller must run the request at once on `RUN`, and must call `finish` or
        `refuse` when the run ends, however it ends.
        """
        if not self.has_minted(ticket):
            return Decision(Verdict.UNKNOWN)
        now = self._purge()
        record = self._records.get(ticket.id)
        if record is not None:
            return decide_repeated(record, digest)
        if now >= ticket.expires_ms + self.limits.keep_ms:
            return Decision(Verdict.UNKNOWN)
        if now >= ticket.expires_ms:
            return Decision(Verdict.EXPIRED)
        if self._closed:
            return Decision(Verdict.CLOSED)
        self._records[ticket.id] = Record(State.RUNNING, digest, ticket.expires_ms)
        drop_ms = ticket.expires_ms + self.limits.keep_ms
        heapq.heappush(self._drops, (drop_ms, ticket.id))
        self._unused[ticket.expires_ms // MS_PER_S] -= 1
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
        keep_ms = int(self._cfg.ticket_lifetime * MS_PER_S) + self.limits.keep_ms
        covers_after_ms = now - self.limits.keep_ms
        return FinalExport(
            new_random_id(), self.owner, covers_after_ms, keep_ms, records
        )

    def has_minted(self, ticket: Ticket) -> bool:
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
        now = int((self._clock.monotonic() - self._start) * MS_PER_S)
        while self._drops and self._drops[0][0] <= now:
            _, ticket_id = heapq.heappop(self._drops)
            if self._records[ticket_id].state is State.RUNNING:
                heapq.heappush(self._drops, (now + self.limits.keep_ms, ticket_id))
                continue
            self._outcome_bytes -= len(self._records.pop(ticket_id).outcome)
        # All lifetimes are equal, so the seconds of expiry are in ascending order.
        while self._unused and (second := next(iter(self._unused))) < now // MS_PER_S:
            self._unused_total -= self._unused.pop(second)
        return now


def decide_repeated(record: Record | FinalRecord, digest: bytes) -> Decision:
    """Return what a repeated request with the digest is told."""
    if record.digest != digest:
        return Decision(Verdict.OTHER_BODY)
    if isinstance(record, Record) and record.state is State.RUNNING:
        return Decision(Verdict.WAIT)
    if not record.outcome:
        return Decision(Verdict.UNKNOWN)
    return Decision(Verdict.RECORDED, record.outcome)


def new_random_id() -> str:
    """Return an id that no other process makes."""
    return secrets.token_hex(NONCE_BYTES)
