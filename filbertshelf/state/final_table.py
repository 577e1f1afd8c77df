"""The final ticket tables of stopped owners, held by their peers."""

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
class _ReceivedTable:
    """The received parts of one owner's final table."""

    export: FinalExport
    expires_ms: int
    parts: int
    arrived: set[int] = attrs.field(factory=set)
    records: dict[str, FinalRecord] = attrs.field(factory=dict)
    outcome_bytes: int = 0

    @property
    def complete(self) -> bool:
        return len(self.arrived) == self.parts


# Room for two full tables, about 30 MB.
FINAL_LIMITS = TableLimits(records=40_000, outcome_bytes=16_000_000)

# The owner and the id of the export.
_Key = tuple[Owner, str]


class FinalTableStore:
    """The final tables of owners that have left, held by one of their peers.

    When the limits are reached, whole tables are dropped, the oldest first. A lookup in
    a dropped table returns unknown.
    """

    def __init__(self, clock: Clock, limits: TableLimits | None = None):
        self.limits = limits or FINAL_LIMITS
        self._clock = clock
        self._tables: dict[_Key, _ReceivedTable] = {}

    @property
    def size(self) -> int:
        """Return the number of records in all tables."""
        return sum(len(table.records) for table in self._tables.values())

    @property
    def outcome_bytes(self) -> int:
        """Return the size of all outcomes in bytes."""
        return sum(table.outcome_bytes for table in self._tables.values())

    def add(self, export: FinalExport, part: int = 0, parts: int = 1) -> bool:
        """Add one part of a final table and return whether it was accepted.

        The table is used once all of its parts have arrived.
        """
        now = self._drop_expired()
        if not 0 <= part < parts or export.keep_ms <= 0:
            return False
        if self._complete_table(export.owner) is not None:
            return True
        key = (export.owner, export.id)
        if not self._make_room(export, key):
            return False
        table = self._tables.get(key)
        if table is None:
            table = _ReceivedTable(export, now + export.keep_ms, parts)
            self._tables[key] = table
        if part not in table.arrived:
            table.arrived.add(part)
            table.records.update(
                {record.ticket_id: record for record in export.records}
            )
            table.outcome_bytes += _size(export.records)
        if table.complete:
            self._drop_others(key)
        return True

    def lookup(self, ticket: Ticket, digest: bytes) -> Decision:
        """Return recorded, absent, other body or unknown for the ticket."""
        self._drop_expired()
        table = self._complete_table(ticket.owner)
        if table is None:
            return Decision(Verdict.UNKNOWN)
        record = table.records.get(ticket.id)
        if record is not None:
            return decide_repeated(record, digest)
        covered = ticket.expires_ms > table.export.covers_after_ms
        return Decision(Verdict.ABSENT if covered else Verdict.UNKNOWN)

    def exports(self) -> list[FinalExport]:
        """Return the complete tables, which a leaving holder hands off to a peer."""
        now = self._drop_expired()
        return [
            attrs.evolve(
                table.export,
                id=new_random_id(),
                keep_ms=table.expires_ms - now,
                records=tuple(table.records.values()),
            )
            for table in self._tables.values()
            if table.complete
        ]

    def _complete_table(self, owner: Owner) -> _ReceivedTable | None:
        for (table_owner, _), table in self._tables.items():
            if table_owner == owner and table.complete:
                return table
        return None

    def _drop_others(self, kept: _Key) -> None:
        for key in list(self._tables):
            if key[0] == kept[0] and key != kept:
                del self._tables[key]

    def _drop_expired(self) -> int:
        now = int(self._clock.monotonic() * MS_PER_S)
        for key, table in list(self._tables.items()):
            if table.expires_ms <= now:
                del self._tables[key]
        return now

    def _make_room(self, export: FinalExport, kept: _Key) -> bool:
        """Drop the oldest other tables until the part fits."""
        for key in list(self._tables):
            if key != kept and not self._fits(export):
                del self._tables[key]
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
    """Split the export into parts of bounded size; an empty table is one part."""
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
    """Return the members by their rendezvous hash with the owner id, highest first."""

    def weight(member: str) -> bytes:
        return hashlib.sha256(f"{owner_id}\0{member}".encode()).digest()

    return sorted(members, key=weight, reverse=True)
