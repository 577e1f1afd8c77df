"""Evacuated data centres: how instances learn of them, and what they send there."""

from __future__ import annotations

import asyncio
import math

import attrs
import pytest

from filbertshelf.coordination import feed as feed_module
from filbertshelf.coordination.listed_targets import classify_without_response
from filbertshelf.state.directory import TargetChange
from filbertshelf.state.outcome import Reason
from filbertshelf.state.platform_update import PlatformUpdate
from filbertshelf.state.routing import Limits, Repeat, RouteTable
from filbertshelf.state.withholding import Cause
from filbertshelf.transport.http1.exchange import Exchange, ExchangeEnd
from test.coordination.feed_fleet import Fleet, started_fleet
from test.coordination.simulated_gateway import (
    ELSEWHERE,
    HERE,
    Simulation,
    gather_route,
    single_route,
)

NONE: frozenset[str] = frozenset()
ROUTE = single_route("desk", Repeat.IDEMPOTENT)
ONCE = single_route("desk", Repeat.ONCE)


@pytest.fixture
async def fleet():
    """Return a started fleet of six that knows the full content."""
    async with started_fleet(6) as started:
        yield started


def evacuated(fleet) -> list[str]:
    """Return the evacuated data centres as each instance knows them."""
    return ["".join(sorted(f.evacuations.data_centres)) for f in fleet.feeds.values()]


async def test_an_evacuation_is_in_force_everywhere_soon_and_so_is_its_end(fleet, log):
    fleet.platform.evacuate("here")
    await fleet.run(1.5)
    assert evacuated(fleet) == ["here"] * 6
    fleet.platform.evacuate("here", False)
    await fleet.run(1.5)
    assert set(map(tuple, fleet.evacuated.values())) == {(frozenset({"here"}), NONE)}
    lines = [line for line in log if line["event"] in (313, 314)]
    assert [line["event"] for line in lines] == [313] * 6 + [314] * 6
    assert {(line["data_centre"], line["targets"]) for line in lines} == {("here", 1)}


async def test_a_peer_that_lags_catches_up_and_changes_no_other(fleet):
    # Guards against an evacuation that ends because a peer has not heard of it.
    fleet.cut_off = fleet.platform.unavailable_to = {"n5"}
    fleet.platform.evacuate("a")
    await fleet.run(2.0)
    assert evacuated(fleet) == ["a"] * 5 + [""]
    fleet.cut_off = set()
    lagging = fleet.feeds["n5"]
    changes = lagging.directory.changes_since(1)
    lagging._push(PlatformUpdate(changes, None), False)
    await fleet.run(1.5)
    assert evacuated(fleet) == ["a"] * 6
    assert all(sets == [frozenset("a")] for sets in fleet.evacuated.values())


async def test_a_large_update_does_not_delay_an_evacuation(fleet, monkeypatch):
    # Guards against an evacuation that waits until other content is fetched.
    monkeypatch.setattr(feed_module, "MAX_PUSHED_BYTES", 0)

    async def request(address, msg, timeout):
        await asyncio.sleep(3600)

    fleet.feeds["n5"]._peers.request = request
    fleet.platform.unavailable_to = {"n5"}
    fleet.platform.put("t2")
    fleet.platform.evacuate("a")
    await fleet.run(1.5)
    assert set(fleet.feeds["n5"].directory.targets()) == {"t1"}
    assert evacuated(fleet) == ["a"] * 6


async def test_a_restored_store_replaces_the_set(fleet):
    fleet.platform.evacuate("a")
    copy = fleet.platform.copy()
    fleet.platform.evacuate("a", False)
    fleet.platform.evacuate("b")
    await fleet.run(1.5)
    assert evacuated(fleet) == ["b"] * 6
    fleet.platform.restore(copy)
    await fleet.run(2.0)
    assert evacuated(fleet) == ["a"] * 6


async def test_the_end_of_an_evacuation_in_lost_history_is_noticed(fleet):
    # Guards against a data centre that stays unused for ever.
    fleet.platform.evacuate("a")
    await fleet.run(1.5)
    fleet.platform.evacuate("a", False)
    fleet.platform.evacuate("b")
    fleet.platform.oldest_known = fleet.platform.revision
    await fleet.run(2.0)
    assert evacuated(fleet) == ["b"] * 6


async def test_the_set_stays_in_force_while_the_store_is_down(fleet):
    fleet.platform.evacuate("a")
    await fleet.run(1.5)
    fleet.platform.unavailable_to = set(fleet.feeds)
    await fleet.run(10.0)
    assert evacuated(fleet) == ["a"] * 6


