"""Distribution of the platform's content between gateways, in memory."""

from __future__ import annotations

import asyncio
import collections

import pytest

from filbertshelf.coordination import feed as feed_module
from filbertshelf.protocol.feed import FeedUpdate
from filbertshelf.state.platform_update import ConfigText, PlatformUpdate
from test.coordination.feed_fleet import Fleet, started_fleet


@pytest.fixture
async def fleet():
    """Return a started fleet of six that knows the full content."""
    async with started_fleet(6) as started:
        yield started


async def test_one_instance_polls_for_the_whole_fleet(fleet):
    # Guards against a rate of platform calls that grows with the fleet.
    before = fleet.platform.calls
    await fleet.run(10.0)
    assert 10 <= fleet.platform.calls - before <= 16


async def test_a_change_is_in_force_everywhere_within_two_seconds(fleet):
    fleet.platform.publish(7)
    fleet.platform.put("t2")
    fleet.platform.remove("t1")
    await fleet.run(2.0)
    assert fleet.versions() == {7}
    for feed in fleet.feeds.values():
        assert set(feed.directory.targets()) == {"t2"}


async def test_a_target_that_turns_cold_is_known_to_all_within_two_seconds(fleet):
    # Guards against peers that are told of a cold target only with its next change.
    for cold_s in (20.0, 0.0):
        fleet.platform.put("t1", sequence=2, cold_s=cold_s)
        await fleet.run(2.0)
        listed = [feed.directory.targets()["t1"] for feed in fleet.feeds.values()]
        assert {target.cold_s for target in listed} == {cold_s}


@pytest.mark.parametrize("refused_instances", [{"n0"}, {"n0", "n1", "n2", "n3"}])
async def test_instances_that_the_platform_refuses_are_updated_by_peers(
    fleet, refused_instances
):
    # Guards against instances that serve an old configuration while their peers have
    # the new one.
    fleet.platform.unavailable_to = refused_instances
    fleet.platform.publish(8)
    await fleet.run(3.0)
    assert fleet.versions() == {8}
    assert max(feed.age_s() for feed in fleet.feeds.values()) < 2.5


async def test_an_instance_cut_off_from_peers_polls_the_platform(fleet):
    fleet.cut_off = {"n4"}
    fleet.platform.publish(9)
    await fleet.run(3.0)
    assert fleet.versions() == {9}


async def test_an_older_version_is_not_applied(fleet):
    fleet.platform.publish(9)
    await fleet.run(2.0)
    fleet.platform.publish(3)
    await fleet.run(2.0)
    assert all(versions == [1, 9] for versions in fleet.tables.values())


async def test_a_malformed_configuration_leaves_the_previous_one_in_force(fleet, log):
    fleet.platform.revision += 1
    fleet.platform.config = ConfigText(fleet.platform.revision, b"nonsense")
    await fleet.run(2.0)
    assert fleet.versions() == {1}
    assert any(line["event"] == 401 for line in log)


async def test_a_lost_history_causes_a_full_read(fleet):
    # Guards against keeping a target that was removed in the missing history.
    fleet.cut_off = set(fleet.feeds)
    fleet.platform.unavailable_to = set(fleet.feeds)
    await fleet.run(1.0)
    fleet.platform.put("t2")
    fleet.platform.remove("t1")
    fleet.platform.oldest_known = fleet.platform.revision
    fleet.platform.unavailable_to = set()
    fleet.cut_off = set()
    await fleet.run(6.0)
    for feed in fleet.feeds.values():
        assert set(feed.directory.targets()) == {"t2"}


async def test_a_target_that_expired_in_an_outage_is_kept_until_it_returns(fleet):
    # Guards against removing live targets whose leases expired with the store.
    fleet.platform.unavailable_to = set(fleet.feeds)
    await fleet.run(4.0)
    fleet.platform.remove("t1")
    fleet.platform.unavailable_to = set()
    await fleet.run(1.5)
    fleet.platform.put("t1")
    await fleet.run(4.0)
    assert all(removed == [] for removed in fleet.removed.values())


async def test_a_target_that_does_not_return_after_an_outage_is_removed(fleet):
    fleet.platform.unavailable_to = set(fleet.feeds)
    await fleet.run(4.0)
    fleet.platform.remove("t1")
    fleet.platform.unavailable_to = set()
    await fleet.run(1.0 + feed_module.REMOVAL_DELAY_S + 2.0)
    assert all(removed == ["t1"] for removed in fleet.removed.values())


async def test_without_an_outage_a_target_is_removed_at_once(fleet):
    # Guards against sending requests to a target that left without notice.
    fleet.platform.remove("t1")
    await fleet.run(1.5)
    assert all(removed == ["t1"] for removed in fleet.removed.values())


async def test_instances_that_start_without_the_platform_are_updated_by_seeds():
    fleet = Fleet(3)
    fleet.platform.put("t1")
    fleet.platform.unavailable_to = {"n1", "n2"}
    await fleet.start()
    await fleet.run(3.0)
    assert fleet.versions() == {1}
    for feed in fleet.feeds.values():
        await feed.stop()


async def test_a_platform_without_configuration_is_polled_at_a_limited_rate():
    # Guards against a tight loop of calls while there is no configuration yet.
    fleet = Fleet(1)
    fleet.platform.config = ConfigText(1, b"nonsense")
    await fleet.start()
    await fleet.run(5.0)
    assert fleet.platform.calls <= 12
    assert not fleet.feeds["n0"].ready
    for feed in fleet.feeds.values():
        await feed.stop()


