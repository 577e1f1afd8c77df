"""The program that runs a gateway on the platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from filbertshelf.clock import BootClock, Clock
from filbertshelf.commands.daemon import run_daemon
from filbertshelf.coordination.gateway import Gateway
from filbertshelf.errors import FilbertshelfError
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.platform.constants import HEADERS, SETTINGS_VARIABLE
from filbertshelf.platform.entries import decode_route_table
from filbertshelf.platform.settings import SettingsFile
from filbertshelf.platform.store import StoreClient


def main() -> int:
    """Run until SIGTERM and return the exit code."""
    settings = SettingsFile(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    clock = BootClock()

    def make() -> Gateway:
        return Gateway(settings, HEADERS, _store, decode_route_table, clock)

    try:
        return run_daemon(make, "", lambda gateway: {}, Gateway.reload)
    except FilbertshelfError as exc:
        print(f"filbertshelf: {exc}", file=sys.stderr)
        return exc.exit_code


def _store(cfg: GatewaySettings, clock: Clock) -> StoreClient:
    return StoreClient(cfg.instance.platform, clock)
