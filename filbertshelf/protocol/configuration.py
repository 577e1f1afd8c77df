"""Messages between instances about documents and their versions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from filbertshelf.protocol.messages import message
from filbertshelf.state.documents import Delta, FullDocument, Version


@message("config-offer")
@attrs.frozen
class DocumentOffer:
    """The sender holds this version of a document."""

    document: str
    version: Version


@message("config-fetch")
@attrs.frozen
class DocumentFetch:
    """Asks for the change of a document since the version that the sender holds."""

    document: str
    held: Version


@message("config-change")
@attrs.frozen
class DocumentChange:
    """The change from `base` to `version`; without `base` it is the whole document."""

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
    """The sender of a `DocumentFetch` already holds this or a higher version."""

    document: str
    version: Version


@message("config-ask")
@attrs.frozen
class VersionsRequest:
    """Tells the sender's versions and asks for the receiver's."""

    versions: dict[str, Version]


@message("config-answer")
@attrs.frozen
class VersionsReply:
    """The sender's versions and whether it is ready itself."""

    versions: dict[str, Version]
    ready: bool


def pack_versions(versions: Mapping[str, Version]) -> dict[str, list[Any]]:
    """Return the versions in the form that membership probes carry."""
    return {name: [v.revision, v.digest] for name, v in versions.items()}


def unpack_versions(payload: object) -> dict[str, Version]:
    """Return the versions in a probe; what isn't understood is left out.

    A newer build may carry more in the payload, so nothing in it is an error.
    """
    found = {}
    if isinstance(payload, Mapping):
        for name, pair in payload.items():
            match pair:
                case [int(revision), bytes(digest)]:
                    found[name] = Version(revision, digest)
    return found
