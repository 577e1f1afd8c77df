"""Decoding of the configuration and of target entries."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeVar

from filbertshelf.addresses import Address, parse_address
from filbertshelf.errors import PlatformContentError
from filbertshelf.json_values import is_integer, is_number, shown
from filbertshelf.state.directory import ListedTarget
from filbertshelf.state.routing import (
    Gather,
    Limits,
    Repeat,
    Route,
    RouteTable,
    Service,
    WeightedService,
)

DRAINING = "draining"
_STATES = frozenset(("ready", DRAINING))
_REPEAT_BY_KIND = {"safe": Repeat.IDEMPOTENT, "unsafe": Repeat.ONCE}
DEFAULT_MAX_ATTEMPTS = 2
DEFAULT_PRIORITY = 0

T = TypeVar("T")


def decode_route_table(text: bytes) -> RouteTable:
    """Return the route table of a configuration.

    Raises `PlatformContentError` if any part is malformed.
    """
    doc = _require_object(_parse_json(text), "the configuration")
    try:
        return RouteTable.build(
            _integer(doc, "version"),
            [_decode_route(item) for item in doc.get("routes", ())],
            [_decode_service(item) for item in doc.get("services", ())],
            _decode_limits(doc.get("limits", {})),
        )
    except (ArithmeticError, AttributeError, LookupError, TypeError, ValueError) as exc:
        reason = f"the configuration is malformed: {exc!r:.200}"
        raise PlatformContentError(reason) from exc


def decode_target(id_: str, text: bytes) -> ListedTarget:
    """Return the target that an entry describes.

    Raises `PlatformContentError` if a field is missing or malformed. Processes other
    than targets may write entries, so each field that is used is checked.
    """
    doc = _require_object(_parse_json(text), "the entry")
    state = _string(doc, "state")
    if state not in _STATES:
        raise PlatformContentError(f"the state {shown(state)} is unknown")
    _check_unused_fields(doc)
    return ListedTarget(
        id_,
        _string(doc, "service"),
        _address(doc),
        _string(doc, "zone"),
        _integer(doc, "slots"),
        state == DRAINING,
        # Missing on platforms where a target never restarts under the same id.
        _optional(doc, "born", _integer, 0),
        _integer(doc, "seq"),
        _number(doc, "coldRemainingMs") / 1000,
    )


def check_evacuation(text: bytes) -> None:
    """Raise `PlatformContentError` if the value of an evacuation is malformed."""
    _require_object(_parse_json(text), "the evacuation")


def _check_unused_fields(doc: dict[str, Any]) -> None:
    """Check fields whose values aren't used, to reject entries of other writers."""
    _string(doc, "version")


def _decode_route(item: dict[str, Any]) -> Route:
    return Route(
        name=_string(item, "name"),
        host=_string(item, "host"),
        prefix=_string(item, "prefix"),
        repeat=_REPEAT_BY_KIND[item["kind"]],
        timeout_s=_number(item, "timeoutMs") / 1000,
        # The latency objective defaults to the timeout.
        latency_objective_s=_optional(
            item, "targetLatencyMs", _number, item["timeoutMs"]
        )
        / 1000,
        max_attempts=_optional(item, "maxAttempts", _integer, DEFAULT_MAX_ATTEMPTS),
        priority=_optional(item, "priority", _integer, DEFAULT_PRIORITY),
        weighted_services=_decode_weighted_services(item),
        gather=_decode_gather(item) if "gather" in item else None,
        allowed_regions=frozenset(_optional(item, "allowedRegions", _strings, ())),
    )


def _decode_weighted_services(item: dict[str, Any]) -> tuple[WeightedService, ...]:
    if "backends" in item:
        return tuple(
            WeightedService(_string(backend, "service"), _number(backend, "weight"))
            for backend in item["backends"]
        )
    if "gather" in item:
        return ()
    return (WeightedService(_string(item, "service"), 1.0),)


def _decode_gather(item: dict[str, Any]) -> Gather:
    return Gather(
        _strings(item, "gather"), _integer(item, "topK"), _number(item, "minCoverage")
    )


def _decode_service(item: dict[str, Any]) -> Service:
    return Service(
        _string(item, "name"),
        _optional(item, "healthPath", _string, ""),
        _integer(item, "maxConns"),
        _optional(item, "coldStartS", _number, 0.0),
        _optional(item, "coldPerS", _number, 0.0),
    )


def _decode_limits(item: dict[str, Any]) -> Limits:
    default = Limits()
    return Limits(
        _optional(item, "maxHeaderBytes", _integer, default.header_bytes),
        _optional(item, "maxBodyBytes", _integer, default.body_bytes),
        _seconds_from_ms(item, "headerTimeoutMs", default.header_timeout_s),
        _seconds_from_ms(item, "idleTimeoutMs", default.idle_timeout_s),
    )


def _seconds_from_ms(item: dict[str, Any], name: str, default: float) -> float:
    return _optional(item, name, _number, default * 1000) / 1000


# Checked access to JSON fields.


def _parse_json(text: bytes) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise PlatformContentError(f"the text is not JSON: {exc!r:.200}") from exc


def _require_object(value: Any, description: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise PlatformContentError(f"{description} is not an object")
    return value


def _string(doc: dict[str, Any], name: str) -> str:
    value = doc.get(name)
    if not isinstance(value, str) or not value:
        raise PlatformContentError(f"{name} is not a non-empty string: {shown(value)}")
    if not is_utf8_encodable(value):
        raise PlatformContentError(f"{name} can't be encoded as UTF-8: {shown(value)}")
    return value


def _strings(doc: dict[str, Any], name: str) -> tuple[str, ...]:
    values = doc.get(name)
    if not isinstance(values, list):
        raise PlatformContentError(f"{name} is not a list: {shown(values)}")
    return tuple(_string({name: value}, name) for value in values)


def is_utf8_encodable(text: str) -> bool:
    """Return whether a string from JSON can be encoded; a lone surrogate can't."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _integer(doc: dict[str, Any], name: str) -> int:
    value = doc.get(name)
    if not is_integer(value):
        raise PlatformContentError(f"{name} is not an integer: {shown(value)}")
    return value


def _number(doc: dict[str, Any], name: str) -> float:
    value = doc.get(name)
    if not is_number(value):
        raise PlatformContentError(f"{name} is not a number: {shown(value)}")
    return float(value)


def _optional(
    doc: dict[str, Any], name: str, read_field: Callable[[dict, str], T], default: T
) -> T:
    return read_field(doc, name) if doc.get(name) is not None else default


def _address(doc: dict[str, Any]) -> Address:
    text = _string(doc, "address")
    try:
        return parse_address(text)
    except ValueError as exc:
        raise PlatformContentError(f"{shown(text)} is not IP:PORT") from exc
