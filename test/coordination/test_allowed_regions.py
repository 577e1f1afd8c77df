"""Routes whose requests may reach only some regions."""

from __future__ import annotations

import random

import attrs
import pytest

from filbertshelf.coordination.delegation import Delegation
from filbertshelf.state.delegation import Delegates
from filbertshelf.state.members import Member
from filbertshelf.state.outcome import Reason
from filbertshelf.state.routing import Repeat
from test.coordination.peers_stub import PeersStub
from test.coordination.simulated_gateway import (
    ELSEWHERE,
    HERE,
    Simulation,
    gather_route,
    single_route,
)

REGIONS = {HERE: "south", ELSEWHERE: "north"}
NORTH = frozenset(("north",))


@pytest.fixture
def simulation():
    """Return a gateway with ten shards, each with a target in three data centres."""
    simulation = Simulation()
    simulation.targets.set_regions(REGIONS)
    for n in range(10):
        for data_centre in (HERE, ELSEWHERE, "unknown"):
            simulation.add_leaf(
                f"shard-{n}", data_centre, pause_s=0.2, pause_every_s=1.0
            )
    return simulation


def reached(simulation: Simulation) -> set[str]:
    """Return the data centres whose targets got a request."""
    entries = simulation.targets._entries.values()
    return {
        entry.listed.data_centre
        for entry in entries
        if simulation.leafs[entry.id].arrivals
    }


@pytest.mark.parametrize("kind", ["query", "single"])
@pytest.mark.parametrize("fault", ["", "shed", "held"])
def test_requests_reach_only_the_allowed_regions(simulation, kind, fault):
    # Guards against hedges, retries and requests moved from a full target that leave
    # the regions, and against data centres whose region is not known.
    shards = [f"shard-{n}" for n in range(10)]
    route = gather_route(shards, allowed_regions=NORTH)
    if kind == "single":
        route = single_route("shard-0", Repeat.IDEMPOTENT, allowed_regions=NORTH)
    simulation.leafs["t2"].fault = fault
    simulation.send_load(route, 30, 3.0)
    assert reached(simulation) <= {ELSEWHERE}
    assert simulation.arrivals() or (kind, fault) == ("single", "held")


def test_a_request_without_a_target_in_its_regions_is_refused_at_once(simulation):
    simulation.targets.set_regions({})
    route = single_route("shard-0", Repeat.ONCE, allowed_regions=NORTH)
    call = simulation.send_request(route)
    assert (call.status, call.elapsed_s) == (503, 0.0)
    assert call.result.missing == (f"shard-0: {Reason.NO_REPLICA.value}",)
    assert not reached(simulation)


@attrs.frozen
class RequestStub:
    """What the choice of a delegate reads of a request."""

    route: object


@pytest.mark.parametrize("allowed", [NORTH, frozenset(("east",)), frozenset()])
async def test_a_body_is_given_to_no_instance_outside_the_regions(simulation, allowed):
    # Guards against a delegate or a substitute that gets a request which must not leave
    # its regions.
    members = [
        Member(name, name, ("10.0.0.1", number), 1)
        for number, name in enumerate((ELSEWHERE, "unknown"))
    ]
    own = Member("own", HERE, ("10.0.0.1", 9), 1)
    delegation = Delegation(simulation.context, PeersStub(own, {}), random.Random(1))
    delegation.own_id, delegation.data_centre = own.id, HERE
    delegation.regions = REGIONS
    delegation.full_mesh = False
    delegation.delegates = Delegates((), tuple(members), includes_self=False)
    delegation.members = lambda: [own, *members]
    routes = [
        gather_route(["shard-0"], allowed_regions=allowed),
        single_route("shard-0", Repeat.IDEMPOTENT, allowed_regions=allowed),
    ]
    chosen = {delegation.choose_delegate(RequestStub(routes[0])) for _ in range(20)}
    chosen |= {
        delegation.choose_substitute(RequestStub(route))
        for route in routes
        for _ in range(20)
    }
    expected = {NORTH: {members[0]}, frozenset(): set(members)}
    assert chosen == expected.get(allowed, {None})
