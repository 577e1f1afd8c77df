"""The ticket table of an owner: which of its tickets ran, and their outcomes."""

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
    """The decision of a ticket table about a request with a ticket."""

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
    """A verdict, and the outcome if it is recorded.

    Expired, closed and absent mean that the ticket did not run and never will.
    """

    verdict: Verdict
    outcome: bytes = b""


class State(enum.Enum):
    """The state of a used ticket; unused ones have no record."""

    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"


@attrs.define
class Record:
    """The owner's record of a used ticket."""

    state: State
    digest: bytes
    expires_ms: int
    outcome: bytes = b""


@attrs.frozen
class TableLimits:
    """The limits of a table.

    20,000 used tickets with answers of 247 bytes take 14.2 MB. A ticket occupies its
    place for its lifetime and, if it was used, for `keep_ms` more. With the default
    lifetime of 10 min an instance can sustain 16 bookings/s.
    """

    records: int = 20_000
    outcome_bytes: int = 8_000_000
    keep_ms: int = 600_000


@attrs.frozen
class FinalRecord:
    """A used ticket in a final table; an empty outcome means that it is unknown."""

    ticket_id: str
    digest: bytes
    outcome: bytes


@attrs.frozen
class FinalExport:
    """The owner's statement that no ticket outside `records` ran or will run.

    It covers the tickets that expire after `covers_after_ms` on the owner's clock;
    records of older ones may have been dropped. `keep_ms` is how long a receiver keeps
    it. `id` distinguishes the parts of different exports, whose boundaries differ.
    """

    id: str
    owner: Owner
    covers_after_ms: int
    keep_ms: int
    records: tuple[FinalRecord, ...]


class TicketTable:
    """The owner's table, which lets each ticket run at most once.

    An unused ticket has no record. Its signed text carries the owner's nonce, the
    issue time and the lifetime, so a ticket that was minted here, has not expired and
    has no record is unused. A record is never dropped before its ticket has expired,
    and an expired ticket never runs, so a dropped record can't make a used ticket look
    unused. Only the number of unused tickets is stored, by second of expiry. Each
    reserves the place of its record, and minting is refused when none is left.
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
        self._drop_queue: list[tuple[int, str]] = []
        self._unused: dict[int, int] = {}
        self._unused_total = 0
        self._outcome_bytes = 0

    @property
    def closed(self) -> bool:
        """Return whether unused tickets are permanently refused."""
        return self._closed

    @property
    def size(self) -> int:
        """Return the number of records and of places reserved for unused tickets."""
        return len(self._records) + self._unused_total

    def mint(self) -> Ticket:
        """Return a new ticket.

        Raises `StoppingError` if the table is closed and `TicketsFullError` if it is
        full.
        """
        if self._closed:
            raise StoppingError("the instance is shutting down", "use another one")
        now = self._drop_expired()
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
        """Decide what to do with a request; `RUN` marks its ticket as running.

        After `RUN` the request must be run immediately, and `finish` or `refuse` must
        be called when the run ends, however it ends.
        """
        if not self.has_minted(ticket):
            return Decision(Verdict.UNKNOWN)
        now = self._drop_expired()
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
        heapq.heappush(self._drop_queue, (drop_ms, ticket.id))
        self._unused[ticket.expires_ms // MS_PER_S] -= 1
        self._unused_total -= 1
        return Decision(Verdict.RUN)

    def finish(self, ticket: Ticket, outcome: bytes) -> None:
        """Record the outcome of the run."""
        self._end(ticket, State.DONE, outcome)

    def refuse(self, ticket: Ticket, outcome: bytes) -> None:
        """Record that the run ended before it wrote anything; the ticket never runs."""
        self._end(ticket, State.REFUSED, outcome)

    def close(self) -> None:
        """Stop minting and running tickets permanently."""
        self._closed = True

    def export(self) -> FinalExport:
        """Return the final table; running tickets have an unknown outcome.

        Raises `ValueError` before `close`, because a ticket could still run after the
        export states that it never will.
        """
        if not self._closed:
            raise ValueError("close the table before its export")
        now = self._drop_expired()
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

    def _drop_expired(self) -> int:
        """Drop expired records and reservations, and return the time in ms."""
        now = int((self._clock.monotonic() - self._start) * MS_PER_S)
        while self._drop_queue and self._drop_queue[0][0] <= now:
            _, ticket_id = heapq.heappop(self._drop_queue)
            if self._records[ticket_id].state is State.RUNNING:
                heapq.heappush(self._drop_queue, (now + self.limits.keep_ms, ticket_id))
                continue
            self._outcome_bytes -= len(self._records.pop(ticket_id).outcome)
        # All lifetimes are equal, so the seconds of expiry are in ascending order.
        while self._unused and (second := next(iter(self._unused))) < now // MS_PER_S:
            self._unused_total -= self._unused.pop(second)
        return now


def decide_repeated(record: Record | FinalRecord, digest: bytes) -> Decision:
    """Return the decision for a repeated request with the digest."""
    if record.digest != digest:
        return Decision(Verdict.OTHER_BODY)
    if isinstance(record, Record) and record.state is State.RUNNING:
        return Decision(Verdict.WAIT)
    if not record.outcome:
        return Decision(Verdict.UNKNOWN)
    return Decision(Verdict.RECORDED, record.outcome)


def new_random_id() -> str:
    """Return a random id that is unique among all processes."""
    return secrets.token_hex(NONCE_BYTES)