@pytest.mark.parametrize("refused", [False, True])
async def test_a_started_instance_knows_the_set_before_it_is_ready(fleet, refused):
    # Guards against a first request at an evacuated data centre.
    fleet.platform.evacuate("here")
    await fleet.run(1.5)
    fleet.platform.unavailable_to = {"n6"} if refused else set()
    fleet.add("n6", 6)
    feed = fleet.feeds["n6"]
    order = []
    feed._listener = attrs.evolve(
        feed._listener,
        on_targets=lambda changes: order.append("targets"),
        on_evacuations=lambda names: order.append(set(names)),
    )
    await feed.start()
    assert not feed.ready
    await fleet.run(2.0)
    assert feed.ready
    assert order == [{"here"}, "targets"]


def make_older_build(feed) -> None:
    """Let an instance send no evacuations and wait for none."""
    feed._evacuations_confirmed_at = math.inf
    make_message = feed._message

    def message(update, unsure):
        msg = make_message(update, unsure)
        return attrs.evolve(msg, evacuated=(), evacuated_at=0)

    feed._message = message


@pytest.mark.parametrize("refused", [False, True])
async def test_messages_without_the_field_are_accepted_and_end_nothing(fleet, refused):
    # Guards against an upgraded instance that hears only of targets from the others and
    # keeps sending to an evacuated data centre.
    fleet.platform.evacuate("a")
    await fleet.run(1.5)
    for name in ("n0", "n1", "n2", "n3", "n4"):
        make_older_build(fleet.feeds[name])
    fleet.platform.unavailable_to = {"n5"} if refused else set()
    fleet.platform.evacuate("b")
    fleet.platform.publish(8)
    before = fleet.platform.calls
    await fleet.run(3.0)
    assert fleet.versions() == {8}
    assert evacuated(fleet)[5] == ("a" if refused else "ab")
    assert fleet.platform.calls - before <= 14


async def test_an_instance_among_older_builds_starts_without_the_store():
    # Guards against an instance that waits for evacuations which nobody can tell it.
    fleet = Fleet(2)
    fleet.platform.put("t1")
    make_older_build(fleet.feeds["n0"])
    fleet.platform.unavailable_to = {"n1"}
    await fleet.start()
    await fleet.run(3.0)
    assert fleet.feeds["n1"].ready
    fleet.platform.evacuate("a")
    fleet.platform.unavailable_to = set()
    await fleet.run(3.0)
    assert evacuated(fleet) == ["a", "a"]
    for feed in fleet.feeds.values():
        await feed.stop()


async def test_an_instance_among_older_builds_waits_for_the_store_to_be_ready():
    # Guards against a first request at an evacuated data centre because the targets
    # come from a peer sooner than the evacuations from the store.
    fleet = Fleet(1)
    fleet.platform.put("t1")
    make_older_build(fleet.feeds["n0"])
    fleet.platform.evacuate("here")
    await fleet.start()
    await fleet.run(1.0)
    fleet.add("n1", 1)
    feed = fleet.feeds["n1"]
    snapshot = feed._source.snapshot

    async def slow_snapshot():
        await fleet.clock.sleep(2.0)
        return await snapshot()

    feed._source.snapshot = slow_snapshot
    await feed.start()
    await fleet.run(1.5)
    assert feed.directory.revision
    assert not feed.ready
    await fleet.run(1.0)
    assert feed.ready
    assert evacuated(fleet) == ["here", "here"]
    for started in fleet.feeds.values():
        await started.stop()


async def test_an_instance_among_older_builds_reads_the_set_of_a_restored_store(fleet):
    # Guards against a set of before the restore that is told to others as the new one,
    # or that stays in force.
    copy = fleet.platform.copy()
    fleet.platform.evacuate("a")
    await fleet.run(1.5)
    for name in ("n0", "n1", "n2", "n3", "n4"):
        make_older_build(fleet.feeds[name])
    fleet.platform.unavailable_to = {"n5"}
    fleet.platform.restore(copy)
    fleet.platform.evacuate("b")
    await fleet.run(3.0)
    feed = fleet.feeds["n5"]
    assert feed.directory.era == fleet.platform.era
    update = PlatformUpdate(feed.directory.changes_since(0), None)
    assert feed._message(update, False).evacuations() is None
    fleet.platform.unavailable_to = set()
    await fleet.run(3.0)
    assert evacuated(fleet)[5] == "b"


