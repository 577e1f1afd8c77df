"""Targets that are cold: what is known of them, their preference and their rate."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.target_entries import ServiceTargets, TargetEntry
from filbertshelf.state.cold import (
    ColdBound,
    ColdState,
    Source,
    after_evacuation,
    after_statement,
    permit_rule,
    presumed_state,
)
from filbertshelf.state.directory import ListedTarget
from filbertshelf.state.target_rate import PermitPhase, TargetRate

SLOW_START_STEP_S = 0.5
"""Interval at which the cost factor of a target that turned warm is lowered."""

LINE_INTERVAL_S = 1.0
"""The shortest interval between two log lines that say that a target is cold."""


class ColdTargets:
    """Keeps the cold states of the listed targets and applies them."""

    def __init__(
        self,
        services: Mapping[str, ServiceTargets],
        entries: Mapping[str, TargetEntry],
        bound: ColdBound,
        clock: Clock,
        rng: random.Random,
        call_later: Callable[[float, Callable[[], None]], object],
    ):
        """Create for the listed targets; `ListedTargets` describes the parameters."""
        self._services = services
        self._entries = entries
        self._bound = bound
        self._clock = clock
        self._rng = rng
        self._call_later = call_later
        self._rank: int | None = None

    # What is known of targets.

    def record_added(self, entry: TargetEntry, is_first_listing: bool) -> None:
        """Record what the listing says of a new target, or presume it if unknown.

        `is_first_listing` tells whether the target is in the first listing that this
        instance got.
        """
        now = self._clock.monotonic()
        listed = entry.listed
        if listed.cold_s is not None:
            self._record(entry, listed.cold_s, Source.LISTING, now)
            return
        age_s = self._clock.now().timestamp() - listed.started_ms / 1000
        cold_start_s = self._services[listed.service].cold_start_s
        state = presumed_state(is_first_listing, age_s, cold_start_s, now)
        self._set(entry, state, now)

    def record_listing(self, entry: TargetEntry, before: ListedTarget) -> None:
        """Record what a changed listing says; `before` is the previous one."""
        listed = entry.listed
        written_again = (listed.sequence, listed.cold_s) != (
            before.sequence,
            before.cold_s,
        )
        if listed.cold_s is not None and written_again:
            now = self._clock.monotonic()
            self._record(entry, listed.cold_s, Source.LISTING, now)

    def record_header(self, entry: TargetEntry, seconds: float, now: float) -> None:
        """Record for how long a target is cold as it says in a response."""
        # A late response may come from a target that is no longer listed.
        if self._entries.get(entry.id) is entry:
            self._record(entry, seconds, Source.HEADER, now)

    def mark(self, entries: Iterable[TargetEntry]) -> None:
        """Take targets for cold that got no requests for some time."""
        now = self._clock.monotonic()
        for entry in entries:
            cold_start_s = self._services[entry.listed.service].cold_start_s
            self._set(entry, after_evacuation(entry.cold, cold_start_s, now), now)

    def count(self) -> int:
        """Return how many listed targets are cold."""
        now = self._clock.monotonic()
        return sum(
            entry.cold is not None and entry.cold.is_cold(now)
            for entry in self._entries.values()
        )

    def _record(
        self, entry: TargetEntry, seconds: float, source: Source, now: float
    ) -> None:
        self._set(entry, after_statement(entry.cold, seconds, source, now), now)

    def _set(self, entry: TargetEntry, state: ColdState | None, now: float) -> None:
        if state is not entry.cold:
            entry.cold = state
            self._apply(entry, now)

    # Applying it.

    def set_bound(self, bound: ColdBound) -> None:
        """Apply the bound of new settings."""
        self._bound = bound
        self._apply_all_limits()

    def _apply_all_limits(self) -> None:
        for service in self._services.values():
            self.apply_limits(service)

    def set_rank(self, rank: int) -> None:
        """Set the place of this instance in the order of the live ones' names."""
        if rank != self._rank:
            self._rank = rank
            self._apply_all_limits()

    def apply_limits(self, service: ServiceTargets) -> None:
        """Apply changed limits of a service or a changed number of instances."""
        now = self._clock.monotonic()
        for entry in service.entries.values():
            if entry.cold is not None:
                self._apply(entry, now)

    def _apply(self, entry: TargetEntry, now: float) -> None:
        """Set the cost and the rate of a target by its state, and log the state."""
        state = entry.cold
        if state is None or state.is_over(now):
            entry.cold = None
            entry.candidate.cost_factor = 1.0
            self._end_rate(entry, now)
            return
        entry.candidate.cost_factor = state.cost_factor(now)
        if state.is_cold(now):
            self._apply_rate(entry, now)
            self._check_at(entry, state.until, now)
        else:
            self._end_rate(entry, now)
            self._check_at(entry, now + SLOW_START_STEP_S, now)

    def _apply_rate(self, entry: TargetEntry, now: float) -> None:
        service = self._services[entry.listed.service]
        rate_per_s = service.cold_requests_per_s
        if rate_per_s <= 0:
            entry.cold_rate = None
        else:
            is_new = entry.cold_rate is None
            if is_new:
                entry.cold_rate = TargetRate(now, self._rng, min_limit_per_s=0.0)
            rule = permit_rule(rate_per_s, service.cold_instances, self._bound)
            entry.cold_rate.set_permit_rule(rule.lifetime_s, rule.keeps_one)
            entry.cold_max_in_flight = rule.max_in_flight
            if self._rank is not None:
                # Wall clocks differ by milliseconds; with larger differences the
                # permits lie as if at random.
                epoch = now - self._clock.now().timestamp()
                phase = PermitPhase.choose(epoch, self._rank, entry.id)
                entry.cold_rate.set_phase(phase, now)
            entry.cold_rate.set_instances(service.cold_instances, now)
            entry.cold_rate.set_limit(rate_per_s, now)
            if is_new:
                # What waits for a connection was sent at the rate of a warm target.
                entry.pool.end_waiting()
        self._log_cold(entry, now)

    def _end_rate(self, entry: TargetEntry, now: float) -> None:
        entry.cold_rate = None
        if entry.logged_as_cold:
            entry.logged_as_cold = False
            events.emit(
                events.TARGET_WARM, target=entry.id, service=entry.listed.service
            )

    def _log_cold(self, entry: TargetEntry, now: float) -> None:
        state = entry.cold
        if entry.logged_as_cold or state is None:
            return
        if now - entry.cold_logged_at < LINE_INTERVAL_S:
            self._check_at(entry, entry.cold_logged_at + LINE_INTERVAL_S, now)
            return
        entry.logged_as_cold = True
        entry.cold_logged_at = now
        service = self._services[entry.listed.service]
        share_per_s = service.cold_requests_per_s / service.cold_instances
        events.emit(
            events.TARGET_COLD,
            target=entry.id,
            service=entry.listed.service,
            source=state.source.value,
            seconds=round(state.until - now, 2),
            share_per_s=round(share_per_s, 3),
        )

    def _check_at(self, entry: TargetEntry, at: float, now: float) -> None:
        """Apply the state again at a time, unless an earlier check is due."""
        if now < entry.cold_check_at <= at:
            return
        entry.cold_check_at = at
        self._call_later(at - now, lambda: self._check(entry, at))

    def _check(self, entry: TargetEntry, at: float) -> None:
        if entry.cold_check_at != at or self._entries.get(entry.id) is not entry:
            return
        entry.cold_check_at = float("-inf")
        if entry.cold is not None:
            self._apply(entry, self._clock.monotonic())
