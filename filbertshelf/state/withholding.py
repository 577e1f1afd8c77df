"""Why and until when a listed target gets no new requests."""

from __future__ import annotations

import enum
import math

import attrs

from filbertshelf.state.directory import ListedTarget

MAX_RETRY_AFTER_S = 60.0
"""A target that asks for a longer pause is tried again after this one."""

MAX_SPREAD_S = 0.5
RETURN_SPREAD = 0.1
"""The first request after a pause comes up to this share of the pause later, and at
most `MAX_SPREAD_S`, so that the instances don't all return at the same moment."""


class Cause(enum.Enum):
    """What a target or the platform has said."""

    DRAINING = "draining"
    """The platform lists the target as draining."""
    LEAVING = "leaving"
    """The target has said in a response that it leaves."""
    RETRY_LATER = "retry_later"
    """The target has refused a request and named a time to come back."""
    EVACUATED = "evacuated"
    """The operator has evacuated the target's data centre."""


@attrs.frozen
class Withholding:
    """A statement that keeps new requests away from a target.

    `until` is in monotonic seconds, infinite if the statement holds as long as the
    target's process; `source` is who has said it.
    """

    cause: Cause
    source: str
    until: float = math.inf

    @classmethod
    def retry_later(
        cls, pause_s: float, now: float, spread: float, source: str
    ) -> Withholding:
        """Return the pause of a target; `spread` is random, from 0 to 1."""
        pause_s = min(pause_s, MAX_RETRY_AFTER_S)
        spread_s = spread * min(MAX_SPREAD_S, RETURN_SPREAD * pause_s)
        return cls(Cause.RETRY_LATER, source, now + pause_s + spread_s)

    def outlasts(self, other: Withholding | None) -> bool:
        """Return whether this statement holds longer than another one."""
        return other is None or self.until > other.until


@attrs.frozen
class LeavingTarget:
    """A target process that leaves; one that starts again under its id is another."""

    id: str
    started_ms: int

    @classmethod
    def of(cls, listed: ListedTarget) -> LeavingTarget:
        """Return the process of a listed target."""
        return cls(listed.id, listed.started_ms)
