"""A stand-in for the platform's store, with the faults that it may show."""

from __future__ import annotations

import base64
import json
from urllib.parse import parse_qsl

import attrs

from filbertshelf.clock import SystemClock
from filbertshelf.protocol.heads import Response
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.server import HttpServer, Request


@attrs.define(eq=False)
class StoreStandin:
    """Holds items and their changes, and answers reads over HTTP."""

    page_size: int = 2
    revision: int = 1
    fault: str = ""
    """"": none, silent: no answer, status such as 503 or 429."""
    forgotten: int = 0
    items: dict[str, dict] = attrs.field(factory=dict)
    events: list[dict] = attrs.field(factory=list)
    calls: list[str] = attrs.field(factory=list)

    def put(self, key: str, value: object) -> None:
        """Write an item; bytes are stored as they are, anything else as JSON."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "modRevision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.events.append(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "modRevision": self.revision, "deleted": True})

    def handle(self, req: Request) -> None:
        """Answer one read."""
        path, _, text = req.target.decode().partition("?")
        self.calls.append(path)
        if self.fault == "silent":
            return
        if self.fault:
            req.reply(Response(int(self.fault)))
            return
        query = dict(parse_qsl(text, keep_blank_values=True))
        if path == "/v1/kv-range":
            self._reply(req, self._range(query))
        elif int(query["after"]) < self.forgotten:
            req.reply(Response(410))
        else:
            self._reply(req, self._watch(query))

    def _range(self, query: dict[str, str]) -> dict:
        keys = sorted(k for k in self.items if k > query.get("after", ""))
        page = keys[: self.page_size]
        return {
            "items": [self.items[key] for key in page],
            "hasMore": len(keys) > len(page),
            "storeRevision": self.revision,
        }

    def _watch(self, query: dict[str, str]) -> dict:
        after = int(query["after"])
        found = [event for event in self.events if event["modRevision"] > after]
        return {"events": found, "storeRevision": self.revision}

    def _reply(self, req: Request, doc: dict) -> None:
        req.reply(Response(200, (), json.dumps(doc).encode()))

    def limits(self) -> Limits:
        """Return the limits for requests."""
        return Limits()

    def rejected(self, status: int, reason: str) -> None:
        """Ignore malformed requests."""

    def server(self, address: tuple[str, int] = ("127.0.0.1", 0)) -> HttpServer:
        """Return a server for this store that has not started."""
        return HttpServer(address, self, SystemClock())
