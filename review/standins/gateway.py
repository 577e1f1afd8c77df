"""The project's gateways as processes, started as the deploy file says."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import tomllib
from pathlib import Path

from standins.http import read_message, render_request

ROOT = Path(__file__).resolve().parents[2]
EXIT_WAIT_S = 10.0
READY_TIMEOUT_S = 1.0
PORT_RANGE = (10_000, 30_000)

SETTINGS = """\
node = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internalPortRange = [7380,7395]
seeds = [{seeds}]
bootstrap = true
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = {cpu_share}
cores = 1
memoryMb = 222
maxFds = 1535
linkMbps = {link_mbps}
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
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
budgetMinRetries = 126
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


class GatewayProcess:
    """One gateway on a loopback address of its own."""

    def __init__(self, name: str, ip: str, folder: Path):
        self.name = name
        self.ip = ip
        kinds = ("front", "ready", "control")
        self.ports = dict(zip(kinds, free_ports(ip, len(kinds)), strict=True))
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.toml"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for requesters."""
        return self.ip, self.ports["front"]

    @property
    def control(self) -> str:
        """Return the address for other gateways as text."""
        return f"{self.ip}:{self.ports['control']}"

    def write_settings(
        self,
        seeds: list[str],
        store: tuple[str, int],
        cpu_share: float = 0.731,
        link_mbps: float = 350.0,
    ) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            seeds=",".join(f'"{seed}"' for seed in seeds),
            store="{}:{}".format(*store),
            cpu_share=cpu_share,
            link_mbps=link_mbps,
            **self.ports,
        )
        self._settings_path.write_text(text, encoding="utf-8")

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        names = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in names if name in os.environ}
        env["PYTHONPATH"] = "target/deps"
        env["FILBERTSHELF_SETTINGS"] = str(self._settings_path)
        with self.log_path.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=out,
            )

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, None while the process runs."""
        return None if self.process is None else self.process.returncode

    def signal(self, signum: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        writer = None
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                address = self.ip, self.ports["ready"]
                reader, writer = await asyncio.open_connection(*address)
                writer.write(render_request("GET", "/v1/ready", {"Host": "ready"}))
                return (await read_message(reader)).status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def wait_ready(self, seconds: float) -> bool:
        """Return whether the gateway gets ready in time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while self.exit_code is None:
                    if await self.is_ready():
                        return True
                    await asyncio.sleep(0.1)
        return False


def free_ports(ip: str, count: int) -> list[int]:
    """Return different ports that are unused at the moment.

    They are below those that the kernel gives to outgoing connections.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            sock = stack.enter_context(socket.socket())
            port = random.randrange(*PORT_RANGE)
            with contextlib.suppress(OSError):
                sock.bind((ip, port))
                ports.append(port)
    return ports
