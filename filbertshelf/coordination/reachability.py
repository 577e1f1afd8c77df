"""Checks whether the targets can be reached, by opening connections to some of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.target_entries import TargetEntry
from filbertshelf.state.reachability import Reachability

MAX_PROBES = 5
"""Targets of one check; that all have crashed at the same time is unlikely."""

MIN_PROBES = 2
"""A single target can't tell whether it failed or the link to it."""

PROBE_STAGGER_S = 0.05
"""Seconds after which the other targets are probed if the first accepts no connection.

Most checks end with one new connection, because new ones are expensive for targets.
"""

PROBE_TIMEOUT_S = 0.25
"""Seconds after which a check without an accepted connection has failed."""

RECHECK_INTERVAL_S = 0.25
"""Seconds from a failed check to the next one while the instance is cut off."""

MIN_CHECK_INTERVAL_S = 1.0
"""Minimum seconds between checks because of failures, if the last one succeeded."""

CONFIRM_TIMEOUT_S = 0.05
"""Seconds that an instance which wants to hand over a request waits for this one to
confirm that it reaches the targets."""

OnVerdict = Callable[[bool], None]
"""Called with whether the targets can be reached."""


class ReachabilityMonitor:
    """Decides whether the instance is cut off from all targets.

    `choose_targets(count)` returns targets to probe, `call_later(seconds, func)`
    schedules a call.
    """

    def __init__(
        self,
        choose_targets: Callable[[int], Sequence[TargetEntry]],
        clock: Clock,
        call_later: Callable[[float, Callable[[], None]], object],
    ):
        self.state = Reachability()
        self.on_change: list[Callable[[], None]] = []
        """Called after the instance was cut off or reaches the targets again."""
        self._choose_targets = choose_targets
        self._clock = clock
        self._call_later = call_later
        self._round: _ProbeRound | None = None
        self._waiting: list[OnVerdict] = []
        self._round_started_at = 0.0
        self._reached_at = float("-inf")
        self.cut_off_at = 0.0
        """When the instance was last found to be cut off, in monotonic seconds."""

    @property
    def cut_off(self) -> bool:
        """Return whether the instance reaches no target."""
        return self.state.cut_off

    def record_failure(self, target_id: str, now: float) -> None:
        """Record a failed connection and check the link if several failed."""
        suspicious = self.state.record_failure(target_id, now)
        if suspicious and now - self._reached_at >= MIN_CHECK_INTERVAL_S:
            self.check(_ignore_verdict)

    @property
    def in_doubt(self) -> bool:
        """Return whether failures may be due to the instance's link."""
        return self.cut_off or self._round is not None

    @property
    def suspected(self) -> bool:
        """Return whether a request that failed now may have failed due to the link."""
        return self.in_doubt or self.state.is_suspicious(self._clock.monotonic())

    def check_if_silent(self, start: float, on_verdict: OnVerdict) -> None:
        """Check the link if it is in doubt or no target has responded since `start`.

        Otherwise `on_verdict` is called at once, because the link works.
        """
        if self.in_doubt or self.state.silent_since(start):
            self.check(on_verdict)
        else:
            on_verdict(True)

    def check_if_in_doubt(self, on_verdict: OnVerdict) -> None:
        """Wait for the verdict if the link is in doubt; else it counts as working."""
        if self.in_doubt:
            self.check(on_verdict)
        else:
            on_verdict(True)

    async def confirm(self) -> bool:
        """Return whether a target was reached within the last moments."""
        if self.state.in_contact(self._clock.monotonic()):
            return True
        fut: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._call_later(CONFIRM_TIMEOUT_S, lambda: _resolve(fut, False))
        self.check(lambda reachable: _resolve(fut, reachable))
        return await fut

    def check(self, on_verdict: OnVerdict) -> None:
        """Find out whether the targets can be reached and call `on_verdict`."""
        if self.cut_off:
            on_verdict(False)
            return
        self._waiting.append(on_verdict)
        if self._round is None:
            self._start_round()

    def _start_round(self) -> None:
        entries = self._choose_targets(MAX_PROBES)
        if len(entries) < MIN_PROBES:
            # Nothing can be concluded, so requests go on as usual.
            self._set_reachable("", self._clock.monotonic())
            self._report(True)
            return
        self._round_started_at = self._clock.monotonic()
        self._round = _ProbeRound(entries, self._call_later, self._on_round_end)
        self._round.start()

    def _on_round_end(self, reached: TargetEntry | None, refused: bool) -> None:
        entries, self._round = self._round.entries, None
        now = self._clock.monotonic()
        if reached is not None:
            self._reached_at = now
            self._set_reachable(reached.id, now)
        elif not refused and not self.state.silent_since(self._round_started_at):
            # A target responded meanwhile, so the connects are only slow.
            self._set_reachable("", now)
        elif any(entry.evacuated for entry in entries):
            # They may have been stopped since, so other targets are probed.
            self._start_round()
            return
        else:
            self._call_later(RECHECK_INTERVAL_S, self._start_round)
            self._set_cut_off(entries, now)
        self._report(not self.cut_off)

    def _set_cut_off(self, entries: Sequence[TargetEntry], now: float) -> None:
        if self.cut_off:
            return
        self.state.cut_off = True
        self.cut_off_at = now
        events.emit(
            events.TARGETS_UNREACHABLE,
            probed=[entry.id for entry in entries],
            silence_s=round(min(self.state.silence_s(now), 1e9), 3),
        )
        self._notify_change()

    def _set_reachable(self, target_id: str, now: float) -> None:
        if not self.cut_off:
            return
        self.state.cut_off = False
        events.emit(
            events.TARGETS_REACHABLE,
            target=target_id,
            cut_off_s=round(now - self.cut_off_at, 3),
        )
        self._notify_change()

    def _notify_change(self) -> None:
        for func in self.on_change:
            func()

    def _report(self, reachable: bool) -> None:
        waiting, self._waiting = self._waiting, []
        for on_verdict in waiting:
            on_verdict(reachable)


