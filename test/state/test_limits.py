"""Adaptive limits, connection quotas and shares of a fleet-wide rate limit."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from filbertshelf.clock import ManualClock
from filbertshelf.state.limits import (
    AdaptiveLimit,
    RateShare,
    burst_bound,
    connection_quota,
)
from filbertshelf.state.publication import Fleet
from filbertshelf.state.target import Target

ENDS = st.tuples(st.floats(0.001, 5), st.booleans(), st.floats(0, 3))


@settings(derandomize=True, deadline=None)
@given(st.integers(1, 50), st.integers(0, 50), st.lists(ENDS, max_size=100))
def test_the_limit_stays_within_the_quota(slots, quota, ends):
    clock = ManualClock()
    limit = AdaptiveLimit(slots, quota, clock)
    for latency, shed, pause in ends:
        while limit.try_start():
            pass
        assert limit.in_flight <= max(1, quota)
        clock.advance(pause)
        limit.finished(latency, shed)
        assert 1 <= limit.limit <= max(1, quota)


def test_the_limit_decreases_once_per_round_trip():
    # Guards against a collapse to 1 when all attempts in flight are shed at once.
    clock = ManualClock()
    limit = AdaptiveLimit(100, 100, clock)
    while limit.try_start():
        pass
    clock.advance(1)
    for _ in range(100):
        limit.finished(0.5, shed=True)
    assert limit.limit == 70


def test_the_limit_converges_to_the_point_where_requests_queue():
    # The target runs up to 10 concurrent requests in 10 ms each; with more its latency
    # grows.
    clock = ManualClock()
    limit = AdaptiveLimit(10, 100, clock)
    seen = []
    for _ in range(3000):
        while limit.try_start():
            pass
        in_flight = limit.in_flight
        latency = 0.01 * max(1.0, in_flight / 10)
        clock.advance(latency)
        for _ in range(in_flight):
            limit.finished(latency)
        seen.append(limit.limit)
    # Twice the floor is reached with 20 in flight; the average lags some round trips.
    assert min(seen[100:]) >= 10
    assert 15 <= max(seen[100:]) <= 30


def test_connection_quotas_add_up_to_the_cap():
    target = Target("a", "127.0.0.1:1", "a", {}, 2, 60)
    assert connection_quota(target, Fleet(20, 4)) == 2
    assert connection_quota(target, Fleet(400, 10)) == 1


class SharesMachine(RuleBasedStateMachine):
    """Instances that acquire, donate, lose and delay tokens, and that restart.

    There is at most one instance for each share.
    """

    rate = 20.0
    fleet = Fleet(3, 1)

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.shares = [self._new() for _ in range(self.fleet.shares)]
        self.transit = []
        self.excess = 0.0
        self.checked_at = 0.0

    def _new(self):
        return RateShare(self.rate, self.fleet, self.clock)

    index = st.integers(0, fleet.shares - 1)

    @rule(seconds=st.floats(0, 0.5))
    def _wait(self, seconds):
        self.clock.advance(seconds)

    @rule(who=index)
    def _take_all(self, who):
        while self.shares[who].try_acquire():
            self.excess += 1

    @rule(who=index, n=st.floats(0.1, 2))
    def _take(self, who, n):
        before = self.shares[who].tokens
        taken = n * self.shares[who].try_acquire(n)
        assert abs(before - taken - self.shares[who].tokens) < 1e-9
        self.excess += taken

    @rule(who=index, n=st.floats(0.1, 20))
    def _give(self, who, n):
        before = self.shares[who].tokens
        given = self.shares[who].donate(n)
        assert abs(before - given - self.shares[who].tokens) < 1e-9
        self.transit.append((given, self.clock.monotonic()))

    @rule(who=index)
    def _receive(self, who):
        if self.transit:
            given, asked_at = self.transit.pop()
            self.shares[who].receive(given, self.clock.monotonic() - asked_at)

    @rule()
    def _lose(self):
        self.transit = self.transit[1:]

    @rule(who=index, members=st.integers(0, 9))
    def _count_members(self, who, members):
        self.shares[who].configure(self.rate, self.fleet, members)

    @rule(who=index)
    def _restart(self, who):
        self.shares[who] = self._new()

    @invariant()
    def _any_window_is_within_the_bound(self):
        # `excess` is the maximum of (taken - rate x W) over all windows that end now.
        passed = self.clock.monotonic() - self.checked_at
        self.checked_at += passed
        self.excess = max(0.0, self.excess - self.rate * passed)
        assert self.excess <= burst_bound(self.rate, self.fleet) + 1e-6


TestShares = SharesMachine.TestCase
TestShares.settings = settings(derandomize=True, deadline=None, stateful_step_count=80)


def test_restarts_late_answers_and_received_tokens_add_no_burst():
    # Guards against restarts that create bursts, and against received tokens that are
    # donated again.
    clock = ManualClock()
    share = RateShare(100, Fleet(1, 0), clock)
    assert share.tokens == 0
    assert share.receive(20, age_s=0.6) == 0
    assert share.receive(20, age_s=0.4) == 20
    assert share.donate(20) == 0
    assert share.try_acquire(20)
    assert share.tokens == 0
    clock.advance(10)
    assert share.tokens == 25


def test_shares_use_the_whole_rate():
    # Guards against a bound that holds only because few tokens are granted.
    clock = ManualClock()
    fleet = Fleet(3, 1)
    shares = [RateShare(100, fleet, clock) for _ in range(4)]
    taken = 0
    for _ in range(1000):
        clock.advance(0.01)
        taken += sum(share.try_acquire() for share in shares)
    assert 980 <= taken <= 1000
    unlimited = RateShare(0, fleet, clock)
    assert all(unlimited.try_acquire() for _ in range(100))
