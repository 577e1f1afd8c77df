"""Header fields, status lines and responses of HTTP/1.1."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

import attrs

HeaderField = tuple[bytes, bytes]
"""A header's name, in the case in which it was sent, and its value."""

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def find_field(fields: Iterable[HeaderField], name: bytes) -> bytes | None:
    """Return the first value of a header, or None; `name` must be lower case."""
    for field_name, value in fields:
        if field_name.lower() == name:
            return value
    return None


def find_field_values(fields: Iterable[HeaderField], name: bytes) -> list[bytes]:
    """Return all values of a header; `name` must be lower case."""
    return [value for field_name, value in fields if field_name.lower() == name]


def end_to_end_fields(
    fields: Iterable[HeaderField], without: frozenset[bytes]
) -> list[HeaderField]:
    """Return the headers that are forwarded to the next hop.

    Removed are the hop-by-hop headers, those listed in `Connection`, and those in
    `without`, whose names must be lower case.
    """
    fields = list(fields)
    dropped = _HOP_BY_HOP | without | _listed_in_connection(fields)
    return [field for field in fields if field[0].lower() not in dropped]


def _listed_in_connection(fields: Iterable[HeaderField]) -> set[bytes]:
    values = find_field_values(fields, b"connection")
    return {name.strip().lower() for value in values for name in value.split(b",")}


def render_fields(fields: Iterable[HeaderField]) -> bytes:
    """Return the header lines as bytes, without the blank line after them."""
    return b"".join(b"%b: %b\r\n" % field for field in fields)


def status_line(status: int) -> bytes:
    """Return the status line of a response, with its line end."""
    return b"HTTP/1.1 %d %b\r\n" % (status, _PHRASES.get(status, b"Status"))


@attrs.frozen(eq=False)
class Response:
    """A complete response; `fields` has no header that delimits the body."""

    status: int
    fields: tuple[HeaderField, ...] = ()
    body: bytes = b""
