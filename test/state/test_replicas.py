"""The choice of a replica, the circuit breaker, the ramp-up and load reports."""

import heapq
import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from filbertshelf.clock import ManualClock
from filbertshelf.state.outcome import Reason, Result
from filbertshelf.state.replica_choice import choose_random, choose_replica
from filbertshelf.state.replicas import OPEN_MIN_S, Breaker, TargetState
from filbertshelf.state.target import Target

HEALTHY = (Result.ANSWERED, Reason.NONE, 0.01)
BROKEN = (Result.NOT_RUN, Reason.CONNECT_FAILED, 0.0001)
ERRORING = (Result.UNKNOWN, Reason.TARGET_ERROR, 0.0001)
SLOW = (Result.ANSWERED, Reason.NONE, 1.0)
SHEDDING = (Result.NOT_RUN, Reason.OVERLOADED, 0.0001)


def make_state(name, clock, seed=1):
    target = Target(name, "127.0.0.1:1", "a", {}, 2, 60)
    return TargetState(target, clock, random.Random(seed))


def end(state, *how):
    state.attempt_started()
    state.attempt_finished(*how)


class Simulation:
    """Open-loop arrivals at targets that end all attempts with a fixed result."""

    def __init__(self, ends, seed, choose=choose_replica):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.choose = choose
        self.ends = dict(ends)
        self.states = {name: make_state(name, self.clock, seed) for name in ends}
        self.reports = {}
        self.in_flight = []

    def add(self, name, end):
        """Add a target without any observations."""
        self.ends[name] = end
        self.states[name] = make_state(name, self.clock)

    def run(self, seconds, rate=200):
        """Return the number of attempts sent to each target."""
        counts = Counter()
        for _ in range(int(seconds * rate)):
            self.clock.advance(1 / rate)
            self._finish_due()
            choice = self.choose(tuple(self.states.values()), self.rng)
            counts[choice.target] += 1
            self.states[choice.target].attempt_started()
            latency = self.ends[choice.target][2] * self.rng.uniform(0.8, 1.2)
            due = self.clock.monotonic() + latency
            heapq.heappush(self.in_flight, (due, choice.target, latency))
        return counts

    def _finish_due(self):
        while self.in_flight and self.in_flight[0][0] <= self.clock.monotonic():
            _, name, latency = heapq.heappop(self.in_flight)
            self.states[name].attempt_finished(*self.ends[name][:2], latency)
            if name in self.reports:
                self.states[name].observe_report(self.reports[name], False)


def test_a_fast_failing_target_gets_only_its_probes():
    # Guards against a target that attracts load because it fails quickly. 5 failures
    # open the breaker. Open times of at least 0.5, 1, 2, 4, 8, 15 and 15 s allow 7
    # probes in 60 s.
    ends = {"a": HEALTHY, "b": BROKEN, "c": HEALTHY}
    for seed in range(3):
        assert 1 <= Simulation(ends, seed).run(60)["b"] <= 5 + 7
    assert Simulation(ends, 0, choose_random).run(60)["b"] > 3000


def test_quick_refusals_and_errors_attract_no_load():
    # They don't open the breaker. Only the latency that they count as keeps load away.
    for how in (SHEDDING, ERRORING):
        sim = Simulation({"a": HEALTHY, "b": how, "c": HEALTHY}, 2)
        assert sim.run(60)["b"] < 0.01 * 60 * 200
        assert sim.states["b"].breaker is Breaker.CLOSED


def test_a_failure_costs_more_than_any_answer():
    # Guards against a quick failure that lowers the cost of a fast or slow service.
    for typical in (0.01, 3.0):
        state = make_state("a", ManualClock())
        end(state, Result.ANSWERED, Reason.NONE, typical)
        end(state, *BROKEN)
        assert state.cost() > max(0.5, 3 * typical)


def test_a_target_that_was_slow_is_measured_again():
    # Guards against never choosing a replica again that was the costliest of three.
    sim = Simulation({"a": HEALTHY, "b": SLOW, "c": HEALTHY}, 5)
    assert sim.run(20)["b"] < 0.05 * 20 * 200
    sim.ends["b"] = HEALTHY
    sim.run(30)
    assert sim.run(20)["b"] > 0.7 * 20 * 200 / 3


