"""Callers that reuse a keep-alive connection until the gateway closes it."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket

from test.soak.gateways import GatewayProcess
from test.soak.history import CallerRequest, History

DEADLINE_S = {"all": 0.8, "one": 2.0, "book": 2.0, "move": 2.0}
LATE_ANSWER_WAIT_S = 1.0
"""How long a caller reads past its deadline, in seconds, to detect late answers."""

UNREAD_REQUEST = b"GET /no-route/ HTTP/1.1\r\nHost: soak.example\r\n\r\n"
"""A request without a deadline, which is answered with 400 and runs on no target."""

UNREAD_REQUESTS = 10_000
"""Their answers take 700 KB; the kernel alone holds those of 2,000."""

RECEIVE_BYTES = 4_096
"""The receive buffer of a caller that hardly reads, small so that answers wait."""


async def send_without_reading(gateway: GatewayProcess, read_bytes: int) -> None:
    """Pipeline requests and read a few bytes of the answers a second, or none.

    A connection that ends is replaced by another until the task is cancelled.
    """
    loop = asyncio.get_running_loop()
    while True:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.setblocking(False)
        writer = None
        try:
            await loop.sock_connect(sock, (gateway.ip, gateway.ports["front"]))
            reader, writer = await asyncio.open_connection(
                sock=sock, limit=RECEIVE_BYTES
            )
            writer.write(UNREAD_REQUEST * UNREAD_REQUESTS)
            while not writer.is_closing():
                await asyncio.sleep(1.0)
                if read_bytes and not await reader.read(read_bytes):
                    break
        except OSError:
            await asyncio.sleep(1.0)
        finally:
            sock.close() if writer is None else writer.transport.abort()


class Caller:
    """Sends requests one after another, mostly on the same connection."""

    _numbers = itertools.count(1)

    def __init__(self, history: History, gateways: list[GatewayProcess], seed: int):
        self._history = history
        self._gateways = gateways
        self._rng = random.Random(seed)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._gateway: GatewayProcess | None = None
        self._stopped = False

    async def run(self) -> None:
        """Send requests until `stop` is called, and finish the last one."""
        while not self._stopped:
            await self._send_request(self._rng.choice(list(DEADLINE_S)))
            await asyncio.sleep(self._rng.uniform(0.0, 0.15))
        self._close_connection()

    def stop(self) -> None:
        """Stop after the current request."""
        self._stopped = True

    async def send_once(self, gateway: GatewayProcess, route: str) -> CallerRequest:
        """Send one request to a gateway on a new connection and return its record."""
        self._close_connection()
        await self._connect(gateway)
        request = await self._send_request(route)
        self._close_connection()
        return request

    async def _connect(self, gateway: GatewayProcess) -> None:
        self._gateway = gateway
        try:
            async with asyncio.timeout(1.0):
                self._reader, self._writer = await asyncio.open_connection(
                    *gateway.caller_address
                )
        except (OSError, TimeoutError):
            self._close_connection()

    def _choose_gateway(self) -> GatewayProcess:
        usable = [gateway for gateway in self._gateways if gateway.in_rotation]
        return self._rng.choice(usable or self._gateways)

    async def _send_request(self, route: str) -> CallerRequest | None:
        if self._writer is None or self._rng.random() < 0.05:
            self._close_connection()
            await self._connect(self._choose_gateway())
        if self._writer is None:
            await asyncio.sleep(0.1)
            return None
        number = next(self._numbers)
        request = CallerRequest(
            request_id=f"r{number:08x}",
            method="POST" if route == "book" else "GET",
            path=f"/{route}/{number}",
            body=b"booking %d" % number if route == "book" else b"",
            gateway=self._gateway.name,
            boot=self._gateway.boot,
            sent_at=self._history.now(),
        )
        self._history.requests.append(request)
        await self._exchange_messages(request, DEADLINE_S[route])
        request.ended_at = self._history.now()
        return request

    async def _exchange_messages(
        self, request: CallerRequest, deadline_s: float
    ) -> None:
        head = (
            f"{request.method} {request.path} HTTP/1.1\r\nHost: soak.example\r\n"
            f"Request-Id: {request.request_id}\r\n"
            f"Request-Deadline-Ms: {int(deadline_s * 1000)}\r\n"
            f"Content-Length: {len(request.body)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(deadline_s + LATE_ANSWER_WAIT_S):
                self._writer.write(head.encode() + request.body)
                keep_alive = await self._read_response(request)
        except TimeoutError:
            request.reason = "timed out without a complete answer"
            keep_alive = False
        except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
            request.status = 0
            request.reason = f"connection failed: {type(exc).__name__}"
            keep_alive = False
        if not keep_alive:
            self._close_connection()

    async def _read_response(self, request: CallerRequest) -> bool:
        """Read a complete response and return whether the connection stays open."""
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(": ")
            headers[name.lower()] = value
        length = int(headers["content-length"])
        request.answer = await self._reader.readexactly(length)
        request.status = int(lines[0].split(" ")[1])
        request.stamp = headers.get("server-stamp", "")
        request.says_leaving = headers.get("server-leaving") == "1"
        stamps = headers.get("part-stamps", "")
        request.part_stamps = tuple(s.strip() for s in stamps.split(",") if s.strip())
        request.missing_parts = int(headers.get("missing-parts", 0))
        return headers.get("connection") != "close"

    def _close_connection(self) -> None:
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
