"""Callers outside the limits must not end a gateway, fill its memory or block others.

Each crowd would take more than the memory or the descriptors in the settings if the
gateway held all that it sends or asks for. Its connections are open until the end.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from test.pressure.system import LIMITS, SLOW_PATH, System

CROWD = 200
HEAD_BYTES = 65_136
COMPLETE_HEAD_BYTES = 52_000
"""The server counts a byte more for each line of a complete head."""

READERS = 20
UNREAD_REQUESTS = 200
UNREAD_ANSWER_BYTES = 128 * 1024
IDLE_CONNECTIONS = 900
BODY_BYTES = LIMITS["maxBodyBytes"]

HEAD = b" %b HTTP/1.1\r\nHost: h\r\nRequest-Id: c1\r\n"
ONE = HEAD % b"/one/x"
SLOW = HEAD % SLOW_PATH
STUCK = HEAD % b"/stuck/x"


@pytest.fixture
async def start(tmp_path):
    """Return a function that starts a system; it is stopped after the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def start_system(**options) -> System:
            system = System(tmp_path, **options)
            stack.push_async_callback(system.stop)
            await system.start()
            return system

        yield start_system


async def press(system: System, count: int, parts: list[bytes]) -> None:
    """Let a crowd connect, then send the parts and read nothing; check the bounds."""
    socks: list[socket.socket] = []
    senders: list[asyncio.Task] = []
    try:
        for _ in range(count):
            with contextlib.suppress(OSError):
                socks.append(await system.connect())
        senders += [asyncio.create_task(send(sock, parts)) for sock in socks]
        await system.settle()
        system.check_bounds()
        await system.get_answer()
        system.check_bounds()
    finally:
        for sender in senders:
            sender.cancel()
        await asyncio.gather(*senders, return_exceptions=True)
        for sock in socks:
            sock.close()


async def send(sock: socket.socket, parts: list[bytes]) -> None:
    """Send the parts until the connection is closed."""
    with contextlib.suppress(OSError):
        for part in parts:
            await asyncio.get_running_loop().sock_sendall(sock, part)


@pytest.mark.parametrize(
    "line", [b"a:\r\n", b"X:1\r\n", b"!:\t\r\n"], ids=["empty", "short", "odd"]
)
@pytest.mark.parametrize("end", [b"", b"\r\n"], ids=["open", "complete"])
async def test_heads_of_very_many_lines(start, line, end):
    # Guards against header lines that cost many times their bytes; complete ones wait
    # for a target that answers late.
    system = await start()
    size = COMPLETE_HEAD_BYTES if end else HEAD_BYTES
    lines = line * (size // len(line))
    await press(system, CROWD, [b"GET" + SLOW + lines + end])


async def test_bodies_announced_far_over_the_limit(start):
    system = await start()
    head = b"POST" + ONE + b"Content-Length: %d\r\n\r\n" % (100 * BODY_BYTES)
    await press(system, READERS, [head, *[b"x" * BODY_BYTES] * 16])


async def test_bodies_sent_in_chunks_far_over_the_limit(start):
    # Guards against what is held of a body until the limit is reached, and after that.
    system = await start()
    head = b"POST" + ONE + b"Transfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (32_768, b"x" * 32_768)
    await press(system, CROWD, [head, *[chunk] * (3 * BODY_BYTES // 32_768)])


async def test_bodies_that_never_end(start):
    # Guards against bodies inside the limit that add up to more than the memory.
    system = await start()
    head = b"POST" + ONE + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    await press(system, CROWD, [head, b"x" * (BODY_BYTES - 1)])


async def test_answers_that_are_never_read(start):
    # Guards against answers to pipelined requests that collect in the process.
    system = await start(answer_bytes=UNREAD_ANSWER_BYTES)
    requests = (b"GET" + ONE + b"\r\n") * UNREAD_REQUESTS
    await press(system, READERS, [requests])


async def test_very_many_idle_connections(start):
    # Guards against a process that has no descriptor left for an ordinary caller.
    system = await start()
    await press(system, IDLE_CONNECTIONS, [])


async def test_requests_to_a_target_that_reads_nothing(start):
    # Guards against requests that are held for a target and again for their callers.
    system = await start()
    head = b"POST" + STUCK + b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    await press(system, CROWD, [head + b"x" * BODY_BYTES])
