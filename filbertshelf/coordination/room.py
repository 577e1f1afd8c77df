"""Starts requests while their targets have room, and makes others wait or refuses them.

It takes effect only for services that routes of different priorities use.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection

import attrs

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.listed_targets import ListedTargets
from filbertshelf.coordination.routed_request import (
    CallLater,
    RoutedRequest,
    RoutedResult,
    Timer,
)
from filbertshelf.gateway_metrics import GatewayMetrics
from filbertshelf.protocol.target_responses import error_response
from filbertshelf.state.answer_time import AnswerRule
from filbertshelf.state.room import (
    LATE_INFLATION_FACTOR,
    MAX_WAITING,
    RoomAccount,
    RoomChange,
    RouteLoad,
    WaitingRequest,
    WaitingRequests,
    retry_after_s,
)
from filbertshelf.state.routing import RouteTable
from filbertshelf.supervision import log_unexpected

WAIT_SHARE = 0.25
"""The share of its latency objective within which a request is refused if it can't be
answered within the objective. A shorter deadline takes the place of the objective."""

MIN_WAIT_SHARE = 0.1
"""The least share of its objective that a request may wait, even if the answer needs
most of the quarter for its way back."""

PREDICTION_MARGIN = 1.5
"""A request stays in the queue after `WAIT_SHARE` only if it would be answered in time
after this multiple of its predicted wait."""

HALF = 0.5
"""The share of a query's shards whose answers tell its latency, and whose refusals tell
that load is the cause."""

MIN_ANSWERED_SHARE = 0.25
"""The share of the shards that must have answered for a query that ended before half of
them had to count as slow. With fewer the targets or the link may have failed."""

ANSWER_TOLERANCE_S = 0.008
"""An answer that is due at the objective may be this much later: a busy machine fires
timers late, and the answers of the shards are merged first."""

LINE_INTERVAL_S = 1.0
"""The shortest interval between two log lines about the limit of a group."""

MINIMUM_INTERVAL_S = 1.0
"""The interval at which the lowest limit is computed from the listed targets."""

MAX_GROUPS_WITH_METRICS = 32


@attrs.define(eq=False)
class Group:
    """The services of some requests, with their capacity and waiting requests."""

    name: str
    services: tuple[str, ...]
    account: RoomAccount
    waiting: WaitingRequests = attrs.field(factory=WaitingRequests)
    claims: dict[WaitingRequest, RoomClaim] = attrs.field(factory=dict)
    start_timer: Timer | None = None
    minimum_at: float = -math.inf
    logged_at: float = -math.inf


class RoomClaim:
    """The room that a request uses, or for which it waits."""

    __slots__ = (
        "_answered",
        "_asked",
        "_control",
        "_ended",
        "_factor",
        "_failed",
        "_half_recorded",
        "_held_s",
        "_objective_at",
        "_rule",
        "_share_s",
        "_short",
        "_work_s",
        "answer_by",
        "arrived_at",
        "group",
        "load",
        "objective_s",
        "on_refused",
        "on_start",
        "request",
        "started_at",
        "timer",
        "waited_s",
        "waiting",
    )

    def __init__(
        self,
        control: RoomControl,
        group: Group,
        request: RoutedRequest,
        load: RouteLoad,
        now: float,
        on_start: Callable[[], None],
        on_refused: Callable[[RoutedResult], None],
    ):
        self._control = control
        self.group = group
        self.load = load
        self.request: RoutedRequest | None = request
        self.on_start: Callable[[], None] | None = on_start
        self.on_refused: Callable[[RoutedResult], None] | None = on_refused
        self._objective_at = request.objective_at
        self.answer_by = min(request.objective_at, request.deadline)
        received_at = request.http_request.received_at
        self.objective_s = min(
            request.route.latency_objective_s, request.deadline - received_at
        )
        """The latency objective, or the time until the deadline if that is shorter."""
        self.arrived_at = now
        self.started_at = math.inf
        self.waited_s = 0.0
        self.waiting: WaitingRequest | None = None
        self.timer: Timer | None = None
        self._ended = False
        gather = request.route.gather
        shards = 1 if gather is None else len(gather.shards)
        coverage = 1.0 if gather is None else gather.min_coverage
        self._rule = AnswerRule.make(shards, coverage, math.inf)
        self._asked = shards
        self._answered = 0
        self._failed = 0
        self._short = 0
        self._half_recorded = False
        self._factor = 0.0
        """The time until half of the shards had answered, as a multiple of the work."""
        self._held_s = 0.0
        self._work_s = 0.0
        self._share_s = 0.0

    def start(self, now: float) -> None:
        """Count the work of the request as running."""
        self.started_at = now
        self._work_s = self._held_s = self.load.work_s
        self._share_s = self._work_s / self._rule.shards
        self.group.account.add(self._work_s, now)
        self.group.account.record_start(self, self.load, now)

    def drop_references(self) -> None:
        """Drop what would keep the request and this claim in a reference cycle.

        Late answers of targets still need the claim.
        """
        self.request = self.on_start = self.on_refused = None

    def end(self) -> None:
        """Give back what the request still holds."""
        if self._ended:
            return
        self._ended = True
        self.drop_references()
        if self.started_at == math.inf:
            return
        account = self.group.account
        account.remove(self._held_s)
        account.forget(self, self.load)
        if self._asked > 0:
            is_short = self._is_short()
            account.record_end(self.started_at, is_short or self._is_late())
            if is_short:
                self.group.waiting.record_failure(self.load, self._control.now())
            if self._answered >= MIN_ANSWERED_SHARE * self._asked:
                self._record_latency()
        self._control.on_room(self.group)

    def _is_short(self) -> bool:
        """Return whether the request found too few targets with a free slot.

        Some shards whose targets all refuse are no sign of load while the others
        suffice for an answer.
        """
        rule = self._rule
        allowed = min(HALF * rule.shards, rule.shards - rule.needed)
        return self._short > 0 and self._failed > allowed

    def _is_late(self) -> bool:
        """Return whether load has made the answer late."""
        late = self._control.now() > self._objective_at + ANSWER_TOLERANCE_S
        return late and self._factor > LATE_INFLATION_FACTOR

    # Reports of the request's calls.

    def on_target_answered(self) -> None:
        """Record that a target has answered, perhaps after the end of the request."""
        requests = 1.0 / self._rule.shards
        now = self._control.now()
        self.group.account.record_done(self._share_s, requests, now)

    def on_shard_answered(self) -> None:
        """Record that a shard has answered."""
        self._answered += 1
        if self._answered >= HALF * self._asked:
            self._record_latency()
        if self._answered == self._rule.needed:
            self._record_answer()
        self._end_shard()

    def on_shard_failed(self, sub_requests: int, refusals: int) -> None:
        """Record that a shard is missing, after `refusals` for lack of capacity."""
        if not sub_requests:
            self._asked -= 1
        self._failed += 1
        self._short += refusals > 0
        self._end_shard()

    def on_extra_sent(self) -> None:
        """Record a hedge or a retry."""
        if not self._ended:
            self._held_s += self._share_s
            self.group.account.add(self._share_s, self._control.now())

    def _end_shard(self) -> None:
        if not self._ended:
            self._held_s -= self._share_s
            self.group.account.remove(self._share_s)
            self._control.on_room(self.group)

    def _record_answer(self) -> None:
        if self.group.account.started_of_late(self.started_at):
            seconds = self._control.now() - self.started_at
            self.group.waiting.pace.record(seconds / self._work_s)

    def _record_latency(self) -> None:
        if self._half_recorded:
            return
        self._half_recorded = True
        now = self._control.now()
        seconds = now - self.started_at
        account = self.group.account
        account.forget(self, self.load)
        self._factor = seconds / self._work_s
        inflation = self.load.inflation(seconds)
        account.record_latency(self.started_at, inflation)
        self.load.record(seconds, account.limited)

    @property
    def others_wait(self) -> bool:
        """Return whether requests wait, so that extra sub-requests are not sent."""
        return len(self.group.waiting) > 0


class RoomControl:
    """Decides when the requests that this instance runs on targets start."""

    def __init__(
        self,
        clock: Clock,
        call_later: CallLater,
        targets: ListedTargets,
        metrics: GatewayMetrics,
        rng: random.Random,
        choose_service: Callable[[RoutedRequest], str],
    ):
        """`choose_service` returns the service that serves a single request."""
        self._clock = clock
        self._call_later = call_later
        self._targets = targets
        self._metrics = metrics
        self._rng = rng
        self._choose_service = choose_service
        self.stopped = False
        """Whether no waiting request starts any more, because the instance stops."""
        self._table: RouteTable | None = None
        self._contested: frozenset[str] = frozenset()
        """The services that routes of different priorities use."""
        self._groups: dict[tuple[str, ...], Group] = {}
        self._group_by_route: dict[str, Group | None] = {}
        self._shown: dict[str, Group] = {}
        """The groups that have metrics, by name."""

    def now(self) -> float:
        """Return the monotonic time."""
        return self._clock.monotonic()

    def groups(self) -> Collection[Group]:
        """Return the groups of services whose use is limited."""
        return self._groups.values()

    def acquire(
        self,
        request: RoutedRequest,
        on_start: Callable[[], None],
        on_refused: Callable[[RoutedResult], None],
    ) -> None:
        """Call `on_start` when the request may start, or `on_refused` if it must not.

        A request that was started has to be released when it ends.
        """
        group = self._group_of(request)
        if group is None:
            request.room = None
            on_start()
            return
        now = self.now()
        load = group.waiting.load(request.route, self._clock)
        group.waiting.record_offer(load, now)
        self.on_room(group)
        claim = RoomClaim(self, group, request, load, now, on_start, on_refused)
        request.room = claim
        if not group.waiting and group.account.has_room(load.work_s):
            self._start(claim, now)
        else:
            self._enqueue(claim, now)

    def release(self, request: RoutedRequest) -> None:
        """Give back the room of a request that has ended, or its place in the queue."""
        claim = request.room
        if claim is not None:
            self._leave_queue(claim)
            claim.end()

    def refuse(self, request: RoutedRequest, reason: str) -> None:
        """Refuse a request that waits."""
        claim, now = request.room, self.now()
        predicted_s = predicted_wait_s(claim.group, claim.waiting, now)
        self._leave_queue(claim)
        self._refuse(claim, reason, now, predicted_s)

    def on_room(self, group: Group) -> None:
        """Adjust the limit of a group, and schedule the start of waiting requests.

        They start in a call of their own, so that they neither delay nor break the
        request whose shard has ended.
        """
        now = self.now()
        account = group.account
        before_s = account.limit_s
        change = account.adjust(now)
        if change is not None:
            self._log_change(group, before_s, change, now)
        if self.stopped or group.start_timer is not None or not group.waiting:
            return
        if account.has_room(group.waiting.lightest_s()):
            group.start_timer = self._call_later(
                0.0, lambda: self._start_waiting(group)
            )

    def _start_waiting(self, group: Group) -> None:
        group.start_timer = None
        now = self.now()
        while group.waiting and not self.stopped:
            # The choice of the first one takes longer than this check.
            if not group.account.has_room(group.waiting.lightest_s()):
                return
            first = group.waiting.first(now)
            if not group.account.has_room(first.work_s):
                return
            claim = group.claims[first]
            self._leave_queue(claim)
            self._start_contained(claim, now)

    def _start_contained(self, claim: RoomClaim, now: float) -> None:
        """Start a request; after an unexpected error, fail it and release its room."""
        on_failed = claim.on_refused
        try:
            if now >= claim.request.deadline:
                self._refuse(claim, "the deadline has passed", now)
            else:
                self._start(claim, now)
        except Exception as exc:
            log_unexpected("start of a waiting request", exc)
            claim.end()
            # Some targets may have received it.
            on_failed(RoutedResult(error_response(502), "unknown", 0, 0))

    # Groups.

    def _group_of(self, request: RoutedRequest) -> Group | None:
        """Return the group of a request's services, None if it needs no admission."""
        self._apply_table(request.table)
        if not self._contested:
            return None
        route = request.route
        # A request may still use the routes of an older table.
        is_current = request.table is self._table
        if is_current and route.name in self._group_by_route:
            return self._group_by_route[route.name]
        services = route.services()
        if route.gather is None and len(services) > 1:
            if self._contested.isdisjoint(services):
                return None
            request.service = self._choose_service(request)
            return self._group_named((request.service,))
        group = self._group_named(services)
        if is_current:
            self._group_by_route[route.name] = group
        return group

    def _group_named(self, services: tuple[str, ...]) -> Group | None:
        if self._contested.isdisjoint(services):
            return None
        key = tuple(sorted(set(services)))
        group = self._groups.get(key)
        if group is None:
            name = key[0] if len(key) == 1 else f"{key[0]} and {len(key) - 1} more"
            group = self._groups[key] = Group(name, key, RoomAccount(self.now()))
            self._show(group)
        self._refresh_minimum(group)
        return group

    def _apply_table(self, table: RouteTable) -> None:
        if table is self._table or (
            self._table is not None and table.version < self._table.version
        ):
            return
        self._table = table
        self._contested = contested_services(table)
        self._group_by_route.clear()
        used = {tuple(sorted(set(route.services()))) for route in table.routes()}
        single = {(name,) for route in table.routes() for name in route.services()}
        for key in [key for key in self._groups if key not in used | single]:
            # Its requests still end, and start those that wait.
            self._hide(self._groups.pop(key))

    def _refresh_minimum(self, group: Group) -> None:
        now = self.now()
        if now - group.minimum_at >= MINIMUM_INTERVAL_S:
            group.minimum_at = now
            slots = self._targets.slots_share(group.services)
            waiting = group.waiting
            group.account.minimum_s = max(
                waiting.heaviest_s(), slots * waiting.mean_work_s(now)
            )

    # Waiting and refusing.

    def _start(self, claim: RoomClaim, now: float) -> None:
        self._refresh_minimum(claim.group)
        claim.waited_s = now - claim.arrived_at
        claim.start(now)
        claim.group.waiting.record_start(claim.load, claim.request.data_centre, now)
        on_start = claim.on_start
        claim.drop_references()
        on_start()

    def _enqueue(self, claim: RoomClaim, now: float) -> None:
        """Make a request wait, unless it or a less valuable one has to be refused."""
        group = claim.group
        entry = claim.waiting = self._make_entry(claim)
        predicted_s = predicted_wait_s(claim.group, claim.waiting, now)
        if now + predicted_s + claim.load.typical_s > claim.request.deadline:
            reason = "no time is left"
        elif not self._free_a_place(claim, now):
            reason = "the queue is full"
        else:
            group.waiting.add(entry)
            group.claims[entry] = claim
            self._set_decision_timer(claim, now)
            self._log_wait(claim, predicted_s, now)
            return
        claim.waiting = None
        self._refuse(claim, reason, now, predicted_s)

    def _make_entry(self, claim: RoomClaim) -> WaitingRequest:
        request = claim.request
        return WaitingRequest(
            request.route.name,
            request.data_centre,
            request.route.priority,
            claim.answer_by,
            request.http_request.received_at + WAIT_SHARE * claim.objective_s,
            claim.load,
        )

    def _free_a_place(self, claim: RoomClaim, now: float) -> bool:
        """Refuse another request if the queue is full; return False if none can be."""
        group = claim.group
        if len(group.waiting) < MAX_WAITING:
            return True
        displaced = group.waiting.displaced_by(claim.waiting, now)
        if displaced is claim.waiting:
            return False
        displaced_claim = group.claims[displaced]
        wait_s = predicted_wait_s(group, displaced, now)
        self._leave_queue(displaced_claim)
        self._refuse(displaced_claim, "displaced", now, wait_s, claim.request)
        return True

    def _set_decision_timer(self, claim: RoomClaim, now: float) -> None:
        request = claim.request
        decide_at = request.http_request.received_at + decision_delay_s(
            claim.objective_s, request.return_margin_s
        )
        claim.timer = self._call_later(
            max(0.0, decide_at - now), lambda: self._refuse_if_late(claim)
        )

    def _refuse_if_late(self, claim: RoomClaim) -> None:
        """Refuse a waiting request unless an answer in time is predicted.

        One that stays is refused when it could not be answered in time any more.
        """
        claim.timer = None
        now = self.now()
        predicted_s = predicted_wait_s(claim.group, claim.waiting, now)
        needed_s = PREDICTION_MARGIN * predicted_s + claim.load.typical_s
        is_late = now + needed_s > claim.answer_by
        if is_late or claim.group.waiting.is_overloaded(now):
            self._refuse_late(claim, predicted_s)
            return
        latest_start_s = claim.answer_by - claim.load.typical_s - now
        claim.timer = self._call_later(
            latest_start_s, lambda: self._refuse_late(claim, predicted_s)
        )

    def _refuse_late(self, claim: RoomClaim, predicted_s: float) -> None:
        self._leave_queue(claim)
        self._refuse(claim, "it would be late", self.now(), predicted_s)

    def _leave_queue(self, claim: RoomClaim) -> None:
        if claim.timer is not None:
            claim.timer.cancel()
            claim.timer = None
        if claim.waiting is not None:
            claim.group.waiting.remove(claim.waiting)
            claim.group.claims.pop(claim.waiting, None)
            claim.waiting = None

    def _refuse(
        self,
        claim: RoomClaim,
        reason: str,
        now: float,
        predicted_s: float = 0.0,
        displaced_by: RoutedRequest | None = None,
    ) -> None:
        request = claim.request
        claim.waited_s = now - claim.arrived_at
        self._metrics.room_refusals.labels(request.route.name).inc()
        if request.log_limit.allows(now):
            events.emit(
                events.REQUEST_WITHOUT_ROOM,
                request_id=request.text_id,
                route=request.route.name,
                group=claim.group.name,
                reason=reason,
                displaced_by="" if displaced_by is None else displaced_by.text_id,
                priority=request.route.priority,
                waited_ms=_ms(claim.waited_s),
                predicted_ms=_ms(predicted_s),
                work_ms=_ms(claim.load.work_s),
            )
        left_s = request.deadline - now
        after_s = retry_after_s(predicted_s, left_s, self._rng.random())
        response = error_response(503, after_s)
        on_refused = claim.on_refused
        claim.drop_references()
        on_refused(RoutedResult(response, "not run", 0, 0))

    # Log and metrics.

    def _log_wait(self, claim: RoomClaim, predicted_s: float, now: float) -> None:
        request = claim.request
        if request.log_limit.allows(now):
            events.emit(
                events.REQUEST_WAITS,
                request_id=request.text_id,
                route=request.route.name,
                group=claim.group.name,
                priority=request.route.priority,
                work_ms=_ms(claim.load.work_s),
                predicted_ms=_ms(predicted_s),
                waiting=len(claim.group.waiting),
            )

    def _log_change(
        self, group: Group, before_s: float, change: RoomChange, now: float
    ) -> None:
        if now - group.logged_at < LINE_INTERVAL_S:
            return
        group.logged_at = now
        events.emit(
            events.ROOM_LIMIT_CHANGED,
            group=group.name,
            before_ms=_ms(before_s),
            after_ms=_ms(group.account.limit_s),
            running_ms=_ms(group.account.running_s),
            waiting=len(group.waiting),
            reason=change.value,
        )

    def _show(self, group: Group) -> None:
        """Show a group in the metrics, whose number is bounded."""
        if len(self._shown) >= MAX_GROUPS_WITH_METRICS or group.name in self._shown:
            return
        self._shown[group.name] = group
        metrics, name = self._metrics, group.name
        metrics.room_waiting.labels(name).set_function(lambda: len(group.waiting))
        metrics.room_limit.labels(name).set_function(lambda: group.account.limit_s)
        metrics.room_running.labels(name).set_function(lambda: group.account.running_s)

    def _hide(self, group: Group) -> None:
        if self._shown.get(group.name) is not group:
            return
        del self._shown[group.name]
        metrics = self._metrics
        for gauge in (metrics.room_waiting, metrics.room_limit, metrics.room_running):
            gauge.remove(group.name)


def predicted_wait_s(group: Group, request: WaitingRequest, now: float) -> float:
    """Return the predicted seconds until a waiting request starts."""
    account = group.account
    ahead_s = group.waiting.work_ahead_s(request, now)
    limit_s = max(account.limit_s, account.minimum_s)
    excess_s = account.running_s + request.work_s - limit_s
    drain_per_s = account.drain_per_s()
    return max(0.0, ahead_s + excess_s) / drain_per_s if drain_per_s else 0.0


def decision_delay_s(objective_s: float, return_margin_s: float) -> float:
    """Return how long a request waits until it is decided whether it would be late."""
    return max(MIN_WAIT_SHARE * objective_s, WAIT_SHARE * objective_s - return_margin_s)


def contested_services(table: RouteTable) -> frozenset[str]:
    """Return the services that routes of different priorities use."""
    priorities: dict[str, int] = {}
    contested = set()
    for route in table.routes():
        for service in route.services():
            if priorities.setdefault(service, route.priority) != route.priority:
                contested.add(service)
    return frozenset(contested)


def _ms(seconds: float) -> float | None:
    """Return milliseconds for the log, None for no limit."""
    return None if seconds == math.inf else round(seconds * 1000, 1)
