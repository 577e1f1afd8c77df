"""The set of evacuated data centres, from whatever source and in whatever order."""

from __future__ import annotations

import random

import pytest

from filbertshelf.state.evacuation import (
    EvacuationChange,
    EvacuationEntry,
    EvacuationSet,
)


def whole(revision: int, era: int = 1, **written: int) -> EvacuationChange:
    """Return a whole set; `written` has the revisions of its data centres."""
    entries = tuple(EvacuationEntry(*item) for item in written.items())
    return EvacuationChange(0, revision, entries, era)


def step(since: int, *entries: EvacuationEntry) -> EvacuationChange:
    """Return the changes since a revision."""
    return EvacuationChange(since, max(e.revision for e in entries), entries, 1)


@pytest.fixture
def known():
    """Return a set in which `a` was evacuated at revision 5, as of 10."""
    evacuations = EvacuationSet()
    evacuations.apply(whole(10, a=5))
    return evacuations


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        pytest.param(whole(9), "a", id="older set"),
        pytest.param(whole(9, a=5, b=7), "a", id="older set with an ended evacuation"),
        pytest.param(whole(12), "", id="newer set"),
        pytest.param(whole(12, a=5, b=11), "ab", id="newer set with another one"),
        pytest.param(step(10, EvacuationEntry("a", 11, False)), "", id="deletion"),
        pytest.param(step(11, EvacuationEntry("a", 12, False)), "a", id="gap"),
        pytest.param(step(3, EvacuationEntry("b", 4), EvacuationEntry("c", 12)), "ac"),
        pytest.param(whole(3, era=2, b=2), "b", id="restored store"),
        pytest.param(whole(3, era=2, a=5), "a", id="restored store, still evacuated"),
        pytest.param(whole(99, era=0), "a", id="earlier era"),
    ],
)
def test_the_later_statement_of_each_data_centre_wins(known, change, expected):
    # Guards against a peer that lags and ends an evacuation or begins an ended one.
    before = known.data_centres
    changed = known.apply(change)
    assert known.data_centres == frozenset(expected)
    assert {entry.data_centre for entry in changed} == before ^ known.data_centres
    assert known.apply(change) == []


def test_a_write_during_a_full_read_is_not_ended_by_a_set_of_its_revision(known):
    # Guards against a flapping evacuation: later pages may be newer than the revision.
    known.apply(whole(12, a=5, b=14))
    known.apply(whole(12, a=5))
    known.apply(whole(13, a=5))
    assert known.data_centres == {"a", "b"}
    known.apply(whole(15, a=5))
    assert known.data_centres == {"a"}


@pytest.mark.parametrize("seed", range(20))
def test_instances_agree_on_any_order_of_updates(seed):
    rng = random.Random(seed)
    written: dict[str, int] = {}
    updates = []
    for revision in range(1, 40):
        name = rng.choice("abc")
        if written.pop(name, None) is None:
            written[name] = revision
        updates.append(whole(revision, **written))
    rng.shuffle(updates)
    evacuations = EvacuationSet()
    for update in updates:
        evacuations.apply(update)
    assert evacuations.data_centres == set(written)
