"""Quarantine of requests that crash targets, and isolation of suspected ones."""

from __future__ import annotations

import enum
import hashlib
import json
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from filbertshelf.clock import Clock

QUARANTINE_S = 60.0
"""How long a quarantined fingerprint is refused."""

SUSPICION_S = 600.0
"""How long a suspect that never answers is run only in isolation.

This is longer than the quarantine, so that a request that is resent after the end of
its quarantine runs in isolation again and crashes one target at most.
"""

MAX_CLEARED = 65_536
"""The highest number of answered fingerprints; an evicted one is a canary again."""

MAX_SUSPECTS = 4_096
"""The highest number of suspects, and of quarantined fingerprints.

The oldest are evicted first.
"""

RESERVE_S = 5.0
"""How long a target is reserved for a suspect unless the reservation ends earlier."""

RESERVE_WAIT_S = 0.015
"""How long a suspect waits after its reservation was sent to the other instances.

This is several times the network delay between data centres of one region.
"""

_DIGEST_BYTES = 16


class Verdict(enum.Enum):
    """How a request may be sent.

    The names are written to the log in lower case. A guarded request runs only in
    isolation, and a convicted one is quarantined.
    """

    CLEAR = "has answered before"
    CANARY = "has not answered here yet: one sub-request first"
    GUARDED = "ran on a target that died: only alone on a target"
    CONVICTED = "crashed a target that ran nothing else"


@attrs.frozen
class Reservation:
    """A target that is reserved for a suspect, and the monotonic time of the start."""

    target: str
    reserved_at: float


@attrs.frozen
class QuarantineEntry:
    """A fingerprint to refuse for some seconds, for the log and the notice to peers."""

    fingerprint: str
    target: str
    seconds: float
    reason: str


