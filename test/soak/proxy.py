"""A loopback proxy that delays, holds, silences or resets connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

Address = tuple[str, int]

CHUNK_BYTES = 65_536
RESET_LINGER = struct.pack("ii", 1, 0)


class Proxy:
    """Passes bytes between its own address and a target's, with faults."""

    def __init__(self, target: Address):
        self.target = target
        self.address: Address = ("", 0)
        self.delay_s = 0.0
        self._forward = _open_gate()
        self._back = _open_gate()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def hold(self, forward: bool, back: bool) -> None:
        """Stop one or both directions; new connections hang too."""
        if forward:
            self._forward.clear()
        if back:
            self._back.clear()

    def heal(self) -> None:
        """Pass everything on again; what was held comes late."""
        self.delay_s = 0.0
        self._forward.set()
        self._back.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if not writer.transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()

    async def stop(self) -> None:
        """Close everything; one that has not started stays closed."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        other = None
        try:
            await self._forward.wait()
            other_reader, other = await asyncio.open_connection(*self.target)
            self._writers |= {writer, other}
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, other, self._forward))
                group.create_task(self._pump(other_reader, writer, self._back))
        except (OSError, ExceptionGroup):
            writer.transport.abort()
        finally:
            for end in (writer, other):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await gate.wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        await gate.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()


def _open_gate() -> asyncio.Event:
    gate = asyncio.Event()
    gate.set()
    return gate
