"""The directory of listed targets and the order of its changes."""

from __future__ import annotations

import random

import attrs

from filbertshelf.state import directory as module
from filbertshelf.state.directory import (
    DirectoryChange,
    ListedTarget,
    TargetChange,
    TargetDirectory,
)


def target(id_: str, draining: bool = False) -> ListedTarget:
    return ListedTarget(id_, "desk", ("10.0.0.1", 1), "here", 2, draining, 0)


def stated(
    id_: str, revision: int, sequence: int, draining: bool = False, started_ms: int = 0
) -> TargetChange:
    """Return an entry with a sequence number."""
    listed = ListedTarget(
        id_, "desk", ("10.0.0.1", 1), "here", 2, draining, started_ms, sequence
    )
    return TargetChange(id_, revision, listed)


def restored(revision: int, *changes: TargetChange, era: int = 2) -> DirectoryChange:
    """Return the whole content after a restore."""
    return DirectoryChange(0, revision, changes, era)


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


def test_a_restored_content_replaces_one_with_higher_revisions():
    # Guards against a content that is dropped because its revisions were given out
    # before the restore.
    directory = directory_with(stated("a", 5, 1), stated("b", 6, 1))
    changes = directory.apply(restored(4, stated("a", 2, 1), stated("c", 4, 1)))
    assert {(change.id, change.target is None) for change in changes} == {
        ("b", True),
        ("c", False),
    }
    assert (directory.era, directory.revision) == (2, 4)
    later = DirectoryChange(4, 5, (stated("b", 5, 2),), era=2)
    assert [change.id for change in directory.apply(later)] == ["b"]


def test_a_target_that_drained_after_the_copy_is_still_draining():
    # Guards against requests to a target that has reported that it drains, because the
    # platform's copy still says that it is ready.
    directory = directory_with(stated("a", 5, 2, draining=True))
    assert directory.apply(restored(4, stated("a", 3, 1))) == []
    assert directory.targets()["a"].draining
    again = DirectoryChange(4, 6, (stated("a", 6, 2, draining=True),), era=2)
    assert directory.apply(again) == []


def test_a_target_that_left_after_the_copy_stays_removed_until_it_writes_again():
    # Guards against requests to a target that serves on after its entry was removed.
    directory = directory_with(stated("a", 5, 2))
    directory.apply(DirectoryChange(10, 11, (removed("a", 11),)))
    copy = stated("a", 5, 2)
    assert directory.apply(restored(9, copy)) == []
    assert directory.targets() == {}
    assert directory.apply(DirectoryChange(0, 10, (copy,), era=2)) == []
    alive = DirectoryChange(10, 12, (stated("a", 12, 3),), era=2)
    assert [change.id for change in directory.apply(alive)] == ["a"]


def test_a_restarted_target_is_not_replaced_by_its_predecessor():
    # Guards against the address of a process that has ended, under the same id.
    directory = directory_with(stated("a", 5, 1, started_ms=900))
    directory.apply(restored(4, stated("a", 3, 8, started_ms=100)))
    assert directory.targets()["a"].started_ms == 900


def test_changes_are_counted_within_one_era_only():
    # Guards against an instance that takes part of another era's content for all of
    # it, and against one that goes back to the era before.
    directory = directory_with(stated("a", 5, 1))
    directory.apply(restored(8, stated("a", 5, 1), stated("b", 8, 1)))
    assert directory.changes_since(6, era=0).since == 0
    assert directory.changes_since(8, era=2).since == 8
    assert directory.changes_since(7, era=2).since == 0
    assert not directory.is_contiguous(DirectoryChange(8, 12, (), era=1))
    assert not directory.is_contiguous(DirectoryChange(8, 12, (), era=3))
    assert directory.apply(DirectoryChange(0, 30, (), era=1)) == []


def test_a_second_restore_is_judged_by_what_was_written_in_between():
    directory = directory_with(stated("a", 5, 1))
    directory.apply(restored(4, stated("a", 2, 1)))
    directory.apply(DirectoryChange(4, 5, (stated("a", 5, 2),), era=2))
    directory.apply(DirectoryChange(5, 6, (removed("a", 6),), era=2))
    assert directory.apply(restored(3, stated("a", 2, 1), era=3)) == []
    assert directory.targets() == {}


def cold(id_: str, revision: int, cold_s: float | None, sequence: int) -> TargetChange:
    change = put(id_, revision)
    target = attrs.evolve(change.target, cold_s=cold_s, sequence=sequence)
    return attrs.evolve(change, target=target)


def test_a_target_that_turns_cold_or_warm_is_a_change_and_its_countdown_is_none():
    # Guards against peers that don't hear of a cold target, and against an update to
    # all peers each time that a cold target writes.
    directory = directory_with(cold("a", 5, 0.0, 1))
    news = []
    for revision, cold_s in enumerate((0.0, 20.0, 18.0, 16.0, 20.0, 4.0, 0.0, 0.0), 11):
        change = cold("a", revision, cold_s, revision)
        since = directory.revision
        if directory.apply(DirectoryChange(since, revision, (change,))):
            news.append((revision, cold_s))
            assert directory.changes_since(since).targets == (change,)
        assert directory.targets()["a"].cold_s == cold_s
    assert news == [(12, 20.0), (15, 20.0), (17, 0.0)]


def test_an_update_of_an_older_build_without_cold_times_is_no_change():
    directory = directory_with(cold("a", 5, 20.0, 1))
    assert directory.apply(DirectoryChange(10, 11, (cold("a", 11, None, 2),))) == []


def test_a_restored_content_in_which_a_target_is_cold_is_a_change():
    # Guards against a target that turned cold while the store was restored.
    directory = directory_with(cold("a", 5, 0.0, 1))
    (change,) = directory.apply(restored(4, cold("a", 2, 9.0, 2)))
    assert change.target.cold_s == 9.0
