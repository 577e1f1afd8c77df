"""One request to a server and its response."""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

import attrs

from filbertshelf.protocol.http_messages import HeaderField
from filbertshelf.transport.http1.message_bounds import MAX_BODY_BYTES

if TYPE_CHECKING:
    from filbertshelf.transport.http1.connection import HttpConnection


class ExchangeEnd(enum.Enum):
    """How an exchange ended."""

    RESPONDED = "responded"
    NOT_CONNECTED = "not connected"
    NOT_SENT = "not sent"
    LOST = "connection lost"
    NOT_TAKEN = "request not taken"
    MALFORMED = "malformed response"
    CANCELLED = "cancelled"


HeaderValues = Mapping[bytes, bytes]
"""The headers of a response by their names in lower case."""


class ResponseReader(Protocol):
    """Reads the heads of the responses that come to an exchange."""

    watched_fields: frozenset[bytes]
    """The lower-case names of the headers for which `on_watched_head` is called."""

    def is_own_response(self, values: HeaderValues) -> bool:
        """Return whether a response may be to the request of the exchange."""

    def on_watched_head(self, exchange: Exchange, values: HeaderValues) -> None:
        """Read the head of a response, an interim or a dropped one too.

        It is called as soon as the head is complete; `exchange.status` is its status.
        """


@attrs.define(eq=False, slots=True)
class Exchange:
    """One request and its response; `on_end` is called exactly once.

    `make_head` returns the request line and the headers; it is called when the
    request is written, which may be long after it was queued. `written` says whether
    the server may have read the request. `without_body` says that the response has
    no body, as after HEAD. A response with a longer body than `max_body_bytes` is
    malformed; `exceeded` then names the bound, and `cut_bytes` is the length so far.

    A server may send copies of earlier responses late. `reader` tells by the headers
    whether a response may be to this request; others are dropped and counted in
    `dropped_responses`. `avoid` has the connections that have carried the same request
    before, on which it couldn't tell. A connection that has been idle for longer than
    `max_idle_s` seconds is not used either, because its other end may be gone.
    """

    make_head: Callable[[], bytes] | None
    body: bytes
    on_end: Callable[[Exchange], None] | None
    without_body: bool = False
    max_body_bytes: int = MAX_BODY_BYTES
    reader: ResponseReader | None = None
    avoid: frozenset[HttpConnection] = frozenset()
    max_idle_s: float = math.inf
    written: bool = False
    end: ExchangeEnd | None = None
    status: int = 0
    fields: list[HeaderField] = attrs.field(factory=list)
    response_body: bytes = b""
    started_at: float = 0.0
    written_at: float = 0.0
    exceeded: str = ""
    cut_bytes: int = 0
    dropped_responses: int = 0
    connection: HttpConnection | None = None

    def finish(self, end: ExchangeEnd) -> None:
        """Record the end and call `on_end`, unless the exchange has already ended.

        The callbacks are dropped, because their owners usually hold the exchange. Such
        reference cycles would keep thousands of finished exchanges in memory until the
        garbage collector runs.
        """
        if self.end is None:
            self.end = end
            on_end = self.on_end
            self.make_head = self.on_end = self.reader = None
            on_end(self)
