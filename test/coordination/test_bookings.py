"""Bookings run at most once, and answers to resends match what the targets ran."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import attrs
import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.coordination.bookings import (
    HANDOFF_COPIES,
    MAX_OUTCOME_BYTES,
    Bookings,
)
from filbertshelf.errors import StoppingError, TicketBodyError
from filbertshelf.protocol.bookings import (
    BookingRequest,
    BookingResult,
    ForwardBooking,
)
from filbertshelf.protocol.replies import Done
from filbertshelf.state.final_table import FinalTableStore
from filbertshelf.state.members import Identity, Member
from filbertshelf.state.outcome import Attempt, Outcome, Result
from filbertshelf.state.ticket_table import Decision, State, TicketTable, Verdict
from filbertshelf.transport.peers import Peers
from test.coordination.memory_fleet import (
    CFG,
    Fleet,
    Runner,
    choose_shard,
    run_with_faults,
)
from test.history import BookingHistory

SEEDS = range(12)
MUTANT_SEEDS = range(25)
WHOLE, NOT_RUN, UNKNOWN = Outcome.WHOLE, Outcome.NOT_RUN, Outcome.UNKNOWN


@pytest.fixture
async def make_fleet():
    """Return a function that makes a fleet, and check its history in the end."""
    fleets = []

    def make(**parts):
        fleets.append(Fleet(7, **parts))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.close()
        assert fleet.history.violations() == []


async def test_no_violations_under_combined_faults():
    # Guards against a booking that runs twice or gets a wrong answer under any mix of
    # pauses, partitions, replacements, lost replies, hand-offs and expired tickets.
    answer_counts = Counter()
    for seed in SEEDS:
        fleet = await run_with_faults(seed)
        assert fleet.history.violations() == [], f"seed {seed}"
        for answers in fleet.history.answers.values():
            answer_counts.update((answer.outcome, answer.reason) for answer in answers)
        fleet.close()
    # The schedule must still reach all of these answers.
    verdicts = ("ticket_absent", "ticket_expired", "ticket_closed")
    for reason in ("paused", "deadline_passed", "draining", *verdicts):
        assert answer_counts[NOT_RUN, reason], reason
    for reason in ("ticket_unknown", "connection_lost", "deadline_passed"):
        assert answer_counts[UNKNOWN, reason], reason
    assert answer_counts[WHOLE, ""] > 100


class _NoRunningState(TicketTable):
    def begin(self, ticket, digest):
        decision = super().begin(ticket, digest)
        again = decision.verdict is Verdict.WAIT
        return Decision(Verdict.RUN) if again else decision

    def _end(self, ticket, state, outcome):
        self._records[ticket.id].state = State.RUNNING
        super()._end(ticket, state, outcome)


class _OwnerByName(TicketTable):
    def has_minted(self, ticket):
        return ticket.owner.id == self.owner.id

    def begin(self, ticket, digest):
        return super().begin(attrs.evolve(ticket, owner=self.owner), digest)


class _RunsAfterClose(TicketTable):
    def begin(self, ticket, digest):
        closed, self._closed = self._closed, False
        decision = super().begin(ticket, digest)
        self._closed = closed
        return decision


class _SkipsChecks(Runner):
    async def run_once(self, request, ticket_id, choice, deadline, check):
        permissive_check = SimpleNamespace(
            before_write=lambda: None, mark_not_run=lambda: None
        )
        return await super().run_once(
            request, ticket_id, choice, deadline, permissive_check
        )


class _RetriesUnknown(Runner):
    async def write(self, target, request, deadline):
        attempt = await super().write(target, request, deadline)
        if attempt.result is Result.UNKNOWN:
            return attrs.evolve(attempt, result=Result.NOT_RUN)
        return attempt


@pytest.mark.parametrize(
    ("parts", "violation"),
    [
        ({"table": _NoRunningState}, "ran 2 times"),
        ({"table": _OwnerByName}, "ran 2 times"),
        ({"table": _RunsAfterClose}, "answered not run, but ran"),
        ({"runner": _SkipsChecks}, "written after its deadline"),
        ({"runner": _RetriesUnknown}, "ran 2 times"),
    ],
)
async def test_history_checker_detects_an_injected_fault(parts, violation):
    # Guards against a history checker that accepts a faulty implementation.
    violations = []
    for seed in MUTANT_SEEDS:
        fleet = await run_with_faults(seed, **parts)
        violations += fleet.history.violations()
        fleet.cancel()
        if any(violation in line for line in violations):
            return
    pytest.fail(f"only found {violations}")


async def test_concurrent_resends_share_one_run(make_fleet):
    fleet = make_fleet()
    ticket = fleet.mint(0)
    tasks = [fleet.submit(number, ticket) for number in (0, 0, 1, 2, 3)]
    await fleet.advance(1.0)
    assert {task.result().outcome for task in tasks} == {WHOLE}


@pytest.mark.parametrize("paused", [0.4, 2.0])
async def test_an_owner_resumed_after_a_pause_does_not_write(make_fleet, paused):
    # Guards against a write after a pause, both before and after the deadline.
    fleet = make_fleet()
    ticket = fleet.mint(0)
    first = fleet.submit(1, ticket, 1.0)
    await fleet.advance(0.08)
    assert fleet.instances[0].bookings.running
    fleet.instances[0].pause()
    await fleet.advance(paused)
    fleet.instances[0].resume()
    await fleet.advance(1.0)
    assert first.result().outcome in (UNKNOWN, NOT_RUN)
    assert (await fleet.submit_and_wait(2, ticket)).reason == "paused"
    assert not fleet.history.runs


async def test_a_replacement_at_the_same_address_does_not_run_the_ticket(make_fleet):
    # The replacement has the same id, address and incarnation.
    fleet = make_fleet()
    used, unused = fleet.mint(0), fleet.mint(0)
    fleet.submit(1, used, 0.3)
    await fleet.advance(0.1)
    fleet.replace(0, incarnation=1)
    for ticket in (used, unused):
        await _assert_answers(fleet, ticket, UNKNOWN, "ticket_unknown")


async def test_both_sides_of_a_partition_run_their_own_tickets(make_fleet):
    fleet = make_fleet()
    tickets = [fleet.mint(0), fleet.mint(2)]
    fleet.partition(2, 3)
    for own, far, ticket in ((1, 3, tickets[0]), (3, 1, tickets[1])):
        assert (await fleet.submit_and_wait(far, ticket)).outcome is UNKNOWN
        assert (await fleet.submit_and_wait(own, ticket)).outcome is WHOLE
    fleet.partition()
    await _assert_answers(fleet, tickets[0], WHOLE, "")


async def test_a_lost_reply_is_unknown_and_the_resend_gets_the_outcome(make_fleet):
    fleet = make_fleet()
    ticket = fleet.mint(0)
    fleet.reply_loss = 1.0
    assert (await fleet.submit_and_wait(1, ticket)).outcome is UNKNOWN
    fleet.reply_loss = 0.0
    assert (await fleet.submit_and_wait(1, ticket)).outcome is WHOLE


@pytest.mark.parametrize(
    "reply", [Done(), BookingResult("new"), BookingResult("recorded", b"\xff")]
)
async def test_an_invalid_reply_makes_the_outcome_unknown(make_fleet, reply):
    # Guards against an error, which a caller may interpret as not run.
    fleet = make_fleet()

    async def handle(sender, msg):
        return reply

    fleet.instances[0].register(ForwardBooking, handle)
    assert (await fleet.submit_and_wait(1, fleet.mint(0))).outcome is UNKNOWN


async def test_the_run_continues_without_its_caller_and_after_a_short_resend(
    make_fleet,
):
    # Guards against a run that is cancelled or changed when its caller disconnects.
    fleet = make_fleet()
    fleet.target_delay_s = 0.5
    ticket = fleet.mint(0)
    caller = fleet.submit(0, ticket, 2.0)
    await fleet.advance(0.04)
    short = fleet.submit(0, ticket, 0.02)
    caller.cancel()
    await fleet.advance(0.06)
    assert short.result().outcome is UNKNOWN
    assert fleet.instances[0].bookings.running == 1
    assert (await fleet.submit_and_wait(0, ticket)).outcome is WHOLE


async def test_resends_during_and_after_a_hand_off_get_the_same_outcome(make_fleet):
    fleet = make_fleet(size=6)
    used, unused = fleet.mint(0), fleet.mint(0)
    resends = [fleet.submit(1, used)]
    await fleet.advance(0.06)
    leave_task = fleet.leave(0)
    await fleet.advance(0.02)
    with pytest.raises(StoppingError):
        fleet.mint(0)
    resends.append(fleet.submit(2, used))
    await fleet.advance(2.0)
    assert leave_task.done()
    assert {task.result().outcome for task in resends} == {WHOLE}
    # The holders leave too and hand the tables that they hold to other instances.
    for number in _holders(fleet):
        fleet.leave(number)
        await fleet.advance(2.0)
    assert len(_holders(fleet)) == HANDOFF_COPIES
    await _assert_answers(fleet, used, WHOLE, "")
    await _assert_answers(fleet, unused, NOT_RUN, "ticket_absent")
    # One remaining copy is enough to answer.
    fleet.replace(_holders(fleet)[0])
    await _assert_answers(fleet, unused, NOT_RUN, "ticket_absent")
    fleet.replace(_holders(fleet)[0])
    await _assert_answers(fleet, unused, UNKNOWN, "ticket_unknown")


def _holders(fleet):
    holders = [i for i in fleet.instances if i.final_tables.size and not i.stopped]
    return [fleet.instances.index(instance) for instance in holders]


async def _assert_answers(fleet, ticket, outcome, reason):
    """Check the answer of each instance that is still running."""
    for number, instance in enumerate(fleet.instances):
        if not instance.stopped:
            answer = await fleet.submit_and_wait(number, ticket)
            assert (answer.outcome, answer.reason) == (outcome, reason)


async def test_a_run_that_outlasts_the_drain_is_handed_off_as_unknown(make_fleet):
    fleet = make_fleet()
    fleet.target_delay_s = 60.0
    ticket = fleet.mint(0)
    fleet.submit(0, ticket, 60.0)
    await fleet.advance(0.2)
    fleet.leave(0)
    await fleet.advance(2.0)
    await _assert_answers(fleet, ticket, UNKNOWN, "ticket_unknown")


async def test_an_expired_ticket_never_runs(make_fleet):
    fleet = make_fleet()
    ticket = fleet.mint(0)
    await fleet.advance(10.0, step=1.0)
    assert (await fleet.submit_and_wait(1, ticket)).reason == "ticket_expired"
    await fleet.advance(8.0, step=1.0)
    await _assert_answers(fleet, ticket, UNKNOWN, "ticket_unknown")


async def test_another_body_is_an_error_at_every_instance(make_fleet):
    # Guards against returning the outcome of a different request.
    fleet = make_fleet()
    ticket = fleet.mint(0)
    await fleet.submit_and_wait(0, ticket)
    other = BookingRequest("r", "c", {}, "hire", "s1", {"ticket": "other"})
    for instance in fleet.instances:
        task = asyncio.ensure_future(instance.bookings.submit(ticket, other, 9.0))
        await fleet.advance(0.5)
        with pytest.raises(TicketBodyError):
            task.result()


ANSWERED = Attempt("t0", Result.ANSWERED, answer=[{"rack": (1, 2)}])


class _ScriptedRunner(Runner):
    def __init__(self, writes, result, history):
        self.writes, self.result, self.history = writes, result, history

    async def run_once(self, request, ticket_id, choice, deadline, check):
        for _ in range(self.writes):
            check.before_write()
            self.history.record_execution(ticket_id, 0.0, deadline)
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


@pytest.mark.parametrize(
    ("writes", "result"),
    [
        (2, []),
        (1, []),
        (0, ValueError("raised without a reported write")),
        (1, [Attempt("t1", Result.UNKNOWN), ANSWERED]),
        (1, [attrs.evolve(ANSWERED, answer="x" * MAX_OUTCOME_BYTES)]),
        (1, [attrs.evolve(ANSWERED, answer=object())]),
    ],
)
async def test_a_runner_fault_makes_the_outcome_unknown(make_fleet, writes, result):
    # Guards against answering "not run" when the runner lost track of its writes.
    fleet = make_fleet(
        runner=lambda i: _ScriptedRunner(writes, result, i.fleet.history)
    )
    ticket = fleet.mint(0)
    for number in (0, 1):
        assert (await fleet.submit_and_wait(number, ticket)).outcome is UNKNOWN


async def test_bookings_run_once_over_real_connections():
    # Guards against messages that only work over the simulated network.
    clock = SystemClock()
    transports = [Peers(CFG, Identity(name, "z", 1), clock) for name in "abc"]
    for peers in transports:
        await peers.start()
    rows = [Member(peers.identity.id, "z", peers.address, 1) for peers in transports]
    instances = [_make_bookings(peers, clock, rows) for peers in transports]
    used, unused = instances[0].mint_ticket(), instances[0].mint_ticket()
    request = BookingRequest("r", "c", {}, "hire", "s1", {"rack": 1})
    until = clock.monotonic() + 20
    first = await instances[0].submit(used, request, until)
    assert first.outcome is WHOLE
    assert await instances[1].submit(used, request, until) == first
    await instances[0].leave(1.0)
    await transports[0].stop()
    assert await instances[2].submit(used, request, until) == first
    absent = await instances[2].submit(unused, request, until)
    assert (absent.outcome, absent.reason) == (NOT_RUN, "ticket_absent")
    for peers in transports[1:]:
        await peers.stop()


def _make_bookings(peers, clock, rows):
    table = TicketTable(CFG, clock, peers.identity, peers.address)
    stubs = SimpleNamespace(
        members=lambda: rows, choose_shard=choose_shard, pending_pause_s=lambda: 0.0
    )
    runner = _ScriptedRunner(1, [ANSWERED], BookingHistory())
    final_tables = FinalTableStore(clock)
    return Bookings(CFG, clock, table, final_tables, peers, stubs, stubs, runner, stubs)
