"""Listed targets of a service with their connections and observations."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from filbertshelf.state.cold import ColdState
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
    """What the target or its listing has said, None for most targets."""
    evacuated: bool = False
    """Whether its data centre is evacuated; unlike `withholding` the target's own
    statements neither replace nor end this."""
    withheld_logged_at: float = float("-inf")
    """When its withholding was last logged, in monotonic seconds."""
    header_logged_at: float = float("-inf")
    """When a malformed header of the target was last logged, in monotonic seconds."""
    cold: ColdState | None = None
    """Until when the target is cold, None for most targets."""
    cold_rate: TargetRate | None = None
    """The permits while it is cold, None if its service has no rate for that."""
    cold_max_in_flight: int = 1
    """How many requests may be unanswered while `cold_rate` applies."""
    cold_check_at: float = float("-inf")
    """When its cold state is applied again, in monotonic seconds."""
    cold_logged_at: float = float("-inf")
    """When it was last logged as cold, in monotonic seconds."""
    logged_as_cold: bool = False
    """Whether the last log line about it says that it is cold."""

    @property
    def id(self) -> str:
        """Return the target's id."""
        return self.listed.id

    @property
    def state(self) -> TargetState:
        """Return the observed state of the target."""
        return self.candidate.state

    def is_withheld(self, now: float) -> bool:
        """Return whether the target gets no new request now.

        After a pause that it asked for, one request at a time is sent until it answers.
        """
        if self.evacuated:
            return True
        withholding = self.withholding
        if withholding is None:
            return False
        if now < withholding.until:
            return True
        if withholding.cause is not Cause.RETRY_LATER:
            return False
        return any(started >= withholding.until for started in self.running.values())

    def withheld_cause(self, now: float) -> Cause | None:
        """Return why the target gets no new request now, None if it does."""
        if self.evacuated:
            return Cause.EVACUATED
        return self.withholding.cause if self.is_withheld(now) else None

    def allows(self, now: float) -> bool:
        """Return whether its data centre and its own statements allow a new request."""
        if self.evacuated:
            return False
        if self.withholding is not None and self.is_withheld(now):
            return False
        if self.cold_rate is not None and not self._allows_cold(now):
            return False
        return self.rate.allows(now)

    def _allows_cold(self, now: float) -> bool:
        """Return whether the rate of a cold target allows a request now.

        Requests that wait for a connection, or for a target that stands still, would
        later reach the target all at once.
        """
        return (
            self.cold_rate.allows(now)
            and len(self.running) < self.cold_max_in_flight
            and self.pool.has_room()
        )

    def spend_permits(self, now: float, is_extra: bool) -> None:
        """Use the permits for a request that is sent now."""
        self.rate.spend(now, is_extra)
        if self.cold_rate is not None:
            self.cold_rate.spend(now, is_extra)

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
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0
    cold_instances: int = 1
    """The highest number of instances that may send to its cold targets."""
    entries: dict[str, TargetEntry] = attrs.field(factory=dict)
