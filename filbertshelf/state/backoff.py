"""Growing, jittered delays between attempts that fail."""

from __future__ import annotations

import random


class Backoff:
    """Delays in seconds that double from `first` to `highest`.

    Each is shortened by up to a half at random, so that instances that failed
    together don't retry together.
    """

    def __init__(self, first: float, highest: float, rng: random.Random):
        self._first = first
        self._highest = highest
        self._rng = rng
        self._next = first

    def reset(self) -> None:
        """Start again from the first delay."""
        self._next = self._first

    def delay(self) -> float:
        """Return the next delay."""
        current = self._next
        self._next = min(current * 2, self._highest)
        return current * self._rng.uniform(0.5, 1.0)
