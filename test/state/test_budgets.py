"""Token budgets, the latency window and the hedge delay."""

from hypothesis import given, settings
from hypothesis import strategies as st

from filbertshelf.clock import ManualClock
from filbertshelf.state.budgets import LatencyWindow, TokenBudget, hedge_delay


@settings(derandomize=True, deadline=None)
@given(st.floats(0, 2), st.integers(1, 3), st.lists(st.integers(0, 2), min_size=20))
def test_spends_never_exceed_the_budget(ratio, burst, steps):
    # Guards against retry storms. A step of 0 spends one token; any other number is the
    # count of a deposit.
    budget = TokenBudget(ratio, burst)
    spent = deposits = 0
    for step in steps:
        if step:
            budget.deposit(step)
            deposits += step
        else:
            spent += budget.try_spend()
        assert spent <= ratio * deposits + burst


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.lists(st.floats(0.0001, 60), min_size=50, max_size=300), st.floats(0, 1))
def test_quantiles_are_exact_within_the_digits(values, q):
    window = LatencyWindow(ManualClock())
    for value in values:
        window.record(value)
    rank = min(len(values) - 1, int(q * len(values)))
    near = sorted(values)[max(0, rank - 1) : rank + 2]
    assert near[0] * 0.98 - 2e-6 <= window.quantile(q) <= near[-1] * 1.02 + 2e-6


def test_old_latencies_leave_the_window():
    # Guards against a hedge delay that stays high after a slow period.
    clock = ManualClock()
    window = LatencyWindow(clock)
    for latency in (1.0, 0.01, 0.01):
        for _ in range(100):
            window.record(latency)
        clock.advance(10)
    for _ in range(100):
        window.record(0.01)
    assert window.quantile(1.0) < 0.02
    clock.advance(30)
    assert window.quantile(1.0) is None


def test_no_hedge_is_sent_that_would_answer_too_late():
    clock = ManualClock()
    window = LatencyWindow(clock)
    assert hedge_delay(window, 10) is None
    for i in range(1000):
        window.record(0.01 if i % 10 else 0.1)
    # If a tenth of the answers is slow, the delay must not rise to their latency.
    assert 0.0295 < hedge_delay(window, 0.2) < 0.0305
    assert hedge_delay(window, 0.035) is None


def test_equal_replicas_are_hedged_above_the_95th_percentile():
    # Guards against hedges of more than 5% of the sub-requests if no replica is slow.
    window = LatencyWindow(ManualClock())
    for i in range(1000):
        window.record(0.01 + 0.00001 * i)
    assert 0.0190 < hedge_delay(window, 1.0) < 0.0200
    assert hedge_delay(window, 0.030) is None
