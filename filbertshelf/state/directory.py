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


class TargetDirectory:
    """The listed targets at one revision, without I/O.

    The revision never decreases. For each target id the change with the highest
    revision wins, so changes may arrive in any order.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._entries: dict[str, TargetChange] = {}
        self._removed: dict[str, int] = {}
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
        changes = [entry for entry in change.targets if self._apply_entry(entry)]
        if change.since == 0:
            changes += self._remove_absent(change)
        self.revision = max(self.revision, change.revision)
        return changes

    def is_contiguous(self, change: DirectoryChange) -> bool:
        """Return whether the change leaves no gap after the current revision."""
        return change.since <= self.revision <= change.revision

    def changes_since(self, revision: int) -> DirectoryChange:
        """Return the changes after a revision, or all targets if they are unknown."""
        if revision < self._history_from or revision > self.revision:
            revision = 0
        entries = [
            entry for entry in self._entries.values() if entry.revision > revision
        ]
        if revision:
            entries += [
                TargetChange(id_, removed_at, None)
                for id_, removed_at in self._removed.items()
                if removed_at > revision
            ]
        return DirectoryChange(revision, self.revision, tuple(entries))

    def _apply_entry(self, entry: TargetChange) -> bool:
        current = self._entries.get(entry.id)
        if current is not None and current.revision >= entry.revision:
            return False
        if self._removed.get(entry.id, 0) >= entry.revision:
            return False
        if entry.target is None:
            return self._remove(entry.id, entry.revision)
        if current is not None and current.target == entry.target:
            # Only the heartbeat changed. The entry keeps its revision, so that it isn't
            # sent to peers again.
            return False
        self._removed.pop(entry.id, None)
        self._entries[entry.id] = entry
        return True

    def _remove(self, id_: str, revision: int) -> bool:
        known = self._entries.pop(id_, None) is not None
        self._removed[id_] = revision
        self._drop_oldest_removals()
        return known

    def _drop_oldest_removals(self) -> None:
        while len(self._removed) > MAX_REMOVED:
            oldest = min(self._removed, key=self._removed.__getitem__)
            self._history_from = max(self._history_from, self._removed.pop(oldest))

    def _remove_absent(self, change: DirectoryChange) -> list[TargetChange]:
        present = {entry.id for entry in change.targets}
        absent_ids: Iterable[str] = [id_ for id_ in self._entries if id_ not in present]
        changes = []
        for id_ in absent_ids:
            self._remove(id_, change.revision)
            changes.append(TargetChange(id_, change.revision, None))
        return changes
