"""The directory of the targets that the platform lists, at one revision."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from filbertshelf.addresses import Address

MAX_REMOVED = 4_096
"""The number of removals kept, so that a peer can be sent only the changes."""


@attrs.frozen
class ListedTarget:
    """A target process as listed by the platform."""

    id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    draining: bool
    started_ms: int
    """The wall-clock time of its start in ms, which changes when it restarts."""
    sequence: int = attrs.field(default=0, eq=False)
    """Counts what the process has written of itself; a higher one is newer."""
    cold_s: float | None = attrs.field(default=None, eq=False)
    """How long the process was still cold when it wrote this, None if not known."""

    def is_older_than(self, other: ListedTarget) -> bool:
        """Return whether the target wrote this before `other`, under the same id."""
        return (self.started_ms, self.sequence) < (other.started_ms, other.sequence)

    def differs_from(self, other: ListedTarget) -> bool:
        """Return whether instances that know `other` must be told of this target.

        The time for which a target is cold counts down each time it writes. It is news
        only if the target turns cold or warm, or cold for longer.
        """
        if self != other:
            return True
        if self.cold_s is None:
            return False
        if other.cold_s is None or not self.cold_s:
            return self.cold_s != other.cold_s
        return self.cold_s > other.cold_s


@attrs.frozen
class TargetChange:
    """A new, changed or removed target; `target` is None if it was removed."""

    id: str
    revision: int
    target: ListedTarget | None


@attrs.frozen
class DirectoryChange:
    """The changes after revision `since` up to `revision`.

    With `since` 0 they are the whole directory, and absent targets were removed.
    `era` counts how often the platform was restored from an older copy; each time its
    revisions go back and are given out again.
    """

    since: int
    revision: int
    targets: tuple[TargetChange, ...]
    era: int = 0


@attrs.frozen
class _Removal:
    """A removed target as it was last listed, and the revision of the removal."""

    revision: int
    target: ListedTarget | None


class TargetDirectory:
    """The listed targets at one revision, without I/O.

    Within an era of the platform the revision never decreases, and for each target id
    the change with the highest revision wins, so changes may arrive in any order. A
    restore of the platform from an older copy starts a new era; its first content
    replaces the directory, apart from what it holds older statements of (`_replace`).
    """

    def __init__(self) -> None:
        self.era = 0
        self.revision = 0
        self._entries: dict[str, TargetChange] = {}
        self._removed: dict[str, _Removal] = {}
        self._history_from = 0

    def targets(self) -> Mapping[str, ListedTarget]:
        """Return the listed targets by id."""
        return {id_: entry.target for id_, entry in self._entries.items()}

    def apply(self, change: DirectoryChange) -> list[TargetChange]:
        """Apply a change and return the entries that changed.

        A change for which `is_contiguous` is false is ignored.
        """
        if not self.is_contiguous(change):
            return []
        if change.era > self.era:
            return self._replace(change)
        changes = [entry for entry in change.targets if self._apply_entry(entry)]
        if change.since == 0:
            changes += self._remove_absent(change)
        self.revision = max(self.revision, change.revision)
        return changes

    def is_contiguous(self, change: DirectoryChange) -> bool:
        """Return whether the change leaves no gap after the current revision."""
        if change.era != self.era:
            return change.era > self.era and change.since == 0
        return change.since <= self.revision <= change.revision

    def changes_since(self, revision: int, era: int | None = None) -> DirectoryChange:
        """Return the changes after a revision, or all targets if they are unknown.

        They are unknown for a revision of another `era`; the default is the current.
        """
        if era is not None and era != self.era:
            revision = 0
        if revision < self._history_from or revision > self.revision:
            revision = 0
        entries = [
            entry for entry in self._entries.values() if entry.revision > revision
        ]
        if revision:
            entries += [
                TargetChange(id_, removal.revision, None)
                for id_, removal in self._removed.items()
                if removal.revision > revision
            ]
        return DirectoryChange(revision, self.revision, tuple(entries), self.era)

    def _apply_entry(self, entry: TargetChange) -> bool:
        current = self._entries.get(entry.id)
        if current is not None and current.revision >= entry.revision:
            return False
        removal = self._removed.get(entry.id)
        if removal is not None and removal.revision >= entry.revision:
            return False
        if entry.target is None:
            return self._remove(entry.id, entry.revision)
        if current is not None and not entry.target.differs_from(current.target):
            # Nothing but the sequence and the countdown of the cold time changed. The
            # entry keeps its revision, so that it isn't sent to peers again.
            self._entries[entry.id] = attrs.evolve(current, target=entry.target)
            return False
        self._removed.pop(entry.id, None)
        self._entries[entry.id] = entry
        return True

    def _remove(self, id_: str, revision: int) -> bool:
        entry = self._entries.pop(id_, None)
        removal = self._removed.get(id_)
        target = entry.target if entry else removal.target if removal else None
        self._removed[id_] = _Removal(revision, target)
        self._drop_oldest_removals()
        return entry is not None

    def _drop_oldest_removals(self) -> None:
        while len(self._removed) > MAX_REMOVED:
            oldest = min(self._removed, key=lambda id_: self._removed[id_].revision)
            removal = self._removed.pop(oldest)
            self._history_from = max(self._history_from, removal.revision)

    def _remove_absent(self, change: DirectoryChange) -> list[TargetChange]:
        present = {entry.id for entry in change.targets}
        absent_ids: Iterable[str] = [id_ for id_ in self._entries if id_ not in present]
        changes = []
        for id_ in absent_ids:
            self._remove(id_, change.revision)
            changes.append(TargetChange(id_, change.revision, None))
        return changes

    # Restores of the platform.

    def _replace(self, change: DirectoryChange) -> list[TargetChange]:
        """Replace the content by the first one of a new era.

        The platform's copy may say that a target is ready which has drained or left
        since. Such a statement is older than the one known, and the known one stays
        until the target or the platform writes again.
        """
        self.era = change.era
        self.revision = self._history_from = change.revision
        self._removed = {
            id_: _Removal(change.revision, removal.target)
            for id_, removal in self._removed.items()
        }
        changes = [entry for entry in change.targets if self._replace_entry(entry)]
        return changes + self._remove_absent(change)

    def _replace_entry(self, entry: TargetChange) -> bool:
        """Apply an entry of a new era; return whether the target changed."""
        if entry.target is None:
            return self._remove(entry.id, entry.revision)
        removal = self._removed.get(entry.id)
        if removal is not None and not _is_newer(entry.target, removal.target):
            self._removed[entry.id] = _Removal(entry.revision, removal.target)
            return False
        self._removed.pop(entry.id, None)
        current = self._entries.get(entry.id)
        if current is not None and entry.target.is_older_than(current.target):
            entry = attrs.evolve(entry, target=current.target)
        self._entries[entry.id] = entry
        return current is None or entry.target.differs_from(current.target)


def _is_newer(target: ListedTarget, known: ListedTarget | None) -> bool:
    """Return whether a target wrote again after the last known statement."""
    return known is None or known.is_older_than(target)
