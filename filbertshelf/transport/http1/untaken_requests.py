"""Bounds on written requests that targets have not taken."""

from __future__ import annotations

from collections.abc import Callable

from filbertshelf.transport.http1.message_bounds import HeldBytes

UNTAKEN_MEMORY_SHARE = 0.1
"""The share of the machine's memory for requests that no target has taken.

The callers' budget counts a request while its caller waits; this one also counts those
whose caller has left.
"""

MIN_TOTAL_BYTES = 8 * 1024 * 1024
DEFAULT_TOTAL_BYTES = 64 * 1024 * 1024
"""The bound for all targets if the memory of the machine is unknown."""

MAX_TARGET_BYTES = 4 * 1024 * 1024
"""Bytes that one target may leave untaken before further requests to it wait."""

TARGET_STALL_S = 5.0
"""The exchange with a target that takes no byte for this long is ended."""

STALL_CHECK_S = 0.5

BUFFERED_BYTES = 16 * 1024
"""Bytes of a request that may wait in this process without being counted."""


class UntakenRequests(HeldBytes):
    """The bytes of requests that are written and not taken by their targets.

    Above the bound for all targets, the largest request is given up. `on_closed` is
    called with the bound, the bytes and the target's address for each one that is.
    """

    def __init__(
        self,
        memory_bytes: int = 0,
        on_closed: Callable[[str, int, str], None] = lambda bound, count, peer: None,
    ):
        """Create for a machine with some memory, 0 if that is unknown."""
        super().__init__(total_limit(memory_bytes))
        self.on_closed = on_closed


def total_limit(memory_bytes: int) -> int:
    """Return how many bytes all targets together may leave untaken."""
    if not memory_bytes:
        return DEFAULT_TOTAL_BYTES
    return max(MIN_TOTAL_BYTES, int(memory_bytes * UNTAKEN_MEMORY_SHARE))
