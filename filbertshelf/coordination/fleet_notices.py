"""What a gateway tells the others: crashing requests, ended limits, leaving targets."""

from __future__ import annotations

from filbertshelf import events
from filbertshelf.coordination.notices import Notices
from filbertshelf.coordination.target_statements import (
    LEAVING_NOTICE_S,
    TargetStatements,
)
from filbertshelf.gateway_metrics import GatewayMetrics
from filbertshelf.protocol.notices import Notice, Topic
from filbertshelf.state.crashes import CrashCounter
from filbertshelf.state.withholding import LeavingTarget

MAX_START_DIGITS = 19
"""Digits of the time of a target's start in a notice; a longer one is malformed."""


class FleetNotices:
    """Sends the notices of one gateway and applies those of the others."""

    def __init__(
        self,
        own_id: str,
        notices: Notices,
        crashes: CrashCounter,
        metrics: GatewayMetrics,
    ):
        self._own_id = own_id
        self._notices = notices
        self._crashes = crashes
        self._metrics = metrics

    def subscribe(self, statements: TargetStatements) -> None:
        """Apply the notices of other gateways, those of targets to `statements`."""

        def on_limit_end(notice: Notice) -> None:
            statements.end_rate_limit(notice.subject, notice.origin)

        def on_leaving(notice: Notice) -> None:
            target = _parse_leaving_target(notice.subject)
            if target is not None:
                statements.hear_leaving(target, notice.seconds, notice.origin)

        self._notices.subscribe(Topic.REQUEST_CRASHED, self._on_crash_notice)
        self._notices.subscribe(Topic.RATE_LIMIT_ENDED, on_limit_end)
        self._notices.subscribe(Topic.TARGET_LEAVING, on_leaving)

    def announce_limit_end(self, target_id: str) -> None:
        """Tell the others that a target names no rate limit any more."""
        self._notices.broadcast(Topic.RATE_LIMIT_ENDED, target_id, 0.0)

    def announce_leaving(self, target: LeavingTarget) -> None:
        """Tell the others that a target has said that it leaves."""
        subject = f"{target.started_ms} {target.id}"
        self._notices.broadcast(Topic.TARGET_LEAVING, subject, LEAVING_NOTICE_S)

    def announce_crash(self, fingerprint: str, request_id: str, deaths: int) -> None:
        """Count that one more target died while it ran a request, and tell the others.

        `deaths` is the number of targets that died in a row.
        """
        self._metrics.target_crashes.inc()
        if self._count_crash(fingerprint, request_id, deaths, self._own_id):
            subject = f"{fingerprint} {request_id}"
            self._notices.broadcast(Topic.REQUEST_CRASHED, subject, float(deaths))

    def _on_crash_notice(self, notice: Notice) -> None:
        fingerprint, _, request_id = notice.subject.partition(" ")
        self._count_crash(fingerprint, request_id, int(notice.seconds), notice.origin)

    def _count_crash(
        self, fingerprint: str, request_id: str, deaths: int, source: str
    ) -> bool:
        """Count a crash and return whether it was new."""
        crashes = self._crashes.record_crash(fingerprint, request_id, deaths)
        if crashes is None:
            return False
        events.emit(
            events.REQUEST_CRASH_COUNTED,
            request_id=request_id,
            fingerprint=fingerprint,
            crashes=crashes,
            source=source,
        )
        return True


def _parse_leaving_target(subject: str) -> LeavingTarget | None:
    """Return the target in the subject of a notice, or None if it is malformed."""
    started_ms, _, target_id = subject.partition(" ")
    if not started_ms.isdecimal() or len(started_ms) > MAX_START_DIGITS:
        return None
    return LeavingTarget(target_id, int(started_ms))
