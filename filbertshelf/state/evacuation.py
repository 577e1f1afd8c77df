"""The data centres that the operator has evacuated, at one revision."""

from __future__ import annotations

import attrs


@attrs.frozen
class EvacuationEntry:
    """The last known write that began or ended the evacuation of a data centre."""

    data_centre: str
    revision: int
    active: bool = True


@attrs.frozen
class EvacuationChange:
    """The evacuations that began or ended after `since`, up to `revision`.

    With `since` 0 the active entries are the whole set, and each evacuation that is
    absent has ended. `era` counts the restores of the platform, as in
    `state.directory.DirectoryChange`.
    """

    since: int
    revision: int
    entries: tuple[EvacuationEntry, ...]
    era: int = 0


class EvacuationSet:
    """The evacuated data centres as of one revision of the platform.

    `revision` is 0 until the first content is known. Within an era the later revision
    of each data centre wins. The first whole content of a later era replaces the set.
    """

    def __init__(self) -> None:
        self.era = 0
        self.revision = 0
        self._active: dict[str, int] = {}

    @property
    def data_centres(self) -> frozenset[str]:
        """Return the evacuated data centres."""
        return frozenset(self._active)

    def whole(self) -> EvacuationChange:
        """Return the whole set, for a peer."""
        entries = tuple(EvacuationEntry(*item) for item in sorted(self._active.items()))
        return EvacuationChange(0, self.revision, entries, self.era)

    def apply(self, change: EvacuationChange) -> list[EvacuationEntry]:
        """Apply a change and return the evacuations that began or ended by it.

        Older content is ignored, and so is a change that leaves a gap.
        """
        if not self._is_contiguous(change):
            return []
        if change.era > self.era:
            # Revisions of different eras can't be compared.
            self._active = dict.fromkeys(self._active, 0)
            self.era = change.era
            self.revision = 0
        changed = [entry for entry in change.entries if self._apply_entry(entry)]
        if change.since == 0:
            changed += self._end_absent(change)
        self.revision = change.revision
        return changed

    def _is_contiguous(self, change: EvacuationChange) -> bool:
        if change.era != self.era:
            return change.era > self.era and change.since == 0
        return change.since <= self.revision <= change.revision

    def _apply_entry(self, entry: EvacuationEntry) -> bool:
        """Apply an entry; return whether an evacuation began or ended."""
        held = self._active.get(entry.data_centre)
        if entry.revision <= (self.revision if held is None else held):
            return False
        if entry.active:
            self._active[entry.data_centre] = entry.revision
            return held is None
        return self._active.pop(entry.data_centre, None) is not None

    def _end_absent(self, change: EvacuationChange) -> list[EvacuationEntry]:
        """End the evacuations that a whole set lacks.

        A full read of several pages may contain writes after its revision. Sets of that
        revision say nothing of them.
        """
        present = {entry.data_centre for entry in change.entries if entry.active}
        absent = [
            name
            for name, revision in self._active.items()
            if name not in present and revision <= change.revision
        ]
        for name in absent:
            del self._active[name]
        return [EvacuationEntry(name, change.revision, False) for name in absent]