class _ProbeRound:
    """Opens connections until one target accepts or all have failed."""

    def __init__(
        self,
        entries: Sequence[TargetEntry],
        call_later: Callable[[float, Callable[[], None]], object],
        on_end: Callable[[TargetEntry | None, bool], None],
    ):
        """`on_end` gets the target that accepted, and whether all others refused."""
        self.entries = entries
        self._call_later = call_later
        self._on_end = on_end
        self._unprobed = list(entries)
        self._failures = 0
        self._ended = False

    def start(self) -> None:
        """Probe the first target, and the others soon after."""
        self._call_later(PROBE_STAGGER_S, self._probe_others)
        self._call_later(PROBE_TIMEOUT_S, lambda: self._end(None, False))
        self._probe(self._unprobed.pop(0))

    def _probe_others(self) -> None:
        while self._unprobed and not self._ended:
            self._probe(self._unprobed.pop(0))

    def _probe(self, entry: TargetEntry) -> None:
        if entry.evacuated:
            # Since the start of the round.
            return
        entry.pool.probe(lambda accepted: self._on_result(entry, accepted))

    def _on_result(self, entry: TargetEntry, accepted: bool) -> None:
        if accepted:
            self._end(entry, False)
            return
        self._failures += 1
        self._probe_others()
        if self._failures == len(self.entries):
            self._end(None, True)

    def _end(self, reached: TargetEntry | None, refused: bool) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(reached, refused)


def _resolve(fut: asyncio.Future[bool], reachable: bool) -> None:
    if not fut.done():
        fut.set_result(reachable)


def _ignore_verdict(reachable: bool) -> None:
    """Ignore the verdict, which `ReachabilityMonitor.on_change` reports too."""
