"""What bookings need of the services that plan and run them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

from filbertshelf.clock import Clock
from filbertshelf.errors import (
    DeadlinePassedError,
    PausedError,
    SecondWriteError,
)
from filbertshelf.protocol.bookings import BookingRequest
from filbertshelf.state.outcome import Attempt


@attrs.frozen
class ShardChoice:
    """The shard that a booking goes to and the snapshot that it is pinned to."""

    service: str
    shard: str
    index_version: str
    generation: int
    revision: int


class Planner(Protocol):
    """Decides at the owner where a booking goes."""

    def choose(self, request: BookingRequest) -> ShardChoice:
        """Return the shard and its snapshot without waiting.

        Raises `UserError` (no policy, no service, not ready, overloaded) if the
        request must not run; its ticket is then refused for good.
        """


class Runner(Protocol):
    """Sends one booking to a target."""

    async def run_once(
        self,
        request: BookingRequest,
        ticket_id: str,
        choice: ShardChoice,
        deadline: float,
        check: RunCheck,
    ) -> Sequence[Attempt]:
        """Return all attempts; `deadline` is in seconds of the monotonic clock.

        The runner calls `check()` after every await that a write may follow, and
        `check.before_write()` right before each write, with no await between it
        and the write. It calls `check.mark_not_run()` after each attempt known not to
        have run, and tries another replica only then. A response that was read is
        returned as answered, without another check. What `check` raises is passed
        on.
        """


class PauseDetector(Protocol):
    """Detects that the process did not run for a while, as `PauseMonitor` does."""

    def pending_pause_s(self) -> float:
        """Return the seconds of a pause that isn't acknowledged yet, 0.0 if none."""


class RunCheck:
    """Says whether a booking may still be written; at most one write is open."""

    def __init__(self, clock: Clock, deadline: float, pauses: PauseDetector):
        self._clock = clock
        self._deadline = deadline
        self._pauses = pauses
        self._write_unresolved = False

    @property
    def unresolved(self) -> bool:
        """Return whether a write is not known to be without effect."""
        return self._write_unresolved

    def __call__(self) -> None:
        """Raise `PausedError` or `DeadlinePassedError` if nothing may be written."""
        if self._pauses.pending_pause_s() > 0.0:
            raise PausedError("the process was paused before the write")
        if self._clock.monotonic() >= self._deadline:
            raise DeadlinePassedError("the deadline passed before the write")

    def before_write(self) -> None:
        """Check, and mark that the booking is written from now on.

        Raises `SecondWriteError` while an earlier write may have had an effect.
        """
        self()
        if self._write_unresolved:
            raise SecondWriteError("an earlier write may have had an effect")
        self._write_unresolved = True

    def mark_not_run(self) -> None:
        """Mark that the last write is known to have had no effect."""
        self._write_unresolved = False
