"""The selection of a target for one shard by cost and distance."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable

import attrs

from filbertshelf.state.replicas import TargetState

REMOTE_FACTOR = 2.0
"""The cost factor of a target in another data centre, where transfer costs more."""

SHARED_SLOT_WEIGHT = 0.5
"""What a request in flight adds to the queue of a target with several slots. It isn't
the share of a slot, because other instances use the slots too."""

NEW_TARGET_FACTOR = 1.5
"""The assumed latency of a target without answers, relative to its fastest sibling."""

DEFAULT_LATENCY_S = 0.02
"""The assumed latency in seconds while no target of the shard has answered."""

JITTER = 0.1
"""The largest share of a cost that is added at random.

Without it all instances would prefer the same target.
"""


@attrs.define(eq=False)
class Candidate:
    """A target that may be selected."""

    state: TargetState
    local: bool
    """Whether the target is in the data centre of this instance."""
    oldest_start: float | None = None
    """The time of the oldest running sub-request's start, in monotonic seconds."""
    can_connect: bool = True
    """Whether a connection to the target is idle or can be opened."""
    cost_factor: float = 1.0
    """The factor by which a cold target counts as costlier."""

    def waiting_s(self, now: float) -> float:
        """Return the age of the oldest running sub-request in seconds, 0.0 if none."""
        return 0.0 if self.oldest_start is None else now - self.oldest_start

    def expected_s(self, now: float, default_s: float = DEFAULT_LATENCY_S) -> float:
        """Return the expected seconds until the target answers one more request.

        It is the target's latency times the length of its queue, in which a request in
        flight counts less if the target has several slots; `default_s` is the latency
        without an answer so far. If the oldest running sub-request has waited for
        longer than that latency, the target may have stalled and the waiting time is
        used instead.
        """
        state = self.state
        in_flight = state.in_flight
        per_request = (
            state.cost_at(now) / (in_flight + 1) if state.latency_s else default_s
        )
        weight = 1.0 if state.target.slots < 2 else SHARED_SLOT_WEIGHT
        queue = 1.0 + weight * in_flight
        if self.oldest_start is not None:
            per_request = max(per_request, self.waiting_s(now))
        if not self.can_connect:
            queue += 1
        return per_request * queue

    def cost_s(self, now: float, default_s: float) -> float:
        """Return the expected seconds, weighted by distance and coldness."""
        distance = 1.0 if self.local else REMOTE_FACTOR
        return self.expected_s(now, default_s) * distance * self.cost_factor


def assumed_latency_s(available: Iterable[Candidate]) -> float:
    """Return the latency that is assumed for a target without answers."""
    # The typical latency excludes the penalties for failures, so a new target is
    # preferred if all its siblings fail.
    typical = [
        latency_s
        for candidate in available
        if (latency_s := candidate.state.typical_latency_s)
    ]
    return NEW_TARGET_FACTOR * min(typical) if typical else DEFAULT_LATENCY_S


def choose_cheapest(
    candidates: Iterable[Candidate],
    exclude: Collection[str],
    now: float,
    rng: random.Random,
) -> Candidate | None:
    """Return the available candidate with the lowest cost, None if there is none."""
    available = [
        candidate
        for candidate in candidates
        if candidate.state.name not in exclude and candidate.state.is_available()
    ]
    if len(available) < 2:
        return available[0] if available else None
    default_s = assumed_latency_s(available)
    cheapest = available[0]
    lowest_cost = math.inf
    for candidate in available:
        jitter = 1.0 + JITTER * rng.random()
        cost = candidate.cost_s(now, default_s) * jitter
        if cost < lowest_cost:
            cheapest = candidate
            lowest_cost = cost
    return cheapest
