"""The client of the platform's store, which can only be read."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Iterable
from typing import Any
from urllib.parse import urlencode

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.errors import (
    HistoryLostError,
    PlatformContentError,
    PlatformError,
)
from filbertshelf.platform.constants import (
    CONFIG_KEY,
    EVERYTHING,
    RANGE_PATH,
    TARGET_PREFIX,
    WATCH_PATH,
)
from filbertshelf.platform.entries import decode_target, is_utf8_encodable
from filbertshelf.state.directory import DirectoryChange, TargetChange
from filbertshelf.state.news import ConfigText, News
from filbertshelf.transport.http1.fetch import Fetcher

CALL_TIMEOUT_S = 0.8
"""The store answers in milliseconds; a lost answer must not cost the next poll."""

MAX_PAGES = 1_000


class StoreClient:
    """Reads everything at first, then what has changed."""

    def __init__(self, address: tuple[str, int], clock: Clock):
        self._fetcher = Fetcher(address, clock)

    async def snapshot(self) -> News:
        """Return all that the store holds; raises `PlatformError`.

        The pages are read one after the other, so a later page may hold newer items
        than the revision; the next changes bring these again.
        """
        items: list[Any] = []
        revision = 0
        query = {"prefix": EVERYTHING}
        for _ in range(MAX_PAGES):
            page = await self._get(RANGE_PATH, query)
            found = _list(page, "items")
            items += found
            revision = revision or _revision(page)
            if not page.get("hasMore") or not found:
                return _news(0, revision, items)
            query["after"] = _last_key(found)
        raise PlatformContentError(f"the store has over {MAX_PAGES} pages")

    async def changes(self, after: int) -> News:
        """Return what changed above a revision; raises `PlatformError`."""
        query = {"prefix": EVERYTHING, "after": str(after), "waitMs": "0"}
        page = await self._get(WATCH_PATH, query)
        revision = max(after, _revision(page))
        return _news(after, revision, _list(page, "events"))

    def close(self) -> None:
        """Close the connections."""
        self._fetcher.close()

    async def _get(self, path: str, query: dict[str, str]) -> dict[str, Any]:
        target = f"{path}?{urlencode(query)}".encode()
        exchange = await self._fetcher.get(target, CALL_TIMEOUT_S)
        if exchange.status == 410:
            raise HistoryLostError("the store has forgotten its history")
        if exchange.status != 200:
            raise PlatformError(f"the store answered with status {exchange.status}")
        try:
            page = json.loads(exchange.response_body)
        except ValueError as exc:
            raise PlatformContentError(f"the store's answer: {exc!r:.200}") from exc
        if not isinstance(page, dict):
            raise PlatformContentError("the store's answer is not an object")
        return page


def _list(page: dict[str, Any], name: str) -> list[Any]:
    found = page.get(name)
    if not isinstance(found, list):
        raise PlatformContentError(f"the store's answer has no list {name!r}")
    return found


def _revision(page: dict[str, Any]) -> int:
    found = page.get("storeRevision")
    if type(found) is not int or found < 0:
        raise PlatformContentError(f"the store's revision is {found!r:.80}")
    return found


def _last_key(items: list[Any]) -> str:
    """Return the key after which the next page begins."""
    for item in reversed(items):
        if _is_item(item):
            return item["key"]
    raise PlatformContentError("no item of the store's page has a key")


def _news(since: int, revision: int, items: Iterable[Any]) -> News:
    """Return the news in items and events; what can't be understood is left out."""
    config = None
    changes: dict[str, TargetChange] = {}
    for item in items:
        if not _is_item(item):
            _log_ignored(f"{item!r:.80}", revision, "it has no key or no revision")
            continue
        key = item["key"]
        if key == CONFIG_KEY:
            config = _config(item) or config
        elif key.startswith(TARGET_PREFIX):
            change = _change(item, key.removeprefix(TARGET_PREFIX))
            changes[change.id] = change
    directory = DirectoryChange(since, revision, tuple(changes.values()))
    return News(directory, config)


def _is_item(item: Any) -> bool:
    return (
        isinstance(item, dict)
        and isinstance(item.get("key"), str)
        and is_utf8_encodable(item["key"])
        and type(item.get("modRevision")) is int
    )


def _config(item: dict[str, Any]) -> ConfigText | None:
    """Return the configuration in an item, None if it holds none."""
    if item.get("deleted"):
        return None
    try:
        return ConfigText(item["modRevision"], _value(item))
    except PlatformContentError as exc:
        _log_ignored(item["key"], item["modRevision"], str(exc))
        return None


def _change(item: dict[str, Any], id_: str) -> TargetChange:
    revision = item["modRevision"]
    if item.get("deleted"):
        return TargetChange(id_, revision, None)
    try:
        return TargetChange(id_, revision, decode_target(id_, _value(item)))
    except PlatformContentError as exc:
        _log_ignored(item["key"], revision, str(exc))
        return TargetChange(id_, revision, None)


def _log_ignored(key: str, revision: int, reason: str) -> None:
    events.emit(
        events.PLATFORM_ENTRY_IGNORED, key=key, revision=revision, reason=reason
    )


def _value(item: dict[str, Any]) -> bytes:
    try:
        return base64.b64decode(item["value"], validate=True)
    except (KeyError, TypeError, binascii.Error) as exc:
        raise PlatformContentError(f"the value is not base64: {exc!r:.80}") from exc
