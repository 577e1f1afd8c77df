"""Frames that earlier builds have sent, which this build still has to read."""

from __future__ import annotations

import json
from pathlib import Path

import attrs
import cbor2
import pytest

from filbertshelf.protocol import delegation, feed, notices, replies
from filbertshelf.protocol.messages import decode, encode
from filbertshelf.state.directory import ListedTarget

MODULES = (delegation, feed, notices, replies)
"""The modules that register the message classes."""

RECORDED = json.loads(Path(__file__).with_name("recorded_frames.json").read_text())
"""The frames by commit and message name, in hexadecimal digits."""

FRAMES = [
    pytest.param(bytes.fromhex(frame), id=f"{commit} {name}")
    for commit, frames in RECORDED.items()
    for name, frame in frames.items()
]


@pytest.mark.parametrize("frame", FRAMES)
def test_a_frame_of_an_earlier_build_keeps_its_values(frame):
    # Guards against an upgrade in which old and new instances don't understand each
    # other.
    envelope = decode(frame)
    _kind, correlation, _name, body = cbor2.loads(frame)[:4]
    assert envelope.correlation == correlation
    read = cbor2.loads(encode(envelope.message, correlation, envelope.kind))[3]
    assert {name: read[name] for name in body} == body


@pytest.mark.parametrize("commit", RECORDED)
def test_an_update_of_an_earlier_build_has_its_targets(commit):
    frame = bytes.fromhex(RECORDED[commit]["platform-news"])
    update = decode(frame).message.update()
    first, second, removed = update.directory.targets
    assert removed.target is None
    assert first.target == ListedTarget(
        "i-1", "s", ("10.1.0.9", 8001), "z", 2, True, 1768766353411
    )
    assert second.target.draining is False
    assert update.config.text == b"{}"


@pytest.mark.parametrize("frame", FRAMES)
def test_fields_of_a_later_build_are_ignored(frame):
    parts = cbor2.loads(frame)
    parts[3]["added_later"] = [1]
    assert attrs.asdict(decode(cbor2.dumps(parts)).message) == attrs.asdict(
        decode(frame).message
    )
