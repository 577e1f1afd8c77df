"""The attempts to get one answer from the targets of a service."""

from __future__ import annotations

import functools
import math
from typing import Protocol

from filbertshelf import events
from filbertshelf.coordination.listed_targets import classify_without_response
from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutingContext,
    Timer,
)
from filbertshelf.coordination.target_entries import TargetEntry
from filbertshelf.protocol.target_responses import Classification
from filbertshelf.state.hedging import is_worthwhile
from filbertshelf.state.outcome import OVERLOAD_REASONS, Reason, Result
from filbertshelf.state.room import HONOURED_SHARE
from filbertshelf.state.routing import Repeat
from filbertshelf.transport.http1.connection import HttpConnection
from filbertshelf.transport.http1.exchange import (
    Exchange,
    ExchangeEnd,
    HeaderValues,
)

MAX_SUB_REQUESTS = 4
"""Maximum number of sub-requests for one shard of a request, hedges included."""

RETRY_BACKOFF_S = 0.03
"""Seconds before a target that refused is asked again."""

MIN_TIME_LEFT_S = 0.01
"""Minimum time left to start an attempt; with less, no target can answer in time."""

MAX_IDLE_BEFORE_ONCE_S = 0.25
"""How long a connection may have been idle before it carries a request that must run
only once. If its other end is gone, such a request ends without an answer; a new
connection shows that before the request is written."""

CLEANUP_DELAY_S = 0.25
"""How long exchanges of a finished request may continue before their connections are
closed; closing them earlier would cost new connections."""


class ShardCallListener(Protocol):
    """Receives the result of a shard call."""

    def on_answered(self, call: ShardCall) -> None:
        """Handle the answer."""

    def on_failed(self, call: ShardCall) -> None:
        """Handle the end of the call without an answer."""

    def is_needed(self, call: ShardCall) -> bool:
        """Return whether the request can't be answered without the call's answer."""


