"""When to answer, when to hedge, and how parts are merged."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from filbertshelf.clock import ManualClock
from filbertshelf.state.answer_time import AnswerRule
from filbertshelf.state.hedging import MAX_OBJECTIVE_SHARE, HedgeDelay
from filbertshelf.state.records import greatest_records
from filbertshelf.state.retry_window import RetryPolicy, RetryWindow


def test_the_coverage_is_rounded_up():
    # Guards against an answer of 17 of 20 shards where 0.89 are needed.
    assert AnswerRule.make(20, 0.89, 1.0).needed == 18
    assert AnswerRule.make(20, 0.75, 1.0).needed == 15
    assert AnswerRule.make(3, 0.0, 1.0).needed == 1


def test_all_shards_are_awaited_until_the_aim():
    rule = AnswerRule.make(20, 0.75, objective_at=1.0)
    assert not rule.should_answer(19, 1, 0.9)
    assert rule.should_answer(19, 1, 1.0)
    assert rule.should_answer(19, 0, 0.9)
    assert not rule.should_answer(14, 6, 1.5)


def test_a_coverage_out_of_reach_is_hopeless():
    rule = AnswerRule.make(20, 0.75, objective_at=1.0)
    assert not rule.cannot_reach_coverage(10, 5)
    assert rule.cannot_reach_coverage(10, 4)


def test_the_hedge_comes_before_it_is_too_late():
    # Guards against a hedge that can't answer within the aim when all are slow.
    timer = HedgeDelay(0.1, ManualClock())
    assert timer.delay_s() == MAX_OBJECTIVE_SHARE * 0.1
    for _ in range(200):
        timer.record(0.3)
    assert timer.delay_s() == MAX_OBJECTIVE_SHARE * 0.1


@given(
    st.lists(st.binary(max_size=70), max_size=8), st.integers(min_value=1, max_value=9)
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
    # Guards against a burst over the edge of a window.
    policy = RetryPolicy(0.2, 30.0, 10.0)
    window = RetryWindow(policy)
    window.set_fleet_size(fleet)
    now = 0.0
    asked, spent = [], []
    for pause, extra in steps:
        now += pause
        if not extra:
            asked.append(now)
            window.record_request(now)
        elif window.try_spend(now):
            spent.append(now)
    for end in spent:
        extras = sum(end - 10.0 < at <= end for at in spent)
        requests = sum(end - 10.0 < at <= end for at in asked)
        assert extras <= 0.2 * requests + 30.0 / fleet
