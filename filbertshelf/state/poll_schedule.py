"""When an instance polls the platform."""

from __future__ import annotations

import random

POLL_INTERVAL_S = 0.7
"""Age of the last confirmation at which the first instance polls the platform."""

RANK_DELAY_S = 0.35
"""Additional delay per rank, to wait for an update from a lower-ranked instance."""

MAX_RANK = 3
"""Highest rank for the poll delay, so that no instance goes long without an update."""

FIRST_RETRY_DELAY_S = 0.2
SMALL_FLEET_MAX_RETRY_DELAY_S = 1.0
"""The bounds of the retry delay after a failed poll, in a small fleet."""

RETRY_DELAY_PER_MEMBER_S = 0.03
"""Growth of the retry delay per member in a large fleet: a few dozen calls a second are
enough to notice that the platform is back, and the instance that notices it updates the
others."""

MAX_RETRY_DELAY_S = 3.0
"""Upper bound of the retry delay, because an instance may be cut off from all peers."""


def poll_due_at(confirmed_at: float, rank: int) -> float:
    """Return when an instance polls unless a peer updates it, in monotonic seconds.

    `rank` is the number of live instances that poll before this one, and `confirmed_at`
    the time of the platform's last answer.
    """
    return confirmed_at + POLL_INTERVAL_S + min(MAX_RANK, rank) * RANK_DELAY_S


def retry_delay_s(failures: int, members: int, rng: random.Random) -> float:
    """Return the seconds to wait after `failures` failed polls in a row."""
    cap_s = max(SMALL_FLEET_MAX_RETRY_DELAY_S, RETRY_DELAY_PER_MEMBER_S * members)
    cap_s = min(MAX_RETRY_DELAY_S, cap_s)
    return min(cap_s, FIRST_RETRY_DELAY_S * 2**failures) * rng.uniform(0.5, 1.0)