# What is sent.


@pytest.fixture
def simulation():
    """Return a gateway with two targets elsewhere and one here."""
    simulation = Simulation()
    for data_centre in (ELSEWHERE, ELSEWHERE, HERE):
        simulation.add_leaf("desk", data_centre, work_s=0.01)
    return simulation


def arrivals_of(simulation: Simulation, data_centre: str) -> list[float]:
    """Return when requests reached the targets in a data centre."""
    entries = simulation.targets._entries.values()
    ids = [e.id for e in entries if e.listed.data_centre == data_centre]
    return sorted(at for id_ in ids for at in simulation.leafs[id_].arrivals)


@pytest.mark.parametrize("fault", ["", "shed", "refused", "reset"])
@pytest.mark.parametrize("kind", ["query", "single"])
def test_nothing_reaches_an_evacuated_data_centre_until_the_end(kind, fault):
    # Guards against hedges, retries and requests of any kind that go there, also if the
    # targets elsewhere are slow and one fails.
    simulation = Simulation()
    services = simulation.add_shards(10, replicas=3, pause_s=0.2, pause_every_s=1.0)
    route = gather_route(services)
    if kind == "single":
        route = single_route(services[0], Repeat.IDEMPOTENT)
    simulation.leafs["t2"].fault = fault
    later = simulation.time.call_later
    later(1.0, lambda: simulation.targets.set_evacuated(frozenset((HERE,))))
    later(4.0, lambda: simulation.targets.set_evacuated(NONE))
    calls = simulation.send_load(route, 30, 6.0)
    reached = arrivals_of(simulation, HERE)
    assert not [at for at in reached if 1.0 < at < 4.0]
    assert reached[0] < 1.0 < 4.0 < reached[-1]
    assert {call.status for call in calls} == {200}


@pytest.mark.parametrize("route", [ROUTE, ONCE])
def test_queued_requests_go_to_another_data_centre_at_once(simulation, route):
    # Guards against a queued request that moves to the next target of the same data
    # centre, which is not withheld yet.
    first, second, _ = simulation.leafs.values()
    first.fault = second.fault = "held"
    calls = [simulation.send_request(route) for _ in range(20)]
    asked = len(first.queued), len(second.queued)
    simulation.targets.set_evacuated(frozenset((ELSEWHERE,)))
    assert (len(first.queued), len(second.queued)) == asked
    assert all(exchange.end for exchange in first.queued + second.queued)
    simulation.time.run_until(1.0)
    assert {call.status for call in calls} == {200}
    assert not first.arrivals + second.arrivals


def test_a_running_request_may_finish(simulation):
    for id_ in ("t1", "t2"):
        simulation.leafs[id_].work_s = 0.3
    simulation.targets.remove("t3", "not needed")
    call = simulation.send_request(ONCE)
    simulation.targets.set_evacuated(frozenset((ELSEWHERE,)))
    simulation.time.run_until(1.0)
    assert call.status == 200
    refused = simulation.send_request(ONCE)
    assert (refused.status, refused.result.outcome) == (503, "not run")
    assert refused.result.missing == (f"desk: {Reason.EVACUATED.value}",)


def test_a_query_leaves_out_evacuated_shards_or_is_refused_before_it_is_sent():
    simulation = Simulation()
    shards = [f"shard-{n}" for n in range(10)]
    for service in shards:
        simulation.add_leaf(service, "third" if service == "shard-0" else ELSEWHERE)
    simulation.targets.set_evacuated(frozenset(("third",)))
    call = simulation.send_request(gather_route(shards))
    simulation.time.run_until(0.5)
    assert (call.status, call.header(b"Missing")) == (200, b"1")
    assert call.elapsed_s < 0.1
    simulation.targets.set_evacuated(frozenset(("third", ELSEWHERE)))
    sent = simulation.arrivals()
    refused = simulation.send_request(gather_route(shards))
    assert (refused.status, refused.elapsed_s) == (503, 0.0)
    assert simulation.arrivals() == sent


def test_a_target_that_is_listed_in_an_evacuated_data_centre_is_left_alone(simulation):
    # Guards against connections and requests to targets that start during it.
    simulation.targets.set_evacuated(frozenset(("third",)))
    simulation.add_leaf("desk", "third")
    simulation.time.run_until(2.0)
    assert not simulation.pools["t4"].warmed
    assert simulation.targets.withheld_count(Cause.EVACUATED) == 1
    ended = []
    simulation.targets.evacuation_ended = ended.append
    simulation.targets.set_evacuated(NONE)
    assert ended == ["third"]
    assert simulation.targets.choose("desk", {"t1", "t2", "t3"}, 2.0).id == "t4"


