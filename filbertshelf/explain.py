"""Extraction and formatting of the log messages of one request."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from filbertshelf.errors import UserError
from filbertshelf.events import CATALOGUE

_HIDDEN_FIELDS = frozenset(
    {"event", "level", "timestamp", "task_uuid", "task_level", "message_type"}
)


def find_messages(request_id: str, paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the messages of the request in the files, sorted by time.

    Includes ids with a dotted suffix, which a request gets when it is planned again or
    forwarded. Raises `UserError` if a file can't be read.
    """
    messages = [
        message for path in paths for message in _read_messages(request_id, path)
    ]
    return sorted(messages, key=lambda message: message["timestamp"])


def _read_messages(request_id: str, path: Path) -> list[dict[str, Any]]:
    try:
        with path.open(encoding="utf-8", errors="replace") as lines:
            return list(_parse_matching_lines(request_id, lines))
    except OSError as exc:
        raise UserError(str(exc), "name a readable log file") from exc


def _parse_matching_lines(
    request_id: str, lines: Iterable[str]
) -> Iterator[dict[str, Any]]:
    for line in lines:
        if request_id not in line:
            continue
        # A log collector may prefix the line with the time and the machine.
        prefix, brace, rest = line.partition("{")
        try:
            message = json.loads(brace + rest)
        except ValueError:
            continue  # The last line is cut off if the process was killed.
        found_id = str(message.get("request_id", ""))
        if found_id == request_id or found_id.startswith(f"{request_id}."):
            yield {"machine": prefix.split()[-1], **message} if prefix else message


def format_message(message: dict[str, Any]) -> str:
    """Return a message as one readable line."""
    event = CATALOGUE.get(message.get("event", 0))
    time_of_day = datetime.fromtimestamp(message["timestamp"], UTC).strftime(
        "%H:%M:%S.%f"
    )
    name = event.name if event else message.get("message_type", "")
    fields = " ".join(
        f"{key}={value}"
        for key, value in message.items()
        if key not in _HIDDEN_FIELDS and key != "request_id"
    )
    return f"{time_of_day[:-3]} {message.get('event', '')} {name}: {fields}"
