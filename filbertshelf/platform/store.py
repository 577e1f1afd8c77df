"""Read-only client of the platform's store."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Iterable
from typing import Any
from urllib.parse import urlencode

import attrs

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.errors import (
    HistoryLostError,
    PlatformContentError,
    PlatformError,
)
from filbertshelf.json_values import is_integer, shown
from filbertshelf.platform.constants import (
    ALL_KEYS_PREFIX,
    CONFIG_KEY,
    ERA_HEADER,
    EVACUATION_PREFIX,
    RANGE_PATH,
    TARGET_PREFIX,
    WATCH_PATH,
)
from filbertshelf.platform.entries import (
    check_evacuation,
    decode_target,
    is_utf8_encodable,
)
from filbertshelf.protocol.http_messages import HeaderField, find_field
from filbertshelf.state.directory import DirectoryChange, TargetChange
from filbertshelf.state.evacuation import EvacuationChange, EvacuationEntry
from filbertshelf.state.platform_update import ConfigText, PlatformUpdate
from filbertshelf.supervision import log_unexpected
from filbertshelf.transport.http1.fetch import Fetcher

CALL_TIMEOUT_S = 0.8
"""The store answers within milliseconds; a lost answer must not delay the next poll."""

MAX_PAGES = 1_000

MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024
"""Bytes of all pages together; thousands of targets and a configuration are less."""

MAX_ERA_DIGITS = 9
"""Digits of an era; a longer one is malformed."""


class StoreClient:
    """Reads a full copy of the store, then the changes since a revision."""

    def __init__(self, address: tuple[str, int], clock: Clock):
        self._fetcher = Fetcher(address, clock)

    async def snapshot(self) -> PlatformUpdate:
        """Return the whole content of the store.

        Raises `PlatformError`. The revision is that of the first page; a later page may
        contain newer items, which the next call of `changes` returns again.
        """
        items: list[Any] = []
        first: _Page | None = None
        size = 0
        query = {"prefix": ALL_KEYS_PREFIX}
        for _ in range(MAX_PAGES):
            page = await self._get(RANGE_PATH, query)
            size += page.size
            if size > MAX_SNAPSHOT_BYTES:
                raise PlatformContentError(
                    f"the store's pages are over {MAX_SNAPSHOT_BYTES} bytes"
                )
            page_items = _list_field(page, "items")
            items += page_items
            first = first or page
            if page.era != first.era:
                raise PlatformError("the store was restored between two pages")
            if not page.fields.get("hasMore") or not page_items:
                return _decode_items(0, _store_revision(first), items, first.era)
            query["after"] = _last_key(page_items)
        raise PlatformContentError(f"the store has more than {MAX_PAGES} pages")

    async def changes(self, after: int) -> PlatformUpdate:
        """Return the changes after a revision.

        Raises `HistoryLostError` if the store no longer keeps them and another
        `PlatformError` if the call fails.
        """
        query = {"prefix": ALL_KEYS_PREFIX, "after": str(after), "waitMs": "0"}
        page = await self._get(WATCH_PATH, query)
        revision = max(after, _store_revision(page))
        return _decode_items(after, revision, _list_field(page, "events"), page.era)

    def close(self) -> None:
        """Close the connections."""
        self._fetcher.close()

    async def _get(self, path: str, query: dict[str, str]) -> _Page:
        target = f"{path}?{urlencode(query)}".encode()
        exchange = await self._fetcher.get(target, CALL_TIMEOUT_S)
        if exchange.status == 410:
            raise HistoryLostError("the store no longer has the requested changes")
        if exchange.status != 200:
            raise PlatformError(f"the store answered with status {exchange.status}")
        body = exchange.response_body
        try:
            fields = json.loads(body)
        except (ValueError, RecursionError) as exc:
            raise PlatformContentError(
                f"the store's answer is not JSON: {exc!r:.200}"
            ) from exc
        if not isinstance(fields, dict):
            raise PlatformContentError("the store's answer is not an object")
        return _Page(fields, len(body), _era(exchange.fields))


@attrs.frozen
class _Page:
    """One answer of the store; `size` is its length in bytes."""

    fields: dict[str, Any]
    size: int
    era: int


def _era(fields: list[HeaderField]) -> int:
    """Return the store's era, 0 if it names none."""
    value = find_field(fields, ERA_HEADER)
    if value is None:
        return 0
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        raise PlatformContentError(f"the store's era is malformed: {value!r:.80}")
    return int(value)


