"""The routes of one configuration version and the matching of requests to them."""

from __future__ import annotations

import enum
import itertools
from collections.abc import Iterable, Mapping

import attrs


class Repeat(enum.Enum):
    """Whether a request may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@attrs.frozen
class Limits:
    """The sizes in bytes and the times that a caller must not exceed."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@attrs.frozen
class Service:
    """A service with its own set of targets."""

    name: str
    health_path: str
    connections: int
    """How many connections one target accepts from all instances together."""
    cold_start_s: float = 0.0
    """How long a target is cold after it starts; 0 if it never is."""
    cold_requests_per_s: float = 0.0
    """The requests a second that a cold target takes; 0 for no limit."""


@attrs.frozen
class WeightedService:
    """A service that receives a weighted share of the requests of a route."""

    service: str
    weight: float


@attrs.frozen
class Gather:
    """How the answers of many shards are merged into one."""

    shards: tuple[str, ...]
    """The services, each of which answers for one shard."""
    top_k: int
    """The highest number of records in the answer."""
    min_coverage: float
    """The least share of the shards that an answer needs, 0 to 1."""


@attrs.frozen(eq=False)
class Route:
    """The services and limits for requests with a host and a path prefix."""

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    latency_objective_s: float
    """The latency at the caller up to which an answer has its full value."""
    max_attempts: int
    """The highest number of targets that a request may be sent to, for each shard."""
    priority: int
    """The rank of the requests; 0 is the highest."""
    weighted_services: tuple[WeightedService, ...] = ()
    gather: Gather | None = None
    allowed_regions: frozenset[str] = frozenset()
    """The only regions whose targets may get the requests; empty for all regions."""

    def services(self) -> tuple[str, ...]:
        """Return the names of all services that the route can use."""
        if self.gather is not None:
            return self.gather.shards
        return tuple(weighted.service for weighted in self.weighted_services)


@attrs.frozen(eq=False)
class RouteTable:
    """All routes and services of one version of the configuration."""

    version: int
    services: Mapping[str, Service]
    limits: Limits
    _by_host: Mapping[str, tuple[Route, ...]]

    @classmethod
    def build(
        cls,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        limits: Limits,
    ) -> RouteTable:
        """Return a table of the routes and services."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        longest_first = {
            host: tuple(
                sorted(of_host, key=lambda route: len(route.prefix), reverse=True)
            )
            for host, of_host in by_host.items()
        }
        services_by_name = {service.name: service for service in services}
        return cls(version, services_by_name, limits, longest_first)

    def routes(self) -> Iterable[Route]:
        """Return all routes."""
        return itertools.chain.from_iterable(self._by_host.values())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if there is none."""
        host = host.lower()
        candidates = self._by_host.get(host)
        if candidates is None and ":" in host:
            candidates = self._by_host.get(host.rpartition(":")[0])
        for route in candidates or ():
            if path.startswith(route.prefix):
                return route
        return None


class WeightedServiceSequence:
    """Distributes requests over services so that each short run follows the weights.

    Multiples of the golden ratio, modulo 1, are spread evenly, so fewer requests are
    needed to approach the weights than with random numbers.
    """

    _GOLDEN_RATIO = 0.6180339887498949

    __slots__ = ("_point",)

    def __init__(self, start: float):
        """`start` (0 to 1) differs between instances, so that they aren't in step."""
        self._point = start

    def next_service(self, services: tuple[WeightedService, ...]) -> WeightedService:
        """Return the service for the next request; `services` must not be empty."""
        if len(services) == 1:
            return services[0]
        self._point = (self._point + self._GOLDEN_RATIO) % 1.0
        position = self._point * sum(service.weight for service in services)
        for service in services:
            position -= service.weight
            if position < 0:
                return service
        return services[-1]
