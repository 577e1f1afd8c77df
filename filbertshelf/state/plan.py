"""The plan of a request: its shards and the snapshot that it is pinned to."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from filbertshelf.errors import NoPolicyError, NoServiceError
from filbertshelf.state.labels import Labels
from filbertshelf.state.publication import (
    Policy,
    Publication,
    Service,
    match_policies,
)


@attrs.frozen
class ShardRef:
    """A shard of a service in one snapshot, with the replicas that may be used."""

    service: str
    shard: str
    index_version: str
    generation: int
    replicas: tuple[str, ...]


@attrs.frozen
class Plan:
    """The shards of a request, pinned to one configuration revision."""

    revision: int
    policy: Policy
    shards: tuple[ShardRef, ...]
    snapshot: Mapping[str, Mapping[str, Any]]


@attrs.frozen
class PolicyChoice:
    """The policy chosen for a request, and the names of all that match."""

    policy: Policy
    candidates: tuple[str, ...]


def choose_policy(publication: Publication, labels: Labels) -> PolicyChoice:
    """Return the policy to use for the labels.

    Raises `NoPolicyError` if no policy matches.
    """
    match = match_policies(publication, labels)
    if match.policy is None:
        raise NoPolicyError(
            f"no policy matches the labels {dict(labels)!r}",
            "correct the request's labels or publish a policy whose selector matches",
        )
    return PolicyChoice(match.policy, tuple(policy.name for policy in match.candidates))


def make_plan(publication: Publication, revision: int, policy: Policy) -> Plan:
    """Return the plan over all shards of the services that the policy selects.

    Raises `NoServiceError` if the policy selects no service.
    """
    services = [
        service
        for service in publication.services.values()
        if policy.services.matches(service.labels)
    ]
    if not services:
        raise NoServiceError(
            f"policy {policy.name!r} selects no service",
            "correct the policy's services selector or the services' labels",
        )
    allowed = {
        target.name
        for target in publication.targets.values()
        if policy.targets.matches(target.labels)
    }
    shards = tuple(ref for service in services for ref in _shard_refs(service, allowed))
    snapshot = {
        service.name: {
            "index_version": service.index_version,
            "generation": service.generation,
        }
        for service in services
    }
    return Plan(revision, policy, shards, snapshot)


def _shard_refs(service: Service, allowed: set[str]) -> list[ShardRef]:
    return [
        ShardRef(
            service.name,
            shard,
            service.index_version,
            service.generation,
            tuple(replica for replica in replicas if replica in allowed),
        )
        for shard, replicas in service.shards.items()
    ]
