"""Admission by cost: the capacity of a group of services and the requests that wait.

A group is the set of services that a request uses: the shards of a query, or one
service. Work is measured in seconds that one target spends on a request. All times are
monotonic seconds.
"""

from __future__ import annotations

import bisect
import enum
import math
import statistics
from collections.abc import Collection, Iterator

import attrs

from filbertshelf.clock import Clock
from filbertshelf.state.limits import AVERAGE_WEIGHT, INFLATION_FACTOR, LatencyFloor
from filbertshelf.state.routing import Route

DEFAULT_WORK_S = 0.02
"""The assumed work of a route before its first answer."""

MIN_WINDOW_S = 0.05
"""The shortest time between two judgements, so that some requests that started after
the last one have answers."""

MIN_SAMPLES = 10
"""The fewest requests of a judgement, whose median a few slow ones must not decide."""

MIN_OBJECTIVE_SHARE = 0.25
"""A latency below this share of the objective does no harm, however it compares with
the floor: the slower shards still answer in time. Jitter of a busy machine may double a
latency of some milliseconds."""

MAX_OBJECTIVE_SHARE = 0.5
MIN_INFLATION_FACTOR = 1.5
"""A latency above this share of the objective leaves too little time for the slower
shards, and is a sign of load if it is also above this multiple of the floor."""

LATE_INFLATION_FACTOR = 1.25
"""A late answer is a sign of load if half of the shards took this multiple of the
floor. If they took less, it was late because of some slow shards."""

CONGESTED_WINDOWS = 2
"""Consecutive congested windows before a group without a limit gets one. The answers
that arrive late after a pause or a broken link are all in one window."""

CALM_S = 5.0
"""A limit ends if for so long no request waited and the targets were not congested.
An old limit would make calm traffic wait when some targets pause."""

STALL_FACTOR = 2.0
"""If no target answers for this multiple of the work (and `MIN_WINDOW_S`), a pause or a
failed link is the cause; overloaded targets answer all the time."""

MIN_BUSY_SHARE = 0.1
"""Targets that do less than this share of what their slots can do don't refuse or
delay requests because of this instance's load; most are paused or out of reach."""

MAX_SHORT_SHARE = 0.1
"""The highest share of a window's requests that may fail for lack of capacity without
being taken for overload."""

DECREASE_FACTOR = 0.85
"""The factor of the smallest decrease of the limit after a congested window."""

MAX_DECREASE_FACTOR = 0.5
"""The factor of the largest decrease, since one window may count too little work."""

INCREASE_SHARE = 0.15
MIN_INCREASE = 0.04
"""One increase as a share of the lowest limit, and at least as a share of the limit.
Equal steps of all instances make their limits equal."""

MAX_WAITING = 256
"""The maximum number of waiting requests of a group."""

FAIR_RATIO = 0.4
"""A route whose ratio of started to offered requests is below this share of the ratio
of all routes goes first; it is above the quarter that is promised, as a margin."""

OVERLOAD_RATIO = 0.8
"""If a lower ratio of the requests was not refused, one that has waited for long will
probably give way to others."""

HALF_LIFE_S = 2.0
"""The time after which offered and started requests count half."""

TAIL_FACTOR = 2.0
"""The assumed time until a query is answered, as a multiple of its work."""

MIN_RETRY_AFTER_S = 0.1
"""The shortest time that a refused caller is asked to wait if it has enough time; one
that came back sooner would probably find the same queue."""

MAX_RETRY_SPREAD = 0.5
"""The highest random extension of the wait, as a share of it, so that refused callers
don't come back together."""

HONOURED_SHARE = 1 / 3
"""The share of their remaining time that callers wait before they come back."""

SAFETY_FACTOR = 1.2
"""A request counts as able to meet its objective if this multiple of the typical time
is left. With the typical time alone, half of those that barely fit would be late."""


class RoomChange(enum.Enum):
    """Why a limit changed."""

    REFUSALS = "targets refused"
    LATENCY = "latency is inflated"
    USE = "the limit is used"
    CALM = "the targets were not overloaded for a while"


