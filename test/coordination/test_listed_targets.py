"""Which instances open connections to listed targets before they are needed."""

from __future__ import annotations

from filbertshelf.state.routing import Limits, Repeat, RouteTable
from test.coordination.routed_world import (
    World,
    gather_route,
    service_named,
    single_route,
)


def large_fleet(holds: bool) -> World:
    """Return the world of one of 130 instances, of which 18 run gathered queries."""
    world = World()
    world.targets.set_fleet(130, 18, holds)
    return world


def publish(world: World, version: int, *routes) -> None:
    """Put routes in force, and let a second pass."""
    names = {name for route in routes for name in route.services()}
    services = [service_named(name) for name in sorted(names)]
    world.targets.apply_table(RouteTable.build(version, routes, services, Limits()))
    world.time.run_until(world.time.monotonic() + 1.5)


def warmed(world: World) -> set[str]:
    """Return the services of the targets that got a connection."""
    return {
        world.leafs[id_].service for id_, pool in world.pools.items() if pool.warmed
    }


def test_new_shards_get_no_connections_of_instances_that_run_no_queries():
    # Guards against 130 instances that each connect to 405 new targets before the
    # index is cut anew: 48,000 connections, 16,500 of them over the caps, on
    # trouble-1 of the grown turnos-nieve.
    world = large_fleet(holds=False)
    publish(world, 1, gather_route(["old-0"]))
    shards = world.add_shards(3)
    world.time.run_until(world.time.monotonic() + 1.5)
    assert warmed(world) == set()
    publish(world, 2, gather_route(shards))
    assert warmed(world) == set()


def test_the_instances_that_run_queries_connect_before_the_shards_are_used():
    # Guards against a first query that waits for 90 connections.
    world = large_fleet(holds=True)
    shards = world.add_shards(3)
    world.time.run_until(1.5)
    assert warmed(world) == set(shards)


def test_all_instances_connect_to_a_service_of_single_requests():
    # Guards against a single request that waits for a connection, also where its
    # service is named after its targets are listed.
    world = large_fleet(holds=False)
    world.add("desk")
    publish(world, 1, single_route("desk", Repeat.ONCE))
    world.add("log")
    publish(world, 2, single_route("log", Repeat.ONCE))
    assert warmed(world) == {"desk", "log"}
