"""Cold targets: their rate over the fleet, preference, and the sources of the state."""

from __future__ import annotations

import attrs
import pytest

from filbertshelf.state.directory import ListedTarget, TargetChange
from filbertshelf.state.fleet_role import FleetRole
from filbertshelf.state.fleet_size import UNKNOWN_FLEET_SIZE
from filbertshelf.state.routing import Limits, Repeat, RouteTable, Service
from test.coordination.simulated_gateway import (
    ELSEWHERE,
    HERE,
    Call,
    Leaf,
    Simulation,
    VirtualTime,
    gather_route,
    single_route,
)
from test.coordination.test_rate_limits import SimulatedFleet
from test.state.test_cold import most_in_a_second

ROUTE = single_route("desk", Repeat.IDEMPOTENT)
OVERAGE = 1.5
SLACK = 5

END_S = 0.3
"""Time in which the last requests of a load end."""


class Fleet(SimulatedFleet):
    """Gateways that share a time and the targets of one service."""

    def send(self, per_s: float, seconds: float) -> list[Call]:
        """Send requests to the gateways in turn, and run until the last ones end."""
        calls = super().send(per_s, seconds)
        self.time.run_until(self.time.monotonic() + END_S)
        return calls


def apply_service(
    gateway: Simulation, per_s: float, cold_start_s: float = 20.0, route=ROUTE
) -> None:
    """Put the services of the route into force with a rate for cold targets."""
    services = [
        Service(name, "/health", 200, cold_start_s, per_s) for name in route.services()
    ]
    table = RouteTable.build(1, [route], services, Limits())
    gateway.targets.apply_table(table)


def make_fleet(
    size: int,
    per_s: float,
    cold: list[float | None],
    role: FleetRole | None = None,
    seeds: tuple = (),
) -> Fleet:
    """Return a fleet; `cold` has the seconds that the listing states of each leaf."""
    time = VirtualTime()
    gateways = [
        Simulation(fleet=size, time=time, seed=n, role=role, seeds=seeds)
        for n in range(size)
    ]
    leafs = [
        Leaf(gateways[0], f"t{n}", "desk", slots=50) for n, _ in enumerate(cold, 1)
    ]
    for rank, gateway in enumerate(gateways):
        gateway.targets.set_rank(rank)
        apply_service(gateway, per_s)
        for leaf, cold_s in zip(leafs, cold, strict=True):
            gateway.list_leaf(leaf, cold_s=cold_s)
    return Fleet(time, gateways, leafs)


def list_again(gateway: Simulation, leaf: Leaf, cold_s: float) -> None:
    """Apply one more listing of a leaf."""
    entry = gateway.targets._entries[leaf.id]
    sequence = entry.listed.sequence + 1
    listed = attrs.evolve(entry.listed, cold_s=cold_s, sequence=sequence)
    gateway.targets.apply([TargetChange(leaf.id, 100 + sequence, listed)])


def check_bound(leaf: Leaf, per_s: float, since: float = 0.0) -> None:
    """Check the bound in each second that begins after `since`."""
    times = [at for at in leaf.arrivals if at >= since]
    assert most_in_a_second(times) <= per_s * OVERAGE + SLACK


@pytest.mark.parametrize("size", [1, 3, 12, 40])
@pytest.mark.parametrize("per_s", [1.0, 4.0, 20.0])
def test_all_targets_come_back_together_and_stay_within_their_rate(size, per_s):
    # Guards against targets that crash because a whole data centre returns cold and
    # each instance sends what warm targets take. The excess is refused, not run.
    fleet = make_fleet(size, per_s, [20.0] * 3)
    # An instance with fewer requests leaves most of its short-lived permits unused.
    calls = fleet.send(per_s=max(12 * per_s, size), seconds=19)
    for leaf in fleet.leafs:
        check_bound(leaf, per_s)
    refused = [call for call in calls if call.status == 503]
    assert refused
    assert {call.result.outcome for call in refused} == {"not run"}
    assert max(call.elapsed_s for call in refused) < 0.01
    answered = len([call for call in calls if call.status == 200])
    assert answered > 0.5 * 3 * per_s * 19


@pytest.mark.parametrize("size", [3, 12, 40])
@pytest.mark.parametrize("per_s", [1.0, 4.0, 20.0])
def test_the_failure_of_the_warm_target_causes_no_burst_at_the_cold_one(size, per_s):
    # Guards against instances that save permits while a warm target takes everything,
    # and use all of them at the moment at which it fails.
    fleet = make_fleet(size, per_s, [60.0, 0.0])
    fleet.send(per_s=40, seconds=5)
    fleet.leafs[1].fault = "refused"
    fleet.send(per_s=400, seconds=8)
    check_bound(fleet.leafs[0], per_s)


