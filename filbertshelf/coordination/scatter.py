"""Scatters a query over the shards of a plan and gathers their answers."""

from __future__ import annotations

import asyncio
import collections
import heapq
import itertools
from collections.abc import Mapping, Sequence
from typing import Any

from filbertshelf import events
from filbertshelf.coordination.scatter_state import (
    SNAPSHOT_GONE_REASONS,
    TRANSIENT_REASONS,
    UNBUDGETED_RETRY_REASONS,
    ScatterContext,
    ScatterRequest,
    ShardRun,
    Timer,
)
from filbertshelf.state.outcome import Attempt, Coverage, Missing, Reason, Result
from filbertshelf.state.publication import Goal
from filbertshelf.state.quarantine import Verdict
from filbertshelf.state.replicas import ReplicaChoice
from filbertshelf.transport.target_link import Call

MAX_ATTEMPTS = 4  # Per shard, including hedged requests.
EARLY_ANSWER_SHARE = 0.9  # Share of shards required for an early partial answer.
BACKOFF_S = 0.02  # Delay before retrying a replica that shed load.
# Share of the remaining time after which a replica without an answer is retried.
SOFT_TIMEOUT_SHARE = 1 / 3
# Shards compared when choosing the canary. Comparing more costs time and gains little.
CANARY_CANDIDATES = 8
# An unanswered canary delays the other shards for this share of the remaining time,
# and at most for this multiple of the hedge delay. A request that crashes targets does
# so while it runs, so a canary that runs longer is most likely on a slow replica.
CANARY_WAIT_SHARE = 1 / 4
CANARY_WAIT_HEDGE_DELAYS = 3.0
# A replica is too slow for a hedged request if its average latency exceeds this
# multiple of the time that the first attempt has taken so far.
SLOW_REPLICA_RATIO = 2.0


