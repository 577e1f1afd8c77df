"""Measures the cost of frames that carry several sub-requests between instances."""

from __future__ import annotations

import time
from typing import Any

import attrs
import cbor2
import uvloop
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve

from filbertshelf.bench.cpu_time import min_cpu_us
from filbertshelf.bench.query_cost import DEADLINE_MS, REQUEST, ROWS, SERVICE

ROUNDS = 5
SUB_REQUESTS = 5_000


@attrs.frozen
class FrameCost:
    """CPU time in microseconds per sub-request, with `sub_requests` in a frame.

    The query path has no such second hop yet. The measurement covers its frames, but
    not the choice of replicas or the exchange with the targets behind it.

    `codec` is the time to encode and decode the request and the reply. `both_ends` is
    the time of the whole exchange over a WebSocket, for sender and receiver together.
    `bytes_each` is the size of the request and the reply, per sub-request.
    """

    sub_requests: int
    codec: float
    both_ends: float
    bytes_each: float


def request_frame(count: int) -> list[Any]:
    """Return a frame with `count` sub-requests of different queries."""
    return [
        [f"{i:032x}.{i}.1", SERVICE, f"s{i}", "v1", 1, DEADLINE_MS, dict(REQUEST.body)]
        for i in range(count)
    ]


def reply_frame(request: list[Any]) -> list[Any]:
    """Return the frame that answers each sub-request with a few rows."""
    return [[sub[0], sub[3], sub[4], 0, {"rows": ROWS}] for sub in request]


def measure_frames(
    count: int, sub_requests: int = SUB_REQUESTS, rounds: int = ROUNDS
) -> FrameCost:
    """Return the cost of frames with `count` sub-requests in the fastest round."""
    frames = max(1, sub_requests // count)
    request = request_frame(count)
    reply = reply_frame(request)
    size = len(cbor2.dumps(request)) + len(cbor2.dumps(reply))

    def encode_and_decode() -> None:
        cbor2.loads(cbor2.dumps(request))
        cbor2.loads(cbor2.dumps(reply))

    codec = min_cpu_us(encode_and_decode, frames, rounds) / count
    cpu_s = uvloop.run(_measure_exchange(request, frames, rounds))
    both_ends = cpu_s / (frames * count) * 1e6
    return FrameCost(count, codec, both_ends, size / count)


async def _answer_frames(ws: ServerConnection) -> None:
    async for data in ws:
        await ws.send(cbor2.dumps(reply_frame(cbor2.loads(data))))


async def _measure_exchange(request: list[Any], frames: int, rounds: int) -> float:
    """Return the CPU seconds of both ends, in this process, in the fastest round."""
    fastest_s = float("inf")
    async with serve(_answer_frames, "127.0.0.1", 0, compression=None) as server:
        host, port = server.sockets[0].getsockname()
        async with connect(f"ws://{host}:{port}", compression=None) as ws:
            for _ in range(rounds):
                start = time.process_time()
                for _ in range(frames):
                    await ws.send(cbor2.dumps(request))
                    cbor2.loads(await ws.recv())
                fastest_s = min(fastest_s, time.process_time() - start)
    return fastest_s