class AnswerPace:
    """The average time until enough shards have answered, as a multiple of the work.

    All routes of a group share it, so that it is known for one that was not served.
    """

    __slots__ = ("factor",)

    def __init__(self) -> None:
        self.factor = TAIL_FACTOR

    def record(self, factor: float) -> None:
        """Add one answer."""
        self.factor += AVERAGE_WEIGHT * (factor - self.factor)


class RouteLoad:
    """The typical latencies of a route's targets, and its ratio of started requests.

    The latency of a query is the time until half of its shards have answered, so that
    some slow shards or paused targets don't count as load.
    """

    __slots__ = (
        "_floor",
        "_lowered_s",
        "_pace",
        "average_s",
        "objective_s",
        "offered",
        "priority",
        "ran",
    )

    def __init__(self, clock: Clock, pace: AnswerPace):
        self._pace = pace
        self.objective_s = 0.0
        self.priority = 0
        self.average_s = 0.0
        self.offered = DecayingCount()
        self.ran = DecayingCount()
        self._floor = LatencyFloor(clock)
        self._lowered_s = math.inf

    @property
    def work_s(self) -> float:
        """Return the typical unloaded latency per target in seconds."""
        return min(self._floor.floor, self._lowered_s) or DEFAULT_WORK_S

    @property
    def typical_s(self) -> float:
        """Return how long a request of the route takes at present."""
        return self._pace.factor * self.work_s

    def record(self, seconds: float, limited: bool) -> None:
        """Add a latency; a `limited` group says nothing about the unloaded latency."""
        average = self.average_s
        self.average_s += AVERAGE_WEIGHT * (seconds - average) if average else seconds
        if not limited or not self._floor.floor:
            self._lowered_s = math.inf
            self._floor.record(seconds)
        else:
            self._lowered_s = min(self._lowered_s, self.average_s)

    def inflation(self, seconds: float) -> float:
        """Return a latency as a multiple of the highest one that is no sign of load."""
        highest_s = max(
            MAX_OBJECTIVE_SHARE * self.objective_s, MIN_INFLATION_FACTOR * self.work_s
        )
        harmless_s = max(
            min(highest_s, INFLATION_FACTOR * self.work_s),
            MIN_OBJECTIVE_SHARE * self.objective_s,
        )
        return seconds / harmless_s