async def test_a_lagging_instance_fetches_from_one_peer_at_a_time(fleet):
    # Guards against a link filled with many copies of the same reply: version 9 reached
    # an instance of the grown hhgq-shelf too late (CONFIG, scale-2).
    lagging = fleet.feeds["n5"]
    requested = []

    async def request_without_reply(address, msg, timeout):
        requested.append(address)
        await asyncio.sleep(3600)

    lagging._peers.request = request_without_reply
    fleet.cut_off = {"n5"}
    fleet.platform.unavailable_to = {"n5"}
    await fleet.run(1.0)
    fleet.platform.put("t2")
    await fleet.run(2.0)
    fleet.cut_off = set()
    await fleet.run(5.0)
    assert len(requested) == 1


async def test_a_full_read_pushes_only_the_changes(fleet):
    # Guards against the full content being pushed to all peers by each instance that
    # reads all of the platform: 639 MB in one second on the grown turnos-nieve
    # (trouble-1).
    pushed = []
    for feed in fleet.feeds.values():
        real = feed._peers.notify_all

        async def notify_all(addresses, msg, real=real):
            pushed.append(msg)
            await real(addresses, msg)

        feed._peers.notify_all = notify_all
    fleet.platform.put("t2")
    fleet.platform.oldest_known = fleet.platform.revision
    await fleet.run(4.0)
    assert fleet.platform.calls
    assert all(set(f.directory.targets()) == {"t1", "t2"} for f in fleet.feeds.values())
    assert pushed
    assert all(msg.since > 0 for msg in pushed)
    assert all(len(msg.update().directory.targets) <= 1 for msg in pushed)


async def test_a_large_update_is_sent_only_to_instances_that_lack_it(
    fleet, monkeypatch
):
    # Guards against the same 53 KB pushed to all peers by each of 30 instances that
    # polled the platform while they were cut off: scale-2 of the grown hhgq-shelf.
    monkeypatch.setattr(feed_module, "MAX_PUSHED_BYTES", 200)
    sent = []
    for feed in fleet.feeds.values():
        real = feed._peers._deliver

        async def deliver(address, msg, real=real):
            reply = await real(address, msg)
            sent.extend(m for m in (msg, reply) if isinstance(m, FeedUpdate) and m.size)
            return reply

        feed._peers._deliver = deliver
    for number in range(100):
        fleet.platform.put(f"new-{number}")
    await fleet.run(2.0)
    for feed in fleet.feeds.values():
        assert len(feed.directory.targets()) == 101
        # An instance that polled the platform itself has it all and announces it.
        feed._push(PlatformUpdate(feed.directory.changes_since(1), None), False)
    await fleet.run(0.5)
    assert len(sent) == len(fleet.feeds) - 1


async def test_a_large_fleet_polls_an_unavailable_platform_at_a_limited_rate():
    # Guards against 100 calls a second to a platform that is down: 1,241 calls on
    # trouble-1 of the grown turnos-nieve with 130 instances, most of them near its end.
    fleet = Fleet(90)
    fleet.platform.put("t1")
    await fleet.start()
    await fleet.run(2.0)
    fleet.platform.unavailable_to = set(fleet.feeds)
    await fleet.run(6.0)
    before = fleet.platform.calls
    await fleet.run(4.0)
    assert fleet.platform.calls - before <= 4 * 60
    fleet.platform.publish(5)
    fleet.platform.unavailable_to = set()
    await fleet.run(1.0)
    assert fleet.versions() == {5}
    for feed in fleet.feeds.values():
        await feed.stop()


async def test_a_large_fleet_is_updated_within_two_seconds_without_two_relays():
    # Guards against instances behind a relay that is cut off, and against a sender
    # whose messages grow with the fleet.
    fleet = Fleet(90)
    fleet.platform.put("t1")
    await fleet.start()
    await fleet.run(2.0)
    sent = collections.Counter()
    for name, feed in fleet.feeds.items():
        real = feed._peers.notify_all

        async def notify_all(addresses, msg, name=name, real=real):
            sent[name] += len(addresses)
            await real(addresses, msg)

        feed._peers.notify_all = notify_all
    calls_before = fleet.platform.calls
    await fleet.run(7.0)
    assert fleet.platform.calls - calls_before <= 12
    assert max(sent.values()) <= 11 * 13
    fleet.cut_off = {"n10", "n34"}
    fleet.platform.publish(6)
    fleet.platform.put("t2")
    await fleet.run(2.0)
    fleet.platform.publish(7)
    await fleet.run(2.0)
    for name, feed in fleet.feeds.items():
        assert name in fleet.cut_off or feed.table.version == 7
        await feed.stop()


async def test_an_unexpected_error_of_a_poll_is_logged_and_the_next_poll_works(
    fleet, log, monkeypatch
):
    # Guards against an error that nobody expects and that ends the process, again after
    # each restart (review case 5).
    feed = fleet.feeds["n0"]
    changes = feed._source.changes

    async def fail(after):
        raise OverflowError("int too large to convert to float")

    monkeypatch.setattr(feed._source, "changes", fail)
    fleet.cut_off = {"n0"}
    await fleet.run(4.0)
    assert not feed.crashed
    lines = [line for line in log if line["event"] == 108]
    assert lines
    assert "OverflowError" in lines[0]["traceback"]
    monkeypatch.setattr(feed._source, "changes", changes)
    fleet.platform.publish(7)
    await fleet.run(3.0)
    assert fleet.versions() == {7}
