"""The HTTP server for callers."""

from __future__ import annotations

import asyncio
import contextlib
import uuid
from collections.abc import Awaitable, Callable
from typing import Protocol

import mode
from aiohttp import web

from filbertshelf import events
from filbertshelf.errors import (
    BodyTooLargeError,
    FilbertshelfError,
    InternalError,
    PathError,
    RequestError,
    StoppingError,
    UnfinishedError,
    UserError,
)
from filbertshelf.metrics import Metrics
from filbertshelf.protocol.caller import (
    MAX_BODY_BYTES,
    CallerRequest,
    answer_doc,
    answer_status,
    error_doc,
    parse_booking,
    parse_query,
)
from filbertshelf.settings import Settings
from filbertshelf.state.outcome import Answer

READ_TIMEOUT_S = 10.0  # The limit for receiving the body of a request.


class Handler(Protocol):
    """The operations of the instance that the caller server calls."""

    async def query(self, request_id: str, req: CallerRequest) -> Answer:
        """Return the answer to a query."""

    async def book(self, request_id: str, req: CallerRequest) -> Answer:
        """Return the outcome of a booking."""

    def mint_ticket(self) -> str:
        """Return a new ticket."""

    def ready(self) -> bool:
        """Return whether the instance accepts requests."""

    def status(self) -> dict:
        """Return the state that is shown to operators."""


