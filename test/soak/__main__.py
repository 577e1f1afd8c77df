"""Command line of the soak: `python -m test.soak --first=1 --seeds=50`."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from absl import app, flags, logging

from test.soak.run import Phases, run_soak

FIRST = flags.DEFINE_integer("first", 1, "The first seed.")
SEEDS = flags.DEFINE_integer("seeds", 1, "The number of seeds to run.")
AT_ONCE = flags.DEFINE_integer("at_once", 1, "The number of concurrent soaks.")

GATEWAYS = flags.DEFINE_integer("gateways", 4, "The gateways of each soak.")


async def _run_seed(seed: int, semaphore: asyncio.Semaphore) -> bool:
    async with semaphore:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = await run_soak(seed, folder, Phases(gateways=GATEWAYS.value))
    print(f"seed {seed}: {len(violations)} violations, logs in {folder}", flush=True)
    for violation in violations[:10]:
        print(f"  {violation:.600}", flush=True)
    return not violations


async def _run_seeds() -> int:
    # Cancel on SIGTERM, because a cancelled soak still ends its processes.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    semaphore = asyncio.Semaphore(AT_ONCE.value)
    seeds = range(FIRST.value, FIRST.value + SEEDS.value)
    results = await asyncio.gather(*(_run_seed(seed, semaphore) for seed in seeds))
    print(f"{sum(results)} of {len(results)} seeds passed without violations")
    return 0 if all(results) else 1


def main(_argv: list[str]) -> None:
    """Run the seeds and exit with 1 if any guarantee was violated."""
    logging.set_verbosity(logging.WARNING)
    sys.exit(asyncio.run(_run_seeds()))


if __name__ == "__main__":
    app.run(main)
