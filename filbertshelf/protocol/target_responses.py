"""Header names of a deployment and the classification of targets' responses."""

from __future__ import annotations

import math
from collections.abc import Mapping

import attrs

from filbertshelf.errors import MessageError
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
    rate_limit: bytes
    """The requests a second that a target takes from all instances together."""
    leaving: bytes
    """Present with the value 1 in all responses of a target that leaves."""
    retry_after: bytes = b"Retry-After"
    """The seconds after which a target that refused may be sent requests again."""
    cold_remaining_ms: bytes = b""
    """The milliseconds for which a target is still cold; empty if targets send none."""

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
    rate_limit: bytes | None = None
    """The rate limit that the target names, None if it names none."""

    @property
    def tells_rate_limit(self) -> bool:
        """Return whether the response tells if the target has a rate limit.

        A refusal without one may come from a target that is too busy to name it.
        """
        return self.rate_limit is not None or bool(self.stamp)


@attrs.frozen
class TargetStatement:
    """What a target says of itself in the head of a response; None if it says nothing.

    The values are as received.
    """

    leaving: bytes | None = None
    retry_after: bytes | None = None
    """How long it wants no requests; only if it refuses one."""
    cold_remaining_ms: bytes | None = None


@attrs.frozen
class _ParsedFields:
    """The fields of a response that belongs to the request."""

    stamp: bytes = b""
    not_run: bool = False
    rate_limit: bytes | None = None


_NOT_RUN_STATUSES = frozenset((400, 408, 421, 429, 503))
_OTHER_TARGET_STATUS = 421
_REFUSED_STATUSES = frozenset((429, 503))
_BAD_RESPONSE = Classification(Result.UNKNOWN, Reason.BAD_RESPONSE)
_OTHER_TARGET = Classification(Result.NOT_RUN, Reason.NO_REPLICA, other_target=True)


class ResponseClassifier:
    """Classifies responses of targets by their status and headers.

    The header names are converted to lower case only once.
    """

    def __init__(self, names: HeaderNames):
        self._request_id = names.request_id.lower()
        self._stamp = names.stamp.lower()
        self._not_run = names.not_run.lower()
        self._rate_limit = names.rate_limit.lower()
        self._leaving = names.leaving.lower()
        self._retry_after = names.retry_after.lower()
        self._cold_remaining_ms = names.cold_remaining_ms.lower()
        statement_names = (self._leaving, self._retry_after, self._cold_remaining_ms)
        self.statement_fields = frozenset(filter(None, statement_names))
        """The lower-case names of the headers in which targets speak of themselves."""

    def read_statement(
        self, status: int, values: Mapping[bytes, bytes]
    ) -> TargetStatement:
        """Return what a target says of itself in the head of any response.

        `values` has the headers by their names in lower case. A response of another
        target, to whose address the request went, says nothing of the expected one.
        """
        if status == _OTHER_TARGET_STATUS:
            return TargetStatement()
        leaving = values.get(self._leaving)
        retry_after = None
        if status in _REFUSED_STATUSES:
            retry_after = values.get(self._retry_after)
        cold_remaining_ms = values.get(self._cold_remaining_ms)
        return TargetStatement(leaving, retry_after, cold_remaining_ms)

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
        stamp, rate_limit = parsed.stamp, parsed.rate_limit
        if status == _OTHER_TARGET_STATUS:
            return _OTHER_TARGET
        if parsed.not_run and status in _NOT_RUN_STATUSES:
            return Classification(
                Result.NOT_RUN, Reason.OVERLOADED, rate_limit=rate_limit
            )
        if not stamp:
            return _BAD_RESPONSE
        if 200 <= status < 300:
            return Classification(
                Result.ANSWERED, Reason.NONE, stamp, rate_limit=rate_limit
            )
        return Classification(
            Result.UNKNOWN, Reason.TARGET_ERROR, stamp, rate_limit=rate_limit
        )

    def may_answer(self, values: Mapping[bytes, bytes], request_id: bytes) -> bool:
        """Return whether a response with these headers may be to the request.

        One that names no request may be. The names in `values` are in lower case.
        """
        return values.get(self._request_id, request_id) == request_id

    def _parse_fields(
        self, fields: list[HeaderField], request_id: bytes
    ) -> _ParsedFields | None:
        """Return the fields, or None for another request's or an encoded response."""
        stamp = b""
        not_run = False
        rate_limit = None
        for name, value in fields:
            name = name.lower()
            if name == self._stamp:
                stamp = value
            elif name == self._request_id:
                if value != request_id:
                    return None
            elif name == self._not_run:
                not_run = True
            elif name == self._rate_limit:
                rate_limit = value
            elif name == _CONTENT_ENCODING and value.lower() != b"identity":
                return None
        return _ParsedFields(stamp, not_run, rate_limit)


def parse_rate_limit(value: bytes) -> float:
    """Return a rate limit in requests a second; raises `MessageError`."""
    return _parse_number(value, "the rate limit")


def parse_leaving(value: bytes) -> bool:
    """Return whether a target leaves; raises `MessageError`."""
    if value not in (b"0", b"1"):
        raise MessageError(f"the leaving header {value!r:.80} is neither 0 nor 1")
    return value == b"1"


def parse_retry_after(value: bytes) -> float:
    """Return the seconds, with fractions, for which a target wants no requests.

    Any number of seconds is accepted, the caller has to bound it. Raises `MessageError`
    for a date or a number below 0.
    """
    return _parse_number(value, "the time to return", allows_infinity=True)


def parse_cold_remaining(value: bytes) -> float:
    """Return the seconds for which a target is still cold; raises `MessageError`."""
    return _parse_number(value, "the cold time") / 1000


def _parse_number(value: bytes, name: str, allows_infinity: bool = False) -> float:
    """Return a number of at least 0; raises `MessageError` that names it."""
    try:
        number = float(value)
    except ValueError as exc:
        raise MessageError(f"{name} {value!r:.80} is no number") from exc
    if not number >= 0.0 or (number == math.inf and not allows_infinity):
        raise MessageError(f"{name} {value!r:.80} is out of range")
    return number


def error_response(status: int, retry_after_s: float | None = None) -> Response:
    """Return a response without a body that this instance makes itself."""
    if retry_after_s is None:
        return Response(status)
    return Response(status, ((b"Retry-After", b"%.3f" % retry_after_s),))
