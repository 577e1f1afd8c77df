"""A stand-in for the platform's store: one item for each key, and a history."""

from __future__ import annotations

import base64
import json
from urllib.parse import parse_qsl

from http_server import HttpServer, Reply, Request

PAGE_ITEMS = 50


class Store:
    """Serves reads of items and of changes, as PROTOCOL.md describes them."""

    def __init__(self, ip: str):
        self._server = HttpServer(ip, self._handle)
        self._revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []

    @property
    def address(self) -> str:
        """Return the address as IP:PORT."""
        return self._server.address

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start()

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._server.stop()

    def copy(self, ip: str) -> Store:
        """Return a store with the same content and history, not yet started."""
        other = Store(ip)
        other._revision = self._revision
        other._items = dict(self._items)
        other._events = list(self._events)
        return other

    def put(self, key: str, value: object) -> None:
        """Write an item as JSON."""
        self._revision += 1
        text = json.dumps(value).encode()
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(text).decode(),
            "modRevision": self._revision,
            "created": known["created"] if known else self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._events.append(item)

    def delete(self, key: str) -> None:
        """Remove an item if there is one."""
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        event = {"key": key, "modRevision": self._revision, "deleted": True}
        self._events.append(event)

    async def _handle(self, req: Request) -> Reply:
        path, _, query_text = req.target.partition("?")
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        if path == "/v1/kv-range":
            return _json_reply(self._read_range(query))
        if path == "/v1/kv-watch":
            return _json_reply(self._read_changes(query))
        return Reply(404)

    def _read_range(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        return {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "storeRevision": self._revision,
        }

    def _read_changes(self, query: dict[str, str]) -> dict:
        prefix, after = query.get("prefix", ""), int(query["after"])
        events = [
            event
            for event in self._events
            if event["modRevision"] > after and event["key"].startswith(prefix)
        ]
        return {"events": events, "storeRevision": self._revision}


def _json_reply(doc: dict) -> Reply:
    fields = (("Content-Type", "application/json"),)
    return Reply(200, fields, json.dumps(doc).encode())
