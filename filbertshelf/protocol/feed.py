"""Messages between gateways about what the platform holds."""

from __future__ import annotations

import functools
import zlib
from collections.abc import Iterable
from typing import Any

import attrs
import cbor2

from filbertshelf.addresses import parse_address
from filbertshelf.errors import MessageError
from filbertshelf.protocol.messages import message
from filbertshelf.state.directory import DirectoryChange, ListedTarget, TargetChange
from filbertshelf.state.platform_update import ConfigText, PlatformUpdate

MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""More than this is not unpacked, as a few bytes can stand for very many."""


@message("platform-news")
@attrs.frozen
class FeedUpdate:
    """What changed above the revision `since`, as the sender knows it.

    `targets` and `config` are packed and empty if nothing of that kind changed.
    `age_s` is the time since the platform said so, `unsure` tells that targets may be
    missing only because the platform was away. `config_revision` is the one that the
    sender holds; without `config` the receiver should hold it too, or ask for it.
    """

    since: int
    revision: int
    targets: bytes
    config_revision: int
    config: bytes
    age_s: float
    unsure: bool

    @classmethod
    def of(
        cls, news: PlatformUpdate, config_revision: int, age_s: float, unsure: bool
    ) -> FeedUpdate:
        """Return the message for news; the sender holds `config_revision`."""
        return cls(
            news.directory.since,
            news.directory.revision,
            _pack_targets(news.directory.targets),
            config_revision,
            _pack(news.config.text) if news.config else b"",
            age_s,
            unsure,
        )

    @property
    def size(self) -> int:
        """Return how many bytes the message has, but for some dozens."""
        return len(self.targets) + len(self.config)

    def announcement(self) -> FeedUpdate:
        """Return the message without content; who lacks that asks for it."""
        return attrs.evolve(self, since=self.revision, targets=b"", config=b"")

    def update(self) -> PlatformUpdate:
        """Return the news in the message; raises `MessageError`."""
        changes = _unpack_targets(self.targets)
        directory = DirectoryChange(self.since, self.revision, changes)
        config = None
        if self.config:
            config = ConfigText(self.config_revision, _unpack(self.config))
        return PlatformUpdate(directory, config)


@message("feed-wanted")
@attrs.frozen
class FeedRequest:
    """Asks for everything above the revisions that the sender holds."""

    revision: int
    config_revision: int


# Rows of targets: without the names of the fields, which would be most of the bytes.


def _pack_targets(changes: Iterable[TargetChange]) -> bytes:
    rows = [_row(change) for change in changes]
    return _pack(cbor2.dumps(rows)) if rows else b""


def _row(change: TargetChange) -> list[Any]:
    found = change.target
    if found is None:
        return [change.id, change.revision]
    return [
        change.id,
        change.revision,
        found.service,
        "{}:{}".format(*found.address),
        found.data_centre,
        found.slots,
        found.draining,
        found.started_ms,
    ]


def _unpack_targets(data: bytes) -> tuple[TargetChange, ...]:
    if not data:
        return ()
    try:
        return tuple(_change(*row) for row in cbor2.loads(_unpack(data)))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise MessageError(f"the rows of targets are malformed: {exc!r:.200}") from exc


def _change(
    id_: str,
    revision: int,
    service: str = "",
    address: str = "",
    data_centre: str = "",
    slots: int = 0,
    draining: bool = False,
    started_ms: int = 0,
) -> TargetChange:
    """Return the change in a row; one without a service says that it is gone."""
    if not service:
        return TargetChange(id_, revision, None)
    target = ListedTarget(
        id_,
        service,
        parse_address(address),
        data_centre,
        slots,
        draining,
        started_ms,
    )
    return TargetChange(id_, revision, target)


@functools.lru_cache(maxsize=2)
def _pack(data: bytes) -> bytes:
    """Return the compressed bytes; kept, because many peers ask for the same."""
    return zlib.compress(data)


def _unpack(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        found = stream.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise MessageError(f"a packed field is malformed: {exc}") from exc
    if not stream.eof:
        raise MessageError(f"a packed field has over {MAX_UNPACKED_BYTES} bytes")
    return found
