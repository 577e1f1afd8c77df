"""Detection of pauses of the process."""

from __future__ import annotations

from filbertshelf.clock import Clock


class PauseMonitor:
    """Detects that `tick` was not called for longer than `threshold` seconds.

    A pause is reported until `acknowledge` is called, even if `tick` was called before
    the first check. The wall clock is checked too, because the monotonic clock stops
    while a machine is suspended. A forward step of the wall clock counts as a pause,
    which is safe and costs one confirmation.
    """

    __slots__ = ("_clock", "_monotonic_at", "_pause", "_threshold", "_wall_at")

    def __init__(self, clock: Clock, threshold: float):
        self._clock = clock
        self._threshold = threshold
        self._pause = 0.0
        self._restart()

    def tick(self) -> None:
        """Record that the process is running; call this several times per threshold."""
        self._pause = self.pending_pause_s()
        self._restart()

    def pending_pause_s(self) -> float:
        """Return the length of the unacknowledged pause in seconds, 0.0 if none."""
        gap = self._clock.monotonic() - self._monotonic_at
        if not self._clock.counts_suspension:
            wall = (self._clock.now() - self._wall_at).total_seconds()
            gap = max(gap, wall)
        return max(self._pause, gap) if gap > self._threshold else self._pause

    def acknowledge(self) -> None:
        """Clear the pause; call this after the state was confirmed to be current."""
        self._pause = 0.0
        self._restart()

    def _restart(self) -> None:
        self._monotonic_at = self._clock.monotonic()
        self._wall_at = self._clock.now()
