"""Decoding of the TOML settings file that the platform writes."""

from __future__ import annotations

import contextlib
import tomllib
from pathlib import Path
from typing import Any

from filbertshelf.addresses import Address, parse_address
from filbertshelf.errors import Problem, SettingsError
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.json_values import is_number, shown
from filbertshelf.platform.constants import METRICS_PORT
from filbertshelf.settings import Settings
from filbertshelf.state.cold import ColdBound
from filbertshelf.state.delegation import shard_cost_us
from filbertshelf.state.retry_window import RetryPolicy

BYTES_PER_MB = 1_000_000

FLEET_KEY = "filbertshelf-on-a-private-network"
"""The same for all fleets: the platform provides no secret, and only its own machines
can connect to its private network."""


class SettingsFile:
    """The settings file, which the platform may rewrite at any time."""

    def __init__(self, path: Path):
        self._path = path
        self._loaded_mtime_ns = 0

    def load(self) -> GatewaySettings:
        """Return the settings; raises `SettingsError` with all problems."""
        self._loaded_mtime_ns = self._read_mtime_ns()
        return load_gateway_settings(self._path)

    def changed(self) -> bool:
        """Return whether the file was modified since the last `load`."""
        return self._read_mtime_ns() != self._loaded_mtime_ns

    def _read_mtime_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            # The file may be missing while it is replaced, which is no change yet.
            return self._loaded_mtime_ns


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Return the settings in the file; raises `SettingsError` with all problems."""
    try:
        doc = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        problem = Problem("file", str(path), str(exc), "name a readable TOML file")
        raise SettingsError([problem]) from exc
    return parse_gateway_settings(doc)


def parse_gateway_settings(doc: dict[str, Any]) -> GatewaySettings:
    """Return the settings in a TOML document; unknown fields are ignored.

    Raises `SettingsError` with every missing or malformed field.
    """
    reader = _FieldReader(doc)
    listen = reader.address("listen", "front")
    ready = reader.address("listen", "ready")
    peer_listen = reader.address("listen", "control")
    seeds = reader.addresses("seeds")
    name = reader.text("node")
    zone = reader.text("zone")
    platform = reader.address("platform", "address")
    retries = RetryPolicy(
        reader.number("bounds", "retryBudgetRatio"),
        reader.number("bounds", "budgetMinRetries"),
        reader.number("bounds", "budgetWindowS"),
    )
    default_cold = ColdBound()
    cold = ColdBound(
        reader.number("bounds", "coldOverage", default=default_cold.overage),
        reader.number("bounds", "coldSlack", default=default_cold.slack),
    )
    cores = reader.number("limits", "cpuShare") * reader.number("limits", "cores")
    link_mbps = reader.number("limits", "linkMbps")
    memory_mb = reader.number("limits", "memoryMb", default=0.0)
    max_descriptors = reader.number("limits", "maxFds", default=0.0)
    host = reader.text("ip")
    grace = reader.number("bounds", "graceS")
    if reader.problems:
        raise SettingsError(reader.problems)
    instance = Settings(
        name=name,
        data_centre=zone,
        peer_listen=peer_listen,
        peers=tuple(seed for seed in seeds if seed != peer_listen),
        fleet_key=FLEET_KEY,
        platform=platform,
        drain_timeout=grace,
    )
    return GatewaySettings(
        instance=instance,
        listen=listen,
        ready_listen=ready,
        metrics_listen=(host, METRICS_PORT),
        retries=retries,
        cold=cold,
        shard_cost_us=shard_cost_us(cores, link_mbps) if cores and link_mbps else 0,
        regions=_regions(doc),
        memory_bytes=int(memory_mb * BYTES_PER_MB),
        max_descriptors=int(max_descriptors),
        stop_grace_s=grace,
    )


def _regions(doc: dict[str, Any]) -> dict[str, str]:
    """Return the region of each data centre.

    Older settings have none. A malformed region is ignored: no request that is limited
    to some regions goes to a data centre without one, and no other request needs it.
    """
    zones = doc.get("zones")
    if not isinstance(zones, dict):
        return {}
    return {name: region for name, region in zones.items() if isinstance(region, str)}


class _FieldReader:
    """Reads fields by their path and collects every problem instead of raising it."""

    def __init__(self, doc: dict[str, Any]):
        self._doc = doc
        self.problems: list[Problem] = []

    def text(self, *path: str) -> str:
        value = self._find(path)
        if isinstance(value, str) and value:
            return value
        self._add_problem(
            path, value, "is not a non-empty string", "write a non-empty string"
        )
        return ""

    def number(self, *path: str, default: float | None = None) -> float:
        """Return a number; a missing one is a problem unless it has a default."""
        value = self._find(path)
        if value is None and default is not None:
            return default
        if is_number(value):
            return float(value)
        self._add_problem(
            path, value, "is not a number", "write a finite number of at least 0"
        )
        return 0.0

    def address(self, *path: str) -> Address:
        return self._address(path, self._find(path))

    def addresses(self, *path: str) -> list[Address]:
        value = self._find(path)
        if not isinstance(value, list):
            self._add_problem(path, value, "is not a list", "write a list of addresses")
            return []
        return [self._address(path, item) for item in value]

    def _address(self, path: tuple[str, ...], value: object) -> Address:
        if isinstance(value, str):
            with contextlib.suppress(ValueError):
                return parse_address(value, lowest_port=0)
        self._add_problem(path, value, "is not an address", "write IP:PORT")
        return "", 0

    def _find(self, path: tuple[str, ...]) -> Any:
        value: Any = self._doc
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def _add_problem(
        self, path: tuple[str, ...], value: object, message: str, remedy: str
    ) -> None:
        text = "" if value is None else shown(value)
        message = "is missing" if value is None else message
        self.problems.append(Problem(".".join(path), text, message, remedy))
