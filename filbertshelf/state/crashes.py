"""Requests that crash each target that runs them."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

import attrs

from filbertshelf.clock import Clock

CRASHES_TO_QUARANTINE = 3
"""Targets that died one after the other; one dies by itself now and then."""

MEMORY_S = 60.0
"""How long a crash counts and a conviction lasts."""

MAX_FINGERPRINTS = 4_096
"""Fingerprints that are remembered; the oldest is forgotten first."""

_DIGEST_BYTES = 16


@attrs.define
class _Record:
    """The crashes of one fingerprint by request attempt, and when the last one was."""

    waves: dict[str, int]
    last_at: float

    def total(self) -> int:
        return sum(self.waves.values())


class CrashCounter:
    """Counts the targets that died one after the other while they ran a request.

    Many targets that die at the same moment, as in a rack failure, are one crash for
    a query that ran on all of them: only a target that died after the request was
    sent on from another dead one counts again.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def fingerprint(self, host: bytes, target: bytes, body: bytes) -> str:
        """Return the digest of a request, which is the same when it comes again."""
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for part in (host, target, body):
            digest.update(b"%d:" % len(part))
            digest.update(part)
        return digest.hexdigest()

    def has_records(self) -> bool:
        """Return whether there is anything to look up."""
        return bool(self._records)

    def record_crash(self, fingerprint: str, attempt: str, wave: int) -> int | None:
        """Record the `wave`-th target in a row that died with a request attempt.

        Returns how many crashes the request has now, None if that was known before:
        the same report counts once.
        """
        now = self._clock.monotonic()
        record = self._fresh(fingerprint, now)
        if record is None:
            record = self._records[fingerprint] = _Record({}, now)
            while len(self._records) > MAX_FINGERPRINTS:
                self._records.popitem(last=False)
        record.last_at = now
        if wave <= record.waves.get(attempt, 0):
            return None
        record.waves[attempt] = wave
        return record.total()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request is refused now."""
        record = self._fresh(fingerprint, self._clock.monotonic())
        return record is not None and record.total() >= CRASHES_TO_QUARANTINE

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request that a target has answered."""
        self._records.pop(fingerprint, None)

    def _fresh(self, fingerprint: str, now: float) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and now - record.last_at > MEMORY_S:
            del self._records[fingerprint]
            return None
        return record
