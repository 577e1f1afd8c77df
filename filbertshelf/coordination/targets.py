"""The targets of the publication, with their links and observed state."""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Callable, Collection, Mapping, Sequence

import attrs
import mode

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.metrics import Metrics
from filbertshelf.settings import Settings
from filbertshelf.state.limits import AdaptiveLimit, connection_quota
from filbertshelf.state.outcome import Attempt, Reason, Result
from filbertshelf.state.publication import Fleet, Publication
from filbertshelf.state.replica_choice import choose_random, choose_replica
from filbertshelf.state.replicas import ReplicaChoice, TargetState
from filbertshelf.state.target import Target
from filbertshelf.transport.target_link import Call, TargetLink, TargetReport

# The rate for all idle targets together, so the cost doesn't grow with their number.
PROBES_PER_S = 5.0

Chooser = Callable[
    [Sequence[TargetState], random.Random, Collection[str]], ReplicaChoice | None
]
CHOOSERS: Mapping[str, Chooser] = {
    "adaptive": choose_replica,
    "baseline": choose_random,
}


class DrainSource(enum.Enum):
    """The source of the information that a target is draining."""

    TARGET = "target"
    LIST = "instance list"
    NOTICE = "notice of a peer"


class FixedLimit:
    """The concurrency limit of the baseline strategy: just the connection quota."""

    def __init__(self, limit: int):
        self.limit = limit
        self._in_flight = 0

    def set_quota(self, quota: int) -> None:
        """Apply the quota of a new publication."""
        self.limit = quota

    def try_start(self) -> bool:
        """Count a started exchange, or return False if the limit is reached."""
        if self._in_flight >= self.limit:
            return False
        self._in_flight += 1
        return True

    def finished(self, latency_s: float, shed: bool = False) -> None:
        """Count the end of an exchange; the arguments are not used."""
        self._in_flight -= 1

    def cancelled(self) -> None:
        """Count the end of a cancelled exchange."""
        self._in_flight -= 1


@attrs.define(eq=False)
class TargetEntry:
    """A target with its link, observed state and concurrency limit."""

    target: Target
    link: TargetLink | None
    state: TargetState
    limiter: AdaptiveLimit | FixedLimit
    quota: int
    drain_sources: set[DrainSource] = attrs.field(factory=set)
    died_at: float = float("-inf")


