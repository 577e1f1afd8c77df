"""When an instance polls the platform."""

from __future__ import annotations

import random

from filbertshelf.state.poll_schedule import (
    MAX_RETRY_DELAY_S,
    SMALL_FLEET_MAX_RETRY_DELAY_S,
    poll_due_at,
    retry_delay_s,
)


def test_instances_poll_one_after_the_other_up_to_a_highest_rank():
    # Guards against an instance of a large fleet that waits too long to poll itself.
    due = [poll_due_at(100.0, rank) for rank in range(200)]
    assert due[0] < due[1] < due[2] < due[3]
    assert due[3] == due[199] < 102.0


def test_the_pause_after_failures_grows_with_the_fleet_up_to_a_bound():
    # Guards against a platform that hundreds of instances call without a pause, and
    # against instances that notice its return too late.
    rng = random.Random(1)
    small = [retry_delay_s(9, 20, rng) for _ in range(50)]
    large = [retry_delay_s(9, 410, rng) for _ in range(50)]
    assert 0.5 <= min(small) <= max(small) <= SMALL_FLEET_MAX_RETRY_DELAY_S
    assert 1.5 <= min(large) <= max(large) <= MAX_RETRY_DELAY_S
    assert max(retry_delay_s(1, 410, rng) for _ in range(50)) <= 0.4
