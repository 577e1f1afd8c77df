"""Exponential backoff with jitter."""

from __future__ import annotations

import random


class Backoff:
    """Delays in seconds that double from `first` to `highest`.

    Each delay is shortened by up to a half at random, so that instances that fail at
    the same time don't retry at the same time.
    """

    def __init__(self, first: float, highest: float, rng: random.Random):
        self._first = first
        self._highest = highest
        self._rng = rng
        self._next = first

    def reset(self) -> None:
        """Restart from the first delay."""
        self._next = self._first

    def delay(self) -> float:
        """Return the next delay in seconds."""
        current = self._next
        self._next = min(current * 2, self._highest)
        return current * self._rng.uniform(0.5, 1.0)
