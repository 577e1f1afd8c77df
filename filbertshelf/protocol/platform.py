"""The platform's HTTP API: documents and the instance list."""

from __future__ import annotations

import enum
import json
from collections.abc import Mapping
from typing import Any

import attrs

from filbertshelf.addresses import parse_address
from filbertshelf.errors import (
    PlatformContentError,
    PlatformTooLargeError,
    Problem,
)

CONFIG = "config"
INSTANCES = "instances"
DOCUMENTS = (CONFIG, INSTANCES)

# The platform accepts values of up to 1 MB; the response body adds the revision.
MAX_CONTENT_BYTES = 1_000_000
MAX_BODY_BYTES = MAX_CONTENT_BYTES + 1_000
MAX_WAIT_S = 60.0
MAX_REVISION = 2**53

CALLS_PATH = "/v1/calls"
ADMIN_PUBLISH_PATH = "/admin/documents/config"
ADMIN_ROW_PATH = "/admin/instances/{name}"
ADMIN_FAULTS_PATH = "/admin/faults"


def document_path(document: str) -> str:
    """Return the path for reading and watching a document."""
    return f"/v1/documents/{document}"


class RowKind(enum.Enum):
    """The kind of process that a row of the instance list describes."""

    INSTANCE = "instance"
    TARGET = "target"


class RowState(enum.Enum):
    """The state of a process in the instance list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Row:
    """One row of the instance list.

    `address` is the peer address of an instance, or the address of a target.
    """

    name: str
    kind: RowKind
    address: str
    data_centre: str
    state: RowState = RowState.LIVE

    def content(self) -> dict[str, str]:
        """Return the row in the published form, without its name."""
        return {
            "kind": self.kind.value,
            "address": self.address,
            "data_centre": self.data_centre,
            "state": self.state.value,
        }


@attrs.frozen
class PlatformDocument:
    """One revision of a document of the platform."""

    revision: int
    content: Mapping[str, Any]


def parse_document(body: bytes) -> PlatformDocument:
    """Return the document in a response body.

    Raises `PlatformTooLargeError` if the body is over the limit and
    `PlatformContentError` if it is malformed.
    """
    if len(body) > MAX_BODY_BYTES:
        raise PlatformTooLargeError(f"the body is over {MAX_BODY_BYTES} bytes")
    value = parse_json(body)
    if not isinstance(value, dict):
        raise PlatformContentError("the body is not a JSON object")
    revision = value.get("revision")
    content = value.get("content")
    if type(revision) is not int or not 0 <= revision <= MAX_REVISION:
        raise PlatformContentError(f"the revision {revision!r} is not a whole number")
    if not isinstance(content, dict):
        raise PlatformContentError("the content is not a JSON object")
    return PlatformDocument(revision, content)


def parse_json(body: bytes) -> Any:
    """Return the JSON value in the body; raises `PlatformContentError`.

    Python's parser accepts repeated keys, NaN, infinities and lone surrogates. They
    are refused here: a repeated key would silently drop part of what an operator
    wrote, and the others are not valid JSON.
    """
    try:
        value = json.loads(
            body, object_pairs_hook=_unique_keys, parse_constant=_refuse_constant
        )
        json.dumps(value, ensure_ascii=False, allow_nan=False).encode()
    except (ValueError, RecursionError) as exc:
        reason = str(exc)[:200] or type(exc).__name__
        raise PlatformContentError(f"the body is not valid JSON: {reason}") from exc
    return value


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    obj = dict(pairs)
    if len(obj) != len(pairs):
        raise ValueError("an object has the same key twice")
    return obj


def _refuse_constant(text: str) -> Any:
    raise ValueError(f"{text} is not JSON")


def parse_rows(content: Mapping[str, Any]) -> tuple[dict[str, Row], list[Problem]]:
    """Return the valid rows of the instance list and the problems of the others.

    The platform maintains the list and no operator can fix it, so an invalid row is
    skipped and the others are used.
    """
    rows = {}
    problems = []
    for name, value in content.items():
        try:
            rows[name] = parse_row(name, value)
        except PlatformContentError as exc:
            remedy = "the platform must publish a whole row"
            problems.append(Problem(name, str(value)[:80], str(exc), remedy))
    return rows, problems


def parse_row(name: str, value: object) -> Row:
    """Return one row; raises `PlatformContentError` if it is invalid."""
    if not isinstance(value, Mapping):
        raise PlatformContentError("the row is not an object")
    try:
        kind = RowKind(value.get("kind"))
        state = RowState(value.get("state", RowState.LIVE.value))
    except ValueError as exc:
        raise PlatformContentError(str(exc)) from exc
    address = value.get("address")
    try:
        parse_address(str(address))
    except ValueError as exc:
        raise PlatformContentError(f"the address {address!r} is not IP:PORT") from exc
    data_centre = value.get("data_centre")
    if not isinstance(data_centre, str) or not data_centre:
        raise PlatformContentError("the data centre is missing")
    return Row(name, kind, address, data_centre, state)
