"""Where log lines go: a buffered file destination for eliot."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import TextIO

import eliot
import mode

from filbertshelf.settings import Settings

FLUSH_PERIOD_S = 0.1


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
    """Owns the log file of the settings; lines are at most 0.1 s late in it."""

    def __init__(self, cfg: Settings):
        super().__init__()
        self._cfg = cfg
        self._file: TextIO = sys.stderr
        self._destination: eliot.FileDestination | None = None

    async def on_start(self) -> None:
        """Open the file and send eliot's messages to it."""
        if self._cfg.log_file:
            self._file = Path(self._cfg.log_file).open("a", encoding="utf-8")  # noqa: ASYNC230, SIM115
        self._destination = eliot.FileDestination(file=_LazyFile(self._file))
        eliot.add_destinations(self._destination)

    @mode.Service.task
    async def _flush(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self._file.flush()

    async def on_shutdown(self) -> None:
        """Write what is buffered and close the file."""
        if self._destination is not None:
            eliot.remove_destination(self._destination)
        self._file.flush()
        if self._file is not sys.stderr:
            self._file.close()
