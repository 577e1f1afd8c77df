"""The subcommands that check settings and publications."""

from __future__ import annotations

import argparse
import json
from pathlib import Path
from typing import Any

from filbertshelf.errors import Problem, PublicationError
from filbertshelf.settings import load_settings
from filbertshelf.state.publication import Publication, parse_publication


def add_parser(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommands."""
    parser = subparsers.add_parser("check-settings", help="check an INI file")
    parser.add_argument("settings", type=Path)
    parser.set_defaults(handler=check_settings)
    parser = subparsers.add_parser("check-publication", help="check a JSON file")
    parser.add_argument("publication", type=Path)
    parser.set_defaults(handler=check_publication)


def check_settings(args: argparse.Namespace) -> int:
    """Print that the settings are valid; raises `SettingsError` otherwise."""
    cfg = load_settings(args.settings)
    print(f"{args.settings}: valid settings of instance {cfg.name}")
    return 0


def check_publication(args: argparse.Namespace) -> int:
    """Print that the publication is valid; raises `PublicationError` otherwise."""
    publication = load_publication(args.publication)
    print(
        f"{args.publication}: valid publication with "
        f"{len(publication.services)} services, "
        f"{len(publication.targets)} targets and {len(publication.policies)} policies"
    )
    return 0


def load_publication(path: Path) -> Publication:
    """Return the publication in a JSON file.

    Raises `PublicationError` with every problem in the file.
    """
    return parse_publication(_read_json(path))


def _read_json(path: Path) -> Any:
    try:
        return json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        problem = Problem("file", str(path), str(exc), "name a readable JSON file")
        raise PublicationError([problem]) from exc
