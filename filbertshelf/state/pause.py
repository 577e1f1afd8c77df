"""Detection of times in which the process did not run."""

from __future__ import annotations

from filbertshelf.clock import Clock


class PauseMonitor:
    """Notices that `tick` was not called for longer than `threshold` seconds.

    A pause stays visible until `acknowledge`, also if a tick came before the first
    check. The wall clock counts too, because the monotonic clock of a suspended
    machine stands still; a forward step of the wall clock is taken for a pause,
    which costs one confirmation and is safe.
    """

    __slots__ = ("_clock", "_mono", "_pause", "_threshold", "_wall")

    def __init__(self, clock: Clock, threshold: float):
        self._clock = clock
        self._threshold = threshold
        self._pause = 0.0
        self._set()

    def tick(self) -> None:
        """Record that the process runs; call it several times per threshold."""
        self._pause = self.pending_pause_s()
        self._set()

    def pending_pause_s(self) -> float:
        """Return the seconds of a pause that is not acknowledged, 0.0 if none."""
        gap = self._clock.monotonic() - self._mono
        wall = (self._clock.now() - self._wall).total_seconds()
        gap = max(gap, wall)
        return max(self._pause, gap) if gap > self._threshold else self._pause

    def acknowledge(self) -> None:
        """Forget the pause, after the state was confirmed to be current."""
        self._pause = 0.0
        self._set()

    def _set(self) -> None:
        self._mono = self._clock.monotonic()
        self._wall = self._clock.now()
