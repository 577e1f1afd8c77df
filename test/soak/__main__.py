"""Runs soaks by hand: `python -m test.soak --first=1 --seeds=50`."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from absl import app, flags, logging

from test.soak.run import Phases, run_soak

FIRST = flags.DEFINE_integer("first", 1, "The first seed.")
SEEDS = flags.DEFINE_integer("seeds", 1, "How many seeds are run.")
AT_ONCE = flags.DEFINE_integer("at_once", 1, "How many soaks run at once.")


async def _one(seed: int, gate: asyncio.Semaphore) -> bool:
    async with gate:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        found = await run_soak(seed, folder, Phases())
    print(f"seed {seed}: {len(found)} broken promises, logs in {folder}", flush=True)
    for line in found[:10]:
        print(f"  {line:.600}", flush=True)
    return not found


async def _all() -> int:
    # A cancelled soak still ends the processes that it started.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    gate = asyncio.Semaphore(AT_ONCE.value)
    seeds = range(FIRST.value, FIRST.value + SEEDS.value)
    results = await asyncio.gather(*(_one(seed, gate) for seed in seeds))
    print(f"{sum(results)} of {len(results)} seeds kept all promises")
    return 0 if all(results) else 1


def main(_argv: list[str]) -> None:
    """Run the seeds and exit with 1 if any promise was broken."""
    logging.set_verbosity(logging.WARNING)
    sys.exit(asyncio.run(_all()))


if __name__ == "__main__":
    app.run(main)
