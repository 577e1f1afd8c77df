"""Bounds on the bytes of an HTTP message and of all unfinished responses."""

from __future__ import annotations

from typing import Protocol

MAX_HEAD_BYTES = 32 * 1024
"""Bytes before the end of the headers, interim responses included."""

MAX_FIELDS = 128
"""Header and trailer lines of a response."""

MAX_INTERIM_RESPONSES = 8
"""Interim (1xx) responses before the final one."""

MAX_OTHER_RESPONSES = 16
"""Responses to other requests that are dropped before the one that is due."""

MIN_FRAMING_BYTES = 16 * 1024
"""Chunk sizes, chunk extensions and trailers that any message may have, in bytes."""

FRAMING_PER_BODY_BYTE = 8
"""Further framing bytes for each byte of the body; a chunk of one byte needs five."""

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Bytes of the body, unless the exchange has a bound of its own."""

MAX_HELD_BYTES = 32 * 1024 * 1024
"""Body bytes of all unfinished responses of a process."""


def max_framing_bytes(body_bytes: int) -> int:
    """Return how many bytes a message may have beside its head and its body."""
    return MIN_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * body_bytes


class ResponseMeter:
    """Measures one response while it arrives."""

    __slots__ = (
        "_head_complete",
        "_interim_responses",
        "_max_body_bytes",
        "_other_responses",
        "_received_bytes",
        "body_bytes",
        "fields",
    )

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES):
        self._max_body_bytes = max_body_bytes
        self._received_bytes = 0
        self._head_complete = False
        self._interim_responses = 0
        self._other_responses = 0
        self.body_bytes = 0
        self.fields = 0

    def add_received(self, count: int) -> None:
        """Count bytes as they come from the socket."""
        self._received_bytes += count

    def add_field(self) -> bool:
        """Count a header or trailer line; return whether it may be stored."""
        self.fields += 1
        return self.fields <= MAX_FIELDS

    def end_interim_response(self) -> None:
        """Count an interim response and expect another head."""
        self._interim_responses += 1
        self._head_complete = False
        self.fields = 0

    def end_other_response(self) -> None:
        """Count a response to another request and start to measure the next one."""
        self._other_responses += 1
        self._received_bytes = 0
        self._interim_responses = 0
        self._head_complete = False
        self.body_bytes = 0
        self.fields = 0

    def end_head(self) -> None:
        """Record that the headers are complete."""
        self._head_complete = True

    def exceeded_content(self) -> str:
        """Return which bound the content exceeds, an empty string if none."""
        if self.fields > MAX_FIELDS:
            return "header lines"
        if self._interim_responses > MAX_INTERIM_RESPONSES:
            return "interim responses"
        if self._other_responses > MAX_OTHER_RESPONSES:
            return "other responses"
        if self.body_bytes > self._max_body_bytes:
            return "body"
        return ""

    def exceeded_overhead(self) -> str:
        """Return which bound the bytes beside the body exceed.

        Not for a complete response, which unrelated bytes may follow.
        """
        overhead = self._received_bytes - self.body_bytes
        if overhead <= MAX_HEAD_BYTES:
            return ""
        if not self._head_complete:
            return "head"
        framing = overhead - MAX_HEAD_BYTES
        return "framing" if framing > max_framing_bytes(self.body_bytes) else ""


class Holder(Protocol):
    """A connection that holds bytes."""

    def shed(self) -> None:
        """Drop the bytes, whatever that ends; must call `HeldBytes.release`."""


class HeldBytes:
    """The bytes that connections hold, within one bound.

    Above the bound the connection with the most is shed, so that one server or caller
    that sends without end doesn't cost the others.
    """

    def __init__(self, limit: int = MAX_HELD_BYTES):
        """Create an account with a limit in bytes."""
        self._limit = limit
        self._counts: dict[Holder, int] = {}
        self.total = 0

    def update(self, holder: Holder, count: int) -> None:
        """Set the bytes that a connection holds, and shed the largest if needed."""
        self.total += count - self._counts.get(holder, 0)
        self._counts[holder] = count
        self._shed_excess()

    def set_limit(self, limit: int) -> None:
        """Apply another limit in bytes."""
        self._limit = limit
        self._shed_excess()

    def _shed_excess(self) -> None:
        while self.total > self._limit:
            largest = max(self._counts, key=self._counts.__getitem__)
            largest.shed()

    def held_by(self, holder: Holder) -> int:
        """Return the bytes that a connection holds."""
        return self._counts.get(holder, 0)

    def release(self, holder: Holder) -> None:
        """Remove a connection that holds nothing any more."""
        self.total -= self._counts.pop(holder, 0)
