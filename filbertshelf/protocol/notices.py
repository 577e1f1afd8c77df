"""Peer messages about targets, requests and rate limits."""

from __future__ import annotations

import enum

import attrs

from filbertshelf.protocol.messages import message


class Topic(enum.Enum):
    """The subject of a notice."""

    TARGET_DRAINING = "target_draining"
    QUERY_CONVICTED = "query_convicted"
    TARGET_RESERVED = "target_reserved"
    REQUEST_CRASHED = "request_crashed"
    RATE_LIMIT_ENDED = "rate_limit_ended"
    TARGET_LEAVING = "target_leaving"


@message("notice")
@attrs.frozen
class Notice:
    """A fact that is spread to every instance within about a second.

    `subject` is a target or a fingerprint, for a crash together with the request id,
    and for a leaving target the time of its start in ms, a space and its id.
    `seconds` is how long the notice is valid; for a crash it is the number of targets
    that died in a row, and for the end of a rate limit it is 0. `origin` is the id of
    the instance that sent it first. `topic` is a string, so that an instance of another
    version can forward a topic that it doesn't know.
    """

    id: str
    topic: str
    subject: str
    seconds: float
    origin: str = ""


@message("ask-tokens")
@attrs.frozen
class TokenRequest:
    """Asks a peer for unused tokens of a policy's rate limit."""

    policy: str
    tokens: float


@message("tokens")
@attrs.frozen
class Tokens:
    """Tokens for the receiver, already subtracted from the sender's share."""

    tokens: float
