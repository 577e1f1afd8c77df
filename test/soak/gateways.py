"""Gateways as processes of their own, and the signals they get."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path

from test.soak.proxy import Address, Proxy

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


class GatewayProcess:
    """One gateway; each start is a new boot."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.boot = 0
        self.ports = {kind: free_port(ip) for kind in ("front", "ready", "control")}
        self.caller_proxy = Proxy((ip, self.ports["front"]))
        self.store_proxy: Proxy | None = None
        self.use_caller_proxy = False
        """Whether callers come through the proxy, which can disturb them."""
        self.in_rotation = False
        self.was_ready = False
        """Whether this boot has been ready."""
        self.unexpected_exit_codes: list[int] = []
        """The exit codes, other than 0, of stops that were asked for."""
        self.expected_exit = False
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.toml"
        self.last_signal = "no signal"
        """The last signal to this boot, to explain an end."""
        self._started_at = 0.0
        self._proc: asyncio.subprocess.Process | None = None

    @property
    def control_address(self) -> Address:
        """Return where peers connect."""
        return self.ip, self.ports["control"]

    @property
    def caller_address(self) -> Address:
        """Return where callers connect.

        Without faults that is the gateway itself: a proxy accepts connections also
        while the gateway is down, which would look like a lost request.
        """
        if self.use_caller_proxy:
            return self.caller_proxy.address
        return self.ip, self.ports["front"]

    def write_settings(self, seeds: list[Address], min_retries: int = 129) -> None:
        """Write the settings file, maybe with another retry budget."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=", ".join('"{}:{}"'.format(*seed) for seed in seeds),
            store="{}:{}".format(*self.store_proxy.address),
            min_retries=min_retries,
            **self.ports,
        )
        partial = self._settings_path.with_suffix(".new")
        partial.write_text(text, encoding="utf-8")
        partial.replace(self._settings_path)

    async def start(self) -> None:
        """Start the process."""
        self.boot += 1
        self.was_ready = False
        self.last_signal = "no signal"
        self._started_at = time.monotonic()
        self.expected_exit = False
        env = {**os.environ, "FILBERTSHELF_SETTINGS": str(self._settings_path)}
        with self.log_path.open("ab") as out:
            self._proc = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "filbertshelf.platform",
                env=env,
                stdout=out,
                stderr=out,
            )

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self._proc is not None and self._proc.returncode is None

    @property
    def age_s(self) -> float:
        """Return the seconds since this boot was started."""
        return time.monotonic() - self._started_at

    @property
    def exit_code(self) -> int | None:
        """Return how the process ended, None if it runs."""
        return None if self._proc is None else self._proc.returncode

    def signal(self, signum: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.running:
            self.last_signal = f"signal {signum} {self.age_s:.3f} s after its start"
            self._proc.send_signal(signum)

    async def wait_for_exit(self) -> None:
        """Wait for the end of the process; kill it some time after the grace."""
        try:
            async with asyncio.timeout(MAX_EXIT_WAIT_S):
                code = await self._proc.wait()
        except TimeoutError:
            self._proc.kill()
            code = await self._proc.wait()
        # A process that had not started yet may end by the signal itself.
        allowed = {0} if self.was_ready else {0, -signal.SIGTERM}
        if code not in allowed:
            self.unexpected_exit_codes.append(code)

    async def kill(self) -> None:
        """End the process at once."""
        self.expected_exit = True
        if self.running:
            # A stopped process takes the signal too.
            self.signal(signal.SIGKILL)
            await self._proc.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
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
    """Return a port that nobody listens on now."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]
