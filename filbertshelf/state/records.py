"""Merging of the fixed-size records of many shards."""

from __future__ import annotations

from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Return the records of one answer; a shorter remainder is ignored."""
    full_length = len(body) - len(body) % RECORD_BYTES
    return [
        body[start : start + RECORD_BYTES]
        for start in range(0, full_length, RECORD_BYTES)
    ]


def greatest_records(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records of the answers, greatest first.

    Records are compared byte by byte; duplicates are kept.
    """
    records: list[bytes] = []
    for body in bodies:
        records += split_records(body)
    records.sort(reverse=True)
    return b"".join(records[:top_k])
