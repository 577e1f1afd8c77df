"""The exception hierarchy, with the code, status and exit code of each error."""

from __future__ import annotations

from collections.abc import Sequence

import attrs


class FilbertshelfError(Exception):
    """Base of all errors raised by this package."""

    code = "internal"
    status = 500
    exit_code = 70


class UserError(FilbertshelfError):
    """An error that a person can correct; the message ends with the remedy."""

    code = "invalid"
    status = 400
    exit_code = 64

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message}: {remedy}")
        self.message = message
        self.remedy = remedy


@attrs.frozen
class Problem:
    """One problem in a settings file or a publication."""

    where: str
    value: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.where} = {self.value!r}: {self.message}; {self.remedy}"


class CheckError(UserError):
    """A document has one or more problems; `problems` lists them all."""

    subject = "document"

    def __init__(self, problems: Sequence[Problem]):
        self.problems = tuple(problems)
        listing = "\n  ".join(str(problem) for problem in self.problems)
        super().__init__(
            f"the {self.subject} has {len(self.problems)} problem(s)\n  {listing}\n",
            f"correct each of them and check the {self.subject} again",
        )


class SettingsError(CheckError):
    """The settings file is not valid."""

    subject = "settings file"
    exit_code = 65


class PublicationError(CheckError):
    """The published configuration is not valid."""

    subject = "publication"
    exit_code = 66


class SelectorError(UserError):
    """A selector does not follow the grammar."""

    code = "bad_selector"
    exit_code = 67


class RequestError(UserError):
    """A caller's request is malformed; it did not run."""

    code = "bad_request"


class ContentTypeError(RequestError):
    """The content type of the request body is not JSON."""

    code = "bad_content_type"
    status = 415


class BodyTooLargeError(RequestError):
    """The request body is over the limit."""

    code = "body_too_large"
    status = 413


class NoPolicyError(RequestError):
    """No policy matches the request's labels."""

    code = "no_policy"
    status = 404


class NoServiceError(RequestError):
    """The matching policy selects no service."""

    code = "no_service"
    status = 404


class RefusedError(UserError):
    """The request was refused before anything was sent; it did not run."""

    code = "refused"
    status = 503


class NotReadyError(RefusedError):
    """The instance has no confirmed configuration."""

    code = "not_ready"


class OverloadedError(RefusedError):
    """Admission control refused the request."""

    code = "overloaded"
    status = 429


class RateLimitError(RefusedError):
    """The fleet-wide rate limit of the policy is used up."""

    code = "rate_limited"
    status = 429


class StoppingError(RefusedError):
    """The instance is shutting down."""

    code = "stopping"


class QuarantinedError(RefusedError):
    """The request's fingerprint is in quarantine because it crashed targets."""

    code = "quarantined"
    status = 422


class TicketError(RequestError):
    """A ticket is missing, forged, or used with another body."""

    code = "bad_ticket"


class TicketRequiredError(TicketError):
    """A booking has no ticket."""

    code = "ticket_required"
    status = 428


class ProtocolError(FilbertshelfError):
    """A peer broke the protocol between instances."""

    code = "protocol"


class HandshakeError(ProtocolError):
    """A peer has a different key or no protocol version in common."""

    code = "handshake"


class MessageError(ProtocolError):
    """A message can't be decoded."""

    code = "bad_message"


class PeerUnreachableError(FilbertshelfError):
    """A message was not delivered to a peer."""

    code = "peer_unreachable"
    status = 503


class PeerTimeoutError(FilbertshelfError):
    """A message was delivered to a peer, but no reply came in time."""

    code = "peer_timeout"
    status = 504


class PlatformError(FilbertshelfError):
    """The configuration service or the instance list can't be read."""

    code = "platform"
    status = 503


class PlatformContentError(PlatformError):
    """The platform's answer is not the expected JSON."""

    code = "platform_content"


class PlatformTooLargeError(PlatformError):
    """The body of the platform's answer is over the size limit."""

    code = "platform_too_large"


class PlatformMissingError(PlatformError):
    """The platform answered that the document has never been published."""

    code = "platform_missing"


class DocumentError(ProtocolError):
    """The entries or the delta of a document don't match its version."""

    code = "document"


class PeerFailedError(PeerTimeoutError):
    """A peer received the message and reported that it has no result for it."""

    code = "peer_failed"


class TicketFormatError(TicketError):
    """The text of a ticket can't be parsed."""

    code = "ticket_format"


class TicketVersionError(TicketError):
    """This instance does not support the version of a ticket."""

    code = "ticket_version"


class TicketSignatureError(TicketError):
    """A ticket is not signed with the fleet key."""

    code = "ticket_signature"


class TicketBodyError(TicketError):
    """A ticket was first used with another body, so this body never runs."""

    code = "ticket_body"
    status = 409


class TicketsFullError(RefusedError):
    """The owner's table has no room for another ticket."""

    code = "tickets_full"


class RunStoppedError(FilbertshelfError):
    """A booking must not be written to a target."""

    code = "run_stopped"
    status = 503


class DeadlinePassedError(RunStoppedError):
    """The deadline passed before the booking was written."""

    code = "deadline_passed"


class PausedError(RunStoppedError):
    """The process was paused before the booking was written."""

    code = "paused"


class SecondWriteError(RunStoppedError):
    """An earlier write of the same booking may have taken effect."""

    code = "second_write"


class StandinError(UserError):
    """A stand-in received a malformed configuration or admin request."""

    code = "bad_standin_request"


class ExperimentError(UserError):
    """A process of an experiment did not start or did not answer."""

    code = "experiment_failed"
    exit_code = 69


class GatewayUnreachableError(UserError):
    """The metrics address of a gateway gave no answer."""

    code = "gateway_unreachable"
    status = 503
    exit_code = 71


class GatewayAnswerError(UserError):
    """A gateway doesn't tell where requests go, or not as this build expects it."""

    code = "gateway_answer"
    status = 502
    exit_code = 72


class PathError(RequestError):
    """The API for callers has no such path or method."""

    code = "no_such_path"
    status = 404


class InternalError(FilbertshelfError):
    """A fault of this program ended a request, which may have run."""


class UnfinishedError(FilbertshelfError):
    """The instance stopped before a request had ended; it may have run."""

    code = "unfinished"
    status = 504


class FetchError(PlatformError):
    """A request to the platform got no complete answer; it is retried later."""


class HistoryLostError(PlatformError):
    """The platform no longer has the requested changes; it must be read in full."""
