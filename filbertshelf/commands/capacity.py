"""The subcommand that measures the cost of each component."""

from __future__ import annotations

import argparse
import sys
import time

from filbertshelf.bench.capacity import (
    SMOKE,
    CapacityConfig,
    discard_logs,
    make_rows,
    measure,
    render,
)
from filbertshelf.commands.daemon import tune_garbage_collector


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "capacity", help="measure the cost of each component at several sizes"
    )
    parser.add_argument(
        "--smoke",
        action="store_true",
        help="tiny sizes, which give no meaningful figures",
    )
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Run the measurements and print the table."""
    start = time.monotonic()
    discard_logs()
    tune_garbage_collector()
    costs = measure(SMOKE if args.smoke else CapacityConfig(), _print_progress)
    print(render(make_rows(costs)))
    print(f"\n{time.monotonic() - start:.0f} s")
    return 0


def _print_progress(part: str) -> None:
    print(f"measuring {part}", file=sys.stderr)