class Quarantine:
    """Tracks which request fingerprints run, are cleared, suspected or refused.

    Contract: call `may_start` right before each `attempt_started`, and
    `attempt_finished` once for each attempt. When a target dies, call `target_died`
    before the `attempt_finished` of the attempts that were lost with it.

    Guarantee: a fingerprint is quarantined only if a target that ran it died, and then
    another target died that ran it in isolation. A request that crashes each target
    that runs it, and so never answers, crashes at most 2 targets through this instance
    before it is quarantined, and then 1 in each `QUARANTINE_S` while it is remembered.

    Suspects of different instances don't share a target while the instances can reach
    each other.

    Limitations: a request whose second target dies for another reason is refused for
    `QUARANTINE_S`; the other reason may be a new request of another instance. A request
    that crashes only some targets can be answered first and is then sent to all shards
    at the same time. A suspect waits for as long as no target is free of other work of
    this instance.
    """

    __slots__ = (
        "_cleared",
        "_clock",
        "_in_flight",
        "_isolated",
        "_key",
        "_lost",
        "_on_reserve",
        "_quarantined",
        "_reservations",
        "_reserved_elsewhere",
        "_running",
        "_suspects",
    )

    def __init__(
        self,
        clock: Clock,
        key: bytes,
        on_reserve: Callable[[str, float], None] = lambda target, seconds: None,
    ):
        self._clock = clock
        # Called for each reservation of this instance and, with 0.0 seconds, its end.
        self._on_reserve = on_reserve
        self._reservations: OrderedDict[str, Reservation] = OrderedDict()
        self._reserved_elsewhere: dict[str, float] = {}
        self._key = hashlib.blake2b(key).digest()
        self._cleared: OrderedDict[str, None] = OrderedDict()
        self._suspects: OrderedDict[str, float] = OrderedDict()
        self._quarantined: OrderedDict[str, float] = OrderedDict()
        # The number of attempts by target and fingerprint: in flight, and lost with
        # the target but not yet finished.
        self._running: dict[str, dict[str, int]] = {}
        self._lost: dict[str, dict[str, int]] = {}
        # The number of attempts in flight by fingerprint, on all targets.
        self._in_flight: dict[str, int] = {}
        # The suspect that runs in isolation, by target.
        self._isolated: dict[str, str] = {}

    def fingerprint(self, services: Iterable[str], body: Any) -> str:
        """Return the keyed hash of the services and the JSON body, as hex digits."""
        text = json.dumps(
            [sorted(services), body], sort_keys=True, separators=(",", ":")
        )
        return hashlib.blake2b(
            text.encode(), key=self._key, digest_size=_DIGEST_BYTES
        ).hexdigest()

    def verdict(self, fingerprint: str) -> Verdict:
        """Return how a request with this fingerprint may be sent now."""
        if self._quarantined and self._is_unexpired(self._quarantined, fingerprint):
            return Verdict.CONVICTED
        if self._suspects and self._is_unexpired(self._suspects, fingerprint):
            return Verdict.GUARDED
        return Verdict.CLEAR if fingerprint in self._cleared else Verdict.CANARY

    def may_start(self, target: str, fingerprint: str, canary: bool = True) -> bool:
        """Return whether an attempt may start on the target now.

        `canary` is the policy's setting. Without it a new fingerprint may run on all
        targets at the same time, and the guarantee on crashed targets doesn't hold.
        """
        if target in self._isolated or target in self._lost:
            return False
        if self._runs_suspect(target):
            return False
        verdict = self.verdict(fingerprint)
        if verdict is Verdict.CLEAR:
            return True
        if verdict is Verdict.CONVICTED:
            return False
        if verdict is Verdict.GUARDED:
            free = fingerprint not in self._in_flight and target not in self._running
            return free and self._reserve(target, fingerprint)
        return not canary or fingerprint not in self._in_flight

    def reserved_elsewhere(
        self, target: str, seconds: float, other_has_priority: bool
    ) -> None:
        """Record that another instance reserved the target for a suspect.

        `other_has_priority` states whether that reservation wins over one of this
        instance whose suspect has not started yet. 0.0 seconds end the reservation.
        """
        if not seconds:
            self._reserved_elsewhere.pop(target, None)
            return
        waiting = [
            fingerprint
            for fingerprint, reservation in self._reservations.items()
            if reservation.target == target and fingerprint not in self._in_flight
        ]
        if waiting and not other_has_priority:
            return
        for fingerprint in waiting:
            del self._reservations[fingerprint]
        until = self._clock.monotonic() + min(seconds, RESERVE_S)
        self._reserved_elsewhere[target] = until

    def _reserve(self, target: str, fingerprint: str) -> bool:
        """Return whether the target is reserved for the suspect; reserve it if not.

        If two suspects of different instances ran on one target, its death would
        quarantine both.
        """
        now = self._clock.monotonic()
        if self._reserved_elsewhere.get(target, now) > now:
            return False
        reservation = self._reservations.get(fingerprint)
        if reservation is not None and now - reservation.reserved_at < RESERVE_S:
            return (
                reservation.target == target
                and now - reservation.reserved_at >= RESERVE_WAIT_S
            )
        if any(other.target == target for other in self._reservations.values()):
            return False
        self._reservations.pop(fingerprint, None)
        self._reservations[fingerprint] = Reservation(target, now)
        _trim(self._reservations, MAX_SUSPECTS)
        self._on_reserve(target, RESERVE_S)
        return False

    def _end_reservation(self, target: str, fingerprint: str) -> None:
        reservation = self._reservations.get(fingerprint)
        if reservation is not None and reservation.target == target:
            del self._reservations[fingerprint]
            self._on_reserve(target, 0.0)

    def attempt_started(self, target: str, fingerprint: str) -> None:
        """Record an attempt that `may_start` allowed."""
        _add(self._running.setdefault(target, {}), fingerprint)
        _add(self._in_flight, fingerprint)
        if self._suspects and self._is_unexpired(self._suspects, fingerprint):
            self._isolated[target] = fingerprint

    def attempt_finished(self, target: str, fingerprint: str, answered: bool) -> None:
        """Record the end of an attempt; an answer clears the fingerprint."""
        table = self._lost if target in self._lost else self._running
        _remove(table[target], fingerprint)
        if not table[target]:
            del table[target]
        _remove(self._in_flight, fingerprint)
        if self._reservations:
            self._end_reservation(target, fingerprint)
        if self._isolated.get(
            target
        ) == fingerprint and fingerprint not in self._running.get(target, ()):
            del self._isolated[target]
        if answered:
            self._clear(fingerprint)

    def target_died(self, target: str) -> list[QuarantineEntry]:
        """Suspect all requests on the target; quarantine one that ran in isolation.

        One death is weak evidence, since targets also die for other reasons. Several
        targets that die together, as in a rack failure, count as one death for the
        requests that were in flight on them.

        Further calls for other connections to the same target have no effect.
        """
        running = self._running.pop(target, None)
        if running is None:
            return []
        lost = self._lost.setdefault(target, {})
        for fingerprint, count in running.items():
            lost[fingerprint] = lost.get(fingerprint, 0) + count
        for fingerprint in running:
            self._suspect(fingerprint)
        fingerprint = self._isolated.pop(target, None)
        if fingerprint is None:
            return []
        self.quarantine(fingerprint, QUARANTINE_S)
        reason = Verdict.CONVICTED.value
        return [QuarantineEntry(fingerprint, target, QUARANTINE_S, reason)]

    def quarantine(self, fingerprint: str, seconds: float) -> None:
        """Refuse the fingerprint for `seconds` from now, at most `QUARANTINE_S`."""
        until = self._clock.monotonic() + min(seconds, QUARANTINE_S)
        until = max(until, self._quarantined.pop(fingerprint, until))
        self._quarantined[fingerprint] = until
        _trim(self._quarantined, MAX_SUSPECTS)
        self._suspect(fingerprint)

    def _suspect(self, fingerprint: str) -> None:
        self._cleared.pop(fingerprint, None)
        self._suspects.pop(fingerprint, None)
        self._suspects[fingerprint] = self._clock.monotonic() + SUSPICION_S
        _trim(self._suspects, MAX_SUSPECTS)

    def _runs_suspect(self, target: str) -> bool:
        """Return whether a request on the target became a suspect after its start."""
        if not self._suspects:
            return False
        running = self._running.get(target, ())
        return any(self._is_unexpired(self._suspects, other) for other in running)

    def _clear(self, fingerprint: str) -> None:
        if self._suspects:
            self._suspects.pop(fingerprint, None)
        self._cleared[fingerprint] = None
        self._cleared.move_to_end(fingerprint)
        _trim(self._cleared, MAX_CLEARED)

    def _is_unexpired(self, table: OrderedDict[str, float], fingerprint: str) -> bool:
        until = table.get(fingerprint)
        if until is None:
            return False
        if self._clock.monotonic() < until:
            return True
        del table[fingerprint]
        return False


def _add(table: dict[str, int], fingerprint: str) -> None:
    table[fingerprint] = table.get(fingerprint, 0) + 1


def _remove(table: dict[str, int], fingerprint: str) -> None:
    if table[fingerprint] > 1:
        table[fingerprint] -= 1
    else:
        del table[fingerprint]


def _trim(table: OrderedDict[str, Any], size: int) -> None:
    while len(table) > size:
        table.popitem(last=False)
