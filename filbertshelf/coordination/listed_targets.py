"""The listed targets with their connections, observations and retry budgets."""

from __future__ import annotations

import collections
import math
import random
import statistics
from collections.abc import Callable, Collection, Iterable, Mapping

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.cold_targets import ColdTargets
from filbertshelf.coordination.reachability import ReachabilityMonitor
from filbertshelf.coordination.target_entries import (
    Pool,
    ServiceTargets,
    TargetEntry,
)
from filbertshelf.coordination.target_statements import TargetStatements
from filbertshelf.gateway_settings import Address, GatewaySettings
from filbertshelf.protocol.target_responses import Classification
from filbertshelf.state.cold import ColdBound
from filbertshelf.state.directory import ListedTarget, TargetChange
from filbertshelf.state.fleet_role import FleetRole
from filbertshelf.state.fleet_size import GROWTH, UNKNOWN_FLEET_SIZE
from filbertshelf.state.outcome import Reason, Result
from filbertshelf.state.replicas import TargetState
from filbertshelf.state.retry_window import RetryPolicy, RetryWindow
from filbertshelf.state.routing import RouteTable
from filbertshelf.state.selection import Candidate, choose_cheapest
from filbertshelf.state.target import Target
from filbertshelf.state.target_rate import TargetRate
from filbertshelf.state.withholding import Cause, LeavingTarget
from filbertshelf.transport.http1.exchange import Exchange, ExchangeEnd
from filbertshelf.transport.http1.message_bounds import HeldBytes
from filbertshelf.transport.http1.pool import ConnectionPool

CONNECTION_SHARE = 0.9
"""The fraction of a target's connections that is used; a busy target accepts fewer."""

UNKNOWN_ROLE = FleetRole(
    instances=UNKNOWN_FLEET_SIZE,
    gather_instances=UNKNOWN_FLEET_SIZE,
    runs_gathers=True,
    connects_ahead=False,
)
"""The role until the first members are found; queries are run here until then."""

NEAR_SHARE = 0.5
"""The share of the shards with a target in a data centre above which it is near them.

Without a margin one lost target would move all queries to other data centres.
"""

WARM_UP_SPREAD_S = 1.0
"""New targets are connected to after a random delay of up to this time, so that the
instances don't all connect at the same time."""

RARE_SENDER_FACTOR = 4
"""Instances that leave queries over many shards to others send to their cold targets
only if those fail; together they get at most the rate divided by this number."""

_RESULTS_BY_END: Mapping[ExchangeEnd, tuple[Result, Reason]] = {
    ExchangeEnd.NOT_CONNECTED: (Result.NOT_RUN, Reason.CONNECT_FAILED),
    ExchangeEnd.NOT_SENT: (Result.NOT_RUN, Reason.NO_CAPACITY),
    ExchangeEnd.LOST: (Result.UNKNOWN, Reason.CONNECTION_LOST),
    # A target may run a request of which it has read a part.
    ExchangeEnd.NOT_TAKEN: (Result.UNKNOWN, Reason.TIMEOUT),
    ExchangeEnd.MALFORMED: (Result.UNKNOWN, Reason.BAD_RESPONSE),
    ExchangeEnd.CANCELLED: (Result.UNKNOWN, Reason.CANCELLED),
}


