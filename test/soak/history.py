"""What callers and targets saw, from which the checks judge."""

from __future__ import annotations

import collections
import time

import attrs


@attrs.frozen
class Config:
    """One published version: where the moving route goes and which shards exist."""

    version: int
    moving_service: str
    shards: tuple[str, ...]
    published_at: float


@attrs.frozen
class Run:
    """A target has begun to work on a request."""

    request_id: str
    target: str
    service: str
    method: bytes
    path: bytes
    body: bytes
    started_at: float


@attrs.frozen
class Answer:
    """What a target answered; the stamp names it."""

    stamp: str
    request_id: str
    service: str
    status: int
    body: bytes


@attrs.define
class CallerRequest:
    """One request of a caller and its end; `status` 0 is no whole answer."""

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
    answer: bytes = b""
    reason: str = ""

    @property
    def route(self) -> str:
        """Return the first part of the path."""
        return self.path.split("/")[1]


@attrs.define
class History:
    """All that was seen, with times of one monotonic clock."""

    configs: list[Config] = attrs.field(factory=list)
    requests: list[CallerRequest] = attrs.field(factory=list)
    runs: dict[str, list[Run]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    answers: dict[str, Answer] = attrs.field(factory=dict)
    ended_targets: set[str] = attrs.field(factory=set)

    def now(self) -> float:
        """Return the seconds of the clock."""
        return time.monotonic()
