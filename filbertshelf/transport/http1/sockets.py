"""Options of the sockets that carry HTTP."""

from __future__ import annotations

import asyncio
import socket


def prepare(transport: asyncio.BaseTransport, user_timeout_ms: int) -> None:
    """Send small writes at once, and end a connection that is not acknowledged."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
