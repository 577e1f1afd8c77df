"""The directory of listed targets and the order of its changes."""

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


def removed(id_: str, revision: int) -> TargetChange:
    return TargetChange(id_, revision, None)


def directory_with(*changes: TargetChange, revision: int = 10) -> TargetDirectory:
    directory = TargetDirectory()
    directory.apply(DirectoryChange(0, revision, changes))
    return directory


def test_a_heartbeat_alone_changes_nothing():
    # Guards against sending each heartbeat of each target to all peers.
    directory = directory_with(put("a", 5))
    assert directory.apply(DirectoryChange(10, 20, (put("a", 15),))) == []
    assert directory.revision == 20
    assert directory.changes_since(10).targets == ()


def test_an_older_read_never_reverts_a_change():
    # Guards against a stale page that restores a removed target.
    directory = directory_with(put("a", 5))
    directory.apply(DirectoryChange(10, 20, (removed("a", 15),)))
    assert directory.apply(DirectoryChange(10, 20, (put("a", 5),))) == []
    assert directory.apply(DirectoryChange(0, 12, (put("a", 5),))) == []
    assert directory.targets() == {}


def test_a_full_read_removes_absent_targets():
    directory = directory_with(put("a", 5), put("b", 6))
    changes = directory.apply(DirectoryChange(0, 30, (put("b", 6),)))
    assert changes == [removed("a", 30)]


def test_a_change_after_a_gap_is_ignored():
    # Guards against missing a removal between two changes.
    directory = directory_with(put("a", 5))
    later = DirectoryChange(15, 20, (put("b", 18),))
    assert not directory.is_contiguous(later)
    assert directory.apply(later) == []
    assert directory.revision == 10


def test_peers_with_any_history_end_with_the_same_targets():
    # Guards against instances that differ after deltas, gaps and full reads.
    rng = random.Random(4)
    source = directory_with(revision=1)
    followers = [TargetDirectory() for _ in range(3)]
    revision = 1
    for _ in range(400):
        since, revision = revision, revision + rng.randint(1, 3)
        id_ = rng.choice("abcdef")
        change = removed(id_, revision)
        if rng.random() < 0.6:
            change = put(id_, revision, rng.random() < 0.3)
        source.apply(DirectoryChange(since, revision, (change,)))
        follower = rng.choice(followers)
        follower.apply(source.changes_since(follower.revision))
    for follower in followers:
        follower.apply(source.changes_since(follower.revision))
        assert follower.targets() == source.targets()


def test_without_enough_history_the_full_directory_is_returned(monkeypatch):
    monkeypatch.setattr(module, "MAX_REMOVED", 2)
    directory = directory_with(put("a", 1), put("b", 2), put("c", 3), put("d", 4))
    for number, id_ in enumerate("abc"):
        directory.apply(
            DirectoryChange(10 + number, 11 + number, (removed(id_, 11 + number),))
        )
    assert directory.changes_since(10).since == 0
    assert directory.changes_since(12).since == 12
