"""Runs bookings at most once per ticket, and only at the ticket's owner."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import attrs

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.booking_answers import (
    DEFINITE_VERDICTS,
    answer_from_attempts,
    answer_from_decision,
    failure_answer,
    log_decision,
    log_final_decision,
)
from filbertshelf.coordination.booking_interfaces import (
    PauseDetector,
    Planner,
    RunCheck,
    Runner,
    ShardChoice,
)
from filbertshelf.errors import (
    FilbertshelfError,
    MessageError,
    RunStoppedError,
    TicketBodyError,
    UserError,
)
from filbertshelf.protocol.bookings import (
    BookingRequest,
    BookingResult,
    FinalTableReply,
    FinalTableRequest,
    ForwardBooking,
    HandoffReply,
    TicketHandoff,
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
    handoff_message,
    read_handoff,
)
from filbertshelf.settings import Settings
from filbertshelf.state.final_table import FinalTableStore, rank_peers, split_export
from filbertshelf.state.members import Address, Member, Status
from filbertshelf.state.outcome import (
    Answer,
    Outcome,
)
from filbertshelf.state.ticket_table import Decision, FinalExport, TicketTable, Verdict
from filbertshelf.state.tickets import Ticket, format_ticket, parse_ticket

HANDOFF_COPIES = 2
# The asking instance and the leaving owner may know memberships that differ by a few
# instances. Both use the first 4 of the same ranking, which tolerates 2 differences.
HANDOFF_CANDIDATES = 4
HANDOFF_TIMEOUT_S = 2.0
ASK_TIMEOUT_S = 1.0
# A part of a final table must fit into a frame between peers, which is limited to
# 2 MiB. With these limits, the largest part of a full table is 0.35 MB.
MAX_PART_RECORDS = 2_000
MAX_PART_BYTES = 262_144
# A larger answer is not kept. It is replaced by an unknown outcome, because a resend
# could not get the same answer.
MAX_OUTCOME_BYTES = 65_536
# A leaving member would soon stop and lose the table; a suspect one may be alive.
_HANDOFF_STATUSES = (Status.ALIVE, Status.SUSPECT)


class PeerTransport(Protocol):
    """The part of the peer transport that `Bookings` uses."""

    def register(
        self, message_class: type, handler: Callable[[Any, Any], Awaitable[Any]]
    ) -> None:
        """Call `handler(sender, message)` for each message and send what it returns."""

    async def request(self, address: Address, msg: Any, timeout: float) -> Any:
        """Return the reply.

        Raises `PeerUnreachableError` only if the message was not delivered, and
        `PeerTimeoutError` if it may have been.
        """


class MembershipView(Protocol):
    """The part of the membership that `Bookings` uses."""

    def members(self) -> Sequence[Member]:
        """Return the members that are not dead, including this instance."""


class Bookings:
    """Mints tickets, runs or forwards bookings, and hands off the ticket table."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        table: TicketTable,
        final_tables: FinalTableStore,
        peers: PeerTransport,
        members: MembershipView,
        planner: Planner,
        runner: Runner,
        pauses: PauseDetector,
    ):
        self._cfg = cfg
        self._clock = clock
        self._table = table
        self._final_tables = final_tables
        self._peers = peers
        self._members = members
        self._planner = planner
        self._runner = runner
        self._pauses = pauses
        self._runs: dict[str, asyncio.Task[Answer]] = {}
        peers.register(ForwardBooking, self._on_forward)
        peers.register(TicketHandoff, self._on_handoff)
        peers.register(FinalTableRequest, self._on_final_table_request)

    @property
    def running(self) -> int:
        """Return the number of bookings that are running at this instance."""
        return len(self._runs)

    def mint_ticket(self) -> str:
        """Mint a ticket and return its text.

        Raises `StoppingError` or `TicketsFullError`.
        """
        try:
            ticket = self._table.mint()
        except UserError as exc:
            events.emit(events.TICKET_MINT_REFUSED, reason=exc.code)
            raise
        events.emit(events.TICKET_MINTED, ticket=ticket.id)
        return format_ticket(ticket, self._cfg.fleet_key)

    async def submit(
        self, ticket_text: str, request: BookingRequest, deadline: float
    ) -> Answer:
        """Return the outcome of the ticket's only run, or unknown at the deadline.

        `deadline` is in seconds of the monotonic clock. The run continues if the
        caller disconnects. Raises `TicketError` if the ticket is invalid or was first
        used with another body.
        """
        ticket = parse_ticket(ticket_text, self._cfg.fleet_key)
        if self._table.has_minted(ticket):
            return await self._submit_here(ticket, request, deadline)
        decision = self._final_tables.lookup(ticket, request.digest())
        if decision.verdict in DEFINITE_VERDICTS:
            log_final_decision(decision, ticket, request)
        if decision.verdict not in DEFINITE_VERDICTS:
            decision = await self._forward_to_owner(
                ticket, ticket_text, request, deadline
            )
        if decision.verdict not in DEFINITE_VERDICTS:
            decision = await self._ask_final_tables(
                ticket, ticket_text, request, deadline
            )
        return answer_from_decision(decision, request)

    async def leave(self, timeout: float) -> None:
        """Close the ticket table, wait for running bookings and hand the table off.

        `timeout` is the longest wait in seconds. The order guarantees that the export
        stays correct. The table is closed first, so that no ticket starts to run after
        the export has ruled that out. The table is exported after the runs, so that it
        contains their outcomes; a run that is still going is exported as unknown.
        The instance keeps answering from its table until the process ends.
        """
        self._table.close()
        events.emit(events.BOOKINGS_CLOSED, running=len(self._runs))
        if self._runs:
            await self._wait_for_runs(
                set(self._runs.values()), timeout, asyncio.ALL_COMPLETED
            )
        await self._hand_off_table(self._table.export())
        # The final tables of other owners that are held here would otherwise be lost.
        for export in self._final_tables.exports():
            await self._hand_off_table(export)

    # Bookings with tickets minted here.

    async def _submit_here(
        self, ticket: Ticket, request: BookingRequest, deadline: float
    ) -> Answer:
        decision = self._table.begin(ticket, request.digest())
        if decision.verdict is Verdict.RUN:
            refused_answer = self._start_run(ticket, request, deadline)
            if refused_answer is not None:
                return refused_answer
        elif decision.verdict is Verdict.WAIT:
            fields = {"request_id": request.request_id, "ticket": ticket.id}
            events.emit(events.BOOKING_WAITED, **fields)
        else:
            log_decision(decision, ticket, request)
            return answer_from_decision(decision, request)
        return await self._await_run(self._runs[ticket.id], request, deadline)

    def _start_run(
        self, ticket: Ticket, request: BookingRequest, deadline: float
    ) -> Answer | None:
        """Start the run and return None, or refuse the ticket and return the answer."""
        check = RunCheck(self._clock, deadline, self._pauses)
        try:
            check()
            choice = self._planner.choose_shard(request)
        except (UserError, RunStoppedError) as exc:
            answer = failure_answer(request, Outcome.NOT_RUN, exc.code)
            self._record_outcome(ticket, request, answer)
            return answer
        except Exception:
            answer = failure_answer(request, Outcome.NOT_RUN, "planner_fault")
            self._record_outcome(ticket, request, answer)
            raise
        events.emit(events.BOOKING_RUN, request_id=request.request_id, ticket=ticket.id)
        run = self._run_booking(ticket, request, choice, deadline, check)
        self._runs[ticket.id] = asyncio.get_running_loop().create_task(run)
        return None

    async def _run_booking(
        self,
        ticket: Ticket,
        request: BookingRequest,
        choice: ShardChoice,
        deadline: float,
        check: RunCheck,
    ) -> Answer:
        answer = failure_answer(request, Outcome.UNKNOWN, "run_cancelled")
        try:
            attempts = await self._runner.run_once(
                request, ticket.id, choice, deadline, check
            )
            answer = answer_from_attempts(request, choice, attempts, check)
        except RunStoppedError as exc:
            outcome = Outcome.UNKNOWN if check.unresolved else Outcome.NOT_RUN
            answer = failure_answer(request, outcome, exc.code)
        except Exception as exc:
            events.emit(events.BOOKING_RUNNER_FAULT, ticket=ticket.id, reason=repr(exc))
            answer = failure_answer(request, Outcome.UNKNOWN, "runner_fault")
        finally:
            del self._runs[ticket.id]
            answer = self._record_outcome(ticket, request, answer)
        return answer

    def _record_outcome(
        self, ticket: Ticket, request: BookingRequest, answer: Answer
    ) -> Answer:
        """Record the answer and return it, or unknown if it can't be recorded."""
        try:
            # The first caller gets the decoded answer too, so that it equals the
            # answer to a resend.
            outcome = encode_answer(answer)
            answer = decode_answer(outcome)
        except Exception as exc:
            events.emit(events.BOOKING_RUNNER_FAULT, ticket=ticket.id, reason=repr(exc))
            answer = failure_answer(request, Outcome.UNKNOWN, "answer_not_encodable")
            outcome = encode_answer(answer)
        if len(outcome) > MAX_OUTCOME_BYTES:
            answer = failure_answer(request, Outcome.UNKNOWN, "answer_too_large")
            outcome = encode_answer(answer)
        not_run = answer.outcome is Outcome.NOT_RUN
        (self._table.refuse if not_run else self._table.finish)(ticket, outcome)
        fields = {"outcome": answer.outcome.value, "attempts": answer.sub_requests}
        events.emit(
            events.BOOKING_FINISHED,
            ticket=ticket.id,
            reason=answer.reason,
            **fields,
            request_id=answer.request_id,
        )
        return answer

    async def _await_run(
        self, run: asyncio.Task[Answer], request: BookingRequest, deadline: float
    ) -> Answer:
        """Return the run's answer, or unknown when this request's deadline passes.

        The run continues after the deadline and after a cancellation of the caller.
        """
        remaining = deadline - self._clock.monotonic()
        await self._wait_for_runs({run}, remaining, asyncio.FIRST_COMPLETED)
        if not run.done() or run.cancelled():
            return failure_answer(request, Outcome.UNKNOWN, "deadline_passed")
        return attrs.evolve(run.result(), request_id=request.request_id)

    async def _wait_for_runs(
        self, runs: set[asyncio.Task[Answer]], timeout: float, return_when: str
    ) -> None:
        """Wait up to `timeout` seconds of the instance's clock for the runs."""
        timer = asyncio.ensure_future(self._clock.sleep(max(timeout, 0.0)))
        waiting = asyncio.ensure_future(asyncio.wait(runs, return_when=return_when))
        try:
            await asyncio.wait({waiting, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            waiting.cancel()

    # Bookings with tickets of other owners, and hand-off.

    async def _forward_to_owner(
        self, ticket: Ticket, ticket_text: str, request: BookingRequest, deadline: float
    ) -> Decision:
        owner = ticket.owner
        fields = {"request_id": request.request_id, "ticket": ticket.id}
        fields["owner"] = owner.id
        events.emit(events.BOOKING_FORWARDED, address=owner.address, **fields)
        remaining = deadline - self._clock.monotonic()
        msg = ForwardBooking(
            ticket_text, encode_request(request), max(int(remaining * 1000), 0)
        )
        decision = await self._request_decision(owner.address, msg, remaining)
        if decision.verdict not in DEFINITE_VERDICTS:
            reason = decision.verdict.value
            events.emit(events.BOOKING_FORWARD_FAILED, reason=reason, **fields)
        return decision

    async def _ask_final_tables(
        self, ticket: Ticket, ticket_text: str, request: BookingRequest, deadline: float
    ) -> Decision:
        """Return the decision of the peers that may hold the owner's final table."""
        remaining = min(deadline - self._clock.monotonic(), ASK_TIMEOUT_S)
        msg = FinalTableRequest(ticket_text, request.digest())
        addresses = self._handoff_addresses(ticket.owner.id)
        replies = await asyncio.gather(
            *(self._request_decision(address, msg, remaining) for address in addresses)
        )
        definite_replies = [
            reply for reply in replies if reply.verdict in DEFINITE_VERDICTS
        ]
        # A holder may know the outcome of a run that another holder lists as unknown.
        decision = (
            definite_replies[0] if definite_replies else Decision(Verdict.UNKNOWN)
        )
        log_final_decision(decision, ticket, request)
        return decision

    async def _request_decision(
        self, address: Address, msg: Any, timeout: float
    ) -> Decision:
        """Return the decision in the peer's reply, or unknown without a valid reply."""
        if timeout <= 0:
            return Decision(Verdict.UNKNOWN)
        try:
            reply = await self._peers.request(address, msg, timeout)
            decision = Decision(Verdict(reply.verdict), reply.outcome)
            if decision.verdict is Verdict.RECORDED:
                decode_answer(decision.outcome)
        except (FilbertshelfError, AttributeError, ValueError):
            # AttributeError and ValueError: a peer of another version replied with an
            # unknown message or verdict.
            return Decision(Verdict.UNKNOWN)
        return decision

    def _handoff_addresses(self, owner_id: str) -> list[Address]:
        """Return the addresses of the peers that may hold the owner's final table."""
        own = self._table.owner.id
        addresses = {
            member.id: member.address
            for member in self._members.members()
            if member.id not in (own, owner_id) and member.status in _HANDOFF_STATUSES
        }
        ranked = rank_peers(owner_id, addresses)
        return [addresses[name] for name in ranked[:HANDOFF_CANDIDATES]]

    async def _hand_off_table(self, export: FinalExport) -> None:
        accepted = []
        for address in self._handoff_addresses(export.owner.id):
            if await self._send_table(address, export):
                accepted.append(address)
            if len(accepted) == HANDOFF_COPIES:
                break
        events.emit(
            events.TICKET_TABLE_HANDED_OFF,
            owner=export.owner.id,
            records=len(export.records),
            peers=accepted,
        )

    async def _send_table(self, address: Address, export: FinalExport) -> bool:
        parts = split_export(export, MAX_PART_RECORDS, MAX_PART_BYTES)
        for number, part in enumerate(parts):
            msg = handoff_message(part, number, len(parts))
            try:
                reply = await self._peers.request(address, msg, HANDOFF_TIMEOUT_S)
            except FilbertshelfError:
                return False
            if not (isinstance(reply, HandoffReply) and reply.accepted):
                return False
        return True

    # Messages from peers.

    async def _on_forward(self, sender: Any, msg: ForwardBooking) -> BookingResult:
        """Answer as the owner; another owner's ticket is unknown, not forwarded."""
        deadline = self._clock.monotonic() + msg.deadline_ms / 1000
        try:
            ticket = parse_ticket(msg.ticket, self._cfg.fleet_key)
            request = decode_request(msg.request)
            answer = await self._submit_here(ticket, request, deadline)
        except TicketBodyError:
            return BookingResult(Verdict.OTHER_BODY.value)
        except (UserError, MessageError):
            return BookingResult(Verdict.UNKNOWN.value)
        if answer.outcome is Outcome.UNKNOWN and answer.reason == "ticket_unknown":
            return BookingResult(Verdict.UNKNOWN.value)
        return BookingResult(Verdict.RECORDED.value, encode_answer(answer))

    async def _on_handoff(self, sender: Any, msg: TicketHandoff) -> HandoffReply:
        accepted = self._final_tables.add(read_handoff(msg), msg.part, msg.parts)
        events.emit(
            events.TICKET_TABLE_RECEIVED,
            owner=msg.owner_id,
            part=msg.part,
            parts=msg.parts,
            accepted=accepted,
        )
        return HandoffReply(accepted)

    async def _on_final_table_request(
        self, sender: Any, msg: FinalTableRequest
    ) -> FinalTableReply:
        try:
            ticket = parse_ticket(msg.ticket, self._cfg.fleet_key)
        except UserError:
            return FinalTableReply(Verdict.UNKNOWN.value)
        decision = self._final_tables.lookup(ticket, msg.digest)
        return FinalTableReply(decision.verdict.value, decision.outcome)
