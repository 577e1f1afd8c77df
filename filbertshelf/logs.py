"""The destination of an instance's log lines."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TextIO

import eliot
import mode

from filbertshelf import events
from filbertshelf.settings import Settings
from filbertshelf.transport.log_pipe import LogPipe

FLUSH_PERIOD_S = 0.1
STDOUT = 1


class _DeferredFlushFile:
    """A text file that ignores `flush`; `LogDestination` flushes it periodically.

    eliot flushes after each message. A query logs hundreds of decisions, and one system
    call for each would cost more than the messages themselves.
    """

    def __init__(self, file: TextIO):
        self._file = file

    def write(self, text: str) -> None:
        """Write to the file's buffer.

        Raises `TypeError` for bytes.
        """
        self._file.write(text)

    def flush(self) -> None:
        """Do nothing, as `LogDestination` flushes the file."""


class LogDestination(mode.Service):
    """Writes log messages to the configured file, or to standard output without one.

    A file is flushed every 0.1 s. Writes to standard output never block.
    """

    def __init__(self, cfg: Settings):
        super().__init__()
        self._cfg = cfg
        self._file: TextIO | None = None
        self._destination: eliot.FileDestination | None = None

    async def on_start(self) -> None:
        """Add the file or standard output as a destination of eliot's messages."""
        if not self._cfg.log_file:
            await self.add_runtime_dependency(LogPipe(STDOUT, _log_dropped_lines))
            return
        self._file = Path(self._cfg.log_file).open("a", encoding="utf-8")  # noqa: ASYNC230, SIM115
        self._destination = eliot.FileDestination(file=_DeferredFlushFile(self._file))
        eliot.add_destinations(self._destination)

    @mode.Service.task
    async def _flush(self) -> None:
        while not self.should_stop and self._cfg.log_file:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self._file.flush()

    async def on_shutdown(self) -> None:
        """Flush and close the file."""
        if self._destination is not None:
            eliot.remove_destination(self._destination)
        if self._file is not None:
            self._file.close()


def _log_dropped_lines(count: int) -> None:
    events.emit(events.LOG_LINES_DROPPED, count=count)
