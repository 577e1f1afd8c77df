"""Versioned documents of flat entries, with deltas and a bounded history."""

from __future__ import annotations

import collections
import hashlib
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import cbor2

from filbertshelf.errors import DocumentError

DIGEST_BYTES = 16

# 650 changes a day are 27 an hour, so 64 steps cover a partition of two hours.
HISTORY_STEPS = 64

# The number of keys in all steps of the history. A peer that missed steps with more
# keys is sent the full document, which is about as large.
HISTORY_KEYS = 20_000


def encode(value: Any) -> bytes:
    """Return the canonical CBOR of a JSON value.

    Entries are compared in this form, since 1, 1.0 and True are equal in Python.
    Raises `DocumentError` if the value has no canonical form.
    """
    try:
        return cbor2.dumps(value, canonical=True)
    except (ValueError, RecursionError, cbor2.CBOREncodeError) as exc:
        raise DocumentError(f"an entry can't be encoded: {exc}") from exc


def encode_entries(entries: Mapping[str, Any]) -> dict[str, bytes]:
    """Return the entries with each value encoded."""
    return {key: encode(value) for key, value in entries.items()}


def decode_entries(entries: Mapping[str, bytes]) -> dict[str, Any]:
    """Return the entries with each value decoded; raises `DocumentError`."""
    try:
        return {key: cbor2.loads(value) for key, value in entries.items()}
    except (cbor2.CBORDecodeError, ValueError, TypeError, RecursionError) as exc:
        raise DocumentError(f"an entry can't be decoded: {exc}") from exc


def digest_of(entries: Mapping[str, bytes]) -> bytes:
    """Return the digest of encoded entries."""
    body = cbor2.dumps(dict(entries), canonical=True)
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).digest()


@attrs.frozen(order=True)
class Version:
    """The version of a document's content, ordered by revision, then digest."""

    revision: int
    digest: bytes

    def __str__(self) -> str:
        return f"{self.revision}-{self.digest.hex()[:8]}"


# The version before any content; every accepted version is higher.
NO_VERSION = Version(-1, b"")


@attrs.frozen
class Delta:
    """The change from version `base` to version `version`."""

    base: Version
    version: Version
    changed: Mapping[str, bytes]
    removed: tuple[str, ...]


@attrs.frozen
class FullDocument:
    """All entries of a document at one version."""

    version: Version
    entries: Mapping[str, bytes]


@attrs.frozen
class _Step:
    """A step of the history: the version before it and the keys that it changed."""

    base: Version
    keys: frozenset[str]


class VersionedDocument:
    """The entries of one document at the highest accepted version."""

    def __init__(
        self, history_steps: int = HISTORY_STEPS, history_keys: int = HISTORY_KEYS
    ):
        self.version = NO_VERSION
        self._entries: dict[str, bytes] = {}
        self._steps: collections.deque[_Step] = collections.deque()
        self._history_steps = history_steps
        self._history_keys = history_keys

    @property
    def entries(self) -> Mapping[str, bytes]:
        """Return the encoded entries; the mapping is replaced but never modified."""
        return self._entries

    def full_document(self) -> FullDocument:
        """Return all entries and their version."""
        return FullDocument(self.version, self._entries)

    def would_accept(self, version: Version) -> bool:
        """Return whether the version is above the current one."""
        return version > self.version

    def accept(self, revision: int, entries: Mapping[str, bytes]) -> bool:
        """Store the encoded entries if their version is higher than the current one.

        Returns whether they were stored.
        """
        return self._store(Version(revision, digest_of(entries)), entries)

    def delta_since(self, version: Version) -> Delta | FullDocument:
        """Return the delta from a version to the current one.

        Returns the full document if the version isn't in the history.
        """
        keys: set[str] = set()
        for step in reversed(self._steps):
            keys |= step.keys
            if step.base == version:
                return self._delta(version, keys)
        return self.full_document()

    def content_after(self, change: Delta | FullDocument) -> FullDocument:
        """Return the full document after a change, verified by its digest.

        Raises `DocumentError` if a delta is not based on the current version or if the
        content doesn't match the digest of the change.
        """
        entries = dict(
            change.entries if isinstance(change, FullDocument) else self._entries
        )
        if isinstance(change, Delta):
            if change.base != self.version:
                raise DocumentError(f"the delta is from {change.base}")
            for key in change.removed:
                entries.pop(key, None)
            entries.update(change.changed)
        if digest_of(entries) != change.version.digest:
            raise DocumentError(f"the content doesn't match version {change.version}")
        return FullDocument(change.version, entries)

    def apply(self, change: Delta | FullDocument) -> bool:
        """Apply a change if its version is higher and return whether it was applied.

        Raises `DocumentError` as `content_after` does.
        """
        if not self.would_accept(change.version):
            return False
        result = self.content_after(change)
        return self._store(result.version, result.entries)

    def _store(self, version: Version, entries: Mapping[str, bytes]) -> bool:
        if not self.would_accept(version):
            return False
        keys = frozenset(_differing_keys(self._entries, entries))
        if self.version != NO_VERSION:
            self._steps.append(_Step(self.version, keys))
        self._entries = dict(entries)
        self.version = version
        self._trim_history()
        return True

    def _delta(self, base: Version, keys: Iterable[str]) -> Delta:
        changed = {key: self._entries[key] for key in keys if key in self._entries}
        removed = tuple(sorted(key for key in keys if key not in self._entries))
        return Delta(base, self.version, changed, removed)

    def _trim_history(self) -> None:
        total_keys = sum(len(step.keys) for step in self._steps)
        while self._steps and (
            len(self._steps) > self._history_steps or total_keys > self._history_keys
        ):
            total_keys -= len(self._steps.popleft().keys)


def _differing_keys(old: Mapping[str, bytes], new: Mapping[str, bytes]) -> set[str]:
    changed = {key for key, value in new.items() if old.get(key) != value}
    return changed | (old.keys() - new.keys())
