"""The subcommand that shows the log messages of a request."""

from __future__ import annotations

import argparse
from pathlib import Path

from filbertshelf.errors import UserError
from filbertshelf.explain import find_messages, format_message


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "explain", help="show every decision about a request"
    )
    parser.add_argument("request_id")
    parser.add_argument("logs", nargs="+", type=Path, help="log files of instances")
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Print the decisions about a request, sorted by time."""
    messages = find_messages(args.request_id, args.logs)
    if not messages:
        raise UserError(
            f"no log line names request {args.request_id!r}",
            "name the log files of all instances that may have handled it",
        )
    for message in messages:
        print(format_message(message))
    return 0
