"""One soak from a seed: maintenance, faults, recovery, evacuation."""

from __future__ import annotations

import asyncio
from pathlib import Path

import attrs

from test.soak import schedule
from test.soak.callers import Caller
from test.soak.checks import find_violations, lost_during_maintenance, served_share
from test.soak.fleet import SoakFleet

CALLERS = 12
CONFIG_APPLY_S = 3.0
"""The time within which a published version must be in force, in seconds."""

RECOVERY_S = 12.0
"""The time within which the fleet must recover from the last fault, in seconds."""

MAINTENANCE_END_S = 6.0
"""How long the last maintenance steps may take, in seconds.

A stopping gateway takes its grace period, and a replaced target drains.
"""

LAST_ANSWERS_S = 3.5
"""How long the last answers may take, in seconds.

This is the longest deadline of a caller and its wait for late answers.
"""

MIN_SERVED_SHARE = 0.9
"""The share of requests that must succeed after the recovery.

It is below 1 because a caller may reach a busy target.
"""


MACHINE_MEMORY_MB = 152
"""The memory of the smallest machine that a gateway must fit on."""

MACHINE_LIMITS = f"memoryMb = {MACHINE_MEMORY_MB}\nmaxFds = 1535\n"


@attrs.frozen
class Phases:
    """The durations of the phases of a soak, in seconds, and its size."""

    maintenance_s: float = 8.0
    faults_s: float = 10.0
    measured_s: float = 4.0
    allow_early_reloads: bool = True
    """Whether SIGHUP is also sent to a process that has no handler for it yet."""
    gateways: int = 4


async def run_soak(seed: int, folder: Path, phases: Phases) -> list[str]:
    """Run a soak and return one line for each violation of a guarantee."""
    fleet = SoakFleet(seed, folder, phases.gateways)
    fleet.allow_early_reloads = phases.allow_early_reloads
    for gateway in fleet.gateways:
        gateway.machine_limits = MACHINE_LIMITS
    history = fleet.history
    violations: list[str] = []
    try:
        await fleet.start()
        start = history.now()
        callers = [Caller(history, fleet.gateways, seed + n) for n in range(CALLERS)]
        for caller in callers:
            fleet.spawn(caller.run())
        faults_end = start + phases.maintenance_s + MAINTENANCE_END_S + phases.faults_s
        fleet.spawn(schedule.limit_targets(fleet, faults_end))
        await schedule.run_maintenance(fleet, start + phases.maintenance_s)
        await asyncio.sleep(MAINTENANCE_END_S)
        violations += lost_during_maintenance(history, start, history.now() - 3.0)
        for gateway in fleet.gateways:
            gateway.use_caller_proxy = True
        await schedule.run_faults(fleet, history.now() + phases.faults_s)
        violations += await _recovery_violations(fleet, phases.measured_s)
        await schedule.run_evacuation(fleet)
        for caller in callers:
            caller.stop()
        await asyncio.sleep(LAST_ANSWERS_S)
        violations += find_violations(history)
        violations += _unexpected_exits(fleet)
    finally:
        await fleet.close()
    return violations


async def _recovery_violations(fleet: SoakFleet, measured_s: float) -> list[str]:
    """Return one line for each failure to recover from the last fault."""
    await asyncio.sleep(RECOVERY_S)
    await fleet.publish_version()
    await asyncio.sleep(CONFIG_APPLY_S)
    newest = fleet.history.configs[-1]
    violations = []
    for gateway in fleet.gateways:
        caller = Caller(fleet.history, [gateway], 0)
        request = await caller.send_once(gateway, "move")
        runs = fleet.history.runs.get(request.request_id, []) if request else []
        if {run.service for run in runs} != {newest.moving_service}:
            violations.append(
                f"CONFIG {newest.version} is not in force: {request} {runs}"
            )
    recovered_at = fleet.history.now()
    await asyncio.sleep(measured_s)
    recent = [
        request
        for request in fleet.history.requests
        if recovered_at <= request.sent_at and request.ended_at
    ]
    share = served_share(recent)
    if not share >= MIN_SERVED_SHARE:
        violations.append(f"RECOVER: {share:.3f} of {len(recent)} were served")
    return violations


def _unexpected_exits(fleet: SoakFleet) -> list[str]:
    violations = []
    for gateway in fleet.gateways:
        if not gateway.running and not gateway.expected_exit:
            violations.append(
                f"FAULT {gateway.name} exited unexpectedly, exit {gateway.exit_code}, "
                f"{gateway.last_signal}"
            )
        violations += [
            f"FAULT {gateway.name} {exit_}" for exit_ in gateway.unexpected_exits
        ]
        if gateway.peak_memory_bytes() > MACHINE_MEMORY_MB * 1024 * 1024:
            violations.append(
                f"FAULT {gateway.name} used {gateway.peak_memory_bytes()} B of memory"
            )
        if b"Traceback" in gateway.log_path.read_bytes():
            violations.append(f"FAULT {gateway.name} logged a traceback")
    return violations
