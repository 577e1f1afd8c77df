"""Header names of a deployment and the classification of targets' responses."""

from __future__ import annotations

import attrs

from filbertshelf.protocol.http_messages import HeaderField, Response
from filbertshelf.state.outcome import Reason, Result

_CONTENT_ENCODING = b"content-encoding"


@attrs.frozen
class HeaderNames:
    """The names of the HTTP headers between callers, instances and targets.

    The names have the case in which they are sent.
    """

    request_id: bytes
    """Identifies one attempt of a caller; targets return it in the response."""
    deadline_ms: bytes
    """The time in milliseconds that remains until the deadline."""
    stamp: bytes
    """A target's signature of one answer."""
    expected_target: bytes
    """The id of the only target that may run the request."""
    not_run: bytes
    """Present in a response if the target did not run the request."""
    part_stamps: bytes
    """The signatures of all shard answers in a merged answer."""
    missing_parts: bytes
    """The number of shards that a merged answer lacks."""

    def names_set_by_instance(self) -> frozenset[bytes]:
        """Return the lower-case names of the headers that an instance sets itself."""
        names = (self.deadline_ms, self.expected_target)
        return frozenset(name.lower() for name in (*names, b"Content-Length"))


@attrs.frozen
class Classification:
    """The meaning of one response of a target."""

    result: Result
    reason: Reason
    stamp: bytes = b""
    other_target: bool = False
    """True if the address now belongs to a target other than the expected one."""


_NOT_RUN_STATUSES = frozenset((400, 408, 421, 429, 503))
_OTHER_TARGET_STATUS = 421
_BAD_RESPONSE = Classification(Result.UNKNOWN, Reason.BAD_RESPONSE)
_OVERLOADED = Classification(Result.NOT_RUN, Reason.OVERLOADED)
_OTHER_TARGET = Classification(Result.NOT_RUN, Reason.NO_REPLICA, other_target=True)


class ResponseClassifier:
    """Classifies responses of targets by their status and headers.

    The header names are converted to lower case only once.
    """

    def __init__(self, names: HeaderNames):
        self._request_id = names.request_id.lower()
        self._stamp = names.stamp.lower()
        self._not_run = names.not_run.lower()

    def classify(
        self, status: int, fields: list[HeaderField], request_id: bytes
    ) -> Classification:
        """Classify a complete response to the request with `request_id`.

        A response to another request, with an encoded body, or without a signature
        has an unknown result. Responses that say that the request did not run need
        no signature.
        """
        parsed = self._parse_fields(fields, request_id)
        if parsed is None:
            return _BAD_RESPONSE
        stamp, not_run = parsed
        if status == _OTHER_TARGET_STATUS:
            return _OTHER_TARGET
        if not_run and status in _NOT_RUN_STATUSES:
            return _OVERLOADED
        if not stamp:
            return _BAD_RESPONSE
        if 200 <= status < 300:
            return Classification(Result.ANSWERED, Reason.NONE, stamp)
        return Classification(Result.UNKNOWN, Reason.TARGET_ERROR, stamp)

    def _parse_fields(
        self, fields: list[HeaderField], request_id: bytes
    ) -> tuple[bytes, bool] | None:
        """Return the signature and whether the header for "not run" is present.

        Returns None if the response belongs to another request or is encoded.
        """
        stamp = b""
        not_run = False
        for name, value in fields:
            name = name.lower()
            if name == self._stamp:
                stamp = value
            elif name == self._request_id:
                if value != request_id:
                    return None
            elif name == self._not_run:
                not_run = True
            elif name == _CONTENT_ENCODING and value.lower() != b"identity":
                return None
        return stamp, not_run


def error_response(status: int, retry_after_s: float | None = None) -> Response:
    """Return a response without a body that this instance makes itself."""
    if retry_after_s is None:
        return Response(status)
    return Response(status, ((b"Retry-After", b"%.3f" % retry_after_s),))
