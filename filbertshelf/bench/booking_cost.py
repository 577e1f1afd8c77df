"""Measures the CPU time, memory and hand-off size of the ticket table."""

from __future__ import annotations

import time
import tracemalloc

import attrs

from filbertshelf.bench.memory_cost import traced_bytes
from filbertshelf.bench.query_cost import instance_settings
from filbertshelf.clock import SystemClock
from filbertshelf.protocol.bookings import handoff_message
from filbertshelf.protocol.messages import encode
from filbertshelf.state.final_table import FinalTableStore
from filbertshelf.state.members import Identity
from filbertshelf.state.ticket_table import TableLimits, TicketTable

DIGEST_BYTES = 32
OUTCOME_BYTES = 247
"""Size of an encoded answer to a booking on one shard."""


@attrs.frozen
class BookingCost:
    """The cost per record of a table with `records` finished bookings.

    `record` is the memory in bytes at the owner, `final_record` that at a peer which
    received the table, and `handoff` the bytes of the encoded message. `run_us` is the
    CPU time in us of minting, beginning and finishing a ticket, and `export_us` that
    of exporting and encoding.
    """

    records: int
    record: float
    final_record: float
    handoff: float
    run_us: float
    export_us: float


def measure_bookings(records: int) -> BookingCost:
    """Return the cost per record of a table with this number of records."""
    clock = SystemClock()
    identity = Identity.start("capacity", "bne-1", clock)
    limits = TableLimits(records=records, outcome_bytes=records * OUTCOME_BYTES + 1)
    tables = []
    for _ in range(2):
        address = ("127.0.0.1", 1)
        tables.append(
            TicketTable(instance_settings(), clock, identity, address, limits)
        )
    run_s = _run_bookings(tables[0], records)
    tracemalloc.start()
    try:
        before = traced_bytes()
        _run_bookings(tables[1], records)
        after = traced_bytes()
        start = time.process_time()
        tables[1].close()
        export = tables[1].export()
        message = encode(handoff_message(export, 0, 1))
        export_s = time.process_time() - start
        peer = FinalTableStore(clock)
        before_peer = traced_bytes()
        # A real peer has its own copies of the outcomes, not the owner's objects.
        copies = tuple(
            attrs.evolve(rec, outcome=bytes(bytearray(rec.outcome)))
            for rec in export.records
        )
        peer.add(attrs.evolve(export, records=copies))
        del copies
        after_peer = traced_bytes()
    finally:
        tracemalloc.stop()
    return BookingCost(
        records,
        (after - before) / records,
        (after_peer - before_peer) / records,
        len(message) / records,
        run_s / records * 1e6,
        export_s / records * 1e6,
    )


def _run_bookings(table: TicketTable, records: int) -> float:
    """Run a booking for each record and return the CPU time in seconds."""
    start = time.process_time()
    for number in range(records):
        ticket = table.mint()
        table.begin(ticket, number.to_bytes(DIGEST_BYTES, "big"))
        table.finish(ticket, number.to_bytes(OUTCOME_BYTES, "big"))
    return time.process_time() - start
