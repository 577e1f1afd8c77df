"""A stand-in for the platform's store that simulates its faults."""

from __future__ import annotations

import base64
import json
from urllib.parse import parse_qsl

import attrs

from filbertshelf.clock import SystemClock
from filbertshelf.protocol.http_messages import HeaderField, Response
from filbertshelf.state.routing import Limits
from filbertshelf.transport.http1.server import HttpServer, Request


@attrs.define(eq=False)
class StoreStandin:
    """Holds items and their change events, and serves reads over HTTP."""

    page_size: int = 2
    revision: int = 1
    fault: str = ""
    """Empty for none, "silent" for no answer, or a status such as "503"."""
    compacted_revision: int = 0
    """Changes after a lower revision are no longer available (status 410)."""
    era: int = 1
    items: dict[str, dict] = attrs.field(factory=dict)
    events: list[dict] = attrs.field(factory=list)
    calls: list[str] = attrs.field(factory=list)

    def put(self, key: str, value: object) -> None:
        """Write an item; bytes are stored unchanged, anything else as JSON."""
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

    def restore(self, revision: int) -> None:
        """Come back from a copy at a revision; its later revisions are given again."""
        self.era += 1
        self.revision = revision
        self.compacted_revision = min(self.compacted_revision, revision)
        self.events = [e for e in self.events if e["modRevision"] <= revision]
        self.items = {}
        for event in self.events:
            self.items[event["key"]] = event
            if event.get("deleted"):
                del self.items[event["key"]]

    def handle(self, req: Request) -> None:
        """Serve one read or simulate the fault."""
        path, _, query_text = req.target.decode().partition("?")
        self.calls.append(path)
        if self.fault == "silent":
            return
        if self.fault:
            req.reply(Response(int(self.fault)))
            return
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        if path == "/v1/kv-range":
            self._reply(req, self._read_range(query))
        elif not self.compacted_revision <= int(query["after"]) <= self.revision:
            req.reply(Response(410, self._fields()))
        else:
            self._reply(req, self._read_changes(query))

    def _read_range(self, query: dict[str, str]) -> dict:
        keys = sorted(k for k in self.items if k > query.get("after", ""))
        page = keys[: self.page_size]
        return {
            "items": [self.items[key] for key in page],
            "hasMore": len(keys) > len(page),
            "storeRevision": self.revision,
        }

    def _read_changes(self, query: dict[str, str]) -> dict:
        after = int(query["after"])
        events = [event for event in self.events if event["modRevision"] > after]
        return {"events": events, "storeRevision": self.revision}

    def _reply(self, req: Request, doc: dict) -> None:
        req.reply(Response(200, self._fields(), json.dumps(doc).encode()))

    def _fields(self) -> tuple[HeaderField, ...]:
        return ((b"Store-Era", b"%d" % self.era),)

    def limits(self) -> Limits:
        """Return the default request limits."""
        return Limits()

    def record_rejection(self, status: int, reason: str) -> None:
        """Ignore malformed requests."""

    def make_server(self, address: tuple[str, int] = ("127.0.0.1", 0)) -> HttpServer:
        """Return an HTTP server for this store, not yet started."""
        return HttpServer(address, self, SystemClock())
