"""One round of sub-requests to all shards of a plan."""

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

MAX_ATTEMPTS = 4  # Per shard, hedged requests included.
TAIL_SHARE = 0.9  # Share of shards that must answer before an early partial answer.
BACKOFF_S = 0.02  # Before a replica that shed load is asked again.
SOFT_TIMEOUT_SHARE = 1 / 3  # Of the time left, before a silent replica is retried.
CANARY_CHOICES = 8  # Shards that are compared; more cost time and gain little.
# A silent canary holds up the rest for a share of the time left, and at most for a
# multiple of the hedge delay: a request that crashes targets does so while it runs,
# and what still runs after so long is most likely on a slow replica.
CANARY_SHARE = 1 / 4
CANARY_DELAYS = 3.0
HEDGE_GAIN = 2.0  # A replica that usually takes more than this times the wait is slow.


class Scatter:
    """Runs one round; its state belongs to the task that awaits `run`."""

    def __init__(self, context: ScatterContext, request: ScatterRequest):
        self._context = context
        self._request = request
        self._clock = context.clock
        self._runs = [ShardRun(i, ref) for i, ref in enumerate(request.plan.shards)]
        self._held: list[ShardRun] = []
        self._canary: ShardRun | None = None
        self._open = len(self._runs)
        self._answered = 0
        self._timers: list[tuple[float, int, Timer, ShardRun]] = []
        self._order = itertools.count()
        self._ended: collections.deque[tuple[ShardRun, Call, Attempt]] = (
            collections.deque()
        )
        self._wake: asyncio.Future | None = None
        self._started_at = self._clock.monotonic()
        self.attempts: list[Attempt] = []
        self.sub_requests = 0
        self.convicted = False
        self._abandoned = False
        self._released = False

    async def run(self) -> None:
        """Return when no shard is open, or when waiting longer is not worth it."""
        try:
            self._begin()
            await self._loop()
        finally:
            self._cancel_all()

    async def _loop(self) -> None:
        while True:
            self._take_ended()
            now = self._clock.monotonic()
            self._fire_timers(now)
            if not self._open or self.convicted or self._abandoned:
                return
            stop_at = self._stop_at()
            if now >= stop_at:
                self._note_own_queue()
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
        """Return which shards of the plan answered and which are missing."""
        missing = tuple(
            Missing(run.ref.service, run.ref.shard, run.reason)
            for run in self._runs
            if run.answer is None
        )
        return Coverage(len(self._runs), len(self._runs) - len(missing), missing)

    def lost_snapshot(self) -> bool:
        """Return whether a shard is missing because no replica has the snapshot."""
        return any(
            run.closed and run.reason in SNAPSHOT_GONE_REASONS for run in self._runs
        )

    def other_snapshot(self) -> bool:
        """Return whether a target refused because it has another snapshot."""
        return any(
            run.closed and run.reason is Reason.OTHER_SNAPSHOT for run in self._runs
        )

    # Start and canary

    def _begin(self) -> None:
        verdict = self._context.quarantine.verdict(self._request.fingerprint)
        careful = verdict is Verdict.GUARDED or (
            verdict is Verdict.CANARY and self._request.plan.policy.canary
        )
        if not (careful and self._context.adaptive and self._runs):
            for run in self._runs:
                self._attempt(run, "first attempt")
            return
        events.emit(
            events.CANARY_STARTED,
            request_id=self._request.request_id,
            fingerprint=self._request.fingerprint,
            verdict=verdict.name.lower(),
        )
        self._canary = self._fastest_shard()
        self._held = [run for run in self._runs if run is not self._canary]
        wait = self._canary_wait(self._canary)
        self._add_timer(wait, Timer.SOFT_TIMEOUT, self._canary)
        self._attempt(self._canary, "canary")

    def _canary_wait(self, run: ShardRun) -> float:
        """Return for how many seconds a silent canary holds up the rest."""
        left = self._request.deadline - self._started_at
        longest = left * CANARY_SHARE
        delay = self._context.budgets.hedge_delay(run.ref.service, left)
        return longest if delay is None else min(longest, CANARY_DELAYS * delay)

    def _fastest_shard(self) -> ShardRun:
        """Return the shard that is likely to answer first, of the first few.

        The rest of the query waits for the canary, so a slow one delays all of it.
        """
        latency = self._context.targets.lowest_latency
        return min(
            self._runs[:CANARY_CHOICES], key=lambda run: latency(run.ref.replicas)
        )

    def _release(self) -> None:
        """Start the shards that waited for the canary."""
        self._released = True
        held, self._held = self._held, []
        for run in held:
            self._attempt(run, "first attempt")

    # Attempts

    def _attempt(
        self, run: ShardRun, why: str, replicas: Sequence[str] | None = None
    ) -> None:
        """Send one sub-request for the shard, or close the shard."""
        if replicas is None:
            replicas = run.ref.replicas
        usable = replicas
        if self._context.adaptive:
            usable = self._context.targets.available_targets(replicas, run.tried)
        allowed = [name for name in usable if self._may_start(name)]
        choice = self._context.targets.choose(allowed, run.tried)
        if choice is not None:
            self._log_choice(run, choice, why)
            self._submit(run, choice.target)
        elif len(allowed) < len(usable):
            self._add_timer(BACKOFF_S, Timer.QUARANTINE, run)
        else:
            self._give_up(run)

    def _may_start(self, target: str) -> bool:
        if not self._context.adaptive:
            return True
        canary = self._canary is not None and not self._released
        return self._context.quarantine.may_start(
            target, self._request.fingerprint, canary
        )

    def _log_choice(self, run: ShardRun, choice: ReplicaChoice, why: str) -> None:
        events.emit(
            events.REPLICA_CHOSEN,
            request_id=self._request.request_id,
            service=run.ref.service,
            shard=run.ref.shard,
            target=choice.target,
            attempt=run.attempts + 1,
            reason=f"{why}: {choice.reason}",
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
            lambda call, attempt: self._on_end(run, call, attempt),
            self._request.check_confirmed,
        )
        run.calls[call] = target
        self._context.quarantine.started(target, self._request.fingerprint)
        if run.attempts == 1:
            self._schedule(run)
        self._context.targets.submit(target, call)

    def _schedule(self, run: ShardRun) -> None:
        left = self._request.deadline - self._clock.monotonic()
        if self._request.plan.policy.hedge and self._context.adaptive:
            delay = self._context.budgets.hedge_delay(run.ref.service, left)
            if delay is not None:
                self._add_timer(delay, Timer.HEDGE, run)
        if run is not self._canary:
            self._add_timer(left * SOFT_TIMEOUT_SHARE, Timer.SOFT_TIMEOUT, run)

    def _give_up(self, run: ShardRun) -> None:
        """Close the shard unless an attempt is still running."""
        if run.calls or run.closed or run.answer is not None:
            return
        if not run.attempts:
            run.reason = Reason.NO_REPLICA
        run.closed = True
        self._open -= 1
        if (
            run.reason in SNAPSHOT_GONE_REASONS
            and self._request.newer_snapshot_published()
        ):
            self._abandoned = True
        if run is self._canary:
            self._release()

    # Ends of attempts

    def _on_end(self, run: ShardRun, call: Call, attempt: Attempt) -> None:
        answered = attempt.result is Result.ANSWERED
        self._context.quarantine.finished(
            attempt.target, self._request.fingerprint, answered
        )
        self._ended.append((run, call, attempt))
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _take_ended(self) -> None:
        while self._ended:
            run, call, attempt = self._ended.popleft()
            run.calls.pop(call, None)
            self.attempts.append(attempt)
            if run.answer is not None or run.closed:
                continue
            if attempt.result is Result.ANSWERED:
                self._accept(run, attempt)
            else:
                self._failed(run, attempt)

    def _accept(self, run: ShardRun, attempt: Attempt) -> None:
        run.answer = attempt.answer
        self._answered += 1
        self._open -= 1
        self._context.budgets.answered(run.ref.service, attempt.latency)
        for call, target in run.calls.items():
            self._context.targets.cancel(target, call)
        self._release()

    def _failed(self, run: ShardRun, attempt: Attempt) -> None:
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
            self.convicted = True
            return
        if run is self._canary and attempt.reason is not Reason.CONNECTION_LOST:
            self._release()
        if not run.calls:
            self._retry(run, attempt)

    def _retry(self, run: ShardRun, attempt: Attempt) -> None:
        if run.attempts >= MAX_ATTEMPTS:
            self._give_up(run)
        elif attempt.reason in TRANSIENT_REASONS:
            run.tried.discard(attempt.target)
            self._add_timer(BACKOFF_S * run.attempts, Timer.RETRY, run)
        elif attempt.reason in UNBUDGETED_RETRY_REASONS or self._may_retry():
            self._attempt(run, f"retry after {attempt.reason.value}")
        else:
            self._give_up(run)

    def _may_retry(self) -> bool:
        # The baseline retries without a budget.
        return not self._context.adaptive or self._context.budgets.retry.try_spend()

    # Timers

    def _add_timer(self, delay: float, timer: Timer, run: ShardRun) -> None:
        due = self._clock.monotonic() + delay
        heapq.heappush(self._timers, (due, next(self._order), timer, run))

    def _fire_timers(self, now: float) -> None:
        while self._timers and self._timers[0][0] <= now:
            _due, _order, timer, run = heapq.heappop(self._timers)
            if run.answer is None and not run.closed:
                self._fire(timer, run)

    def _fire(self, timer: Timer, run: ShardRun) -> None:
        if timer in (Timer.RETRY, Timer.QUARANTINE):
            if not run.calls:
                self._retry_now(run, timer)
            return
        if run is self._canary and timer is Timer.SOFT_TIMEOUT:
            self._release()
        if self._context.has_queued_requests():
            # Under overload every further sub-request takes a slot from another query.
            return
        if len(run.calls) != 1 or run.attempts >= MAX_ATTEMPTS:
            return
        if timer is Timer.HEDGE:
            self._hedge(run)
        elif self._may_retry():
            self._attempt(run, timer.value)

    def _hedge(self, run: ShardRun) -> None:
        """Send a hedged request if a replica is likely to be faster."""
        (call, target), *_ = run.calls.items()
        now = self._clock.monotonic()
        if call.running:
            self._context.targets.observe_waiting(target, now - call.started_at)
        untried = [
            name
            for name in run.ref.replicas
            if name not in run.tried and self._may_start(name)
        ]
        # A hedge to a replica that is known to be slow would only waste the budget.
        limit = HEDGE_GAIN * (now - call.queued_at)
        faster = self._context.targets.targets_faster_than(untried, limit)
        if faster and self._context.budgets.hedge.try_spend():
            self._attempt(run, Timer.HEDGE.value, faster)

    def _retry_now(self, run: ShardRun, timer: Timer) -> None:
        if timer is Timer.QUARANTINE or self._may_retry():
            self._attempt(run, timer.value)
        else:
            self._give_up(run)

    # Waiting and stopping

    def _stop_at(self) -> float:
        policy = self._request.plan.policy
        early = self._started_at + policy.partial_after_ms / 1000
        enough = self._answered >= TAIL_SHARE * len(self._runs)
        if policy.goal is Goal.TAIL and policy.partial_after_ms and enough:
            return min(early, self._request.deadline)
        return self._request.deadline

    async def _wait(self, seconds: float) -> None:
        if self._ended:
            return
        loop = asyncio.get_running_loop()
        self._wake = loop.create_future()
        handle = loop.call_later(max(seconds, 0), self._on_timer)
        try:
            await self._wake
        finally:
            handle.cancel()
            self._wake = None

    def _on_timer(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _note_own_queue(self) -> None:
        """Name this instance's own queue where it is why a shard is missing."""
        for run in self._runs:
            waiting = run.calls and not any(call.running for call in run.calls)
            if waiting and run.answer is None and not run.closed:
                run.reason = Reason.NO_CAPACITY

    def _log_stop(self, stop_at: float) -> None:
        late = stop_at >= self._request.deadline
        events.emit(
            events.QUERY_STOPPED_WAITING,
            request_id=self._request.request_id,
            outstanding=self._open,
            reason="deadline" if late else "policy answers partial early",
        )

    def _cancel_all(self) -> None:
        for run in self._runs:
            run.closed = True
            for call, target in list(run.calls.items()):
                self._context.targets.cancel(target, call)
                # The call may have run. One that is not written yet never will be.
                result = Result.UNKNOWN if call.written else Result.NOT_RUN
                self.attempts.append(Attempt(target, result, Reason.TIMEOUT))
