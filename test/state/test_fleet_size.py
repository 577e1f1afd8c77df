"""The estimated size of a fleet that starts, restarts or grows."""

from __future__ import annotations

from filbertshelf.state.fleet_size import (
    MIN_DISCOVERY_S,
    STABLE_S,
    UNKNOWN_FLEET_SIZE,
    FleetEstimate,
    FleetSizeEstimator,
)


def test_a_restarted_fleet_has_limits_before_all_members_are_known():
    # Guards against instances without hedges and open connections in the seconds after
    # a power failure of all machines, when every request is already late.
    estimator = FleetSizeEstimator(0.0)
    assert estimator.update(12, MIN_DISCOVERY_S / 2) is None
    assert estimator.update(20, MIN_DISCOVERY_S) == FleetEstimate(
        26, UNKNOWN_FLEET_SIZE, False
    )
    assert estimator.update(20, MIN_DISCOVERY_S + STABLE_S) == FleetEstimate(
        26, 26, True
    )


def test_a_starting_large_fleet_never_has_too_low_a_divisor():
    # Guards against more connections than a target accepts: if 100 instances have each
    # seen 60 members, they must divide limits by more than 60.
    estimator = FleetSizeEstimator(0.0)
    assert estimator.update(60, 1.0).divisor == 78
    assert estimator.update(100, 2.0).divisor == 130


def test_a_growing_fleet_keeps_its_estimate_until_it_is_stable_again():
    estimator = FleetSizeEstimator(0.0)
    estimator.update(20, 1.0)
    known = estimator.update(20, 1.0 + STABLE_S)
    assert known == FleetEstimate(26, 26, True)
    assert estimator.update(23, 5.0) == known
    assert estimator.update(23, 5.0 + STABLE_S) == FleetEstimate(30, 30, True)


def test_a_fleet_that_loses_members_keeps_its_highest_divisor():
    # Guards against both sides of a partition using the whole of a limit.
    estimator = FleetSizeEstimator(0.0)
    estimator.update(20, 1.0)
    assert estimator.update(4, 1.0 + STABLE_S).divisor == 26
