"""Header fields and the first lines of HTTP/1.1 messages."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

import attrs

Field = tuple[bytes, bytes]
"""A header's name as it was sent, and its value."""

_CONNECTION_ONLY = frozenset(
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


def find_field(fields: Iterable[Field], name: bytes) -> bytes | None:
    """Return the first value of a header, None without it; `name` is lower case."""
    for key, value in fields:
        if key.lower() == name:
            return value
    return None


def find_field_values(fields: Iterable[Field], name: bytes) -> list[bytes]:
    """Return all values of a header; `name` is lower case."""
    return [value for key, value in fields if key.lower() == name]


def end_to_end_fields(
    fields: Iterable[Field], without: frozenset[bytes]
) -> list[Field]:
    """Return the headers that are passed on.

    Left out are those that concern one connection only, those that `Connection`
    names, and the lower-case names in `without`.
    """
    fields = list(fields)
    dropped = _CONNECTION_ONLY | without | _named_by_connection(fields)
    return [field for field in fields if field[0].lower() not in dropped]


def _named_by_connection(fields: Iterable[Field]) -> set[bytes]:
    values = find_field_values(fields, b"connection")
    return {name.strip().lower() for value in values for name in value.split(b",")}


def render_fields(fields: Iterable[Field]) -> bytes:
    """Return the headers as they are written, without the blank line."""
    return b"".join(b"%b: %b\r\n" % field for field in fields)


def status_line(status: int) -> bytes:
    """Return the first line of a response."""
    return b"HTTP/1.1 %d %b\r\n" % (status, _PHRASES.get(status, b"Status"))


@attrs.frozen(eq=False)
class Response:
    """A whole response; `fields` has no header that frames the body."""

    status: int
    fields: tuple[Field, ...] = ()
    body: bytes = b""
