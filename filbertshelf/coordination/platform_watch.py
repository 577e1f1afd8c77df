"""Reads and watches one document of the platform for the whole data centre."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

import attrs

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.errors import PlatformError, PlatformMissingError
from filbertshelf.protocol.platform import MAX_WAIT_S, PlatformDocument
from filbertshelf.state.backoff import Backoff

FIRST_RETRY_S = 0.25
# A change must be in force within 8 s, also one that is published while the platform
# comes back.
HIGHEST_RETRY_S = 4.0
# How often an instance looks whether it has become a watcher.
ROLE_CHECK_S = 0.5
# After this many watches without news the document is read once. A watch above the
# held revision doesn't show that the platform went back to a lower one, in which case
# operators must learn that their changes have no effect, or that it holds another
# content of the same revision.
QUIET_WATCHES = 6


class PlatformReader(Protocol):
    """What is needed of the platform's client."""

    async def read(self, document: str) -> PlatformDocument:
        """Return the document; raises `PlatformError`."""

    async def watch(
        self, document: str, after: int, wait: float
    ) -> PlatformDocument | None:
        """Return the document above `after`, None after `wait` seconds."""


@attrs.define
class PlatformHealth:
    """Logs the first failure of an outage and its end, not every attempt."""

    document: str
    failures: int = 0

    def failed(self, exc: PlatformError) -> None:
        """Record a call that failed."""
        self.failures += 1
        if self.failures == 1:
            reason = f"{self.document}: {exc}"
            events.emit(events.PLATFORM_UNAVAILABLE, reason=reason)

    def answered(self) -> None:
        """Record a call that was answered."""
        if self.failures:
            events.emit(
                events.PLATFORM_RECOVERED,
                document=self.document,
                failures=self.failures,
            )
        self.failures = 0


@attrs.frozen
class WatchOwner:
    """What a watch asks and tells the service that it belongs to."""

    watching: Callable[[], bool]
    epoch: Callable[[], int]
    held_revision: Callable[[str], int]
    # Called with the document's name, the content if there is a new one, and the
    # epoch in which the platform was asked.
    answered: Callable[[str, PlatformDocument | None, int], None]


class PlatformWatch:
    """Watches one document while this instance is a watcher.

    The first call is a read, also after a failure and after `QUIET_WATCHES`.
    """

    def __init__(
        self,
        document: str,
        client: PlatformReader,
        owner: WatchOwner,
        clock: Clock,
        rng: random.Random,
        wait: float,
    ):
        """`wait` is the length of one watch in seconds."""
        self.health = PlatformHealth(document)
        self._document = document
        self._client = client
        self._owner = owner
        self._clock = clock
        self._backoff = Backoff(FIRST_RETRY_S, HIGHEST_RETRY_S, rng)
        self._wait = min(wait, MAX_WAIT_S)
        self._after: int | None = None
        self._quiet = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if self._owner.watching():
                await self._next_call()
            else:
                self._after = None
                await self._clock.sleep(ROLE_CHECK_S)

    async def read(self) -> None:
        """Read the document once; raises `PlatformError`."""
        epoch = self._owner.epoch()
        try:
            found = await self._client.read(self._document)
        except PlatformMissingError:
            self.health.answered()
            raise
        except PlatformError as exc:
            self.health.failed(exc)
            raise
        self.health.answered()
        self._take(found, epoch)

    async def _next_call(self) -> None:
        try:
            if self._after is None:
                await self._start()
            else:
                await self._watch(self._after)
        except PlatformError as exc:
            self._after = None
            if not isinstance(exc, PlatformMissingError):
                await self._clock.sleep(self._backoff.delay())

    async def _start(self) -> None:
        try:
            await self.read()
        except PlatformMissingError:
            # Before the first publication there is nothing to read, but a watch waits.
            self._after = 0
            self._quiet = 0

    async def _watch(self, after: int) -> None:
        epoch = self._owner.epoch()
        try:
            found = await self._checked_watch(after)
        except PlatformError as exc:
            self.health.failed(exc)
            raise
        self.health.answered()
        # A read that succeeds between watches that fail must not shorten the delay.
        self._backoff.reset()
        if found is not None:
            self._take(found, epoch)
            return
        self._owner.answered(self._document, None, epoch)
        self._quiet += 1
        if self._quiet >= QUIET_WATCHES:
            self._after = None
        else:
            self._after = max(after, self._owner.held_revision(self._document))

    async def _checked_watch(self, after: int) -> PlatformDocument | None:
        """Watch once; an answer that would cause a loop of calls is an error."""
        start = self._clock.monotonic()
        found = await self._client.watch(self._document, after, self._wait)
        elapsed = self._clock.monotonic() - start
        if found is None and elapsed < self._wait / 2:
            raise PlatformError(f"a watch of {self._wait:g} s ended in {elapsed:.3f} s")
        if found is not None and found.revision <= after:
            raise PlatformError(f"a watch after {after} gave {found.revision}")
        return found

    def _take(self, found: PlatformDocument, epoch: int) -> None:
        self._quiet = 0
        self._owner.answered(self._document, found, epoch)
        # A refused revision is above the held one and must not be asked for again.
        self._after = max(found.revision, self._owner.held_revision(self._document), 0)
