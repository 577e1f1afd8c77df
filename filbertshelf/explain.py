"""Explains a request from the log lines of instances."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from filbertshelf.errors import UserError
from filbertshelf.events import CATALOGUE

_HIDDEN = frozenset(
    {"event", "level", "timestamp", "task_uuid", "task_level", "message_type"}
)


def find_messages(request_id: str, paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the messages in the files that belong to the request, by time.

    A request that was planned twice or forwarded has ids with a suffix. Raises
    `UserError` if a file can't be read.
    """
    found = [message for path in paths for message in _in_file(request_id, path)]
    return sorted(found, key=lambda message: message["timestamp"])


def _in_file(request_id: str, path: Path) -> list[dict[str, Any]]:
    try:
        with path.open(encoding="utf-8", errors="replace") as lines:
            return list(_matching(request_id, lines))
    except OSError as exc:
        raise UserError(str(exc), "name a readable log file") from exc


def _matching(request_id: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        if request_id not in line:
            continue
        # A collector may put the time and the machine before the line.
        prefix, brace, rest = line.partition("{")
        try:
            message = json.loads(brace + rest)
        except ValueError:
            continue  # The last line may be cut when the process was killed.
        found = str(message.get("request_id", ""))
        if found == request_id or found.startswith(f"{request_id}."):
            yield {"machine": prefix.split()[-1], **message} if prefix else message


def format_message(message: dict[str, Any]) -> str:
    """Return one line for a person."""
    event = CATALOGUE.get(message.get("event", 0))
    when = datetime.fromtimestamp(message["timestamp"], UTC).strftime("%H:%M:%S.%f")
    name = event.name if event else message.get("message_type", "")
    fields = " ".join(
        f"{key}={value}"
        for key, value in message.items()
        if key not in _HIDDEN and key != "request_id"
    )
    return f"{when[:-3]} {message.get('event', '')} {name}: {fields}"
