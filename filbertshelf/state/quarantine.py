"""Requests that are suspected or convicted of crashing targets."""

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
"""How long a convicted fingerprint is refused."""

SUSPICION_S = 600.0
"""How long a suspect runs alone if it never answers.

Longer than a conviction, so that a request that is resent after its conviction has
expired runs alone again and crashes one target at most.
"""

MAX_CLEARED = 65_536
"""Succeeded fingerprints that are remembered; a forgotten one is a canary again."""

MAX_SUSPECTS = 4_096
"""Suspects and convictions that are remembered; the oldest is forgotten first."""

RESERVE_S = 5.0
"""How long a target is reserved for a suspect, if the end is not told earlier."""

RESERVE_WAIT_S = 0.015
"""How long a suspect waits after its reservation was sent to the other instances.

Several times the delay between data centres of one region.
"""

_DIGEST_BYTES = 16


class Verdict(enum.Enum):
    """How a request may be sent."""

    CLEAR = "has answered before"
    CANARY = "has not answered here yet: one sub-request first"
    GUARDED = "ran on a target that died: only alone on a target"
    CONVICTED = "crashed a target that ran nothing else"


@attrs.frozen
class Reservation:
    """A target that a suspect is about to run on, and since when."""

    target: str
    at: float


@attrs.frozen
class QuarantineEntry:
    """A fingerprint to refuse for some seconds, for the log and the notice."""

    fingerprint: str
    target: str
    seconds: float
    reason: str


