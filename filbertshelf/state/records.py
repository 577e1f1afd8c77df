"""Merging of the fixed-size records of many shards."""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable

RECORD_BYTES = 16
_RECORD = struct.Struct(f"{RECORD_BYTES}s")

MAX_KEPT_FACTOR = 4
"""The records that are kept before they are cut to the greatest ones, as a multiple of
the number of these."""


def greatest_records(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records of the answers, greatest first.

    Records are compared byte by byte; duplicates are kept. A shorter remainder of an
    answer is ignored.
    """
    records: list[bytes] = []
    # The least of the `top_k` greatest so far; only greater ones can change the result.
    least = b""
    max_kept = MAX_KEPT_FACTOR * top_k if top_k > 0 else math.inf
    for body in bodies:
        remainder = len(body) % RECORD_BYTES
        rows = _RECORD.iter_unpack(body[:-remainder] if remainder else body)
        records += [record for (record,) in rows if record > least]
        if len(records) > max_kept:
            records.sort(reverse=True)
            del records[top_k:]
            least = records[-1]
    records.sort(reverse=True)
    return b"".join(records[:top_k])
