"""Requests that offer another protocol, an offer that is always ignored."""

from __future__ import annotations

from collections.abc import Sequence

from filbertshelf.protocol.http_messages import HeaderField, render_fields


def head_without_offer(
    method: bytes, target: bytes, version: str, fields: Sequence[HeaderField]
) -> bytes:
    """Return the head of a request as its caller would send it without the offer.

    The other names in `Connection` are kept, as they concern this connection only.
    """
    kept = [
        (name, _without_upgrade(value) if name.lower() == b"connection" else value)
        for name, value in fields
        if name.lower() != b"upgrade"
    ]
    request_line = b"%b %b HTTP/%b\r\n" % (method, target, version.encode())
    return request_line + render_fields(kept) + b"\r\n"


def _without_upgrade(value: bytes) -> bytes:
    options = [option.strip() for option in value.split(b",")]
    return b", ".join(option for option in options if option.lower() != b"upgrade")
