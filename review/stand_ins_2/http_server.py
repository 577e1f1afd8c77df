"""A small HTTP/1.1 server and client for stand-ins; bodies have a length."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

PHRASES = {200: "OK", 404: "Not Found", 421: "Misdirected Request"}
"""Others are sent with a dash, as the phrase has no meaning."""


@dataclasses.dataclass
class Request:
    """A request that has been read to its end."""

    method: str
    target: str
    fields: dict[str, str]
    """Values by the names of the headers in lower case."""
    body: bytes


@dataclasses.dataclass
class Reply:
    """The response to a request."""

    status: int
    fields: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    endless_block: bytes = b""
    """Chunks that are sent until the caller closes, if there are any."""


Handler = Callable[[Request], Awaitable[Reply | None]]
"""Returns the reply, or None to close the connection without one."""


class HttpServer:
    """Serves one request after the other on each connection."""

    def __init__(self, ip: str, handler: Handler):
        self._ip = ip
        self._port = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Return the address as IP:PORT; the port stays the same when restarted."""
        return f"{self._ip}:{self._port}"

    async def start(self) -> None:
        """Listen, the first time on a free port."""
        self._server = await asyncio.start_server(self._serve, self._ip, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            if task is not asyncio.current_task():
                task.cancel()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while (req := await _read_request(reader)) is not None:
                reply = await self._handler(req)
                if reply is None:
                    break
                writer.write(_encode_reply(reply))
                await writer.drain()
                while reply.endless_block:
                    writer.write(reply.endless_block)
                    await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            # The peer has left, or the server was stopped.
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    fields = _parse_fields(lines[1:])
    length = int(fields.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, fields, body)


async def _read_head(reader: asyncio.StreamReader) -> bytes | None:
    try:
        return (await reader.readuntil(b"\r\n\r\n"))[:-4]
    except asyncio.IncompleteReadError:
        return None


def _parse_fields(lines: list[str]) -> dict[str, str]:
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return fields


def _encode_reply(reply: Reply) -> bytes:
    lines = [f"HTTP/1.1 {reply.status} {PHRASES.get(reply.status, '-')}"]
    lines += [f"{name}: {value}" for name, value in reply.fields]
    if reply.endless_block:
        lines += ["Transfer-Encoding: chunked", "", ""]
    else:
        lines += [f"Content-Length: {len(reply.body)}", "", ""]
    return "\r\n".join(lines).encode() + reply.body


@dataclasses.dataclass
class Answer:
    """What a client got; the status is 0 if no complete answer came."""

    status: int
    fields: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


async def send_request(
    address: tuple[str, int],
    head: list[str],
    body: bytes = b"",
    timeout: float = 6.0,
) -> Answer:
    """Send a request on a new connection and return the answer.

    `head` has the request line and the headers but the length of the body.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            lines = [*head, f"Content-Length: {len(body)}"] if body else head
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            return await _read_answer(reader)
    except (OSError, EOFError, TimeoutError):
        return Answer(0)
    finally:
        if writer is not None:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = await _read_head(reader)
    if head is None:
        return Answer(0)
    lines = head.decode("latin-1").split("\r\n")
    fields = _parse_fields(lines[1:])
    length = int(fields.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Answer(int(lines[0].split(" ")[1]), fields, body)
