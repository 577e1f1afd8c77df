"""The program that runs a gateway with the platform's settings and store."""

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
    """Run a gateway until SIGTERM or SIGINT and return the exit code."""
    settings = SettingsFile(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    clock = BootClock()

    def make_gateway() -> Gateway:
        return Gateway(settings, HEADERS, _make_store_client, decode_route_table, clock)

    try:
        return run_daemon(make_gateway, "", lambda gateway: {}, Gateway.reload)
    except FilbertshelfError as exc:
        print(f"filbertshelf: {exc}", file=sys.stderr)
        return exc.exit_code


def _make_store_client(cfg: GatewaySettings, clock: Clock) -> StoreClient:
    return StoreClient(cfg.instance.platform, clock)
