"""The connections from this instance to one target."""

from __future__ import annotations

import asyncio
import collections
import json
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import aiohttp
import attrs
import mode

from filbertshelf.addresses import parse_address
from filbertshelf.clock import Clock
from filbertshelf.errors import FilbertshelfError, RunStoppedError
from filbertshelf.protocol import target as api
from filbertshelf.state.outcome import Attempt, Reason, Result
from filbertshelf.state.plan import ShardRef

# Opening a connection costs a target up to 6 ms, so idle ones are kept for minutes.
KEEPALIVE_S = 300.0
CONNECT_TIMEOUT_S = 1.0
HEALTH_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
DOWN_CHECK_TIMEOUT_S = 0.1
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

_REASONS = {reason.value: reason for reason in Reason}


def _allow_write() -> None:
    return None


@attrs.define(eq=False)
class Call:
    """One sub-request; the deadline is in seconds of the monotonic clock.

    `before_write` is called right before the first byte is written and may raise a
    `FilbertshelfError` to stop the call. `on_done` is called exactly once, with the
    call and its attempt.
    """

    sub_id: str
    shard: ShardRef
    verb: str
    body: bytes
    deadline: float
    on_done: Callable[[Call, Attempt], None]
    before_write: Callable[[], None] = _allow_write
    idempotency_key: str = ""
    queued_at: float = 0.0
    started_at: float = 0.0
    written: bool = False
    cancelled: bool = False
    running: bool = False


@attrs.frozen
class TargetReport:
    """The state of a target that it reported in a response."""

    draining: bool
    load: int


class ConcurrencyLimit(Protocol):
    """Limits the concurrent exchanges with a target."""

    @property
    def limit(self) -> int:
        """Return how many exchanges may run concurrently now."""

    def try_start(self) -> bool:
        """Count an exchange, or return False if the limit is reached."""

    def finished(self, latency_s: float, shed: bool = False) -> None:
        """Count the end of an exchange whose latency shows the target's load."""

    def cancelled(self) -> None:
        """Count the end of an exchange that says nothing about the target's load."""


