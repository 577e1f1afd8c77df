"""Measures the CPU time and memory of an idle instance process."""

from __future__ import annotations

import asyncio
import os
import tempfile
from pathlib import Path

import attrs
import uvloop

from filbertshelf.bench.processes import Processes
from filbertshelf.bench.query_cost import (
    instance_settings,
    publication_document,
    run_target_host,
)
from filbertshelf.standins.platform import PlatformStandin

INSTANCE = "instance"
SETTLE_S = 3.0
"""Time after which the links have warmed up and the first probes were sent."""


@attrs.frozen
class InstanceCost:
    """The cost of an instance with one open connection to each of its targets.

    `cpu_share` is a fraction of one core, used mostly for health requests to the idle
    targets. `resident_bytes` is the memory of the whole process, including the
    interpreter and libraries.
    """

    targets: int
    cpu_share: float
    resident_bytes: int


def measure_instance(targets: int, seconds: float) -> InstanceCost:
    """Run an instance with this number of targets and return its cost while idle.

    The measurement takes `seconds`, after the instance has settled. Raises
    `ExperimentError` if the instance doesn't start.
    """
    return uvloop.run(_measure(targets, seconds))


async def _measure(targets: int, seconds: float) -> InstanceCost:
    platform = PlatformStandin()
    await platform.start()
    try:
        async with run_target_host(1, max(1, targets)) as addresses:
            used = dict(list(addresses.items())[:targets])
            platform.publish(publication_document(int(bool(used)), used, 1))
            with (
                tempfile.TemporaryDirectory() as folder,
                Processes(Path(folder)) as processes,
            ):
                return await _measure_idle(platform, processes, targets, seconds)
    finally:
        await platform.stop()


async def _measure_idle(
    platform: PlatformStandin, processes: Processes, targets: int, seconds: float
) -> InstanceCost:
    cfg = instance_settings()
    sections = {
        "instance": {
            "name": cfg.name,
            "data_centre": cfg.data_centre,
            "ready_file": processes.ready_file(INSTANCE),
        },
        "logs": {"log_file": cfg.log_file},
        "peers": {"fleet_key": cfg.fleet_key},
        "platform": {
            "platform": "{}:{}".format(*platform.address),
            "start_grace": 0.5,
        },
    }
    process = processes.start_instance(INSTANCE, sections)
    await processes.addresses(INSTANCE)
    await asyncio.sleep(SETTLE_S)
    before = processes.cpu_seconds(INSTANCE)
    await asyncio.sleep(seconds)
    cpu = processes.cpu_seconds(INSTANCE) - before
    return InstanceCost(targets, cpu / seconds, _resident_bytes(process.pid))


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")
