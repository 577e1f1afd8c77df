"""The tables that owners left behind when they stopped, held by their peers."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence

import attrs

from filbertshelf.clock import Clock
from filbertshelf.state.ticket_table import (
    Decision,
    FinalExport,
    FinalRecord,
    TableLimits,
    Verdict,
    decide_repeated,
    new_random_id,
)
from filbertshelf.state.tickets import MS_PER_S, Owner, Ticket


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


class FinalTableStore:
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
            return decide_repeated(record, digest)
        covered = ticket.expires_ms > held.export.covers_after_ms
        return Decision(Verdict.ABSENT if covered else Verdict.UNKNOWN)

    def exports(self) -> list[FinalExport]:
        """Return the complete tables, for the hand-off by a holder that leaves."""
        now = self._purge()
        return [
            attrs.evolve(
                held.export,
                id=new_random_id(),
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
        now = int(self._clock.monotonic() * MS_PER_S)
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
