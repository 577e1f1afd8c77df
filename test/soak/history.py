"""Records of the soak's requests, runs and answers, which the checks examine."""

from __future__ import annotations

import collections
import time

import attrs


@attrs.frozen
class Config:
    """A published configuration: the service of the route `move` and the shards."""

    version: int
    moving_service: str
    shards: tuple[str, ...]
    published_at: float


@attrs.frozen
class Run:
    """The start of a request's execution on a target."""

    request_id: str
    target: str
    service: str
    method: bytes
    path: bytes
    body: bytes
    started_at: float


@attrs.frozen
class Answer:
    """The answer of a target, identified by its stamp."""

    stamp: str
    request_id: str
    service: str
    status: int
    body: bytes


@attrs.define
class RateLimit:
    """The requests a second that a target named for some time, for all gateways."""

    target: str
    per_s: float
    named_at: float
    ended_at: float = float("inf")


@attrs.frozen
class Arrival:
    """A request that reached a target, also one that the target refuses."""

    request_id: str
    target: str
    zone: str
    arrived_at: float
    misdirected: bool = False
    """Whether it was meant for another target and is answered with 421."""


@attrs.define
class Evacuation:
    """The time in which the store held the evacuation key of a data centre."""

    zone: str
    written_at: float
    removed_at: float = float("inf")


@attrs.frozen
class ColdTime:
    """A time in which a target is cold and all gateways can know it."""

    target: str
    known_at: float
    ends_at: float


@attrs.define
class CallerRequest:
    """One request of a caller and its result.

    `boot` counts the process starts of the gateway. `status` is 0 if no complete answer
    arrived.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    gateway: str
    boot: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    stamp: str = ""
    part_stamps: tuple[str, ...] = ()
    missing_parts: int = 0
    says_leaving: bool = False
    """Whether the answer says that its target leaves."""
    answer: bytes = b""
    reason: str = ""

    @property
    def route(self) -> str:
        """Return the name of the route, which is the first part of the path."""
        return self.path.split("/")[1]


@attrs.define
class History:
    """The observations of callers and targets, with times of one monotonic clock.

    `runs` maps request ids to runs, and `answers` maps stamps to answers.
    """

    configs: list[Config] = attrs.field(factory=list)
    requests: list[CallerRequest] = attrs.field(factory=list)
    runs: dict[str, list[Run]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    answers: dict[str, Answer] = attrs.field(factory=dict)
    ended_targets: set[str] = attrs.field(factory=set)
    rate_limits: list[RateLimit] = attrs.field(factory=list)
    arrivals: list[Arrival] = attrs.field(factory=list)
    evacuations: list[Evacuation] = attrs.field(factory=list)
    cold_times: list[ColdTime] = attrs.field(factory=list)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()
