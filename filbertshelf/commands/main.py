"""Entry point of the command line: runs a subcommand and maps errors to exit codes."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from absl.flags import argparse_flags

from filbertshelf import __version__
from filbertshelf.commands import (
    bench,
    capacity,
    check,
    demo,
    explain,
    instance,
    match,
    route_now,
    standins,
)
from filbertshelf.errors import FilbertshelfError

MODULES = (instance, check, match, explain, route_now, demo, bench, capacity, standins)


def make_parser() -> argparse_flags.ArgumentParser:
    """Return the parser with all subcommands."""
    parser = argparse_flags.ArgumentParser(
        prog="filbertshelf", description="A query tier over many shards."
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(dest="command", required=True)
    for module in MODULES:
        module.add_parser(subparsers)
    return parser


def main(argv: Sequence[str]) -> int:
    """Run the subcommand in `argv` and return the exit code."""
    args = make_parser().parse_args(argv[1:])
    try:
        return args.handler(args)
    except FilbertshelfError as exc:
        print(f"filbertshelf {args.command}: {exc}", file=sys.stderr)
        return exc.exit_code
    except KeyboardInterrupt:
        return 130


def run() -> None:
    """Run the subcommand in `sys.argv` and exit the process."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
