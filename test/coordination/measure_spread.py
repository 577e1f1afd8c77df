"""Prints what one changed entry of a publication costs each node.

Run as `PYTHONPATH=. python -m test.coordination.measure_spread`.
Bytes are those of the encoded messages, without WebSocket and TCP headers. The network
and the platform are fakes with a fixed one-way latency.
"""

import asyncio
import time

from filbertshelf.coordination.store import Store
from filbertshelf.protocol.platform import PlatformDocument
from filbertshelf.state.documents import NO_VERSION
from test.coordination.configuration_fleet import Fleet

ENTRIES = 2_000
LATENCY_S = 0.0015
IDLE_S = 60


def publication(changed):
    targets = {
        f"target-{i:04}": {
            "address": f"10.{i // 250}.0.{i % 250 + 1}:8000",
            "data_centre": f"bne-{i % 3 + 1}",
            "labels": {"tier": "leaf", "group": f"g{i % 40}"},
            "slots": 6,
            "connections": 250,
        }
        for i in range(ENTRIES - 1)
    }
    targets["target-0000"]["slots"] += changed
    return {"fleet": {"instances": 100}, "targets": targets}


def bytes_received(fleet, *without):
    return [
        sum(size for name, size in node.received.items() if name not in without)
        for node in fleet.nodes.values()
    ]


async def measure(size, history_keys):
    fleet = Fleet(latency=LATENCY_S)
    fleet.platform.publish(1, publication(0))
    for node in await fleet.add(size):
        node.config.store.documents["config"]._history_keys = history_keys
    await fleet.run(30, lambda: fleet.ready() and fleet.at(1) == size)
    await fleet.run(12)
    before = bytes_received(fleet)
    calls = fleet.platform.calls
    await fleet.run(IDLE_S)
    calls = fleet.platform.calls - calls
    idle = [
        (b - a) / IDLE_S for a, b in zip(before, bytes_received(fleet), strict=True)
    ]
    before = bytes_received(fleet, "payload")
    fleet.platform.publish(2, publication(1))
    await fleet.run(8, lambda: fleet.at(2) > 0, LATENCY_S)
    most = await fleet.run(8, lambda: fleet.at(2) >= 0.9 * size, LATENCY_S)
    took = most + await fleet.run(8, lambda: fleet.at(2) == size, LATENCY_S)
    # Until all have it, the last offers and replies are still under way.
    await fleet.run(2, step=LATENCY_S)
    after = bytes_received(fleet, "payload")
    change = [b - a for a, b in zip(before, after, strict=True)]
    await fleet.stop()
    kind = "delta" if history_keys else "whole"
    print(
        f"{size:4} nodes, {kind}: mean {sum(change) / size:9.0f} B, "
        f"max {max(change):7} B per node; after the first, 90% have it in "
        f"{most * 1000:.1f} ms ({most / LATENCY_S:.0f} one-way trips), all in "
        f"{took * 1000:.0f} ms; idle {sum(idle) / size:3.0f} B/s per node and "
        f"{calls} platform calls in {IDLE_S} s"
    )


def measure_cpu():
    store = Store()
    found = [PlatformDocument(i, publication(i)) for i in range(4)]
    store.from_platform("config", found[0])
    peer = Store()
    peer.from_peer("config", store.change_since("config", NO_VERSION), "peer")
    for doc in found[1:]:
        start = time.process_time()
        store.from_platform("config", doc)
        middle = time.process_time()
        change = store.change_since("config", peer.version("config"))
        served = time.process_time()
        peer.from_peer("config", change, "peer")
        end = time.process_time()
        print(
            f"CPU: from the platform {1000 * (middle - start):.1f} ms, "
            f"delta {1000 * (served - middle):.2f} ms, "
            f"from a peer {1000 * (end - served):.1f} ms"
        )


async def main():
    for size in (5, 20, 100):
        await measure(size, 20_000)
    await measure(20, 0)


if __name__ == "__main__":
    measure_cpu()
    asyncio.run(main())