class DecayingCount:
    """A number of requests in which old ones count less."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._at = -math.inf

    def add(self, now: float, count: float = 1.0) -> None:
        """Add requests."""
        self._value = max(0.0, self.value(now) + count)
        self._at = now

    def value(self, now: float) -> float:
        """Return the number."""
        if not self._value:
            return 0.0
        return self._value * 0.5 ** ((now - self._at) / HALF_LIFE_S)


class RoomAccount:
    """The limit of one group on the work in flight from this instance.

    The group has no limit until targets are overloaded, so that nothing waits before.
    """

    __slots__ = (
        "_answered_at",
        "_busy_at",
        "_congested_at",
        "_congested_windows",
        "_done",
        "_done_s",
        "_ended",
        "_pending",
        "_ratios",
        "_short",
        "_stalled",
        "_used",
        "_window_at",
        "done_per_s",
        "limit_s",
        "minimum_s",
        "running_s",
        "work_s",
    )

    def __init__(self, now: float):
        self.limit_s = math.inf
        self.minimum_s = 0.0
        """The lowest limit: the fair share of the targets' slots."""
        self.running_s = 0.0
        self.done_per_s = 0.0
        """The work a second that targets have done of late, 0.0 if it is unknown."""
        self.work_s = DEFAULT_WORK_S
        """The work of the average request of late."""
        self._pending: dict[RouteLoad, dict[object, float]] = {}
        """For each route, when the requests started of which less than half of the
        shards have answered, the first one first."""
        self._congested_windows = 0
        self._answered_at = now
        self._busy_at = now
        """When a request last had to wait or the targets were congested."""
        self._congested_at = now
        self._start_window(now)

    def _start_window(self, now: float) -> None:
        self._window_at = now
        self._ratios: list[float] = []
        self._ended = 0
        self._short = 0
        self._done = 0.0
        self._stalled = False
        self._done_s = 0.0
        self._used = False

    @property
    def limited(self) -> bool:
        """Return whether the group has a limit above its lowest one."""
        return self.minimum_s < self.limit_s < math.inf

    def has_room(self, work_s: float) -> bool:
        """Return whether a request may start; one always may if none runs."""
        if self.fits(work_s):
            return True
        self._used = True
        return False

    def fits(self, work_s: float) -> bool:
        """Return what `has_room` would return, without recording a use of the limit."""
        return self.running_s <= 0.0 or self.running_s + work_s <= self.limit_s

    def add(self, work_s: float, now: float) -> None:
        """Count work that starts."""
        if not self.running_s:
            self._answered_at = now
        self.running_s += work_s

    def remove(self, work_s: float) -> None:
        """Count work that ends."""
        # Rounding errors must not add up to running work when nothing runs.
        self.running_s = max(0.0, self.running_s - work_s)
        if self.running_s < 1e-9:
            self.running_s = 0.0

    def record_start(self, key: object, load: RouteLoad, now: float) -> None:
        """Record that a request has started; `key` is any object that stands for it."""
        self._pending.setdefault(load, {})[key] = now

    def forget(self, key: object, load: RouteLoad) -> None:
        """Record that a request waits for no more answers."""
        pending = self._pending.get(load)
        if pending is not None:
            pending.pop(key, None)
            if not pending:
                del self._pending[load]

    def started_of_late(self, started_at: float) -> bool:
        """Return whether a request has started since the limit was last judged."""
        return started_at >= self._window_at

    def record_done(self, work_s: float, requests: float, now: float) -> None:
        """Count work that targets have done; a shard is a part of a request."""
        self._check_stall(now)
        self._answered_at = now
        self._done += requests
        self._done_s += work_s

    def record_latency(self, started_at: float, inflation: float) -> None:
        """Record that half of a request's shards have answered."""
        # Requests that started before the last change still reflect the load then.
        if started_at >= self._window_at:
            self._ratios.append(inflation)

    def record_end(self, started_at: float, short: bool) -> None:
        """Record the end of a request; a `short` one found too few free targets."""
        if started_at >= self._congested_at:
            self._ended += 1
            self._short += short

    def adjust(self, now: float) -> RoomChange | None:
        """Change the limit if a round trip is over, and return why it changed."""
        elapsed_s = now - self._window_at
        if elapsed_s < MIN_WINDOW_S:
            return None
        late = self._late_ratios(now)
        if max(len(self._ratios) + len(late), self._ended) < MIN_SAMPLES:
            return None
        self._ratios += late
        self.done_per_s = self._done_s / elapsed_s
        if self._done:
            self.work_s = self._done_s / self._done
        self._check_stall(now)
        cause = self._congestion()
        used = self._used
        self._start_window(now)
        if used or cause is not None:
            self._busy_at = now
        if cause is None:
            self._congested_windows = 0
            return self._raise(used, now)
        self._congested_windows += 1
        self._congested_at = now
        return self._lower(cause)

    def _late_ratios(self, now: float) -> list[float]:
        """Return the inflation of requests that are late and still wait for answers."""
        ratios = []
        for load, pending in self._pending.items():
            for started_at in pending.values():
                if started_at >= self._window_at:
                    inflation = load.inflation(now - started_at)
                    if inflation <= 1.0:
                        # Later requests of the same route are not late either.
                        break
                    ratios.append(inflation)
        return ratios

    def _check_stall(self, now: float) -> None:
        """Record whether no target has answered for a while."""
        longest_s = max(MIN_WINDOW_S, STALL_FACTOR * self.work_s)
        if self.running_s and now - self._answered_at > longest_s:
            self._stalled = True

    def _congestion(self) -> RoomChange | None:
        if self._stalled:
            return None
        if self.done_per_s * self.work_s < MIN_BUSY_SHARE * self.minimum_s:
            return None
        if self._ended and self._short > MAX_SHORT_SHARE * self._ended:
            return RoomChange.REFUSALS
        if self._ratios and statistics.median(self._ratios) > 1.0:
            return RoomChange.LATENCY
        return None

    def _lower(self, cause: RoomChange) -> RoomChange | None:
        before = self.limit_s
        # Congested targets do as much as they can. This is the work in flight if each
        # request then takes the highest latency that is no sign of congestion.
        enough_s = self.done_per_s * INFLATION_FACTOR * self.work_s
        if before < math.inf:
            least_s = MAX_DECREASE_FACTOR * before
            lowered_s = max(least_s, min(DECREASE_FACTOR * before, enough_s))
        elif self._congested_windows >= CONGESTED_WINDOWS:
            lowered_s = min(self.running_s, enough_s)
        else:
            return None
        self.limit_s = max(self.minimum_s, lowered_s)
        return cause if self.limit_s < before else None

    def _raise(self, used: bool, now: float) -> RoomChange | None:
        if self.limit_s == math.inf:
            return None
        if used:
            self.limit_s += max(
                INCREASE_SHARE * self.minimum_s, MIN_INCREASE * self.limit_s
            )
            return RoomChange.USE
        if now - self._busy_at >= CALM_S:
            self.limit_s = math.inf
            return RoomChange.CALM
        return None

    def drain_per_s(self) -> float:
        """Return the work a second that becomes free for waiting requests."""
        if self.done_per_s:
            return self.done_per_s
        in_flight_s = max(self.minimum_s, min(self.limit_s, self.running_s))
        return in_flight_s / (INFLATION_FACTOR * self.work_s)


