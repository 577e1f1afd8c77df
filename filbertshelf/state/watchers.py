"""The selection of the members of a data centre that watch the platform."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

# With two, one still watches until the failure of the other is detected.
WATCHERS_PER_DATA_CENTRE = 2


def choose_watchers(
    data_centre: str, member_ids: Iterable[str], count: int = WATCHERS_PER_DATA_CENTRE
) -> tuple[str, ...]:
    """Return the ids of the members that watch, selected by rendezvous hashing.

    All instances that know the same live members choose the same watchers, and a
    change of one member replaces at most one watcher.
    """
    ranked = sorted(
        set(member_ids), key=lambda name: (_weight(data_centre, name), name)
    )
    return tuple(ranked[:count])


def _weight(data_centre: str, member_id: str) -> bytes:
    text = f"{data_centre}\0{member_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
