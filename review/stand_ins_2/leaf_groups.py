"""Starts processes with many leafs each, and tells them what to do."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

MAX_LINE_BYTES = 1024 * 1024


class LeafGroup:
    """A process with some leafs on one address."""

    def __init__(self, ip: str, count: int):
        self._ip = ip
        self._count = count
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> list[dict]:
        """Start the process and return the id and the address of each leaf."""
        program = Path(__file__).with_name("leaf_process.py")
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(program),
            self._ip,
            str(self._count),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_LINE_BYTES,
        )
        return json.loads(await self._process.stdout.readline())

    async def tell(self, command: str) -> int:
        """Send a command; return how many answers without an end were begun."""
        self._process.stdin.write(f"{command}\n".encode())
        return int(await self._process.stdout.readline())

    async def close(self) -> None:
        """End the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
