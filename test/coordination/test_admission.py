"""Admission neither leaks places nor assigns one twice."""

from __future__ import annotations

import asyncio
import contextlib
import random

from filbertshelf.clock import SystemClock
from filbertshelf.coordination.admission import Admission
from filbertshelf.errors import OverloadedError
from filbertshelf.metrics import NullMetrics
from filbertshelf.settings import Settings

CFG = Settings(
    name="i0",
    data_centre="bne-1",
    fleet_key="0123456789abcdef",
    platform=("127.0.0.1", 1),
    max_queries=32,
    max_queued=16,
)


async def test_cancelled_and_late_requests_free_their_places():
    # Guards against a place that leaks if the caller disconnects while the place is
    # being assigned. The instance would gradually refuse all requests.
    clock = SystemClock()
    admission = Admission(CFG, clock, NullMetrics())
    rng = random.Random(5)
    most_running = 0

    async def run(number: int) -> None:
        nonlocal most_running
        deadline = clock.monotonic() + rng.choice((0.002, 0.02, 1.0))
        with contextlib.suppress(OverloadedError):
            await admission.acquire(str(number), "desk", rng.randrange(10), deadline)
            most_running = max(most_running, admission.running)
            try:
                await asyncio.sleep(rng.random() * 0.004)
            finally:
                admission.release(0.004)

    tasks = []
    for number in range(600):
        tasks.append(asyncio.create_task(run(number)))
        if rng.random() < 0.3:
            rng.choice(tasks).cancel()
        if rng.random() < 0.3:
            await asyncio.sleep(rng.random() * 0.002)
    await asyncio.gather(*tasks, return_exceptions=True)
    assert (admission.running, admission.waiting) == (0, 0)
    assert 0 < most_running <= CFG.max_queries
