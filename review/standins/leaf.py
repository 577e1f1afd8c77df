"""A stand-in of a leaf, which runs requests in slots and queues a few more."""

from __future__ import annotations

import asyncio
import itertools

from standins.http import Message, read_message, render_response
from standins.record import Record

DEFAULT_BUDGET_S = 30.0


def time_budget_s(request: Message) -> float:
    """Return how long a leaf may work on a request, in seconds."""
    value = request.headers.get("request-deadline-ms")
    return DEFAULT_BUDGET_S if value is None else int(value) / 1000


class Leaf:
    """One leaf; a subclass overrides `answer` or `before_answer` for its faults.

    It is a sound server: it checks the id that is expected, refuses what it has no
    room for, stops work at the time budget, and echoes the request's id.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        service: str,
        record: Record,
        work_s: float,
        slots: int = 3,
        queue: int = 12,
    ):
        number = next(self._numbers)
        self.id = f"i-{number:08x}"
        self.service = service
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.queue = queue
        self.state = "ready"
        self.runs: list[str] = []
        """The ids of the requests that it began to run, in order."""
        self.address = ("", 0)
        self.writers: set[asyncio.StreamWriter] = set()
        self._accepted = 0
        self._slots = asyncio.Semaphore(slots)
        self._stamps = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def entry(self) -> dict:
        """Return the leaf's entry in the store."""
        return {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": 1,
            "born": 1_768_766_353_410,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await self.before_answer(writer, request)
                await self.answer(writer, request)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def before_answer(
        self, writer: asyncio.StreamWriter, request: Message
    ) -> None:
        """Do nothing; a fault may send bytes here."""

    async def answer(self, writer: asyncio.StreamWriter, request: Message) -> None:
        """Refuse or run a request and send its answer."""
        writer.write(await self.respond(request))
        await writer.drain()

    async def respond(self, request: Message) -> bytes:
        """Refuse or run a request and return the bytes of its answer."""
        until = asyncio.get_running_loop().time() + time_budget_s(request)
        request_id = request.headers.get("request-id", "")
        if request.headers.get("expect-instance", self.id) != self.id:
            headers = {"Instance-Id": self.id, "Request-Id": request_id}
            return render_response(421, headers)
        if self._accepted >= self.slots + self.queue:
            return self.refuse(request_id)
        self._accepted += 1
        try:
            async with self._slots:
                left_s = until - asyncio.get_running_loop().time()
                if left_s <= 0:
                    return self.refuse(request_id)
                return await self.run(request, request_id, left_s)
        finally:
            self._accepted -= 1

    def refuse(self, request_id: str) -> bytes:
        """Return the answer that says that a request has not run."""
        self.record.add(f"leaf {self.id} refuses {request_id}")
        headers = {"Not-Executed": "1", "Request-Id": request_id}
        return render_response(503, headers)

    async def run(self, request: Message, request_id: str, left_s: float) -> bytes:
        """Run a request until `left_s` have passed at most, and return its answer."""
        self.runs.append(request_id)
        self.record.add(f"leaf {self.id} runs {request_id}")
        await asyncio.sleep(min(self.work_s, left_s))
        if left_s < self.work_s:
            stamp = {"Server-Stamp": f"{self.id}.{next(self._stamps)}"}
            return render_response(504, {"Request-Id": request_id, **stamp})
        return self.success(request_id, self.body(request_id))

    def body(self, request_id: str) -> bytes:
        """Return the body of the answer to a request."""
        return f"done {request_id}".encode()

    def success(self, request_id: str, body: bytes) -> bytes:
        """Return the answer to a request that has run."""
        stamp = f"{self.id}.{next(self._stamps)}"
        headers = {"Request-Id": request_id, "Server-Stamp": stamp}
        return render_response(200, headers, body)
