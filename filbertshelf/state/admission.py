"""The admission queue: by urgency, fair between callers, with early refusal."""

from __future__ import annotations

import enum
from collections import OrderedDict

import attrs

from filbertshelf.clock import Clock
from filbertshelf.state.limits import LatencyFloor

URGENCIES = 10

START_SHARE = 0.125
"""The running limit starts at this part of `max_running` and rises while it is used.

A restarted instance at month-end must not run a month-end's queue at once.
"""

MIN_RUNNING_SHARE = 0.03125
"""The running limit stays above this part of `max_running`.

Slow targets also inflate the latency of queries; the limit must not collapse then.
"""

DECREASE = 0.9
"""The factor of one decrease of the running limit."""

SERVICE_WEIGHT = 0.05
"""The weight of one query in the running average of the service time."""


class Verdict(enum.Enum):
    """What happens to an arriving request."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REFUSED = "refused"


@attrs.frozen
class PendingRequest:
    """A request at admission; the deadline is on the monotonic clock."""

    request_id: str
    caller: str
    urgency: int
    deadline: float


@attrs.frozen
class Decision:
    """The verdict, its reason, and a request refused to make room.

    `delay_s` is the predicted time in the queue.
    """

    verdict: Verdict
    reason: str
    delay_s: float = 0.0
    displaced: PendingRequest | None = None


@attrs.frozen
class Released:
    """The requests to start next, and those whose deadline passed in the queue."""

    start: tuple[PendingRequest, ...]
    expired: tuple[PendingRequest, ...]


class _Level:
    """The requests of one urgency, in rounds over their callers.

    Callers are indexed by how many requests they have, so that the one with the
    most is found in constant time.
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

    def push(self, ticket: PendingRequest) -> None:
        queue = self.callers.setdefault(ticket.caller, OrderedDict())
        queue[ticket.request_id] = ticket
        self._resized(ticket.caller, len(queue) - 1, len(queue))

    def pop_next(self) -> PendingRequest:
        """Remove the oldest request of the caller whose turn it is."""
        caller, queue = next(iter(self.callers.items()))
        ticket = queue[next(iter(queue))]
        self.callers.move_to_end(caller)
        self.remove(ticket)
        return ticket

    def pop_excess(self) -> PendingRequest:
        """Remove the newest request of the caller with the most."""
        caller = next(iter(self.sizes[self.largest]))
        queue = self.callers[caller]
        ticket = queue[next(reversed(queue))]
        self.remove(ticket)
        return ticket

    def remove(self, ticket: PendingRequest) -> None:
        queue = self.callers[ticket.caller]
        del queue[ticket.request_id]
        if not queue:
            del self.callers[ticket.caller]
        self._resized(ticket.caller, len(queue) + 1, len(queue))

    def _resized(self, caller: str, old: int, new: int) -> None:
        self.total += new - old
        if old:
            bucket = self.sizes[old]
            del bucket[caller]
            if not bucket:
                del self.sizes[old]
        if new:
            self.sizes.setdefault(new, OrderedDict())[caller] = None
        # Sizes change by one, so the largest does too.
        if new > self.largest or (old == self.largest and old not in self.sizes):
            self.largest = new


