"""Peer messages that exchange configuration documents and their versions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from filbertshelf.protocol.messages import message
from filbertshelf.state.documents import Delta, FullDocument, Version


@message("config-offer")
@attrs.frozen
class DocumentOffer:
    """Announces that the sender has this version of a document."""

    document: str
    version: Version


@message("config-fetch")
@attrs.frozen
class DocumentFetch:
    """Asks for the changes of a document since the version that the sender has."""

    document: str
    held: Version


@message("config-change")
@attrs.frozen
class DocumentChange:
    """The changes from `base` to `version`; the whole document if `base` is None."""

    document: str
    base: Version | None
    version: Version
    changed: dict[str, bytes]
    removed: tuple[str, ...] = ()

    @classmethod
    def of(cls, document: str, change: Delta | FullDocument) -> DocumentChange:
        """Return the message for a change."""
        if isinstance(change, FullDocument):
            return cls(document, None, change.version, dict(change.entries))
        changed = dict(change.changed)
        return cls(document, change.base, change.version, changed, change.removed)

    def change(self) -> Delta | FullDocument:
        """Return the change in the message."""
        if self.base is None:
            return FullDocument(self.version, self.changed)
        return Delta(self.base, self.version, self.changed, self.removed)


@message("config-unchanged")
@attrs.frozen
class DocumentUnchanged:
    """Replies that the requested change is empty.

    The sender of the `DocumentFetch` already has this or a higher version.
    """

    document: str
    version: Version


@message("config-ask")
@attrs.frozen
class VersionsRequest:
    """Sends the sender's versions and asks for the receiver's."""

    versions: dict[str, Version]


@message("config-answer")
@attrs.frozen
class VersionsReply:
    """The sender's versions and whether the sender is ready."""

    versions: dict[str, Version]
    ready: bool


def pack_versions(versions: Mapping[str, Version]) -> dict[str, list[Any]]:
    """Return the versions in the form used in the payload of membership probes."""
    return {name: [v.revision, v.digest] for name, v in versions.items()}


def unpack_versions(payload: object) -> dict[str, Version]:
    """Return the versions in the payload of a probe.

    Entries of an unknown form are skipped, because a newer build may add others.
    """
    versions = {}
    if isinstance(payload, Mapping):
        for name, pair in payload.items():
            match pair:
                case [int(revision), bytes(digest)]:
                    versions[name] = Version(revision, digest)
    return versions
