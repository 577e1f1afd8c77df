"""Limits of a fleet that starts, restarts, or grows."""

from __future__ import annotations

from filbertshelf.state.fleet_size import (
    MIN_DISCOVERY_S,
    STABLE_S,
    UNKNOWN_FLEET_SIZE,
    FleetEstimate,
    FleetSizeEstimator,
)


def test_a_restarted_fleet_has_limits_before_all_members_are_known():
    # Guards against no hedges and no open connections in the seconds after all
    # machines lost power, when every request is late already.
    size = FleetSizeEstimator(0.0)
    assert size.update(12, MIN_DISCOVERY_S / 2) is None
    assert size.update(20, MIN_DISCOVERY_S) == FleetEstimate(
        26, UNKNOWN_FLEET_SIZE, False
    )
    assert size.update(20, MIN_DISCOVERY_S + STABLE_S) == FleetEstimate(26, 26, True)


def test_a_large_fleet_that_starts_is_never_divided_by_too_few():
    # Guards against more connections than a target accepts: 100 instances that each
    # have seen 60 divide by more than 60.
    size = FleetSizeEstimator(0.0)
    assert size.update(60, 1.0).divisor == 78
    assert size.update(100, 2.0).divisor == 130


def test_a_known_fleet_that_grows_keeps_its_limits_until_it_is_known_again():
    size = FleetSizeEstimator(0.0)
    size.update(20, 1.0)
    known = size.update(20, 1.0 + STABLE_S)
    assert known == FleetEstimate(26, 26, True)
    assert size.update(23, 5.0) == known
    assert size.update(23, 5.0 + STABLE_S) == FleetEstimate(30, 30, True)


def test_a_fleet_that_loses_members_divides_by_the_most_that_were_seen():
    # Guards against limits that are handed out twice in a partition.
    size = FleetSizeEstimator(0.0)
    size.update(20, 1.0)
    assert size.update(4, 1.0 + STABLE_S).divisor == 26
