"""Gateways start with seeds that are down; their settings then name live ones."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from case import Fleet, Record, run_case
from gateways import STABILITY_WINDOW_S
from poison import CRASHES, POISON, Poison, crashes, judge

GATEWAYS = 4
LEAFS = 8
ROUTE = {"prefix": "/timi402/", "maxAttempts": 2}
SEED_LAG_S = 3.0
"""The time in which the settings name live seeds again, as in the settings."""

JOIN_S = 15.0
"""How long the gateways have to find each other by the live seeds."""

PAUSE_S = 1.5
"""Between two attempts of the caller whose request crashes leafs."""


async def play(folder: Path, record: Record, trouble: bool) -> bool:
    """Return whether the rule held."""
    fleet = Fleet(folder, GATEWAYS, LEAFS)
    try:
        await fleet.start(ROUTE, fleet.dead_seeds if trouble else None)
        record.line(f"all gateways are ready, seeds down: {trouble}")
        for leaf in fleet.leafs:
            leaf.poison_prefix = POISON
        await asyncio.sleep(SEED_LAG_S)
        if trouble:
            _name_live_seeds(fleet, record)
        await asyncio.sleep(JOIN_S)
        poison = Poison(fleet, record)
        await _crash_three(fleet, poison)
        for gateway in fleet.gateways[1:]:
            for _ in range(2):
                await poison.send(gateway)
                await asyncio.sleep(PAUSE_S)
        return judge(fleet, poison, record)
    finally:
        await fleet.close()


def _name_live_seeds(fleet: Fleet, record: Record) -> None:
    for gateway in fleet.gateways:
        gateway.write_settings(fleet.live_seeds)
        gateway.reload()
        record.line(f"{gateway.name}: settings name live seeds, SIGHUP sent")


async def _crash_three(fleet: Fleet, poison: Poison) -> None:
    """Send attempts at one gateway until three leafs have crashed."""
    for _ in range(CRASHES):
        if len(crashes(fleet)) < CRASHES:
            await poison.send(fleet.gateways[0])
            await asyncio.sleep(PAUSE_S)
    if len(crashes(fleet)) < CRASHES:
        raise RuntimeError("fewer than three leafs have crashed")
    await asyncio.sleep(STABILITY_WINDOW_S)


if __name__ == "__main__":
    sys.exit(run_case(play, Path(__file__).parent))