class ListedTargets:
    """Owns the connections to all listed targets, grouped by service."""

    def __init__(
        self,
        cfg: GatewaySettings,
        clock: Clock,
        rng: random.Random,
        call_later: Callable[[float, Callable[[], None]], object],
        make_pool: Callable[[Address, int, Clock, HeldBytes], Pool] = ConnectionPool,
        on_limit_ended: Callable[[str], None] = lambda target_id: None,
        on_leaving: Callable[[LeavingTarget], None] = lambda target: None,
    ):
        """Create without targets; `call_later(seconds, func)` schedules a call.

        `on_limit_ended` is called with the id of a target that names no rate limit any
        more, `on_leaving` with a target that has said that it leaves, unless the other
        instances know it by then.
        """
        self._make_pool = make_pool
        self._held_bytes = HeldBytes()
        self._data_centre = cfg.instance.data_centre
        self._retries = cfg.retries
        self._clock = clock
        self._rng = rng
        self._call_later = call_later
        self._services: dict[str, ServiceTargets] = {}
        self._entries: dict[str, TargetEntry] = {}
        self.cold = ColdTargets(
            self._services, self._entries, cfg.cold, clock, rng, call_later
        )
        self._evacuated: frozenset[str] = frozenset()
        self._regions = cfg.regions
        self.statements = TargetStatements(
            self._entries,
            clock,
            rng,
            call_later,
            on_limit_ended,
            on_leaving,
            self.cold.record_header,
        )
        self._has_seeds = bool(cfg.instance.peers)
        self._has_listing = False
        self._role = UNKNOWN_ROLE
        self.reachability = ReachabilityMonitor(self._choose_probed, clock, call_later)
        self.reachability.on_change.append(self._forget_failed_link)

    # Configuration and listing.

    def set_retries(self, policy: RetryPolicy) -> None:
        """Apply the retry budget of new settings."""
        self._retries = policy
        for service in self._services.values():
            service.budget.set_policy(policy)

    def set_regions(self, regions: Mapping[str, str]) -> None:
        """Apply the regions of the data centres in new settings."""
        self._regions = regions

    def set_cold_bound(self, bound: ColdBound) -> None:
        """Apply the bound on requests to cold targets of new settings."""
        self.cold.set_bound(bound)

    def set_rank(self, rank: int) -> None:
        """Apply the place of this instance in the order of the live ones' names."""
        self.cold.set_rank(rank)

    def mark_cold(self, data_centre: str) -> None:
        """Take the targets of a data centre that is used again for cold.

        A statement that a target makes from now on replaces this.
        """
        self.cold.mark(
            entry
            for entry in self._entries.values()
            if entry.listed.data_centre == data_centre
        )

    def set_role(self, role: FleetRole) -> None:
        """Divide connections and budgets by the role's numbers of instances."""
        if role == self._role:
            return
        self._role = role
        for service in self._services.values():
            self._apply_limits(service)
            self._warm_up_all(service)

    def full_mesh_fits(self, table: RouteTable, size: int) -> bool:
        """Return whether every instance may connect to all targets of all shards."""
        shard_services = _shard_services(table)
        caps = [
            service.connections
            for service in table.services.values()
            if service.name in shard_services
        ]
        return not caps or CONNECTION_SHARE * min(caps) >= size

    def data_centres_near_shards(self, table: RouteTable) -> frozenset[str]:
        """Return the data centres that hold usable targets of most shards."""
        shard_services = _shard_services(table)
        counts: collections.Counter[str] = collections.Counter()
        for name in shard_services & self._services.keys():
            entries = self._services[name].entries.values()
            names = {entry.listed.data_centre for entry in entries}
            counts.update(names - self._evacuated)
        needed = NEAR_SHARE * len(shard_services)
        return frozenset(name for name, count in counts.items() if count > needed)

    def apply_table(self, table: RouteTable) -> None:
        """Apply the limits and uses of services in a version of the configuration."""
        shard_services = _shard_services(table)
        single_target_services = _single_target_services(table)
        for configured in table.services.values():
            service = self._service_targets(configured.name)
            warmed_up_before = self._should_warm_up(service)
            service.connections = configured.connections
            service.is_shard = configured.name in shard_services
            service.is_single_target = configured.name in single_target_services
            service.cold_start_s = configured.cold_start_s
            service.cold_requests_per_s = configured.cold_requests_per_s
            self._apply_limits(service)
            if not warmed_up_before:
                self._warm_up_all(service)

    def apply(self, changes: Iterable[TargetChange]) -> None:
        """Add, replace and remove targets."""
        for change in changes:
            if change.target is None:
                self.remove(change.id, "the platform no longer lists it")
            else:
                self._add_or_update(change.target)
        self._has_listing = True

    def remove(self, id_: str, reason: str) -> None:
        """Remove a target; its unfinished exchanges may continue."""
        entry = self._entries.pop(id_, None)
        if entry is None:
            return
        self._services[entry.listed.service].entries.pop(id_, None)
        entry.pool.close()
        events.emit(events.TARGET_REMOVED, target=id_, reason=reason)

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Withhold the targets in these data centres, and use all others again.

        Running exchanges may finish; those that wait for a connection go elsewhere.
        """
        ended = self._evacuated - data_centres
        self._evacuated = data_centres
        self._apply_evacuation(list(self._entries.values()))
        for data_centre in sorted(ended):
            self.evacuation_ended(data_centre)

    def evacuation_ended(self, data_centre: str) -> None:
        """Prepare the targets of a data centre whose evacuation has just ended.

        They are allowed again already. Their connections were closed.
        """
        self.mark_cold(data_centre)
        for service in self._services.values():
            if self._should_warm_up(service):
                for entry in service.entries.values():
                    if entry.listed.data_centre == data_centre:
                        self._warm_up(entry)

    def _apply_evacuation(self, entries: Iterable[TargetEntry]) -> None:
        """Withhold the targets in evacuated data centres, and no others."""
        withheld = []
        for entry in entries:
            before = entry.evacuated
            entry.evacuated = entry.listed.data_centre in self._evacuated
            if entry.evacuated and not before:
                withheld.append(entry)
        # What waited for one of them is sent to another target at once, so all of them
        # must be withheld by now.
        now = self._clock.monotonic()
        for entry in withheld:
            entry.pool.end_waiting()
            entry.pool.close_idle_since(now)

    def _add_or_update(self, listed: ListedTarget) -> None:
        entry = self._entries.get(listed.id)
        if entry is not None and _is_same_process(entry.listed, listed):
            self._update(entry, listed)
            return
        if entry is not None:
            self.remove(listed.id, "another process has its id")
        self._add(listed)

    def _update(self, entry: TargetEntry, listed: ListedTarget) -> None:
        before, entry.listed = entry.listed, listed
        self._apply_evacuation([entry])
        self.statements.apply_listing(entry)
        self.cold.record_listing(entry, before)

    def _add(self, listed: ListedTarget) -> None:
        service = self._service_targets(listed.service)
        address = "{}:{}".format(*listed.address)
        pool = self._make_pool(listed.address, 1, self._clock, self._held_bytes)
        target = Target(listed.id, address, listed.data_centre, {}, listed.slots, 0)
        state = TargetState(target, self._clock, self._rng)
        local = listed.data_centre == self._data_centre
        rate = TargetRate(self._clock.monotonic(), self._rng)
        entry = TargetEntry(listed, pool, Candidate(state, local), rate)
        service.entries[listed.id] = entry
        self._entries[listed.id] = entry
        self._apply_limits(service)
        self._apply_evacuation([entry])
        events.emit(events.TARGET_ADDED, target=listed.id, address=address)
        self.statements.apply_listing(entry)
        self.cold.record_added(entry, is_first_listing=not self._has_listing)
        if self._should_warm_up(service):
            self._warm_up(entry)

    def _service_targets(self, name: str) -> ServiceTargets:
        service = self._services.get(name)
        if service is None:
            budget = RetryWindow(self._retries)
            service = self._services[name] = ServiceTargets(name, budget)
            self._apply_limits(service)
        return service

    def _should_warm_up(self, service: ServiceTargets) -> bool:
        """Return whether connections are opened before they are needed.

        A service that no route uses yet may become a shard, and only the instances that
        run queries over many shards connect to those.
        """
        return self._role.connects_ahead or service.is_single_target

    def _warm_up_all(self, service: ServiceTargets) -> None:
        if self._should_warm_up(service):
            for entry in service.entries.values():
                self._warm_up(entry)

    def _warm_up(self, entry: TargetEntry) -> None:
        delay = self._rng.random() * WARM_UP_SPREAD_S
        self._call_later(delay, lambda: self._warm_up_now(entry))

    def _warm_up_now(self, entry: TargetEntry) -> None:
        if not entry.is_withheld(self._clock.monotonic()):
            entry.pool.warm_up()

    def _apply_limits(self, service: ServiceTargets) -> None:
        role = self._role
        instance_count = self._instances_for(service)
        quota = max(1, int(CONNECTION_SHARE * service.connections / instance_count))
        for entry in service.entries.values():
            entry.pool.quota = quota
        if service.is_shard and not role.runs_gathers:
            # The instances that run queries over many shards share the whole slack.
            instance_count = UNKNOWN_FLEET_SIZE * role.gather_instances
        service.budget.set_fleet_size(instance_count)
        now = self._clock.monotonic()
        for entry in service.entries.values():
            entry.rate.set_instances(instance_count, now)
        service.cold_instances = self._count_cold_senders(service, instance_count)
        self.cold.apply_limits(service)

    def _count_cold_senders(self, service: ServiceTargets, instance_count: int) -> int:
        """Return the divisor of the rate of a service's cold targets.

        A cold target crashes above its rate, so the instances that only rarely send to
        it count too, and so may those that this instance doesn't see.
        """
        role = self._role
        if service.is_shard and not role.runs_gathers:
            instance_count = max(instance_count, RARE_SENDER_FACTOR * role.instances)
        if service.is_single_target:
            instance_count = max(instance_count, role.instances)
        if self._has_seeds and role.instances <= math.ceil(GROWTH):
            # It has seen no other instance, though the settings name some.
            instance_count = max(instance_count, UNKNOWN_FLEET_SIZE)
        return instance_count

    def slots_share(self, services: Collection[str]) -> float:
        """Return this instance's share of the usable slots of the median service.

        Targets that get no requests now have no usable slots.
        """
        now = self._clock.monotonic()
        slots = []
        for name in services:
            service = self._service_targets(name)
            usable = sum(
                entry.listed.slots
                for entry in service.entries.values()
                if not entry.is_withheld(now)
            )
            slots.append(usable / self._instances_for(service))
        return statistics.median(slots)

    def _instances_for(self, service: ServiceTargets) -> int:
        """Return the highest number of instances that may send to a service."""
        role = self._role
        return role.gather_instances if service.is_shard else role.instances

    # Interface for requests.

    def count_request(self, service: str, now: float) -> None:
        """Count a request for a service towards its retry budget."""
        self._service_targets(service).budget.record_request(now)

    def budget(self, service: str) -> RetryWindow:
        """Return the budget for extra sub-requests to a service."""
        return self._service_targets(service).budget

    def choose(
        self,
        service: str,
        exclude: Collection[str],
        now: float,
        restrict_to: Collection[str] | None = None,
        regions: frozenset[str] = frozenset(),
    ) -> TargetEntry | None:
        """Return the target for a sub-request, or None if none is available.

        With `restrict_to`, only targets with these ids are considered, and with
        `regions` only those in data centres of these regions.
        """
        candidates = [
            entry.refreshed_candidate()
            for entry in self.entries_within(service, regions)
            if (restrict_to is None or entry.id in restrict_to) and entry.allows(now)
        ]
        chosen = choose_cheapest(candidates, exclude, now, self._rng)
        return None if chosen is None else self._entries[chosen.state.name]

    def entries_within(
        self, service: str, regions: frozenset[str]
    ) -> Collection[TargetEntry]:
        """Return the targets of a service, without `regions` in all regions."""
        service_targets = self._services.get(service)
        if service_targets is None:
            return ()
        entries = service_targets.entries.values()
        if not regions:
            return entries
        return [
            entry
            for entry in entries
            if self._regions.get(entry.listed.data_centre) in regions
        ]

    def unavailable_reason(
        self, service: str, now: float, regions: frozenset[str] = frozenset()
    ) -> Reason | None:
        """Return why no target may be sent a request now, None if one may be."""
        entries = self.entries_within(service, regions)
        # Usually the first target will do, and each query asks for each shard.
        for entry in entries:
            if entry.state.is_available() and entry.allows(now):
                return None
        available = [entry for entry in entries if entry.state.is_available()]
        if not available:
            return Reason.NO_REPLICA
        causes = {entry.withheld_cause(now) for entry in available}
        if None in causes:
            return Reason.RATE_LIMITED
        if Cause.RETRY_LATER in causes:
            return Reason.RETRY_LATER
        return Reason.EVACUATED if Cause.EVACUATED in causes else Reason.DRAINING

    def soonest_return_s(
        self, service: str, now: float, regions: frozenset[str] = frozenset()
    ) -> float:
        """Return after how many seconds a target that asked for a pause may be asked.

        It is infinite if there is none.
        """
        returns = [
            entry.withholding.until - now
            for entry in self.entries_within(service, regions)
            if entry.withholding
            and entry.withholding.cause is Cause.RETRY_LATER
            and not entry.evacuated
        ]
        return max(0.0, min(returns, default=math.inf))

    def send(
        self, entry: TargetEntry, exchange: Exchange, now: float, is_extra: bool = False
    ) -> None:
        """Start an exchange with a target; a hedge or a retry is an extra one.

        It ends as not sent if the target's data centre is evacuated.
        """
        entry.running[exchange] = now
        entry.spend_permits(now, is_extra)
        entry.state.attempt_started()
        if entry.evacuated:
            exchange.started_at = now
            exchange.finish(ExchangeEnd.NOT_SENT)
        else:
            entry.pool.submit(exchange)

    def record_end(
        self,
        entry: TargetEntry,
        exchange: Exchange,
        classification: Classification,
        now: float,
    ) -> None:
        """Record the end of an exchange."""
        self._record_reachability(entry, exchange, now)
        started = entry.running.pop(exchange, now)
        if entry.withholding is not None and exchange.end is ExchangeEnd.RESPONDED:
            self.statements.end_pause(entry, started)
        before = entry.state.breaker
        entry.state.attempt_finished(
            classification.result, classification.reason, now - started
        )
        after = entry.state.breaker
        if after is not before:
            events.emit(
                events.TARGET_BREAKER_CHANGED,
                target=entry.id,
                service=entry.listed.service,
                before=before.value,
                after=after.value,
                reason=classification.reason.value,
            )
        if classification.tells_rate_limit:
            self.statements.record_rate_limit(entry, classification.rate_limit, now)
        if classification.other_target:
            self.remove(entry.id, "another target has its address")

    def _record_reachability(
        self, entry: TargetEntry, exchange: Exchange, now: float
    ) -> None:
        if exchange.end is ExchangeEnd.RESPONDED:
            entry.responded_at = now
            self.reachability.state.record_response(now)
        elif exchange.end in (ExchangeEnd.NOT_CONNECTED, ExchangeEnd.LOST):
            self.reachability.record_failure(entry.id, now)

    def _forget_failed_link(self) -> None:
        """Forget failures and connections of a time without a target in reach."""
        if not self.reachability.cut_off:
            for entry in self._entries.values():
                entry.state.forget_failures()
                entry.pool.close_idle_since(self.reachability.cut_off_at)

    def _choose_probed(self, count: int) -> list[TargetEntry]:
        """Return targets of different services, the last one that responded first."""
        now = self._clock.monotonic()
        entries = [
            entry for entry in self._entries.values() if not entry.is_withheld(now)
        ]
        if not entries:
            return []
        self._rng.shuffle(entries)
        latest = max(entries, key=lambda entry: entry.responded_at)
        by_service = {latest.listed.service: latest}
        for entry in entries:
            by_service.setdefault(entry.listed.service, entry)
        chosen = list(by_service.values())[:count]
        others = [entry for entry in entries if entry not in chosen]
        return chosen + others[: count - len(chosen)]

    def withheld_count(self, cause: Cause) -> int:
        """Return how many listed targets are withheld now for a cause."""
        now = self._clock.monotonic()
        return sum(
            entry.withheld_cause(now) is cause for entry in self._entries.values()
        )

    def rate_limited_count(self) -> int:
        """Return how many listed targets name a rate limit."""
        return sum(
            entry.rate.limit_per_s is not None for entry in self._entries.values()
        )

    def cancel(self, entry: TargetEntry, exchange: Exchange) -> None:
        """Cancel an exchange and close its connection."""
        entry.pool.cancel(exchange)

    def withdraw(self, entry: TargetEntry, exchange: Exchange) -> None:
        """Withdraw an exchange that is queued for a connection."""
        entry.running.pop(exchange, None)
        entry.state.attempt_finished(Result.NOT_RUN, Reason.CANCELLED, 0.0)
        entry.pool.cancel(exchange)

    def states(self) -> dict[str, TargetState]:
        """Return the observed states of all targets by id."""
        return {id_: entry.state for id_, entry in self._entries.items()}

    def close(self) -> None:
        """Close the connections of all targets."""
        for entry in self._entries.values():
            entry.pool.close()


def classify_without_response(end: ExchangeEnd) -> Classification:
    """Return the classification of an exchange that ended without a response."""
    return Classification(*_RESULTS_BY_END[end])


def _shard_services(table: RouteTable) -> set[str]:
    """Return the services that queries over many shards use."""
    routes = [route for route in table.routes() if route.gather is not None]
    return {name for route in routes for name in route.gather.shards}


def _single_target_services(table: RouteTable) -> set[str]:
    """Return the services that requests to a single target use."""
    return {
        weighted.service
        for route in table.routes()
        for weighted in route.weighted_services
    }


def _is_same_process(first: ListedTarget, second: ListedTarget) -> bool:
    return (first.address, first.service, first.started_ms) == (
        second.address,
        second.service,
        second.started_ms,
    )
