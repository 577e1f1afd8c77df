"""Peer messages about requests that one instance runs for another."""

from __future__ import annotations

import attrs

from filbertshelf.protocol.http_messages import HeaderField
from filbertshelf.protocol.messages import message


@message("query-delegated")
@attrs.frozen
class DelegationRequest:
    """Asks the receiver to run a request; the reply is a `DelegationReply`.

    `key` identifies the request between the two instances, `waited_s` is the time in
    seconds since the sender received it, and `version` is the version of the
    configuration that its route comes from. `max_targets` is how many targets of each
    service may still be sent the request, 0 if as many as the route allows. With
    `needs_contact`, the sender reaches no target, and the receiver takes the request
    only if it does. `data_centre` is that of the sender, "" from an older build.
    """

    key: str
    method: bytes
    target: bytes
    fields: tuple[HeaderField, ...]
    body: bytes
    waited_s: float
    version: int
    max_targets: int = 0
    needs_contact: bool = False
    data_centre: str = ""


@message("delegation-reply")
@attrs.frozen
class DelegationReply:
    """Says whether the delegate runs the request; if not, no part of it has run.

    `cut_off` says that the delegate itself reaches no target at the moment.
    """

    taken: bool
    reason: str = ""
    cut_off: bool = False


@message("delegation-confirmed")
@attrs.frozen
class DelegationConfirmed:
    """Confirms that the reply came in time: the sender won't run the request itself."""

    key: str


@message("delegation-answer")
@attrs.frozen
class DelegationAnswer:
    """The response to a delegated request, and the values for the sender's log line."""

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
    """Says that the sender no longer waits for the response to the request."""

    key: str
