"""Interfaces of the booking planner and runner, and the check before each write."""

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
    """The shard chosen for a booking and the snapshot that it is pinned to."""

    service: str
    shard: str
    index_version: str
    generation: int
    revision: int


class Planner(Protocol):
    """Chooses the shard of a booking, at the owner of its ticket."""

    def choose_shard(self, request: BookingRequest) -> ShardChoice:
        """Return the shard and its snapshot without blocking.

        Raises `UserError` (no policy, no service, not ready, overloaded) if the
        request must not run. Its ticket is then refused permanently.
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
        """Run the booking and return all attempts.

        `deadline` is in seconds of the monotonic clock. The runner calls `check()`
        after every await that a write may follow, and `check.before_write()` right
        before each write, with no await between it and the write. It calls
        `check.mark_not_run()` after each attempt that is known not to have run, and
        only then tries another replica. A response that was read is returned as
        answered without another check. Exceptions of `check` are propagated.
        """


class PauseDetector(Protocol):
    """Detects pauses of the process, as `PauseMonitor` does."""

    def pending_pause_s(self) -> float:
        """Return the length of an unacknowledged pause in seconds, or 0.0."""


class RunCheck:
    """Checks whether a booking may be written; at most one write is unresolved."""

    def __init__(self, clock: Clock, deadline: float, pauses: PauseDetector):
        self._clock = clock
        self._deadline = deadline
        self._pauses = pauses
        self._write_unresolved = False

    @property
    def unresolved(self) -> bool:
        """Return whether the last write may have had an effect."""
        return self._write_unresolved

    def __call__(self) -> None:
        """Raise `PausedError` or `DeadlinePassedError` if a write isn't allowed."""
        if self._pauses.pending_pause_s() > 0.0:
            raise PausedError("the process was paused before the write")
        if self._clock.monotonic() >= self._deadline:
            raise DeadlinePassedError("the deadline passed before the write")

    def before_write(self) -> None:
        """Check that a write is allowed and mark it as unresolved.

        Raises `PausedError`, `DeadlinePassedError`, or `SecondWriteError` if an
        earlier write may have had an effect.
        """
        self()
        if self._write_unresolved:
            raise SecondWriteError("an earlier write may have had an effect")
        self._write_unresolved = True

    def mark_not_run(self) -> None:
        """Mark that the last write is known to have had no effect."""
        self._write_unresolved = False
