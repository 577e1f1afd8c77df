"""Replication of documents and readiness of instances over a simulated network."""

import contextlib

import pytest

from filbertshelf.bench.configuration_fleet import Fleet
from filbertshelf.errors import PublicationError
from filbertshelf.protocol.platform import PlatformDocument
from filbertshelf.state.documents import encode_entries
from filbertshelf.state.watchers import choose_watchers


def content(number, extra_policies=0):
    policies = {f"p{i}": {"priority": i} for i in range(extra_policies)}
    return {"fleet": {"instances": number}, "policies": policies}


@contextlib.asynccontextmanager
async def running_fleet(size, **kwargs):
    fleet = Fleet(**kwargs)
    fleet.platform.publish(1, content(1))
    await fleet.add(size)
    await fleet.run(15, fleet.ready)
    assert fleet.ready()
    # After this, only the chosen watchers still watch the platform.
    await fleet.run(12)
    try:
        yield fleet
    finally:
        await fleet.stop()


async def test_platform_calls_do_not_grow_with_the_fleet():
    """Guards against every instance polling the platform."""
    calls = {}
    for size in (5, 20, 100):
        async with running_fleet(size) as fleet:
            before = fleet.platform.calls
            await fleet.run(30)
            calls[size] = fleet.platform.calls - before
    # There are 3 data centres with 2 watchers each (with 5 instances, one has just 1),
    # 2 documents, and watches of 10 s.
    assert calls[20] <= 3 * 2 * 2 * 4
    assert max(calls.values()) - min(calls.values()) <= 2 * 4


@pytest.mark.parametrize("loss", [0.0, 0.3])
async def test_a_change_reaches_all_instances_within_8_s(loss):
    """Guards against instances that miss a change because an offer was lost."""
    async with running_fleet(40, loss=loss) as fleet:
        fleet.platform.publish(2, content(2))
        assert await fleet.run(20, lambda: fleet.count_at_revision(2) == 40) < 8


async def test_offers_reach_most_instances_before_the_probes():
    """Guards against versions that spread only by membership probes."""
    async with running_fleet(40) as fleet:
        fleet.platform.down = True
        first = next(iter(fleet.nodes.values())).config
        document = PlatformDocument(2, content(2))
        first._on_platform_answer("config", document, first.readiness.epoch)
        await fleet.run(0.2)
        assert fleet.count_at_revision(2) >= 32


async def test_a_version_that_this_build_refuses_does_not_block_the_start():
    """Guards against waiting for a version that this build refuses."""
    async with running_fleet(4) as fleet:
        for node in fleet.nodes.values():
            document_state = node.config.store.documents["config"]
            document_state.accept(9, encode_entries({"fleet": {"instances": 0}}))
        [new] = await fleet.add(1)
        fleet.platform.stale_documents["config"] = PlatformDocument(1, content(1))
        assert await fleet.run(20, lambda: new.config.ready) < 5
        assert new.config.version.revision == 1


async def test_peers_spread_a_version_while_the_platform_is_down(log):
    async with running_fleet(20) as fleet:
        fleet.platform.down = True
        await fleet.run(20)
        assert fleet.ready()
        first = next(iter(fleet.nodes.values())).config
        document = PlatformDocument(2, content(2))
        first._on_platform_answer("config", document, first.readiness.epoch)
        assert await fleet.run(20, lambda: fleet.count_at_revision(2) == 20) < 8
        [new] = await fleet.add(1)
        assert await fleet.run(20, lambda: new.config.ready) < 3
        assert new.config.version.revision == 2
        fleet.platform.down = False
        fleet.platform.publish(3, content(3))
        assert await fleet.run(20, lambda: fleet.count_at_revision(3) == 21) < 8
        await fleet.run(5)
    numbers = [line["event"] for line in log if "event" in line]
    # Each of the 6 watchers logs the outage and its end for 2 documents. The new
    # instance logs only the outage, because it doesn't call the platform again.
    assert numbers.count(404) == 6 * 2
    assert numbers.count(402) == 6 * 2 + 2


async def test_a_new_instance_ignores_the_older_version_of_a_stale_platform():
    """Guards against a start with the old version served by a stale replica."""
    async with running_fleet(6) as fleet:
        fleet.platform.publish(5, content(5))
        await fleet.run(20, lambda: fleet.count_at_revision(5) == 6)
        fleet.platform.stale_documents["config"] = PlatformDocument(1, content(1))
        [new] = await fleet.add(1)
        versions = []
        await fleet.run(
            20, lambda: versions.append(new.config.version) or new.config.ready
        )
        assert new.config.version.revision == 5
        assert versions == sorted(versions)
        await fleet.run(5)
        assert fleet.count_at_revision(5) == 7


async def test_a_platform_that_reverts_is_logged_and_not_followed(log):
    """Guards against operators' changes that silently have no effect."""
    async with running_fleet(6) as fleet:
        fleet.platform.publish(5, content(5))
        await fleet.run(20, lambda: fleet.count_at_revision(5) == 6)
        fleet.platform.publish(2, content(2))
        await fleet.run(80)
        assert fleet.count_at_revision(5) == 6
    offered = [line["offered"] for line in log if line.get("event") == 403]
    assert len(offered) == 6
    assert {text.split("-")[0] for text in offered} == {"2"}


