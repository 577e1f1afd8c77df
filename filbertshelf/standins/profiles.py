"""Profiles of deployments: fleet sizes, publications and request mixes."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import attrs

from filbertshelf.standins.target_config import HostedService, Snapshot, TargetConfig
from filbertshelf.state.publication import match_policies, parse_publication

FIRST_VERSION = "v1"
FIRST_GENERATION = 1
ORDINARY_CAPACITY_SHARE = 0.3
"""Fraction of the targets' capacity that the load of an ordinary day uses."""
PLACEHOLDER_ADDRESS = "127.0.0.1:1"
"""Target address for publications that are only parsed, not served."""


@attrs.frozen(kw_only=True)
class ServiceGroup:
    """Services of the same size.

    The service with index `i` has the labels at index `i % len(labels)`. `leaves`,
    `shards` and `replicas` are counts per service and shard; `slots`, `queue` and
    `connections` are limits of each leaf.
    """

    name: str
    services: int
    leaves: int
    slots: int
    connections: int
    connection_cost_ms: float
    shards: int
    replicas: int
    service_ms: float
    labels: tuple[Mapping[str, str], ...]
    scales_with_fleet: bool
    """Whether a scaled-down fleet has fewer of these services."""
    sigma: float = 0.3
    queue: int = 16


@attrs.frozen(kw_only=True)
class RequestKind:
    """One kind of caller request; `weight` is its relative frequency in the mix."""

    name: str
    weight: float
    callers: tuple[str, ...]
    labels: Mapping[str, str]
    urgency: int
    deadline_ms: int
    query: Mapping[str, Any]
    variants: int = 25
    """Number of distinct queries of this kind.

    The queries repeat, so that an instance sees both new and known fingerprints.
    """

    def body(self, number: int) -> dict[str, Any]:
        """Return the `POST /v1/query` body of the request with this number."""
        return {
            "caller": self.callers[number % len(self.callers)],
            "labels": dict(self.labels),
            "urgency": self.urgency,
            "deadline_ms": self.deadline_ms,
            "query": {**self.query, "job": f"{self.name}-{number % self.variants}"},
        }


@attrs.frozen(kw_only=True)
class Profile:
    """One deployment; network delays are one-way, in milliseconds."""

    name: str
    data_centres: tuple[str, ...]
    one_way_ms: float
    client_one_way_ms: float
    instances: int
    overlap: int
    groups: tuple[ServiceGroup, ...]
    policies: Mapping[str, Mapping[str, Any]]
    requests: tuple[RequestKind, ...]


@attrs.frozen
class Leaf:
    """A target of a profile that isn't running yet."""

    name: str
    service: str
    number: int
    data_centre: str
    group: ServiceGroup


def scale_profile(profile: Profile, scale: float) -> Profile:
    """Return the profile scaled by `scale`, which must be above 0 and at most 1.

    Connection limits shrink with the number of instances, so that an instance's
    share of a leaf's connections stays the same. Raises `ValueError` if `scale` is
    out of range.
    """
    if not 0 < scale <= 1:
        raise ValueError(f"scale must be above 0 and at most 1, not {scale}")
    instances = max(2, round(profile.instances * scale))
    overlap = max(1, round(profile.overlap * scale))
    connection_share = (instances + overlap) / (profile.instances + profile.overlap)
    groups = tuple(
        attrs.evolve(
            group,
            services=max(2, round(group.services * scale))
            if group.scales_with_fleet
            else group.services,
            connections=math.ceil(group.connections * connection_share),
        )
        for group in profile.groups
    )
    return attrs.evolve(profile, instances=instances, overlap=overlap, groups=groups)


def list_leaves(profile: Profile) -> tuple[Leaf, ...]:
    """Return all leaves; those of a service are spread over the data centres."""
    leaves = []
    for group in profile.groups:
        for index in range(group.services):
            service = service_name(group, index)
            for number in range(group.leaves):
                data_centre = profile.data_centres[
                    (index + number) % len(profile.data_centres)
                ]
                name = f"{service}-leaf-{number}"
                leaves.append(Leaf(name, service, number, data_centre, group))
    return tuple(leaves)


def service_name(group: ServiceGroup, index: int) -> str:
    """Return the name of the service with this index in the group."""
    return f"{group.name}-{index:02d}"


def shard_leaf_numbers(group: ServiceGroup, shard: int) -> tuple[int, ...]:
    """Return the numbers of the leaves that hold the shard."""
    return tuple((shard + step) % group.leaves for step in range(group.replicas))


def target_configs(
    profile: Profile,
    seed: int = 1,
    index_version: str = FIRST_VERSION,
    generation: int = FIRST_GENERATION,
) -> tuple[TargetConfig, ...]:
    """Return the stand-in configuration of every target."""
    return tuple(
        _target_config(profile, leaf, seed, index_version, generation)
        for leaf in list_leaves(profile)
    )


