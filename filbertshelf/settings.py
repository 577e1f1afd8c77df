"""The INI settings of an instance and their validation."""

from __future__ import annotations

import configparser
import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from filbertshelf.addresses import Address, parse_address
from filbertshelf.errors import Problem, SettingsError

MIN_KEY_CHARS = 16
STRATEGIES = ("adaptive", "baseline")


def _parse_address_setting(text: str) -> Address:
    return parse_address(text, lowest_port=0)


def _parse_peers(text: str) -> tuple[Address, ...]:
    return tuple(
        _parse_address_setting(part.strip()) for part in text.split(",") if part.strip()
    )


def _parse_optional_address(text: str) -> Address | None:
    return _parse_address_setting(text) if text else None


def _parse_name(text: str) -> str:
    if not text:
        raise ValueError("the name is empty")
    return text


def _parse_key(text: str) -> str:
    if len(text) < MIN_KEY_CHARS:
        raise ValueError("the key is too short")
    return text


def _parse_positive_float(text: str) -> float:
    value = float(text)
    if not 0 < value < 1e6:
        raise ValueError("the number is out of range")
    return value


def _parse_strategy(text: str) -> str:
    if text not in STRATEGIES:
        raise ValueError("the strategy is unknown")
    return text


def _parse_positive_int(text: str) -> int:
    value = int(text)
    if not 0 < value <= 1_000_000:
        raise ValueError("the number is out of range")
    return value


def _setting(
    section: str,
    meaning: str,
    read: Callable[[str], Any],
    remedy: str,
    default: str | None,
) -> Any:
    """Return an attrs field whose metadata describes one INI setting.

    `read` converts the text and raises `ValueError`; a default of None makes the
    setting required.
    """
    metadata = {
        "section": section,
        "meaning": meaning,
        "read": read,
        "remedy": remedy,
        "text": default,
    }
    if default is None:
        return attrs.field(metadata=metadata)
    return attrs.field(metadata=metadata, default=read(default))


_ADDRESS_REMEDY = "write IP:PORT; port 0 lets the system choose"
_SECONDS_REMEDY = "write a number of seconds above 0"
_INTEGER_REMEDY = "write an integer above 0"