class Targets(mode.Service):
    """Owns the links to all targets and updates them to match the publication."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        on_draining: Callable[[str], None] = lambda name: None,
        on_died: Callable[[str], None] = lambda name: None,
        paused: Callable[[], bool] = lambda: False,
    ):
        super().__init__()
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._entries: dict[str, TargetEntry] = {}
        self._leaving: frozenset[str] = frozenset()
        self._publications: asyncio.Queue[Publication] = asyncio.Queue()
        self._chooser = CHOOSERS[cfg.strategy]
        self._adaptive = cfg.strategy == "adaptive"
        self.on_draining = on_draining
        self.on_died = on_died
        self._paused = paused

    def enqueue_publication(self, publication: Publication) -> None:
        """Queue a publication, to be applied by a task of this service."""
        self._publications.put_nowait(publication)

    @mode.Service.task
    async def _apply_publications(self) -> None:
        while not self.should_stop:
            publication = await self._publications.get()
            await self.apply_publication(publication)

    async def apply_publication(self, publication: Publication) -> None:
        """Add, replace and remove links to match the publication."""
        for name in list(self._entries.keys() - publication.targets.keys()):
            await self._remove(name, "the publication dropped it")
        for target in publication.targets.values():
            await self._add_or_update(target, publication.fleet)

    async def _add_or_update(self, target: Target, fleet: Fleet) -> None:
        quota = connection_quota(target, fleet)
        entry = self._entries.get(target.name)
        if entry is None:
            events.emit(events.TARGET_ADDED, target=target.name, address=target.address)
            await self._connect(self._make_entry(target, quota))
        elif entry.target.address != target.address:
            await self._remove(target.name, "its address changed")
            await self._add_or_update(target, fleet)
        elif (entry.target, entry.quota) != (target, quota):
            # The target's process is the same, so its observed state stays valid.
            old_link = entry.link
            entry.limiter.set_quota(quota)
            entry.state.target = target
            await self._connect(attrs.evolve(entry, target=target, quota=quota))
            old_link.move_waiting(self._entries[target.name].link)
            self.add_future(self.remove_dependency(old_link))

    def _make_entry(self, target: Target, quota: int) -> TargetEntry:
        limit = AdaptiveLimit(target.slots, quota, self._clock)
        limiter = limit if self._adaptive else FixedLimit(quota)
        state = TargetState(target, self._clock, self._rng)
        return TargetEntry(target, None, state, limiter, quota)

    async def _connect(self, entry: TargetEntry) -> None:
        """Create the entry's link and add the entry to the table."""
        target = entry.target
        entry.link = TargetLink(
            target.name,
            target.address,
            entry.quota,
            self._clock,
            entry.limiter,
            lambda report: self._on_report(target.name, report),
        )
        self._entries[target.name] = entry
        if target.name in self._leaving:
            self.drain(target.name, DrainSource.LIST)
        await self.add_runtime_dependency(entry.link)
        self.add_future(entry.link.warm_up())

    async def _remove(self, name: str, reason: str) -> None:
        entry = self._entries.pop(name)
        events.emit(events.TARGET_REMOVED, target=name, reason=reason)
        # The link waits for its in-flight calls, so it is stopped in the background.
        self.add_future(self.remove_dependency(entry.link))

    @mode.Service.task
    async def _probe_idle(self) -> None:
        """Probe idle targets, so that draining is detected without load.

        The rate is constant, so that the cost doesn't grow with the number of targets.
        Instances probe in different orders and notify each other of draining targets.
        """
        order: list[str] = []
        while not self.should_stop:
            await self._clock.sleep((0.5 + self._rng.random()) / PROBES_PER_S)
            if not order:
                order = list(self._entries)
                self._rng.shuffle(order)
            entry = self._entries.get(order.pop()) if order else None
            if entry is not None and not entry.link.load:
                self.add_future(entry.link.probe())

    def choose_replica(
        self, replicas: Sequence[str], exclude: Collection[str]
    ) -> ReplicaChoice | None:
        """Return the replica for a sub-request, or None if none is available."""
        entries = self._entries
        states = [entries[name].state for name in replicas if name in entries]
        return self._chooser(states, self._rng, exclude)

    def submit(self, name: str, call: Call) -> None:
        """Send a call to a target.

        `call.on_done` is called exactly once, possibly before this method returns.
        """
        entry = self._entries.get(name)
        if entry is None:
            call.on_done(call, Attempt(name, Result.NOT_RUN, Reason.NO_REPLICA))
            return
        on_done = call.on_done

        def observed(call: Call, attempt: Attempt) -> None:
            self._observe(entry, call, attempt)
            on_done(call, attempt)

        call.on_done = observed
        entry.state.attempt_started()
        entry.link.submit(call)

    def cancel(self, name: str, call: Call) -> None:
        """Cancel a call whose answer is no longer needed."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.link.cancel(call)
        # A link that is being removed must not write the call either.
        call.cancelled = True

    def _observe(self, entry: TargetEntry, call: Call, attempt: Attempt) -> None:
        # The time in this instance's queue says nothing about the target.
        latency = self._clock.monotonic() - call.started_at if call.started_at else 0.0
        reason = attempt.reason
        if attempt.result is Result.UNKNOWN and self._paused():
            # Failures during a pause of this process say nothing about the target.
            reason = Reason.PAUSED
        entry.state.attempt_finished(attempt.result, reason, latency)
        if attempt.reason is Reason.DRAINING:
            self.drain(entry.target.name, DrainSource.TARGET)
        elif attempt.reason is Reason.CONNECTION_LOST:
            self._record_death(entry, call)

    def _record_death(self, entry: TargetEntry, call: Call) -> None:
        # All calls in flight are lost when a target dies; they count as one death.
        if call.started_at > entry.died_at:
            entry.died_at = self._clock.monotonic()
            events.emit(events.TARGET_DIED, target=entry.target.name)
            self.on_died(entry.target.name)

    def _on_report(self, name: str, report: TargetReport) -> None:
        entry = self._entries.get(name)
        if entry is None:
            return
        if report.draining:
            self.drain(name, DrainSource.TARGET)
        else:
            self.undrain(name, DrainSource.TARGET, DrainSource.NOTICE)
        entry.state.observe_report(report.load, report.draining)

    def set_leaving(self, leaving: Collection[str]) -> None:
        """Drain the targets that are leaving according to the instance list.

        The list may contain targets that a later publication adds.
        """
        self._leaving = frozenset(leaving)
        for name, entry in self._entries.items():
            if name in leaving:
                self.drain(name, DrainSource.LIST)
            elif DrainSource.LIST in entry.drain_sources:
                self.undrain(name, DrainSource.LIST)

    def drain(self, name: str, source: DrainSource) -> None:
        """Send no new calls to a target until all sources withdraw the drain."""
        entry = self._entries.get(name)
        if entry is None or source in entry.drain_sources:
            return
        newly_draining = not entry.drain_sources
        entry.drain_sources.add(source)
        entry.state.draining = True
        if newly_draining:
            events.emit(events.TARGET_DRAINING, target=name, source=source.value)
            self._metrics.incr("targets.draining")
        if newly_draining and source is DrainSource.TARGET:
            self.on_draining(name)

    def undrain(self, name: str, *sources: DrainSource) -> None:
        """Withdraw the drain of these sources, for example after a target's restart."""
        entry = self._entries.get(name)
        if entry is None or not entry.drain_sources.intersection(sources):
            return
        entry.drain_sources.difference_update(sources)
        entry.state.draining = bool(entry.drain_sources)
        if not entry.state.draining:
            events.emit(events.TARGET_SERVING, target=name)

    def observe_waiting(self, name: str, elapsed: float) -> None:
        """Record that a call has been running at the target for `elapsed` seconds."""
        entry = self._entries.get(name)
        if entry is not None:
            entry.state.observe_waiting(elapsed)

    def targets_faster_than(self, names: Sequence[str], seconds: float) -> list[str]:
        """Return the targets whose average latency is at most `seconds`.

        Targets without a known latency are included.
        """
        entries = self._entries
        return [
            name
            for name in names
            if name in entries and entries[name].state.latency_s <= seconds
        ]

    def available_targets(
        self, names: Sequence[str], exclude: Collection[str]
    ) -> list[str]:
        """Return the targets that are available for an attempt and not excluded."""
        entries = self._entries
        return [
            name
            for name in names
            if name not in exclude
            and name in entries
            and entries[name].state.is_available()
        ]

    def lowest_latency(self, names: Sequence[str]) -> float:
        """Return the lowest average latency in seconds, infinity if none is known."""
        entries = self._entries
        latencies = [entries[name].state.latency_s for name in names if name in entries]
        return min((latency for latency in latencies if latency), default=float("inf"))

    def predicted_time(self, names: Sequence[str]) -> float:
        """Return the shortest expected time to an answer of these replicas, in seconds.

        It is 0.0 if no latency is known, and also if no replica is available, since a
        longer wait would not help such a shard.
        """
        entries = (self._entries[name] for name in names if name in self._entries)
        times = (
            _predicted_time(entry) for entry in entries if entry.state.is_available()
        )
        return min(times, default=0.0)

    def states(self) -> dict[str, TargetState]:
        """Return the observed state of each target by name."""
        return {name: entry.state for name, entry in self._entries.items()}


def _predicted_time(entry: TargetEntry) -> float:
    rounds = (entry.state.in_flight + 1) / max(1, entry.link.limit)
    return entry.state.typical_latency_s * max(1.0, rounds)
