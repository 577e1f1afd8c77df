"""Validity and size of the publications that the profiles build."""

import pytest

from filbertshelf.standins.deployments import PROFILES
from filbertshelf.standins.profiles import (
    capacity_per_s,
    list_leaves,
    publication_document,
    request_labels,
    scale_profile,
    target_configs,
)
from filbertshelf.state.publication import Goal, match_policies, parse_publication

each_profile = pytest.mark.parametrize(
    "profile", PROFILES.values(), ids=lambda p: p.name
)


def parsed_publication(profile):
    addresses = {
        leaf.name: f"127.0.0.1:{9000 + number}"
        for number, leaf in enumerate(list_leaves(profile))
    }
    return parse_publication(publication_document(profile, addresses))


@each_profile
@pytest.mark.parametrize("scale", [1.0, 0.2, 0.04])
def test_the_publication_is_valid_and_names_exactly_the_hosted_shards(profile, scale):
    # Guards against a publication that assigns a shard to a target without it.
    fleet = scale_profile(profile, scale)
    publication = parsed_publication(fleet)
    hosted = {
        (cfg.name, service.name, shard)
        for cfg in target_configs(fleet)
        for service in cfg.services
        for shard in service.snapshots[0].shards
    }
    assigned = {
        (replica, service.name, shard)
        for service in publication.services.values()
        for shard, replicas in service.shards.items()
        for replica in replicas
    }
    assert assigned == hosted


@each_profile
def test_the_full_scale_fleet_has_the_designed_size(profile):
    publication = parsed_publication(profile)
    assert publication.fleet.instances == 20
    assert len(publication.services) == 52
    assert len(publication.targets) in (106, 107)
    assert all(
        len(set(r)) == 2
        for s in publication.services.values()
        for r in s.shards.values()
    )


@each_profile
def test_scaling_keeps_each_instances_share_of_the_connections(profile):
    def quotas(fleet):
        return {
            group.name: group.connections // (fleet.instances + fleet.overlap)
            for group in fleet.groups
        }

    assert quotas(scale_profile(profile, 0.2)) == quotas(profile)


@each_profile
def test_one_query_of_the_main_kind_selects_40_services(profile):
    publication = parsed_publication(profile)
    policy = match_policies(publication, request_labels(profile.requests[0])).policy
    selected = [
        s for s in publication.services.values() if policy.services.matches(s.labels)
    ]
    assert len(selected) == 40
    goal = Goal.COVERAGE if profile.name == "hatstand" else Goal.TAIL
    assert {p.goal for p in publication.policies.values()} == {goal}


@each_profile
def test_every_kind_of_request_matches_a_policy(profile):
    assert 100 < capacity_per_s(profile) < 1_000