class ShardCall:
    """Asks targets of one service until one answers or no attempt is left."""

    def __init__(
        self,
        context: RoutingContext,
        request: RoutedRequest,
        service: str,
        listener: ShardCallListener,
    ):
        self.service = service
        self.reason = Reason.NOT_ASKED
        self.answer: Exchange | None = None
        self.classification: Classification | None = None
        self.failure: Exchange | None = None
        """The last complete error response that carries a target's stamp."""
        self.may_have_run = False
        self.closed = False
        self.sub_requests = 0
        self.refusals = 0
        """How many targets refused for lack of capacity."""
        self.answered_by = ""
        self.latency_s = 0.0
        self.returns_in_s = 0.0
        """Seconds after which the request may be repeated, if all targets asked for a
        pause."""
        self._target_deaths = 0
        self._context = context
        self._request = request
        self._listener: ShardCallListener | None = listener
        """None once the call is closed, because the listener holds the call."""
        self._regions = request.route.allowed_regions
        self._repeatable = request.route.repeat is Repeat.IDEMPOTENT
        self.watched_fields = context.classifier.statement_fields
        self._tried: set[str] = set()
        self._sent_to: set[str] = set()
        self._used_connections: frozenset[HttpConnection] = frozenset()
        """Connections that have carried a request that must run only once."""
        self._running: dict[Exchange, TargetEntry] = {}
        self._retry_timer: Timer | None = None

    @property
    def running(self) -> int:
        """Return the number of unfinished exchanges with targets."""
        return len(self._running)

    def start(self, now: float) -> None:
        """Send the first attempt."""
        self._context.targets.count_request(self.service, now)
        if self._try_send(now):
            self.reason = Reason.TIMEOUT
        else:
            self.check_available(now)
            self._fail()

    def check_available(self, now: float) -> bool:
        """Return whether a target is available; if not, `reason` says why."""
        targets = self._context.targets
        reason = targets.unavailable_reason(self.service, now, self._regions)
        if reason is not None:
            self.reason = reason
        if reason is Reason.RETRY_LATER:
            soonest_s = targets.soonest_return_s(self.service, now, self._regions)
            left_s = self._request.deadline - now
            self.returns_in_s = min(soonest_s, HONOURED_SHARE * left_s)
        return reason is None

    def hedge(self, now: float, only_if_worthwhile: bool = False) -> bool:
        """Ask a second target if allowed, and return whether one was asked.

        With `only_if_worthwhile` the second target must be expected to help. If the
        first exchange still waits for a connection, the second target replaces
        the first.
        """
        if self.closed or len(self._running) != 1:
            return False
        (exchange, entry), *_ = self._running.items()
        waited_s = now - exchange.started_at
        entry.state.observe_waiting(waited_s)
        if not exchange.written:
            return self._reassign(exchange, entry, now)
        if not self._repeatable:
            return False
        budget = self._context.targets.budget(self.service)
        budget_left = budget.remaining_for_hedges(now)
        if self._request.room is not None and self._request.room.others_wait:
            decision = "withheld: requests wait for room"
        elif not self._may_send_more():
            decision = "withheld: the route allows no further target"
        elif budget_left < 1.0:
            decision = "withheld: the retry budget is used up"
        elif only_if_worthwhile and not self._may_hedge_help(waited_s, now):
            decision = "withheld: no other target is expected to answer in time"
        elif self._try_send(now, is_extra=True):
            decision = "sent"
        else:
            decision = "withheld: no other target is available"
        self._log(
            events.HEDGE_DECIDED,
            entry,
            now,
            waited_ms=round(waited_s * 1000, 1),
            budget_left=round(budget_left, 1),
            decision=decision,
        )
        return decision == "sent"

    def _may_hedge_help(self, waited_s: float, now: float) -> bool:
        other = self._context.targets.choose(
            self.service, self._tried, now, regions=self._regions
        )
        if other is None:
            # The attempt to send finds that out too, and says so.
            return True
        expected_s = other.refreshed_candidate().expected_s(now)
        left_s = self._request.objective_at - now
        return is_worthwhile(waited_s, expected_s, left_s)

    def _reassign(self, exchange: Exchange, entry: TargetEntry, now: float) -> bool:
        """Ask another target instead of one to which no connection is free."""
        targets = self._context.targets
        replacement = targets.choose(
            self.service, self._tried, now, regions=self._regions
        )
        if replacement is None or not replacement.pool.has_room():
            return False
        del self._running[exchange]
        targets.withdraw(entry, exchange)
        self._send(replacement, now)
        return True

    def stop(self) -> None:
        """Send nothing more and withdraw queued exchanges; written ones may finish."""
        self.closed = True
        self._listener = None
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        for exchange, entry in list(self._running.items()):
            if not exchange.written:
                del self._running[exchange]
                self._context.targets.withdraw(entry, exchange)
        if self._running:
            self.may_have_run = True

    def cancel(self) -> None:
        """Cancel unfinished exchanges and close their connections."""
        self.stop()
        for exchange, entry in list(self._running.items()):
            self._context.targets.cancel(entry, exchange)

    # Handing over to another instance.

    @property
    def targets_asked(self) -> int:
        """Return how many targets may have received the request."""
        written = {
            entry.id for exchange, entry in self._running.items() if exchange.written
        }
        return len(self._sent_to | written)

    @property
    def awaits_answer(self) -> bool:
        """Return whether a target may still answer the request."""
        return not self.closed and any(exchange.written for exchange in self._running)

    def allows_another_target(self) -> bool:
        """Return whether another instance may send the request to a target."""
        return self.targets_asked < self._request.max_targets

    def try_spend_for_repeat(self, now: float) -> bool:
        """Spend the retry budget for a repeat by another instance, if one is needed."""
        if not self.targets_asked:
            return True
        return self._context.targets.budget(self.service).try_spend(now)

    # Sending attempts.

    def _may_send_more(self) -> bool:
        return self.sub_requests < MAX_SUB_REQUESTS and self._may_use_another_target()

    def _may_use_another_target(self) -> bool:
        """Return whether the route allows one more target."""
        asked_targets = len(self._sent_to) + len(self._running)
        return asked_targets < self._request.max_targets

    def _try_send(self, now: float, is_extra: bool = False) -> bool:
        """Send to the best untried target; return False if there is none."""
        targets = self._context.targets
        entry = self._choose(now)
        if entry is None or self._request.deadline - now < MIN_TIME_LEFT_S:
            return False
        if is_extra and not targets.budget(self.service).try_spend(now):
            self.reason = Reason.RETRY_BUDGET
            return False
        self._send(entry, now, is_extra)
        return True

    def _choose(self, now: float) -> TargetEntry | None:
        """Return the best untried target that the route allows."""
        restrict_to = None if self._may_use_another_target() else self._sent_to
        return self._context.targets.choose(
            self.service, self._tried, now, restrict_to, self._regions
        )

    def _send(self, entry: TargetEntry, now: float, is_extra: bool = False) -> None:
        request = self._request
        self.sub_requests += 1
        self._tried.add(entry.id)
        exchange = Exchange(
            functools.partial(self._make_head, entry.id),
            request.http_request.body,
            functools.partial(self._on_exchange_end, entry),
            without_body=request.http_request.method == b"HEAD",
            max_body_bytes=request.max_response_bytes,
            reader=self,
            avoid=self._used_connections,
            max_idle_s=math.inf if self._repeatable else MAX_IDLE_BEFORE_ONCE_S,
        )
        self._running[exchange] = entry
        if is_extra and request.room is not None:
            request.room.on_extra_sent()
        self._context.targets.send(entry, exchange, now, is_extra)

    # Reading the heads of responses.

    def is_own_response(self, values: HeaderValues) -> bool:
        """Return whether a response may be to the request."""
        return self._context.classifier.may_answer(values, self._request.id)

    def on_watched_head(self, exchange: Exchange, values: HeaderValues) -> None:
        """Record what a target says of itself, whatever becomes of its response."""
        entry = self._running.get(exchange)
        if entry is not None:
            statement = self._context.classifier.read_statement(exchange.status, values)
            now = self._context.clock.monotonic()
            self._context.targets.statements.record(entry, statement, now)

    def _make_head(self, target_id: str) -> bytes:
        now = self._context.clock.monotonic()
        return self._request.head_for(target_id, self._context.header_names, now)

    # Completion of exchanges.

    def _on_exchange_end(self, entry: TargetEntry, exchange: Exchange) -> None:
        if self._running.pop(exchange, None) is None:
            return
        now = self._context.clock.monotonic()
        classification = self._classify(exchange)
        self._context.targets.record_end(entry, exchange, classification, now)
        if exchange.written:
            self._sent_to.add(entry.id)
        if exchange.connection is not None and not self._repeatable:
            # A late copy of the response would look like the response to a repeat. An
            # idempotent request takes that risk, which costs it one more repeat, rather
            # than a new connection for each repeat at a full target.
            self._used_connections |= {exchange.connection}
        if exchange.dropped_responses:
            count = exchange.dropped_responses
            self._log(events.OTHER_RESPONSE_DROPPED, entry, now, count=count)
        if exchange.exceeded:
            self._log(
                events.RESPONSE_CUT,
                entry,
                now,
                bound=exchange.exceeded,
                body_bytes=exchange.cut_bytes,
            )
        if classification.result is Result.ANSWERED:
            self._context.hedge_delay(self._request.route).record(
                now - exchange.started_at
            )
            if self._request.room is not None:
                self._request.room.on_target_answered()
        if self.closed:
            return
        if classification.result is Result.ANSWERED:
            self.answered_by = entry.id
            self.latency_s = now - exchange.started_at
            self._accept_answer(exchange, classification)
        else:
            self._handle_failure(entry, exchange, classification, now)

    def _classify(self, exchange: Exchange) -> Classification:
        if exchange.end is not ExchangeEnd.RESPONDED:
            return classify_without_response(exchange.end)
        return self._context.classifier.classify(
            exchange.status, exchange.fields, self._request.id
        )

    def _accept_answer(
        self, exchange: Exchange, classification: Classification
    ) -> None:
        self.answer = exchange
        self.classification = classification
        self.reason = Reason.NONE
        listener = self._listener
        self.stop()
        listener.on_answered(self)

    def _handle_failure(
        self,
        entry: TargetEntry,
        exchange: Exchange,
        classification: Classification,
        now: float,
    ) -> None:
        self.reason = classification.reason
        if classification.result is Result.UNKNOWN:
            self.may_have_run = True
        if classification.reason in OVERLOAD_REASONS:
            self.refusals += 1
        if classification.stamp:
            self.failure = exchange
        self._log(
            events.ATTEMPT_FAILED,
            entry,
            now,
            shard=self.service,
            result=classification.result.value,
            reason=classification.reason.value,
        )
        if classification.reason is Reason.CONNECTION_LOST and not entry.evacuated:
            # Targets of an evacuated data centre may be stopped on purpose. The request
            # may have ended and dropped its body when the check ends.
            self._request.fingerprint(self._context.crashes)
            entry.pool.check_alive(self._on_target_death)
        if self._running:
            return
        if classification.reason is Reason.CONNECTION_LOST:
            # If the link fails, all connections are lost at once, and a retry over one
            # of them would use up an attempt.
            self._retry_timer = self._context.call_later(
                0.0, lambda: self._retry_if_reachable(entry, classification)
            )
        else:
            self._retry_or_fail(entry, classification)

    def _retry_if_reachable(
        self, entry: TargetEntry, classification: Classification
    ) -> None:
        self._retry_timer = None

        def on_verdict(reachable: bool) -> None:
            if self.closed:
                return
            if reachable:
                self._retry_or_fail(entry, classification)
            else:
                self._fail()

        if not self.closed:
            self._context.targets.reachability.check_if_in_doubt(on_verdict)

    def _retry_or_fail(
        self, entry: TargetEntry, classification: Classification
    ) -> None:
        now = self._context.clock.monotonic()
        if not self._retry(entry, classification, now):
            self._fail()

    def _retry(
        self, entry: TargetEntry, classification: Classification, now: float
    ) -> bool:
        """Send or schedule another attempt; return False if there is none."""
        may_have_run = classification.result is Result.UNKNOWN
        if self.sub_requests >= MAX_SUB_REQUESTS or (
            may_have_run and not self._repeatable
        ):
            return False
        # What no target can have received is no repeat.
        is_repeat = bool(self._sent_to)
        room = self._request.room
        if (
            is_repeat
            and room is not None
            and room.others_wait
            and not self._listener.is_needed(self)
        ):
            return False
        if self._may_send_more() and self._try_send(now, is_repeat):
            return True
        if (
            classification.other_target
            or classification.reason is Reason.CONNECT_FAILED
        ):
            return False
        # Only targets that were asked before are left.
        self._tried.discard(entry.id)
        if self._choose(now) is None:
            self.check_available(now)
            return False
        self._retry_timer = self._context.call_later(
            RETRY_BACKOFF_S, self._retry_after_backoff
        )
        return True

    def _retry_after_backoff(self) -> None:
        self._retry_timer = None
        if self.closed:
            return
        now = self._context.clock.monotonic()
        if not self._try_send(now, is_extra=True):
            self._fail()

    def _log(
        self, event: events.Event, entry: TargetEntry, now: float, **fields: object
    ) -> None:
        """Log an event of the request at a target, if it has log lines left."""
        if self._request.log_limit.allows(now):
            events.emit(
                event,
                request_id=self._request.text_id,
                service=self.service,
                target=entry.id,
                **fields,
            )

    def _on_target_death(self) -> None:
        """Report that one more target died while it ran the request.

        A target behind a link that has failed looks dead too and isn't reported.
        """
        self._context.targets.reachability.check(self._count_target_death)

    def _count_target_death(self, reachable: bool) -> None:
        if not reachable:
            return
        self._target_deaths += 1
        fingerprint = self._request.fingerprint(self._context.crashes)
        self._context.on_crash(fingerprint, self._request.text_id, self._target_deaths)

    def _fail(self) -> None:
        if not self.closed:
            listener = self._listener
            self.stop()
            listener.on_failed(self)
