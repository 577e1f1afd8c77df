"""TCP options of HTTP connections."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

MAX_UNSENT_BYTES = 128 * 1024
"""Bytes that the kernel takes before it can send them.

Without this it would hold some megabytes for each reader that is too slow, which the
process could not count.
"""


def set_tcp_options(transport: asyncio.BaseTransport, user_timeout_ms: int) -> None:
    """Disable Nagle's algorithm, and limit unsent bytes and unacknowledged time."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)


def untaken_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many written bytes the other end has not acknowledged.

    The buffer of the transport alone would show no progress of a slow reader while the
    kernel's buffer, of up to some megabytes, drains.
    """
    sock = transport.get_extra_info("socket")
    in_kernel = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return transport.get_write_buffer_size() + struct.unpack("i", in_kernel)[0]


class StallMeter:
    """Tells for how long the other end has taken none of the written bytes."""

    __slots__ = ("_since", "_untaken")

    def __init__(self, untaken: int, now: float):
        """Start at a monotonic time in seconds with some bytes that are not taken."""
        self._untaken = untaken
        self._since = now

    def stalled_s(self, untaken: int, now: float) -> float:
        """Return the seconds since the other end last took bytes.

        Nothing else may be written meanwhile.
        """
        if untaken < self._untaken:
            self._since = now
        self._untaken = untaken
        return now - self._since
