"""A gateway process with a stand-in store and stand-in targets, and its measures."""

from __future__ import annotations

import asyncio
import itertools
import os
import resource
import socket
from pathlib import Path

from filbertshelf.clock import SystemClock
from filbertshelf.protocol.http_messages import Response, find_field
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.server import HttpServer, Request
from test.platform.store_standin import StoreStandin
from test.soak.gateways import SETTINGS, GatewayProcess

MEMORY_MB = 152
"""The memory of the machine in the settings; the process must stay within it."""

MAX_DESCRIPTORS = 600
"""The descriptors in the settings, which are also the limit of the process."""

RESERVED_DESCRIPTORS = 200
"""Descriptors that the settings reserve for files, so that sockets can't use them."""

LIMITS = {
    "maxHeaderBytes": 65_536,
    "maxBodyBytes": 1_048_576,
    "headerTimeoutMs": 10_000,
    "idleTimeoutMs": 60_000,
}
"""The limits of the configuration; the timeouts exceed the time that a crowd needs."""

GIVE_UP_S = 20.0
"""How long an ordinary caller repeats its request until it counts as not answered."""

SETTLED_S = 1.5
"""A gateway that changes nothing for this many seconds has handled what was sent."""

SLOW_PATH = b"/one/slow"
ANSWER_DELAY_S = 5.0

ORDINARY = b"GET /one/x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n"

_hosts = itertools.count(1)


class Target:
    """Answers all requests with bodies of one size, those of `SLOW_PATH` late."""

    def __init__(self, answer_bytes: int):
        self.served = 0
        self.server = HttpServer(("127.0.0.1", 0), self, SystemClock())
        self._answer = b"x" * answer_bytes
        self._stamps = itertools.count(1)

    def handle(self, req: Request) -> None:
        """Answer now or late."""
        delay_s = ANSWER_DELAY_S if req.target == SLOW_PATH else 0.0
        asyncio.get_running_loop().call_later(delay_s, self._reply, req)

    def _reply(self, req: Request) -> None:
        self.served += 1
        request_id = find_field(req.fields, b"request-id") or b""
        stamp = b"i-one.%d" % next(self._stamps)
        fields = ((b"Server-Stamp", stamp), (b"Request-Id", request_id))
        req.reply(Response(200, fields, self._answer))

    def limits(self) -> Limits:
        """Return limits above those of the gateway."""
        return Limits(header_bytes=4 * 65_536)

    def record_rejection(self, status: int, reason: str) -> None:
        """Ignore a malformed request."""


class System:
    """One gateway process, its store and two services: `one` and `stuck`.

    The target of `stuck` accepts connections and reads nothing.
    """

    def __init__(self, folder: Path, answer_bytes: int = 16):
        # The metrics port is fixed, so each process needs an address of its own. The
        # soak uses no third byte above 250.
        host = f"127.{1 + os.getpid() % 250}.251.{next(_hosts)}"
        self.gateway = GatewayProcess("front-1", host, "zone-a", folder)
        self.target = Target(answer_bytes)
        self._settings = folder / "front-1.toml"
        self._store = StoreStandin(page_size=50)
        self._store_server = self._store.make_server()
        self._stuck = socket.socket()

    async def start(self) -> None:
        """Start all, and wait until the gateway answers an ordinary request."""
        await self.target.server.start()
        # Accepted by the kernel only, which holds little of what is sent.
        self._stuck.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._stuck.bind(("127.0.0.1", 0))
        self._stuck.listen(512)
        await self._store_server.start()
        self._list_target("i-one", "one", self.target.server.address)
        self._list_target("i-stuck", "stuck", self._stuck.getsockname())
        self._store.put("op/config", _configuration())
        self._write_settings()
        await self.gateway.start()
        pid = self.gateway._process.pid
        limit = (MAX_DESCRIPTORS, MAX_DESCRIPTORS)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limit)
        await self.get_answer()

    async def stop(self) -> None:
        """End the process and the stand-ins."""
        await self.gateway.kill()
        self._stuck.close()
        await self._store_server.stop()
        await self.target.server.stop()

    def _list_target(self, id_: str, service: str, address: tuple) -> None:
        entry = {
            "service": service,
            "address": "{}:{}".format(*address[:2]),
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
            "born": 1_768_766_353_410,
        }
        self._store.put(f"servers/{id_}", entry)

    def _write_settings(self) -> None:
        gateway = self.gateway
        text = SETTINGS.format(
            name=gateway.name,
            ip=gateway.ip,
            zone=gateway.zone,
            seeds="",
            store="{}:{}".format(*self._store_server.address),
            min_retries=129,
            **gateway.ports,
        )
        machine = f"[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_DESCRIPTORS}\n"
        self._settings.write_text(text.replace("[limits]\n", machine), "utf-8")

    # Clients.

    async def connect(self) -> socket.socket:
        """Return a connection to the gateway that buffers little of what it gets."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, self.gateway.caller_address)
        except OSError:
            sock.close()
            raise
        return sock

    async def get_answer(self) -> None:
        """Repeat an ordinary request until it is answered with 200."""
        async with asyncio.timeout(GIVE_UP_S):
            while not await self._is_answered():
                await asyncio.sleep(0.1)

    async def _is_answered(self) -> bool:
        writer = None
        try:
            async with asyncio.timeout(5.0):
                address = self.gateway.caller_address
                reader, writer = await asyncio.open_connection(*address)
                writer.write(ORDINARY)
                line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()
        return b" 200 " in line

    # Measures.

    async def settle(self) -> None:
        """Wait until the gateway's memory and the served requests stay the same."""
        last, since = None, 0.0
        loop = asyncio.get_running_loop()
        end = loop.time() + 30.0
        while loop.time() < end and self.gateway.running:
            state = self.gateway.peak_memory_bytes(), self.target.served
            if state != last:
                last, since = state, loop.time()
            elif loop.time() - since > SETTLED_S:
                return
            await asyncio.sleep(0.05)

    def open_sockets(self) -> int:
        """Return how many sockets the process has open."""
        folder = Path(f"/proc/{self.gateway._process.pid}/fd")
        links = []
        for entry in list(folder.iterdir()):
            try:
                links.append(os.readlink(entry))
            except FileNotFoundError:
                # It was closed since the folder was read.
                continue
        return sum(link.startswith("socket:") for link in links)

    def check_bounds(self) -> None:
        """Fail if the process has ended, or has used too much memory or sockets."""
        exit_code = self.gateway.exit_code
        assert exit_code is None, f"exit code {exit_code}"
        memory_mb = self.gateway.peak_memory_bytes() // 1_000_000
        assert memory_mb < MEMORY_MB, f"{memory_mb} MB at the peak"
        sockets = self.open_sockets()
        limit = MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
        assert sockets <= limit, f"{sockets} open sockets"


def _configuration() -> dict:
    def route(service: str) -> dict:
        return {
            "name": service,
            "host": "h",
            "prefix": f"/{service}/",
            "kind": "safe",
            "service": service,
            "timeoutMs": 8_000,
            "maxAttempts": 2,
        }

    names = ("one", "stuck")
    return {
        "version": 1,
        "routes": [route(name) for name in names],
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 20_000}
            for name in names
        ],
        "limits": LIMITS,
    }
