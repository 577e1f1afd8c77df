"""What a round of sub-requests is made of: the job, its shards and their timers."""

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

# Refusals that are known not to have run and don't repeat on the same replica, so
# that retries after them are bounded by the number of replicas.
UNBUDGETED_RETRY_REASONS = frozenset(
    {
        Reason.DRAINING,
        Reason.OTHER_SNAPSHOT,
        Reason.CONNECT_FAILED,
        Reason.NO_REPLICA,
    }
)
# Reasons that can mean that the pinned snapshot has no holder left.
SNAPSHOT_GONE_REASONS = frozenset(
    {Reason.OTHER_SNAPSHOT, Reason.NO_REPLICA, Reason.DRAINING}
)
# Refusals after which the same replica may be asked again.
TRANSIENT_REASONS = frozenset({Reason.OVERLOADED, Reason.COLD})


class Timer(enum.Enum):
    """What is due for a shard at a set time."""

    HEDGE = "hedge"
    SOFT_TIMEOUT = "soft timeout"
    RETRY = "retry after backoff"
    QUARANTINE = "retry when the quarantine allows it"


@attrs.define(eq=False)
class ShardRun:
    """The progress of one shard."""

    index: int
    ref: ShardRef
    tried: set[str] = attrs.field(factory=set)
    calls: dict[Call, str] = attrs.field(factory=dict)
    attempts: int = 0
    answer: Mapping[str, Any] | None = None
    reason: Reason = Reason.TIMEOUT
    closed: bool = False


class ScatterContext(Protocol):
    """What a round needs of the instance."""

    clock: Clock
    targets: Targets
    budgets: Budgets
    quarantine: Quarantine
    adaptive: bool

    def has_queued_requests(self) -> bool:
        """Return whether requests wait for admission."""


@attrs.frozen
class ScatterRequest:
    """What a round has to do; the deadline is in monotonic seconds."""

    request_id: str
    plan: Plan
    body: bytes
    fingerprint: str
    deadline: float
    check_confirmed: Callable[[], None]
    newer_snapshot_published: Callable[[], bool] = lambda: False
