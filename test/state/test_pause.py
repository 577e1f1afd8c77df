"""Detection of pauses of the process."""

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
