"""A platform that comes back from an older copy, whose revisions go back."""

from __future__ import annotations

import attrs
import pytest

from filbertshelf.coordination import feed as feed_module
from filbertshelf.protocol.feed import FeedUpdate
from test.coordination.feed_fleet import started_fleet


@pytest.fixture
async def feed_fleet():
    """Return a started fleet of six that knows the full content."""
    async with started_fleet(6) as fleet:
        yield fleet


async def lose_two_versions(fleet):
    """Publish 5, 6 and 7, and restore the platform from a copy that holds 5."""
    fleet.platform.publish(5)
    copy = fleet.platform.copy()
    fleet.platform.publish(6)
    fleet.platform.publish(7)
    await fleet.run(2.0)
    assert fleet.versions() == {7}
    fleet.platform.restore(copy)
    await fleet.run(1.5)


async def test_a_change_after_a_restore_is_in_force(feed_fleet):
    # Guards against a route that was added after a restore of the store and gets 404,
    # because its revision was given out before: on the day "restored" of hhgq-shelf.
    await lose_two_versions(feed_fleet)
    feed_fleet.platform.publish(8)
    await feed_fleet.run(2.0)
    assert feed_fleet.versions() == {8}


async def test_a_restored_platform_is_read_at_the_usual_rate(feed_fleet):
    # Guards against whole reads of the store in a tight loop: 478 in 4.5 s on the day
    # "restored" of hhgq-shelf.
    await lose_two_versions(feed_fleet)
    before = feed_fleet.platform.calls
    await feed_fleet.run(5.0)
    assert feed_fleet.platform.calls - before <= 14


async def test_a_target_listed_after_a_restore_is_known_to_all(feed_fleet):
    # Guards against new targets that stay unused because of their low revisions.
    await lose_two_versions(feed_fleet)
    feed_fleet.platform.put("t2")
    await feed_fleet.run(2.0)
    for feed in feed_fleet.feeds.values():
        assert set(feed.directory.targets()) == {"t1", "t2"}


async def test_versions_never_go_back_and_lost_ones_may_be_written_again(feed_fleet):
    # Guards against an older configuration that comes back with the copy, and against
    # a lost one that is applied twice when the operator writes it again.
    await lose_two_versions(feed_fleet)
    assert feed_fleet.versions() == {7}
    feed_fleet.platform.publish(6)
    await feed_fleet.run(1.0)
    feed_fleet.platform.publish(7)
    await feed_fleet.run(2.0)
    assert all(versions == [1, 7] for versions in feed_fleet.tables.values())


async def test_a_restore_is_noticed_when_its_revisions_have_caught_up(feed_fleet):
    # Guards against changes that are missed because the platform's revision is above
    # the last one that was read before the restore, so that no call fails.
    platform = feed_fleet.platform
    copy = platform.copy()
    platform.put("t2")
    platform.publish(4)
    await feed_fleet.run(2.0)
    platform.restore(copy)
    for number in range(3, 9):
        platform.put(f"t{number}")
    platform.publish(5)
    await feed_fleet.run(2.0 + 2.2 + 1.0)
    assert feed_fleet.versions() == {5}
    listed = {"t1", *(f"t{number}" for number in range(3, 9))}
    for feed in feed_fleet.feeds.values():
        assert set(feed.directory.targets()) == listed
    assert all(removed == ["t2"] for removed in feed_fleet.removed.values())


async def test_a_live_target_that_the_copy_lacks_is_kept_until_it_returns(feed_fleet):
    # Guards against removing a target that registered after the copy was made.
    platform = feed_fleet.platform
    copy = platform.copy()
    platform.put("t2")
    await feed_fleet.run(2.0)
    platform.restore(copy)
    await feed_fleet.run(1.5)
    platform.put("t2")
    await feed_fleet.run(4.0)
    assert all(removed == [] for removed in feed_fleet.removed.values())


async def test_a_target_that_drained_or_left_after_the_copy_stays_so(feed_fleet):
    # Guards against requests to targets that the copy lists as ready.
    platform = feed_fleet.platform
    platform.put("t2")
    copy = platform.copy()
    platform.put("t1", draining=True, sequence=2)
    platform.remove("t2")
    await feed_fleet.run(2.0)
    platform.restore(copy)
    await feed_fleet.run(4.0)
    for feed in feed_fleet.feeds.values():
        assert set(feed.directory.targets()) == {"t1"}
        assert feed.directory.targets()["t1"].draining


async def test_an_instance_that_starts_from_the_copy_gets_the_newer_version(feed_fleet):
    # Guards against a started instance that serves the copy's configuration until the
    # operator writes the lost one again.
    await lose_two_versions(feed_fleet)
    feed_fleet.add("n6", 6)
    await feed_fleet.feeds["n6"].start()
    await feed_fleet.run(2.0)
    assert feed_fleet.versions() == {7}


async def test_instances_that_the_platform_refuses_learn_of_a_restore_from_peers(
    feed_fleet, monkeypatch
):
    # Guards against instances that drop what their peers send after a restore, also if
    # it is only announced.
    platform = feed_fleet.platform
    monkeypatch.setattr(feed_module, "MAX_PUSHED_BYTES", 20)
    platform.unavailable_to = {"n0", "n1", "n4", "n5"}
    await lose_two_versions(feed_fleet)
    platform.publish(8)
    platform.put("t2")
    await feed_fleet.run(3.0)
    assert feed_fleet.versions() == {8}
    for feed in feed_fleet.feeds.values():
        assert set(feed.directory.targets()) == {"t1", "t2"}
        assert feed.age_s() < 2.5


async def test_an_answer_from_before_the_restore_is_dropped(feed_fleet, log):
    # Guards against a delayed answer that brings an instance back to the old era.
    await lose_two_versions(feed_fleet)
    feed_fleet.platform.era -= 1
    await feed_fleet.run(2.0)
    assert {feed.directory.era for feed in feed_fleet.feeds.values()} == {2}
    assert any(line["event"] == 402 for line in log)
    feed_fleet.platform.era += 1
    feed_fleet.platform.publish(8)
    await feed_fleet.run(3.0)
    assert feed_fleet.versions() == {8}


async def test_a_large_fleet_learns_of_a_restore_through_relays():
    # Guards against a restore that costs the platform a whole read by each instance.
    async with started_fleet(90) as fleet:
        await lose_two_versions(fleet)
        before = fleet.platform.calls
        fleet.platform.publish(8)
        await fleet.run(2.0)
        assert fleet.versions() == {8}
        assert fleet.platform.calls - before <= 10


async def test_an_older_build_that_names_no_era_updates_its_peers(feed_fleet):
    # Guards against targets that are dropped because an instance of an older build,
    # which knows no eras, is the only one that reaches the platform.
    platform = feed_fleet.platform
    older = feed_fleet.feeds["n0"]._peers
    real = older._deliver

    async def deliver(address, msg):
        changes = {"era": 0, "config_version": 0}
        if isinstance(msg, FeedUpdate):
            changes["sequences"] = ()
        return await real(address, attrs.evolve(msg, **changes))

    older._deliver = deliver
    platform.unavailable_to = {f"n{number}" for number in range(1, 6)}
    platform.publish(4)
    platform.put("t2")
    await feed_fleet.run(2.0)
    assert feed_fleet.versions() == {4}
    for feed in feed_fleet.feeds.values():
        assert set(feed.directory.targets()) == {"t1", "t2"}
        assert feed.age_s() < 2.5
