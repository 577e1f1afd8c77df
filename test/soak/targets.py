"""Target stand-ins of the soak, which record runs and simulate faults."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import random

from filbertshelf.clock import SystemClock
from filbertshelf.protocol.http_messages import HeaderField, Response, find_field
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.server import HttpServer, Request
from test.soak.history import Answer, Arrival, ColdTime, History, RateLimit, Run
from test.soak.proxy import Proxy

SLOTS = 2
QUEUE = 6
RECORDS = 8
COLD_S = 8.0
HEALTH_PATH = b"/health"
RECORD_BYTES = 16


class Target:
    """One target: an HTTP server in the process of the soak, behind its own proxy."""

    _ids = itertools.count(1)

    def __init__(
        self,
        service: str,
        zone: str,
        work_s: float,
        history: History,
        rng: random.Random,
    ):
        self.id = f"i-{next(self._ids):06x}"
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slow_factor = 1.0
        self.failure = ""
        """Empty for none, "error" for status 500, "lost" to run without an answer."""
        self.state = "ready"
        """As in the store, or "gone" if it left without an announcement."""
        self.listed_revision = 0
        """The store's revision of its last entry."""
        self.sequence = 0
        """Counts what it has written to the store."""
        self.rate_limit: RateLimit | None = None
        self._cold_until = 0.0
        self.server = HttpServer(("127.0.0.1", 0), self, SystemClock())
        self.proxy: Proxy | None = None
        self._history = history
        self._rng = rng
        self._accepted = 0
        self._stamps = itertools.count(1)

    async def start(self) -> None:
        """Start the server and its proxy."""
        await self.server.start()
        self.proxy = Proxy(self.server.address)
        await self.proxy.start()

    async def stop(self) -> None:
        """Reset all connections, as the end of a process does, and stop listening."""
        self._history.ended_targets.add(self.id)
        self.proxy.reset()
        await self.proxy.stop()
        await self.server.stop()

    def turn_cold(self, learning_s: float) -> None:
        """Be cold for `COLD_S`; all gateways can know it after the learning time."""
        now = self._history.now()
        self._cold_until = now + COLD_S
        self._history.cold_times.append(
            ColdTime(self.id, now + learning_s, self._cold_until)
        )

    def _cold_remaining_ms(self) -> int:
        return max(0, round((self._cold_until - self._history.now()) * 1000))

    def store_entry(self) -> dict:
        """Return the entry of the target in the store."""
        return {
            "service": self.service,
            "address": "{}:{}".format(*self.proxy.address),
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingMs": self._cold_remaining_ms(),
            "seq": self.sequence,
            "born": 1_768_766_353_410,
        }

    # Callbacks from the HTTP server.

    def handle(self, req: Request) -> None:
        """Refuse a request, or run it after its time in the queue."""
        request_id = (find_field(req.fields, b"request-id") or b"").decode()
        misdirected = find_field(req.fields, b"expect-instance") != self.id.encode()
        if req.target != HEALTH_PATH:
            arrival = Arrival(
                request_id, self.id, self.zone, self._history.now(), misdirected
            )
            self._history.arrivals.append(arrival)
        refusal = ((b"Not-Executed", b"1"), *self._leaving_fields())
        if misdirected:
            req.reply(Response(421, refusal))
        elif self._accepted >= SLOTS + QUEUE:
            req.reply(Response(503, refusal))
        else:
            self._accepted += 1
            run_s = self.work_s * self.slow_factor * self._rng.uniform(0.6, 1.6)
            queue_s = max(0, self._accepted - SLOTS) * self.work_s
            asyncio.get_running_loop().call_later(queue_s, self._start_run, req, run_s)

    def limits(self) -> Limits:
        """Return the default limits."""
        return Limits()

    def record_rejection(self, status: int, reason: str) -> None:
        """Ignore a malformed request."""

    def _start_run(self, req: Request, run_s: float) -> None:
        request_id = (find_field(req.fields, b"request-id") or b"").decode()
        run = Run(
            request_id,
            self.id,
            self.service,
            req.method,
            req.target,
            req.body,
            self._history.now(),
        )
        self._history.runs[request_id].append(run)
        asyncio.get_running_loop().call_later(run_s, self._finish_run, req, request_id)

    def _finish_run(self, req: Request, request_id: str) -> None:
        self._accepted -= 1
        if self.failure == "lost":
            return
        status = 500 if self.failure == "error" else 200
        stamp = f"{self.id}.{next(self._stamps)}"
        body = records(self.service, request_id)
        self._history.answers[stamp] = Answer(
            stamp, request_id, self.service, status, body
        )
        fields = [
            (b"Server-Stamp", stamp.encode()),
            (b"Request-Id", request_id.encode()),
            *self._leaving_fields(),
        ]
        if self._cold_until:
            fields.append((b"Cold-Remaining-Ms", b"%d" % self._cold_remaining_ms()))
        if self.rate_limit is not None:
            fields.append((b"Server-Limit", b"%.1f" % self.rate_limit.per_s))
        req.reply(Response(status, tuple(fields), body))

    def _leaving_fields(self) -> list[HeaderField]:
        """Return the header with which a target that leaves says so."""
        return [] if self.state == "ready" else [(b"Server-Leaving", b"1")]


def records(service: str, request_id: str) -> bytes:
    """Return the records with which every target of a service answers a request."""
    return b"".join(
        hashlib.blake2b(f"{service} {request_id} {n}".encode(), digest_size=16).digest()
        for n in range(RECORDS)
    )
