"""Measures sizes that multiply with the fleet, such as those of log lines."""

from __future__ import annotations

import asyncio
import random
import tracemalloc
from typing import Any

import attrs
import eliot
import uvloop

from filbertshelf.bench.memory_cost import traced_bytes
from filbertshelf.bench.query_cost import log_replica_choice, run_target_host
from filbertshelf.clock import SystemClock
from filbertshelf.coordination.targets import FixedLimit
from filbertshelf.state.members import Member, MemberTable
from filbertshelf.transport.target_link import TargetLink

LINES = 100
PROBES = 10
MEMBERS = 1_000


@attrs.frozen
class SizeCost:
    """Bytes of a log line, a health request with its response, and a member row.

    `health` is the size of the HTTP messages without TCP headers; `member` is the
    memory of the row.
    """

    log_line: float
    health: float
    member: float


def measure_sizes() -> SizeCost:
    """Return the measured sizes."""
    return SizeCost(
        _measure_log_line(),
        uvloop.run(_measure_health_request()),
        _measure_member_row(),
    )


class _CountingFile:
    """A text file that only counts the written characters."""

    size = 0

    def write(self, text: str) -> None:
        """Count the text.

        Raises `TypeError` for bytes: eliot writes bytes first to find out whether
        the file accepts text.
        """
        if isinstance(text, bytes):
            raise TypeError("this file takes text")
        self.size += len(text)

    def flush(self) -> None:
        """Do nothing."""


def _measure_log_line() -> float:
    counter = _CountingFile()
    destination = eliot.FileDestination(file=counter)
    eliot.add_destinations(destination)
    try:
        # The first destination also receives the messages logged before it was added.
        before = counter.size
        for _ in range(LINES):
            log_replica_choice()
    finally:
        eliot.remove_destination(destination)
    return (counter.size - before) / LINES


class _CountingRelay:
    """Relays bytes between a link and a target and counts them."""

    def __init__(self, host: str, port: int):
        self._address = (host, port)
        self.size = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until either side closes it."""
        other, to_other = await asyncio.open_connection(*self._address)
        await asyncio.gather(self._copy(reader, to_other), self._copy(other, writer))

    async def _copy(self, source: Any, sink: asyncio.StreamWriter) -> None:
        while data := await source.read(65_536):
            self.size += len(data)
            sink.write(data)
        sink.close()


async def _measure_health_request() -> float:
    clock = SystemClock()
    async with run_target_host(1, 1) as addresses:
        host, _, port = next(iter(addresses.values())).partition(":")
        relay = _CountingRelay(host, int(port))
        async with await asyncio.start_server(relay.serve, "127.0.0.1", 0) as server:
            address = "{}:{}".format(*server.sockets[0].getsockname())
            limit = FixedLimit(1)
            link = TargetLink("leaf-0", address, 1, clock, limit, lambda _: None)
            await link.start()
            for _ in range(PROBES):
                await link.probe()
            size = relay.size
            await link.stop()
            # Lets the relay see the end of the connection before its server closes.
            await asyncio.sleep(0.05)
    return size / PROBES


def _measure_member_row() -> float:
    tracemalloc.start()
    try:
        before = traced_bytes()
        own = Member("entry-0", "bne-1", ("127.0.0.1", 1), 1)
        table = MemberTable(own, random.Random(1))
        for i in range(1, MEMBERS):
            row = Member(f"entry-{i}", f"bne-{i % 3}", (f"127.0.{i // 250}.1", i), i)
            table.apply(row, 0.0)
        return (traced_bytes() - before) / len(table)
    finally:
        tracemalloc.stop()
