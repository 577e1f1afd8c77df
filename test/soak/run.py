"""One soak from a seed: planned work, then trouble, then the recovery."""

from __future__ import annotations

import asyncio
from pathlib import Path

import attrs

from test.soak import schedule
from test.soak.callers import Caller
from test.soak.checks import find_violations, lost_during_maintenance, served_share
from test.soak.fleet import SoakFleet

CALLERS = 12
APPLY_S = 3.0
"""The time after which a version is in force, in seconds after its publication."""

RECOVERY_S = 12.0
"""The time after which the fleet serves again, in seconds after the last fault."""

SETTLE_S = 6.0
"""Planned work lasts so long: a stop takes the grace, a replaced target drains."""

LAST_ANSWERS_S = 3.5
"""The longest deadline of a caller, and its patience."""

MIN_RECOVERED = 0.9
"""The share that must be served once all is well; a caller may meet a busy target."""


@attrs.frozen
class Phases:
    """How long the parts of a soak last, in seconds."""

    maintenance_s: float = 8.0
    faults_s: float = 10.0
    measured_s: float = 4.0
    allow_early_reloads: bool = True
    """Whether SIGHUP also goes to a process whose interpreter has not started."""


async def run_soak(seed: int, folder: Path, phases: Phases) -> list[str]:
    """Return what broke a promise."""
    fleet = SoakFleet(seed, folder)
    fleet.allow_early_reloads = phases.allow_early_reloads
    history = fleet.history
    found: list[str] = []
    try:
        await fleet.start()
        start = history.now()
        callers = [Caller(history, fleet.gateways, seed + n) for n in range(CALLERS)]
        for caller in callers:
            fleet.spawn(caller.run())
        await schedule.run_maintenance(fleet, start + phases.maintenance_s)
        await asyncio.sleep(SETTLE_S)
        found += lost_during_maintenance(history, start, history.now() - 3.0)
        for gateway in fleet.gateways:
            gateway.use_caller_proxy = True
        await schedule.run_faults(fleet, history.now() + phases.faults_s)
        found += await _recovery_violations(fleet, phases.measured_s)
        for caller in callers:
            caller.stop()
        await asyncio.sleep(LAST_ANSWERS_S)
        found += find_violations(history)
        found += _unexpected_exits(fleet)
    finally:
        await fleet.close()
    return found


async def _recovery_violations(fleet: SoakFleet, measured_s: float) -> list[str]:
    """Return what is still wrong some seconds after the last fault."""
    await asyncio.sleep(RECOVERY_S)
    await fleet.publish_version()
    await asyncio.sleep(APPLY_S)
    newest = fleet.history.configs[-1]
    found = []
    for gateway in fleet.gateways:
        caller = Caller(fleet.history, [gateway], 0)
        request = await caller.send_once(gateway, "move")
        runs = fleet.history.runs.get(request.request_id, []) if request else []
        if {run.service for run in runs} != {newest.moving_service}:
            found.append(f"CONFIG {newest.version} is not in force: {request} {runs}")
    since = fleet.history.now()
    await asyncio.sleep(measured_s)
    recent = [a for a in fleet.history.requests if since <= a.sent_at and a.ended_at]
    share = served_share(recent)
    if not share >= MIN_RECOVERED:
        found.append(f"RECOVER: {share:.3f} of {len(recent)} are served")
    return found


def _unexpected_exits(fleet: SoakFleet) -> list[str]:
    found = []
    for gateway in fleet.gateways:
        if not gateway.running and not gateway.expected_exit:
            found.append(
                f"FAULT {gateway.name} has ended by itself, exit {gateway.exit_code}, "
                f"{gateway.last_signal}"
            )
        found += [
            f"FAULT {gateway.name} exit {code}"
            for code in gateway.unexpected_exit_codes
        ]
        if b"Traceback" in gateway.log_path.read_bytes():
            found.append(f"FAULT {gateway.name} has logged a traceback")
    return found
