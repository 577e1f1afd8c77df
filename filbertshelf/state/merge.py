"""Merging of the rows of shard answers into one answer."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any


def merge_rows(
    parts: Iterable[tuple[str, str, Mapping[str, Any]]], query: Mapping[str, Any]
) -> tuple[Any, ...]:
    """Return the rows of all parts in a stable order, up to the query's limit.

    A part is (service, shard, answer). Rows are ordered by the query's `order_by`
    field, then by service, shard and position. Rows without the field come last.
    """
    rows = []
    field = query.get("order_by")
    for service, shard, answer in parts:
        for position, row in enumerate(_rows(answer)):
            rows.append((_sort_key(row, field), service, shard, position, row))
    rows.sort(key=lambda item: item[:4])
    limit = query.get("limit")
    if type(limit) is int and limit >= 0:
        rows = rows[:limit]
    return tuple(item[4] for item in rows)


def _rows(answer: Mapping[str, Any]) -> list[Any]:
    rows = answer.get("rows")
    return rows if isinstance(rows, list) else []


def _sort_key(row: object, field: object) -> tuple[int, float, str]:
    """Return a sort key: numbers first, then texts, then rows without the field."""
    if not isinstance(field, str) or not isinstance(row, Mapping):
        return (2, 0.0, "")
    value = row.get(field)
    if isinstance(value, int | float):
        return (0, float(value), "")
    if isinstance(value, str):
        return (1, 0.0, value)
    return (2, 0.0, "")