class AdmissionQueue:
    """Decides which requests run, wait or are refused as not run.

    At most `max_queued` requests wait; refusing one takes constant time. Each
    request that is admitted or released to start gets one `finished`.
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
        "_service_s",
        "running",
    )

    def __init__(self, max_running: int, max_queued: int, clock: Clock):
        self._clock = clock
        self._max_running = max_running
        self._max_queued = max_queued
        self._limit = max(1.0, max_running * START_SHARE)
        self._decreased_at = float("-inf")
        self._latency = LatencyFloor(clock)
        self._service_s = 0.0
        self._levels = tuple(_Level() for _ in range(URGENCIES))
        self._by_id: dict[str, PendingRequest] = {}
        self.running = 0

    @property
    def limit(self) -> int:
        """Return how many queries may run at once now."""
        return int(self._limit)

    @property
    def queued(self) -> int:
        """Return how many requests wait."""
        return len(self._by_id)

    def offer(self, ticket: PendingRequest) -> Decision:
        """Admit, queue or refuse an arriving request.

        Request ids are unique among the waiting requests. A displaced request is
        to be answered as not run.
        """
        if ticket.deadline <= self._clock.monotonic():
            return Decision(Verdict.REFUSED, "the deadline has passed")
        if not self._by_id and self.running < self.limit:
            self.running += 1
            return Decision(Verdict.ADMITTED, "below the running limit")
        delay = self._predicted_delay(ticket)
        if self._is_hopeless(ticket, delay):
            reason = "the predicted delay exceeds the deadline"
            return Decision(Verdict.REFUSED, reason, delay)
        displaced = None
        if len(self._by_id) >= self._max_queued:
            level = self._level_to_displace(ticket)
            if level is None:
                return Decision(Verdict.REFUSED, "the queue is full", delay)
            displaced = level.pop_excess()
            del self._by_id[displaced.request_id]
        self._level(ticket).push(ticket)
        self._by_id[ticket.request_id] = ticket
        reason = "waits for a running query" if displaced is None else "displaced one"
        return Decision(Verdict.QUEUED, reason, delay, displaced)

    def finished(self, duration_s: float, whole: bool = True) -> Released:
        """Record the end of a query and return what leaves the queue.

        `whole` is False if missing shards set the duration: it says nothing about
        this instance's load then, and doesn't change the running limit. A duration
        of 0.0 means that the place was not used.
        """
        self.running -= 1
        if duration_s > 0.0:
            old = self._service_s or duration_s
            self._service_s = old + SERVICE_WEIGHT * (duration_s - old)
        if whole:
            self._adapt(duration_s)
        return self._release()

    def withdraw(self, request_id: str) -> bool:
        """Remove a waiting request, whose caller is gone or whose time is over."""
        ticket = self._by_id.pop(request_id, None)
        if ticket is None:
            return False
        self._level(ticket).remove(ticket)
        return True

    def _level(self, ticket: PendingRequest) -> _Level:
        return self._levels[min(max(ticket.urgency, 0), URGENCIES - 1)]

    def _predicted_delay(self, ticket: PendingRequest) -> float:
        """Return the service time of what goes first, over the running limit."""
        urgency = min(max(ticket.urgency, 0), URGENCIES - 1)
        ahead = 0
        for higher in range(urgency + 1, URGENCIES):
            ahead += self._levels[higher].total
        own = self._levels[urgency]
        # In each round before its own, one request of each caller goes first.
        rounds = own.size_of(ticket.caller) + 1
        ahead += min(own.total, rounds * len(own.callers))
        return (ahead + 1) * self._service_s / max(1, self.limit)

    def _is_hopeless(self, ticket: PendingRequest, delay: float) -> bool:
        left = ticket.deadline - self._clock.monotonic()
        return delay + self._latency.floor > left

    def _level_to_displace(self, ticket: PendingRequest) -> _Level | None:
        """Return the level that gives up a request for this one.

        It is the least urgent one if that is less urgent, or of the same urgency
        with a caller that would still wait with more requests than this caller.
        """
        own = self._level(ticket)
        for level in self._levels:
            if level is own:
                mine = own.size_of(ticket.caller) + 1
                return own if own.total and mine < own.largest else None
            if level.total:
                return level
        return None

    def _adapt(self, duration_s: float) -> None:
        used = self.running + 1 >= self.limit
        self._latency.record(duration_s)
        now = self._clock.monotonic()
        if self._latency.inflated():
            # One decrease in a service time: the queries that started before the
            # last decrease still show the load that it answered.
            if now - duration_s >= self._decreased_at:
                self._decreased_at = now
                least = max(1.0, self._max_running * MIN_RUNNING_SHARE)
                self._limit = max(least, self._limit * DECREASE)
        elif used:
            raised = self._limit + 1.0 / self._limit
            self._limit = min(float(self._max_running), raised)

    def _release(self) -> Released:
        start: list[PendingRequest] = []
        expired: list[PendingRequest] = []
        now = self._clock.monotonic()
        while self._by_id and self.running < self.limit:
            level = next(lv for lv in reversed(self._levels) if lv.total)
            ticket = level.pop_next()
            del self._by_id[ticket.request_id]
            if ticket.deadline <= now:
                expired.append(ticket)
            else:
                self.running += 1
                start.append(ticket)
        return Released(tuple(start), tuple(expired))
