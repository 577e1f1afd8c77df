"""The subcommand that explains a request from the log files."""

from __future__ import annotations

import argparse
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


def add(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "explain", help="show every decision about a request"
    )
    parser.add_argument("request_id")
    parser.add_argument("logs", nargs="+", type=Path, help="log files of instances")
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Print the decisions about a request in order of time."""
    found = sorted(
        find_messages(args.request_id, args.logs), key=lambda m: m["timestamp"]
    )
    if not found:
        raise UserError(
            f"no log line names request {args.request_id!r}",
            "name the log files of all instances that may have handled it",
        )
    for message in found:
        print(describe(message))
    return 0


def find_messages(request_id: str, paths: Iterable[Path]) -> Iterator[dict[str, Any]]:
    """Yield the messages in the files that belong to the request.

    A request that was planned twice or forwarded has ids with a suffix.
    """
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as lines:
                yield from _matching(request_id, lines)
        except OSError as exc:
            raise UserError(str(exc), "name a readable log file") from exc


def _matching(request_id: str, lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        if request_id not in line:
            continue
        try:
            message = json.loads(line)
        except ValueError:
            continue  # The last line may be cut when the process was killed.
        found = str(message.get("request_id", ""))
        if found == request_id or found.startswith(f"{request_id}."):
            yield message


def describe(message: dict[str, Any]) -> str:
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