@attrs.frozen(kw_only=True)
class Settings:
    """All settings of one instance; times are in seconds.

    The constructor validates nothing; `load_settings` and `parse_settings` do.
    """

    name: str = _setting(
        "instance",
        "name of the instance, unique in the fleet",
        _parse_name,
        "write a unique name",
        None,
    )
    data_centre: str = _setting(
        "instance",
        "data centre that the instance runs in",
        _parse_name,
        "write the data centre",
        None,
    )
    listen: tuple[str, int] = _setting(
        "instance",
        "listen address for callers",
        _parse_address_setting,
        _ADDRESS_REMEDY,
        "127.0.0.1:0",
    )
    peer_listen: tuple[str, int] = _setting(
        "peers",
        "listen address for other instances",
        _parse_address_setting,
        _ADDRESS_REMEDY,
        "127.0.0.1:0",
    )
    fleet_key: str = _setting(
        "peers",
        "secret that all instances share; signs tickets and connections",
        _parse_key,
        f"write a secret of at least {MIN_KEY_CHARS} characters",
        None,
    )
    peers: tuple[tuple[str, int], ...] = _setting(
        "peers",
        "other instances to ask when the platform can't be read at the start",
        _parse_peers,
        "write IP:PORT, IP:PORT, ...",
        "",
    )
    probe_period: float = _setting(
        "peers",
        "time between two membership probes",
        _parse_positive_float,
        _SECONDS_REMEDY,
        "1.0",
    )
    probe_timeout: float = _setting(
        "peers",
        "timeout of a direct membership probe",
        _parse_positive_float,
        _SECONDS_REMEDY,
        "0.3",
    )
    platform: tuple[str, int] = _setting(
        "platform",
        "address of the platform",
        _parse_address_setting,
        _ADDRESS_REMEDY,
        None,
    )
    watch_wait: float = _setting(
        "platform",
        "longest duration of one watch call",
        _parse_positive_float,
        _SECONDS_REMEDY,
        "10.0",
    )
    start_grace: float = _setting(
        "platform",
        "wait for a ready peer before the platform alone confirms the configuration",
        _parse_positive_float,
        _SECONDS_REMEDY,
        "5.0",
    )
    pause_threshold: float = _setting(
        "limits",
        "pause of the process after which its view of the fleet counts as outdated",
        _parse_positive_float,
        _SECONDS_REMEDY,
        "2.0",
    )
    drain_timeout: float = _setting(
        "limits",
        "longest wait for requests in flight when the instance stops",
        _parse_positive_float,
        _SECONDS_REMEDY,
        "30.0",
    )
    max_queries: int = _setting(
        "limits",
        "highest number of concurrent queries",
        _parse_positive_int,
        _INTEGER_REMEDY,
        "256",
    )
    max_queued: int = _setting(
        "limits",
        "highest number of queries queued for admission",
        _parse_positive_int,
        _INTEGER_REMEDY,
        "1024",
    )
    ticket_lifetime: float = _setting(
        "limits",
        "time for which a ticket is valid",
        _parse_positive_float,
        _SECONDS_REMEDY,
        "600.0",
    )
    statsd: tuple[str, int] | None = _setting(
        "metrics",
        "statsd address; empty sends no metrics",
        _parse_optional_address,
        "write IP:PORT or leave it empty",
        "",
    )
    strategy: str = _setting(
        "limits",
        "strategy under load; baseline is for comparison only",
        _parse_strategy,
        f"write one of {', '.join(STRATEGIES)}",
        "adaptive",
    )
    log_file: str = _setting(
        "logs",
        "file for log lines",
        str,
        "write a path; empty means standard output",
        "",
    )
    ready_file: str = _setting(
        "instance",
        "JSON file for the bound addresses, written after the start",
        str,
        "write a path for the bound addresses, or leave it empty",
        "",
    )


def settings_digest(cfg: object) -> str:
    """Return a short digest that identifies the settings in the log."""
    return hashlib.blake2b(repr(cfg).encode(), digest_size=6).hexdigest()


def load_settings(path: Path) -> Settings:
    """Return the settings in an INI file.

    Raises `SettingsError` with every problem in the file.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        problem = Problem("file", str(path), str(exc), "name a readable INI file")
        raise SettingsError([problem]) from exc
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Return the settings in an INI text.

    Raises `SettingsError` with every problem in the text.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        problem = Problem("file", "", str(exc), "write [section] and key = value lines")
        raise SettingsError([problem]) from exc
    problems = _find_unknown_keys(parser)
    values: dict[str, Any] = {}
    for field in attrs.fields(Settings):
        _read_field(parser, field, values, problems)
    if problems:
        raise SettingsError(problems)
    return Settings(**values)


def _find_unknown_keys(parser: configparser.ConfigParser) -> list[Problem]:
    known: dict[str, list[str]] = {}
    for field in attrs.fields(Settings):
        known.setdefault(field.metadata["section"], []).append(field.name)
    problems = []
    for section in parser.sections():
        for key, value in parser[section].items():
            if key not in known.get(section, ()):
                allowed = ", ".join(known.get(section, ())) or "another section"
                where = f"[{section}] {key}"
                remedy = f"use one of {allowed}"
                problems.append(Problem(where, value, "is unknown", remedy))
    return problems


def _read_field(
    parser: configparser.ConfigParser,
    field: attrs.Attribute,
    values: dict[str, Any],
    problems: list[Problem],
) -> None:
    meta = field.metadata
    where = f"[{meta['section']}] {field.name}"
    text = parser.get(meta["section"], field.name, fallback=meta["text"])
    if text is None:
        problems.append(Problem(where, "", "is missing", meta["remedy"]))
        return
    try:
        values[field.name] = meta["read"](text.strip())
    except ValueError as exc:
        problems.append(Problem(where, text, str(exc), meta["remedy"]))
