"""Tests of the feed messages between gateways."""

from __future__ import annotations

import zlib

import attrs
import cbor2
import pytest

from filbertshelf.errors import MessageError
from filbertshelf.protocol import feed as module
from filbertshelf.protocol.feed import FeedUpdate, HeldConfig
from filbertshelf.protocol.messages import decode, encode
from filbertshelf.state.cold import MAX_COLD_S
from filbertshelf.state.directory import DirectoryChange, ListedTarget, TargetChange
from filbertshelf.state.platform_update import ConfigText, PlatformUpdate


def change(number: int) -> TargetChange:
    """Return a target with values as long as in the large deployments."""
    target = ListedTarget(
        f"i-{number * 2654435761 % 2**40:010x}",
        f"serv{number // 3}a",
        ("10.1.64.9", 8000 + number),
        "zona-sumapaz",
        2,
        False,
        1768766353410 + number,
        31,
    )
    return TargetChange(target.id, 700 + number, target)


def update_message(
    *changes: TargetChange, config: ConfigText | None = None
) -> FeedUpdate:
    """Return the message for the changes."""
    update = PlatformUpdate(DirectoryChange(3, 900, changes, era=2), config)
    return FeedUpdate.of(update, HeldConfig(880, 7), 0.25, False)


def test_an_update_survives_a_round_trip():
    removed = TargetChange("i-2", 820, None)
    config = ConfigText(880, b'{"version": 7}')
    update = update_message(change(1), removed, config=config).update()
    assert update == PlatformUpdate(
        DirectoryChange(3, 900, (change(1), removed), era=2), config
    )
    assert update.directory.targets[0].target.sequence == 31


def test_a_relayed_message_keeps_the_addresses_and_an_older_build_ignores_them():
    # Guards against addresses that a relay can't connect to, and against an update that
    # instances of another build can't read.
    addresses = (("10.1.0.9", 8106), ("10.2.0.21", 8106))
    msg = attrs.evolve(update_message(change(1)), forward_to=addresses)
    assert decode(encode(msg)).message == msg
    assert set(map(type, decode(encode(msg)).message.forward_to)) == {tuple}
    kind, correlation, name, body = cbor2.loads(encode(msg))
    del body["forward_to"]
    older = decode(cbor2.dumps([kind, correlation, name, body])).message
    assert older == attrs.evolve(msg, forward_to=())
    del body["era"], body["config_version"], body["sequences"]
    oldest = decode(cbor2.dumps([kind, correlation, name, body])).message
    assert oldest.held_config == HeldConfig(880, 0)
    assert oldest.update().directory.targets == (change(1),)
    body = cbor2.loads(encode(older))[3]
    newer = decode(cbor2.dumps([kind, correlation, name, {**body, "later": 1}]))
    assert newer.message == older


def cold_change(number: int, cold_s: float | None) -> TargetChange:
    """Return a listed target that is cold for some seconds."""
    listed = change(number)
    return attrs.evolve(listed, target=attrs.evolve(listed.target, cold_s=cold_s))


def test_the_cold_times_survive_a_round_trip_and_older_builds_send_none():
    # Guards against peers that take a cold target for warm, and against a message of
    # an older build that is refused.
    changes = (
        cold_change(1, 2.5),
        TargetChange("i-2", 820, None),
        cold_change(3, 0.0),
        cold_change(4, None),
        cold_change(5, 1e300),
    )
    kind, correlation, name, body = cbor2.loads(encode(update_message(*changes)))

    def cold_times() -> list[float | None]:
        msg = decode(cbor2.dumps([kind, correlation, name, body])).message
        targets = [change.target for change in msg.update().directory.targets]
        return [target and target.cold_s for target in targets]

    assert cold_times() == [2.5, None, 0.0, None, MAX_COLD_S]
    body["cold_ms"] = [10**400, -7, 0, 0, 0]
    assert cold_times() == [MAX_COLD_S, None, 0.0, 0.0, 0.0]
    body["cold_ms"] = [1, 2]
    assert cold_times() == [None] * 5
    del body["cold_ms"]
    assert cold_times() == [None] * 5


def test_an_update_with_hundreds_of_targets_is_small():
    # Guards against 53 KB for each of 94 peers when 405 targets are listed at the
    # same time; that was 242 MB in all on scale-2 of the grown hhgq-shelf.
    assert update_message(*map(change, range(405))).size < 15_000


def test_an_announcement_has_the_revisions_without_content():
    sent = update_message(change(1), config=ConfigText(880, b"{}")).announcement()
    assert (sent.size, sent.since, sent.revision) == (0, 900, 900)
    assert sent.config_revision == 880


def test_configurations_are_compared_by_version_and_with_older_builds_by_revision():
    # Guards against a configuration that is dropped for its revision after a restore,
    # and against two builds that each believe the other lags.
    assert HeldConfig(10, 8).is_newer_than(HeldConfig(30, 7))
    assert not HeldConfig(30, 7).is_newer_than(HeldConfig(10, 8))
    assert HeldConfig(30, 0).is_newer_than(HeldConfig(10, 8))
    assert not HeldConfig(10, 8).is_newer_than(HeldConfig(30, 0))


@pytest.mark.parametrize(
    "rows",
    [
        7,
        [7],
        [[]],
        [["i-1"]],
        [["i-1", 5, "s", "nowhere", "z", 2, False, 0]],
        [[7, 5, "s", "10.0.0.1:1", "z", 2, False, 0]],
        [["i-1", 10**400, "s", "10.0.0.1:1", "z", 2, False, 0]],
        [["i-1", 5, "s", "10.0.0.1:1", "z", -2, False, 0]],
        [["i-1", 5, "s", "10.0.0.1:1", "z", 2, False, "now"]],
    ],
    ids=lambda rows: str(rows)[:40],
)
def test_malformed_rows_are_refused(rows):
    # Guards against an unexpected exception that ends the task that polls peers.
    packed = zlib.compress(cbor2.dumps(rows))
    with pytest.raises(MessageError):
        attrs.evolve(update_message(), targets=packed).update()


@pytest.mark.parametrize("field", ["targets", "config"])
def test_fields_that_are_not_compressed_are_refused(field):
    with pytest.raises(MessageError):
        attrs.evolve(update_message(), **{field: b"plain"}).update()


def test_a_decompression_bomb_is_refused(monkeypatch):
    # Guards against one small message that fills the memory.
    monkeypatch.setattr(module, "MAX_DECOMPRESSED_BYTES", 1_000)
    packed = zlib.compress(b"a" * 100_000)
    with pytest.raises(MessageError):
        attrs.evolve(update_message(), config=packed).update()
