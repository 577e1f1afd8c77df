"""Gateway processes of the soak, started, signalled and probed from outside."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import sys
import time
from pathlib import Path

from filbertshelf.addresses import Address
from test.soak.proxy import Proxy

SETTINGS = """\
node = "{name}"
ip = "{ip}"
zone = "{zone}"
seeds = [{seeds}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.7
cores = 1
linkMbps = 350.0
[bounds]
graceS = 6
retryBudgetRatio = 0.2
budgetMinRetries = {min_retries}
budgetWindowS = 10
[platform]
address = "{store}"
"""
MAX_EXIT_WAIT_S = 10.0
"""How long to wait for a stopping process before it is killed, in seconds.

The time is longer than the grace period in the settings.
"""


class GatewayProcess:
    """One gateway; `boot` counts its process starts."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.boot = 0
        self.ports = {kind: free_port(ip) for kind in ("front", "ready", "control")}
        self.caller_proxy = Proxy((ip, self.ports["front"]))
        self.store_proxy: Proxy | None = None
        self.use_caller_proxy = False
        """Whether callers connect through the proxy, which can inject faults."""
        self.in_rotation = False
        self.was_ready = False
        """Whether this process has been ready."""
        self.unexpected_exits: list[str] = []
        """The exits after requested stops, other than the allowed ones."""
        self.expected_exit = False
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.toml"
        self.last_signal = "no signal"
        """The last signal sent to this process, to explain its exit."""
        self.machine_limits = ""
        """Lines on memory and descriptors for the settings; empty if unknown."""
        self._started_at = 0.0
        self._process: asyncio.subprocess.Process | None = None

    @property
    def control_address(self) -> Address:
        """Return the address for peers."""
        return self.ip, self.ports["control"]

    @property
    def caller_address(self) -> Address:
        """Return the address for callers.

        Without faults, callers connect to the gateway itself. A proxy accepts
        connections even while the gateway is down, which would count as a lost request.
        """
        if self.use_caller_proxy:
            return self.caller_proxy.address
        return self.ip, self.ports["front"]

    def write_settings(self, seeds: list[Address], min_retries: int = 129) -> None:
        """Write the settings file with a minimum of retries in the retry budget."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=", ".join('"{}:{}"'.format(*seed) for seed in seeds),
            store="{}:{}".format(*self.store_proxy.address),
            min_retries=min_retries,
            **self.ports,
        )
        text = text.replace("[limits]\n", f"[limits]\n{self.machine_limits}")
        partial = self._settings_path.with_suffix(".new")
        partial.write_text(text, encoding="utf-8")
        partial.replace(self._settings_path)

    async def start(self) -> None:
        """Start a new process."""
        self.boot += 1
        self.was_ready = False
        self.last_signal = "no signal"
        self._started_at = time.monotonic()
        self.expected_exit = False
        env = {**os.environ, "FILBERTSHELF_SETTINGS": str(self._settings_path)}
        with self.log_path.open("ab") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "filbertshelf.platform",
                env=env,
                stdout=out,
                stderr=out,
            )

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def age_s(self) -> float:
        """Return the seconds since this process was started."""
        return time.monotonic() - self._started_at

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return None if self._process is None else self._process.returncode

    def peak_memory_bytes(self) -> int:
        """Return the peak resident size of the process, 0 if it doesn't run."""
        if not self.running:
            return 0
        peak = re.search(r"VmHWM:\s+(\d+) kB", self._read_status())
        return int(peak[1]) * 1024 if peak else 0

    def handles(self, signum: int) -> bool:
        """Return whether the process ignores or catches a signal by now."""
        masks = re.findall(r"Sig(?:Ign|Cgt):\s+([0-9a-f]+)", self._read_status())
        return any(int(mask, 16) >> (signum - 1) & 1 for mask in masks)

    def _read_status(self) -> str:
        """Return what the kernel tells about the process, "" if it has ended."""
        try:
            return Path(f"/proc/{self._process.pid}/status").read_text()
        except FileNotFoundError:
            return ""

    def signal(self, signum: int) -> None:
        """Send a signal to the process if it runs."""
        if self.running:
            self.last_signal = f"signal {signum} {self.age_s:.3f} s after its start"
            self._process.send_signal(signum)

    async def wait_for_exit(self) -> None:
        """Wait for the process to exit, and kill it after `MAX_EXIT_WAIT_S`."""
        try:
            async with asyncio.timeout(MAX_EXIT_WAIT_S):
                code = await self._process.wait()
        except TimeoutError:
            self._process.kill()
            code = await self._process.wait()
        # The signal itself may end a process that has not set its handlers yet.
        allowed = {0} if self.was_ready else {0, -signal.SIGTERM}
        if code not in allowed:
            self.unexpected_exits.append(f"exit {code}, {self.last_signal}")

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.expected_exit = True
        if self.running:
            # SIGKILL also ends a process that SIGSTOP has stopped.
            self.signal(signal.SIGKILL)
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Probe the ready address as the platform does."""
        writer = None
        try:
            async with asyncio.timeout(0.5):
                address = self.ip, self.ports["ready"]
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()
        return b" 200 " in line


def free_port(ip: str) -> int:
    """Return a port that is unused at the moment."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]