class Quarantine:
    """The fingerprints this instance runs, trusts, suspects and refuses.

    Contract: `may_start` is asked right before each `started`; each `started` gets
    one `finished`; when a target dies, `target_died` comes before the `finished` of
    the attempts that were lost.

    Promise: a fingerprint is convicted only if a target died that ran it, and then
    another one that ran it alone as a suspect. A request that crashes each target
    that runs it, and so never answers, kills at most 2 targets through this instance
    before it is convicted, and 1 in each `QUARANTINE_S` after that while it is
    remembered.

    Suspects of different instances don't share a target, as long as the instances
    reach each other.

    What remains: a request whose second target also dies for another reason is
    refused for `QUARANTINE_S`; the other reason may be a new request of another
    instance. A request that crashes only some targets can answer first and is then
    sent to all shards at once. A suspect waits while a target is never free of other
    work of this instance.
    """

    __slots__ = (
        "_cleared",
        "_clock",
        "_flights",
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
        # Told of own reservations and, with 0.0 seconds, of their end.
        self._on_reserve = on_reserve
        self._reservations: OrderedDict[str, Reservation] = OrderedDict()
        self._reserved_elsewhere: dict[str, float] = {}
        self._key = hashlib.blake2b(key).digest()
        self._cleared: OrderedDict[str, None] = OrderedDict()
        self._suspects: OrderedDict[str, float] = OrderedDict()
        self._quarantined: OrderedDict[str, float] = OrderedDict()
        # Target to fingerprint to attempts: in flight, and lost with the target but
        # not yet finished.
        self._running: dict[str, dict[str, int]] = {}
        self._lost: dict[str, dict[str, int]] = {}
        # Attempts in flight by fingerprint over all targets.
        self._flights: dict[str, int] = {}
        # Targets that run a suspect alone.
        self._isolated: dict[str, str] = {}

    def fingerprint(self, services: Iterable[str], body: Any) -> str:
        """Return the keyed hash of the services and the JSON body, as hex digits."""
        text = json.dumps(
            [sorted(services), body], sort_keys=True, separators=(",", ":")
        )
        return hashlib.blake2b(
            text.encode(), key=self._key, digest_size=_DIGEST_BYTES
        ).hexdigest()

    def verdict(self, fp: str) -> Verdict:
        """Return how a request with this fingerprint may be sent now."""
        if self._quarantined and self._is_active(self._quarantined, fp):
            return Verdict.CONVICTED
        if self._suspects and self._is_active(self._suspects, fp):
            return Verdict.GUARDED
        return Verdict.CLEAR if fp in self._cleared else Verdict.CANARY

    def may_start(self, target: str, fp: str, canary: bool = True) -> bool:
        """Return whether an attempt may start on the target now.

        `canary` is the policy's setting: without it a new fingerprint may run
        anywhere at once, and the promise on crashed targets does not hold.
        """
        if target in self._isolated or target in self._lost:
            return False
        verdict = self.verdict(fp)
        if verdict is Verdict.CLEAR:
            return True
        if verdict is Verdict.CONVICTED:
            return False
        if verdict is Verdict.GUARDED:
            free = fp not in self._flights and target not in self._running
            return free and self._holds(target, fp)
        return not canary or fp not in self._flights

    def reserved_elsewhere(self, target: str, seconds: float, first: bool) -> None:
        """Record that another instance reserved the target for a suspect.

        `first` says whether the other instance's reservation goes before one of this
        instance that has not started yet. 0.0 seconds end the other's reservation.
        """
        if not seconds:
            self._reserved_elsewhere.pop(target, None)
            return
        waiting = [
            fp
            for fp, held in self._reservations.items()
            if held.target == target and fp not in self._flights
        ]
        if waiting and not first:
            return
        for fp in waiting:
            del self._reservations[fp]
        until = self._clock.monotonic() + min(seconds, RESERVE_S)
        self._reserved_elsewhere[target] = until

    def _holds(self, target: str, fp: str) -> bool:
        """Return whether the target is reserved for the suspect; else reserve it.

        Two suspects of different instances on one target would both be convicted by
        its death.
        """
        now = self._clock.monotonic()
        if self._reserved_elsewhere.get(target, now) > now:
            return False
        held = self._reservations.get(fp)
        if held is not None and now - held.at < RESERVE_S:
            return held.target == target and now - held.at >= RESERVE_WAIT_S
        if any(other.target == target for other in self._reservations.values()):
            return False
        self._reservations.pop(fp, None)
        self._reservations[fp] = Reservation(target, now)
        _trim(self._reservations, MAX_SUSPECTS)
        self._on_reserve(target, RESERVE_S)
        return False

    def _end_reservation(self, target: str, fp: str) -> None:
        held = self._reservations.get(fp)
        if held is not None and held.target == target:
            del self._reservations[fp]
            self._on_reserve(target, 0.0)

    def started(self, target: str, fp: str) -> None:
        """Record an attempt that `may_start` allowed."""
        _add(self._running.setdefault(target, {}), fp)
        _add(self._flights, fp)
        if self._suspects and self._is_active(self._suspects, fp):
            self._isolated[target] = fp

    def finished(self, target: str, fp: str, answered: bool) -> None:
        """Record the end of an attempt; an answer clears the fingerprint."""
        table = self._lost if target in self._lost else self._running
        _remove(table[target], fp)
        if not table[target]:
            del table[target]
        _remove(self._flights, fp)
        if self._reservations:
            self._end_reservation(target, fp)
        if self._isolated.get(target) == fp and fp not in self._running.get(target, ()):
            del self._isolated[target]
        if answered:
            self._clear(fp)

    def target_died(self, target: str) -> list[QuarantineEntry]:
        """Suspect all requests on the target; convict one that ran there guarded.

        One death proves little, since targets also die by themselves. Several that
        die together, as in a rack failure, are one death for the requests that were
        already in flight on them.

        Calls for the other connections of the same target have no further effect.
        """
        running = self._running.pop(target, None)
        if running is None:
            return []
        lost = self._lost.setdefault(target, {})
        for fp, count in running.items():
            lost[fp] = lost.get(fp, 0) + count
        for fp in running:
            self._suspect(fp)
        fp = self._isolated.pop(target, None)
        if fp is None:
            return []
        self.quarantine(fp, QUARANTINE_S)
        reason = Verdict.CONVICTED.value
        return [QuarantineEntry(fp, target, QUARANTINE_S, reason)]

    def quarantine(self, fp: str, seconds: float) -> None:
        """Refuse the fingerprint for up to `QUARANTINE_S` seconds from now."""
        until = self._clock.monotonic() + min(seconds, QUARANTINE_S)
        until = max(until, self._quarantined.pop(fp, until))
        self._quarantined[fp] = until
        _trim(self._quarantined, MAX_SUSPECTS)
        self._suspect(fp)

    def _suspect(self, fp: str) -> None:
        self._cleared.pop(fp, None)
        self._suspects.pop(fp, None)
        self._suspects[fp] = self._clock.monotonic() + SUSPICION_S
        _trim(self._suspects, MAX_SUSPECTS)

    def _clear(self, fp: str) -> None:
        if self._suspects:
            self._suspects.pop(fp, None)
        self._cleared[fp] = None
        self._cleared.move_to_end(fp)
        _trim(self._cleared, MAX_CLEARED)

    def _is_active(self, table: OrderedDict[str, float], fp: str) -> bool:
        until = table.get(fp)
        if until is None:
            return False
        if self._clock.monotonic() < until:
            return True
        del table[fp]
        return False


def _add(table: dict[str, int], fp: str) -> None:
    table[fp] = table.get(fp, 0) + 1


def _remove(table: dict[str, int], fp: str) -> None:
    if table[fp] > 1:
        table[fp] -= 1
    else:
        del table[fp]


def _trim(table: OrderedDict[str, Any], size: int) -> None:
    while len(table) > size:
        table.popitem(last=False)
