"""Answers to bookings, and the log lines of decisions about tickets."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from filbertshelf import events
from filbertshelf.coordination.booking_interfaces import (
    RunCheck,
    ShardChoice,
)
from filbertshelf.errors import TicketBodyError
from filbertshelf.protocol.bookings import (
    BookingRequest,
    decode_answer,
)
from filbertshelf.state.outcome import (
    Answer,
    Attempt,
    Coverage,
    Missing,
    Outcome,
    Reason,
    Result,
    outcome_without_answer,
)
from filbertshelf.state.ticket_table import Decision, Verdict
from filbertshelf.state.tickets import Ticket

# Verdicts of an owner or of a final table that are enough to answer the request.
NOT_RUN_VERDICTS = (Verdict.EXPIRED, Verdict.CLOSED, Verdict.ABSENT)
DEFINITE_VERDICTS = (*NOT_RUN_VERDICTS, Verdict.RECORDED, Verdict.OTHER_BODY)


def answer_from_attempts(
    request: BookingRequest,
    choice: ShardChoice,
    attempts: Sequence[Attempt],
    check: RunCheck,
) -> Answer:
    """Return the answer that follows from the attempts.

    The outcome is unknown if more than one attempt may have run, which is a fault of
    the runner.
    """
    possibly_run = [
        attempt for attempt in attempts if attempt.result is not Result.NOT_RUN
    ]
    answered = [
        attempt for attempt in possibly_run if attempt.result is Result.ANSWERED
    ]
    snapshot = {
        choice.service: {
            "index_version": choice.index_version,
            "generation": choice.generation,
        }
    }
    if len(possibly_run) == 1 and answered:
        rows = answered[0].answer
        return Answer(
            request.request_id,
            Outcome.WHOLE,
            choice.revision,
            snapshot,
            Coverage(1, 1),
            tuple(rows) if isinstance(rows, list | tuple) else (rows,),
            sub_requests=len(attempts),
        )
    outcome = outcome_without_answer(attempts)
    if check.unresolved:
        outcome = Outcome.UNKNOWN
    reason = attempts[-1].reason if attempts else Reason.NO_REPLICA
    missing = Missing(choice.service, choice.shard, reason)
    return Answer(
        request.request_id,
        outcome,
        choice.revision,
        snapshot,
        Coverage(1, 0, (missing,)),
        reason=reason.value,
        sub_requests=len(attempts),
    )


def answer_from_decision(decision: Decision, request: BookingRequest) -> Answer:
    """Return the answer for any decision except `Verdict.RUN` and `Verdict.WAIT`.

    Raises `TicketBodyError` if the ticket was first used with another body.
    """
    if decision.verdict is Verdict.RECORDED:
        answer = decode_answer(decision.outcome)
        return attrs.evolve(answer, request_id=request.request_id)
    if decision.verdict is Verdict.OTHER_BODY:
        raise TicketBodyError(
            "the ticket was used with another body", "get a ticket for each booking"
        )
    if decision.verdict in NOT_RUN_VERDICTS:
        reason = f"ticket_{decision.verdict.value}"
        return failure_answer(request, Outcome.NOT_RUN, reason)
    return failure_answer(request, Outcome.UNKNOWN, "ticket_unknown")


def failure_answer(request: BookingRequest, outcome: Outcome, reason: str) -> Answer:
    """Return an answer without rows that gives the outcome and the reason."""
    missing = Missing(request.service, request.shard, Reason.NONE)
    return Answer(
        request.request_id, outcome, 0, {}, Coverage(1, 0, (missing,)), reason=reason
    )


def log_decision(decision: Decision, ticket: Ticket, request: BookingRequest) -> None:
    """Log the decision of this owner's ticket table."""
    fields = {"request_id": request.request_id, "ticket": ticket.id}
    if decision.verdict is Verdict.RECORDED:
        outcome = decode_answer(decision.outcome).outcome.value
        events.emit(events.BOOKING_RECORDED_OUTCOME, outcome=outcome, **fields)
    else:
        reason = decision.verdict.value
        events.emit(events.BOOKING_REFUSED, reason=reason, **fields)


def log_final_decision(
    decision: Decision, ticket: Ticket, request: BookingRequest
) -> None:
    """Log the decision of another owner's final table."""
    events.emit(
        events.BOOKING_FINAL_CONSULTED,
        request_id=request.request_id,
        ticket=ticket.id,
        owner=ticket.owner.id,
        verdict=decision.verdict.value,
    )
