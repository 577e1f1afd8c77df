"""The subcommand that compares the strategies under load."""

from __future__ import annotations

import argparse
import asyncio
import sys

from filbertshelf.bench.experiment import (
    STRATEGIES,
    ExperimentConfig,
    Measurement,
    run_experiment,
)
from filbertshelf.bench.scenarios import SCENARIOS
from filbertshelf.bench.table import render
from filbertshelf.clock import SystemClock
from filbertshelf.standins.deployments import PROFILES


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("bench", help="compare the strategies under load")
    parser.add_argument("--profile", choices=tuple(PROFILES), default="hatstand")
    parser.add_argument(
        "--scenario", choices=tuple(SCENARIOS), action="append", help="repeatable"
    )
    parser.add_argument(
        "--strategy", choices=STRATEGIES, action="append", help="repeatable"
    )
    parser.add_argument(
        "--scale", type=float, default=0.2, help="share of the fleet's size"
    )
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="duration of each load"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Run the scenarios and print the table."""
    scenario_names = args.scenario or tuple(SCENARIOS)
    cfg = ExperimentConfig(
        profile=PROFILES[args.profile],
        scale=args.scale,
        scenarios=tuple(SCENARIOS[name] for name in scenario_names),
        strategies=tuple(args.strategy or STRATEGIES),
        duration_s=args.seconds,
        seed=args.seed,
    )
    print(
        f"profile {args.profile}, scale {args.scale:g}, {args.seconds:g} s per load, "
        f"seed {args.seed}"
    )
    measurements = asyncio.run(run_experiment(cfg, SystemClock(), _print_progress))
    print(render(measurements))
    return 0


def _print_progress(measurement: Measurement) -> None:
    print(f"measured {measurement.scenario}, {measurement.strategy}", file=sys.stderr)
