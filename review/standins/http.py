"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio
import dataclasses

PHRASES = {
    200: "OK",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclasses.dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Return the next message, whose body has a length.

    Raises `asyncio.IncompleteReadError` if the connection ends before.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start, headers, body)


def render_response(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return the bytes of a response whose body has a length."""
    lines = [f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


def render_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request whose body has a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body
