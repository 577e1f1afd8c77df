"""The listed targets and the order in which their changes count."""

from __future__ import annotations

import random

from filbertshelf.state import directory as module
from filbertshelf.state.directory import (
    DirectoryChange,
    ListedTarget,
    TargetChange,
    TargetDirectory,
)


def target(id_: str, draining: bool = False) -> ListedTarget:
    return ListedTarget(id_, "desk", ("10.0.0.1", 1), "here", 2, draining, 0)


def put(id_: str, revision: int, draining: bool = False) -> TargetChange:
    return TargetChange(id_, revision, target(id_, draining))


def gone(id_: str, revision: int) -> TargetChange:
    return TargetChange(id_, revision, None)


def held_with(*changes: TargetChange, revision: int = 10) -> TargetDirectory:
    held = TargetDirectory()
    held.apply(DirectoryChange(0, revision, changes))
    return held


def test_a_heartbeat_alone_changes_nothing():
    # Guards against telling all peers of each heartbeat of each target.
    held = held_with(put("a", 5))
    assert held.apply(DirectoryChange(10, 20, (put("a", 15),))) == []
    assert held.revision == 20
    assert held.changes_since(10).targets == ()


def test_an_older_read_never_takes_a_change_back():
    # Guards against a stale page that revives a target that has gone.
    held = held_with(put("a", 5))
    held.apply(DirectoryChange(10, 20, (gone("a", 15),)))
    assert held.apply(DirectoryChange(10, 20, (put("a", 5),))) == []
    assert held.apply(DirectoryChange(0, 12, (put("a", 5),))) == []
    assert held.targets() == {}


def test_a_whole_read_removes_what_is_absent():
    held = held_with(put("a", 5), put("b", 6))
    changes = held.apply(DirectoryChange(0, 30, (put("b", 6),)))
    assert changes == [gone("a", 30)]


def test_a_gap_is_not_taken():
    # Guards against missing the removal that lies between two changes.
    held = held_with(put("a", 5))
    later = DirectoryChange(15, 20, (put("b", 18),))
    assert not held.is_contiguous(later)
    assert held.apply(later) == []
    assert held.revision == 10


def test_peers_with_any_history_end_with_the_same_targets():
    # Guards against instances that differ after deltas, gaps and whole reads.
    rng = random.Random(4)
    source = held_with(revision=1)
    followers = [TargetDirectory() for _ in range(3)]
    revision = 1
    for _ in range(400):
        since, revision = revision, revision + rng.randint(1, 3)
        id_ = rng.choice("abcdef")
        change = gone(id_, revision)
        if rng.random() < 0.6:
            change = put(id_, revision, rng.random() < 0.3)
        source.apply(DirectoryChange(since, revision, (change,)))
        follower = rng.choice(followers)
        follower.apply(source.changes_since(follower.revision))
    for follower in followers:
        follower.apply(source.changes_since(follower.revision))
        assert follower.targets() == source.targets()


def test_a_forgotten_history_is_told_whole(monkeypatch):
    monkeypatch.setattr(module, "MAX_REMOVED", 2)
    held = held_with(put("a", 1), put("b", 2), put("c", 3), put("d", 4))
    for number, id_ in enumerate("abc"):
        held.apply(DirectoryChange(10 + number, 11 + number, (gone(id_, 11 + number),)))
    assert held.changes_since(10).since == 0
    assert held.changes_since(12).since == 12
