"""The two deployments: their fleets, publications and request mixes."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import attrs

from filbertshelf.standins.target_config import HostedService, Snapshot, TargetConfig
from filbertshelf.state.publication import match_policies, parse_publication

FIRST_VERSION = "v1"
FIRST_GENERATION = 1
# An ordinary day leaves room: this share of what the targets can serve.
ORDINARY_SHARE = 0.3
# The address that stands in until the targets are bound.
UNBOUND = "127.0.0.1:1"


@attrs.frozen(kw_only=True)
class ServiceGroup:
    """Services of the same size; service `i` gets the labels `i % len(labels)`."""

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
    scales: bool
    """Whether a smaller fleet has fewer of these services."""
    sigma: float = 0.3
    queue: int = 16


@attrs.frozen(kw_only=True)
class RequestKind:
    """One kind of caller request; `weight` is its share of the mix."""

    name: str
    weight: float
    callers: tuple[str, ...]
    labels: Mapping[str, str]
    urgency: int
    deadline_ms: int
    query: Mapping[str, Any]
    variants: int = 25
    """How many different queries there are of this kind; few popular queries repeat,
    so that an instance sees both new and known fingerprints."""

    def body(self, number: int) -> dict[str, Any]:
        """Return the body of `POST /v1/query` of the request `number`."""
        return {
            "caller": self.callers[number % len(self.callers)],
            "labels": dict(self.labels),
            "urgency": self.urgency,
            "deadline_ms": self.deadline_ms,
            "query": {**self.query, "job": f"{self.name}-{number % self.variants}"},
        }


@attrs.frozen(kw_only=True)
class Profile:
    """One deployment; delays are one way, in milliseconds."""

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
    """A target of a profile before it is started."""

    name: str
    service: str
    number: int
    data_centre: str
    group: ServiceGroup


def scaled(profile: Profile, scale: float) -> Profile:
    """Return a fleet of the same shape with `scale` times the size.

    Connection caps shrink with the number of instances, so that an instance's
    share of a leaf's connections stays the same.
    """
    if not 0 < scale <= 1:
        raise ValueError(f"scale {scale} is not above 0 and at most 1")
    instances = max(2, round(profile.instances * scale))
    overlap = max(1, round(profile.overlap * scale))
    shares = (instances + overlap) / (profile.instances + profile.overlap)
    groups = tuple(
        attrs.evolve(
            group,
            services=max(2, round(group.services * scale))
            if group.scales
            else group.services,
            connections=math.ceil(group.connections * shares),
        )
        for group in profile.groups
    )
    return attrs.evolve(profile, instances=instances, overlap=overlap, groups=groups)


def leaves(profile: Profile) -> tuple[Leaf, ...]:
    """Return all targets; the leaves of a service are in different data centres."""
    found = []
    for group in profile.groups:
        for index in range(group.services):
            service = service_name(group, index)
            for number in range(group.leaves):
                place = profile.data_centres[
                    (index + number) % len(profile.data_centres)
                ]
                name = f"{service}-leaf-{number}"
                found.append(Leaf(name, service, number, place, group))
    return tuple(found)


def service_name(group: ServiceGroup, index: int) -> str:
    """Return the name of the group's service `index`."""
    return f"{group.name}-{index:02d}"


def shard_leaves(group: ServiceGroup, shard: int) -> tuple[int, ...]:
    """Return the numbers of the leaves that hold a shard."""
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
        for leaf in leaves(profile)
    )


