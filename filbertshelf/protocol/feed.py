"""Peer messages between gateways about the content of the platform."""

from __future__ import annotations

import functools
import zlib
from collections.abc import Iterable
from typing import Any

import attrs
import cbor2

from filbertshelf.addresses import Address, parse_address
from filbertshelf.errors import MessageError
from filbertshelf.protocol.messages import message
from filbertshelf.state.directory import DirectoryChange, ListedTarget, TargetChange
from filbertshelf.state.platform_update import ConfigText, PlatformUpdate

MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
"""Limit of a decompressed field, as a small message can expand to a huge one."""


@message("platform-news")
@attrs.frozen
class FeedUpdate:
    """The changes after the revision `since`, as the sender knows them.

    `targets` and `config` are compressed, and empty if nothing of that kind changed.
    `age_s` is the age in seconds of the platform's last answer; `unsure` means that
    targets may be missing only because the platform was unavailable.
    `config_revision` is the revision of the sender's configuration; a receiver that
    lacks it and gets no `config` should request it. The receiver forwards the message
    to the peers at `forward_to`.
    """

    since: int
    revision: int
    targets: bytes
    config_revision: int
    config: bytes
    age_s: float
    unsure: bool
    forward_to: tuple[Address, ...] = ()

    @classmethod
    def of(
        cls, update: PlatformUpdate, config_revision: int, age_s: float, unsure: bool
    ) -> FeedUpdate:
        """Return the message for an update of the sender's content."""
        return cls(
            update.directory.since,
            update.directory.revision,
            _pack_targets(update.directory.targets),
            config_revision,
            _compress(update.config.text) if update.config else b"",
            age_s,
            unsure,
        )

    @property
    def size(self) -> int:
        """Return the size of the message in bytes, apart from some dozens."""
        return len(self.targets) + len(self.config)

    def announcement(self) -> FeedUpdate:
        """Return the message without its content, which a receiver can request."""
        return attrs.evolve(self, since=self.revision, targets=b"", config=b"")

    def update(self) -> PlatformUpdate:
        """Return the update in the message; raises `MessageError` if malformed."""
        changes = _unpack_targets(self.targets)
        directory = DirectoryChange(self.since, self.revision, changes)
        config = None
        if self.config:
            config = ConfigText(self.config_revision, _decompress(self.config))
        return PlatformUpdate(directory, config)


@message("feed-wanted")
@attrs.frozen
class FeedRequest:
    """Asks for everything after the revisions that the sender has."""

    revision: int
    config_revision: int


# Targets are sent as lists of values, because field names would be most of the bytes.


def _pack_targets(changes: Iterable[TargetChange]) -> bytes:
    rows = [_row_from_change(change) for change in changes]
    return _compress(cbor2.dumps(rows)) if rows else b""


def _row_from_change(change: TargetChange) -> list[Any]:
    target = change.target
    if target is None:
        return [change.id, change.revision]
    return [
        change.id,
        change.revision,
        target.service,
        "{}:{}".format(*target.address),
        target.data_centre,
        target.slots,
        target.draining,
        target.started_ms,
    ]


def _unpack_targets(data: bytes) -> tuple[TargetChange, ...]:
    if not data:
        return ()
    try:
        return tuple(_change_from_row(*row) for row in cbor2.loads(_decompress(data)))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise MessageError(f"the rows of targets are malformed: {exc!r:.200}") from exc


def _change_from_row(
    id_: str,
    revision: int,
    service: str = "",
    address: str = "",
    data_centre: str = "",
    slots: int = 0,
    draining: bool = False,
    started_ms: int = 0,
) -> TargetChange:
    """Return the change in a row; a row without a service is a removed target."""
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
def _compress(data: bytes) -> bytes:
    """Return the compressed bytes; cached, because many peers request the same."""
    return zlib.compress(data)


def _decompress(data: bytes) -> bytes:
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise MessageError(f"a packed field is malformed: {exc}") from exc
    if not stream.eof:
        raise MessageError(f"a packed field has over {MAX_DECOMPRESSED_BYTES} bytes")
    return content
