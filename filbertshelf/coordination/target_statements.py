"""What targets, the platform and other instances say of single targets."""

from __future__ import annotations

import collections
import math
import random
from collections.abc import Callable, Mapping

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.target_entries import TargetEntry
from filbertshelf.errors import MessageError
from filbertshelf.protocol.target_responses import (
    TargetStatement,
    parse_cold_remaining,
    parse_leaving,
    parse_rate_limit,
    parse_retry_after,
)
from filbertshelf.state.withholding import Cause, LeavingTarget, Withholding

LISTING = "platform listing"
RESPONSE = "response"
"""Sources of what is known of a target; another one is the id of an instance."""

LEAVING_NOTICE_S = 60.0
"""How long an instance believes another one that a target leaves."""

LEAVING_NOTICE_SPREAD_S = 1.0
"""An instance announces a leaving target after a random delay of up to this time, and
only if the platform doesn't list it as draining by then."""

MAX_LEAVING = 4_096
"""Targets that are remembered as leaving; the oldest are forgotten."""

WITHHELD_LINE_INTERVAL_S = 1.0
"""The shortest interval between two log lines about repeated pauses of a target."""

HEADER_LINE_INTERVAL_S = 10.0
"""The shortest interval between two log lines about malformed headers of a target."""


class TargetStatements:
    """Records statements of targets and withholds requests as they say."""

    def __init__(
        self,
        entries: Mapping[str, TargetEntry],
        clock: Clock,
        rng: random.Random,
        call_later: Callable[[float, Callable[[], None]], object],
        on_limit_ended: Callable[[str], None],
        on_leaving: Callable[[LeavingTarget], None],
        on_cold: Callable[[TargetEntry, float, float], None],
    ):
        """Create for the listed targets; `ListedTargets` describes the parameters."""
        self._entries = entries
        self._clock = clock
        self._rng = rng
        self._call_later = call_later
        self._on_limit_ended = on_limit_ended
        self._on_leaving = on_leaving
        self._on_cold = on_cold
        self._leaving: collections.OrderedDict[LeavingTarget, Withholding] = (
            collections.OrderedDict()
        )
        """The targets that have said so, also those that are not listed now."""
        self._unannounced: set[LeavingTarget] = set()
        """Those of which the other instances may not know yet."""

    def record(
        self, entry: TargetEntry, statement: TargetStatement, now: float
    ) -> None:
        """Record what a target says of itself in the head of a response."""
        if statement.cold_remaining_ms is not None:
            self._record_cold(entry, statement.cold_remaining_ms, now)
        try:
            if statement.leaving is not None and parse_leaving(statement.leaving):
                self._record_leaving(entry)
            if statement.retry_after is not None:
                pause_s = parse_retry_after(statement.retry_after)
                if pause_s:
                    self._record_pause(entry, pause_s, now)
        except MessageError as exc:
            self._log_header(entry, str(exc), now)

    def _record_cold(self, entry: TargetEntry, value: bytes, now: float) -> None:
        try:
            seconds = parse_cold_remaining(value)
        except MessageError as exc:
            self._log_header(entry, str(exc), now)
        else:
            self._on_cold(entry, seconds, now)

    def _record_leaving(self, entry: TargetEntry) -> None:
        target = LeavingTarget.of(entry.listed)
        known = self._leaving.get(target)
        if known is not None and known.source == RESPONSE:
            return
        self._learn_leaving(target, Withholding(Cause.LEAVING, RESPONSE))
        if known is None:
            # Usually the listing or another instance tells the others meanwhile.
            self._unannounced.add(target)
            delay = self._rng.random() * LEAVING_NOTICE_SPREAD_S
            self._call_later(delay, lambda: self._announce_leaving(target))

    def _announce_leaving(self, target: LeavingTarget) -> None:
        entry = self._entries.get(target.id)
        if target in self._unannounced and entry and not entry.listed.draining:
            self._on_leaving(target)
        self._unannounced.discard(target)

    def hear_leaving(self, target: LeavingTarget, seconds: float, source: str) -> None:
        """Withhold a target for some seconds, because another instance says it leaves.

        A target that has started again since under the same id is not concerned.
        """
        self._unannounced.discard(target)
        until = self._clock.monotonic() + min(seconds, LEAVING_NOTICE_S)
        self._learn_leaving(target, Withholding(Cause.LEAVING, source, until))

    def _learn_leaving(self, target: LeavingTarget, said: Withholding) -> None:
        if not said.outlasts(self._leaving.get(target)):
            return
        self._leaving[target] = said
        if len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        entry = self._entries.get(target.id)
        if entry is not None and LeavingTarget.of(entry.listed) == target:
            self._withhold(entry, said)

    def _record_pause(self, entry: TargetEntry, pause_s: float, now: float) -> None:
        pause = Withholding.retry_later(pause_s, now, self._rng.random(), RESPONSE)
        self._withhold(entry, pause)

    def _withhold(self, entry: TargetEntry, withholding: Withholding) -> None:
        """Send the target nothing new, and what is queued for it elsewhere."""
        before = entry.withholding
        if not withholding.outlasts(before):
            return
        entry.withholding = withholding
        now = self._clock.monotonic()
        is_news = before is None or before.cause is not withholding.cause
        if is_news or now - entry.withheld_logged_at >= WITHHELD_LINE_INTERVAL_S:
            entry.withheld_logged_at = now
            events.emit(
                events.TARGET_WITHHELD,
                target=entry.id,
                service=entry.listed.service,
                cause=withholding.cause.value,
                source=withholding.source,
                seconds=_seconds_left(withholding, now),
            )
        entry.pool.end_waiting()

    def end_pause(self, entry: TargetEntry, started: float) -> None:
        """Send at full rate again if the trial after a pause has been answered.

        `started` is when the answered request was sent, in monotonic seconds.
        """
        withholding = entry.withholding
        if withholding.cause is Cause.RETRY_LATER and started >= withholding.until:
            entry.withholding = None
            events.emit(events.TARGET_RETURNED, target=entry.id)

    def _log_header(self, entry: TargetEntry, reason: str, now: float) -> None:
        if now - entry.header_logged_at >= HEADER_LINE_INTERVAL_S:
            entry.header_logged_at = now
            events.emit(events.TARGET_HEADER_IGNORED, target=entry.id, reason=reason)

    def apply_listing(self, entry: TargetEntry) -> None:
        """Withhold a target that is listed as draining, or that has said it leaves.

        What a target has said of itself outlasts any listing of the same process.
        """
        if entry.listed.draining:
            self._withhold(entry, Withholding(Cause.DRAINING, LISTING))
        elif entry.withholding and entry.withholding.cause is Cause.DRAINING:
            entry.withholding = None
        said = self._leaving.get(LeavingTarget.of(entry.listed))
        if said is not None:
            self._withhold(entry, said)

    # Rate limits.

    def record_rate_limit(
        self, entry: TargetEntry, value: bytes | None, now: float
    ) -> None:
        """Record the rate limit in a response, None if the target names none."""
        try:
            limit_per_s = None if value is None else parse_rate_limit(value)
        except MessageError as exc:
            if entry.rate.may_log_malformed(now):
                events.emit(events.RATE_LIMIT_IGNORED, target=entry.id, reason=str(exc))
            return
        ended = limit_per_s is None and entry.rate.limit_per_s is not None
        self._set_rate_limit(entry, limit_per_s, RESPONSE, now)
        if ended:
            self._on_limit_ended(entry.id)

    def end_rate_limit(self, target_id: str, source: str) -> None:
        """Send at full rate again, because an instance got a response without a limit.

        Permits for a low limit are rare, so this instance might not hear of the end
        from the target for long.
        """
        entry = self._entries.get(target_id)
        if entry is not None:
            self._set_rate_limit(entry, None, source, self._clock.monotonic())

    def _set_rate_limit(
        self, entry: TargetEntry, limit_per_s: float | None, source: str, now: float
    ) -> None:
        entry.rate.set_limit(limit_per_s, now)
        change = entry.rate.change_to_log(now)
        if change is not None:
            events.emit(
                events.TARGET_RATE_LIMITED,
                target=entry.id,
                service=entry.listed.service,
                source=source,
                before=change.before,
                after=change.after,
                sent=change.sent,
                extra=change.extra,
                elapsed_s=round(change.elapsed_s, 2),
            )


def _seconds_left(withholding: Withholding, now: float) -> float | None:
    """Return the rest of the time for the log, None if it has no end."""
    left_s = withholding.until - now
    return None if math.isinf(left_s) else round(left_s, 2)
