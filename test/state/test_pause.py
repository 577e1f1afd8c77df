"""Detection of pauses of the process."""

from datetime import timedelta

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from filbertshelf.clock import ManualClock
from filbertshelf.state.pause import PauseMonitor

STEPS = st.lists(st.one_of(st.sampled_from(["tick", "ack"]), st.floats(0, 4)))


@settings(derandomize=True, deadline=None)
@given(STEPS)
@example([2.00001])
def test_a_pause_is_reported_until_it_is_acknowledged(steps):
    # Guards against a tick after the pause that hides it from the first check.
    clock = ManualClock()
    monitor = PauseMonitor(clock, 2.0)
    gap = pause = 0.0
    for step in steps:
        if step == "tick":
            monitor.tick()
            gap = 0.0
        elif step == "ack":
            monitor.acknowledge()
            gap = pause = 0.0
        else:
            clock.advance(step)
            gap += step
        if gap - 2.0 > 1e-5:
            pause = max(pause, gap)
        if abs(gap - 2.0) > 1e-5:
            assert abs(monitor.pending_pause_s() - pause) < 1e-5


@pytest.mark.parametrize("step_s", [30.0, -30.0])
def test_a_step_of_the_time_of_day_is_no_pause(step_s):
    # Guards against a whole fleet that reads the platform again because the time of
    # day jumped, although its clock counts suspensions.
    clock = SteppedClock()
    monitor = PauseMonitor(clock, 2.0)
    clock.advance(1.0)
    clock.step_s = step_s
    assert monitor.pending_pause_s() == 0.0
    clock.advance(2.0)
    assert monitor.pending_pause_s() == 3.0


class SteppedClock(ManualClock):
    """A clock whose time of day can be stepped, and that counts suspensions."""

    counts_suspension = True
    step_s = 0.0

    def now(self):
        """Return the time of day after the step."""
        return super().now() + timedelta(seconds=self.step_s)
