"""A process with many leafs, some of whose answers have no end for some time.

Started with an IP address and a JSON list of services, one leaf for each. It writes the
addresses as a JSON list to standard output, and reads commands from standard input:
`trouble SHARE X` lets this share of the leafs send this share of their answers without
an end, `calm` ends that, `count` writes how many of these answers have been begun.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import sys

from http_server import HttpServer, Reply, Request

WORK_S = 0.02
SLOTS = 2
QUEUE = 12
RECORDS = 12
RECORD_BYTES = 16
BLOCK = b"1\r\nx\r\n" * 5_000
"""A part of a body in chunks of one byte each, which is no answer."""


class EndlessLeaf:
    """A leaf that may send an answer without an end until the caller closes."""

    def __init__(self, ip: str, number: int, rng: random.Random):
        self.id = f"i-{ip.rpartition('.')[2]}-{number:04x}"
        self.endless_share = 0.0
        self.endless = 0
        """How many answers without an end have been begun."""
        self._rng = rng
        self._slots = asyncio.Semaphore(SLOTS)
        self._accepted = 0
        self._stamps = itertools.count(1)
        self._server = HttpServer(ip, self._handle)

    async def start(self) -> dict:
        """Listen and return the id and the address."""
        await self._server.start()
        return {"id": self.id, "address": self._server.address}

    async def _handle(self, req: Request) -> Reply | None:
        request_id = req.fields.get("request-id", "")
        refused = (("Request-Id", request_id), ("Not-Executed", "1"))
        if req.fields.get("expect-instance", self.id) != self.id:
            return Reply(421, refused)
        if self._accepted >= SLOTS + QUEUE:
            return Reply(503, refused)
        self._accepted += 1
        try:
            async with self._slots:
                await asyncio.sleep(WORK_S * self._rng.uniform(0.5, 1.5))
        finally:
            self._accepted -= 1
        stamp = f"{self.id}.{next(self._stamps)}"
        fields = (("Request-Id", request_id), ("Server-Stamp", stamp))
        if self._rng.random() < self.endless_share:
            self.endless += 1
            return Reply(200, fields, b"", BLOCK)
        return Reply(200, fields, self._rng.randbytes(RECORDS * RECORD_BYTES))


async def main(ip: str, count: int) -> None:
    """Serve until standard input ends."""
    rng = random.Random(f"{ip} {count}")
    leafs = [EndlessLeaf(ip, number, rng) for number in range(count)]
    print(json.dumps([await leaf.start() for leaf in leafs]), flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := (await reader.readline()).decode().split():
        if line[0] == "trouble":
            share, endless_share = float(line[1]), float(line[2])
            for leaf in leafs[: int(share * len(leafs))]:
                leaf.endless_share = endless_share
        elif line[0] == "calm":
            for leaf in leafs:
                leaf.endless_share = 0.0
        print(sum(leaf.endless for leaf in leafs), flush=True)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(sys.argv[1], int(sys.argv[2])))
