"""The subcommand that runs an instance."""

from __future__ import annotations

import argparse
from pathlib import Path

from filbertshelf.commands.daemon import run_daemon
from filbertshelf.coordination.instance import Instance
from filbertshelf.settings import load_settings


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("run", help="run an instance until SIGTERM")
    parser.add_argument("settings", type=Path, help="the INI file of the instance")
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Run an instance with the settings and return the exit code."""
    cfg = load_settings(args.settings)
    return run_daemon(
        lambda: Instance(cfg), cfg.ready_file, lambda inst: inst.bound_addresses()
    )