def hosted_shards(leaf: Leaf) -> tuple[str, ...]:
    """Return the names of the shards that a leaf holds."""
    group = leaf.group
    return tuple(
        f"s{shard}"
        for shard in range(group.shards)
        if leaf.number in shard_leaves(group, shard)
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
    """Return the mean round trip between an instance and a target.

    Instances and targets are spread evenly, so that one pair in as many as there
    are data centres is in the same one and has no delay.
    """
    places = len(profile.data_centres)
    return 2 * profile.one_way_ms * (places - 1) / places


def publication(
    profile: Profile,
    addresses: Mapping[str, str],
    index_version: str = FIRST_VERSION,
    generation: int = FIRST_GENERATION,
) -> dict[str, Any]:
    """Return the publication document for the given target addresses."""
    return {
        "fleet": {"instances": profile.instances, "overlap": profile.overlap},
        "services": _services(profile, index_version, generation),
        "targets": {leaf.name: _target(leaf, addresses) for leaf in leaves(profile)},
        "policies": {name: dict(rule) for name, rule in profile.policies.items()},
    }


def _services(
    profile: Profile, index_version: str, generation: int
) -> dict[str, dict[str, Any]]:
    found = {}
    for group in profile.groups:
        for index in range(group.services):
            name = service_name(group, index)
            found[name] = {
                "labels": dict(group.labels[index % len(group.labels)]),
                "index_version": index_version,
                "generation": generation,
                "shards": {
                    f"s{shard}": [
                        f"{name}-leaf-{number}" for number in shard_leaves(group, shard)
                    ]
                    for shard in range(group.shards)
                },
            }
    return found


def _target(leaf: Leaf, addresses: Mapping[str, str]) -> dict[str, Any]:
    return {
        "address": addresses[leaf.name],
        "data_centre": leaf.data_centre,
        "labels": {"group": leaf.group.name},
        "slots": leaf.group.slots,
        "connections": leaf.group.connections,
    }


def capacity_per_s(profile: Profile) -> float:
    """Return the request rate at which the mix fills the busiest service's slots."""
    unbound = {leaf.name: UNBOUND for leaf in leaves(profile)}
    parsed = parse_publication(publication(profile, unbound))
    total = sum(kind.weight for kind in profile.requests)
    work = dict.fromkeys(parsed.services, 0.0)
    for kind in profile.requests:
        policy = match_policies(parsed, request_labels(kind)).policy
        if policy is None:
            raise ValueError(f"no policy of {profile.name} matches {kind.name}")
        for service in parsed.services.values():
            if policy.services.matches(service.labels):
                work[service.name] += kind.weight / total * len(service.shards)
    groups = {leaf.service: leaf.group for leaf in leaves(profile)}
    return min(
        _sub_requests_per_s(groups[name]) / load for name, load in work.items() if load
    )


def request_labels(kind: RequestKind) -> dict[str, str]:
    """Return the labels that a request of this kind is matched by."""
    implied = {
        "caller": kind.callers[0],
        "kind": "query",
        "urgency": str(kind.urgency),
    }
    return {**kind.labels, **implied}


def ordinary_rate_per_s(profile: Profile) -> float:
    """Return the request rate of an ordinary day."""
    return ORDINARY_SHARE * capacity_per_s(profile)


def _sub_requests_per_s(group: ServiceGroup) -> float:
    mean_s = group.service_ms / 1000 * math.exp(group.sigma**2 / 2)
    return group.leaves * group.slots / mean_s


def _policy(
    selector: str, services: str, goal: str, deadline_ms: int, **more: Any
) -> dict[str, Any]:
    return {
        "selector": selector,
        "services": services,
        "goal": goal,
        "deadline_ms": deadline_ms,
        **more,
    }


def _query(**wanted: str) -> dict[str, Any]:
    return {"filter": wanted, "order_by": "id", "limit": 20}


HATSTAND = Profile(
    name="hatstand",
    data_centres=("bne-1", "bne-2", "bne-3"),
    one_way_ms=1.5,
    client_one_way_ms=3.0,
    instances=20,
    overlap=4,
    groups=(
        ServiceGroup(
            name="quote",
            services=50,
            leaves=2,
            slots=2,
            connections=60,
            connection_cost_ms=6.0,
            shards=1,
            replicas=2,
            service_ms=20.0,
            labels=(
                {"desk": "quote", "catalogue": "racks", "brand": "pegline"},
                {"desk": "quote", "catalogue": "stands", "brand": "coastal"},
                {"desk": "quote", "catalogue": "racks", "brand": "rackworks"},
                {"desk": "invoice", "catalogue": "stands", "brand": "pegline"},
                {"desk": "quote", "catalogue": "racks", "brand": "coastal"},
            ),
            scales=True,
        ),
        ServiceGroup(
            name="counter",
            services=2,
            leaves=3,
            slots=6,
            connections=250,
            connection_cost_ms=1.0,
            shards=3,
            replicas=2,
            service_ms=8.0,
            labels=({"desk": "counter"}, {"desk": "vans"}),
            scales=False,
        ),
    ),
    policies={
        "quote-desk": _policy("desk=quote", "desk=quote", "coverage", 2_000),
        "swap-line": _policy(
            "desk=swap", "desk=quote, catalogue=racks", "coverage", 1_000
        ),
        "invoices": _policy(
            "desk=invoice", "desk in (quote, invoice)", "coverage", 4_000
        ),
        "counter": _policy("desk=counter", "desk=counter", "coverage", 800),
        "vans": _policy("desk=vans", "desk=vans", "coverage", 1_500, hedge=False),
    },
    requests=(
        RequestKind(
            name="quote",
            weight=0.5,
            callers=("quote-anna", "quote-ben", "quote-chloe"),
            labels={"desk": "quote", "catalogue": "racks"},
            urgency=5,
            deadline_ms=2_000,
            query=_query(state="free"),
        ),
        RequestKind(
            name="swap",
            weight=0.2,
            callers=("swap-line-1", "swap-line-2"),
            labels={"desk": "swap", "catalogue": "racks"},
            urgency=9,
            deadline_ms=1_000,
            query=_query(state="free", depot="depot-1"),
        ),
        RequestKind(
            name="counter",
            weight=0.2,
            callers=("counter-1", "counter-2"),
            labels={"desk": "counter"},
            urgency=6,
            deadline_ms=800,
            query={"order_by": "id", "limit": 1},
        ),
        RequestKind(
            name="invoice",
            weight=0.1,
            callers=("month-end",),
            labels={"desk": "invoice"},
            urgency=1,
            deadline_ms=4_000,
            query=_query(state="booked"),
        ),
    ),
)

QUITANIEVES = Profile(
    name="quitanieves",
    data_centres=("bog-1", "bog-2", "bog-3"),
    one_way_ms=0.5,
    client_one_way_ms=1.0,
    instances=20,
    overlap=4,
    groups=(
        ServiceGroup(
            name="dispatch",
            services=50,
            leaves=2,
            slots=2,
            connections=60,
            connection_cost_ms=6.0,
            shards=1,
            replicas=2,
            service_ms=20.0,
            labels=(
                {"app": "dispatch", "holds": "shifts"},
                {"app": "dispatch", "holds": "routes"},
                {"app": "dispatch", "holds": "drivers"},
                {"app": "dispatch", "holds": "drivers"},
                {"app": "payroll", "holds": "shifts"},
            ),
            scales=True,
        ),
        ServiceGroup(
            name="in-cab",
            services=1,
            leaves=4,
            slots=3,
            connections=90,
            connection_cost_ms=1.0,
            shards=4,
            replicas=2,
            service_ms=8.0,
            labels=({"app": "in-cab"},),
            scales=False,
        ),
        ServiceGroup(
            name="compliance",
            services=1,
            leaves=3,
            slots=3,
            connections=90,
            connection_cost_ms=1.0,
            shards=3,
            replicas=2,
            service_ms=8.0,
            labels=({"app": "compliance"},),
            scales=False,
        ),
    ),
    policies={
        "dispatch": _policy(
            "app=dispatch", "app=dispatch", "tail", 1_000, partial_after_ms=250
        ),
        "relief-drivers": _policy(
            "app=dispatch, need=driver",
            "app=dispatch, holds=drivers",
            "tail",
            800,
            partial_after_ms=200,
        ),
        "in-cab": _policy(
            "app=in-cab", "app=in-cab", "tail", 500, partial_after_ms=150
        ),
        "compliance": _policy(
            "app=compliance", "app=compliance", "tail", 2_000, partial_after_ms=800
        ),
        "payroll": _policy(
            "app=payroll",
            "app in (dispatch, payroll)",
            "tail",
            3_000,
            partial_after_ms=1_500,
            hedge=False,
        ),
    },
    requests=(
        RequestKind(
            name="shift-search",
            weight=0.45,
            callers=("dispatcher-1", "dispatcher-2", "dispatcher-3"),
            labels={"app": "dispatch"},
            urgency=6,
            deadline_ms=1_000,
            query=_query(state="free"),
        ),
        RequestKind(
            name="relief-driver",
            weight=0.2,
            callers=("dispatcher-1", "dispatcher-4"),
            labels={"app": "dispatch", "need": "driver"},
            urgency=9,
            deadline_ms=800,
            query=_query(state="free"),
        ),
        RequestKind(
            name="driver",
            weight=0.2,
            callers=("cab-07", "cab-12"),
            labels={"app": "in-cab"},
            urgency=7,
            deadline_ms=500,
            query={"order_by": "id", "limit": 5},
        ),
        RequestKind(
            name="clerk",
            weight=0.05,
            callers=("clerk-1",),
            labels={"app": "compliance"},
            urgency=3,
            deadline_ms=2_000,
            query=_query(),
        ),
        RequestKind(
            name="payroll",
            weight=0.1,
            callers=("month-end",),
            labels={"app": "payroll"},
            urgency=1,
            deadline_ms=3_000,
            query=_query(state="booked"),
        ),
    ),
)

PROFILES: Mapping[str, Profile] = {
    profile.name: profile for profile in (HATSTAND, QUITANIEVES)
}