def _list_field(page: _Page, name: str) -> list[Any]:
    value = page.fields.get(name)
    if not isinstance(value, list):
        raise PlatformContentError(f"the store's answer has no list {name!r}")
    return value


def _store_revision(page: _Page) -> int:
    value = page.fields.get("storeRevision")
    if not is_integer(value):
        raise PlatformContentError(f"the store's revision is malformed: {shown(value)}")
    return value


def _last_key(items: list[Any]) -> str:
    """Return the last valid key, after which the next page begins."""
    for item in reversed(items):
        if _is_valid_item(item):
            return item["key"]
    raise PlatformContentError("no item of the store's page has a key")


def _decode_items(
    since: int, revision: int, items: Iterable[Any], era: int
) -> PlatformUpdate:
    """Decode items or change events.

    Malformed ones are logged and ignored; a malformed target entry counts as deleted,
    a malformed evacuation counts by its key alone.
    """
    config = None
    changes: dict[str, TargetChange] = {}
    evacuations: dict[str, EvacuationEntry] = {}
    for item in items:
        if _is_evacuation(item):
            entry = _decode_evacuation(item, revision)
            evacuations[entry.data_centre] = entry
            continue
        if not _is_valid_item(item):
            _log_ignored(shown(item), revision, "it has no key or no revision")
            continue
        key = item["key"]
        if key == CONFIG_KEY:
            config = _decode_config(item) or config
        elif key.startswith(TARGET_PREFIX):
            change = _decode_target_change(item, key.removeprefix(TARGET_PREFIX))
            changes[change.id] = change
        elif key == EVACUATION_PREFIX:
            _log_ignored(key, item["modRevision"], "it names no data centre")
    directory = DirectoryChange(since, revision, tuple(changes.values()), era)
    evacuated = EvacuationChange(since, revision, tuple(evacuations.values()), era)
    return PlatformUpdate(directory, config, evacuated)


def _is_valid_item(item: Any) -> bool:
    return (
        isinstance(item, dict)
        and isinstance(item.get("key"), str)
        and is_utf8_encodable(item["key"])
        and is_integer(item.get("modRevision"))
    )


def _is_evacuation(item: Any) -> bool:
    """Return whether the key of an item names an evacuated data centre."""
    key = item.get("key") if isinstance(item, dict) else None
    return (
        isinstance(key, str)
        and key.startswith(EVACUATION_PREFIX)
        and key != EVACUATION_PREFIX
        and is_utf8_encodable(key)
    )


def _decode_evacuation(item: dict[str, Any], store_revision: int) -> EvacuationEntry:
    """Return the evacuation in an item, whatever its value is.

    Requests at a data centre that the operator drains do more harm than a data centre
    that is withheld by mistake. An item without a valid revision gets the store's.
    """
    key = item["key"]
    name = key.removeprefix(EVACUATION_PREFIX)
    active = not item.get("deleted")
    revision = item.get("modRevision")
    try:
        if not is_integer(revision):
            revision = store_revision
            raise PlatformContentError("it has no revision")
        if active:
            check_evacuation(_decode_value(item))
    except PlatformContentError as exc:
        _log_ignored(key, revision, f"counts by its key alone: {exc}")
    return EvacuationEntry(name, revision, active)


def _decode_config(item: dict[str, Any]) -> ConfigText | None:
    """Return the configuration in an item, or None if it is deleted or malformed."""
    if item.get("deleted"):
        return None
    try:
        return ConfigText(item["modRevision"], _decode_value(item))
    except PlatformContentError as exc:
        _log_ignored(item["key"], item["modRevision"], str(exc))
        return None


def _decode_target_change(item: dict[str, Any], id_: str) -> TargetChange:
    revision = item["modRevision"]
    if item.get("deleted"):
        return TargetChange(id_, revision, None)
    try:
        return TargetChange(id_, revision, decode_target(id_, _decode_value(item)))
    except PlatformContentError as exc:
        _log_ignored(item["key"], revision, str(exc))
    except Exception as exc:
        # A fault in the decoder must hide no other entry.
        log_unexpected(f"the decoder of {item['key']!r:.80}", exc)
    return TargetChange(id_, revision, None)


def _log_ignored(key: str, revision: int, reason: str) -> None:
    events.emit(
        events.PLATFORM_ENTRY_IGNORED, key=key, revision=revision, reason=reason
    )


def _decode_value(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item["value"], validate=True)
    except (KeyError, TypeError, binascii.Error) as exc:
        raise PlatformContentError(f"the value is not base64: {exc!r:.80}") from exc
