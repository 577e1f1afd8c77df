"""The cold state of one target, and the permits of a fleet for it."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from filbertshelf.state.cold import (
    LISTING_LAG_S,
    MAX_COLD_S,
    ColdBound,
    ColdState,
    Source,
    after_evacuation,
    after_statement,
    permit_rule,
    presumed_state,
)
from filbertshelf.state.fleet_size import GROWTH
from filbertshelf.state.target_rate import PermitPhase, TargetRate

BOUND = ColdBound()

CLOCK_ERROR_S = 0.01


def cold(seconds: float, source: Source = Source.LISTING, now: float = 0.0):
    return ColdState.lasting(seconds, source, now)


def make_rates(
    per_s: float,
    instances: int,
    seed: int,
    running: int | None = None,
    has_ranks: bool = True,
) -> list[TargetRate]:
    """Return the permits of each instance of a fleet for one target.

    The rate is divided by `instances`; by default as many run. Their wall clocks differ
    by some milliseconds.
    """
    rng = random.Random(seed)
    rule = permit_rule(per_s, instances, BOUND)
    rates = [TargetRate(0.0, rng) for _ in range(running or instances)]
    for rank, rate in enumerate(rates):
        if has_ranks:
            epoch = -1e9 + rng.uniform(-CLOCK_ERROR_S, CLOCK_ERROR_S)
            rate.set_phase(PermitPhase.choose(epoch, rank, f"t{seed}"), 0.0)
        rate.set_permit_rule(rule.lifetime_s, rule.keeps_one)
        rate.set_instances(instances, 0.0)
        rate.set_limit(per_s, 0.0)
    return rates


def send_all(rates: list[TargetRate], now: float) -> int:
    """Use each permit that is valid now; return how many there were."""
    sent = 0
    for rate in rates:
        while rate.allows(now):
            rate.spend(now, False)
            sent += 1
    return sent


def most_in_a_second(sent_at: list[float]) -> int:
    return max((sum(t <= at < t + 1.0 for at in sent_at) for t in sent_at), default=0)


@given(
    st.floats(min_value=0.5, max_value=60),
    st.integers(min_value=1, max_value=12),
    st.integers(min_value=0, max_value=1000),
    st.lists(st.floats(min_value=0, max_value=4), min_size=1, max_size=60),
)
def test_a_small_fleet_keeps_to_the_bound_whenever_its_demand_comes(
    per_s, instances, seed, pauses
):
    # Guards against permits that are saved while the load is low and used in a burst.
    if BOUND.burst_allowance(per_s) < instances:
        return
    rates = make_rates(per_s, instances, seed)
    now, sent_at = 0.0, []
    for pause in pauses:
        now += pause
        sent_at += [now] * send_all(rates, now)
    assert most_in_a_second(sent_at) <= per_s * BOUND.overage + BOUND.slack


@pytest.mark.parametrize("instances", [16, 40, 64, 130])
@pytest.mark.parametrize("per_s", [1.0, 4.0, 10.0, 30.0])
@pytest.mark.parametrize("has_ranks", [True, False])
def test_a_large_fleet_whose_demand_comes_at_once_keeps_to_the_bound(
    per_s, instances, has_ranks
):
    # Guards against one saved permit of each instance, all used when the last warm
    # target fails. Without ranks, the instances know little of each other, and the
    # divisor exceeds their number.
    running = instances if has_ranks else int(instances / GROWTH)
    for seed in range(20):
        rates = make_rates(per_s, instances, seed, running, has_ranks)
        sent_at = []
        for n in range(200):
            now = 30.0 + 0.02 * n
            sent_at += [now] * send_all(rates, now)
        assert most_in_a_second(sent_at) <= per_s * BOUND.overage + BOUND.slack


def test_under_steady_demand_the_rate_and_not_the_bound_is_used():
    # Guards against a fleet that sends a cold target 1.5 times its rate all the time.
    rates = make_rates(10.0, 8, 1)
    sent = sum(send_all(rates, n * 0.01) for n in range(3000))
    assert 0.9 * 300 < sent < 1.1 * 300 + 5


def test_the_newer_statement_wins():
    header = after_statement(cold(30), 5.0, Source.HEADER, 1.0)
    assert (header.until, header.source) == (6.0, Source.HEADER)
    later = after_statement(header, 20.0, Source.LISTING, 2.0)
    assert (later.until, later.source) == (22.0, Source.LISTING)
    warm = after_statement(later, 0.0, Source.HEADER, 3.0)
    assert not warm.is_cold(3.0)


def test_a_repeated_countdown_is_no_change():
    known = cold(30, Source.HEADER)
    assert after_statement(known, 20.1, Source.HEADER, 10.0) is known
    assert after_statement(None, 0.0, Source.HEADER, 10.0) is None


def test_a_listing_as_warm_yields_to_a_header_for_a_short_time():
    # Guards against a listing that was written before the target turned cold again.
    known = cold(30, Source.HEADER)
    assert after_statement(known, 0.0, Source.LISTING, LISTING_LAG_S / 2) is known
    warm = after_statement(known, 0.0, Source.LISTING, LISTING_LAG_S + 0.1)
    assert not warm.is_cold(LISTING_LAG_S + 0.1)


def test_a_stated_time_of_any_length_is_bounded():
    # Guards against a target that is hardly used for ever because of one wrong number.
    assert after_statement(None, 1e300, Source.HEADER, 0.0).until == MAX_COLD_S


def test_without_a_statement_new_and_recently_started_targets_are_cold():
    assert presumed_state(False, 100.0, 20.0, 0.0).source is Source.NEW
    started = presumed_state(True, 5.0, 20.0, 0.0)
    assert (started.until, started.source) == (15.0, Source.STARTED)
    assert presumed_state(True, -1e9, 20.0, 0.0).until == 20.0
    assert presumed_state(True, 20.0, 20.0, 0.0) is None
    assert presumed_state(False, 0.0, 0.0, 0.0) is None


def test_after_an_evacuation_the_longer_time_counts():
    assert after_evacuation(cold(50), 20.0, 0.0).until == 50.0
    assert after_evacuation(cold(5), 20.0, 0.0).source is Source.EVACUATION
    assert after_evacuation(None, 20.0, 3.0).until == 23.0
    assert after_evacuation(None, 0.0, 3.0) is None
