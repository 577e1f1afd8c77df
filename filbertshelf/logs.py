"""Where the log lines of an instance go."""

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


class _LazyFile:
    """A text file whose flush is left to `LogFile`.

    eliot flushes after each message; one system call for each of the hundreds of
    decisions of a query would cost more than the messages themselves.
    """

    def __init__(self, file: TextIO):
        self._file = file

    def write(self, text: str) -> None:
        """Write to the file's buffer; raise `TypeError` for bytes."""
        self._file.write(text)

    def flush(self) -> None:
        """Leave the flush to the owner."""


class LogFile(mode.Service):
    """Owns where the log goes: a file, or standard output without one.

    Lines are at most 0.1 s late in a file. Standard output is never waited for.
    """

    def __init__(self, cfg: Settings):
        super().__init__()
        self._cfg = cfg
        self._file: TextIO | None = None
        self._destination: eliot.FileDestination | None = None

    async def on_start(self) -> None:
        """Send eliot's messages to the file, or to standard output."""
        if not self._cfg.log_file:
            await self.add_runtime_dependency(LogPipe(STDOUT, _note_dropped))
            return
        self._file = Path(self._cfg.log_file).open("a", encoding="utf-8")  # noqa: ASYNC230, SIM115
        self._destination = eliot.FileDestination(file=_LazyFile(self._file))
        eliot.add_destinations(self._destination)

    @mode.Service.task
    async def _flush(self) -> None:
        while not self.should_stop and self._cfg.log_file:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self._file.flush()

    async def on_shutdown(self) -> None:
        """Write what is buffered and close the file."""
        if self._destination is not None:
            eliot.remove_destination(self._destination)
        if self._file is not None:
            self._file.close()


def _note_dropped(count: int) -> None:
    events.emit(events.LOG_LINES_DROPPED, count=count)
