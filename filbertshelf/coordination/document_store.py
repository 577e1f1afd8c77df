"""The documents of an instance, and the checks before a version is accepted."""

from __future__ import annotations

import collections
import enum
from collections.abc import Callable, Mapping
from typing import Any

from filbertshelf import events
from filbertshelf.errors import DocumentError, PublicationError
from filbertshelf.protocol.platform import (
    CONFIG,
    DOCUMENTS,
    INSTANCES,
    MAX_REVISION,
    PlatformDocument,
    Row,
    parse_rows,
)
from filbertshelf.state.documents import (
    Delta,
    FullDocument,
    Version,
    VersionedDocument,
    decode_entries,
    digest_of,
    encode,
    encode_entries,
)
from filbertshelf.state.publication import (
    Publication,
    flatten,
    parse_publication,
    unflatten,
)

# Refused versions that are remembered for each document, so that each is fetched and
# logged only once.
MAX_REFUSED_VERSIONS = 256
# Maximum number of problems in the log line of a refused publication.
MAX_LOGGED_PROBLEMS = 5

# A whole document must fit into one 2 MiB frame between instances. The platform's limit
# of 1 MB of JSON keeps it below this size, except for a very large number of tiny
# entries, whose keys are longer here than in the JSON.
MAX_ENCODED_BYTES = 1_900_000
# Upper bound of the CBOR overhead per entry, in addition to its key and value.
ENTRY_OVERHEAD_BYTES = 10


class UpdateResult(enum.Enum):
    """The result of applying a version of a document."""

    ACCEPTED = "accepted"
    OLDER = "older"
    REFUSED = "refused"


class DocumentStore:
    """Holds both documents and their parsed contents; runs no tasks and does no I/O.

    A version is checked as a whole before it replaces the previous one.
    """

    def __init__(self) -> None:
        self.documents = {name: VersionedDocument() for name in DOCUMENTS}
        self.publication: Publication | None = None
        self.rows: Mapping[str, Row] = {}
        self._refused: dict[str, collections.OrderedDict[Version, None]] = {
            name: collections.OrderedDict() for name in DOCUMENTS
        }
        self._logged_older: dict[str, Version] = {}

    def version(self, document: str) -> Version:
        """Return the version that is in force."""
        return self.documents[document].version

    def versions(self) -> dict[str, Version]:
        """Return the versions of all documents."""
        return {name: doc.version for name, doc in self.documents.items()}

    def wants(self, document: str, version: Version) -> bool:
        """Return whether a version is newer than the held one and was not refused."""
        return (
            document in self.documents
            and version.revision <= MAX_REVISION
            and self.documents[document].would_accept(version)
            and version not in self._refused[document]
        )

    def change_since(self, document: str, held: Version) -> Delta | FullDocument | None:
        """Return the change from `held` to the current version, or None."""
        doc = self.documents.get(document)
        if doc is None or held >= doc.version:
            return None
        return doc.delta_since(held)

    def apply_platform_document(
        self, document: str, published: PlatformDocument
    ) -> UpdateResult:
        """Apply a document that the platform published."""
        if published.revision < self.version(document).revision:
            self._log_older(document, Version(published.revision, b""))
            return UpdateResult.OLDER
        try:
            entries = _platform_entries(document, published.content)
        except Exception as exc:
            # All instances check the same content, so an unexpected error in the check
            # must not stop all of them.
            version = Version(published.revision, _content_digest(published.content))
            return self._refuse(document, version, exc)
        version = Version(published.revision, digest_of(entries))
        return self._apply(document, FullDocument(version, entries), "platform")

    def apply_peer_change(
        self, document: str, change: Delta | FullDocument, source: str
    ) -> UpdateResult:
        """Apply a change that a peer sent.

        Raises `DocumentError` if the change doesn't fit the held version or its own
        digest; such a change was damaged and doesn't count as a refused version.
        """
        if not self.wants(document, change.version):
            return UpdateResult.OLDER
        return self._apply(
            document, self.documents[document].content_after(change), source
        )

    def _apply(self, document: str, full: FullDocument, source: str) -> UpdateResult:
        if not self.documents[document].would_accept(full.version):
            if full.version != self.version(document):
                self._log_older(document, full.version)
            return UpdateResult.OLDER
        try:
            _check_size(full)
            parsed = _PARSERS[document](full)
        except Exception as exc:
            # As above, an unexpected error means that the content is refused.
            return self._refuse(document, full.version, exc)
        self.documents[document].apply(full)
        if document == CONFIG:
            self.publication = parsed
        else:
            self.rows = parsed
        events.emit(
            events.CONFIG_ACCEPTED,
            document=document,
            revision=full.version.revision,
            digest=full.version.digest.hex(),
            source=source,
        )
        return UpdateResult.ACCEPTED

    def _refuse(self, document: str, version: Version, exc: Exception) -> UpdateResult:
        refused = self._refused[document]
        if version not in refused:
            events.emit(
                events.CONFIG_REFUSED,
                document=document,
                revision=version.revision,
                reason=_refusal_reason(exc),
            )
        refused[version] = None
        refused.move_to_end(version)
        if len(refused) > MAX_REFUSED_VERSIONS:
            refused.popitem(last=False)
        return UpdateResult.REFUSED

    def _log_older(self, document: str, version: Version) -> None:
        if self._logged_older.get(document) == version:
            return
        self._logged_older[document] = version
        events.emit(
            events.CONFIG_OLDER,
            document=document,
            offered=str(version),
            held=str(self.version(document)),
        )


def _platform_entries(document: str, content: Mapping[str, Any]) -> dict[str, bytes]:
    if document == CONFIG:
        # Check before flattening, which drops unknown sections.
        parse_publication(content)
        content = flatten(content)
    return encode_entries(content)


def _content_digest(content: Mapping[str, Any]) -> bytes:
    """Return a digest that distinguishes refused contents."""
    try:
        return digest_of({"": encode(content)})
    except DocumentError:
        return b""


def _check_size(full: FullDocument) -> None:
    size = sum(
        len(key.encode()) + len(value) + ENTRY_OVERHEAD_BYTES
        for key, value in full.entries.items()
    )
    if size > MAX_ENCODED_BYTES:
        raise DocumentError(
            f"the entries need {size} bytes, the limit is {MAX_ENCODED_BYTES}; "
            "publish fewer entries"
        )


def _parse_config(full: FullDocument) -> Publication:
    entries = decode_entries(full.entries)
    try:
        doc = unflatten(entries)
        round_trips = flatten(doc).keys() == entries.keys()
    except (AttributeError, TypeError) as exc:
        raise DocumentError(f"the entries are not a publication: {exc}") from exc
    if not round_trips:
        raise DocumentError("the entries have keys that no publication has")
    return parse_publication(doc)


def _parse_instances(full: FullDocument) -> dict[str, Row]:
    rows, problems = parse_rows(decode_entries(full.entries))
    for problem in problems:
        events.emit(
            events.INSTANCE_ROW_IGNORED,
            row=problem.where,
            revision=full.version.revision,
            reason=problem.message,
        )
    return rows


def _refusal_reason(exc: Exception) -> str:
    if not isinstance(exc, PublicationError):
        return f"{type(exc).__name__}: {exc}"
    shown = [str(problem) for problem in exc.problems[:MAX_LOGGED_PROBLEMS]]
    hidden = len(exc.problems) - len(shown)
    return " | ".join([*shown, f"and {hidden} more"] if hidden else shown)


_PARSERS: dict[str, Callable[[FullDocument], Any]] = {
    CONFIG: _parse_config,
    INSTANCES: _parse_instances,
}
