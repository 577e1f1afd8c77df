"""News between gateways: packed, small, and refused if malformed."""

from __future__ import annotations

import zlib

import attrs
import cbor2
import pytest

from filbertshelf.errors import MessageError
from filbertshelf.protocol import feed as module
from filbertshelf.protocol.feed import FeedUpdate
from filbertshelf.state.directory import DirectoryChange, ListedTarget, TargetChange
from filbertshelf.state.platform_update import ConfigText, PlatformUpdate


def change(number: int) -> TargetChange:
    """Return a target as the grown deployments list them."""
    target = ListedTarget(
        f"i-{number * 2654435761 % 2**40:010x}",
        f"serv{number // 3}a",
        ("10.1.64.9", 8000 + number),
        "zona-sumapaz",
        2,
        False,
        1768766353410 + number,
    )
    return TargetChange(target.id, 700 + number, target)


def news_of(*changes: TargetChange, config: ConfigText | None = None) -> FeedUpdate:
    """Return the message for changes."""
    return FeedUpdate.of(
        PlatformUpdate(DirectoryChange(3, 900, changes), config), 880, 0.25, False
    )


def test_news_come_back_as_they_were_sent():
    gone = TargetChange("i-2", 820, None)
    config = ConfigText(880, b'{"version": 7}')
    found = news_of(change(1), gone, config=config).update()
    assert found == PlatformUpdate(DirectoryChange(3, 900, (change(1), gone)), config)


def test_a_new_set_of_shards_takes_few_bytes():
    # Guards against 53 KB for each of 94 peers when 405 targets are listed at once,
    # 242 MB in all on scale-2 of the grown hhgq-shelf.
    assert news_of(*map(change, range(405))).size < 15_000


def test_an_announcement_says_what_is_held_without_content():
    sent = news_of(change(1), config=ConfigText(880, b"{}")).announcement()
    assert (sent.size, sent.since, sent.revision) == (0, 900, 900)
    assert sent.config_revision == 880


@pytest.mark.parametrize(
    "rows",
    [7, [7], [[]], [["i-1"]], [["i-1", 5, "s", "nowhere", "z", 2, False, 0]]],
)
def test_malformed_rows_are_refused(rows):
    # Guards against an exception that ends the task which asks peers.
    packed = zlib.compress(cbor2.dumps(rows))
    with pytest.raises(MessageError):
        attrs.evolve(news_of(), targets=packed).update()


@pytest.mark.parametrize("field", ["targets", "config"])
def test_bytes_that_are_not_packed_are_refused(field):
    with pytest.raises(MessageError):
        attrs.evolve(news_of(), **{field: b"plain"}).update()


def test_a_few_bytes_that_stand_for_very_many_are_refused(monkeypatch):
    # Guards against memory filled by one message.
    monkeypatch.setattr(module, "MAX_DECOMPRESSED_BYTES", 1_000)
    packed = zlib.compress(b"a" * 100_000)
    with pytest.raises(MessageError):
        attrs.evolve(news_of(), config=packed).update()