def hosted_shards(leaf: Leaf) -> tuple[str, ...]:
    """Return the names of the shards that the leaf holds."""
    group = leaf.group
    return tuple(
        f"s{shard}"
        for shard in range(group.shards)
        if leaf.number in shard_leaf_numbers(group, shard)
    )


def _target_config(
    profile: Profile, leaf: Leaf, seed: int, index_version: str, generation: int
) -> TargetConfig:
    group = leaf.group
    snapshot = Snapshot(index_version, generation, hosted_shards(leaf))
    return TargetConfig(
        name=leaf.name,
        services=(HostedService(leaf.service, (snapshot,)),),
        slots=group.slots,
        queue=group.queue,
        connections=group.connections,
        connection_cost_ms=group.connection_cost_ms,
        network_ms=mean_round_trip_ms(profile),
        service_ms=group.service_ms,
        sigma=group.sigma,
        seed=seed,
    )


def mean_round_trip_ms(profile: Profile) -> float:
    """Return the mean round trip time between an instance and a target.

    Instances and targets are spread evenly, so with n data centres one in n pairs
    shares a data centre and has no network delay.
    """
    count = len(profile.data_centres)
    return 2 * profile.one_way_ms * (count - 1) / count


def publication_document(
    profile: Profile,
    addresses: Mapping[str, str],
    index_version: str = FIRST_VERSION,
    generation: int = FIRST_GENERATION,
) -> dict[str, Any]:
    """Return the publication document for the given target addresses."""
    return {
        "fleet": {"instances": profile.instances, "overlap": profile.overlap},
        "services": _services(profile, index_version, generation),
        "targets": {
            leaf.name: _target(leaf, addresses) for leaf in list_leaves(profile)
        },
        "policies": {name: dict(rule) for name, rule in profile.policies.items()},
    }


def _services(
    profile: Profile, index_version: str, generation: int
) -> dict[str, dict[str, Any]]:
    services = {}
    for group in profile.groups:
        for index in range(group.services):
            name = service_name(group, index)
            services[name] = {
                "labels": dict(group.labels[index % len(group.labels)]),
                "index_version": index_version,
                "generation": generation,
                "shards": {
                    f"s{shard}": [
                        f"{name}-leaf-{number}"
                        for number in shard_leaf_numbers(group, shard)
                    ]
                    for shard in range(group.shards)
                },
            }
    return services


def _target(leaf: Leaf, addresses: Mapping[str, str]) -> dict[str, Any]:
    return {
        "address": addresses[leaf.name],
        "data_centre": leaf.data_centre,
        "labels": {"group": leaf.group.name},
        "slots": leaf.group.slots,
        "connections": leaf.group.connections,
    }


def capacity_per_s(profile: Profile) -> float:
    """Return the request rate that occupies all slots of the busiest service.

    Raises `ValueError` if no policy matches a kind of request.
    """
    placeholder_addresses = {
        leaf.name: PLACEHOLDER_ADDRESS for leaf in list_leaves(profile)
    }
    parsed = parse_publication(publication_document(profile, placeholder_addresses))
    total = sum(kind.weight for kind in profile.requests)
    sub_requests = dict.fromkeys(parsed.services, 0.0)
    for kind in profile.requests:
        policy = match_policies(parsed, request_labels(kind)).policy
        if policy is None:
            raise ValueError(f"no policy of {profile.name} matches {kind.name}")
        for service in parsed.services.values():
            if policy.services.matches(service.labels):
                sub_requests[service.name] += kind.weight / total * len(service.shards)
    groups = {leaf.service: leaf.group for leaf in list_leaves(profile)}
    return min(
        _sub_requests_per_s(groups[name]) / count
        for name, count in sub_requests.items()
        if count
    )


def request_labels(kind: RequestKind) -> dict[str, str]:
    """Return the labels that policies match for requests of this kind."""
    implied = {
        "caller": kind.callers[0],
        "kind": "query",
        "urgency": str(kind.urgency),
    }
    return {**kind.labels, **implied}


def ordinary_rate_per_s(profile: Profile) -> float:
    """Return the request rate of an ordinary day, per second."""
    return ORDINARY_CAPACITY_SHARE * capacity_per_s(profile)


def _sub_requests_per_s(group: ServiceGroup) -> float:
    mean_s = group.service_ms / 1000 * math.exp(group.sigma**2 / 2)
    return group.leaves * group.slots / mean_s


def make_policy(
    selector: str, services: str, goal: str, deadline_ms: int, **optional: Any
) -> dict[str, Any]:
    """Return a policy of the publication; `optional` adds its optional keys."""
    return {
        "selector": selector,
        "services": services,
        "goal": goal,
        "deadline_ms": deadline_ms,
        **optional,
    }


def make_query(**wanted: str) -> dict[str, Any]:
    """Return a query for the first 20 rows, by id, with these field values."""
    return {"filter": wanted, "order_by": "id", "limit": 20}
