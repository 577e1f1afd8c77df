"""The choice between the targets of one shard by cost and distance."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import attrs

from filbertshelf.state.replicas import TargetState

REMOTE_FACTOR = 2.0
"""A target in another data centre must be this much cheaper, as its bytes cost more."""

NEW_FACTOR = 1.5
"""A target without answers is taken for this much slower than its siblings."""

FIRST_GUESS_S = 0.02
"""What a target is taken for while no target of the shard has answered."""

JITTER = 0.1
"""The random part of a cost, so that instances don't all prefer the same target."""


@attrs.define(eq=False)
class Candidate:
    """One target that may be chosen."""

    state: TargetState
    local: bool
    """Whether the target is in the data centre of this instance."""
    oldest_start: float | None = None
    """When the longest running sub-request was sent, in monotonic seconds."""
    can_connect: bool = True
    """Whether a connection is free or can be opened."""

    def waiting_s(self, now: float) -> float:
        """Return for how many seconds the longest running sub-request has waited."""
        return 0.0 if self.oldest_start is None else now - self.oldest_start


def choose_nearest(
    candidates: Iterable[Candidate],
    exclude: Collection[str],
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """Return the cheapest available candidate, None if there is none.

    The cost is what the target usually takes for what it has in flight. A sub-request
    that has waited for longer than that is the better sign: the target stands still.
    """
    live = [
        item
        for item in candidates
        if item.state.name not in exclude and item.state.available()
    ]
    if len(live) < 2:
        return live[0] if live else None
    # Not the average that penalties raise: where all siblings fail, the new one is
    # the best choice.
    usual = [
        item.state.typical_latency_s for item in live if item.state.typical_latency_s
    ]
    unknown_s = NEW_FACTOR * min(usual) if usual else FIRST_GUESS_S
    return min(live, key=lambda item: _cost(item, unknown_s, now, rng))


def _cost(item: Candidate, unknown_s: float, now: float, rng: random.Random) -> float:
    state = item.state
    per_request = state.cost_at(now) / (state.in_flight + 1)
    if not state.latency_s:
        per_request = unknown_s
    per_request = max(per_request, item.waiting_s(now))
    queue = state.in_flight + 1
    if not item.can_connect:
        queue += 1
    distance = 1.0 if item.local else REMOTE_FACTOR
    return per_request * queue * distance * (1.0 + JITTER * rng.random())
