"""Starts and signals the project's gateways with the command of the deploy file."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import time
import tomllib
from pathlib import Path

from http_server import Answer, send_request

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 6.0
STABILITY_WINDOW_S = 4.0
START_TIMEOUT_S = 20.0
HOST = "pupu76.example"
DEADLINE_MS = 5_000

SETTINGS = """\
node = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "qld-south"
seeds = [{seeds}]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
qld-south-a = "qld-south"
qld-south-b = "qld-south"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.731
cores = 1
memoryMb = 222
maxFds = 1535
linkMbps = 350.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stabilityWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxSkewMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetMinRetries = 129
recoveryS = 12
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""


class Gateway:
    """One gateway process on an address of its own."""

    def __init__(self, name: str, ip: str, zone: str, store: str, folder: Path):
        self.name = name
        self.ip = ip
        self.ready_at = 0.0
        """When this process was first ready, in monotonic seconds."""
        self._zone = zone
        self._store = store
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._ports = {kind: free_port(ip) for kind in ("front", "ready", "control")}
        self._process: asyncio.subprocess.Process | None = None

    @property
    def control_address(self) -> str:
        """Return the address for other gateways as IP:PORT."""
        return f"{self.ip}:{self._ports['control']}"

    @property
    def front_address(self) -> tuple[str, int]:
        """Return the address for callers."""
        return self.ip, self._ports["front"]

    def write_settings(self, seeds: list[str], store: str = "") -> None:
        """Write the settings file, as the platform does; `store` replaces its address.

        The file is replaced at once, so no reader sees a part of it.
        """
        self._store = store or self._store
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self._zone,
            seeds=", ".join(f'"{seed}"' for seed in seeds),
            store=self._store,
            **self._ports,
        )
        partial = self._settings.with_suffix(".new")
        partial.write_text(text, encoding="utf-8")
        partial.replace(self._settings)

    async def start(self) -> None:
        """Start a process and wait until it is ready."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FILBERTSHELF_SETTINGS": str(self._settings),
        }
        with self._log.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                *_run_command(), cwd=ROOT, env=env, stdout=out, stderr=out
            )
        deadline = time.monotonic() + START_TIMEOUT_S
        while not await self._is_ready():
            if time.monotonic() > deadline or self._process.returncode is not None:
                raise RuntimeError(f"{self.name} did not become ready")
            await asyncio.sleep(0.1)
        self.ready_at = time.monotonic()

    async def _is_ready(self) -> bool:
        address = (self.ip, self._ports["ready"])
        head = ["GET /v1/ready HTTP/1.1", f"Host: {self.ip}", "Connection: close"]
        return (await send_request(address, head, timeout=0.5)).status == 200

    def is_in_touch(self, at: float) -> bool:
        """Return whether the process had run for the whole stability window."""
        return at - self.ready_at >= STABILITY_WINDOW_S

    def reload(self) -> None:
        """Send SIGHUP: the settings file has changed."""
        self._process.send_signal(signal.SIGHUP)

    async def restart(self) -> None:
        """Stop the process as the platform does, and start it again."""
        await self.stop()
        await self.start()

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace period."""
        if self._process is None or self._process.returncode is not None:
            return
        self._process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        """Kill the process if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def send(self, target: str, request_id: str) -> Answer:
        """Send a caller's GET request on a new connection."""
        head = [
            f"GET {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Request-Deadline-Ms: {DEADLINE_MS}",
        ]
        return await send_request(self.front_address, head)


def _run_command() -> list[str]:
    """Return the command of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    return tomllib.loads(text)["roles"]["gateway"]["run"].split()


def free_port(ip: str) -> int:
    """Return a port that is unused at the moment."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


def network_prefix() -> str:
    """Return the first three bytes of loopback addresses for this run.

    The port for metrics is fixed, so gateways of two runs need different addresses.
    """
    return f"127.{64 + os.getpid() % 128}.{1 + os.getpid() // 128 % 250}"