def test_a_scale_out_prefers_the_warm_targets_and_keeps_to_the_rate():
    # Guards against new targets that get the load of all because they look idle.
    fleet = make_fleet(2, 5.0, [0.0, 0.0])
    fleet.send(per_s=200, seconds=3)
    new = [Leaf(fleet.gateways[0], f"n{n}", "desk", slots=50) for n in range(2)]
    for gateway in fleet.gateways:
        for leaf in new:
            gateway.list_leaf(leaf, cold_s=10.0)
    calls = fleet.send(per_s=200, seconds=9)
    assert {call.status for call in calls} == {200}
    for leaf in new:
        check_bound(leaf, 5.0)
        assert len(leaf.arrivals) < 0.5 * min(len(w.arrivals) for w in fleet.leafs)
    fleet.send(per_s=200, seconds=8)
    warm_from = fleet.time.monotonic()
    fleet.send(per_s=200, seconds=4)
    used = [sum(at >= warm_from for at in leaf.arrivals) for leaf in new]
    assert min(used) > 0.5 * 4 * 200 / 4


@pytest.mark.parametrize("source", ["listing", "header"])
def test_a_target_that_turns_cold_at_any_moment_is_limited(source, log):
    # Guards against a target that only counts as cold after its start.
    fleet = make_fleet(8, 4.0, [0.0, 0.0])
    fleet.send(per_s=100, seconds=3)
    leaf = fleet.leafs[0]
    if source == "listing":
        for gateway in fleet.gateways:
            list_again(gateway, leaf, 10.0)
    else:
        leaf.cold_ms = b"10000"
    known_from = fleet.time.monotonic() + 1.0
    calls = fleet.send(per_s=100, seconds=8)
    check_bound(leaf, 4.0, since=known_from)
    assert {call.status for call in calls} == {200}
    lines = [line for line in log if line["event"] == 315]
    # Of a header, only the instances that send to the target know.
    assert len(lines) == 8 if source == "listing" else 0 < len(lines) <= 8
    assert {(line["target"], line["source"]) for line in lines} == {(leaf.id, source)}


def test_a_header_that_says_warm_ends_the_cold_state_of_the_listing(log):
    # Guards against a stale listing that keeps a warm target from use.
    fleet = make_fleet(1, 50.0, [60.0])
    (gateway,) = fleet.gateways
    fleet.leafs[0].cold_ms = b"0"
    fleet.send(per_s=10, seconds=1)
    assert gateway.targets.cold.count() == 0
    assert [line["event"] for line in log if line["event"] in (315, 316)] == [315, 316]


@pytest.mark.parametrize("value", [b"soon", b"nan", b"-1", b"1e999", b""])
def test_a_malformed_header_changes_nothing(value, log):
    # Guards against a target that is limited, or released, by a malformed header.
    fleet = make_fleet(1, 4.0, [0.0, 60.0])
    for leaf in fleet.leafs:
        leaf.cold_ms = value
    fleet.send(per_s=20, seconds=3)
    assert fleet.gateways[0].targets.cold.count() == 1
    ignored = [line for line in log if line["event"] == 312]
    assert 1 <= len(ignored) <= 2


def test_requests_that_wait_for_a_connection_leave_a_target_that_turns_cold():
    # Guards against a queue that reaches the target all at once while it is cold.
    fleet = make_fleet(1, 4.0, [0.0, 0.0])
    (gateway,) = fleet.gateways
    leaf = fleet.leafs[0]
    leaf.fault = "held"
    calls = []
    while len(leaf.queued) < 3:
        calls.append(gateway.send_request(ROUTE))
    list_again(gateway, leaf, 10.0)
    assert all(exchange.end for exchange in leaf.queued)
    fleet.time.run_until(1.0)
    assert {call.status for call in calls} == {200}


@pytest.mark.parametrize("size", [1, 4, 10])
def test_few_requests_pile_up_at_a_cold_target_that_stands_still(size):
    # Guards against seconds of requests that a paused target gets at once when it goes
    # on: 4 s at 20 a second.
    fleet = make_fleet(size, 20.0, [60.0, 0.0])
    stalled, warm = fleet.leafs
    stalled.fault = "silent"
    warm.fault = "refused"
    for _ in range(40):
        fleet.send(per_s=100, seconds=0.1)
        entries = [gateway.targets._entries[stalled.id] for gateway in fleet.gateways]
        unanswered = sum(len(entry.running) for entry in entries)
        assert unanswered <= 20.0 * (OVERAGE - 1) + SLACK