class CallerServer(mode.Service):
    """Accepts callers' HTTP requests and passes them to the handler."""

    def __init__(self, cfg: Settings, handler: Handler, metrics: Metrics):
        super().__init__()
        self._cfg = cfg
        self._handler = handler
        self._metrics = metrics
        self._runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None
        self.stopping = False
        self._ending = False
        """Whether the requests that still run are being ended."""
        self._running: set[asyncio.Task] = set()
        self._idle = asyncio.Event()
        self._idle.set()
        self.address: tuple[str, int] = cfg.listen

    async def on_start(self) -> None:
        """Listen on the configured address; `address` has the bound port afterwards."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._answer_unknown_paths]
        )
        app.router.add_post("/v1/query", self._handle_query)
        app.router.add_post("/v1/bookings", self._handle_booking)
        app.router.add_post("/v1/tickets", self._handle_ticket)
        app.router.add_get("/v1/health", self._handle_health)
        app.router.add_get("/v1/ready", self._handle_ready)
        app.router.add_get("/v1/status", self._handle_status)
        # A query is cancelled when its caller disconnects; a booking runs in a task of
        # its own and continues.
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=1.0
        )
        await self._runner.setup()
        host, port = self._cfg.listen
        self._site = web.TCPSite(self._runner, host, port, backlog=1024)
        await self._site.start()
        self.address = self._runner.addresses[0][:2]

    @web.middleware
    async def _answer_unknown_paths(
        self,
        req: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Answer a request for an unknown path or method with a typed error."""
        try:
            return await handler(req)
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed):
            exc = PathError(
                f"{req.method} {req.path[:80]} is not in the API",
                "use one of the paths under /v1/ with its method",
            )
            return self._reject("", "", exc)

    async def drain(self, timeout: float) -> int:
        """Stop accepting connections and wait for the requests in flight.

        Returns the number of requests that are still in flight after `timeout`
        seconds. Keep-alive connections stay open until their next response, an answer
        or a refusal, which carries `Connection: close`.
        """
        self.stopping = True
        if self._site is not None:
            await self._site.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        return self.in_flight

    async def end_requests(self) -> None:
        """Answer the requests that still run; their outcome is unknown."""
        self._ending = True
        for task in self._running:
            task.cancel()
        if self._running:
            await self._idle.wait()

    async def on_stop(self) -> None:
        """Close the listener and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle_query(self, req: web.Request) -> web.Response:
        return await self._serve(req, parse_query, self._handler.query)

    async def _handle_booking(self, req: web.Request) -> web.Response:
        return await self._serve(
            req, parse_booking, self._handler.book, has_ticket=True
        )

    async def _serve(
        self,
        req: web.Request,
        parse: Callable[[str, bytes], CallerRequest],
        handle: Callable[[str, CallerRequest], Awaitable[Answer]],
        has_ticket: bool = False,
    ) -> web.Response:
        request_id = uuid.uuid4().hex
        caller = ""
        task = asyncio.current_task()
        self._request_started(task)
        try:
            self._refuse_when_stopping()
            parsed = parse(req.content_type, await _read_body(req))
            caller = parsed.caller
            answer = await handle(request_id, parsed)
            return self._reply(answer_doc(answer), answer_status(answer))
        except FilbertshelfError as exc:
            resp = self._reject(request_id, caller, exc, has_ticket)
            if not _fully_read(req):
                # The server closes a connection with an unread body. Without
                # `Connection: close` the caller would send its next request on it and
                # lose it.
                resp.force_close()
            return resp
        except asyncio.CancelledError:
            if not self._ending:
                raise
            task.uncancel()
            unfinished = UnfinishedError(
                "this instance stopped before it had an answer"
            )
            return self._reject(request_id, caller, unfinished)
        except Exception as exc:
            fault = InternalError(f"{exc!r:.200}: report this to the operators")
            return self._reject(request_id, caller, fault, has_ticket)
        finally:
            self._request_ended(task)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that wait for their answer."""
        return len(self._running)

    def _request_started(self, task: asyncio.Task) -> None:
        self._running.add(task)
        self._idle.clear()

    def _request_ended(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not self._running:
            self._idle.set()

    async def _handle_ticket(self, _req: web.Request) -> web.Response:
        try:
            self._refuse_when_stopping()
            return self._reply({"ticket": self._handler.mint_ticket()}, 201)
        except FilbertshelfError as exc:
            return self._reject("", "", exc)

    async def _handle_health(self, _req: web.Request) -> web.Response:
        return self._reply({"alive": True}, 200)

    async def _handle_ready(self, _req: web.Request) -> web.Response:
        ready = self._handler.ready() and not self.stopping
        return self._reply({"ready": ready}, 200 if ready else 503)

    async def _handle_status(self, _req: web.Request) -> web.Response:
        return self._reply(self._handler.status(), 200)

    def _refuse_when_stopping(self) -> None:
        if self.stopping:
            raise StoppingError(
                "this instance is shutting down", "send the request to another instance"
            )

    def _reject(
        self,
        request_id: str,
        caller: str,
        exc: FilbertshelfError,
        has_ticket: bool = False,
    ) -> web.Response:
        self._metrics.incr(f"rejected.{exc.code}")
        events.emit(
            events.REQUEST_REJECTED,
            request_id=request_id,
            caller=caller,
            code=exc.code,
            reason=exc.message if isinstance(exc, UserError) else str(exc),
        )
        return self._reply(error_doc(request_id, exc, has_ticket), exc.status)

    def _reply(self, doc: dict, status: int) -> web.Response:
        resp = web.json_response(doc, status=status)
        if self.stopping:
            resp.force_close()
        return resp


def _fully_read(req: web.Request) -> bool:
    return req.content.is_eof() and req.content.exception() is None


async def _read_body(req: web.Request) -> bytes:
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await req.read()
    except web.HTTPRequestEntityTooLarge as exc:
        raise BodyTooLargeError(
            f"the body is over {MAX_BODY_BYTES} bytes", "send a smaller request"
        ) from exc
    except (web.RequestPayloadError, ValueError, OSError) as exc:
        raise RequestError(
            f"the body can't be read ({exc!r:.80})",
            "send the whole body with a true Content-Encoding and Content-Length",
        ) from exc
    except TimeoutError as exc:
        raise UserError(
            f"the body did not arrive within {READ_TIMEOUT_S:g} s",
            "send the request again over a faster connection",
        ) from exc
