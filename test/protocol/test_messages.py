"""Tests of the message codec with messages of other builds and hostile input."""

import contextlib

import attrs
import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from filbertshelf.errors import MessageError
from filbertshelf.protocol.messages import (
    BodyError,
    Kind,
    UnknownMessage,
    decode,
    encode,
    message,
)

FIXED = settings(derandomize=True, deadline=None)


@message("test-leaf")
@attrs.frozen
class Leaf:
    """A message of this test."""

    name: str
    data: bytes
    pairs: tuple[tuple[str, int], ...] = ()


def test_unknown_fields_and_message_types_are_tolerated():
    # Guards against messages of a newer build that an older one can't decode.
    newer = {"name": "a", "data": b"b", "pairs": [], "added_later": 1}
    assert decode(cbor2.dumps([0, 7, "test-leaf", newer, 9])).message == Leaf("a", b"b")
    frame = cbor2.dumps([2, 0, "later-type", [1]])
    assert decode(frame).message == UnknownMessage("later-type", [1])


@FIXED
@given(st.text(), st.binary(), st.lists(st.tuples(st.text(), st.integers())))
def test_a_message_survives_a_round_trip(name, data, pairs):
    leaf = Leaf(name, data, tuple(pairs))
    envelope = decode(encode(leaf, 3, Kind.REPLY))
    assert (envelope.message, envelope.correlation) == (leaf, 3)
    assert envelope.kind is Kind.REPLY


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
PARTS = st.one_of(VALUES, st.just("test-leaf"), st.sampled_from([0, 1, 2]))


@FIXED
@given(st.one_of(st.binary(), st.lists(PARTS, min_size=4).map(cbor2.dumps)))
def test_hostile_bytes_raise_only_message_errors(data):
    # Guards against an exception type that ends the task that reads a connection.
    with contextlib.suppress(MessageError):
        decode(data)


@pytest.mark.parametrize("name", [1, None, b"a", ["a"]])
def test_values_of_another_type_are_not_coerced(name):
    body = {"name": name, "data": b"", "pairs": []}
    with pytest.raises(BodyError) as caught:
        decode(cbor2.dumps([0, 5, "test-leaf", body]))
    assert caught.value.correlation == 5


def test_registering_a_name_twice_is_refused():
    with pytest.raises(ValueError, match="twice"):
        message("test-leaf")(Leaf)


def nested(depth: int) -> list:
    """Return lists in lists."""
    value: list = []
    for _ in range(depth):
        value = [value]
    return value


HOSTILE_VALUES = [10**5000, -(10**5000), nested(300), float("nan"), "half", None]


@pytest.mark.parametrize("part", range(4))
@pytest.mark.parametrize(
    "value", HOSTILE_VALUES, ids=lambda value: f"{type(value).__name__}"
)
def test_a_hostile_part_of_an_envelope_raises_message_error(part, value):
    # Guards against an integer that can't be shown as text, which raised another error
    # while the message of the typed one was made.
    parts = [2, 7, "notice", {}]
    parts[part] = value
    try:
        decode(cbor2.dumps(parts))
    except MessageError:
        return
