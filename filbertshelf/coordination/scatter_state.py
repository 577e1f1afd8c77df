"""The request, per-shard progress and timers of a round of sub-requests."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import attrs

from filbertshelf.clock import Clock
from filbertshelf.coordination.budgets import Budgets
from filbertshelf.coordination.targets import Targets
from filbertshelf.state.outcome import Reason
from filbertshelf.state.plan import Plan, ShardRef
from filbertshelf.state.quarantine import Quarantine
from filbertshelf.transport.target_link import Call

# After these failures the sub-request is known not to have run, and the replica isn't
# tried again. The number of replicas bounds such retries, so they need no budget.
UNBUDGETED_RETRY_REASONS = frozenset(
    {
        Reason.DRAINING,
        Reason.OTHER_SNAPSHOT,
        Reason.CONNECT_FAILED,
        Reason.NO_REPLICA,
    }
)
# Reasons that may mean that no replica holds the pinned snapshot any more.
SNAPSHOT_GONE_REASONS = frozenset(
    {Reason.OTHER_SNAPSHOT, Reason.NO_REPLICA, Reason.DRAINING}
)
# Refusals after which the same replica may be retried.
TRANSIENT_REASONS = frozenset({Reason.OVERLOADED, Reason.COLD})


class Timer(enum.Enum):
    """The action due for a shard when its timer expires."""

    HEDGE = "hedge"
    SOFT_TIMEOUT = "soft timeout"
    RETRY = "retry after backoff"
    QUARANTINE = "retry when the quarantine allows it"


@attrs.define(eq=False)
class ShardRun:
    """The progress of one shard; `calls` maps each running call to its target."""

    index: int
    ref: ShardRef
    tried: set[str] = attrs.field(factory=set)
    calls: dict[Call, str] = attrs.field(factory=dict)
    attempts: int = 0
    answer: Mapping[str, Any] | None = None
    reason: Reason = Reason.TIMEOUT
    closed: bool = False


class ScatterContext(Protocol):
    """The parts of the instance that a round uses."""

    clock: Clock
    targets: Targets
    budgets: Budgets
    quarantine: Quarantine
    adaptive: bool

    def has_queued_requests(self) -> bool:
        """Return whether requests are queued for admission."""


@attrs.frozen
class ScatterRequest:
    """The input of a round; the deadline is in seconds of the monotonic clock.

    `check_confirmed` runs before each write and raises an error if the configuration
    isn't confirmed. `newer_snapshot_published` says whether a newer publication names
    another snapshot than the plan.
    """

    request_id: str
    plan: Plan
    body: bytes
    fingerprint: str
    deadline: float
    check_confirmed: Callable[[], None]
    newer_snapshot_published: Callable[[], bool] = lambda: False
