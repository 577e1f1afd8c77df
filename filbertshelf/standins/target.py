"""A stand-in for one target that speaks the target API and can fail on demand."""

from __future__ import annotations

import asyncio
import json
import math
import random
import re
import socket
import struct
from collections import deque
from collections.abc import Mapping
from typing import Any

import attrs
from aiohttp import web
from mode import Service

from filbertshelf.addresses import parse_address
from filbertshelf.clock import Clock
from filbertshelf.protocol import target as api
from filbertshelf.standins.target_config import (
    HISTORY_MAX_EXECUTIONS,
    Counters,
    Execution,
    Faults,
    HostedService,
    Snapshot,
    TargetConfig,
    TargetHistory,
    draw_service_time,
    select_rows,
    shard_rows,
)
from filbertshelf.standins.target_work import Work, WorkOutcome, WorkSlots
from filbertshelf.state.outcome import Reason

__all__ = [
    "Counters",
    "Execution",
    "Faults",
    "HostedService",
    "Snapshot",
    "TargetConfig",
    "TargetHistory",
    "TargetStandin",
]

KEEPALIVE_S = 3600.0
# Linger on with a time of 0 makes close() send a reset instead of an orderly end.
RESET_LINGER = struct.pack("ii", 1, 0)

_WORK = re.compile(r"/v1/services/([^/]+)/shards/([^/]+)/(search|book)")
_CANCEL = re.compile(r"/v1/work/([^/]+)")


@attrs.frozen
class _Request:
    """A parsed request for work; the deadline is in monotonic seconds."""

    service: str
    shard: str
    verb: str
    request_id: str
    idempotency_key: str
    index_version: str
    generation: int
    deadline: float
    body: Mapping[str, Any]


class _BadRequestError(Exception):
    """The request is not one of the target API."""


class _Connections(web.Server):
    """Counts connections and closes those over the cap."""

    def __init__(self, standin: TargetStandin, handler: Any):
        super().__init__(handler, keepalive_timeout=KEEPALIVE_S, access_log=None)
        self._standin = standin
        self.fresh: set[web.RequestHandler] = set()
        """Connections that have not sent a request yet."""
        self.open: dict[web.RequestHandler, asyncio.Transport] = {}

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        super().connection_made(handler, transport)
        counters = self._standin.counters
        if len(self.open) >= self._standin.cfg.connections:
            counters.connections_refused += 1
            # The handler's task has to start before its connection is lost.
            asyncio.get_running_loop().call_soon(transport.abort)
            return
        self.open[handler] = transport
        self.fresh.add(handler)
        counters.connections_opened += 1
        counters.peak_connections = max(counters.peak_connections, len(self.open))

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        super().connection_lost(handler, exc)
        self.open.pop(handler, None)
        self.fresh.discard(handler)

    def abort(self) -> None:
        """Cut every open connection with a reset."""
        for transport in list(self.open.values()):
            reset_connection(transport)


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection so that the peer sees a reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    transport.abort()


def _bind(address: str) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(parse_address(address, lowest_port=0))
    return sock


