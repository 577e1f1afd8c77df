"""The published configuration: its data, validation and policy matching."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from filbertshelf.addresses import parse_address
from filbertshelf.errors import Problem, PublicationError, SelectorError
from filbertshelf.state.labels import Labels, Selector
from filbertshelf.state.target import Target

MAX_DEADLINE_MS = 60_000
SECTIONS = ("fleet", "services", "targets", "policies")


class Goal(enum.Enum):
    """What a policy optimises for when some shards are late."""

    COVERAGE = "coverage"
    TAIL = "tail"


@attrs.frozen
class Fleet:
    """The fleet size by which fleet-wide limits are divided."""

    instances: int = 1
    overlap: int = 0

    @property
    def shares(self) -> int:
        """Return the number of shares that a fleet-wide limit is divided into."""
        return self.instances + self.overlap


@attrs.frozen
class Service:
    """An index: its current snapshot and the replicas of each shard."""

    name: str
    labels: Labels
    index_version: str
    generation: int
    shards: Mapping[str, tuple[str, ...]]


@attrs.frozen
class Policy:
    """The services, targets and limits for the requests that a selector matches."""

    name: str
    selector: Selector
    services: Selector
    targets: Selector
    priority: int = 0
    goal: Goal = Goal.COVERAGE
    deadline_ms: int = 2_000
    partial_after_ms: int = 0
    hedge: bool = True
    canary: bool = True
    rate_per_s: float = 0.0


@attrs.frozen
class Publication:
    """A complete, valid configuration."""

    fleet: Fleet
    services: Mapping[str, Service]
    targets: Mapping[str, Target]
    policies: Mapping[str, Policy]


@attrs.frozen
class Match:
    """The chosen policy and all matching ones, the chosen one first."""

    policy: Policy | None
    candidates: tuple[Policy, ...]


def match_policies(publication: Publication, labels: Labels) -> Match:
    """Return the policy to use for the labels and all that match.

    The policy with the highest priority is chosen, then the one with the most
    requirements, then the first by name.
    """
    matching = [
        policy
        for policy in publication.policies.values()
        if policy.selector.matches(labels)
    ]
    matching.sort(key=lambda p: (-p.priority, -len(p.selector.requirements), p.name))
    return Match(matching[0] if matching else None, tuple(matching))


def flatten(doc: Mapping[str, Any]) -> dict[str, Any]:
    """Return the publication document as one entry for each named object."""
    entries = {"fleet": doc.get("fleet", {})}
    for section in SECTIONS[1:]:
        for name, value in doc.get(section, {}).items():
            entries[f"{section}/{name}"] = value
    return entries


def unflatten(entries: Mapping[str, Any]) -> dict[str, Any]:
    """Return the publication document from the entries that `flatten` returned."""
    doc: dict[str, Any] = {section: {} for section in SECTIONS}
    for key, value in entries.items():
        section, slash, name = key.partition("/")
        if slash:
            doc.setdefault(section, {})[name] = value
        else:
            doc[section] = value
    return doc


def parse_publication(doc: object) -> Publication:
    """Return the publication in a JSON document.

    Raises `PublicationError` with all problems if the document is invalid.
    """
    return _PublicationReader().publication(doc)


class _PublicationReader:
    """Reads a publication document and collects its problems."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []

    def publication(self, doc: object) -> Publication:
        body = self._table("publication", doc, SECTIONS)
        result = Publication(
            self._fleet(body.get("fleet", {})),
            self._named("services", body, self._service),
            self._named("targets", body, self._target),
            self._named("policies", body, self._policy),
        )
        self._check_references(result)
        if self.problems:
            raise PublicationError(self.problems)
        return result

    def _add_problem(
        self, where: str, value: object, message: str, remedy: str
    ) -> None:
        self.problems.append(Problem(where, str(value)[:80], message, remedy))

    def _table(
        self, where: str, value: object, keys: Iterable[str] | None = None
    ) -> Mapping[str, Any]:
        if not isinstance(value, Mapping):
            self._add_problem(where, value, "is not an object", "write a JSON object")
            return {}
        if keys is not None:
            allowed = ", ".join(keys)
            for key in value.keys() - set(keys):
                remedy = f"use one of {allowed}"
                self._add_problem(f"{where}/{key}", value[key], "is unknown", remedy)
        return value

    def _named(
        self,
        section: str,
        body: Mapping[str, Any],
        read: Callable[[str, str, Any], Any],
    ) -> dict[str, Any]:
        table = self._table(section, body.get(section, {}))
        return {
            name: read(f"{section}/{name}", name, value)
            for name, value in table.items()
        }

    def _fleet(self, value: object) -> Fleet:
        table = self._table("fleet", value, ("instances", "overlap"))
        return Fleet(
            self._int("fleet", table, "instances", 1, 1, 100_000),
            self._int("fleet", table, "overlap", 0, 0, 100_000),
        )

    def _service(self, where: str, name: str, value: object) -> Service:
        keys = ("labels", "index_version", "generation", "shards")
        table = self._table(where, value, keys)
        return Service(
            name,
            self._labels(where, table),
            self._text(where, table, "index_version"),
            self._int(where, table, "generation", None, 0, 2**53),
            self._shards(where, table),
        )

    def _shards(
        self, where: str, table: Mapping[str, Any]
    ) -> dict[str, tuple[str, ...]]:
        shards = {}
        for shard, replicas in self._table(
            f"{where}/shards", table.get("shards")
        ).items():
            if not isinstance(replicas, list) or not all(
                isinstance(replica, str) for replica in replicas
            ):
                remedy = "write a list of target names"
                self._add_problem(f"{where}/shards/{shard}", replicas, "is bad", remedy)
                continue
            shards[shard] = tuple(replicas)
        return shards

    def _target(self, where: str, name: str, value: object) -> Target:
        keys = ("address", "data_centre", "labels", "slots", "connections")
        table = self._table(where, value, keys)
        return Target(
            name,
            self._address(where, table),
            self._text(where, table, "data_centre"),
            self._labels(where, table),
            self._int(where, table, "slots", None, 1, 100_000),
            self._int(where, table, "connections", None, 1, 1_000_000),
        )

    def _policy(self, where: str, name: str, value: object) -> Policy:
        keys = tuple(field.name for field in attrs.fields(Policy))[1:]
        table = self._table(where, value, keys)
        limit = MAX_DEADLINE_MS
        return Policy(
            name,
            self._selector(where, table, "selector"),
            self._selector(where, table, "services"),
            self._selector(where, table, "targets"),
            self._int(where, table, "priority", 0, -1_000_000, 1_000_000),
            self._goal(where, table),
            self._int(where, table, "deadline_ms", 2_000, 1, limit),
            self._int(where, table, "partial_after_ms", 0, 0, limit),
            self._bool(where, table, "hedge"),
            self._bool(where, table, "canary"),
            self._rate(where, table),
        )

    def _text(self, where: str, table: Mapping[str, Any], key: str) -> str:
        value = table.get(key)
        if not isinstance(value, str) or not value:
            remedy = "write a string that is not empty"
            self._add_problem(f"{where}/{key}", value, "is missing or not text", remedy)
            return ""
        return value

    def _address(self, where: str, table: Mapping[str, Any]) -> str:
        value = self._text(where, table, "address")
        if value and not _is_address(value):
            remedy = "write IP:PORT with a port from 1 to 65535"
            self._add_problem(f"{where}/address", value, "is not an address", remedy)
        return value

    def _int(
        self,
        where: str,
        table: Mapping[str, Any],
        key: str,
        default: int | None,
        low: int,
        high: int,
    ) -> int:
        value = table.get(key, default)
        if type(value) is not int or not low <= value <= high:
            remedy = f"write a whole number from {low} to {high}"
            self._add_problem(f"{where}/{key}", value, "is out of range", remedy)
            return low
        return value

    def _rate(self, where: str, table: Mapping[str, Any]) -> float:
        value = table.get("rate_per_s", 0.0)
        if type(value) not in (int, float) or not 0 <= value < 1e12:
            remedy = "write a number of requests per second, 0 for no limit"
            self._add_problem(f"{where}/rate_per_s", value, "is out of range", remedy)
            return 0.0
        return float(value)

    def _bool(self, where: str, table: Mapping[str, Any], key: str) -> bool:
        value = table.get(key, True)
        if type(value) is not bool:
            self._add_problem(
                f"{where}/{key}", value, "is not a boolean", "true or false"
            )
            return True
        return value

    def _goal(self, where: str, table: Mapping[str, Any]) -> Goal:
        value = table.get("goal", Goal.COVERAGE.value)
        try:
            return Goal(value)
        except ValueError:
            remedy = "write coverage or tail"
            self._add_problem(f"{where}/goal", value, "is unknown", remedy)
            return Goal.COVERAGE

    def _labels(self, where: str, table: Mapping[str, Any]) -> Labels:
        labels = self._table(f"{where}/labels", table.get("labels", {}))
        for key, value in labels.items():
            if not isinstance(value, str):
                remedy = "write the label's value as a string"
                self._add_problem(f"{where}/labels/{key}", value, "is not text", remedy)
        return labels

    def _selector(self, where: str, table: Mapping[str, Any], key: str) -> Selector:
        value = table.get(key, "")
        if not isinstance(value, str):
            remedy = "write the selector as a string"
            self._add_problem(f"{where}/{key}", value, "is not text", remedy)
            return Selector.parse("")
        try:
            return Selector.parse(value)
        except SelectorError as exc:
            self._add_problem(f"{where}/{key}", value, exc.message, exc.remedy)
            return Selector.parse("")

    def _check_references(self, publication: Publication) -> None:
        for service in publication.services.values():
            for shard, replicas in service.shards.items():
                for replica in replicas:
                    if replica not in publication.targets:
                        where = f"services/{service.name}/shards/{shard}"
                        remedy = "add the target or remove the replica"
                        self._add_problem(where, replica, "is not a target", remedy)


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
