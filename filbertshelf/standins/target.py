"""A stand-in for one target, which serves the target API and simulates faults."""

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
RESET_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER with a time of 0, which makes close() send a TCP reset."""

_WORK_PATH = re.compile(r"/v1/services/([^/]+)/shards/([^/]+)/(search|book)")
_CANCEL_PATH = re.compile(r"/v1/work/([^/]+)")


@attrs.frozen
class _WorkRequest:
    """A parsed work request; the deadline is in monotonic seconds."""

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
    """The request is not valid in the target API."""


class _CountingServer(web.Server):
    """HTTP server that counts connections and closes those over the limit."""

    def __init__(self, standin: TargetStandin, handler: Any):
        super().__init__(handler, keepalive_timeout=KEEPALIVE_S, access_log=None)
        self._standin = standin
        self.awaiting_first_request: set[web.RequestHandler] = set()
        """Connections that haven't sent a request yet."""
        self.transports: dict[web.RequestHandler, asyncio.Transport] = {}

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        super().connection_made(handler, transport)
        counters = self._standin.counters
        if len(self.transports) >= self._standin.cfg.connections:
            counters.connections_refused += 1
            # The handler's task must start before its connection is lost.
            asyncio.get_running_loop().call_soon(transport.abort)
            return
        self.transports[handler] = transport
        self.awaiting_first_request.add(handler)
        counters.connections_opened += 1
        counters.peak_connections = max(counters.peak_connections, len(self.transports))

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        super().connection_lost(handler, exc)
        self.transports.pop(handler, None)
        self.awaiting_first_request.discard(handler)

    def reset_all(self) -> None:
        """Reset all open connections."""
        for transport in list(self.transports.values()):
            reset_connection(transport)


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection with a TCP reset."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    transport.abort()


def _bind_socket(address: str) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(parse_address(address, lowest_port=0))
    return sock