async def test_a_platform_that_fails_immediately_is_not_called_in_a_busy_loop():
    """Guards against a busy loop that exhausts the platform's read capacity."""
    async with running_fleet(6) as fleet:
        for fault in ("down", "watches_return_unchanged", "watches_return_none"):
            setattr(fleet.platform, fault, True)
            before = fleet.platform.calls
            await fleet.run(10)
            assert fleet.platform.calls - before <= 6 * 2 * 24
            setattr(fleet.platform, fault, False)
            await fleet.run(5)


async def test_an_invalid_publication_is_refused_everywhere_and_not_offered(log):
    async with running_fleet(6) as fleet:
        fleet.platform.publish(2, {"fleet": {"instances": 0}})
        before = fleet.platform.calls
        await fleet.run(10)
        # With 6 watchers and 2 documents, the refused revision isn't read repeatedly.
        assert fleet.platform.calls - before <= 6 * 2 * 3
        assert fleet.count_at_revision(1) == 6
        refused = [line for line in log if line.get("event") == 401]
        watchers = [node for node in fleet.nodes.values() if node.config.watching]
        assert len(refused) == len(watchers)
        fleet.platform.publish(3, content(3))
        assert await fleet.run(20, lambda: fleet.count_at_revision(3) == 6) < 8


async def test_both_sides_of_a_partition_converge_when_it_ends():
    """Guards against instances that keep different contents of the same revision."""
    async with running_fleet(8) as fleet:
        for address in list(fleet.nodes)[::2]:
            fleet.partitions[address] = 1
        partition_sides = [list(fleet.nodes.values())[i].config for i in (0, 1)]
        for number, config in enumerate(partition_sides, start=2):
            document = PlatformDocument(2, content(number))
            config._on_platform_answer("config", document, config.readiness.epoch)
        await fleet.run(8)
        versions = {node.config.version for node in fleet.nodes.values()}
        assert len(versions) == 2
        fleet.partitions.clear()
        await fleet.run(8)
        held = {node.config.version for node in fleet.nodes.values()}
        assert held == {max(versions)}
        sizes = {
            node.config.publication.fleet.instances for node in fleet.nodes.values()
        }
        assert len(sizes) == 1


async def test_a_paused_instance_is_not_ready_until_its_configuration_is_confirmed():
    """Guards against serving with a configuration that changed during the pause."""
    async with running_fleet(6) as fleet:
        node = next(iter(fleet.nodes.values()))
        node.paused = True
        fleet.platform.down = True
        await fleet.run(1)
        node.config.require_confirmation()
        await fleet.run(10)
        assert not node.config.ready
        others = [other.config for other in fleet.nodes.values() if other is not node]
        document = PlatformDocument(2, content(2))
        others[0]._on_platform_answer("config", document, 0)
        await fleet.run(3)
        node.paused = False
        ready_at = []
        await fleet.run(5, lambda: node.config.ready and not ready_at.append(node))
        assert node.config.ready
        assert node.config.version.revision == 2


async def test_an_answer_from_before_the_pause_does_not_confirm():
    """Guards against replies that were buffered in a socket during a pause."""
    async with running_fleet(2) as fleet:
        node = next(iter(fleet.nodes.values()))
        before = node.config.readiness.epoch
        node.config.require_confirmation()
        node.config.readiness.peer_answered(before, ready=True)
        document = PlatformDocument(1, content(1))
        node.config._on_platform_answer("config", document, before)
        node.config._check_ready()
        assert not node.config.ready
        await fleet.run(2)
        assert node.config.ready


async def test_an_instance_without_peers_starts_after_the_grace_period():
    fleet = Fleet()
    fleet.platform.publish(1, {"fleet": {"instances": 0}})
    [node] = await fleet.add(1)
    await fleet.run(10)
    assert not node.config.ready
    fleet.platform.publish(2, content(1))
    assert await fleet.run(10, lambda: node.config.ready) < 5
    await fleet.stop()


async def test_a_failing_subscriber_does_not_stop_the_others(log):
    async with running_fleet(1) as fleet:
        config = next(iter(fleet.nodes.values())).config
        notified = []

        def fail(document):
            raise PublicationError([])

        config.subscribe(fail)
        config.subscribe(notified.append)
        fleet.platform.publish(2, content(2))
        await fleet.run(2)
        assert notified == ["config"]
    assert [line["event"] for line in log if "event" in line].count(410) == 1


def test_losing_a_member_replaces_at_most_one_watcher():
    names = {f"entry-{i}" for i in range(50)}
    watchers = choose_watchers("bne-1", names)
    for lost in names:
        new_watchers = choose_watchers("bne-1", names - {lost})
        assert set(watchers) - {lost} <= set(new_watchers)
        assert len(new_watchers) == 2
