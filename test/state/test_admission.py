"""The admission queue."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from filbertshelf.clock import ManualClock
from filbertshelf.state.admission import AdmissionQueue, PendingRequest, Verdict


def offer(queue, name, caller="x", urgency=5, deadline=1e9):
    return queue.offer(PendingRequest(name, caller, urgency, deadline))


class AdmissionMachine(RuleBasedStateMachine):
    """Checks that each request has exactly one outcome, in order of urgency."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.queue = AdmissionQueue(4, 6, self.clock)
        self.waiting = {}
        self.running = 0
        self.count = 0

    @rule(
        caller=st.sampled_from("abc"), urgency=st.integers(0, 9), left=st.floats(0, 9)
    )
    def _offer(self, caller, urgency, left):
        self.count += 1
        deadline = self.clock.monotonic() + left
        request = PendingRequest(str(self.count), caller, urgency, deadline)
        full = len(self.waiting) == 6
        decision = self.queue.offer(request)
        assert decision.reason
        if decision.verdict is Verdict.ADMITTED:
            assert not self.waiting
            self.running += 1
            assert self.running <= self.queue.limit
        if decision.verdict is Verdict.QUEUED:
            self.waiting[request.request_id] = request
        if decision.displaced:
            assert full
            victim = self.waiting.pop(decision.displaced.request_id)
            least = min(other.urgency for other in self.waiting.values())
            assert victim.urgency <= min(least, request.urgency)
            assert victim is not request

    @rule(duration=st.floats(0.001, 3), reflects_load=st.booleans())
    def _finish(self, duration, reflects_load):
        if not self.running:
            return
        self.running -= 1
        released = self.queue.query_finished(duration, reflects_load)
        for request in released.expired:
            assert request.deadline <= self.clock.monotonic()
            del self.waiting[request.request_id]
        for request in released.start:
            assert request.deadline > self.clock.monotonic()
            del self.waiting[request.request_id]
            self.running += 1
        starts = [request.urgency for request in released.start]
        assert starts == sorted(starts, reverse=True)
        if starts and self.waiting:
            assert starts[-1] >= max(other.urgency for other in self.waiting.values())

    @rule(seconds=st.floats(0, 2))
    def _wait(self, seconds):
        self.clock.advance(seconds)

    @rule(number=st.integers(1, 30))
    def _withdraw(self, number):
        known = self.waiting.pop(str(number), None) is not None
        assert self.queue.withdraw(str(number)) == known

    @invariant()
    def _counts_agree(self):
        assert self.queue.queued == len(self.waiting) <= 6
        assert self.queue.running == self.running
        assert not self.waiting or self.running


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(
    derandomize=True, deadline=None, stateful_step_count=80
)


def test_callers_of_one_urgency_are_served_round_robin():
    # Guards against a caller whose many requests delay those of all others.
    queue = AdmissionQueue(1, 100, ManualClock())
    for i in range(20):
        offer(queue, f"x{i}")
    offer(queue, "y0", "y")
    offer(queue, "y1", "y")
    started = [queue.query_finished(0.01).start[0].request_id for _ in range(5)]
    assert started == ["x1", "y0", "x2", "y1", "x3"]


def test_a_full_queue_displaces_the_least_urgent_or_the_largest_caller():
    # Guards against a caller that excludes others by filling the queue first.
    queue = AdmissionQueue(1, 4, ManualClock())
    for i in range(5):
        offer(queue, f"x{i}")
    assert offer(queue, "x9").verdict is Verdict.REFUSED
    assert offer(queue, "low", "z", 4).verdict is Verdict.REFUSED
    assert offer(queue, "y0", "y").displaced.request_id == "x4"
    assert offer(queue, "y1", "y").displaced.request_id == "x3"
    assert offer(queue, "y2", "y").verdict is Verdict.REFUSED
    assert offer(queue, "top", "x", 9).displaced.urgency == 5


def test_a_request_that_would_miss_its_deadline_is_refused():
    # Guards against requests that wait in the queue until they expire.
    clock = ManualClock()
    queue = AdmissionQueue(2, 1000, clock)
    for i in range(22):
        offer(queue, f"x{i}")
    queue.query_finished(1.0)
    queue.query_finished(0.0, reflects_load=False)
    decision = offer(queue, "late", deadline=5)
    assert decision.verdict is Verdict.REFUSED
    assert "delay" in decision.reason
    assert decision.delay_s == 9.5
    assert offer(queue, "in time", deadline=15).verdict is Verdict.QUEUED
    assert offer(queue, "urgent", "x", 9, deadline=5).verdict is Verdict.QUEUED


def test_a_request_that_expired_in_the_queue_is_not_started():
    clock = ManualClock()
    queue = AdmissionQueue(1, 10, clock)
    for name, deadline in (("a", 9), ("b", 1), ("c", 9)):
        offer(queue, name, deadline=deadline)
    clock.advance(2)
    released = queue.query_finished(0.1)
    assert [request.request_id for request in released.expired] == ["b"]
    assert [request.request_id for request in released.start] == ["c"]


def test_the_running_limit_follows_the_load():
    # Guards against an overloaded instance that runs more and more queries, which all
    # become slower. Up to 16 queries take 10 ms each; with more each takes longer.
    clock = ManualClock()
    queue = AdmissionQueue(128, 10, clock)
    seen = []
    names = (str(i) for i in range(10**6))
    for slots in [1000] * 5 + [16] * 2000 + [1000] * 4000:
        while offer(queue, next(names)).verdict is not Verdict.REFUSED:
            pass
        duration = 0.01 * max(1.0, queue.running / slots)
        clock.advance(duration)
        queue.query_finished(duration)
        seen.append(queue.limit)
    assert min(seen) >= 16
    assert max(seen[1000:2000]) <= 48
    assert seen[-1] > 60


def test_durations_set_by_missing_shards_do_not_lower_the_limit():
    clock = ManualClock()
    queue = AdmissionQueue(64, 10, clock)
    limits = set()
    for i in range(200):
        offer(queue, str(i))
        clock.advance(1)
        queue.query_finished(0.01 if i < 20 else 2.0, reflects_load=i < 20)
        limits.add(queue.limit)
    assert len(limits) == 1
