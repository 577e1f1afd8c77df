"""Bounds on what the connections of all callers may cost the process."""

from __future__ import annotations

import os
from collections.abc import Callable

import attrs

from filbertshelf.transport.http1.message_bounds import HeldBytes

CALLER_MEMORY_SHARE = 0.2
"""The share of the machine's memory for callers' connections.

An idle gateway takes about a third, and unfinished responses of targets up to a fifth.
"""

MIN_BUDGET_BYTES = 16 * 1024 * 1024
DEFAULT_BUDGET_BYTES = 256 * 1024 * 1024
"""The budget if the memory of the machine is unknown."""

LINE_BYTES = 160
"""What Python needs for a header line beside its bytes: a tuple, two bytes objects."""

REQUEST_BYTES = 1_024
"""What Python needs for a request beside its lines and its body."""

RESERVED_DESCRIPTORS = 200
"""Descriptors for files."""

TRANSIENT_DESCRIPTORS = 32
"""Descriptors for connections that are accepted or closed at the moment, and for those
to targets that are opened between two checks."""

MIN_CONNECTIONS = 64

DESCRIPTOR_CHECK_S = 1.0

CALLER_STALL_S = 10.0
"""A caller that takes no byte of its answers for this long is cut off.

The same as the TCP user timeout of callers' connections, which bounds the time without
an acknowledgement.
"""

_DESCRIPTOR_FOLDER = "/proc/self/fd"


@attrs.frozen
class CallerBounds:
    """The memory and the descriptors of the machine, 0 if unknown."""

    memory_bytes: int = 0
    max_descriptors: int = 0

    @property
    def budget_bytes(self) -> int:
        """Return how many bytes the connections of all callers may hold."""
        if not self.memory_bytes:
            return DEFAULT_BUDGET_BYTES
        return max(MIN_BUDGET_BYTES, int(self.memory_bytes * CALLER_MEMORY_SHARE))

    def max_connections(self, other_descriptors: int) -> float:
        """Return how many connections callers may have.

        A quarter of the descriptors is left to callers, whatever the others need.
        """
        if not self.max_descriptors:
            return float("inf")
        reserved = RESERVED_DESCRIPTORS + TRANSIENT_DESCRIPTORS
        usable = max(0, self.max_descriptors - reserved)
        return max(MIN_CONNECTIONS, usable // 4, usable - other_descriptors)


def count_descriptors() -> int:
    """Return how many descriptors the process has open."""
    return len(os.listdir(_DESCRIPTOR_FOLDER))


class CallerBudget(HeldBytes):
    """The bytes that callers' connections hold, and the cap on their number.

    Above the limit in bytes the connection with the most is shed. `on_closed` is called
    with the bound, the bytes and the peer's address for each connection that is closed
    or refused for a bound.
    """

    def __init__(
        self,
        bounds: CallerBounds | None = None,
        on_closed: Callable[[str, int, str], None] = lambda bound, count, peer: None,
        count_open: Callable[[], int] = count_descriptors,
    ):
        bounds = bounds or CallerBounds()
        super().__init__(bounds.budget_bytes)
        self.on_closed = on_closed
        self._bounds = bounds
        self._count_open = count_open
        self._next_check = 0.0
        self.max_connections = bounds.max_connections(0)

    def set_bounds(self, bounds: CallerBounds) -> None:
        """Apply the bounds of new settings."""
        self._bounds = bounds
        self._next_check = 0.0
        self.set_limit(bounds.budget_bytes)

    def check_descriptors(self, connections: int, now: float) -> None:
        """Adjust the cap to the descriptors that others than callers have open."""
        if now < self._next_check or not self._bounds.max_descriptors:
            return
        self._next_check = now + DESCRIPTOR_CHECK_S
        try:
            others = max(0, self._count_open() - connections)
        except OSError:
            # Without /proc, half of the descriptors are left to others.
            others = self._bounds.max_descriptors // 2
        self.max_connections = self._bounds.max_connections(others)
