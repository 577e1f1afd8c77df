"""The subcommand that shows which policy matches given labels."""

from __future__ import annotations

import argparse
from pathlib import Path

from filbertshelf.commands.check import load_publication
from filbertshelf.errors import NoPolicyError, UserError
from filbertshelf.state.plan import make_plan
from filbertshelf.state.publication import match_policies


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("match", help="show which policy matches labels")
    parser.add_argument("publication", type=Path, help="a JSON file")
    parser.add_argument("labels", nargs="*", metavar="KEY=VALUE")
    parser.set_defaults(handler=run)


def run(args: argparse.Namespace) -> int:
    """Print the chosen policy, the other matching ones and the number of shards."""
    publication = load_publication(args.publication)
    labels = dict(_parse_label(text) for text in args.labels)
    match = match_policies(publication, labels)
    if match.policy is None:
        raise NoPolicyError("no policy matches the labels", "publish one that does")
    plan = make_plan(publication, 0, match.policy)
    print(f"policy {match.policy.name} wins: {_describe_precedence(match.policy)}")
    for policy in match.candidates[1:]:
        print(
            f"  it takes precedence over {policy.name}: {_describe_precedence(policy)}"
        )
    services = ", ".join(plan.snapshot)
    print(f"it sends requests to {len(plan.shards)} shards of {services}")
    return 0


def _describe_precedence(policy) -> str:
    count = len(policy.selector.requirements)
    return (
        f"priority {policy.priority}, {count} requirements in {policy.selector.text!r}"
    )


def _parse_label(text: str) -> tuple[str, str]:
    key, equals, value = text.partition("=")
    if not (key and equals):
        raise UserError(f"{text!r} is not a label", "write KEY=VALUE")
    return key, value
