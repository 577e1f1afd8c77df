"""The admission queue: ordered by urgency, fair between callers, refusing early."""

from __future__ import annotations

import enum
from collections import OrderedDict

import attrs

from filbertshelf.clock import Clock
from filbertshelf.state.limits import LatencyFloor

URGENCY_LEVELS = 10
"""The number of urgency levels; the highest is the most urgent."""

INITIAL_LIMIT_SHARE = 0.125
"""The initial running limit as a share of `max_running`; it rises while it is used.

An instance that restarts at month-end must not run the whole waiting load at once.
"""

MIN_LIMIT_SHARE = 0.03125
"""The lower bound of the running limit as a share of `max_running`.

Slow targets also raise the latency of queries, and the limit must not collapse then.
"""

DECREASE_FACTOR = 0.9
"""The factor by which one decrease lowers the running limit."""

SERVICE_TIME_WEIGHT = 0.05
"""The weight of one query in the moving average of the service time."""


class Verdict(enum.Enum):
    """The decision about an arriving request."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


@attrs.frozen
class PendingRequest:
    """A request offered for admission; `deadline` is in monotonic seconds."""

    request_id: str
    caller: str
    urgency: int
    deadline: float


@attrs.frozen
class Decision:
    """The verdict, its reason, and the waiting request that was refused to make room.

    `delay_s` is the predicted time in the queue.
    """

    verdict: Verdict
    reason: str
    delay_s: float = 0.0
    displaced: PendingRequest | None = None


@attrs.frozen
class Released:
    """The requests to start now, and those whose deadline passed in the queue."""

    start: tuple[PendingRequest, ...]
    expired: tuple[PendingRequest, ...]


class _UrgencyLevel:
    """The waiting requests of one urgency, served round-robin over their callers.

    Callers are indexed by their number of requests, so that the caller with the most
    is found in constant time.
    """

    __slots__ = ("callers", "largest", "sizes", "total")

    def __init__(self) -> None:
        self.callers: OrderedDict[str, OrderedDict[str, PendingRequest]] = OrderedDict()
        self.sizes: dict[int, OrderedDict[str, None]] = {}
        self.largest = 0
        self.total = 0

    def size_of(self, caller: str) -> int:
        queue = self.callers.get(caller)
        return len(queue) if queue else 0

    def push(self, request: PendingRequest) -> None:
        queue = self.callers.setdefault(request.caller, OrderedDict())
        queue[request.request_id] = request
        self._update_size(request.caller, len(queue) - 1, len(queue))

    def pop_next(self) -> PendingRequest:
        """Remove and return the oldest request of the caller that is next in turn."""
        caller, queue = next(iter(self.callers.items()))
        request = queue[next(iter(queue))]
        self.callers.move_to_end(caller)
        self.remove(request)
        return request

    def pop_excess(self) -> PendingRequest:
        """Remove and return the newest request of the caller with the most requests."""
        caller = next(iter(self.sizes[self.largest]))
        queue = self.callers[caller]
        request = queue[next(reversed(queue))]
        self.remove(request)
        return request

    def remove(self, request: PendingRequest) -> None:
        queue = self.callers[request.caller]
        del queue[request.request_id]
        if not queue:
            del self.callers[request.caller]
        self._update_size(request.caller, len(queue) + 1, len(queue))

    def _update_size(self, caller: str, old: int, new: int) -> None:
        self.total += new - old
        if old:
            bucket = self.sizes[old]
            del bucket[caller]
            if not bucket:
                del self.sizes[old]
        if new:
            self.sizes.setdefault(new, OrderedDict())[caller] = None
        # A size changes by one, so the largest changes by at most one.
        if new > self.largest or (old == self.largest and old not in self.sizes):
            self.largest = new


class AdmissionQueue:
    """Decides which requests run, wait, or are refused as not run.

    At most `max_queued` requests wait, and refusing one takes constant time. The user
    calls `query_finished` once for each request that was admitted or released to start.
    """

    __slots__ = (
        "_by_id",
        "_clock",
        "_decreased_at",
        "_latency",
        "_levels",
        "_limit",
        "_max_queued",
        "_max_running",
        "_service_time_s",
        "running",
    )

    def __init__(self, max_running: int, max_queued: int, clock: Clock):
        self._clock = clock
        self._max_running = max_running
        self._max_queued = max_queued
        self._limit = max(1.0, max_running * INITIAL_LIMIT_SHARE)
        self._decreased_at = float("-inf")
        self._latency = LatencyFloor(clock)
        self._service_time_s = 0.0
        self._levels = tuple(_UrgencyLevel() for _ in range(URGENCY_LEVELS))
        self._by_id: dict[str, PendingRequest] = {}
        self.running = 0

    @property
    def limit(self) -> int:
        """Return how many queries may currently run concurrently."""
        return int(self._limit)

    @property
    def queued(self) -> int:
        """Return the number of waiting requests."""
        return len(self._by_id)

    def offer(self, request: PendingRequest) -> Decision:
        """Admit, queue or refuse an arriving request.

        Request ids must be unique among the waiting requests. The user must answer a
        displaced request as not run.
        """
        if request.deadline <= self._clock.monotonic():
            return Decision(Verdict.REFUSED, "the deadline has passed")
        if not self._by_id and self.running < self.limit:
            self.running += 1
            return Decision(Verdict.ADMITTED, "below the running limit")
        delay = self._predicted_delay(request)
        if self._would_miss_deadline(request, delay):
            reason = "the predicted delay exceeds the deadline"
            return Decision(Verdict.REFUSED, reason, delay)
        displaced = None
        if len(self._by_id) >= self._max_queued:
            level = self._level_to_displace(request)
            if level is None:
                return Decision(Verdict.REFUSED, "the queue is full", delay)
            displaced = level.pop_excess()
            del self._by_id[displaced.request_id]
        self._level(request).push(request)
        self._by_id[request.request_id] = request
        reason = "waits for a running query" if displaced is None else "displaced one"
        return Decision(Verdict.QUEUED, reason, delay, displaced)

    def query_finished(self, duration_s: float, reflects_load: bool = True) -> Released:
        """Record the end of a query and return the requests that leave the queue.

        `reflects_load` is False if missing shards determined the duration. It then says
        nothing about the load of this instance and doesn't change the running limit.
        A duration of 0.0 means that the admitted request never ran.
        """
        self.running -= 1
        if duration_s > 0.0:
            old = self._service_time_s or duration_s
            self._service_time_s = old + SERVICE_TIME_WEIGHT * (duration_s - old)
        if reflects_load:
            self._adapt(duration_s)
        return self._release()

    def withdraw(self, request_id: str) -> bool:
        """Remove a waiting request whose caller has left or whose time is over.

        Returns whether the request was waiting.
        """
        request = self._by_id.pop(request_id, None)
        if request is None:
            return False
        self._level(request).remove(request)
        return True

    def _level(self, request: PendingRequest) -> _UrgencyLevel:
        return self._levels[min(max(request.urgency, 0), URGENCY_LEVELS - 1)]

    def _predicted_delay(self, request: PendingRequest) -> float:
        """Return the service time of the requests ahead over the running limit."""
        urgency = min(max(request.urgency, 0), URGENCY_LEVELS - 1)
        ahead = 0
        for higher in range(urgency + 1, URGENCY_LEVELS):
            ahead += self._levels[higher].total
        own = self._levels[urgency]
        # In each round up to its own, one request of each caller is served first.
        rounds = own.size_of(request.caller) + 1
        ahead += min(own.total, rounds * len(own.callers))
        return (ahead + 1) * self._service_time_s / max(1, self.limit)

    def _would_miss_deadline(self, request: PendingRequest, delay: float) -> bool:
        left = request.deadline - self._clock.monotonic()
        return delay + self._latency.floor > left

    def _level_to_displace(self, request: PendingRequest) -> _UrgencyLevel | None:
        """Return the level that must give up a waiting request for this one, if any.

        That is the least urgent level with requests if it is less urgent than this
        request. A level of the same urgency gives one up only if one of its callers
        would still have more waiting requests than the caller of this one.
        """
        own = self._level(request)
        for level in self._levels:
            if level is own:
                own_size = own.size_of(request.caller) + 1
                return own if own.total and own_size < own.largest else None
            if level.total:
                return level
        return None

    def _adapt(self, duration_s: float) -> None:
        at_limit = self.running + 1 >= self.limit
        self._latency.record(duration_s)
        now = self._clock.monotonic()
        if self._latency.is_inflated():
            # Queries that started before the last decrease still reflect the load
            # that caused it, so there is at most one decrease per service time.
            if now - duration_s >= self._decreased_at:
                self._decreased_at = now
                minimum = max(1.0, self._max_running * MIN_LIMIT_SHARE)
                self._limit = max(minimum, self._limit * DECREASE_FACTOR)
        elif at_limit:
            raised = self._limit + 1.0 / self._limit
            self._limit = min(float(self._max_running), raised)

    def _release(self) -> Released:
        start: list[PendingRequest] = []
        expired: list[PendingRequest] = []
        now = self._clock.monotonic()
        while self._by_id and self.running < self.limit:
            level = next(lv for lv in reversed(self._levels) if lv.total)
            request = level.pop_next()
            del self._by_id[request.request_id]
            if request.deadline <= now:
                expired.append(request)
            else:
                self.running += 1
                start.append(request)
        return Released(tuple(start), tuple(expired))