def test_idle_connections_are_closed_and_opened_ahead_after_the_end(simulation):
    # Guards against connections whose other ends were lost while the data centre was
    # down.
    simulation.pools["t1"].has_hung = True
    simulation.targets.set_evacuated(frozenset((ELSEWHERE,)))
    simulation.time.run_until(2.0)
    assert not simulation.pools["t1"].has_hung
    assert not simulation.pools["t1"].warmed
    simulation.targets.set_evacuated(NONE)
    simulation.time.run_until(4.0)
    assert simulation.pools["t1"].warmed


def test_a_target_that_moves_to_an_evacuated_data_centre_is_withheld(simulation):
    simulation.targets.set_evacuated(frozenset(("third",)))
    listed = simulation.targets._entries["t1"].listed
    moved = attrs.evolve(listed, data_centre="third")
    simulation.targets.apply([TargetChange("t1", 9, moved)])
    assert simulation.targets.withheld_count(Cause.EVACUATED) == 1


def test_what_a_target_has_said_outlasts_an_evacuation(simulation):
    # Guards against requests at a leaving or paused target once the evacuation ends.
    targets = simulation.targets
    read = simulation.context.classifier.read_statement
    for id_, fields in (("t1", {b"leaving": b"1"}), ("t2", {b"retry-after": b"9"})):
        targets.statements.record(targets._entries[id_], read(503, fields), 0.0)
    targets.set_evacuated(frozenset((ELSEWHERE,)))
    assert targets.withheld_count(Cause.EVACUATED) == 2
    assert targets.soonest_return_s("desk", 0.0) == math.inf
    targets.set_evacuated(NONE)
    assert targets.withheld_count(Cause.LEAVING) == 1
    assert targets.withheld_count(Cause.RETRY_LATER) == 1


def test_an_exchange_for_an_evacuated_target_ends_as_not_sent(simulation):
    # Guards against a path that chose the target earlier.
    entry = simulation.targets.choose("desk", {"t3"}, 0.0)
    simulation.targets.set_evacuated(frozenset((ELSEWHERE,)))
    ends = []

    def on_end(exchange: Exchange) -> None:
        ends.append(exchange.end)
        result = classify_without_response(exchange.end)
        simulation.targets.record_end(entry, exchange, result, 0.0)

    simulation.targets.send(entry, Exchange(lambda: b"", b"", on_end), 0.0)
    assert ends == [ExchangeEnd.NOT_SENT]
    assert entry.state.in_flight == 0


def test_a_connection_lost_in_an_evacuated_data_centre_is_no_crash(simulation):
    # Guards against callers that are refused because the operator stops the targets
    # that ran their requests.
    crashes = []
    simulation.context.on_crash = lambda *args: crashes.append(args)
    simulation.leafs["t3"].fault = "full"
    for id_ in ("t1", "t2"):
        simulation.leafs[id_].fault = "crash"
    call = simulation.send_request(ROUTE)
    simulation.targets.set_evacuated(frozenset((ELSEWHERE,)))
    simulation.leafs["t3"].fault = ""
    simulation.time.run_until(1.0)
    assert call.status == 200
    assert crashes == []


def test_a_check_of_the_link_leaves_out_what_is_evacuated_meanwhile(simulation):
    # Guards against probes of such targets, and against an instance that counts as cut
    # off because they are stopped.
    probed = []
    for id_, pool in simulation.pools.items():
        pool.probe = lambda on_result, id_=id_: probed.append(id_)
    simulation.targets._entries["t3"].responded_at = 0.0
    verdicts = []
    simulation.targets.reachability.check(verdicts.append)
    simulation.targets.set_evacuated(frozenset((ELSEWHERE,)))
    simulation.time.run_until(1.0)
    assert probed == ["t3"]
    assert verdicts == [True]
    assert not simulation.targets.reachability.cut_off


def test_delegates_are_not_chosen_for_targets_in_an_evacuated_data_centre():
    # Guards against queries that go to a data centre without usable targets and cross
    # to another one once for each shard.
    simulation = Simulation()
    shards = simulation.add_shards(4)
    table = RouteTable.build(1, [gather_route(shards)], [], Limits())
    simulation.targets.set_evacuated(frozenset((HERE,)))
    assert simulation.targets.data_centres_near_shards(table) == {ELSEWHERE}
