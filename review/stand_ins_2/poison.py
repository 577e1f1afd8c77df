"""A request that crashes each leaf that begins to run it, and its caller."""

from __future__ import annotations

import time

from case import Fleet, Record, new_request_id
from gateways import STABILITY_WINDOW_S, Gateway
from leafs import Arrival, Crash

POISON = "/timi402/poison"
CRASHES = 3
MAX_RETRIES = 3
"""The rule's limit on retries that reach leafs, later than the window below."""


class Poison:
    """The caller whose request crashes each leaf that begins to run it."""

    def __init__(self, fleet: Fleet, record: Record):
        self._fleet = fleet
        self._record = record
        self.sent: dict[str, tuple[Gateway, float]] = {}
        """The gateway and the time of each attempt, by its id."""

    async def send(self, gateway: Gateway) -> int:
        """Send one attempt and return the status of the answer."""
        request_id = new_request_id()
        at = time.monotonic()
        self.sent[request_id] = (gateway, at)
        answer = await gateway.send(POISON, request_id)
        retry_after = answer.fields.get("retry-after", "none")
        self._record.line(
            f"attempt {request_id} sent to {gateway.name}: status {answer.status}, "
            f"retry-after {retry_after}, reached {self._reached(request_id)} leafs"
        )
        return answer.status

    def _reached(self, request_id: str) -> int:
        return sum(a.request_id == request_id for a in arrivals(self._fleet))


def arrivals(fleet: Fleet) -> list[Arrival]:
    """Return what has reached the leafs with the request that crashes them."""
    found = [a for leaf in fleet.leafs for a in leaf.arrivals if a.target == POISON]
    return sorted(found, key=lambda arrival: arrival.at)


def crashes(fleet: Fleet) -> list[Crash]:
    """Return the crashes of all leafs in their order."""
    found = [crash for leaf in fleet.leafs for crash in leaf.crashes]
    return sorted(found, key=lambda crash: crash.at)


def judge(fleet: Fleet, poison: Poison, record: Record) -> bool:
    """Count the retries that reached leafs from gateways in touch, late enough."""
    third = crashes(fleet)[CRASHES - 1]
    record.line(f"the third crash, by attempt {third.request_id}", third.at)
    for arrival in arrivals(fleet):
        text = f"attempt {arrival.request_id} reaches {arrival.leaf}"
        record.line(text, arrival.at)
    reached = {arrival.request_id for arrival in arrivals(fleet)}
    counted = []
    for request_id, (gateway, at) in poison.sent.items():
        late = at > third.at + STABILITY_WINDOW_S
        if request_id in reached and late and gateway.is_in_touch(at):
            counted.append(request_id)
    record.line(
        f"retries that reached leafs, sent by gateways in touch later than "
        f"{STABILITY_WINDOW_S} s after the third crash: {len(counted)}, "
        f"allowed {MAX_RETRIES}"
    )
    return len(counted) <= MAX_RETRIES
