"""Idle limits for servers that drop connections earlier than they announce."""

from __future__ import annotations

import math

from filbertshelf.state.idle_limit import MIN_IDLE_S, RETENTION_S, IdleLimit


def test_a_connection_lost_at_its_next_use_limits_the_idle_time():
    # Guards against losing a booking on each connection that was idle for long.
    limit = IdleLimit()
    assert limit.limit_s(0.0) == math.inf
    limit.record_loss(idle_s=0.4, after_s=0.002, now=1.0)
    assert limit.limit_s(1.0) == 0.2
    limit.record_loss(idle_s=3.0, after_s=0.002, now=2.0)
    assert limit.limit_s(2.0) == 0.2


def test_a_connection_lost_while_a_request_runs_sets_no_limit():
    # Guards against a new connection for each request after a target has crashed.
    limit = IdleLimit()
    limit.record_loss(idle_s=0.4, after_s=0.03, now=1.0)
    limit.record_loss(idle_s=0.01, after_s=0.001, now=1.0)
    assert limit.limit_s(1.0) == math.inf


def test_a_limit_expires_and_is_never_below_the_minimum():
    limit = IdleLimit()
    limit.record_loss(idle_s=0.06, after_s=0.001, now=1.0)
    assert limit.limit_s(1.0) == MIN_IDLE_S
    assert limit.limit_s(1.0 + RETENTION_S) == math.inf
