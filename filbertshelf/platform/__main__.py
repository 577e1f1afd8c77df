"""Runs a gateway on the platform: `python3 -m filbertshelf.platform`."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from filbertshelf.clock import SystemClock
from filbertshelf.commands.daemon import run_daemon
from filbertshelf.coordination.gateway import Gateway
from filbertshelf.errors import FilbertshelfError
from filbertshelf.platform.entries import decode_table
from filbertshelf.platform.names import HEADERS, SETTINGS_VARIABLE
from filbertshelf.platform.settings import load_gateway_settings
from filbertshelf.platform.store import StoreClient


def main() -> int:
    """Run until SIGTERM and return the exit code."""
    try:
        cfg = load_gateway_settings(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    except FilbertshelfError as exc:
        print(f"filbertshelf: {exc}", file=sys.stderr)
        return exc.exit_code
    clock = SystemClock()

    def make() -> Gateway:
        store = StoreClient(cfg.instance.platform, clock)
        return Gateway(cfg, HEADERS, store, decode_table, clock)

    return run_daemon(make, "", lambda gateway: {})


if __name__ == "__main__":
    sys.exit(main())