class Scatter:
    """Runs one round of sub-requests; the task that awaits `run` owns its state."""

    def __init__(self, context: ScatterContext, request: ScatterRequest):
        self._context = context
        self._request = request
        self._clock = context.clock
        self._runs = [ShardRun(i, ref) for i, ref in enumerate(request.plan.shards)]
        self._awaiting_canary: list[ShardRun] = []
        self._canary: ShardRun | None = None
        self._outstanding = len(self._runs)
        self._answered = 0
        self._timers: list[tuple[float, int, Timer, ShardRun]] = []
        self._timer_sequence = itertools.count()
        self._ended_attempts: collections.deque[tuple[ShardRun, Call, Attempt]] = (
            collections.deque()
        )
        self._wake_future: asyncio.Future | None = None
        self._started_at = self._clock.monotonic()
        self.attempts: list[Attempt] = []
        self.sub_requests = 0
        self.quarantined = False
        self._abandoned = False
        self._canary_phase_ended = False

    async def run(self) -> None:
        """Run until all shards are settled, or until the round stops early.

        It stops early at the deadline or at the policy's time for a partial answer,
        when the query is quarantined, and when a newer snapshot replaces a lost one.
        """
        try:
            self._start_shards()
            await self._run_loop()
        finally:
            self._cancel_outstanding()

    async def _run_loop(self) -> None:
        while True:
            self._process_ended_attempts()
            now = self._clock.monotonic()
            self._fire_timers(now)
            if not self._outstanding or self.quarantined or self._abandoned:
                return
            stop_at = self._stop_time()
            if now >= stop_at:
                self._set_no_capacity_reasons()
                self._log_stop(stop_at)
                return
            due = self._timers[0][0] if self._timers else stop_at
            await self._wait(min(due, stop_at) - now)

    def answers(self) -> list[tuple[str, str, Mapping[str, Any]]]:
        """Return (service, shard, answer) for each shard that answered."""
        return [
            (run.ref.service, run.ref.shard, run.answer)
            for run in self._runs
            if run.answer is not None
        ]

    def coverage(self) -> Coverage:
        """Return the numbers of planned and answered shards, and the missing shards."""
        missing = tuple(
            Missing(run.ref.service, run.ref.shard, run.reason)
            for run in self._runs
            if run.answer is None
        )
        return Coverage(len(self._runs), len(self._runs) - len(missing), missing)

    def snapshot_may_be_gone(self) -> bool:
        """Return whether a shard is missing because its snapshot may be gone."""
        return any(
            run.closed and run.reason in SNAPSHOT_GONE_REASONS for run in self._runs
        )

    def refused_for_other_snapshot(self) -> bool:
        """Return whether a shard is missing because a target has another snapshot."""
        return any(
            run.closed and run.reason is Reason.OTHER_SNAPSHOT for run in self._runs
        )

    # Start and canary

    def _start_shards(self) -> None:
        verdict = self._context.quarantine.verdict(self._request.fingerprint)
        needs_canary = verdict is Verdict.GUARDED or (
            verdict is Verdict.CANARY and self._request.plan.policy.canary
        )
        if not (needs_canary and self._context.adaptive and self._runs):
            for run in self._runs:
                self._start_attempt(run, "first attempt")
            return
        events.emit(
            events.CANARY_STARTED,
            request_id=self._request.request_id,
            fingerprint=self._request.fingerprint,
            verdict=verdict.name.lower(),
        )
        self._canary = self._fastest_shard()
        self._awaiting_canary = [run for run in self._runs if run is not self._canary]
        wait = self._canary_wait(self._canary)
        self._add_timer(wait, Timer.SOFT_TIMEOUT, self._canary)
        self._start_attempt(self._canary, "canary")

    def _canary_wait(self, run: ShardRun) -> float:
        """Return the longest time in seconds to hold back the other shards."""
        time_left = self._request.deadline - self._started_at
        longest_wait = time_left * CANARY_WAIT_SHARE
        delay = self._context.budgets.hedge_delay(run.ref.service, time_left)
        return (
            longest_wait
            if delay is None
            else min(longest_wait, CANARY_WAIT_HEDGE_DELAYS * delay)
        )

    def _fastest_shard(self) -> ShardRun:
        """Return the shard with the lowest expected latency among the first few.

        The other shards wait for the canary, so a slow canary delays the whole query.
        """
        latency = self._context.targets.lowest_latency
        return min(
            self._runs[:CANARY_CANDIDATES], key=lambda run: latency(run.ref.replicas)
        )

    def _start_awaiting_shards(self) -> None:
        """Send the first attempts of the shards that waited for the canary."""
        self._canary_phase_ended = True
        waiting, self._awaiting_canary = self._awaiting_canary, []
        for run in waiting:
            self._start_attempt(run, "first attempt")

    # Attempts

    def _start_attempt(
        self, run: ShardRun, reason: str, replicas: Sequence[str] | None = None
    ) -> None:
        """Send one sub-request for the shard, or close it if no replica is available.

        If the quarantine forbids all available replicas, retry after a backoff.
        """
        if replicas is None:
            replicas = run.ref.replicas
        available = replicas
        if self._context.adaptive:
            available = self._context.targets.available_targets(replicas, run.tried)
        allowed = [name for name in available if self._may_start(name)]
        choice = self._context.targets.choose_replica(allowed, run.tried)
        if choice is not None:
            self._log_choice(run, choice, reason)
            self._submit(run, choice.target)
        elif len(allowed) < len(available):
            self._add_timer(BACKOFF_S, Timer.QUARANTINE, run)
        else:
            self._close_if_idle(run)

    def _may_start(self, target: str) -> bool:
        if not self._context.adaptive:
            return True
        canary = self._canary is not None and not self._canary_phase_ended
        return self._context.quarantine.may_start(
            target, self._request.fingerprint, canary
        )

    def _log_choice(self, run: ShardRun, choice: ReplicaChoice, reason: str) -> None:
        events.emit(
            events.REPLICA_CHOSEN,
            request_id=self._request.request_id,
            service=run.ref.service,
            shard=run.ref.shard,
            target=choice.target,
            attempt=run.attempts + 1,
            reason=f"{reason}: {choice.reason}",
        )

    def _submit(self, run: ShardRun, target: str) -> None:
        run.attempts += 1
        run.tried.add(target)
        self.sub_requests += 1
        call = Call(
            f"{self._request.request_id}.{run.index}.{run.attempts}",
            run.ref,
            "search",
            self._request.body,
            self._request.deadline,
            lambda call, attempt: self._on_attempt_end(run, call, attempt),
            self._request.check_confirmed,
        )
        run.calls[call] = target
        self._context.quarantine.attempt_started(target, self._request.fingerprint)
        if run.attempts == 1:
            self._schedule_timers(run)
        self._context.targets.submit(target, call)

    def _schedule_timers(self, run: ShardRun) -> None:
        time_left = self._request.deadline - self._clock.monotonic()
        if self._request.plan.policy.hedge and self._context.adaptive:
            delay = self._context.budgets.hedge_delay(run.ref.service, time_left)
            if delay is not None:
                self._add_timer(delay, Timer.HEDGE, run)
        if run is not self._canary:
            self._add_timer(time_left * SOFT_TIMEOUT_SHARE, Timer.SOFT_TIMEOUT, run)

    def _close_if_idle(self, run: ShardRun) -> None:
        """Close the shard unless an attempt is still running."""
        if run.calls or run.closed or run.answer is not None:
            return
        if not run.attempts:
            run.reason = Reason.NO_REPLICA
        run.closed = True
        self._outstanding -= 1
        if (
            run.reason in SNAPSHOT_GONE_REASONS
            and self._request.newer_snapshot_published()
        ):
            self._abandoned = True
        if run is self._canary:
            self._start_awaiting_shards()

    # Results of attempts

    def _on_attempt_end(self, run: ShardRun, call: Call, attempt: Attempt) -> None:
        answered = attempt.result is Result.ANSWERED
        self._context.quarantine.attempt_finished(
            attempt.target, self._request.fingerprint, answered
        )
        self._ended_attempts.append((run, call, attempt))
        if self._wake_future is not None and not self._wake_future.done():
            self._wake_future.set_result(None)

    def _process_ended_attempts(self) -> None:
        while self._ended_attempts:
            run, call, attempt = self._ended_attempts.popleft()
            run.calls.pop(call, None)
            self.attempts.append(attempt)
            if run.answer is not None or run.closed:
                continue
            if attempt.result is Result.ANSWERED:
                self._accept_answer(run, attempt)
            else:
                self._handle_failure(run, attempt)

    def _accept_answer(self, run: ShardRun, attempt: Attempt) -> None:
        run.answer = attempt.answer
        self._answered += 1
        self._outstanding -= 1
        self._context.budgets.record_answer(run.ref.service, attempt.latency)
        for call, target in run.calls.items():
            self._context.targets.cancel(target, call)
        self._start_awaiting_shards()

    def _handle_failure(self, run: ShardRun, attempt: Attempt) -> None:
        run.reason = attempt.reason
        events.emit(
            events.ATTEMPT_FAILED,
            request_id=self._request.request_id,
            service=run.ref.service,
            shard=run.ref.shard,
            target=attempt.target,
            result=attempt.result.value,
            reason=attempt.reason.value,
        )
        verdict = self._context.quarantine.verdict(self._request.fingerprint)
        if verdict is Verdict.CONVICTED and self._context.adaptive:
            self.quarantined = True
            return
        if run is self._canary and attempt.reason is not Reason.CONNECTION_LOST:
            self._start_awaiting_shards()
        if not run.calls:
            self._retry_after(run, attempt)

    def _retry_after(self, run: ShardRun, attempt: Attempt) -> None:
        if run.attempts >= MAX_ATTEMPTS:
            self._close_if_idle(run)
        elif attempt.reason in TRANSIENT_REASONS:
            run.tried.discard(attempt.target)
            self._add_timer(BACKOFF_S * run.attempts, Timer.RETRY, run)
        elif attempt.reason in UNBUDGETED_RETRY_REASONS or self._spend_retry_budget():
            self._start_attempt(run, f"retry after {attempt.reason.value}")
        else:
            self._close_if_idle(run)

    def _spend_retry_budget(self) -> bool:
        # The baseline strategy has no retry budget.
        return not self._context.adaptive or self._context.budgets.retry.try_spend()

    # Timers

    def _add_timer(self, delay: float, timer: Timer, run: ShardRun) -> None:
        due = self._clock.monotonic() + delay
        heapq.heappush(self._timers, (due, next(self._timer_sequence), timer, run))

    def _fire_timers(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            _due, _sequence, timer, run = heapq.heappop(self._timers)
            if run.answer is None and not run.closed:
                self._fire(timer, run)

    def _fire(self, timer: Timer, run: ShardRun) -> None:
        if timer in (Timer.RETRY, Timer.QUARANTINE):
            if not run.calls:
                self._retry_on_timer(run, timer)
            return
        if run is self._canary and timer is Timer.SOFT_TIMEOUT:
            self._start_awaiting_shards()
        if self._context.has_queued_requests():
            # Under overload, an extra sub-request would take a slot from another query.
            return
        if len(run.calls) != 1 or run.attempts >= MAX_ATTEMPTS:
            return
        if timer is Timer.HEDGE:
            self._send_hedge(run)
        elif self._spend_retry_budget():
            self._start_attempt(run, timer.value)

    def _send_hedge(self, run: ShardRun) -> None:
        """Send a hedged request if an untried replica is likely to be faster."""
        (call, target), *_ = run.calls.items()
        now = self._clock.monotonic()
        if call.running:
            self._context.targets.observe_waiting(target, now - call.started_at)
        untried = [
            name
            for name in run.ref.replicas
            if name not in run.tried and self._may_start(name)
        ]
        # A hedged request to a replica known to be slow would waste the hedge budget.
        max_latency_s = SLOW_REPLICA_RATIO * (now - call.queued_at)
        fast_replicas = self._context.targets.targets_faster_than(
            untried, max_latency_s
        )
        if fast_replicas and self._context.budgets.hedge.try_spend():
            self._start_attempt(run, Timer.HEDGE.value, fast_replicas)

    def _retry_on_timer(self, run: ShardRun, timer: Timer) -> None:
        if timer is Timer.QUARANTINE or self._spend_retry_budget():
            self._start_attempt(run, timer.value)
        else:
            self._close_if_idle(run)

    # Waiting and stopping

    def _stop_time(self) -> float:
        policy = self._request.plan.policy
        early_stop = self._started_at + policy.partial_after_ms / 1000
        enough_answered = self._answered >= EARLY_ANSWER_SHARE * len(self._runs)
        if policy.goal is Goal.TAIL and policy.partial_after_ms and enough_answered:
            return min(early_stop, self._request.deadline)
        return self._request.deadline

    async def _wait(self, seconds: float) -> None:
        if self._ended_attempts:
            return
        loop = asyncio.get_running_loop()
        self._wake_future = loop.create_future()
        handle = loop.call_later(max(seconds, 0), self._on_timer)
        try:
            await self._wake_future
        finally:
            handle.cancel()
            self._wake_future = None

    def _on_timer(self) -> None:
        if self._wake_future is not None and not self._wake_future.done():
            self._wake_future.set_result(None)

    def _set_no_capacity_reasons(self) -> None:
        """Set the reason of shards whose calls are still queued in this instance."""
        for run in self._runs:
            waiting = run.calls and not any(call.running for call in run.calls)
            if waiting and run.answer is None and not run.closed:
                run.reason = Reason.NO_CAPACITY

    def _log_stop(self, stop_at: float) -> None:
        deadline_passed = stop_at >= self._request.deadline
        events.emit(
            events.QUERY_STOPPED_WAITING,
            request_id=self._request.request_id,
            outstanding=self._outstanding,
            reason="deadline" if deadline_passed else "policy answers partial early",
        )

    def _cancel_outstanding(self) -> None:
        for run in self._runs:
            run.closed = True
            for call, target in list(run.calls.items()):
                self._context.targets.cancel(target, call)
                # A written call may have run. An unwritten call will not be written.
                result = Result.UNKNOWN if call.written else Result.NOT_RUN
                self.attempts.append(Attempt(target, result, Reason.TIMEOUT))
