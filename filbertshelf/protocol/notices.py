"""Messages between instances about targets, requests and rate limits."""

from __future__ import annotations

import enum

import attrs

from filbertshelf.protocol.messages import message


class Topic(enum.Enum):
    """What a notice is about."""

    TARGET_DRAINING = "target_draining"
    QUERY_CONVICTED = "query_convicted"
    TARGET_RESERVED = "target_reserved"
    REQUEST_CRASHED = "request_crashed"


@message("notice")
@attrs.frozen
class Notice:
    """A fact that every instance should know within a second.

    `subject` is a target or a fingerprint, for a crash with the request's id;
    `seconds` says how long it holds, for a crash how many targets died in a row;
    `origin` is the id of the instance that told it first. The topic is text, so that
    an instance of another version can pass it on unread.
    """

    id: str
    topic: str
    subject: str
    seconds: float
    origin: str = ""


@message("ask-tokens")
@attrs.frozen
class TokenRequest:
    """A request for unused tokens of a policy's rate limit."""

    policy: str
    tokens: float


@message("tokens")
@attrs.frozen
class Tokens:
    """Tokens that the sender has already subtracted from its own share."""

    tokens: float
