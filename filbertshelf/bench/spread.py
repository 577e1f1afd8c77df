"""Measures how one changed entry spreads over a fleet with a fake network."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from typing import Any

import attrs

from filbertshelf.bench.configuration_fleet import Fleet
from filbertshelf.coordination.document_store import DocumentStore
from filbertshelf.protocol.configuration import DocumentChange
from filbertshelf.protocol.messages import encode
from filbertshelf.protocol.platform import PlatformDocument
from filbertshelf.state.documents import NO_VERSION

LATENCY_S = 0.0015
IDLE_S = 10
CPU_ROUNDS = 5


@attrs.frozen
class SpreadCost:
    """The cost of one changed entry in a fleet of `nodes`.

    Bytes are those of the encoded messages that a node receives, without WebSocket
    and TCP headers. `one_way_trips` is the time from when the first node has the change
    until all nodes have it, in units of the network latency; `most_trips` is the time
    until 90% of the nodes have it. `calls_per_s` is the rate of platform calls of the
    whole fleet while nothing changes.
    """

    nodes: int
    mean_bytes: float
    most_bytes: int
    most_trips: float
    one_way_trips: float
    idle_bytes_per_s: float
    calls_per_s: float


@attrs.frozen
class StoreCost:
    """The cost of one changed entry in a publication of `entries`; CPU in ms.

    `accept_ms` is the time to accept a document from the platform, `delta_ms` the time
    to compute the change for a peer, and `apply_ms` the time to apply a peer's change.
    Accepting and applying both parse and check the whole publication. `held_bytes` is
    the memory of one store.
    """

    entries: int
    accept_ms: float
    delta_ms: float
    apply_ms: float
    delta_bytes: int
    whole_bytes: int
    held_bytes: int


def publication_document(entries: int, changed: int = 0) -> dict[str, Any]:
    """Return a publication with `entries` entries; `changed` alters its first one."""
    targets: dict[str, dict[str, Any]] = {
        f"target-{i:04}": {
            "address": f"10.{i // 250}.0.{i % 250 + 1}:8000",
            "data_centre": f"bne-{i % 3 + 1}",
            "labels": {"tier": "leaf", "group": f"g{i % 40}"},
            "slots": 6,
            "connections": 250,
        }
        for i in range(entries - 1)
    }
    targets["target-0000"]["slots"] += changed
    return {"fleet": {"instances": 100}, "targets": targets}


def measure_spread(nodes: int, entries: int = 100) -> SpreadCost:
    """Return the cost of one changed entry in a fleet of this number of nodes."""
    return asyncio.run(_measure_spread(nodes, entries))


def _received_bytes(fleet: Fleet, *without: str) -> list[int]:
    return [
        sum(size for name, size in node.received.items() if name not in without)
        for node in fleet.nodes.values()
    ]


async def _measure_spread(nodes: int, entries: int) -> SpreadCost:
    fleet = Fleet(latency=LATENCY_S)
    fleet.platform.publish(1, publication_document(entries))
    await fleet.add(nodes)
    await fleet.run(30, lambda: fleet.ready() and fleet.count_at_revision(1) == nodes)
    # Waits until only the chosen watchers still watch the platform.
    await fleet.run(12)
    before, calls = _received_bytes(fleet), fleet.platform.calls
    await fleet.run(IDLE_S)
    idle_bytes = sum(_received_bytes(fleet)) - sum(before)
    idle_calls = fleet.platform.calls - calls
    before = _received_bytes(fleet, "payload")
    fleet.platform.publish(2, publication_document(entries, 1))
    await fleet.run(8, lambda: fleet.count_at_revision(2) > 0, LATENCY_S)
    most_s = await fleet.run(
        8, lambda: fleet.count_at_revision(2) >= 0.9 * nodes, LATENCY_S
    )
    all_s = most_s + await fleet.run(
        8, lambda: fleet.count_at_revision(2) == nodes, LATENCY_S
    )
    # When all nodes have the change, the last offers and replies are still in transit.
    await fleet.run(0.1, step=LATENCY_S)
    pairs = zip(before, _received_bytes(fleet, "payload"), strict=True)
    change_bytes = [after - earlier for earlier, after in pairs]
    await fleet.stop()
    return SpreadCost(
        nodes,
        sum(change_bytes) / nodes,
        max(change_bytes),
        most_s / LATENCY_S,
        all_s / LATENCY_S,
        idle_bytes / IDLE_S / nodes,
        idle_calls / IDLE_S,
    )


def measure_store(entries: int, rounds: int = CPU_ROUNDS) -> StoreCost:
    """Return the CPU time and memory of a publication with `entries` entries."""
    documents = [
        PlatformDocument(i, publication_document(entries, i)) for i in range(rounds + 1)
    ]
    store, peer = DocumentStore(), DocumentStore()
    store.apply_platform_document("config", documents[0])
    full_change = store.change_since("config", NO_VERSION)
    peer.apply_peer_change("config", full_change, "peer")
    accepts, deltas, applies = [], [], []
    for document in documents[1:]:
        start = time.process_time()
        store.apply_platform_document("config", document)
        accepted = time.process_time()
        delta = store.change_since("config", peer.version("config"))
        made = time.process_time()
        peer.apply_peer_change("config", delta, "peer")
        accepts.append(accepted - start)
        deltas.append(made - accepted)
        applies.append(time.process_time() - made)
    return StoreCost(
        entries,
        # The minimum is used because other work on the machine only adds to the time.
        1000 * min(accepts),
        1000 * min(deltas),
        1000 * min(applies),
        len(encode(DocumentChange.of("config", delta))),
        len(encode(DocumentChange.of("config", full_change))),
        _held_bytes(documents[0]),
    )


def _held_bytes(document: PlatformDocument) -> int:
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        store = DocumentStore()
        store.apply_platform_document("config", document)
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before
