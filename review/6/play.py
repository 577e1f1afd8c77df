"""A request that crashes leafs comes again while the gateways restart in turn."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from case import Fleet, Record, new_request_id, run_case
from gateways import STABILITY_WINDOW_S, Gateway
from poison import CRASHES, POISON, Poison, crashes, judge

GATEWAYS = 4
LEAFS = 6
ROUTE = {"prefix": "/timi402/", "maxAttempts": 2}
ORDINARY = "/timi402/2f"
PAUSE_S = 1.0
"""Between two attempts of the caller whose request crashes leafs."""

IN_TOUCH_MARGIN_S = 0.5
RESTART_S = 5.0
"""How long a restart may take; without trouble this time passes all the same."""

ORDINARY_PERIOD_S = 0.1


async def play(folder: Path, record: Record, trouble: bool) -> bool:
    """Return whether the rule held."""
    fleet = Fleet(folder, GATEWAYS, LEAFS)
    ordinary = None
    try:
        await fleet.start(ROUTE)
        for leaf in fleet.leafs:
            leaf.poison_prefix = POISON
        ordinary = asyncio.create_task(_send_ordinary(fleet, record))
        record.line("all gateways are ready")
        await asyncio.sleep(STABILITY_WINDOW_S + IN_TOUCH_MARGIN_S)
        poison = Poison(fleet, record)
        await _crash_three(fleet, poison, record)
        for gateway in fleet.gateways:
            await _restart_and_retry(gateway, poison, record, trouble)
        return judge(fleet, poison, record)
    finally:
        if ordinary is not None:
            ordinary.cancel()
        await fleet.close()


async def _send_ordinary(fleet: Fleet, record: Record) -> None:
    """Send ordinary requests to ready gateways in turn, to show that all is well."""
    served = sent = 0
    try:
        while True:
            for gateway in fleet.gateways:
                answer = await gateway.send(ORDINARY, new_request_id())
                sent += 1
                served += answer.status == 200
                await asyncio.sleep(ORDINARY_PERIOD_S)
    finally:
        record.line(f"ordinary requests: {served} of {sent} served")


async def _crash_three(fleet: Fleet, poison: Poison, record: Record) -> None:
    """Send attempts at all gateways until they are refused without a leaf."""
    for gateway in fleet.gateways:
        await poison.send(gateway)
        await asyncio.sleep(PAUSE_S)
    if len(crashes(fleet)) < CRASHES:
        raise RuntimeError("fewer than three leafs have crashed")
    record.line(f"{len(crashes(fleet))} leafs have crashed")
    await asyncio.sleep(STABILITY_WINDOW_S + IN_TOUCH_MARGIN_S)
    for gateway in fleet.gateways:
        await poison.send(gateway)


async def _restart_and_retry(
    gateway: Gateway, poison: Poison, record: Record, trouble: bool
) -> None:
    """Restart a gateway; once it is in touch again, send it two attempts."""
    started_at = time.monotonic()
    if trouble:
        await gateway.restart()
        record.line(f"{gateway.name} was restarted and is ready")
    else:
        await asyncio.sleep(RESTART_S)
    record.line(f"this took {time.monotonic() - started_at:.1f} s")
    await asyncio.sleep(STABILITY_WINDOW_S + IN_TOUCH_MARGIN_S)
    for _ in range(2):
        await poison.send(gateway)
        await asyncio.sleep(PAUSE_S)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
