"""The permits of one instance for a target that names a rate limit."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from filbertshelf.state.target_rate import PERMIT_LIFETIME_S, TargetRate

WINDOW_S = 4.0


@given(
    st.lists(st.floats(min_value=0, max_value=3), max_size=200),
    st.floats(min_value=0.5, max_value=50),
    st.integers(min_value=1, max_value=40),
    st.integers(min_value=0, max_value=100),
)
def test_no_window_exceeds_the_share_of_the_instance(pauses, limit, instances, seed):
    # Guards against permits that are saved up and used in one burst.
    rate = TargetRate(0.0, random.Random(seed))
    rate.set_instances(instances, 0.0)
    rate.set_limit(limit, 0.0)
    now = 0.0
    sent = []
    for pause in pauses:
        now += pause
        if rate.allows(now):
            rate.spend(now, False)
            sent.append(now)
    share = limit / instances
    for start in sent:
        count = sum(start <= at < start + WINDOW_S for at in sent)
        assert count <= share * (WINDOW_S + PERMIT_LIFETIME_S) + 2


def test_without_a_limit_everything_is_allowed_at_once():
    rate = TargetRate(0.0, random.Random(1))
    rate.set_limit(1.0, 0.0)
    while rate.allows(5.0):
        rate.spend(5.0, False)
    rate.set_limit(None, 5.0)
    assert rate.allows(5.0)


def test_a_smaller_fleet_shortens_the_wait_that_has_begun():
    # Guards against an instance that waits by the divisor of its first second, which is
    # that of a large fleet, long after it knows its fleet.
    rate = TargetRate(0.0, random.Random(1))
    rate.set_instances(64, 0.0)
    rate.set_limit(1.0, 0.0)
    rate.set_instances(2, 0.0)
    assert rate.allows(2.0)


def test_changes_are_logged_at_most_once_a_second_with_what_was_sent():
    # Guards against a target whose limit alternates and fills the log.
    rate = TargetRate(0.0, random.Random(1))
    lines = []
    for step in range(1, 31):
        now = step * 0.1
        rate.set_limit(float(step % 2 + 1), now)
        rate.spend(now, step % 3 == 0)
        lines.append(rate.change_to_log(now))
    changes = [line for line in lines if line is not None]
    assert len(changes) <= 3
    assert (changes[0].before, changes[0].sent, changes[0].extra) == (None, 10, 3)


def test_a_limit_below_the_usual_minimum_is_kept_if_the_caller_asks_for_that():
    # Guards against a cold target whose service names a rate below the minimum for
    # limits that targets name themselves.
    rate = TargetRate(0.0, random.Random(1), min_limit_per_s=0.0)
    rate.set_limit(0.1, 0.0)
    sent = 0
    for tenth in range(600):
        if rate.allows(tenth / 10):
            rate.spend(tenth / 10, False)
            sent += 1
    assert 5 <= sent <= 7
