"""The subcommand that measures what the parts cost."""

from __future__ import annotations

import argparse
import sys
import time

from filbertshelf.bench.capacity import (
    SMOKE,
    CapacityConfig,
    drop_logs,
    measure,
    render,
    rows,
)
from filbertshelf.commands.daemon import tune_collector


def add(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "capacity", help="measure what the parts cost at several sizes"
    )
    parser.add_argument(
        "--smoke", action="store_true", help="tiny sizes; the figures mean nothing"
    )
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Run the measurements and print the table."""
    start = time.monotonic()
    drop_logs()
    tune_collector()
    costs = measure(SMOKE if args.smoke else CapacityConfig(), _progress)
    print(render(rows(costs)))
    print(f"\n{time.monotonic() - start:.0f} s")
    return 0


def _progress(part: str) -> None:
    print(f"measuring {part}", file=sys.stderr)
