"""Decodes the configuration and the entries of targets."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeVar

from filbertshelf.addresses import Address, parse_address
from filbertshelf.errors import PlatformContentError
from filbertshelf.state.directory import ListedTarget
from filbertshelf.state.routing import (
    Gather,
    Limits,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
)

DRAINING = "draining"
_STATES = frozenset(("ready", DRAINING))
_KINDS = {"safe": Repeat.IDEMPOTENT, "unsafe": Repeat.ONCE}
DEFAULT_ATTEMPTS = 2
DEFAULT_PRIORITY = 0

T = TypeVar("T")


def decode_route_table(text: bytes) -> RouteTable:
    """Return the routes of a configuration; raises `PlatformContentError`."""
    doc = _object(_json(text), "the configuration")
    try:
        return RouteTable.build(
            _whole(doc, "version"),
            [_route(item) for item in doc.get("routes", ())],
            [_service(item) for item in doc.get("services", ())],
            _limits(doc.get("limits", {})),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise PlatformContentError(f"the configuration is malformed: {exc!r}") from exc


def decode_target(id_: str, text: bytes) -> ListedTarget:
    """Return the target of an entry; raises `PlatformContentError`.

    An entry may come from a writer that isn't a target, so everything that is used is
    checked.
    """
    doc = _object(_json(text), "the entry")
    state = _text(doc, "state")
    if state not in _STATES:
        raise PlatformContentError(f"the state {state!r} is unknown")
    _check_unused(doc)
    return ListedTarget(
        id_,
        _text(doc, "service"),
        _address(doc),
        _text(doc, "zone"),
        _whole(doc, "slots"),
        state == DRAINING,
        # Absent on platforms whose targets never start again under the same id.
        _optional(doc, "born", _whole, 0),
    )


def _check_unused(doc: dict[str, Any]) -> None:
    """Check the fields that only tell whether a target wrote the entry."""
    _text(doc, "version")
    _number(doc, "coldRemainingMs")
    _whole(doc, "seq")


def _route(item: dict[str, Any]) -> Route:
    return Route(
        name=_text(item, "name"),
        host=_text(item, "host"),
        prefix=_text(item, "prefix"),
        repeat=_KINDS[item["kind"]],
        timeout_s=_number(item, "timeoutMs") / 1000,
        # The time for full worth is the whole timeout where none is given.
        aim_s=_optional(item, "targetLatencyMs", _number, item["timeoutMs"]) / 1000,
        max_attempts=_optional(item, "maxAttempts", _whole, DEFAULT_ATTEMPTS),
        priority=_optional(item, "priority", _whole, DEFAULT_PRIORITY),
        shares=_shares(item),
        gather=_gather(item) if "gather" in item else None,
    )


def _shares(item: dict[str, Any]) -> tuple[Share, ...]:
    if "backends" in item:
        return tuple(
            Share(_text(part, "service"), _number(part, "weight"))
            for part in item["backends"]
        )
    if "gather" in item:
        return ()
    return (Share(_text(item, "service"), 1.0),)


def _gather(item: dict[str, Any]) -> Gather:
    return Gather(
        tuple(item["gather"]), _whole(item, "topK"), _number(item, "minCoverage")
    )


def _service(item: dict[str, Any]) -> Service:
    return Service(
        _text(item, "name"), item.get("healthPath", ""), _whole(item, "maxConns")
    )


def _limits(item: dict[str, Any]) -> Limits:
    default = Limits()
    return Limits(
        _optional(item, "maxHeaderBytes", _whole, default.header_bytes),
        _optional(item, "maxBodyBytes", _whole, default.body_bytes),
        _seconds(item, "headerTimeoutMs", default.header_timeout_s),
        _seconds(item, "idleTimeoutMs", default.idle_timeout_s),
    )


def _seconds(item: dict[str, Any], name: str, default: float) -> float:
    return _optional(item, name, _number, default * 1000) / 1000


# Checked fields.


def _json(text: bytes) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as exc:
        raise PlatformContentError(f"the text is not JSON: {exc!r:.200}") from exc


def _object(value: Any, what: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise PlatformContentError(f"{what} is not an object")
    return value


def _text(doc: dict[str, Any], name: str) -> str:
    value = doc.get(name)
    if not isinstance(value, str) or not value:
        raise PlatformContentError(f"{name} is not a text: {value!r:.80}")
    if not is_utf8_encodable(value):
        raise PlatformContentError(f"{name} has no UTF-8 form: {value!r:.80}")
    return value


def is_utf8_encodable(text: str) -> bool:
    """Return whether a text from JSON can be written again; half a pair can't."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _whole(doc: dict[str, Any], name: str) -> int:
    value = doc.get(name)
    if type(value) is not int or value < 0:
        raise PlatformContentError(f"{name} is not a whole number: {value!r:.80}")
    return value


def _number(doc: dict[str, Any], name: str) -> float:
    value = doc.get(name)
    if type(value) not in (int, float) or value < 0:
        raise PlatformContentError(f"{name} is not a number: {value!r:.80}")
    return float(value)


def _optional(
    doc: dict[str, Any], name: str, read: Callable[[dict, str], T], default: T
) -> T:
    return read(doc, name) if doc.get(name) is not None else default


def _address(doc: dict[str, Any]) -> Address:
    text = _text(doc, "address")
    try:
        return parse_address(text)
    except ValueError as exc:
        raise PlatformContentError(f"{text!r:.80} is not IP:PORT: {exc}") from exc
