"""TCP options of HTTP connections."""

from __future__ import annotations

import asyncio
import socket


def set_tcp_options(transport: asyncio.BaseTransport, user_timeout_ms: int) -> None:
    """Disable Nagle's algorithm, and limit the time without an acknowledgement."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
