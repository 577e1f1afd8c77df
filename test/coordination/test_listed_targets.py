"""Which instances open connections to listed targets before they are needed."""

from __future__ import annotations

from filbertshelf.state.fleet_role import FleetRole
from filbertshelf.state.routing import Limits, Repeat, RouteTable
from test.coordination.simulated_gateway import (
    ELSEWHERE,
    HERE,
    Simulation,
    gather_route,
    service_named,
    single_route,
)


def large_fleet(runs_gathers: bool) -> Simulation:
    """Simulate one of 130 instances, of which 18 run queries over many shards."""
    simulation = Simulation()
    role = FleetRole(130, 18, runs_gathers, connects_ahead=runs_gathers)
    simulation.targets.set_role(role)
    return simulation


def publish(simulation: Simulation, version: int, *routes) -> None:
    """Apply a table with the routes and advance the time by 1.5 s."""
    names = {name for route in routes for name in route.services()}
    services = [service_named(name) for name in sorted(names)]
    simulation.targets.apply_table(
        RouteTable.build(version, routes, services, Limits())
    )
    simulation.time.run_until(simulation.time.monotonic() + 1.5)


def warmed_up_services(simulation: Simulation) -> set[str]:
    """Return the services to whose targets a connection was opened."""
    return {
        simulation.leafs[id_].service
        for id_, pool in simulation.pools.items()
        if pool.warmed
    }


def test_instances_that_run_no_queries_open_no_connections_to_new_shards():
    # Guards against 130 instances that each connect to 405 new targets before the index
    # is resharded: 48,000 connections, 16,500 of them over the caps, on trouble-1 of
    # the grown turnos-nieve.
    simulation = large_fleet(runs_gathers=False)
    publish(simulation, 1, gather_route(["old-0"]))
    shards = simulation.add_shards(3)
    simulation.time.run_until(simulation.time.monotonic() + 1.5)
    assert warmed_up_services(simulation) == set()
    publish(simulation, 2, gather_route(shards))
    assert warmed_up_services(simulation) == set()


def test_instances_that_run_queries_connect_before_the_shards_are_used():
    # Guards against a first query that waits for 90 connections.
    simulation = large_fleet(runs_gathers=True)
    shards = simulation.add_shards(3)
    simulation.time.run_until(1.5)
    assert warmed_up_services(simulation) == set(shards)


def test_all_instances_connect_to_single_target_services():
    # Guards against a request to a single target that waits for a connection, also if
    # its service enters the configuration after its targets are listed.
    simulation = large_fleet(runs_gathers=False)
    simulation.add_leaf("desk")
    publish(simulation, 1, single_route("desk", Repeat.ONCE))
    simulation.add_leaf("log")
    publish(simulation, 2, single_route("log", Repeat.ONCE))
    assert warmed_up_services(simulation) == {"desk", "log"}


def test_the_data_centres_with_targets_of_most_shards_are_near_them():
    # Guards against queries that fetch 87 answers from another data centre, and against
    # moving all queries because a data centre lost the targets of one shard.
    simulation = large_fleet(runs_gathers=True)
    shards = simulation.add_shards(4)
    simulation.add_leaf(shards[0], "third")
    table = RouteTable.build(1, [gather_route(shards)], [], Limits())
    assert simulation.targets.data_centres_near_shards(table) == {HERE, ELSEWHERE}
    simulation.targets.remove("t1", "lost")
    assert HERE in simulation.targets.data_centres_near_shards(table)


def test_slots_of_targets_that_get_no_requests_do_not_count():
    # Guards against a lowest limit above what the remaining targets can do.
    simulation = Simulation()
    shards = simulation.add_shards(3, slots=2)
    assert simulation.targets.slots_share(shards) == 4
    simulation.targets.set_evacuated(frozenset((ELSEWHERE,)))
    assert simulation.targets.slots_share(shards) == 2
