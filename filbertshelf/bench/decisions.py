"""Measures the CPU time of the decisions in the query path."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from filbertshelf.bench.cpu_time import min_cpu_us
from filbertshelf.clock import SystemClock
from filbertshelf.state.admission import AdmissionQueue, PendingRequest
from filbertshelf.state.budgets import LatencyWindow
from filbertshelf.state.limits import RateShare
from filbertshelf.state.outcome import Reason, Result
from filbertshelf.state.publication import Fleet
from filbertshelf.state.quarantine import Quarantine
from filbertshelf.state.replica_choice import choose_random, choose_replica
from filbertshelf.state.replicas import TargetState
from filbertshelf.state.target import Target

CALLS = 20_000
ROUNDS = 5
SEED = 1


@attrs.frozen
class DecisionCosts:
    """CPU time in microseconds per call, the minimum of `ROUNDS` rounds.

    `attempt` covers `attempt_started` and `attempt_finished` of a `TargetState`, and
    `guard` covers `may_start`, `attempt_started` and `attempt_finished` of a
    `Quarantine`. `refuse` is an `offer` to a full `AdmissionQueue`, `take` acquires a
    token of a `RateShare`, and `record` adds a latency to a `LatencyWindow`.
    """

    choose_replica: float
    choose_random: float
    attempt: float
    refuse: float
    take: float
    fingerprint: float
    guard: float
    record: float


def measure(calls: int = CALLS) -> DecisionCosts:
    """Return the cost of each decision, with `calls` calls per round."""
    states = _make_target_states()
    rng = random.Random(SEED)

    def cost(call: Callable[[], object]) -> float:
        return min_cpu_us(call, calls, ROUNDS)

    return DecisionCosts(
        choose_replica=cost(lambda: choose_replica(states, rng)),
        choose_random=cost(lambda: choose_random(states, rng)),
        attempt=cost(_attempt_call(states[0])),
        refuse=cost(_refusal_call()),
        take=cost(RateShare(1e9, Fleet(20, 4), SystemClock()).try_acquire),
        fingerprint=cost(_fingerprint_call()),
        guard=cost(_guard_call()),
        record=cost(_record_call()),
    )


def _make_target_states() -> tuple[TargetState, ...]:
    """Return the states of three targets that have answered and reported load."""
    clock = SystemClock()
    states = []
    for name in ("leaf-1", "leaf-2", "leaf-3"):
        target = Target(name, "127.0.0.1:1", "bne-1", {}, 2, 60)
        state = TargetState(target, clock)
        for _ in range(100):
            _attempt_call(state)()
        state.observe_report(3, False)
        states.append(state)
    return tuple(states)


def _attempt_call(state: TargetState) -> Callable[[], None]:
    def attempt() -> None:
        state.attempt_started()
        state.attempt_finished(Result.ANSWERED, Reason.NONE, 0.005)

    return attempt


def _refusal_call() -> Callable[[], object]:
    clock = SystemClock()
    queue = AdmissionQueue(1, 1000, clock)
    deadline = clock.monotonic() + 3600
    for i in range(1001):
        queue.offer(PendingRequest(str(i), f"caller-{i % 50}", i % 10, deadline))
    return lambda: queue.offer(PendingRequest("late", "caller-1", 0, deadline))


def _fingerprint_call() -> Callable[[], str]:
    quarantine = Quarantine(SystemClock(), b"0123456789abcdef")
    services = [f"quote-{i}" for i in range(50)]
    body = {"text": "coat rack", "from": "2026-06-01", "to": "2026-06-03", "limit": 20}
    return lambda: quarantine.fingerprint(services, body)


def _guard_call() -> Callable[[], None]:
    quarantine = Quarantine(SystemClock(), b"0123456789abcdef")

    def guard() -> None:
        quarantine.may_start("leaf-1", "fingerprint")
        quarantine.attempt_started("leaf-1", "fingerprint")
        quarantine.attempt_finished("leaf-1", "fingerprint", True)

    return guard


def _record_call() -> Callable[[], None]:
    window = LatencyWindow(SystemClock())
    return lambda: window.record(0.005)
