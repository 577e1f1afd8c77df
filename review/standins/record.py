"""The record of what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines with the seconds since the start, and writes them to a file."""

    def __init__(self, path: Path):
        self._path = path
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():8.3f} {text}")

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(text, flush=True)

    def write(self) -> None:
        """Write the lines to the file."""
        self._path.write_text("\n".join((*self._lines, "")), encoding="utf-8")
