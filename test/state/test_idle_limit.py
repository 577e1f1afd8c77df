"""Servers that drop idle connections without notice, and sooner than they say."""

from __future__ import annotations

import math

from filbertshelf.state.idle_limit import MEMORY_S, MIN_IDLE_S, IdleLimit


def test_a_connection_lost_at_its_next_use_limits_the_idle_time():
    # Guards against a booking that is lost on each connection that was idle for long.
    limit = IdleLimit()
    assert limit.limit_s(0.0) == math.inf
    limit.record_loss(idle_s=0.4, after_s=0.002, now=1.0)
    assert limit.limit_s(1.0) == 0.2
    limit.record_loss(idle_s=3.0, after_s=0.002, now=2.0)
    assert limit.limit_s(2.0) == 0.2


def test_a_target_that_dies_while_it_works_limits_nothing():
    # Guards against a new connection for each request after a crash.
    limit = IdleLimit()
    limit.record_loss(idle_s=0.4, after_s=0.03, now=1.0)
    limit.record_loss(idle_s=0.01, after_s=0.001, now=1.0)
    assert limit.limit_s(1.0) == math.inf


def test_a_limit_is_forgotten_and_never_forbids_close_requests():
    limit = IdleLimit()
    limit.record_loss(idle_s=0.06, after_s=0.001, now=1.0)
    assert limit.limit_s(1.0) == MIN_IDLE_S
    assert limit.limit_s(1.0 + MEMORY_S) == math.inf