def test_open_times_grow_and_only_one_probe_is_in_flight():
    # Guards against an old attempt that is mistaken for the probe, and against too many
    # probes of a dead target.
    clock = ManualClock()
    state = make_state("a", clock)
    for _ in range(6):
        state.attempt_started()
    for _ in range(5):
        state.attempt_finished(*BROKEN)
    clock.advance(1)
    assert not state.is_available()
    state.attempt_finished(*BROKEN)
    for most in (2, 4, 8, 16, 30, 30):
        assert state.is_available()
        state.attempt_started()
        assert not state.is_available()
        state.attempt_finished(*BROKEN)
        clock.advance(most / 2 - 0.01)
        assert not state.is_available()
        clock.advance(most / 2 + 0.01)
    end(state, *HEALTHY)
    assert state.breaker is Breaker.CLOSED
    assert state.ramp() < 0.2


def test_false_reports_change_a_share_by_less_than_a_factor_of_two():
    # Guards against load reports that outweigh the observations of this instance.
    ends = dict.fromkeys("abc", HEALTHY)
    for lie in ({"a": 10**6}, {"a": 0, "b": 10**6, "c": 10**6}):
        honest, lying = Simulation(ends, 3), Simulation(ends, 3)
        honest.run(20)
        lying.run(20)
        lying.reports = lie
        ratio = lying.run(30)["a"] / honest.run(30)["a"]
        assert 1 / 2 < ratio < 2
        assert ratio != 1


def test_stale_reports_are_ignored():
    clock = ManualClock()
    state = make_state("a", clock)
    state.observe_report(10**6, False)
    assert state.report_factor() == 2.0
    clock.advance(1.1)
    assert state.report_factor() == 1.0


def test_a_new_target_ramps_up_and_then_gets_its_full_share():
    # Guards against overloading a target that seems idle because it is new.
    sim = Simulation({"a": HEALTHY, "b": HEALTHY}, 4)
    sim.run(20)
    sim.add("c", HEALTHY)
    first, _, late = sim.run(1)["c"], sim.run(9), sim.run(10)["c"]
    assert 0 < first < 0.25 * 200 / 3
    assert 0.7 * 2000 / 3 < late < 1.3 * 2000 / 3


def test_cancelled_attempts_raise_the_cost_without_failing():
    # Guards against cancelled hedges that open the breaker, and against a hanging
    # target whose cost stays low because all its attempts are cancelled.
    clock = ManualClock()
    state = make_state("a", clock)
    end(state, *HEALTHY)
    before = state.cost()
    for _ in range(20):
        end(state, Result.UNKNOWN, Reason.CANCELLED, 0.2)
        end(state, Result.UNKNOWN, Reason.CANCELLED, 0.001)
    assert state.breaker is Breaker.CLOSED
    assert state.cost() > 10 * before


def test_only_timeouts_beyond_the_typical_latency_are_failures():
    # Guards against breakers that open because callers set very short deadlines.
    clock = ManualClock()
    for answers, elapsed, opens in ((0, 0.02, 0), (5, 0.02, 0), (5, 0.2, 1)):
        state = make_state("a", clock)
        for _ in range(answers):
            end(state, *HEALTHY)
        for _ in range(9):
            end(state, Result.UNKNOWN, Reason.TIMEOUT, elapsed)
        assert state.is_breaker_open() == opens


ENDS = st.sampled_from(
    [
        HEALTHY,
        BROKEN,
        SHEDDING,
        ERRORING,
        (Result.UNKNOWN, Reason.CONNECTION_LOST, 0.5),
        (Result.UNKNOWN, Reason.CANCELLED, 0.05),
        (Result.NOT_RUN, Reason.COLD, 0.001),
    ]
)
STEPS = st.lists(st.one_of(st.just("start"), ENDS, st.floats(0.01, 40)), max_size=80)


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_an_open_breaker_lets_one_probe_through(steps):
    # Guards against more attempts on a target before it has answered a probe.
    clock = ManualClock()
    state = make_state("a", clock)
    opened_at = None
    for step in steps:
        if step == "start" and state.is_available():
            probing = state.breaker is not Breaker.CLOSED
            state.attempt_started()
            assert not probing or state.in_flight == 1
            assert not probing or clock.monotonic() >= opened_at + OPEN_MIN_S / 2
        elif isinstance(step, float):
            clock.advance(step)
        elif step != "start" and state.in_flight:
            state.attempt_finished(*step)
        if state.breaker is not Breaker.OPEN:
            opened_at = None
        elif opened_at is None:
            opened_at = clock.monotonic()
        assert 0 < state.cost() <= (state.in_flight + 1) * 1.0
        assert 0.1 <= state.ramp() <= 1.0


def test_a_draining_target_is_never_chosen_again():
    clock = ManualClock()
    one, two = make_state("a", clock), make_state("b", clock)
    one.observe_report(0, True)
    one.observe_report(0, False)
    rng = random.Random(1)
    for choose in (choose_replica, choose_random):
        assert choose((one, two), rng).target == "b"
        assert choose((one, two), rng, {"b"}) is None
