"""Writes log lines to standard output without ever waiting for its reader."""

from __future__ import annotations

import asyncio
import collections
import os
from collections.abc import Callable
from typing import Any

import eliot
import mode
import orjson

MAX_BUFFERED_BYTES = 1_048_576
"""Lines above this are dropped and counted."""

FLUSH_PERIOD_S = 0.2
MAX_WRITE_BYTES = 65_536


class LogPipe(mode.Service):
    """A destination for eliot; what the reader doesn't take in time is dropped."""

    def __init__(self, fd: int, on_dropped: Callable[[int], None]):
        """`on_dropped` gets the number of dropped lines once lines can be written."""
        super().__init__()
        self._fd = fd
        self._on_dropped = on_dropped
        self._lines: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._rest = b""
        self.dropped = 0

    async def on_start(self) -> None:
        """Take eliot's messages from now on."""
        os.set_blocking(self._fd, False)
        eliot.add_destinations(self.take)

    def take(self, message: dict[str, Any]) -> None:
        """Buffer one message."""
        line = orjson.dumps(message, default=str) + b"\n"
        if self._size + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)

    @mode.Service.task
    async def _flush_loop(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._rest or self._lines:
            if not self._rest:
                self._rest = self._next_chunk()
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the lines have nowhere to go.
                self._drop_all()
                return
            self._size -= written
            self._rest = self._rest[written:]
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self._on_dropped(count)

    def _next_chunk(self) -> bytes:
        chunk = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            chunk.append(self._lines.popleft())
            size += len(chunk[-1])
        return b"".join(chunk)

    def _drop_all(self) -> None:
        self.dropped += len(self._lines)
        self._lines.clear()
        self._rest = b""
        self._size = 0

    async def on_shutdown(self) -> None:
        """Write what is left, as far as the reader takes it."""
        eliot.remove_destination(self.take)
        self.flush()
