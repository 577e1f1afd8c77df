"""The profiles build valid publications of the sizes in the design."""

import pytest

from filbertshelf.standins.deployments import PROFILES
from filbertshelf.standins.profiles import (
    build_publication,
    capacity_per_s,
    list_leaves,
    request_labels,
    scale_profile,
    target_configs,
)
from filbertshelf.state.publication import Goal, match_policies, parse_publication

EACH = pytest.mark.parametrize("profile", PROFILES.values(), ids=lambda p: p.name)


def parsed(profile):
    addresses = {
        leaf.name: f"127.0.0.1:{9000 + number}"
        for number, leaf in enumerate(list_leaves(profile))
    }
    return parse_publication(build_publication(profile, addresses))


@EACH
@pytest.mark.parametrize("scale", [1.0, 0.2, 0.04])
def test_the_publication_is_valid_and_fits_the_targets(profile, scale):
    # Guards against a publication that names a shard its target does not hold.
    fleet = scale_profile(profile, scale)
    built = parsed(fleet)
    held = {
        (cfg.name, service.name, shard)
        for cfg in target_configs(fleet)
        for service in cfg.services
        for shard in service.snapshots[0].shards
    }
    named = {
        (replica, service.name, shard)
        for service in built.services.values()
        for shard, replicas in service.shards.items()
        for replica in replicas
    }
    assert named == held


@EACH
def test_sizes_are_those_of_the_design(profile):
    built = parsed(profile)
    assert built.fleet.instances == 20
    assert len(built.services) == 52
    assert len(built.targets) in (106, 107)
    assert all(
        len(set(r)) == 2 for s in built.services.values() for r in s.shards.values()
    )


@EACH
def test_a_smaller_fleet_keeps_each_instances_share_of_the_connections(profile):
    def quotas(fleet):
        return {
            group.name: group.connections // (fleet.instances + fleet.overlap)
            for group in fleet.groups
        }

    assert quotas(scale_profile(profile, 0.2)) == quotas(profile)


@EACH
def test_one_query_of_the_main_kind_touches_many_services(profile):
    built = parsed(profile)
    policy = match_policies(built, request_labels(profile.requests[0])).policy
    touched = [s for s in built.services.values() if policy.services.matches(s.labels)]
    assert len(touched) == 40
    goal = Goal.COVERAGE if profile.name == "hatstand" else Goal.TAIL
    assert {p.goal for p in built.policies.values()} == {goal}


@EACH
def test_every_kind_of_request_has_a_policy(profile):
    assert 100 < capacity_per_s(profile) < 1_000
