"""Measures the CPU time of a call."""

from __future__ import annotations

import time
from collections.abc import Callable


def min_cpu_us(call: Callable[[], object], calls: int, rounds: int) -> float:
    """Return the mean CPU time of a call in the fastest round, in microseconds.

    Each round makes `calls` calls. The minimum is used because other work on the
    machine only adds to the CPU time.
    """
    fastest_s = float("inf")
    for _ in range(rounds):
        start = time.process_time()
        for _ in range(calls):
            call()
        fastest_s = min(fastest_s, time.process_time() - start)
    return fastest_s / calls * 1e6
