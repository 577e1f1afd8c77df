"""A loopback TCP proxy that delays, stalls or resets connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from filbertshelf.addresses import Address

CHUNK_BYTES = 65_536
ENDLESS_BYTES = {
    "head": b"X-Filler: 1\r\n",
    "chunks": b"4\r\nabcd\r\n",
    "no HTTP": b"\x00\xff\x07",
}
"""Bytes that are no answer, repeated until the other end closes the connection."""

ENDLESS_START = {
    "head": b"HTTP/1.1 200 OK\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "no HTTP": b"",
}
RESET_LINGER = struct.pack("ii", 1, 0)
"""SO_LINGER with a time of 0, which makes closing send a TCP reset."""


class Proxy:
    """Forwards bytes between its address and a target's, and injects faults."""

    def __init__(self, target: Address):
        self.target = target
        self.address: Address = ("", 0)
        self.delay_s = 0.0
        self.endless = ""
        """The kind of bytes sent instead of answers, a key of `ENDLESS_BYTES`."""
        self._forward_gate = _open_gate()
        self._backward_gate = _open_gate()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stall(self, forward: bool, backward: bool) -> None:
        """Stall one or both directions, on new connections too."""
        if forward:
            self._forward_gate.clear()
        if backward:
            self._backward_gate.clear()

    def heal(self) -> None:
        """End all faults; bytes that were stalled are forwarded now."""
        self.delay_s = 0.0
        self.endless = ""
        self._forward_gate.set()
        self._backward_gate.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if not writer.transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and close all connections, if the proxy was started."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_writer = None
        try:
            await self._forward_gate.wait()
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self._writers |= {writer, target_writer}
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy_bytes(reader, target_writer, self._forward_gate)
                )
                group.create_task(
                    self._copy_bytes(
                        target_reader, writer, self._backward_gate, answers=True
                    )
                )
        except (OSError, ExceptionGroup):
            writer.transport.abort()
        finally:
            for end in (writer, target_writer):
                if end is not None:
                    self._writers.discard(end)
                    end.close()

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gate: asyncio.Event,
        answers: bool = False,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await gate.wait()
            if answers and self.endless:
                await _send_endless(writer, self.endless)
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        await gate.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()


async def _send_endless(writer: asyncio.StreamWriter, kind: str) -> None:
    """Send bytes that are no answer; raises `OSError` once the other end closes."""
    writer.write(ENDLESS_START[kind])
    repeated = ENDLESS_BYTES[kind] * (CHUNK_BYTES // len(ENDLESS_BYTES[kind]))
    while True:
        writer.write(repeated)
        await writer.drain()
        # Other connections must be served between the pieces.
        await asyncio.sleep(0.001)


def _open_gate() -> asyncio.Event:
    gate = asyncio.Event()
    gate.set()
    return gate
