"""The answer rule, the hedge delay, the merging of records and the retry window."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from filbertshelf.clock import ManualClock
from filbertshelf.state.answer_time import AnswerRule
from filbertshelf.state.hedging import MAX_OBJECTIVE_SHARE, HedgeDelay
from filbertshelf.state.records import greatest_records
from filbertshelf.state.retry_window import RetryPolicy, RetryWindow


def test_the_needed_number_of_shards_is_rounded_up():
    # Guards against an answer of 17 of 20 shards where 0.89 are needed.
    assert AnswerRule.make(20, 0.89, 1.0).needed == 18
    assert AnswerRule.make(20, 0.75, 1.0).needed == 15
    assert AnswerRule.make(3, 0.0, 1.0).needed == 1


def test_all_shards_are_awaited_until_the_latency_objective():
    rule = AnswerRule.make(20, 0.75, objective_at=1.0)
    assert not rule.should_answer(19, 1, 0.9)
    assert rule.should_answer(19, 1, 1.0)
    assert rule.should_answer(19, 0, 0.9)
    assert not rule.should_answer(14, 6, 1.5)


def test_coverage_that_cannot_be_reached_is_detected():
    rule = AnswerRule.make(20, 0.75, objective_at=1.0)
    assert not rule.cannot_reach_coverage(10, 5)
    assert rule.cannot_reach_coverage(10, 4)


def test_the_hedge_delay_is_limited_when_all_targets_are_slow():
    # Guards against a hedge that can't answer within the latency objective.
    hedge_delay = HedgeDelay(0.1, ManualClock())
    assert hedge_delay.delay_s() == MAX_OBJECTIVE_SHARE * 0.1
    for _ in range(200):
        hedge_delay.record(0.3)
    assert hedge_delay.delay_s() == MAX_OBJECTIVE_SHARE * 0.1


@given(
    st.lists(st.binary(max_size=200), max_size=8), st.integers(min_value=0, max_value=9)
)
def test_merging_equals_sorting_all_records(bodies, top):
    records = [
        body[at : at + 16]
        for body in bodies
        for at in range(0, len(body), 16)
        if len(body[at : at + 16]) == 16
    ]
    expected = b"".join(sorted(records, reverse=True)[:top])
    assert greatest_records(bodies, top) == expected


@given(
    st.lists(
        st.tuples(st.floats(min_value=0, max_value=0.5), st.booleans()), max_size=300
    ),
    st.integers(min_value=1, max_value=20),
)
def test_no_window_exceeds_the_budget_of_the_instance(steps, fleet):
    # Guards against a burst across the end of a window that exceeds the budget.
    policy = RetryPolicy(0.2, 30.0, 10.0)
    window = RetryWindow(policy)
    window.set_fleet_size(fleet)
    now = 0.0
    requests_at, spent_at = [], []
    for pause, extra in steps:
        now += pause
        if not extra:
            requests_at.append(now)
            window.record_request(now)
        elif window.try_spend(now):
            spent_at.append(now)
    for end in spent_at:
        extras = sum(end - 10.0 < at <= end for at in spent_at)
        requests = sum(end - 10.0 < at <= end for at in requests_at)
        assert extras <= 0.2 * requests + 30.0 / fleet
