"""Peer messages about queries that one instance runs for another."""

from __future__ import annotations

import attrs

from filbertshelf.protocol.http_messages import HeaderField
from filbertshelf.protocol.messages import message


@message("query-delegated")
@attrs.frozen
class DelegationRequest:
    """Asks the receiver to run a query; the reply is a `DelegationReply`.

    `key` identifies the query between the two instances, `waited_s` is the time in
    seconds since the sender received it, and `version` is the version of the
    configuration that its route comes from.
    """

    key: str
    method: bytes
    target: bytes
    fields: tuple[HeaderField, ...]
    body: bytes
    waited_s: float
    version: int


@message("delegation-reply")
@attrs.frozen
class DelegationReply:
    """Says whether the delegate runs the query; if not, no part of it has run."""

    taken: bool
    reason: str = ""


@message("delegation-confirmed")
@attrs.frozen
class DelegationConfirmed:
    """Confirms that the reply came in time: the sender won't run the query itself."""

    key: str


@message("delegation-answer")
@attrs.frozen
class DelegationAnswer:
    """The response to a delegated query, and the values for the sender's log line."""

    key: str
    status: int
    fields: tuple[HeaderField, ...]
    body: bytes
    outcome: str
    missing: tuple[str, ...]
    slowest: str


@message("delegation-ended")
@attrs.frozen
class DelegationCancelled:
    """Says that the sender no longer waits for the response to the query."""

    key: str