class TargetLink(mode.Service):
    """Owns the connections to one target and runs calls on them."""

    def __init__(
        self,
        name: str,
        address: str,
        quota: int,
        clock: Clock,
        concurrency: ConcurrencyLimit,
        on_report: Callable[[TargetReport], None],
    ):
        super().__init__()
        self.name = name
        self.address = address
        self.quota = quota
        self._clock = clock
        self._on_report = on_report
        self._concurrency = concurrency
        self._waiting: collections.deque[Call] = collections.deque()
        self._pending_cancels: collections.deque[str] = collections.deque()
        self._running: set[asyncio.Task] = set()
        self._down_check: asyncio.Task[bool] | None = None
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Open the session; connections are opened by the first calls."""
        trace = aiohttp.TraceConfig()
        # The signal is sent right before the first byte of the request is written.
        trace.on_request_headers_sent.append(self._before_headers_sent)
        connector = aiohttp.TCPConnector(
            limit=self.quota, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False
        )
        self._session = aiohttp.ClientSession(
            f"http://{self.address}", connector=connector, trace_configs=[trace]
        )

    async def on_stop(self) -> None:
        """End queued calls, wait for running ones, then close the connections."""
        while self._waiting:
            self._finish(self._waiting.popleft(), Result.NOT_RUN, Reason.NO_REPLICA)
        if self._running:
            await asyncio.wait(set(self._running))
        if self._session is not None:
            await self._session.close()

    @property
    def load(self) -> int:
        """Return the number of queued and running calls."""
        return len(self._waiting) + len(self._running)

    @property
    def limit(self) -> int:
        """Return how many calls may run concurrently now."""
        return self._concurrency.limit

    def submit(self, call: Call) -> None:
        """Queue a call; `call.on_done` is called when it has ended."""
        call.queued_at = self._clock.monotonic()
        self._waiting.append(call)
        self._start_waiting()

    def move_waiting(self, other: TargetLink) -> None:
        """Move the queued calls to another link."""
        while self._waiting:
            other.submit(self._waiting.popleft())

    def cancel(self, call: Call) -> None:
        """Cancel a call whose answer is no longer needed.

        A call that is not written yet never runs. If it is running, the target is
        asked to stop it; the response is still read, so that the connection can be
        reused.
        """
        if call.cancelled:
            return
        call.cancelled = True
        if call.running:
            self._pending_cancels.append(call.sub_id)
        self._start_waiting()

    async def warm_up(self) -> None:
        """Open all connections of the quota with concurrent health requests."""
        await asyncio.gather(*(self.probe() for _ in range(self.quota)))

    async def probe(self) -> bool:
        """Return whether a health request succeeds; report the target's state."""
        if self._session is None:
            return False
        timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
        try:
            async with self._session.get("/v1/health", timeout=timeout) as resp:
                await _read_body(resp)
                self._report_state(resp)
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return False

    def _start_waiting(self) -> None:
        while self._pending_cancels or self._waiting:
            if not self._concurrency.try_start():
                return
            if self._pending_cancels:
                self._spawn(self._send_cancel(self._pending_cancels.popleft()))
            elif not self._try_run(self._waiting.popleft()):
                self._concurrency.cancelled()

    def _try_run(self, call: Call) -> bool:
        """Run the call, or end it and return False if it is cancelled or too late."""
        now = self._clock.monotonic()
        if call.cancelled:
            self._finish(call, Result.NOT_RUN, Reason.CANCELLED)
            return False
        if call.deadline <= now:
            self._finish(call, Result.NOT_RUN, Reason.NO_CAPACITY)
            return False
        call.running = True
        call.started_at = now
        self._spawn(self._run(call))
        return True

    def _spawn(self, coro: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coro)
        self._running.add(task)
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        self._start_waiting()

    def _finish(
        self, call: Call, result: Result, reason: Reason, answer: Any = None
    ) -> None:
        latency = self._clock.monotonic() - call.queued_at
        call.running = False
        call.on_done(call, Attempt(self.name, result, reason, answer, latency))

    def _release_slot(self, call: Call, result: Result, reason: Reason) -> None:
        latency = self._clock.monotonic() - call.started_at
        if result is Result.ANSWERED or reason is Reason.TIMEOUT:
            self._concurrency.finished(latency)
        elif reason is Reason.OVERLOADED:
            self._concurrency.finished(latency, shed=True)
        else:
            self._concurrency.cancelled()

    async def _run(self, call: Call) -> None:
        try:
            result, reason, answer = await self._exchange(call)
        except TimeoutError:
            result, reason, answer = _failed_exchange(call, Reason.TIMEOUT)
        except FilbertshelfError:
            reason = Reason.CANCELLED if call.cancelled else Reason.PAUSED
            result, reason, answer = _failed_exchange(call, reason)
        except (aiohttp.ClientResponseError, ValueError):
            result, reason, answer = _failed_exchange(call, Reason.BAD_RESPONSE)
        except (aiohttp.ClientError, OSError):
            result, reason, answer = _failed_exchange(
                call, await self._connection_error_reason(call)
            )
        except BaseException:
            self._concurrency.cancelled()
            self._finish(call, *_failed_exchange(call, Reason.CANCELLED))
            raise
        self._release_slot(call, result, reason)
        self._finish(call, result, reason, answer)

    async def _connection_error_reason(self, call: Call) -> Reason:
        """Return why the connection of a call failed.

        Distinguishes a target that died from one that only closed the connection. A
        target over its connection limit closes new connections, and the queries on
        them must not be counted as crashing the target.
        """
        if not call.written:
            return Reason.CONNECT_FAILED
        if self._down_check is None or self._down_check.done():
            self._down_check = asyncio.create_task(self._is_down())
        down = await asyncio.shield(self._down_check)
        return Reason.CONNECTION_LOST if down else Reason.CONNECTION_CLOSED

    async def _is_down(self) -> bool:
        """Return whether the target's address refuses connections."""
        host, port = parse_address(self.address)
        try:
            async with asyncio.timeout(DOWN_CHECK_TIMEOUT_S):
                _reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            return True
        writer.close()
        return False

    async def _exchange(self, call: Call) -> tuple[Result, Reason, Any]:
        remaining = call.deadline - self._clock.monotonic()
        timeout = aiohttp.ClientTimeout(
            total=max(remaining, 0.001), sock_connect=CONNECT_TIMEOUT_S
        )
        shard = call.shard
        async with self._session.post(
            api.work_path(shard.service, shard.shard, call.verb),
            data=call.body,
            headers=self._headers(call, remaining),
            timeout=timeout,
            trace_request_ctx=call,
        ) as resp:
            raw = await _read_body(resp)
            self._report_state(resp)
            return _classify_response(call, resp, raw)

    def _headers(self, call: Call, remaining: float) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            api.REQUEST_ID: call.sub_id,
            api.INDEX_VERSION: call.shard.index_version,
            api.GENERATION: str(call.shard.generation),
            api.DEADLINE_MS: str(max(1, int(remaining * 1000))),
        }
        if call.idempotency_key:
            headers[api.IDEMPOTENCY_KEY] = call.idempotency_key
        return headers

    async def _before_headers_sent(
        self,
        _session: Any,
        context: Any,
        _params: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        call = context.trace_request_ctx
        if call is None:
            return
        if call.cancelled:
            raise RunStoppedError("the call was cancelled before it was written")
        call.before_write()
        if call.deadline <= self._clock.monotonic():
            raise TimeoutError
        call.written = True

    async def _send_cancel(self, sub_id: str) -> None:
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with self._session.delete(
                f"/v1/work/{sub_id}", timeout=timeout
            ) as resp:
                await _read_body(resp)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return
        finally:
            self._concurrency.cancelled()

    def _report_state(self, resp: aiohttp.ClientResponse) -> None:
        load = resp.headers.get(api.LOAD, "")
        draining = resp.headers.get(api.STATE) == api.DRAINING
        self._on_report(TargetReport(draining, int(load) if load.isdecimal() else 0))


async def _read_body(resp: aiohttp.ClientResponse) -> bytes:
    parts = []
    size = 0
    async for part in resp.content.iter_any():
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            resp.close()
            raise ValueError("the target's response is too large")
        parts.append(part)
    return b"".join(parts)


def _failed_exchange(call: Call, reason: Reason) -> tuple[Result, Reason, Any]:
    """Return the result of a call whose exchange failed."""
    if call.written:
        return Result.UNKNOWN, reason, None
    return Result.NOT_RUN, reason, None


def _classify_response(
    call: Call, resp: aiohttp.ClientResponse, raw: bytes
) -> tuple[Result, Reason, Any]:
    """Classify a complete response to the call.

    A response with another request id belongs to another call, so the result of this
    one is unknown.
    """
    headers = resp.headers
    if headers.get(api.REQUEST_ID) != call.sub_id:
        return Result.UNKNOWN, Reason.BAD_RESPONSE, None
    if headers.get(api.NOT_RUN) == "true" and resp.status in (409, 503):
        reason = _REASONS.get(headers.get(api.REASON, ""), Reason.OVERLOADED)
        return Result.NOT_RUN, reason, None
    if resp.status == 499:
        return Result.UNKNOWN, Reason.CANCELLED, None
    if resp.status != 200:
        return Result.UNKNOWN, Reason.TARGET_ERROR, None
    same_version = headers.get(api.INDEX_VERSION) == call.shard.index_version
    same_generation = headers.get(api.GENERATION) == str(call.shard.generation)
    if not (same_version and same_generation):
        return Result.UNKNOWN, Reason.OTHER_SNAPSHOT, None
    try:
        answer = json.loads(raw)
    except ValueError:
        return Result.UNKNOWN, Reason.BAD_RESPONSE, None
    if not isinstance(answer, dict):
        return Result.UNKNOWN, Reason.BAD_RESPONSE, None
    return Result.ANSWERED, Reason.NONE, answer
