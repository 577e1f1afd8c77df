"""The header names of a deployment, and what a target's response means."""

from __future__ import annotations

import attrs

from filbertshelf.protocol.http_messages import Field, Response
from filbertshelf.state.outcome import Reason, Result

_CONTENT_ENCODING = b"content-encoding"


@attrs.frozen
class HeaderNames:
    """The headers that callers, instances and targets exchange, as they are written."""

    request_id: bytes
    """Identifies one attempt of a caller; targets echo it."""
    deadline_ms: bytes
    """How many milliseconds the sender still waits."""
    stamp: bytes
    """A target's signature of one answer."""
    expected_target: bytes
    """The id of the only target that may run the request."""
    not_run: bytes
    """Present if the target did not run the request."""
    part_stamps: bytes
    """The signatures of all shard answers in a merged answer."""
    missing_parts: bytes
    """How many shards are left out of a merged answer."""

    def names_set_by_instance(self) -> frozenset[bytes]:
        """Return the lower-case names that an instance sets by itself."""
        names = (self.deadline_ms, self.expected_target)
        return frozenset(name.lower() for name in (*names, b"Content-Length"))


@attrs.frozen
class Classification:
    """What one response of a target says."""

    result: Result
    reason: Reason
    stamp: bytes = b""
    other_target: bool = False
    """Whether another target than the expected one has the address."""


_REFUSALS = frozenset((400, 408, 421, 429, 503))
_OTHER_TARGET = 421
_FAILED = Classification(Result.UNKNOWN, Reason.BAD_RESPONSE)
_SHED = Classification(Result.NOT_RUN, Reason.OVERLOADED)
_MOVED = Classification(Result.NOT_RUN, Reason.NO_REPLICA, other_target=True)


class ResponseClassifier:
    """Decides what responses mean; the lower-case names are made once."""

    def __init__(self, names: HeaderNames):
        self._request_id = names.request_id.lower()
        self._stamp = names.stamp.lower()
        self._not_run = names.not_run.lower()

    def classify(
        self, status: int, fields: list[Field], request_id: bytes
    ) -> Classification:
        """Return the meaning of a complete response to the request with the id.

        A response with the id of another request, with an encoded body, or a success
        without a signature proves nothing.
        """
        found = self._read(fields, request_id)
        if found is None:
            return _FAILED
        stamp, refused = found
        if status == _OTHER_TARGET:
            return _MOVED
        if refused and status in _REFUSALS:
            return _SHED
        if not stamp:
            return _FAILED
        if 200 <= status < 300:
            return Classification(Result.ANSWERED, Reason.NONE, stamp)
        return Classification(Result.UNKNOWN, Reason.TARGET_ERROR, stamp)

    def _read(
        self, fields: list[Field], request_id: bytes
    ) -> tuple[bytes, bool] | None:
        """Return the signature and whether the target refused; None if neither."""
        stamp = b""
        refused = False
        for name, value in fields:
            name = name.lower()
            if name == self._stamp:
                stamp = value
            elif name == self._request_id:
                if value != request_id:
                    return None
            elif name == self._not_run:
                refused = True
            elif name == _CONTENT_ENCODING and value.lower() != b"identity":
                return None
        return stamp, refused


def error_response(status: int, retry_after_s: float | None = None) -> Response:
    """Return a response of this instance without an answer of a target."""
    if retry_after_s is None:
        return Response(status)
    return Response(status, ((b"Retry-After", b"%.3f" % retry_after_s),))
