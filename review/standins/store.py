"""A stand-in of the platform's store: reads of a range and of the changes."""

from __future__ import annotations

import asyncio
import base64
import json
from urllib.parse import parse_qsl

from standins.http import Message, read_message, render_response

PAGE_ITEMS = 500


class Store:
    """Holds items and their changes at one revision counter."""

    def __init__(self) -> None:
        self.address = ("", 0)
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def put(self, key: str, value: object) -> None:
        """Write an item; bytes are stored unchanged, anything else as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "modRevision": self._revision,
            "created": self._items.get(key, {}).get("created", self._revision),
            "lease": 0,
        }
        self._items[key] = item
        self._events.append(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        del self._items[key]
        event = {"key": key, "modRevision": self._revision, "deleted": True}
        self._events.append(event)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_message(reader)
                doc = self._answer(request)
                body = json.dumps(doc).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(render_response(200, headers, body))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def _answer(self, request: Message) -> dict:
        path, _, query_text = request.target.partition("?")
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        prefix = query.get("prefix", "")
        if path == "/v1/kv-watch":
            after = int(query["after"])
            events = [
                event
                for event in self._events
                if event["modRevision"] > after and event["key"].startswith(prefix)
            ]
            return {"events": events, "storeRevision": self._revision}
        start = query.get("after", "")
        keys = sorted(
            key for key in self._items if key.startswith(prefix) and key > start
        )
        return {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "storeRevision": self._revision,
        }