@attrs.define(eq=False)
class WaitingRequest:
    """A request that waits until its group has room."""

    route: str
    data_centre: str
    priority: int
    objective_at: float
    """Until when an answer is within the objective and the caller's deadline."""
    protected_at: float
    """From then on no newer request of the same priority displaces it."""
    load: RouteLoad

    @property
    def work_s(self) -> float:
        """Return the work of the request."""
        return self.load.work_s

    def meets_objective(self, now: float) -> bool:
        """Return whether it can be answered within the objective if it starts now."""
        return now + SAFETY_FACTOR * self.load.typical_s <= self.objective_at


Rank = tuple[bool, int, bool, bool, float, float]
"""The order of waiting requests; the lowest one starts first."""


class WaitingRequests:
    """The waiting requests of one group, in the order of the cost of refusing them."""

    __slots__ = (
        "_by_source",
        "_count",
        "_loads",
        "_offered",
        "_ran",
        "_started_s",
        "pace",
    )

    def __init__(self) -> None:
        self.pace = AnswerPace()
        self._offered = DecayingCount()
        self._ran = DecayingCount()
        self._by_source: dict[tuple[str, str], list[WaitingRequest]] = {}
        """The requests of each route and data centre, the earliest objective first."""
        self._count = 0
        self._loads: dict[str, RouteLoad] = {}
        self._started_s: dict[str, DecayingCount] = {}
        """The work that was started for each data centre of callers."""

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[WaitingRequest]:
        for queue in self._by_source.values():
            yield from queue

    def load(self, route: Route, clock: Clock) -> RouteLoad:
        """Return the load of a route; a new one starts without statistics."""
        load = self._loads.get(route.name)
        if load is None:
            load = self._loads[route.name] = RouteLoad(clock, self.pace)
        load.objective_s = route.latency_objective_s
        load.priority = route.priority
        return load

    def known_load(self, route: Route, clock: Clock) -> RouteLoad:
        """Return the load of a route, without storing the one of a new route."""
        return self._loads.get(route.name) or RouteLoad(clock, self.pace)

    def heaviest_s(self) -> float:
        """Return the work of the heaviest route."""
        return max((load.work_s for load in self._loads.values()), default=0.0)

    def mean_work_s(self, now: float) -> float:
        """Return the work of an average request."""
        offered = self._offered.value(now)
        if not offered:
            return DEFAULT_WORK_S
        loads = self._loads.values()
        return sum(load.work_s * load.offered.value(now) for load in loads) / offered

    def record_offer(self, load: RouteLoad, now: float) -> None:
        """Count a request that arrives."""
        load.offered.add(now)
        self._offered.add(now)

    def record_failure(self, load: RouteLoad, now: float) -> None:
        """Count a request that was started in vain, as if it had not been."""
        load.ran.add(now, -1.0)
        self._ran.add(now, -1.0)

    def record_start(self, load: RouteLoad, data_centre: str, now: float) -> None:
        """Count a request that starts."""
        load.ran.add(now)
        self._ran.add(now)
        count = self._started_s.setdefault(data_centre, DecayingCount())
        count.add(now, load.work_s)

    def displaced_by(self, request: WaitingRequest, now: float) -> WaitingRequest:
        """Return the request that a full queue refuses, which may be the new one."""
        over_share = self._over_share(now, request.data_centre)
        own_rank = self._rank(request, now, over_share)
        worst, worst_rank = request, own_rank
        for queue in self._by_source.values():
            for waiting in reversed(queue):
                is_protected = now > waiting.protected_at
                if is_protected and waiting.priority <= request.priority:
                    continue
                rank = self._rank(waiting, now, over_share)
                if rank > worst_rank:
                    worst, worst_rank = waiting, rank
                break
        return worst

    def add(self, request: WaitingRequest) -> None:
        """Add a request."""
        queue = self._by_source.setdefault((request.route, request.data_centre), [])
        bisect.insort(queue, request, key=_objective_at)
        self._count += 1

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request and return whether it was waiting."""
        source = (request.route, request.data_centre)
        queue = self._by_source.get(source, [])
        if request not in queue:
            return False
        queue.remove(request)
        if not queue:
            del self._by_source[source]
        self._count -= 1
        return True

    def lightest_s(self) -> float:
        """Return the work of the lightest waiting request; there must be one."""
        return min(queue[0].work_s for queue in self._by_source.values())

    def first(self, now: float) -> WaitingRequest:
        """Return the request that starts next; there must be one."""
        over_share = self._over_share(now)
        return min(
            self._heads(now), key=lambda request: self._rank(request, now, over_share)
        )

    def _heads(self, now: float) -> Iterator[WaitingRequest]:
        """Yield the candidates of each route and data centre.

        That is the one with the earliest objective of those that can still meet it, or
        the first one if none can.
        """
        for queue in self._by_source.values():
            in_time = (request for request in queue if request.meets_objective(now))
            yield next(in_time, queue[0])

    def is_overloaded(self, now: float) -> bool:
        """Return whether many of the requests that arrived of late were refused."""
        kept = self._ran.value(now) + self._count
        return kept < OVERLOAD_RATIO * self._offered.value(now)

    def work_ahead_s(self, request: WaitingRequest, now: float) -> float:
        """Return the work of the waiting requests that start before this one."""
        # The shares of data centres don't count in the compared part of the rank.
        rank = self._rank(request, now, frozenset())
        ahead_s = 0.0
        for queue in self._by_source.values():
            count = bisect.bisect_left(queue, request.objective_at, key=_objective_at)
            head_rank = self._rank(queue[0], now, frozenset())
            if head_rank[:3] < rank[:3]:
                count = len(queue)
            elif head_rank[:3] > rank[:3]:
                count = 0
            ahead_s += count * queue[0].work_s
        return ahead_s

    def _rank(
        self, request: WaitingRequest, now: float, over_share: Collection[str]
    ) -> Rank:
        return (
            not self._is_underserved(request.load, now),
            request.priority,
            not request.meets_objective(now),
            request.data_centre in over_share,
            request.objective_at,
            request.work_s,
        )

    def _is_underserved(self, load: RouteLoad, now: float) -> bool:
        fair = FAIR_RATIO * self._ran.value(now) * load.offered.value(now)
        return load.ran.value(now) * self._offered.value(now) < fair

    def _over_share(self, now: float, *also: str) -> Collection[str]:
        """Return the data centres for which more than a fair share was started.

        Only the data centres of waiting requests and those in `also` have a share.
        """
        waiting = {data_centre for _, data_centre in self._by_source}.union(also)
        if len(waiting) < 2:
            return frozenset()
        started = {
            name: count.value(now)
            for name, count in self._started_s.items()
            if name in waiting
        }
        fair_s = sum(started.values()) / len(waiting)
        return {name for name, started_s in started.items() if started_s > fair_s}


def _objective_at(request: WaitingRequest) -> float:
    return request.objective_at


def retry_after_s(predicted_s: float, left_s: float, spread: float) -> float:
    """Return after how many seconds a refused caller should come back.

    `predicted_s` is the time until there is room, `left_s` the caller's remaining
    time, and `spread` is random, from 0 to 1, so that callers don't return together.
    """
    after_s = max(MIN_RETRY_AFTER_S, predicted_s * (1.0 + MAX_RETRY_SPREAD * spread))
    return max(0.0, min(after_s, HONOURED_SHARE * left_s))
