"""Messages about queries that one instance runs for another."""

from __future__ import annotations

import attrs

from filbertshelf.protocol.messages import message

FieldRow = tuple[bytes, bytes]


@message("query-delegated")
@attrs.frozen
class DelegationRequest:
    """Asks the receiver to run a query; the reply is a `DelegationReply`.

    `key` names the query between the two, `waited_s` is how long it has been at the
    sender, and `version` is the configuration that chose its route.
    """

    key: str
    method: bytes
    target: bytes
    fields: tuple[FieldRow, ...]
    body: bytes
    waited_s: float
    version: int


@message("delegation-reply")
@attrs.frozen
class DelegationReply:
    """Says whether the receiver runs the query; if not, nothing of it ran."""

    taken: bool
    reason: str = ""


@message("delegation-confirmed")
@attrs.frozen
class DelegationConfirmed:
    """Says that the sender got the reply in time and runs nothing by itself."""

    key: str


@message("delegation-answer")
@attrs.frozen
class DelegationAnswer:
    """The response to a query that was taken, and what its log line says."""

    key: str
    status: int
    fields: tuple[FieldRow, ...]
    body: bytes
    outcome: str
    missing: tuple[str, ...]
    slowest: str


@message("delegation-ended")
@attrs.frozen
class DelegationCancelled:
    """Says that nobody waits for the query any more."""

    key: str
