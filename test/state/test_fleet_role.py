"""The part of an instance in the fleet, from what it knows of the others."""

from __future__ import annotations

import pytest

from filbertshelf.state.delegation import Delegates
from filbertshelf.state.fleet_role import FleetRole
from filbertshelf.state.fleet_size import FleetEstimate, FleetSizeEstimator
from filbertshelf.state.members import Member

OTHER = Member("other", "b", ("10.0.0.1", 1), 1)
SELF_ONLY = Delegates((OTHER,), (), includes_self=True)
OTHERS_ONLY = Delegates((OTHER,), (OTHER,), includes_self=False)


def test_an_instance_that_knows_few_members_opens_no_connections_ahead():
    # Guards against a start of 195 instances that each take themselves for a delegate
    # and connect to 174 shard targets with a cap of 120 connections.
    estimator = FleetSizeEstimator(0.0)
    early = estimator.update(8, 1.0)
    role = FleetRole.choose(early, SELF_ONLY, full_mesh=True)
    assert (role.runs_gathers, role.connects_ahead) == (True, False)
    known = estimator.update(8, 4.0)
    assert FleetRole.choose(known, SELF_ONLY, full_mesh=True).connects_ahead


@pytest.mark.parametrize(
    ("delegates", "full_mesh", "connects"),
    [(SELF_ONLY, False, True), (OTHERS_ONLY, False, False), (OTHERS_ONLY, True, True)],
)
def test_only_instances_that_run_queries_connect_ahead(delegates, full_mesh, connects):
    fleet = FleetEstimate(260, 260, known=True)
    role = FleetRole.choose(fleet, delegates, full_mesh)
    assert role.connects_ahead is connects


def test_limits_are_divided_by_all_instances_until_the_delegates_are_known():
    # Guards against delegates that together exceed the connections of a target.
    early = FleetRole.choose(FleetEstimate(40, 64, known=False), SELF_ONLY, False)
    assert (early.instances, early.gather_instances) == (64, 64)
    known = FleetRole.choose(FleetEstimate(260, 260, known=True), OTHERS_ONLY, False)
    assert (known.instances, known.gather_instances) == (260, 3)