def test_instances_with_the_same_rank_or_other_clocks_keep_to_the_rate():
    # Guards against a burst if the instances disagree on their ranks for a while.
    fleet = make_fleet(13, 10.0, [30.0], role=FleetRole(17, 17, True, True))
    for n, gateway in enumerate(fleet.gateways):
        gateway.targets.set_rank(n // 2)
    fleet.send(per_s=200, seconds=3)
    for gateway in fleet.gateways[:6]:
        gateway.targets.set_rank(0)
    fleet.send(per_s=200, seconds=8)
    check_bound(fleet.leafs[0], 10.0)


def test_instances_out_of_touch_do_not_exceed_the_rate():
    # Guards against an instance that started while it was cut off from the others and
    # takes most of the rate for itself: with 2 of 8 cut off 1.6 times the rate.
    fleet = make_fleet(8, 40.0, [30.0], role=FleetRole(11, 11, True, True))
    seeds = (("10.0.0.9", 1),)
    alone = make_fleet(4, 40.0, [30.0], FleetRole(2, 2, True, True), seeds)
    for gateway in alone.gateways:
        entry = next(iter(gateway.targets._entries.values()))
        assert entry.cold_rate._interval_s == UNKNOWN_FLEET_SIZE / 40.0
    fleet.send(per_s=400, seconds=8)
    alone.send(per_s=400, seconds=8)
    times = fleet.leafs[0].arrivals + alone.leafs[0].arrivals
    assert most_in_a_second(times) <= 40.0 * OVERAGE + SLACK


def test_a_fleet_of_unknown_size_keeps_to_the_rate():
    # Guards against 40 started instances that each believe to be one of few.
    role = FleetRole(UNKNOWN_FLEET_SIZE, UNKNOWN_FLEET_SIZE, True, False)
    fleet = make_fleet(40, 10.0, [30.0, 30.0], role=role)
    fleet.send(per_s=200, seconds=10)
    for leaf in fleet.leafs:
        check_bound(leaf, 10.0)


def test_a_rate_limit_and_a_cold_rate_apply_together():
    # Guards against a cold target in need that gets the higher of its two limits.
    fleet = make_fleet(2, 20.0, [60.0])
    fleet.leafs[0].rate_limit = 2.0
    fleet.send(per_s=40, seconds=4)
    since = fleet.time.monotonic()
    fleet.send(per_s=40, seconds=10)
    assert sum(at >= since for at in fleet.leafs[0].arrivals) <= 2.0 * 10 * 1.3


def test_a_shard_whose_targets_are_all_cold_is_left_out():
    # Guards against a query that fails, or waits, for one cold shard of twenty.
    simulation = Simulation(fleet=20)
    services = [f"shard-{n}" for n in range(20)]
    route = gather_route(services)
    apply_service(simulation, 1.0, route=route)
    for service in services:
        cold_s = 30.0 if service == services[3] else 0.0
        leaf = Leaf(simulation, f"t-{service}", service)
        simulation.list_leaf(leaf, cold_s=cold_s)
    simulation.send_load(route, per_s=5, seconds=1)
    calls = simulation.send_load(route, per_s=10, seconds=1)
    assert {call.status for call in calls} == {200}
    missing = [call.result.missing for call in calls]
    # Permits come every 20 seconds.
    assert missing.count((f"{services[3]}: rate_limited",)) >= 9
    assert max(call.elapsed_s for call in calls) < route.latency_objective_s / 2


def test_without_a_rate_a_cold_target_only_gets_less():
    # Guards against refusals where the configuration names no rate.
    fleet = make_fleet(2, 0.0, [60.0, 0.0])
    calls = fleet.send(per_s=50, seconds=5)
    assert {call.status for call in calls} == {200}
    cold, warm = (len(leaf.arrivals) for leaf in fleet.leafs)
    assert warm > 0 and cold < warm / 2
    fleet.leafs[1].fault = "refused"
    calls = fleet.send(per_s=50, seconds=3)
    assert {call.status for call in calls} == {200}


def test_a_warm_target_of_another_data_centre_is_preferred_to_a_cold_one_here():
    simulation = Simulation()
    apply_service(simulation, 0.0)
    cold, warm = (Leaf(simulation, name, "desk") for name in ("t1", "t2"))
    simulation.list_leaf(cold, HERE, cold_s=30.0)
    simulation.list_leaf(warm, ELSEWHERE, cold_s=0.0)
    simulation.send_load(ROUTE, per_s=10, seconds=5)
    assert len(cold.arrivals) < len(warm.arrivals) / 4


def test_a_target_that_turned_warm_starts_slowly():
    # Guards against a target that gets its full share in the second it turns warm.
    fleet = make_fleet(1, 0.0, [1.0, 0.0])
    (gateway,) = fleet.gateways
    candidate = gateway.targets._entries[fleet.leafs[0].id].candidate
    factors = []
    for second in range(8):
        fleet.time.run_until(second + 0.9)
        factors.append(candidate.cost_factor)
    assert factors == sorted(factors, reverse=True)
    assert factors[0] > factors[2] > factors[4] > factors[-1] == 1.0


def test_targets_of_a_data_centre_that_is_used_again_are_cold(log):
    # Guards against full load on targets that were without requests for long.
    simulation = Simulation()
    apply_service(simulation, 4.0, cold_start_s=10.0)
    here, there = (Leaf(simulation, name, "desk") for name in ("t1", "t2"))
    simulation.list_leaf(here, HERE, cold_s=0.0)
    simulation.list_leaf(there, ELSEWHERE, cold_s=0.0)
    simulation.targets.mark_cold(ELSEWHERE)
    (line,) = [line for line in log if line["event"] == 315]
    assert (line["target"], line["source"], line["seconds"]) == ("t2", "evacuation", 10)
    list_again(simulation, there, 0.0)
    assert simulation.targets.cold.count() == 0
    simulation.targets.mark_cold(ELSEWHERE)
    simulation.time.run_until(10.1)
    assert simulation.targets.cold.count() == 0


def test_an_older_build_sends_no_cold_times_and_new_targets_count_as_cold():
    # Guards against an instance that gets the listing only from older builds and sends
    # a started target its full share.
    simulation = Simulation()
    apply_service(simulation, 4.0, cold_start_s=10.0)
    now_ms = int(simulation.time.now().timestamp() * 1000)
    leafs = [Leaf(simulation, f"t{n}", "desk") for n in range(4)]
    listed = [
        TargetChange(
            leaf.id, 1, ListedTarget(leaf.id, "desk", ("h", n), HERE, 2, False, started)
        )
        for n, (leaf, started) in enumerate(
            zip(leafs, (0, now_ms - 11_000, now_ms - 4_000, 0), strict=True)
        )
    ]
    simulation._ports = dict(enumerate(leafs))
    simulation.targets.apply(listed[:3])
    assert simulation.targets.cold.count() == 1
    simulation.targets.apply(listed[3:])
    assert simulation.targets.cold.count() == 2
    simulation.time.run_until(6.1)
    assert simulation.targets.cold.count() == 1
    simulation.time.run_until(10.1)
    assert simulation.targets.cold.count() == 0


def test_nothing_is_limited_without_a_rate_and_a_statement(log):
    # Guards against an effect on deployments that know no cold targets.
    simulation = Simulation()
    for name in ("t1", "t2"):
        simulation.list_leaf(Leaf(simulation, name, "desk"))
    simulation.targets.mark_cold(HERE)
    simulation.send_load(ROUTE, per_s=20, seconds=1)
    entries = simulation.targets._entries.values()
    assert {(entry.cold, entry.cold_rate) for entry in entries} == {(None, None)}
    assert [line for line in log if line["event"] in (315, 316)] == []


def test_alternating_statements_do_not_fill_the_log(log):
    # Guards against a target whose header alternates with each response.
    fleet = make_fleet(1, 0.0, [0.0])
    for n in range(100):
        fleet.leafs[0].cold_ms = b"0" if n % 2 else b"9000"
        fleet.gateways[0].send_request(ROUTE)
        fleet.time.run_until((n + 1) * 0.05)
    lines = [line for line in log if line["event"] in (315, 316)]
    assert 2 <= len(lines) <= 14


@pytest.mark.parametrize(
    ("role", "routes", "expected"),
    [
        (FleetRole(40, 8, True, True), ["gather"], 8),
        (FleetRole(40, 8, False, True), ["gather"], 8 * UNKNOWN_FLEET_SIZE),
        (FleetRole(300, 2, False, True), ["gather"], 1200),
        (FleetRole(40, 8, True, True), ["gather", "single"], 40),
        (FleetRole(40, 8, True, True), ["single"], 40),
    ],
)
def test_the_rate_is_divided_by_all_instances_that_may_send(role, routes, expected):
    # Guards against a service that is a shard and also gets single requests, which all
    # instances send, and against rare senders that add up in a large fleet.
    simulation = Simulation(role=role)
    by_name = {"gather": gather_route(["desk"]), "single": ROUTE}
    services = [Service("desk", "/health", 200, 20.0, 4.0)]
    used = [by_name[name] for name in routes]
    simulation.targets.apply_table(RouteTable.build(1, used, services, Limits()))
    assert simulation.targets._services["desk"].cold_instances == expected


def test_a_new_rate_applies_to_targets_that_are_cold():
    # Guards against an operator who lowers the rate in need and sees no effect.
    fleet = make_fleet(2, 40.0, [60.0])
    fleet.send(per_s=100, seconds=3)
    for gateway in fleet.gateways:
        apply_service(gateway, 2.0)
    since = fleet.time.monotonic()
    fleet.send(per_s=100, seconds=8)
    check_bound(fleet.leafs[0], 2.0, since=since)
    for gateway in fleet.gateways:
        apply_service(gateway, 0.0)
    calls = fleet.send(per_s=100, seconds=2)
    assert {call.status for call in calls} == {200}
