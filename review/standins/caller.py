"""A stand-in of a requester with one kept connection."""

from __future__ import annotations

import asyncio
import itertools

from standins.http import Message, read_message, render_request

HOST = "review.example"
ANSWER_WAIT_S = 1.0
"""How long after its time budget an answer is still awaited, in seconds."""

_ids = itertools.count(1)


def next_id() -> str:
    """Return a new request id."""
    return f"{next(_ids):016x}"


class Caller:
    """Sends one request at a time and keeps its connection as long as it may."""

    def __init__(self, address: tuple[str, int]):
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_s: float,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Message | None:
        """Return the answer, or None if the connection ends without one."""
        try:
            async with asyncio.timeout(deadline_s + ANSWER_WAIT_S):
                await self._connect()
                fields = {
                    "Host": HOST,
                    "Request-Id": request_id,
                    "Request-Deadline-Ms": str(int(deadline_s * 1000)),
                    **(headers or {}),
                }
                self._writer.write(render_request(method, path, fields, body))
                answer = await read_message(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None
        if answer.headers.get("connection") == "close":
            self.close()
        return answer

    async def _connect(self) -> None:
        if self._writer is not None and self._reader.at_eof():
            self.close()
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(*self.address)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
