"""The limit of a group, and the order in which waiting requests start."""

from __future__ import annotations

import math

import attrs
import pytest

from filbertshelf.state.room import (
    CALM_S,
    MIN_SAMPLES,
    MIN_WINDOW_S,
    AnswerPace,
    DecayingCount,
    RoomAccount,
    RoomChange,
    RouteLoad,
    WaitingRequest,
    WaitingRequests,
    retry_after_s,
)
from filbertshelf.state.routing import Repeat, Route

WORK_S = 0.02
OBJECTIVE_S = 0.15


@attrs.define
class ManualClock:
    """A clock that a test sets."""

    at: float = 0.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self.at


def make_route(name: str, priority: int) -> Route:
    """Return a route."""
    return Route(
        name, "h", f"/{name}/", Repeat.IDEMPOTENT, 0.8, OBJECTIVE_S, 2, priority
    )


class Queue:
    """Waiting requests of some routes, whose number is their priority."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.waiting = WaitingRequests()

    def load(self, priority: int) -> RouteLoad:
        """Return the load of a route."""
        route = make_route(f"r{priority}", priority)
        return self.waiting.load(route, self.clock)

    def make(self, priority: int, at: float, data_centre: str = "") -> WaitingRequest:
        """Return a request that arrives at a time."""
        return WaitingRequest(
            f"r{priority}",
            data_centre,
            priority,
            at + OBJECTIVE_S,
            at + 0.25 * OBJECTIVE_S,
            self.load(priority),
        )

    def add(
        self, priority: int, at: float = 0.0, data_centre: str = ""
    ) -> WaitingRequest:
        """Add a request."""
        request = self.make(priority, at, data_centre)
        self.waiting.add(request)
        return request


@pytest.fixture
def queue():
    return Queue()


def window(account, now, inflation=0.5, short=0, requests=MIN_SAMPLES, work_s=WORK_S):
    """Let some requests start and end within one window; return the change."""
    started_at = now + 0.001
    for n in range(requests):
        account.record_done(work_s, 1.0, now + 0.9 * MIN_WINDOW_S * n / requests)
        account.record_latency(started_at, inflation)
        account.record_end(started_at, n < short)
    return account.adjust(now + MIN_WINDOW_S + 1e-6)


def test_one_window_of_late_answers_sets_no_limit():
    # Guards against a limit after a pause of the process, whose answers all come late.
    account = RoomAccount(0.0)
    assert window(account, 0.0, inflation=5.0) is None
    assert window(account, 0.05) is None
    assert window(account, 0.1, inflation=5.0) is None
    assert account.limit_s == math.inf


@pytest.mark.parametrize(
    ("load", "cause"),
    [
        ({"inflation": 3.0}, RoomChange.LATENCY),
        ({"short": MIN_SAMPLES}, RoomChange.REFUSALS),
    ],
)
def test_lasting_congestion_sets_the_limit_to_what_targets_do(load, cause):
    # Guards against a limit that takes many round trips to fall to the capacity.
    account = RoomAccount(0.0)
    account.add(10.0, 0.0)
    window(account, 0.0, **load)
    assert window(account, 0.05, **load) is cause
    assert account.limit_s == pytest.approx(2 * WORK_S * account.done_per_s)


def test_targets_that_do_nothing_set_no_limit():
    # Guards against a limit while most targets are paused and refuse.
    account = RoomAccount(0.0)
    account.minimum_s = 4 * WORK_S
    for n in range(4):
        for _ in range(MIN_SAMPLES):
            account.record_end(0.1 * n, True)
        assert account.adjust(0.1 * n + MIN_WINDOW_S) is None
    assert account.limit_s == math.inf


def test_the_limit_never_falls_below_its_minimum():
    # Guards against a limit below a fair share of the targets' slots.
    account = RoomAccount(0.0)
    account.minimum_s = 0.5
    account.add(10.0, 0.0)
    for n in range(20):
        window(account, 0.05 * n, inflation=3.0, requests=40)
    assert account.limit_s == 0.5


def test_the_limit_rises_with_use_and_ends_without():
    # Guards against a limit that outlives the overload.
    account = RoomAccount(0.0)
    account.limit_s = 0.1
    account.add(0.1, 0.0)
    assert not account.has_room(WORK_S)
    assert window(account, 0.05) is RoomChange.USE
    raised_s = account.limit_s
    assert raised_s > 0.1
    assert window(account, 0.3) is None
    assert account.limit_s == raised_s
    assert window(account, 0.3 + CALM_S) is RoomChange.CALM
    assert account.limit_s == math.inf


def test_a_request_may_start_if_none_runs():
    # Guards against a heavy request that waits for ever below a low limit.
    account = RoomAccount(0.0)
    account.limit_s = 0.001
    assert account.has_room(1.0)
    account.add(1.0, 0.0)
    assert not account.has_room(0.0005)
    account.remove(1.0)
    assert account.has_room(1.0)


def test_the_work_is_the_unloaded_latency_also_in_a_long_overload():
    # Guards against a floor that rises with the latencies of an overload.
    clock = ManualClock()
    load = RouteLoad(clock, AnswerPace())
    load.objective_s = OBJECTIVE_S
    load.record(0.02, limited=False)
    for n in range(200):
        clock.at = float(n)
        load.record(0.1, limited=True)
    assert load.work_s == pytest.approx(0.02)
    assert load.inflation(0.1) > 1.0


def test_late_requests_count_beside_an_early_one_of_a_slow_route():
    # Guards against an overload that is noticed only once late answers arrive.
    clock = ManualClock()
    slow, fast = RouteLoad(clock, AnswerPace()), RouteLoad(clock, AnswerPace())
    slow.objective_s, fast.objective_s = 10.0, OBJECTIVE_S
    account = RoomAccount(0.0)
    account.add(1.0, 0.0)
    changes = []
    for started_at in (0.0, 0.15):
        account.record_start(f"slow at {started_at}", slow, started_at)
        for n in range(MIN_SAMPLES):
            account.record_start(f"{n} at {started_at}", fast, started_at)
        for n in range(1, 15):
            account.record_done(WORK_S, 1.0, started_at + 0.01 * n)
        changes.append(account.adjust(started_at + 0.15))
    assert changes == [None, RoomChange.LATENCY]


def test_the_order_is_priority_then_objective(queue):
    # Guards against an order by arrival alone.
    for priority in range(3):
        queue.waiting.record_offer(queue.load(priority), 0.0)
        queue.waiting.record_start(queue.load(priority), "", 0.0)
    added = [queue.add(2), queue.add(1, 0.01), queue.add(1), queue.add(0, 0.02)]
    started = []
    while queue.waiting:
        first = queue.waiting.first(0.02)
        queue.waiting.remove(first)
        started.append(first)
    assert started == [added[3], added[2], added[1], added[0]]


def test_a_request_that_can_only_meet_its_deadline_comes_last(queue):
    # Guards against room that goes to answers which are late anyway.
    late, in_time = queue.add(1, -OBJECTIVE_S), queue.add(1, 0.0)
    assert queue.waiting.first(0.0) is in_time
    queue.waiting.remove(in_time)
    assert queue.waiting.first(0.0) is late


def test_a_route_that_is_hardly_served_goes_first(queue):
    # Guards against routes of low priority that starve.
    for n in range(100):
        queue.waiting.record_offer(queue.load(n % 2), 0.0)
    for _ in range(50):
        queue.waiting.record_start(queue.load(0), "", 0.0)
    queue.add(0)
    low = queue.add(1)
    assert queue.waiting.first(0.0) is low
    for _ in range(20):
        queue.waiting.record_start(queue.load(1), "", 0.0)
    assert queue.waiting.first(0.0) is not low


def test_data_centres_get_equal_shares(queue):
    # Guards against one data centre's callers that take all the room.
    started = {"a": 0, "b": 0}
    load = queue.load(1)
    for n in range(60):
        # Of three callers, two are in the same data centre.
        queue.add(1, 0.0001 * n, "b" if n % 3 == 2 else "a")
    for _ in range(30):
        first = queue.waiting.first(0.01)
        queue.waiting.remove(first)
        queue.waiting.record_start(load, first.data_centre, 0.01)
        started[first.data_centre] += 1
    assert abs(started["a"] - started["b"]) <= 2


def test_the_shares_of_data_centres_are_computed_once_for_a_choice(queue, monkeypatch):
    # Guards against a choice whose cost is quadratic in routes and data centres.
    for priority in range(3):
        for data_centre in "abc":
            queue.add(priority, 0.0, data_centre)
            queue.waiting.record_start(queue.load(priority), data_centre, 0.0)
    counted = []
    value = DecayingCount.value

    def record(count, now):
        counted.append(count)
        return value(count, now)

    monkeypatch.setattr(DecayingCount, "value", record)
    queue.waiting.first(0.0)
    started = queue.waiting._started_s.values()
    assert all(counted.count(count) == 1 for count in started)


def test_a_full_queue_refuses_the_least_valuable_request(queue):
    # Guards against a queue of unimportant requests that keeps out important ones.
    for priority in range(3):
        queue.waiting.record_offer(queue.load(priority), 0.0)
        queue.waiting.record_start(queue.load(priority), "", 0.0)
    queue.add(1)
    least = queue.add(2)
    assert queue.waiting.displaced_by(queue.make(0, 0.01), 0.01) is least
    newer = queue.make(2, 0.01)
    assert queue.waiting.displaced_by(newer, 0.01) is newer


def test_only_a_higher_priority_displaces_one_that_has_waited_long(queue):
    # Guards against a request that waits and is displaced again and again.
    for priority in range(2):
        queue.waiting.record_offer(queue.load(priority), 0.0)
        queue.waiting.record_start(queue.load(priority), "", 0.0)
    waiting = queue.add(1)
    now = 0.3 * OBJECTIVE_S
    better = queue.make(1, now)
    better.objective_at = waiting.objective_at - 0.01
    assert queue.waiting.displaced_by(better, 0.01) is waiting
    assert queue.waiting.displaced_by(better, now) is better
    assert queue.waiting.displaced_by(queue.make(0, now), now) is waiting


def test_the_predicted_wait_counts_what_starts_before(queue):
    # Guards against requests that are kept although they can't start in time.
    for priority in range(3):
        queue.waiting.record_offer(queue.load(priority), 0.0)
        queue.waiting.record_start(queue.load(priority), "", 0.0)
    queue.add(0)
    queue.add(1, 0.0)
    queue.add(1, 0.02)
    queue.add(2)
    request = queue.make(1, 0.01)
    assert queue.waiting.work_ahead_s(request, 0.02) == pytest.approx(2 * WORK_S)


@pytest.mark.parametrize(
    ("predicted_s", "left_s", "spread", "expected_s"),
    [
        (0.0, 0.8, 0.5, 0.1),
        (0.2, 0.9, 0.0, 0.2),
        (0.2, 3.0, 1.0, 0.3),
        (math.inf, 0.6, 0.5, 0.2),
        (0.0, 0.15, 0.5, 0.05),
        (0.0, -0.1, 0.5, 0.0),
    ],
)
def test_retry_after_is_spread_and_honoured(predicted_s, left_s, spread, expected_s):
    # Guards against callers that all return together, or that ignore the value.
    assert retry_after_s(predicted_s, left_s, spread) == pytest.approx(expected_s)
