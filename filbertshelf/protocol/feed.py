"""Peer messages between gateways about the content of the platform."""

from __future__ import annotations

import functools
import math
import zlib
from collections.abc import Iterable
from typing import Any

import attrs
import cbor2

from filbertshelf.addresses import Address, parse_address
from filbertshelf.errors import MessageError
from filbertshelf.json_values import is_integer
from filbertshelf.protocol.messages import message
from filbertshelf.state.cold import MAX_COLD_S
from filbertshelf.state.directory import DirectoryChange, ListedTarget, TargetChange
from filbertshelf.state.evacuation import EvacuationChange, EvacuationEntry
from filbertshelf.state.platform_update import ConfigText, PlatformUpdate

MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
"""Limit of a decompressed field, as a small message can expand to a huge one."""


UNKNOWN_ERA = 0
"""The era in a message of an older build, and before the platform's first answer."""

UNKNOWN_COLD_MS = -1
"""The cold time of a target of which no statement is known."""


@attrs.frozen
class HeldConfig:
    """Which configuration an instance holds; the version is 0 if it isn't known.

    Revisions can be compared only between instances of the same era, and are for older
    builds, which send no version.
    """

    revision: int = 0
    version: int = 0

    def is_newer_than(self, other: HeldConfig) -> bool:
        """Return whether this configuration is newer."""
        if self.version and other.version:
            return self.version > other.version
        return self.revision > other.revision


@message("platform-news")
@attrs.frozen
class FeedUpdate:
    """The changes after the revision `since`, as the sender knows them.

    `targets` and `config` are compressed, and empty if nothing of that kind changed.
    `age_s` is the age in seconds of the platform's last answer; `unsure` means that
    targets may be missing only because the platform was unavailable.
    `config_revision` is the revision of the sender's configuration; a receiver that
    lacks it and gets no `config` should request it. The receiver forwards the message
    to the peers at `forward_to`. `era` counts the restores of the platform.
    `config_version` is the operator's version of the sender's configuration, which
    unlike the revision grows across restores; it is 0 if there is none or the sender is
    an older build. `sequences` belong to the rows of `targets`, 0 for a removed one; so
    does `cold_ms`, how long each target was still cold, `UNKNOWN_COLD_MS` if not known.
    `evacuated` has all evacuated data centres with the revisions of their writes, as of
    the revision `evacuated_at`, which is 0 if the sender doesn't know them.
    """

    since: int
    revision: int
    targets: bytes
    config_revision: int
    config: bytes
    age_s: float
    unsure: bool
    forward_to: tuple[Address, ...] = ()
    era: int = UNKNOWN_ERA
    config_version: int = 0
    sequences: tuple[int, ...] = ()
    evacuated: tuple[tuple[str, int], ...] = ()
    evacuated_at: int = 0
    cold_ms: tuple[int, ...] = ()

    @classmethod
    def of(
        cls, update: PlatformUpdate, held: HeldConfig, age_s: float, unsure: bool
    ) -> FeedUpdate:
        """Return the message for an update of the sender's content."""
        directory = update.directory
        evacuated, evacuated_at = _pack_evacuations(update)
        return cls(
            directory.since,
            directory.revision,
            _pack_targets(directory.targets),
            held.revision,
            _compress(update.config.text) if update.config else b"",
            age_s,
            unsure,
            era=directory.era,
            config_version=held.version,
            sequences=tuple(_sequence(change) for change in directory.targets),
            evacuated=evacuated,
            evacuated_at=evacuated_at,
            cold_ms=tuple(_cold_ms(change) for change in directory.targets),
        )

    @property
    def size(self) -> int:
        """Return the size of the message in bytes, apart from some dozens."""
        rows = len(self.sequences) + len(self.cold_ms)
        return len(self.targets) + len(self.config) + rows

    def announcement(self) -> FeedUpdate:
        """Return the message without its content, which a receiver can request.

        The evacuations stay in it: they are small, and a request for them takes time.
        """
        return attrs.evolve(
            self,
            since=self.revision,
            targets=b"",
            config=b"",
            sequences=(),
            cold_ms=(),
        )

    @property
    def held_config(self) -> HeldConfig:
        """Return which configuration the sender holds."""
        return HeldConfig(self.config_revision, self.config_version)

    def evacuations(self) -> EvacuationChange | None:
        """Return the sender's evacuations, None if it doesn't know them.

        Raises `MessageError` if a revision is out of range.
        """
        if not self.evacuated_at:
            return None
        revisions = (self.evacuated_at, *(revision for _, revision in self.evacuated))
        if not all(is_integer(revision) for revision in revisions):
            raise MessageError("a revision of the evacuations is out of range")
        entries = tuple(EvacuationEntry(*item) for item in self.evacuated)
        return EvacuationChange(0, self.evacuated_at, entries, self.era)

    def update(self) -> PlatformUpdate:
        """Return the update in the message; raises `MessageError` if malformed."""
        changes = _unpack_targets(self.targets)
        if len(self.sequences) == len(changes):
            changes = tuple(map(_with_sequence, changes, self.sequences))
        if len(self.cold_ms) == len(changes):
            changes = tuple(map(_with_cold, changes, self.cold_ms))
        directory = DirectoryChange(self.since, self.revision, changes, self.era)
        config = None
        if self.config:
            config = ConfigText(self.config_revision, _decompress(self.config))
        return PlatformUpdate(directory, config, self.evacuations())


@message("feed-wanted")
@attrs.frozen
class FeedRequest:
    """Asks for everything after the revisions that the sender has."""

    revision: int
    config_revision: int
    era: int = UNKNOWN_ERA
    config_version: int = 0

    @property
    def held_config(self) -> HeldConfig:
        """Return which configuration the sender holds."""
        return HeldConfig(self.config_revision, self.config_version)


# Targets are sent as lists of values, because field names would be most of the bytes.


def _pack_evacuations(
    update: PlatformUpdate,
) -> tuple[tuple[tuple[str, int], ...], int]:
    """Return the evacuations and their revision, 0 without any of the update's era."""
    evacuations = update.evacuations
    if evacuations is None or evacuations.era != update.directory.era:
        return (), 0
    packed = tuple((e.data_centre, e.revision) for e in evacuations.entries if e.active)
    return packed, evacuations.revision


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


def _sequence(change: TargetChange) -> int:
    return change.target.sequence if change.target else 0


def _with_sequence(change: TargetChange, sequence: int) -> TargetChange:
    if change.target is None:
        return change
    return attrs.evolve(change, target=attrs.evolve(change.target, sequence=sequence))


def _cold_ms(change: TargetChange) -> int:
    if change.target is None or change.target.cold_s is None:
        return UNKNOWN_COLD_MS
    return math.ceil(1000 * min(change.target.cold_s, MAX_COLD_S))


def _with_cold(change: TargetChange, cold_ms: int) -> TargetChange:
    if change.target is None or cold_ms < 0:
        return change
    cold_s = min(cold_ms, round(1000 * MAX_COLD_S)) / 1000
    return attrs.evolve(change, target=attrs.evolve(change.target, cold_s=cold_s))


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
    """Return the change in a row; a row without a service is a removed target.

    Raises `TypeError` or `ValueError` if a value is malformed.
    """
    texts = (id_, service, address, data_centre)
    if not all(isinstance(text, str) for text in texts):
        raise TypeError("a text of the row has another type")
    if not all(is_integer(number) for number in (revision, slots, started_ms)):
        raise TypeError("a number of the row is out of range")
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
