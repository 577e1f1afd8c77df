"""The subcommand that demonstrates complete deployments on loopback."""

from __future__ import annotations

import argparse
import asyncio
import time

from filbertshelf.bench.demo import demonstrate


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "demo", help="run both deployments with stand-ins and inject faults"
    )
    parser.set_defaults(handler=run)


def run(_args: argparse.Namespace) -> int:
    """Run the demonstration and return 0 if every check holds, 1 otherwise."""
    start = time.monotonic()
    checks = asyncio.run(demonstrate(print))
    failed = [check for check in checks if not check.passed]
    for check in failed:
        print(f"FAILED {check.text}")
    print(
        f"\n{len(checks) - len(failed)} of {len(checks)} checks hold, "
        f"{time.monotonic() - start:.0f} s"
    )
    return 1 if failed else 0
