"""Measures the CPU time of a call."""

from __future__ import annotations

import time
from collections.abc import Callable


def min_cpu_us(call: Callable[[], object], calls: int, rounds: int) -> float:
    """Return the mean CPU time of a call in the fastest round, in microseconds.

    Each round makes `calls` calls. The minimum is used because other work on the
    machine only adds to the CPU time.
    """
    best = float("inf")
    for _ in range(rounds):
        start = time.process_time()
        for _ in range(calls):
            call()
        best = min(best, time.process_time() - start)
    return best / calls * 1e6