class TargetStandin(Service):
    """One target; `address` is set once the service has started.

    Bookings are not deduplicated by idempotency key, so that a booking that was
    sent twice appears twice in the history.
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
        self._work_slots = WorkSlots(cfg.slots, cfg.queue, clock)
        self._load_samples: deque[tuple[float, int]] = deque([(-math.inf, 0)])
        self._cold_since = clock.monotonic() if cfg.starts_cold else -math.inf
        self._server: _CountingServer | None = None
        self._listener: asyncio.Server | None = None
        self._port_reservation: socket.socket | None = None
        self._black_hole_ended = asyncio.Event()
        self._restart_task: asyncio.Task | None = None

    async def on_start(self) -> None:
        """Start listening on the configured address."""
        self._server = _CountingServer(self, self._handle)
        # A bound socket that never listens reserves the port while the target is down.
        self._port_reservation = _bind_socket(self.cfg.listen)
        host, port = self._port_reservation.getsockname()
        self.address = f"{host}:{port}"
        await self._listen()

    async def on_stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        self._disconnect_all()
        self._port_reservation.close()

    @property
    def reported_state(self) -> str:
        """Return the state reported in responses."""
        hide = self.faults.hide_draining
        return api.DRAINING if self.faults.draining and not hide else api.SERVING

    @property
    def listening(self) -> bool:
        """Return whether the target accepts connections."""
        return self._listener is not None

    @property
    def in_flight(self) -> int:
        """Return the amount of work that is running or queued."""
        return self._work_slots.in_flight

    def history(self) -> TargetHistory:
        """Return the counters and the executions so far."""
        return TargetHistory(
            target=self.cfg.name,
            state=self.reported_state,
            counters=attrs.evolve(self.counters),
            executions=tuple(self._executions),
        )

    def clear_history(self) -> None:
        """Reset the counters and the history, but not the faults and the snapshots."""
        # Open connections and running work count towards the new peaks.
        self.counters = Counters(
            peak_connections=len(self._server.transports),
            peak_in_flight=self._work_slots.running,
        )
        self._executions = []

    async def set_faults(self, faults: Faults) -> None:
        """Replace the active faults; a target that was down starts cold."""
        previous, self.faults = self.faults, faults
        if previous.black_hole and not faults.black_hole:
            self._black_hole_ended.set()
            self._black_hole_ended = asyncio.Event()
        if faults.down and not previous.down:
            self._disconnect_all()
        if previous.down and not faults.down:
            await self._resume_listening()

    def set_snapshots(self, service: HostedService) -> None:
        """Replace the snapshots that the target holds of a service."""
        self._services[service.name] = service

    def crash_for(self, down_s: float) -> None:
        """Crash, and start cold on the same address after `down_s` seconds."""
        self.counters.restarts += 1
        self._disconnect_all()
        if self._restart_task is None or self._restart_task.done():
            self._restart_task = asyncio.create_task(self._resume_after(down_s))

    async def _resume_after(self, down_s: float) -> None:
        await self._clock.sleep(down_s)
        if not self.faults.down:
            await self._resume_listening()

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, sock=_bind_socket(self.address), backlog=1024
        )

    def _disconnect_all(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._work_slots.crash_all()
        self._server.reset_all()
        self._black_hole_ended.set()
        self._black_hole_ended = asyncio.Event()

    async def _resume_listening(self) -> None:
        if self._listener is None:
            self._cold_since = self._clock.monotonic()
            await self._listen()

    async def _handle(self, req: web.BaseRequest) -> web.StreamResponse:
        await self._simulate_delays(req)
        if self.faults.black_hole:
            await self._black_hole_ended.wait()
            req.transport and req.transport.abort()
            return web.Response(status=500)
        cancel_match = _CANCEL_PATH.fullmatch(req.path)
        if cancel_match and req.method == "DELETE":
            cancelled = self._work_slots.cancel(cancel_match[1])
            return self._make_response(
                None, 200 if cancelled else 404, {"cancelled": cancelled}
            )
        if req.path == "/v1/health":
            return self._make_response(None, 200, {"state": self.reported_state})
        try:
            request = await self._parse_work_request(req)
        except _BadRequestError as exc:
            return self._make_response(
                None, 400, {"message": str(exc)}, Reason.BAD_RESPONSE
            )
        return await self._handle_work(req, request)

    async def _simulate_delays(self, req: web.BaseRequest) -> None:
        """Sleep for the network delay and, on a new connection, its setup cost."""
        delay_ms = self.cfg.network_ms
        awaiting_first_request = self._server.awaiting_first_request
        if req.protocol in awaiting_first_request:
            awaiting_first_request.discard(req.protocol)
            delay_ms += self.cfg.connection_cost_ms
        if delay_ms > 0:
            await self._clock.sleep(delay_ms / 1000)

    async def _parse_work_request(self, req: web.BaseRequest) -> _WorkRequest:
        work_match = _WORK_PATH.fullmatch(req.path)
        if work_match is None or req.method != "POST":
            raise _BadRequestError(f"{req.method} {req.path} is not in the target API")
        try:
            body = json.loads(await req.read())
            if not isinstance(body, dict):
                raise ValueError("the body is not an object")
            remaining = float(req.headers.get(api.DEADLINE_MS, "inf"))
            return _WorkRequest(
                service=work_match[1],
                shard=work_match[2],
                verb=work_match[3],
                request_id=req.headers[api.REQUEST_ID],
                idempotency_key=req.headers.get(api.IDEMPOTENCY_KEY, ""),
                index_version=req.headers[api.INDEX_VERSION],
                generation=int(req.headers[api.GENERATION]),
                deadline=self._clock.monotonic() + remaining / 1000,
                body=body,
            )
        except (ValueError, KeyError) as exc:
            raise _BadRequestError(f"the request is malformed: {exc!r}") from exc

    async def _handle_work(
        self, req: web.BaseRequest, request: _WorkRequest
    ) -> web.StreamResponse:
        self.counters.requests += 1
        if self.faults.reset_on_request and req.transport is not None:
            reset_connection(req.transport)
            return web.Response(status=500)
        if self.faults.fail_fast:
            self.counters.failed_fast += 1
            return self._make_response(
                request, 500, {"message": "failed"}, Reason.TARGET_ERROR
            )
        refusal = self._refuse_work(request)
        if refusal is not None:
            return refusal
        if self._is_poisoned(request):
            return self._crash_on_poison(request)
        work = self._work_slots.register(request.request_id)
        try:
            return await self._queue_and_run(req, request, work)
        finally:
            self._work_slots.unregister(work)
            self._record_load(0)

    def _refuse_work(self, request: _WorkRequest) -> web.Response | None:
        """Return a response that refuses the work, or None to accept it."""
        if self.faults.draining:
            self.counters.refused_draining += 1
            return self._make_not_run_response(request, 503, Reason.DRAINING)
        service = self._services.get(request.service)
        if service is None or not service.has_shard(
            request.shard, request.index_version, request.generation
        ):
            self.counters.refused_snapshot += 1
            return self._make_not_run_response(request, 409, Reason.OTHER_SNAPSHOT)
        if self.cfg.cold_refuses and self._cold_fraction() > 0:
            self.counters.refused_cold += 1
            return self._make_not_run_response(request, 503, Reason.COLD)
        return None

    def _is_poisoned(self, request: _WorkRequest) -> bool:
        query = request.body.get("query")
        query_poison = query.get("poison") if isinstance(query, Mapping) else None
        return request.body.get("poison") is True or query_poison is True

    def _crash_on_poison(self, request: _WorkRequest) -> web.Response:
        now = self._clock.monotonic()
        self._record_execution(
            request, now, self._work_slots.running + 1, WorkOutcome.CRASHED
        )
        self.counters.crashes += 1
        self.crash_for(self.cfg.crash_down_s)
        return web.Response(status=500)

    async def _queue_and_run(
        self, req: web.BaseRequest, request: _WorkRequest, work: Work
    ) -> web.StreamResponse:
        self._record_load(1)
        outcome = await self._work_slots.acquire(work)
        if outcome is WorkOutcome.OVERLOADED:
            self.counters.refused_overloaded += 1
            return self._make_not_run_response(request, 503, Reason.OVERLOADED)
        if outcome is not WorkOutcome.DONE:
            self.counters.cancelled += outcome is WorkOutcome.CANCELLED
            return self._make_not_run_response(request, 499, Reason.CANCELLED)
        try:
            if self._clock.monotonic() >= request.deadline:
                self.counters.refused_deadline += 1
                return self._make_not_run_response(request, 503, Reason.TIMEOUT)
            outcome = await self._execute(request, work)
        finally:
            self._work_slots.release()
        if self.faults.answer_delay_s:
            await self._clock.sleep(self.faults.answer_delay_s)
        return self._respond_to_finished_work(req, request, outcome)

    async def _execute(self, request: _WorkRequest, work: Work) -> WorkOutcome:
        running = self._work_slots.running
        peak = self.counters.peak_in_flight
        self.counters.peak_in_flight = max(peak, running)
        start = self._clock.monotonic()
        # A booking that has started is finished even after its deadline.
        limit = request.deadline - start if request.verb == "search" else math.inf
        outcome = WorkOutcome.CRASHED
        try:
            outcome = await self._work_slots.run(work, self._draw_duration(), limit)
        finally:
            self._record_execution(request, start, running, outcome)
        return outcome

    def _draw_duration(self) -> float:
        seconds = draw_service_time(self.cfg, self._rng)
        if self._rng.random() < self.faults.straggle_share:
            seconds *= self.faults.straggle
        return seconds * (1 + (self.cfg.cold_factor - 1) * self._cold_fraction())

    def _cold_fraction(self) -> float:
        """Return 1.0 at a cold start, falling linearly to 0.0 once warm."""
        if self.cfg.cold_s <= 0:
            return 0.0
        warm = (self._clock.monotonic() - self._cold_since) / self.cfg.cold_s
        return max(0.0, 1.0 - warm)

    def _record_execution(
        self, request: _WorkRequest, start: float, running: int, outcome: WorkOutcome
    ) -> None:
        self.counters.executions += 1
        self.counters.cancelled += outcome is WorkOutcome.CANCELLED
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
                ended=outcome.value,
                in_flight=running,
            )
        )

    def _respond_to_finished_work(
        self, req: web.BaseRequest, request: _WorkRequest, outcome: WorkOutcome
    ) -> web.StreamResponse:
        if outcome is WorkOutcome.CANCELLED:
            return self._make_response(request, 499, {}, Reason.CANCELLED)
        if outcome is WorkOutcome.TIMEOUT:
            return self._make_response(request, 504, {}, Reason.TIMEOUT)
        try:
            result = self._result_body(request)
        except (AttributeError, TypeError) as exc:
            # The query is malformed, for example a value has the wrong type.
            reason = Reason.TARGET_ERROR
            return self._make_response(request, 400, {"message": repr(exc)}, reason)
        response = self._make_response(request, 200, result)
        if self.faults.forged_id is not None:
            response.headers[api.REQUEST_ID] = self.faults.forged_id
        if self.faults.reset_after_bytes is not None and req.transport is not None:
            self._write_truncated(
                req.transport, response, self.faults.reset_after_bytes
            )
        return response

    def _write_truncated(
        self, transport: asyncio.Transport, response: web.Response, count: int
    ) -> None:
        head = [f"HTTP/1.1 {response.status} OK"]
        head += [f"{name}: {value}" for name, value in response.headers.items()]
        head.append(f"Content-Length: {len(response.body)}")
        raw = "\r\n".join(head).encode() + b"\r\n\r\n" + response.body
        transport.write(raw[:count])
        reset_connection(transport)

    def _result_body(self, request: _WorkRequest) -> dict[str, Any]:
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

    def _make_not_run_response(
        self, request: _WorkRequest, status: int, reason: Reason
    ) -> web.Response:
        response = self._make_response(request, status, {"outcome": "not_run"}, reason)
        response.headers[api.NOT_RUN] = "true"
        return response

    def _make_response(
        self,
        request: _WorkRequest | None,
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

    def _record_load(self, arriving: int) -> None:
        if self.faults.load_lag_s > 0:
            load = self._work_slots.in_flight + arriving
            self._load_samples.append((self._clock.monotonic(), load))

    def _reported_load(self) -> int:
        if self.faults.reported_load is not None:
            return self.faults.reported_load
        if self.faults.load_lag_s <= 0:
            return self._work_slots.in_flight
        sampled_before = self._clock.monotonic() - self.faults.load_lag_s
        while (
            len(self._load_samples) > 1 and self._load_samples[1][0] <= sampled_before
        ):
            self._load_samples.popleft()
        return self._load_samples[0][1]
