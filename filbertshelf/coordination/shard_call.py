"""All attempts to get one answer from the targets of one service."""

from __future__ import annotations

import functools
from collections.abc import Sequence
from typing import Protocol

import attrs

from filbertshelf import events
from filbertshelf.coordination.listed_targets import (
    TargetEntry,
    verdict_without_response,
)
from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutingContext,
    Timer,
)
from filbertshelf.protocol.http_messages import Response
from filbertshelf.protocol.target_responses import Classification, error_response
from filbertshelf.state.hedging import BUDGET_RESERVE
from filbertshelf.state.outcome import Reason, Result
from filbertshelf.state.routing import Repeat
from filbertshelf.transport.http1.client import Exchange, ExchangeEnd

MAX_SENDS = 4
"""Sub-requests for one shard of one request, hedged ones included."""

BACKOFF_S = 0.03
"""The wait before a target that refused is asked again."""

MIN_LEFT_S = 0.01
"""With less time left no target can answer."""

NO_TARGET_RETRY_S = 0.5
"""When to come back if no target is there; a crashed one is back after seconds."""

BUSY_RETRY_S = 0.1
"""When to come back if all targets refused; a place is free after one request."""

CLEANUP_S = 0.25
"""How long a target may still work on what nobody waits for; cutting it short would
cost a new connection."""


class Listener(Protocol):
    """Who waits for the answer."""

    def answered(self, call: ShardCall) -> None:
        """Take the answer."""

    def failed(self, call: ShardCall) -> None:
        """Take note that the call has ended without an answer."""


