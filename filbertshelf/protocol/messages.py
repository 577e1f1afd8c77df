"""Registry and CBOR codec of the message classes between instances."""

from __future__ import annotations

import enum
from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import cbor2
from cattrs.preconf.cbor2 import make_converter

from filbertshelf.errors import MessageError
from filbertshelf.json_values import shown

# Versions of the peer protocol that this build speaks, the preferred one first.
VERSIONS: tuple[int, ...] = (1,)

_ENVELOPE_PARTS = 4

T = TypeVar("T")


class Kind(enum.IntEnum):
    """The kind of a frame: a request, its reply, or a notice without a reply."""

    REQUEST = 0
    REPLY = 1
    NOTICE = 2


@attrs.frozen
class UnknownMessage:
    """A message whose type is not registered in this build."""

    name: str
    body: Any


@attrs.frozen
class Envelope:
    """A decoded frame; a reply carries the correlation id of its request."""

    message: Any
    kind: Kind
    correlation: int


class BodyError(MessageError):
    """Raised if the envelope is valid but the body doesn't fit the message class."""

    def __init__(self, text: str, kind: Kind, correlation: int):
        super().__init__(text)
        self.kind = kind
        self.correlation = correlation


_CLASSES_BY_NAME: dict[str, type] = {}
_NAMES_BY_CLASS: dict[type, str] = {}
_converter = make_converter(detailed_validation=False)


def _strict_hook(expected: type) -> Callable[[Any, Any], Any]:
    """Return a structure hook that accepts only `expected` and coerces nothing."""

    def check(value: Any, _: Any) -> Any:
        if type(value) is not expected:
            raise TypeError(f"{shown(value)} is not of type {expected.__name__}")
        return value

    return check


def _float_hook(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{shown(value)} is not a number")
    return float(value)


for _primitive in (bool, int, str, bytes):
    _converter.register_structure_hook(_primitive, _strict_hook(_primitive))
_converter.register_structure_hook(float, _float_hook)


def message(name: str) -> Callable[[type[T]], type[T]]:
    """Return a class decorator that registers an attrs class under `name`.

    The decorator raises `ValueError` if the name is already registered.
    """

    def register(cls: type[T]) -> type[T]:
        if name in _CLASSES_BY_NAME:
            raise ValueError(f"message {name!r} is defined twice")
        _CLASSES_BY_NAME[name] = cls
        _NAMES_BY_CLASS[cls] = name
        return cls

    return register


def message_name(cls: type) -> str:
    """Return the registered name of a class.

    Raises `MessageError` if the class is not registered.
    """
    try:
        return _NAMES_BY_CLASS[cls]
    except KeyError:
        raise MessageError(f"{cls.__name__} is not a registered message") from None


def encode(msg: Any, correlation: int = 0, kind: Kind = Kind.NOTICE) -> bytes:
    """Return the frame for a registered message.

    Raises `MessageError` if the class is not registered or a value can't be encoded
    as CBOR.
    """
    name = message_name(type(msg))
    try:
        body = _converter.unstructure(msg)
        return cbor2.dumps([int(kind), correlation, name, body])
    except (cbor2.CBOREncodeError, TypeError, ValueError) as exc:
        raise MessageError(f"message {name!r} can't be encoded: {exc}") from exc


def decode(data: bytes) -> Envelope:
    """Return the envelope in a frame.

    Fields that the class does not have are ignored. Raises `BodyError` if only the
    body is malformed, and `MessageError` if the bytes are not a valid envelope.
    """
    kind, correlation, name, body = _parse_envelope(data)
    cls = _CLASSES_BY_NAME.get(name)
    if cls is None:
        return Envelope(UnknownMessage(name, body), kind, correlation)
    try:
        return Envelope(_converter.structure(body, cls), kind, correlation)
    except Exception as exc:
        # The converters and validators of a class can raise any exception type.
        text = f"the body of message {name!r} is malformed: {exc!r:.200}"
        raise BodyError(text, kind, correlation) from exc


def _parse_envelope(data: bytes) -> tuple[Kind, int, str, Any]:
    try:
        parts = cbor2.loads(data)
    except Exception as exc:
        # The decoder raises several unrelated exception types for hostile input.
        raise MessageError(f"the frame is not CBOR: {exc!r:.200}") from exc
    if not isinstance(parts, list) or len(parts) < _ENVELOPE_PARTS:
        raise MessageError("the frame is not an envelope")
    kind, correlation, name, body = parts[:_ENVELOPE_PARTS]
    if type(kind) is not int or kind not in list(Kind):
        raise MessageError(f"{shown(kind)} is not a kind of message")
    if type(correlation) is not int or type(name) is not str:
        raise MessageError("the correlation id or the name has a wrong type")
    return Kind(kind), correlation, name, body
