"""The routes of one version of the configuration, and which one a request takes."""

from __future__ import annotations

import enum
import itertools
from collections.abc import Iterable, Mapping

import attrs


class Repeat(enum.Enum):
    """How often a request may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@attrs.frozen
class Limits:
    """What a caller may send and how long it may take; sizes are in bytes."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


@attrs.frozen
class Service:
    """One service that targets belong to."""

    name: str
    health_path: str
    connections: int
    """The connections that one target accepts from all its callers together."""


@attrs.frozen
class WeightedService:
    """One of several services that split the requests of a route."""

    service: str
    weight: float


@attrs.frozen
class Gather:
    """How the answers of many shards become one."""

    shards: tuple[str, ...]
    """The services of which each answers for one shard."""
    top_k: int
    """How many records the answer has at most."""
    min_coverage: float
    """The least share of the shards that makes an answer, 0 to 1."""


@attrs.frozen(eq=False)
class Route:
    """Where requests with a host and path prefix go, and under what limits."""

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout_s: float
    latency_objective_s: float
    """The time in which an answer has its full worth, counted at the caller."""
    max_attempts: int
    """The most targets that one request may be sent to, for each shard."""
    priority: int
    """The rank of the requests; 0 is the highest."""
    weighted_services: tuple[WeightedService, ...] = ()
    gather: Gather | None = None

    def services(self) -> tuple[str, ...]:
        """Return the names of all services that the route can use."""
        if self.gather is not None:
            return self.gather.shards
        return tuple(share.service for share in self.weighted_services)


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
        """Return a table of the routes."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host.lower(), []).append(route)
        longest_first = {
            host: tuple(sorted(found, key=lambda r: len(r.prefix), reverse=True))
            for host, found in by_host.items()
        }
        named = {service.name: service for service in services}
        return cls(version, named, limits, longest_first)

    def routes(self) -> Iterable[Route]:
        """Return all routes."""
        return itertools.chain.from_iterable(self._by_host.values())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, None without one."""
        host = host.lower()
        found = self._by_host.get(host)
        if found is None and ":" in host:
            found = self._by_host.get(host.rpartition(":")[0])
        for route in found or ():
            if path.startswith(route.prefix):
                return route
        return None


class WeightedServiceSequence:
    """Deals requests to weighted services so that each prefix is close to the weights.

    The multiples of the golden ratio are spread evenly over any interval, so the
    shares are met sooner than with random numbers.
    """

    _STEP = 0.6180339887498949

    __slots__ = ("_point",)

    def __init__(self, start: float):
        """`start` (0 to 1) differs between instances, so they don't move as one."""
        self._point = start

    def next_service(self, shares: tuple[WeightedService, ...]) -> WeightedService:
        """Return the service of the next request; `shares` isn't empty."""
        if len(shares) == 1:
            return shares[0]
        self._point = (self._point + self._STEP) % 1.0
        mark = self._point * sum(share.weight for share in shares)
        for share in shares:
            mark -= share.weight
            if mark < 0:
                return share
        return shares[-1]
