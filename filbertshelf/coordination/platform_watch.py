"""Reads and watches a platform document on behalf of the whole data centre."""

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
# A change must be in force within 8 s, including one that is published while the
# platform recovers from an outage.
HIGHEST_RETRY_S = 4.0
# Interval at which an instance checks whether it has become a watcher.
ROLE_CHECK_S = 0.5
# After this many watches without a change, the document is read once. A watch only
# returns revisions above the held one. It doesn't show that the platform has different
# content for the same revision, or that it reverted to a lower revision, in which case
# operators must learn that their changes have no effect.
EMPTY_WATCHES_BEFORE_READ = 6


class PlatformReader(Protocol):
    """The part of the platform client that `PlatformWatch` uses."""

    async def read(self, document: str) -> PlatformDocument:
        """Return the document; raises `PlatformError`."""

    async def watch(
        self, document: str, after: int, wait: float
    ) -> PlatformDocument | None:
        """Return the document once its revision exceeds `after`.

        Returns None after `wait` seconds without one; raises `PlatformError`.
        """


@attrs.define
class PlatformHealth:
    """Logs the start and the end of an outage, not every failed call."""

    document: str
    failures: int = 0

    def record_failure(self, exc: PlatformError) -> None:
        """Count a failed call and log the first one of an outage."""
        self.failures += 1
        if self.failures == 1:
            reason = f"{self.document}: {exc}"
            events.emit(events.PLATFORM_UNAVAILABLE, reason=reason)

    def record_answer(self) -> None:
        """Record an answered call and log the end of an outage."""
        if self.failures:
            events.emit(
                events.PLATFORM_RECOVERED,
                document=self.document,
                failures=self.failures,
            )
        self.failures = 0


@attrs.frozen
class WatchCallbacks:
    """The callbacks of a watch into the service that owns it."""

    is_watcher: Callable[[], bool]
    epoch: Callable[[], int]
    held_revision: Callable[[str], int]
    # Called with the document's name, the document if it was received, and the epoch
    # at the start of the call to the platform.
    on_answer: Callable[[str, PlatformDocument | None, int], None]


class PlatformWatch:
    """Watches one document while this instance is a watcher.

    The document is read before the first watch, after a failure, and after
    `EMPTY_WATCHES_BEFORE_READ` watches without a change.
    """

    def __init__(
        self,
        document: str,
        client: PlatformReader,
        callbacks: WatchCallbacks,
        clock: Clock,
        rng: random.Random,
        wait: float,
    ):
        """Create a watch; `wait` is the longest duration of one call in seconds."""
        self.health = PlatformHealth(document)
        self._document_name = document
        self._client = client
        self._callbacks = callbacks
        self._clock = clock
        self._backoff = Backoff(FIRST_RETRY_S, HIGHEST_RETRY_S, rng)
        self._wait = min(wait, MAX_WAIT_S)
        self._after: int | None = None
        self._empty_watches = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if self._callbacks.is_watcher():
                await self._read_or_watch()
            else:
                self._after = None
                await self._clock.sleep(ROLE_CHECK_S)

    async def read(self) -> None:
        """Read the document once; raises `PlatformError`."""
        epoch = self._callbacks.epoch()
        try:
            document = await self._client.read(self._document_name)
        except PlatformMissingError:
            self.health.record_answer()
            raise
        except PlatformError as exc:
            self.health.record_failure(exc)
            raise
        self.health.record_answer()
        self._deliver_document(document, epoch)

    async def _read_or_watch(self) -> None:
        try:
            if self._after is None:
                await self._initial_read()
            else:
                await self._watch(self._after)
        except PlatformError as exc:
            self._after = None
            if not isinstance(exc, PlatformMissingError):
                await self._clock.sleep(self._backoff.delay())

    async def _initial_read(self) -> None:
        try:
            await self.read()
        except PlatformMissingError:
            # Before the first publication a read fails, but a watch waits for it.
            self._after = 0
            self._empty_watches = 0

    async def _watch(self, after: int) -> None:
        epoch = self._callbacks.epoch()
        try:
            document = await self._checked_watch(after)
        except PlatformError as exc:
            self.health.record_failure(exc)
            raise
        self.health.record_answer()
        # Only watches reset the delay: a read that succeeds between failing watches
        # must not shorten it.
        self._backoff.reset()
        if document is not None:
            self._deliver_document(document, epoch)
            return
        self._callbacks.on_answer(self._document_name, None, epoch)
        self._empty_watches += 1
        if self._empty_watches >= EMPTY_WATCHES_BEFORE_READ:
            self._after = None
        else:
            self._after = max(after, self._callbacks.held_revision(self._document_name))

    async def _checked_watch(self, after: int) -> PlatformDocument | None:
        """Watch once and return the document, or None if it did not change.

        Raises `PlatformError` for answers that would lead to a busy loop of calls: an
        early end without a document, and a revision that is not above `after`.
        """
        start = self._clock.monotonic()
        document = await self._client.watch(self._document_name, after, self._wait)
        elapsed = self._clock.monotonic() - start
        if document is None and elapsed < self._wait / 2:
            raise PlatformError(f"a watch of {self._wait:g} s ended in {elapsed:.3f} s")
        if document is not None and document.revision <= after:
            raise PlatformError(f"a watch after {after} gave {document.revision}")
        return document

    def _deliver_document(self, document: PlatformDocument, epoch: int) -> None:
        self._empty_watches = 0
        self._callbacks.on_answer(self._document_name, document, epoch)
        # A refused revision is above the held one and must not be requested again.
        self._after = max(
            document.revision, self._callbacks.held_revision(self._document_name), 0
        )