class ShardCall:
    """Asks targets of one service until one answers or no attempt is left."""

    def __init__(
        self,
        tools: RoutingContext,
        job: RoutedRequest,
        service: str,
        listener: Listener,
    ):
        self.service = service
        self.reason = Reason.NO_REPLICA
        self.answer: Exchange | None = None
        self.verdict: Classification | None = None
        self.failure: Exchange | None = None
        """The last complete response that is a target's own failure."""
        self.may_have_run = False
        self.closed = False
        self.sends = 0
        self.answered_by = ""
        self.latency_s = 0.0
        self._deaths = 0
        self._tools = tools
        self._job = job
        self._listener = listener
        self._repeatable = job.route.repeat is Repeat.IDEMPOTENT
        self._tried: set[str] = set()
        self._sent_to: set[str] = set()
        self._running: dict[Exchange, TargetEntry] = {}
        self._retry: Timer | None = None

    @property
    def running(self) -> int:
        """Return how many exchanges with targets have not ended."""
        return len(self._running)

    def start(self, now: float) -> None:
        """Send the first attempt."""
        self._tools.targets.count_request(self.service, now)
        if self._attempt(now):
            self.reason = Reason.TIMEOUT
        else:
            self._close()

    def hedge(self, now: float) -> bool:
        """Ask a second target, if that is allowed, and return whether it was."""
        if self.closed or len(self._running) != 1:
            return False
        (exchange, entry), *_ = self._running.items()
        entry.state.observe_waiting(now - exchange.started_at)
        if not exchange.written:
            return self._move(exchange, entry, now)
        if not self._repeatable:
            return False
        budget = self._tools.targets.budget(self.service)
        left = budget.remaining(now)
        if not self._may_send_more():
            decision = "withheld: the route allows no further target"
        elif left < 1.0 + BUDGET_RESERVE:
            decision = "withheld: the retry budget is used up"
        elif self._attempt(now, extra=True):
            decision = "sent"
        else:
            decision = "withheld: no other target is available"
        if self._job.lines.allows(now):
            events.emit(
                events.HEDGE_DECIDED,
                request_id=self._job.text_id,
                service=self.service,
                target=entry.id,
                waited_ms=round((now - exchange.started_at) * 1000, 1),
                budget_left=round(left, 1),
                decision=decision,
            )
        return decision == "sent"

    def _move(self, exchange: Exchange, entry: TargetEntry, now: float) -> bool:
        """Ask another target instead of one to which no connection is free."""
        targets = self._tools.targets
        other = targets.choose(self.service, self._tried, now)
        if other is None or not other.pool.has_room():
            return False
        del self._running[exchange]
        targets.withdraw(entry, exchange)
        self._send(other, now)
        return True

    def stop(self) -> None:
        """Send nothing more, also of what is queued; what runs may still end."""
        self.closed = True
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        for exchange, entry in list(self._running.items()):
            if not exchange.written:
                del self._running[exchange]
                self._tools.targets.withdraw(entry, exchange)
        if self._running:
            self.may_have_run = True

    def cancel(self) -> None:
        """Give up what runs and close its connections."""
        self.stop()
        for exchange, entry in list(self._running.items()):
            self._tools.targets.cancel(entry, exchange)

    # Sending.

    def _may_send_more(self) -> bool:
        return self.sends < MAX_SENDS and self._may_ask_another()

    def _may_ask_another(self) -> bool:
        """Return whether the route allows one more target."""
        asked = len(self._sent_to) + len(self._running)
        return asked < self._job.max_targets

    def _attempt(self, now: float, extra: bool = False) -> bool:
        """Send to the best target that was not tried; return False without one."""
        targets = self._tools.targets
        only = None if self._may_ask_another() else self._sent_to
        entry = targets.choose(self.service, self._tried, now, only)
        if entry is None or self._job.deadline - now < MIN_LEFT_S:
            return False
        if extra and not targets.budget(self.service).try_spend(now):
            self.reason = Reason.RETRY_BUDGET
            return False
        self._send(entry, now)
        return True

    def _send(self, entry: TargetEntry, now: float) -> None:
        job = self._job
        self.sends += 1
        self._tried.add(entry.id)
        exchange = Exchange(
            functools.partial(self._head, entry.id),
            job.req.body,
            functools.partial(self._ended, entry),
            job.req.method == b"HEAD",
        )
        self._running[exchange] = entry
        self._tools.targets.send(entry, exchange, now)

    def _head(self, target_id: str) -> bytes:
        now = self._tools.clock.monotonic()
        return self._job.head_for(target_id, self._tools.names, now)

    # Ends of exchanges.

    def _ended(self, entry: TargetEntry, exchange: Exchange) -> None:
        if self._running.pop(exchange, None) is None:
            return
        now = self._tools.clock.monotonic()
        verdict = self._judge(exchange)
        self._tools.targets.ended(entry, exchange, verdict, now)
        if exchange.written:
            self._sent_to.add(entry.id)
        if verdict.result is Result.ANSWERED:
            self._tools.hedge_timer(self._job.route).record(now - exchange.started_at)
        if self.closed:
            return
        if verdict.result is Result.ANSWERED:
            self.answered_by = entry.id
            self.latency_s = now - exchange.started_at
            self._accept(exchange, verdict)
        else:
            self._failed(entry, exchange, verdict, now)

    def _judge(self, exchange: Exchange) -> Classification:
        if exchange.end is not ExchangeEnd.RESPONDED:
            return verdict_without_response(exchange.end)
        return self._tools.judge.classify(
            exchange.status, exchange.fields, self._job.id
        )

    def _accept(self, exchange: Exchange, verdict: Classification) -> None:
        self.answer = exchange
        self.verdict = verdict
        self.reason = Reason.NONE
        self.stop()
        self._listener.answered(self)

    def _failed(
        self,
        entry: TargetEntry,
        exchange: Exchange,
        verdict: Classification,
        now: float,
    ) -> None:
        self.reason = verdict.reason
        if verdict.result is Result.UNKNOWN:
            self.may_have_run = True
        if verdict.stamp:
            self.failure = exchange
        if self._job.lines.allows(now):
            events.emit(
                events.ATTEMPT_FAILED,
                request_id=self._job.text_id,
                service=self.service,
                shard=self.service,
                target=entry.id,
                result=verdict.result.value,
                reason=verdict.reason.value,
            )
        if verdict.reason is Reason.CONNECTION_LOST:
            entry.pool.check_alive(self._target_died)
        if self._running:
            return
        if not self._retry_now(entry, verdict, now):
            self._close()

    def _retry_now(
        self, entry: TargetEntry, verdict: Classification, now: float
    ) -> bool:
        """Send or plan another attempt; return False if there is none."""
        ran = verdict.result is Result.UNKNOWN
        if self.sends >= MAX_SENDS or (ran and not self._repeatable):
            return False
        if self._may_send_more() and self._attempt(now, extra=True):
            return True
        if verdict.other_target or verdict.reason is Reason.CONNECT_FAILED:
            return False
        # Only a target that was asked before is left.
        self._tried.discard(entry.id)
        self._retry = self._tools.call_later(BACKOFF_S, self._retry_same)
        return True

    def _retry_same(self) -> None:
        self._retry = None
        if self.closed:
            return
        now = self._tools.clock.monotonic()
        if not self._attempt(now, extra=True):
            self._close()

    def _target_died(self) -> None:
        """Report that the request ran on one more target that has died."""
        self._deaths += 1
        fingerprint = self._job.fingerprint(self._tools.crashes)
        self._tools.on_crash(fingerprint, self._job.text_id, self._deaths)

    def _close(self) -> None:
        if not self.closed:
            self.stop()
            self._listener.failed(self)


@attrs.frozen(eq=False)
class Refusal:
    """The response to a request without a usable answer, and the outcome to log."""

    response: Response
    outcome: str


def refuse(calls: Sequence[ShardCall], timed_out: bool = False) -> Refusal:
    """Return the refusal that is true of calls that have been stopped.

    Only what no target can have run is said not to have run.
    """
    if any(call.answer is not None or call.may_have_run for call in calls):
        if timed_out:
            return Refusal(error_response(504), "timed out")
        return Refusal(error_response(502), "unknown")
    asked = any(call.sends for call in calls)
    wait = BUSY_RETRY_S if asked else NO_TARGET_RETRY_S
    return Refusal(error_response(503, wait), "not run")


def slowest(calls: Sequence[ShardCall]) -> str:
    """Return which target answered last and after how long, for the log."""
    answered = [call for call in calls if call.answered_by]
    if not answered:
        return ""
    last = max(answered, key=lambda call: call.latency_s)
    return f"{last.answered_by} {last.latency_s * 1000:.0f} ms"
