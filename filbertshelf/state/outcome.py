"""The results of attempts, shards and whole requests."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from typing import Any

import attrs


class Result(enum.Enum):
    """How one attempt at a target ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why an attempt gave no answer or a shard is missing."""

    NONE = "none"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    CONNECTION_CLOSED = "connection_closed"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"
    OTHER_SNAPSHOT = "other_snapshot"
    DRAINING = "draining"
    EVACUATED = "evacuated"
    OVERLOADED = "overloaded"
    RATE_LIMITED = "rate_limited"
    RETRY_LATER = "retry_later"
    COLD = "cold"
    BAD_RESPONSE = "bad_response"
    TARGET_ERROR = "target_error"
    NO_REPLICA = "no_replica"
    NOT_ASKED = "not_asked"
    NO_CAPACITY = "no_capacity"
    RETRY_BUDGET = "retry_budget"
    QUARANTINED = "quarantined"
    PAUSED = "paused"


OVERLOAD_REASONS = frozenset({Reason.NO_CAPACITY, Reason.OVERLOADED})
"""Reasons that indicate overload of the targets or the connections."""


class Outcome(enum.Enum):
    """The outcome of a request as reported to the caller."""

    WHOLE = "whole"
    PARTIAL = "partial"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@attrs.frozen
class Attempt:
    """The result of one sub-request at one target; `latency` is in seconds."""

    target: str
    result: Result
    reason: Reason = Reason.NONE
    answer: Any = None
    latency: float = 0.0


@attrs.frozen
class Missing:
    """A planned shard without an answer, and the reason."""

    service: str
    shard: str
    reason: Reason


@attrs.frozen
class Coverage:
    """How many planned shards the answer covers, and which are missing."""

    planned: int
    answered: int
    missing: tuple[Missing, ...] = ()

    @property
    def share(self) -> float:
        """Return the answered share of the planned shards, 1.0 for an empty plan."""
        return self.answered / self.planned if self.planned else 1.0


def query_outcome(coverage: Coverage, attempts: Iterable[Attempt]) -> Outcome:
    """Return the outcome of a query from its coverage and all its attempts.

    A query with missing shards but without any attempt has the outcome not run.
    """
    if not coverage.missing:
        return Outcome.WHOLE
    if coverage.answered:
        return Outcome.PARTIAL
    return outcome_without_answer(attempts)


def outcome_without_answer(attempts: Iterable[Attempt]) -> Outcome:
    """Return not run if no attempt can have run, else unknown."""
    none_ran = all(attempt.result is Result.NOT_RUN for attempt in attempts)
    return Outcome.NOT_RUN if none_ran else Outcome.UNKNOWN


@attrs.frozen
class Answer:
    """The answer to a request."""

    request_id: str
    outcome: Outcome
    revision: int
    snapshot: Mapping[str, Mapping[str, Any]]
    coverage: Coverage
    rows: tuple[Any, ...] = ()
    reason: str = ""
    sub_requests: int = 0
