"""Stand-ins for leafs, which record what reaches them and what they run."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import random
import time

from http_server import HttpServer, Reply, Request
from store import Store

LAPSE_S = 3.6
"""Three check-in intervals: the entry of a leaf that has crashed is removed then."""

DOWN_S = 3.0
"""How long a leaf that has crashed is down."""

POISON_RUN_S = 0.02
"""How long a leaf works on a request that crashes it."""


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that has reached a leaf."""

    request_id: str
    target: str
    leaf: str
    at: float
    """Monotonic seconds."""


@dataclasses.dataclass(frozen=True)
class Crash:
    """The end of a leaf by a request."""

    request_id: str
    leaf: str
    at: float


class Leaf:
    """One leaf: serves `slots` requests at a time and queues a few more."""

    _numbers = itertools.count(1)

    def __init__(
        self,
        ip: str,
        zone: str,
        service: str,
        store: Store,
        rng: random.Random,
        work_s: float = 0.05,
        slots: int = 3,
        queue: int = 12,
    ):
        self.arrivals: list[Arrival] = []
        self.crashes: list[Crash] = []
        self.poison_prefix = ""
        """Requests with this prefix crash the leaf; none if it is empty."""
        self.poison_run_s = POISON_RUN_S
        self.error_share = 0.0
        """The share of requests that run and fail with status 500."""
        self._zone = zone
        self.service = service
        self.store = store
        self._rng = rng
        self._work_s = work_s
        self._slots = slots
        self._queue = queue
        self._accepted = 0
        self._free_slots = asyncio.Semaphore(slots)
        self._server = HttpServer(ip, self._handle)
        self._stamps = itertools.count(1)
        self._background: set[asyncio.Task] = set()
        self._new_boot()

    def _new_boot(self) -> None:
        self.id = f"i-{next(self._numbers):08x}"
        self._born_ms = int(time.time() * 1000)
        self._accepted = 0
        self._free_slots = asyncio.Semaphore(self._slots)

    async def start(self) -> None:
        """Listen and write the entry."""
        await self._server.start()
        entry = {
            "service": self.service,
            "address": self._server.address,
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": self._born_ms,
        }
        self.store.put(f"servers/{self.id}", entry)

    async def stop(self) -> None:
        """End the leaf for good."""
        for task in self._background:
            task.cancel()
        await self._server.stop()

    async def _handle(self, req: Request) -> Reply | None:
        request_id = req.fields.get("request-id", "")
        if req.target == "/health":
            return Reply(200, (("Instance-Id", self.id),))
        arrival = Arrival(request_id, req.target, self.id, time.monotonic())
        self.arrivals.append(arrival)
        refused = (("Request-Id", request_id), ("Not-Executed", "1"))
        if req.fields.get("expect-instance", self.id) != self.id:
            return Reply(421, refused)
        if self._accepted >= self._slots + self._queue:
            return Reply(503, refused)
        self._accepted += 1
        try:
            async with self._free_slots:
                return await self._run(req, request_id)
        finally:
            self._accepted -= 1

    async def _run(self, req: Request, request_id: str) -> Reply | None:
        if self.poison_prefix and req.target.startswith(self.poison_prefix):
            await asyncio.sleep(self.poison_run_s)
            self._crash(request_id)
            return None
        failed = self._rng.random() < self.error_share
        if not failed:
            await asyncio.sleep(self._work_s * self._rng.uniform(0.5, 1.5))
        stamp = f"{self.id}.{next(self._stamps)}"
        fields = (("Request-Id", request_id), ("Server-Stamp", stamp))
        return Reply(500 if failed else 200, fields, b"x" * 300)

    def _crash(self, request_id: str) -> None:
        self.crashes.append(Crash(request_id, self.id, time.monotonic()))
        task = asyncio.create_task(self._end_and_return())
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _end_and_return(self) -> None:
        """End, start again after some seconds, and let the old entry lapse."""
        old_key = f"servers/{self.id}"
        await self._server.stop()
        await asyncio.sleep(DOWN_S)
        self._new_boot()
        await self.start()
        await asyncio.sleep(LAPSE_S - DOWN_S)
        self.store.delete(old_key)
