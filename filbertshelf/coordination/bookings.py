"""Bookings: each ticket runs at most once, and only at its owner."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Protocol

import attrs

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.booking_answers import (
    DEFINITE,
    judge,
    log_decision,
    log_final,
    no_answer,
    settle,
)
from filbertshelf.coordination.booking_runs import (
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
# The members of the asker and of the leaving owner may differ by a few instances.
# Both use the first 4 of the same ranking, so that 2 differences are tolerated.
HANDOFF_CANDIDATES = 4
HANDOFF_TIMEOUT = 2.0
ASK_TIMEOUT = 1.0
# One part of a final table stays below the 2 MiB limit of a frame between peers;
# the largest part of a full table was 0.35 MB.
PART_RECORDS = 2_000
PART_BYTES = 262_144
# A larger answer isn't kept, since a resend could then not get the same one.
MAX_OUTCOME_BYTES = 65_536
# A leaving member would soon take a table with it; a suspect one may be alive.
_MAY_HOLD = (Status.ALIVE, Status.SUSPECT)


class PeerLink(Protocol):
    """The part of the peer transport that bookings use."""

    def register(
        self, message_class: type, handler: Callable[[Any, Any], Awaitable[Any]]
    ) -> None:
        """Call `handler(sender, message)` for each message; it returns the reply."""

    async def request(self, address: Address, msg: Any, timeout: float) -> Any:
        """Return the reply.

        Raises `PeerUnreachableError` only if nothing was delivered, else
        `PeerTimeoutError`.
        """


class Members(Protocol):
    """The part of the membership that bookings use."""

    def members(self) -> Sequence[Member]:
        """Return the rows that are not dead, this instance included."""


class Bookings:
    """Mints tickets, runs its own, forwards others, and hands its table off."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        table: TicketTable,
        finals: FinalTableStore,
        peers: PeerLink,
        members: Members,
        planner: Planner,
        runner: Runner,
        pauses: PauseDetector,
    ):
        self._cfg = cfg
        self._clock = clock
        self._table = table
        self._finals = finals
        self._peers = peers
        self._members = members
        self._planner = planner
        self._runner = runner
        self._pauses = pauses
        self._runs: dict[str, asyncio.Task[Answer]] = {}
        peers.register(ForwardBooking, self._on_forward)
        peers.register(TicketHandoff, self._on_handoff)
        peers.register(FinalTableRequest, self._on_ask_final)

    @property
    def running(self) -> int:
        """Return the number of bookings that run here now."""
        return len(self._runs)

    def mint(self) -> str:
        """Return the text of a new ticket.

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

        `deadline` is in seconds of the monotonic clock. A caller that goes away
        does not end the run. Raises `TicketError` for a ticket that is not valid
        or was first used with another body.
        """
        ticket = parse_ticket(ticket_text, self._cfg.fleet_key)
        if self._table.has_minted(ticket):
            return await self._submit_here(ticket, request, deadline)
        decision = self._finals.lookup(ticket, request.digest())
        if decision.verdict in DEFINITE:
            log_final(decision, ticket, request)
        if decision.verdict not in DEFINITE:
            decision = await self._forward(ticket, ticket_text, request, deadline)
        if decision.verdict not in DEFINITE:
            decision = await self._ask_finals(ticket, ticket_text, request, deadline)
        return settle(decision, request)

    async def leave(self, timeout: float) -> None:
        """Close the table, wait up to `timeout` s for the runs, hand the table off.

        The order carries the promise. The table closes first, so that no ticket
        starts after the export that says it never will. The export follows the
        runs, so that it holds their outcomes; a run that is still going is handed
        off as unknown. Until the process ends it keeps answering from its table.
        """
        self._table.close()
        events.emit(events.BOOKINGS_CLOSED, running=len(self._runs))
        if self._runs:
            await self._first_of(
                set(self._runs.values()), timeout, asyncio.ALL_COMPLETED
            )
        await self._hand_off(self._table.export())
        # The tables that this instance holds for others would be lost with it.
        for export in self._finals.exports():
            await self._hand_off(export)

    # The owner's side.

    async def _submit_here(
        self, ticket: Ticket, request: BookingRequest, deadline: float
    ) -> Answer:
        decision = self._table.begin(ticket, request.digest())
        if decision.verdict is Verdict.RUN:
            refusal = self._start(ticket, request, deadline)
            if refusal is not None:
                return refusal
        elif decision.verdict is Verdict.WAIT:
            fields = {"request_id": request.request_id, "ticket": ticket.id}
            events.emit(events.BOOKING_WAITED, **fields)
        else:
            log_decision(decision, ticket, request)
            return settle(decision, request)
        return await self._await_run(self._runs[ticket.id], request, deadline)

    def _start(
        self, ticket: Ticket, request: BookingRequest, deadline: float
    ) -> Answer | None:
        """Start the run, or refuse the ticket and return the answer."""
        check = RunCheck(self._clock, deadline, self._pauses)
        try:
            check()
            choice = self._planner.choose(request)
        except (UserError, RunStoppedError) as exc:
            answer = no_answer(request, Outcome.NOT_RUN, exc.code)
            self._record(ticket, request, answer)
            return answer
        except Exception:
            answer = no_answer(request, Outcome.NOT_RUN, "planner_fault")
            self._record(ticket, request, answer)
            raise
        events.emit(events.BOOKING_RUN, request_id=request.request_id, ticket=ticket.id)
        run = self._run(ticket, request, choice, deadline, check)
        self._runs[ticket.id] = asyncio.get_running_loop().create_task(run)
        return None

    async def _run(
        self,
        ticket: Ticket,
        request: BookingRequest,
        choice: ShardChoice,
        deadline: float,
        check: RunCheck,
    ) -> Answer:
        answer = no_answer(request, Outcome.UNKNOWN, "run_cancelled")
        try:
            attempts = await self._runner.run_once(
                request, ticket.id, choice, deadline, check
            )
            answer = judge(request, choice, attempts, check)
        except RunStoppedError as exc:
            outcome = Outcome.UNKNOWN if check.unresolved else Outcome.NOT_RUN
            answer = no_answer(request, outcome, exc.code)
        except Exception as exc:
            events.emit(events.BOOKING_RUNNER_FAULT, ticket=ticket.id, reason=repr(exc))
            answer = no_answer(request, Outcome.UNKNOWN, "runner_fault")
        finally:
            del self._runs[ticket.id]
            answer = self._record(ticket, request, answer)
        return answer

    def _record(
        self, ticket: Ticket, request: BookingRequest, answer: Answer
    ) -> Answer:
        """Record the answer in the table and return it, or what replaces it."""
        try:
            # The first caller gets what a resend gets: what the codec restores.
            outcome = encode_answer(answer)
            answer = decode_answer(outcome)
        except Exception as exc:
            events.emit(events.BOOKING_RUNNER_FAULT, ticket=ticket.id, reason=repr(exc))
            answer = no_answer(request, Outcome.UNKNOWN, "answer_not_encodable")
            outcome = encode_answer(answer)
        if len(outcome) > MAX_OUTCOME_BYTES:
            answer = no_answer(request, Outcome.UNKNOWN, "answer_too_large")
            outcome = encode_answer(answer)
        refused = answer.outcome is Outcome.NOT_RUN
        (self._table.refuse if refused else self._table.finish)(ticket, outcome)
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

        Neither that nor the caller's cancellation touches the run.
        """
        remaining = deadline - self._clock.monotonic()
        await self._first_of({run}, remaining, asyncio.FIRST_COMPLETED)
        if not run.done() or run.cancelled():
            return no_answer(request, Outcome.UNKNOWN, "deadline_passed")
        return attrs.evolve(run.result(), request_id=request.request_id)

    async def _first_of(
        self, runs: set[asyncio.Task[Answer]], timeout: float, return_when: str
    ) -> None:
        """Wait for the runs for up to `timeout` seconds of the clock."""
        timer = asyncio.ensure_future(self._clock.sleep(max(timeout, 0.0)))
        waiting = asyncio.ensure_future(asyncio.wait(runs, return_when=return_when))
        try:
            await asyncio.wait({waiting, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
            waiting.cancel()

    # The other instances' side.

    async def _forward(
        self, ticket: Ticket, text: str, request: BookingRequest, deadline: float
    ) -> Decision:
        owner = ticket.owner
        fields = {"request_id": request.request_id, "ticket": ticket.id}
        fields["owner"] = owner.id
        events.emit(events.BOOKING_FORWARDED, address=owner.address, **fields)
        remaining = deadline - self._clock.monotonic()
        msg = ForwardBooking(
            text, encode_request(request), max(int(remaining * 1000), 0)
        )
        decision = await self._ask(owner.address, msg, remaining)
        if decision.verdict not in DEFINITE:
            reason = decision.verdict.value
            events.emit(events.BOOKING_FORWARD_FAILED, reason=reason, **fields)
        return decision

    async def _ask_finals(
        self, ticket: Ticket, text: str, request: BookingRequest, deadline: float
    ) -> Decision:
        """Return what the peers that may hold the owner's final table know."""
        remaining = min(deadline - self._clock.monotonic(), ASK_TIMEOUT)
        msg = FinalTableRequest(text, request.digest())
        asked = self._candidates(ticket.owner.id)
        replies = await asyncio.gather(
            *(self._ask(address, msg, remaining) for address in asked)
        )
        found = [reply for reply in replies if reply.verdict in DEFINITE]
        # A holder may know the outcome of a run that another has as unknown.
        decision = found[0] if found else Decision(Verdict.UNKNOWN)
        log_final(decision, ticket, request)
        return decision

    async def _ask(self, address: Address, msg: Any, timeout: float) -> Decision:
        """Return the verdict in the peer's reply, unknown without one."""
        if timeout <= 0:
            return Decision(Verdict.UNKNOWN)
        try:
            reply = await self._peers.request(address, msg, timeout)
            decision = Decision(Verdict(reply.verdict), reply.outcome)
            if decision.verdict is Verdict.RECORDED:
                decode_answer(decision.outcome)
        except (FilbertshelfError, AttributeError, ValueError):
            # The last two: a peer of another version replied with an unknown
            # message or verdict.
            return Decision(Verdict.UNKNOWN)
        return decision

    def _candidates(self, owner_id: str) -> list[Address]:
        """Return the addresses where the owner's final table may be."""
        own = self._table.owner.id
        addresses = {
            member.id: member.address
            for member in self._members.members()
            if member.id not in (own, owner_id) and member.status in _MAY_HOLD
        }
        ranked = rank_peers(owner_id, addresses)
        return [addresses[name] for name in ranked[:HANDOFF_CANDIDATES]]

    async def _hand_off(self, export: FinalExport) -> None:
        accepted = []
        for address in self._candidates(export.owner.id):
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
        parts = split_export(export, PART_RECORDS, PART_BYTES)
        for number, part in enumerate(parts):
            msg = handoff_message(part, number, len(parts))
            try:
                reply = await self._peers.request(address, msg, HANDOFF_TIMEOUT)
            except FilbertshelfError:
                return False
            if not (isinstance(reply, HandoffReply) and reply.accepted):
                return False
        return True

    # Handlers of peer messages.

    async def _on_forward(self, sender: Any, msg: ForwardBooking) -> BookingResult:
        """Answer as the owner; a ticket of another is unknown, not forwarded again."""
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
        accepted = self._finals.add(read_handoff(msg), msg.part, msg.parts)
        events.emit(
            events.TICKET_TABLE_RECEIVED,
            owner=msg.owner_id,
            part=msg.part,
            parts=msg.parts,
            accepted=accepted,
        )
        return HandoffReply(accepted)

    async def _on_ask_final(
        self, sender: Any, msg: FinalTableRequest
    ) -> FinalTableReply:
        try:
            ticket = parse_ticket(msg.ticket, self._cfg.fleet_key)
        except UserError:
            return FinalTableReply(Verdict.UNKNOWN.value)
        decision = self._finals.lookup(ticket, msg.digest)
        return FinalTableReply(decision.verdict.value, decision.outcome)
