"""A log destination that writes to a pipe without blocking on its reader."""

from __future__ import annotations

import asyncio
import collections
import os
from collections.abc import Callable
from typing import Any

import eliot
import mode
import orjson

from filbertshelf.json_values import shown

MAX_BUFFERED_BYTES = 1_048_576
"""Log lines that would exceed this size of the buffer are dropped and counted."""

FLUSH_PERIOD_S = 0.2
MAX_WRITE_BYTES = 65_536


class LogPipe(mode.Service):
    """An eliot destination that drops lines if the reader of the pipe is too slow."""

    def __init__(self, fd: int, on_dropped: Callable[[int], None]):
        """Create a destination that writes to the file descriptor `fd`.

        `on_dropped` is called with the number of dropped lines as soon as the buffer
        has been written.
        """
        super().__init__()
        self._fd = fd
        self._on_dropped = on_dropped
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unwritten = b""
        self.dropped = 0

    async def on_start(self) -> None:
        """Start to receive eliot's messages."""
        os.set_blocking(self._fd, False)
        eliot.add_destinations(self.buffer_message)

    def buffer_message(self, message: dict[str, Any]) -> None:
        """Add a message to the buffer, or drop it if the buffer is full."""
        line = _encode_line(message)
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)

    @mode.Service.task
    async def _flush_loop(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the pipe accepts without blocking."""
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so the lines can't be written.
                self._drop_all()
                return
            self._buffered_bytes -= written
            self._unwritten = self._unwritten[written:]
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
        self._unwritten = b""
        self._buffered_bytes = 0

    async def on_shutdown(self) -> None:
        """Write the rest of the buffer as far as the pipe accepts it."""
        eliot.remove_destination(self.buffer_message)
        self.flush()


def _encode_line(message: dict[str, Any]) -> bytes:
    """Return a message as a line; a value that JSON can't hold is shown as text."""
    try:
        return orjson.dumps(message, default=str) + b"\n"
    except TypeError:
        fields = {name: _encodable(value) for name, value in message.items()}
        return orjson.dumps(fields, default=str) + b"\n"


def _encodable(value: Any) -> Any:
    try:
        orjson.dumps(value, default=str)
    except TypeError:
        return shown(value)
    return value
