"""The subcommands that run stand-in targets and a stand-in platform."""

from __future__ import annotations

import argparse
from pathlib import Path

from filbertshelf.clock import SystemClock
from filbertshelf.commands.daemon import run_daemon
from filbertshelf.standins.platform import PlatformStandin
from filbertshelf.standins.target_host import TargetHost, load_host_config


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommands."""
    parser = subparsers.add_parser("standin-target", help="run stand-in targets")
    parser.add_argument("config", type=Path, help="the JSON file of the host")
    parser.set_defaults(handler=run_targets)
    parser = subparsers.add_parser("standin-platform", help="run a stand-in platform")
    parser.add_argument("ready_file", help="file for the bound address as JSON")
    parser.set_defaults(handler=run_platform)


def run_targets(args: argparse.Namespace) -> int:
    """Run the targets of a host configuration until SIGTERM."""
    cfg = load_host_config(args.config)
    # The target host writes its ready file itself.
    return run_daemon(lambda: TargetHost(cfg, SystemClock()), "", lambda _: {})


def run_platform(args: argparse.Namespace) -> int:
    """Run the platform until SIGTERM."""
    return run_daemon(
        lambda: PlatformStandin(("127.0.0.1", 0)),
        args.ready_file,
        lambda platform: {"address": "{}:{}".format(*platform.address)},
    )
