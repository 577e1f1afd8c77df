"""What a booking is answered, and what its log lines say."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from filbertshelf import events
from filbertshelf.coordination.booking_runs import (
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

# The verdicts of a final table, or of an owner, that answer the request.
NOT_RUN = (Verdict.EXPIRED, Verdict.CLOSED, Verdict.ABSENT)
DEFINITE = (*NOT_RUN, Verdict.RECORDED, Verdict.OTHER_BODY)


def judge(
    request: BookingRequest,
    choice: ShardChoice,
    attempts: Sequence[Attempt],
    check: RunCheck,
) -> Answer:
    """Return the answer that the attempts allow.

    More than one attempt that may have run is a fault of the runner: unknown.
    """
    started = [attempt for attempt in attempts if attempt.result is not Result.NOT_RUN]
    answered = [attempt for attempt in started if attempt.result is Result.ANSWERED]
    snapshot = {
        choice.service: {
            "index_version": choice.index_version,
            "generation": choice.generation,
        }
    }
    if len(started) == 1 and answered:
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


def settle(decision: Decision, request: BookingRequest) -> Answer:
    """Return the answer for a decision other than to run or to wait.

    Raises `TicketBodyError` if the ticket was first used with another body.
    """
    if decision.verdict is Verdict.RECORDED:
        answer = decode_answer(decision.outcome)
        return attrs.evolve(answer, request_id=request.request_id)
    if decision.verdict is Verdict.OTHER_BODY:
        raise TicketBodyError(
            "the ticket was used with another body", "get a ticket for each booking"
        )
    if decision.verdict in NOT_RUN:
        reason = f"ticket_{decision.verdict.value}"
        return no_answer(request, Outcome.NOT_RUN, reason)
    return no_answer(request, Outcome.UNKNOWN, "ticket_unknown")


def no_answer(request: BookingRequest, outcome: Outcome, reason: str) -> Answer:
    """Return an answer that says why there is none."""
    missing = Missing(request.service, request.shard, Reason.NONE)
    return Answer(
        request.request_id, outcome, 0, {}, Coverage(1, 0, (missing,)), reason=reason
    )


def log_decision(decision: Decision, ticket: Ticket, request: BookingRequest) -> None:
    """Log what the table of this owner decided."""
    fields = {"request_id": request.request_id, "ticket": ticket.id}
    if decision.verdict is Verdict.RECORDED:
        outcome = decode_answer(decision.outcome).outcome.value
        events.emit(events.BOOKING_RECORDED_OUTCOME, outcome=outcome, **fields)
    else:
        reason = decision.verdict.value
        events.emit(events.BOOKING_REFUSED, reason=reason, **fields)


def log_final(decision: Decision, ticket: Ticket, request: BookingRequest) -> None:
    """Log what the final table of another owner decided."""
    events.emit(
        events.BOOKING_FINAL_CONSULTED,
        request_id=request.request_id,
        ticket=ticket.id,
        owner=ticket.owner.id,
        verdict=decision.verdict.value,
    )
