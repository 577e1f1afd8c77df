"""The targets that the platform lists, with the revision up to which they are known."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from filbertshelf.addresses import Address

MAX_REMOVED = 4_096
"""Removals that are remembered so that a peer can be told what changed."""


@attrs.frozen
class ListedTarget:
    """One target process as the platform lists it."""

    id: str
    service: str
    address: Address
    data_centre: str
    slots: int
    draining: bool
    started_ms: int
    """The wall-clock time of its start; a restart under the same id changes it."""


@attrs.frozen
class TargetChange:
    """A target that is new or other than before, or None for one that is gone."""

    id: str
    revision: int
    target: ListedTarget | None


@attrs.frozen
class DirectoryChange:
    """The changes above revision `since` up to `revision`.

    With `since` 0 they are the whole directory, and a target that is absent is gone.
    """

    since: int
    revision: int
    targets: tuple[TargetChange, ...]


class TargetDirectory:
    """The listed targets at one revision; it does no I/O.

    A revision never goes back. A target is kept under its id, and the change with the
    highest revision wins, so that answers may come in any order.
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
        """Take a change and return what became different.

        A change whose `since` is above the held revision leaves a gap and is not
        taken; `fits` tells so before.
        """
        if not self.is_contiguous(change):
            return []
        found = [entry for entry in change.targets if self._put(entry)]
        if change.since == 0:
            found += self._drop_absent(change)
        self.revision = max(self.revision, change.revision)
        return found

    def is_contiguous(self, change: DirectoryChange) -> bool:
        """Return whether the change adds to what is held without a gap."""
        return change.since <= self.revision <= change.revision

    def changes_since(self, revision: int) -> DirectoryChange:
        """Return what changed above a revision, or all if that isn't known."""
        if revision < self._history_from or revision > self.revision:
            revision = 0
        entries = [e for e in self._entries.values() if e.revision > revision]
        if revision:
            entries += [
                TargetChange(id_, at, None)
                for id_, at in self._removed.items()
                if at > revision
            ]
        return DirectoryChange(revision, self.revision, tuple(entries))

    def _put(self, entry: TargetChange) -> bool:
        held = self._entries.get(entry.id)
        if held is not None and held.revision >= entry.revision:
            return False
        if self._removed.get(entry.id, 0) >= entry.revision:
            return False
        if entry.target is None:
            return self._remove(entry.id, entry.revision)
        if held is not None and held.target == entry.target:
            # Only the heartbeat moved on. The entry keeps its revision, so that it
            # isn't sent to peers again.
            return False
        self._removed.pop(entry.id, None)
        self._entries[entry.id] = entry
        return True

    def _remove(self, id_: str, revision: int) -> bool:
        known = self._entries.pop(id_, None) is not None
        self._removed[id_] = revision
        self._forget_oldest()
        return known

    def _forget_oldest(self) -> None:
        while len(self._removed) > MAX_REMOVED:
            oldest = min(self._removed, key=self._removed.__getitem__)
            self._history_from = max(self._history_from, self._removed.pop(oldest))

    def _drop_absent(self, change: DirectoryChange) -> list[TargetChange]:
        present = {entry.id for entry in change.targets}
        gone: Iterable[str] = [id_ for id_ in self._entries if id_ not in present]
        found = []
        for id_ in gone:
            self._remove(id_, change.revision)
            found.append(TargetChange(id_, change.revision, None))
        return found
