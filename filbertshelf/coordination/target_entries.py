"""Listed targets of a service with their connections and observations."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from filbertshelf.state.directory import ListedTarget
from filbertshelf.state.replicas import TargetState
from filbertshelf.state.retry_window import RetryWindow
from filbertshelf.state.selection import Candidate
from filbertshelf.state.target_rate import TargetRate
from filbertshelf.state.withholding import Cause, Withholding
from filbertshelf.transport.http1.exchange import Exchange

DEFAULT_CONNECTIONS = 32
"""Connection limit of a target whose service is in no configuration yet."""


class Pool(Protocol):
    """The interface of the connections to one target."""

    quota: int

    def has_room(self) -> bool:
        """Return whether an exchange would start without waiting."""

    def submit(self, exchange: Exchange) -> None:
        """Start an exchange, or queue it."""

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange."""

    def warm_up(self) -> None:
        """Open a connection before it is needed."""

    def check_alive(self, on_dead: Callable[[], None]) -> None:
        """Call `on_dead` if the address accepts no connection."""

    def probe(self, on_result: Callable[[bool], None]) -> None:
        """Call `on_result` with whether the address accepts a connection."""

    def end_waiting(self) -> None:
        """End the queued exchanges as not sent."""

    def close_idle_since(self, at: float) -> None:
        """Close the connections that have been idle since a monotonic time."""

    def close(self) -> None:
        """Close the connections once they are idle."""


@attrs.define(eq=False)
class TargetEntry:
    """One listed target with its connections and observations."""

    listed: ListedTarget
    pool: Pool
    candidate: Candidate
    rate: TargetRate
    running: dict[Exchange, float] = attrs.field(factory=dict)
    responded_at: float = float("-inf")
    """When the target last responded, in monotonic seconds."""
    withholding: Withholding | None = None
    """What keeps new requests away, None for most targets."""
    withheld_logged_at: float = float("-inf")
    """When its withholding was last logged, in monotonic seconds."""
    header_logged_at: float = float("-inf")
    """When a malformed header of the target was last logged, in monotonic seconds."""

    @property
    def id(self) -> str:
        """Return the target's id."""
        return self.listed.id

    @property
    def state(self) -> TargetState:
        """Return the observed state of the target."""
        return self.candidate.state

    def is_withheld(self, now: float) -> bool:
        """Return whether the target has said that it wants no new request now.

        After a pause that it asked for, one request at a time is sent until it answers.
        """
        withholding = self.withholding
        if withholding is None:
            return False
        if now < withholding.until:
            return True
        if withholding.cause is not Cause.RETRY_LATER:
            return False
        return any(started >= withholding.until for started in self.running.values())

    def allows(self, now: float) -> bool:
        """Return whether the target's own statements allow a new request now."""
        if self.withholding is not None and self.is_withheld(now):
            return False
        return self.rate.allows(now)

    def refreshed_candidate(self) -> Candidate:
        """Return the candidate, updated with the current state of the connections."""
        candidate = self.candidate
        candidate.can_connect = self.pool.has_room()
        running = self.running
        candidate.oldest_start = next(iter(running.values())) if running else None
        return candidate


@attrs.define(eq=False)
class ServiceTargets:
    """The targets of one service and the budget for extra sub-requests to it."""

    name: str
    budget: RetryWindow
    connections: int = DEFAULT_CONNECTIONS
    is_shard: bool = False
    """Whether queries over many shards use the service."""
    is_single_target: bool = False
    """Whether requests to a single target use the service."""
    entries: dict[str, TargetEntry] = attrs.field(factory=dict)
