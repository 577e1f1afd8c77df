"""Counts of targets that crashed while they ran a request."""

from __future__ import annotations

import hashlib
from collections import OrderedDict

import attrs

from filbertshelf.clock import Clock

CRASHES_TO_QUARANTINE = 3
"""The number of crashes in a row that quarantine a request.

Single targets also die for other reasons.
"""

RETENTION_S = 60.0
"""How long crashes count, and so how long a quarantine lasts, in seconds."""

MAX_FINGERPRINTS = 4_096
"""The highest number of fingerprints; the oldest is evicted first."""

_DIGEST_BYTES = 16


@attrs.define
class _Record:
    """The crashes of one fingerprint, and the time of the last one."""

    deaths: dict[str, int]
    """The highest number of targets in a row that died, by request id."""
    last_at: float

    def total(self) -> int:
        return sum(self.deaths.values())


class CrashCounter:
    """Counts the targets that died in a row while they ran a request.

    Targets that die at the same time, as in a rack failure, count as one crash for a
    query that ran on all of them. A target counts again only if the request was sent to
    it after another target had died.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._records: OrderedDict[str, _Record] = OrderedDict()

    def fingerprint(self, host: bytes, target: bytes, body: bytes) -> str:
        """Return the digest of a request, which is the same for each repetition."""
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        for part in (host, target, body):
            digest.update(b"%d:" % len(part))
            digest.update(part)
        return digest.hexdigest()

    def has_records(self) -> bool:
        """Return whether any crashes are recorded."""
        return bool(self._records)

    def record_crash(
        self, fingerprint: str, request_id: str, deaths: int
    ) -> int | None:
        """Record that `deaths` targets in a row have died while running a request.

        Returns the number of crashes of the request, None if this crash had been
        recorded before.
        """
        now = self._clock.monotonic()
        record = self._unexpired_record(fingerprint, now)
        if record is None:
            record = self._records[fingerprint] = _Record({}, now)
            while len(self._records) > MAX_FINGERPRINTS:
                self._records.popitem(last=False)
        record.last_at = now
        if deaths <= record.deaths.get(request_id, 0):
            return None
        record.deaths[request_id] = deaths
        return record.total()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must be refused now."""
        record = self._unexpired_record(fingerprint, self._clock.monotonic())
        return record is not None and record.total() >= CRASHES_TO_QUARANTINE

    def would_quarantine(self, fingerprint: str) -> bool:
        """Return what `is_quarantined` would return, without dropping old records."""
        record = self._records.get(fingerprint)
        if record is None or self._clock.monotonic() - record.last_at > RETENTION_S:
            return False
        return record.total() >= CRASHES_TO_QUARANTINE

    def clear(self, fingerprint: str) -> None:
        """Remove the crashes of a request that a target has answered."""
        self._records.pop(fingerprint, None)

    def _unexpired_record(self, fingerprint: str, now: float) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is not None and now - record.last_at > RETENTION_S:
            del self._records[fingerprint]
            return None
        return record