class TargetStandin(Service):
    """One target; `address` is known after the start.

    Bookings are not deduplicated by idempotency key, so that a booking that was
    sent twice is visible in the history.
    """

    def __init__(self, cfg: TargetConfig, clock: Clock):
        super().__init__()
        self.cfg = cfg
        self.address = ""
        self.faults = Faults()
        self.counters = Counters()
        self._clock = clock
        self._rng = random.Random(f"{cfg.seed}/{cfg.name}")
        self._services = {service.name: service for service in cfg.services}
        self._executions: list[Execution] = []
        self._work = WorkSlots(cfg.slots, cfg.queue, clock)
        self._loads: deque[tuple[float, int]] = deque([(-math.inf, 0)])
        self._cold_since = clock.monotonic() if cfg.starts_cold else -math.inf
        self._connections: _Connections | None = None
        self._listener: asyncio.Server | None = None
        self._reserved: socket.socket | None = None
        self._unblocked = asyncio.Event()
        self._restarting: asyncio.Task | None = None

    async def on_start(self) -> None:
        """Listen on the configured address."""
        self._connections = _Connections(self, self._handle)
        # A bound socket that never listens keeps the port while the target is down.
        self._reserved = _bind(self.cfg.listen)
        host, port = self._reserved.getsockname()
        self.address = f"{host}:{port}"
        await self._listen()

    async def on_stop(self) -> None:
        """Cut all connections."""
        if self._restarting is not None:
            self._restarting.cancel()
        self._cut()
        self._reserved.close()

    @property
    def reported_state(self) -> str:
        """Return the state that responses carry."""
        hidden = self.faults.hide_draining
        return api.DRAINING if self.faults.draining and not hidden else api.SERVING

    @property
    def listening(self) -> bool:
        """Return whether the target accepts connections."""
        return self._listener is not None

    @property
    def in_flight(self) -> int:
        """Return how many pieces of work run or wait."""
        return self._work.in_flight

    def history(self) -> TargetHistory:
        """Return the totals and the executions so far."""
        return TargetHistory(
            target=self.cfg.name,
            state=self.reported_state,
            counters=attrs.evolve(self.counters),
            executions=tuple(self._executions),
        )

    def clear_history(self) -> None:
        """Reset the totals and the history; faults and versions stay."""
        # Open connections and running work are peaks of the new period too.
        self.counters = Counters(
            peak_connections=len(self._connections.open),
            peak_in_flight=self._work.running,
        )
        self._executions = []

    async def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force; a target that was down starts cold."""
        before, self.faults = self.faults, faults
        if before.black_hole and not faults.black_hole:
            self._unblocked.set()
            self._unblocked = asyncio.Event()
        if faults.down and not before.down:
            self._cut()
        if before.down and not faults.down:
            await self._come_back()

    def set_snapshots(self, service: HostedService) -> None:
        """Replace the snapshots of a service that the target holds."""
        self._services[service.name] = service

    def drop_service(self, name: str) -> None:
        """Hold no snapshot of the service any more."""
        self._services.pop(name, None)

    def crash_for(self, down_s: float) -> None:
        """Crash now and come back cold on the same address after `down_s`."""
        self.counters.restarts += 1
        self._cut()
        if self._restarting is None or self._restarting.done():
            self._restarting = asyncio.create_task(self._back_after(down_s))

    async def _back_after(self, down_s: float) -> None:
        await self._clock.sleep(down_s)
        if not self.faults.down:
            await self._come_back()

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._connections, sock=_bind(self.address), backlog=1024
        )

    def _cut(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._work.crash()
        self._connections.abort()
        self._unblocked.set()
        self._unblocked = asyncio.Event()

    async def _come_back(self) -> None:
        if self._listener is None:
            self._cold_since = self._clock.monotonic()
            await self._listen()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        await self._delay(req)
        if self.faults.black_hole:
            await self._unblocked.wait()
            req.transport and req.transport.abort()
            return web.Response(status=500)
        cancel = _CANCEL.fullmatch(req.path)
        if cancel and req.method == "DELETE":
            found = self._work.cancel(cancel[1])
            return self._reply(None, 200 if found else 404, {"cancelled": found})
        if req.path == "/v1/health":
            return self._reply(None, 200, {"state": self.reported_state})
        try:
            request = await self._parse(req)
        except _BadRequestError as exc:
            return self._reply(None, 400, {"message": str(exc)}, Reason.BAD_RESPONSE)
        return await self._serve(req, request)

    async def _delay(self, req: web.BaseRequest) -> None:
        """Take the time of the network and, once, of opening the connection."""
        delay_ms = self.cfg.network_ms
        fresh = self._connections.fresh
        if req.protocol in fresh:
            fresh.discard(req.protocol)
            delay_ms += self.cfg.connection_cost_ms
        if delay_ms > 0:
            await self._clock.sleep(delay_ms / 1000)

    async def _parse(self, req: web.BaseRequest) -> _Request:
        match = _WORK.fullmatch(req.path)
        if match is None or req.method != "POST":
            raise _BadRequestError(f"{req.method} {req.path} is not in the target API")
        try:
            body = json.loads(await req.read())
            if not isinstance(body, dict):
                raise ValueError("the body is not an object")
            remaining = float(req.headers.get(api.DEADLINE_MS, "inf"))
            return _Request(
                service=match[1],
                shard=match[2],
                verb=match[3],
                request_id=req.headers[api.REQUEST_ID],
                idempotency_key=req.headers.get(api.IDEMPOTENCY_KEY, ""),
                index_version=req.headers[api.INDEX_VERSION],
                generation=int(req.headers[api.GENERATION]),
                deadline=self._clock.monotonic() + remaining / 1000,
                body=body,
            )
        except (ValueError, KeyError) as exc:
            raise _BadRequestError(f"the request is malformed: {exc!r}") from exc

    async def _serve(
        self, req: web.BaseRequest, request: _Request
    ) -> web.StreamResponse:
        self.counters.requests += 1
        if self.faults.reset_on_request and req.transport is not None:
            reset_connection(req.transport)
            return web.Response(status=500)
        if self.faults.fail_fast:
            self.counters.failed_fast += 1
            return self._reply(request, 500, {"message": "failed"}, Reason.TARGET_ERROR)
        refusal = self._refusal(request)
        if refusal is not None:
            return refusal
        if self._poisoned(request):
            return self._crash_on_poison(request)
        work = self._work.open(request.request_id)
        try:
            return await self._queue_and_run(req, request, work)
        finally:
            self._work.close(work)
            self._note_load(0)

    def _refusal(self, request: _Request) -> web.Response | None:
        """Return the response that refuses the work, or None to accept it."""
        if self.faults.draining:
            self.counters.refused_draining += 1
            return self._not_run(request, 503, Reason.DRAINING)
        service = self._services.get(request.service)
        if service is None or not service.has_shard(
            request.shard, request.index_version, request.generation
        ):
            self.counters.refused_snapshot += 1
            return self._not_run(request, 409, Reason.OTHER_SNAPSHOT)
        if self.cfg.cold_refuses and self._coldness() > 0:
            self.counters.refused_cold += 1
            return self._not_run(request, 503, Reason.COLD)
        return None

    def _poisoned(self, request: _Request) -> bool:
        query = request.body.get("query")
        inner = query.get("poison") if isinstance(query, Mapping) else None
        return request.body.get("poison") is True or inner is True

    def _crash_on_poison(self, request: _Request) -> web.Response:
        now = self._clock.monotonic()
        self._record(request, now, self._work.running + 1, WorkOutcome.CRASHED)
        self.counters.crashes += 1
        self.crash_for(self.cfg.crash_down_s)
        return web.Response(status=500)

    async def _queue_and_run(
        self, req: web.BaseRequest, request: _Request, work: Work
    ) -> web.StreamResponse:
        self._note_load(1)
        ended = await self._work.acquire(work)
        if ended is WorkOutcome.OVERLOADED:
            self.counters.refused_overloaded += 1
            return self._not_run(request, 503, Reason.OVERLOADED)
        if ended is not WorkOutcome.DONE:
            self.counters.cancelled += ended is WorkOutcome.CANCELLED
            return self._not_run(request, 499, Reason.CANCELLED)
        try:
            if self._clock.monotonic() >= request.deadline:
                self.counters.refused_deadline += 1
                return self._not_run(request, 503, Reason.TIMEOUT)
            ended = await self._execute(request, work)
        finally:
            self._work.release()
        if self.faults.answer_delay_s:
            await self._clock.sleep(self.faults.answer_delay_s)
        return self._finish(req, request, ended)

    async def _execute(self, request: _Request, work: Work) -> WorkOutcome:
        running = self._work.running
        peak = self.counters.peak_in_flight
        self.counters.peak_in_flight = max(peak, running)
        start = self._clock.monotonic()
        # A booking that has begun is finished also after its deadline.
        limit = request.deadline - start if request.verb == "search" else math.inf
        ended = WorkOutcome.CRASHED
        try:
            ended = await self._work.run(work, self._duration(), limit)
        finally:
            self._record(request, start, running, ended)
        return ended

    def _duration(self) -> float:
        seconds = draw_service_time(self.cfg, self._rng)
        if self._rng.random() < self.faults.straggle_share:
            seconds *= self.faults.straggle
        return seconds * (1 + (self.cfg.cold_factor - 1) * self._coldness())

    def _coldness(self) -> float:
        """Return 1 at a cold start, falling evenly to 0 when warm."""
        if self.cfg.cold_s <= 0:
            return 0.0
        warm = (self._clock.monotonic() - self._cold_since) / self.cfg.cold_s
        return max(0.0, 1.0 - warm)

    def _record(
        self, request: _Request, start: float, running: int, ended: WorkOutcome
    ) -> None:
        self.counters.executions += 1
        self.counters.cancelled += ended is WorkOutcome.CANCELLED
        if len(self._executions) >= HISTORY_MAX_EXECUTIONS:
            self.counters.history_dropped += 1
            return
        self._executions.append(
            Execution(
                target=self.cfg.name,
                verb=request.verb,
                request_id=request.request_id,
                idempotency_key=request.idempotency_key,
                service=request.service,
                shard=request.shard,
                index_version=request.index_version,
                generation=request.generation,
                body=request.body,
                start=start,
                end=self._clock.monotonic(),
                ended=ended.value,
                in_flight=running,
            )
        )

    def _finish(
        self, req: web.BaseRequest, request: _Request, ended: WorkOutcome
    ) -> web.StreamResponse:
        if ended is WorkOutcome.CANCELLED:
            return self._reply(request, 499, {}, Reason.CANCELLED)
        if ended is WorkOutcome.TIMEOUT:
            return self._reply(request, 504, {}, Reason.TIMEOUT)
        try:
            result = self._result(request)
        except (AttributeError, TypeError) as exc:
            # A query that no target can process, for example with a wrong type.
            reason = Reason.TARGET_ERROR
            return self._reply(request, 400, {"message": repr(exc)}, reason)
        response = self._reply(request, 200, result)
        if self.faults.forged_id is not None:
            response.headers[api.REQUEST_ID] = self.faults.forged_id
        if self.faults.reset_after_bytes is not None and req.transport is not None:
            self._write_part(req.transport, response, self.faults.reset_after_bytes)
        return response

    def _write_part(
        self, transport: asyncio.Transport, response: web.Response, count: int
    ) -> None:
        head = [f"HTTP/1.1 {response.status} OK"]
        head += [f"{name}: {value}" for name, value in response.headers.items()]
        head.append(f"Content-Length: {len(response.body)}")
        raw = "\r\n".join(head).encode() + b"\r\n\r\n" + response.body
        transport.write(raw[:count])
        reset_connection(transport)

    def _result(self, request: _Request) -> dict[str, Any]:
        if request.verb == "book":
            key = request.idempotency_key or request.request_id
            return {"booked": f"{self.cfg.name}/{key}"}
        rows = shard_rows(
            request.service,
            request.shard,
            request.index_version,
            self.cfg.rows_per_shard,
        )
        return {"rows": select_rows(rows, request.body.get("query") or {})}

    def _not_run(self, request: _Request, status: int, reason: Reason) -> web.Response:
        response = self._reply(request, status, {"outcome": "not_run"}, reason)
        response.headers[api.NOT_RUN] = "true"
        return response

    def _reply(
        self,
        request: _Request | None,
        status: int,
        body: Mapping[str, Any],
        reason: Reason | None = None,
    ) -> web.Response:
        headers = {api.STATE: self.reported_state, api.LOAD: str(self._reported_load())}
        if request is not None:
            headers[api.REQUEST_ID] = request.request_id
            headers[api.INDEX_VERSION] = request.index_version
            headers[api.GENERATION] = str(request.generation)
        if reason is not None:
            headers[api.REASON] = reason.value
        return web.Response(
            status=status,
            body=json.dumps(body).encode(),
            headers=headers,
            content_type="application/json",
        )

    def _note_load(self, arriving: int) -> None:
        if self.faults.load_lag_s > 0:
            load = self._work.in_flight + arriving
            self._loads.append((self._clock.monotonic(), load))

    def _reported_load(self) -> int:
        if self.faults.reported_load is not None:
            return self.faults.reported_load
        if self.faults.load_lag_s <= 0:
            return self._work.in_flight
        horizon = self._clock.monotonic() - self.faults.load_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= horizon:
            self._loads.popleft()
        return self._loads[0][1]
