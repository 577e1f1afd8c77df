"""Bookings run at most once, and the answers to resends agree with the targets."""

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
    choose,
    run_month_end,
)
from test.history import BookingHistory

SEEDS = range(12)
MUTANT_SEEDS = range(25)
WHOLE, NOT_RUN, UNKNOWN = Outcome.WHOLE, Outcome.NOT_RUN, Outcome.UNKNOWN


@pytest.fixture
async def start():
    """Return a function that makes a fleet; its history must hold in the end."""
    fleets = []

    def make(**parts):
        fleets.append(Fleet(7, **parts))
        return fleets[-1]

    yield make
    for fleet in fleets:
        fleet.close()
        assert fleet.history.violations() == []


async def test_many_faults_at_once():
    # Guards against a double run or a false answer under any mix of pauses,
    # partitions, replacements, lost replies, hand-offs and expired tickets.
    seen = Counter()
    for seed in SEEDS:
        fleet = await run_month_end(seed)
        assert fleet.history.violations() == [], f"seed {seed}"
        for answers in fleet.history.answers.values():
            seen.update((answer.outcome, answer.reason) for answer in answers)
        fleet.close()
    # Guards against a schedule that no longer reaches what it is to test.
    verdicts = ("ticket_absent", "ticket_expired", "ticket_closed")
    for reason in ("paused", "deadline_passed", "draining", *verdicts):
        assert seen[NOT_RUN, reason], reason
    for reason in ("ticket_unknown", "connection_lost", "deadline_passed"):
        assert seen[UNKNOWN, reason], reason
    assert seen[WHOLE, ""] > 100


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


class _Unchecked(Runner):
    async def run_once(self, request, ticket_id, choice, deadline, check):
        free = SimpleNamespace(before_write=lambda: None, mark_not_run=lambda: None)
        return await super().run_once(request, ticket_id, choice, deadline, free)


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
        ({"runner": _Unchecked}, "written after its deadline"),
        ({"runner": _RetriesUnknown}, "ran 2 times"),
    ],
)
async def test_the_checker_finds_a_planted_fault(parts, violation):
    # Guards against a history test that passes whatever the code does.
    found = []
    for seed in MUTANT_SEEDS:
        fleet = await run_month_end(seed, **parts)
        found += fleet.history.violations()
        fleet.cancel()
        if any(violation in line for line in found):
            return
    pytest.fail(f"only found {found}")


async def test_concurrent_resends_share_one_run(start):
    fleet = start()
    ticket = fleet.mint(0)
    tasks = [fleet.submit(number, ticket) for number in (0, 0, 1, 2, 3)]
    await fleet.drive(1.0)
    assert {task.result().outcome for task in tasks} == {WHOLE}


@pytest.mark.parametrize("paused", [0.4, 2.0])
async def test_an_owner_woken_late_does_not_write(start, paused):
    # Guards against a write after a pause, before the deadline and past it.
    fleet = start()
    ticket = fleet.mint(0)
    first = fleet.submit(1, ticket, 1.0)
    await fleet.drive(0.08)
    assert fleet.instances[0].bookings.running
    fleet.instances[0].pause()
    await fleet.drive(paused)
    fleet.instances[0].resume()
    await fleet.drive(1.0)
    assert first.result().outcome in (UNKNOWN, NOT_RUN)
    assert (await fleet.ask(2, ticket)).reason == "paused"
    assert not fleet.history.runs


async def test_a_successor_at_the_address_does_not_run_the_ticket(start):
    # The successor has the same id, address and start time.
    fleet = start()
    used, unused = fleet.mint(0), fleet.mint(0)
    fleet.submit(1, used, 0.3)
    await fleet.drive(0.1)
    fleet.replace(0, incarnation=1)
    for ticket in (used, unused):
        await _expect(fleet, ticket, UNKNOWN, "ticket_unknown")


async def test_both_halves_of_a_partition_serve_their_own_tickets(start):
    fleet = start()
    tickets = [fleet.mint(0), fleet.mint(2)]
    fleet.partition(2, 3)
    for own, far, ticket in ((1, 3, tickets[0]), (3, 1, tickets[1])):
        assert (await fleet.ask(far, ticket)).outcome is UNKNOWN
        assert (await fleet.ask(own, ticket)).outcome is WHOLE
    fleet.partition()
    await _expect(fleet, tickets[0], WHOLE, "")


async def test_a_lost_reply_is_unknown_and_the_resend_gets_the_outcome(start):
    fleet = start()
    ticket = fleet.mint(0)
    fleet.lost = 1.0
    assert (await fleet.ask(1, ticket)).outcome is UNKNOWN
    fleet.lost = 0.0
    assert (await fleet.ask(1, ticket)).outcome is WHOLE


@pytest.mark.parametrize(
    "reply", [Done(), BookingResult("new"), BookingResult("recorded", b"\xff")]
)
async def test_a_reply_that_makes_no_sense_is_unknown(start, reply):
    # Guards against an error, which a caller may take for not run.
    fleet = start()

    async def handle(sender, msg):
        return reply

    fleet.instances[0].register(ForwardBooking, handle)
    assert (await fleet.ask(1, fleet.mint(0))).outcome is UNKNOWN


async def test_the_run_survives_its_caller_and_a_short_resend(start):
    # Guards against a caller's end that ends the run or changes its outcome.
    fleet = start()
    fleet.target_delay = 0.5
    ticket = fleet.mint(0)
    caller = fleet.submit(0, ticket, 2.0)
    await fleet.drive(0.04)
    short = fleet.submit(0, ticket, 0.02)
    caller.cancel()
    await fleet.drive(0.06)
    assert short.result().outcome is UNKNOWN
    assert fleet.instances[0].bookings.running == 1
    assert (await fleet.ask(0, ticket)).outcome is WHOLE


async def test_resends_during_and_after_a_hand_off_agree(start):
    fleet = start(size=6)
    used, unused = fleet.mint(0), fleet.mint(0)
    resends = [fleet.submit(1, used)]
    await fleet.drive(0.06)
    left = fleet.leave(0)
    await fleet.drive(0.02)
    with pytest.raises(StoppingError):
        fleet.mint(0)
    resends.append(fleet.submit(2, used))
    await fleet.drive(2.0)
    assert left.done()
    assert {task.result().outcome for task in resends} == {WHOLE}
    # The holders leave too: the tables that they hold go on to others.
    for number in _holders(fleet):
        fleet.leave(number)
        await fleet.drive(2.0)
    assert len(_holders(fleet)) == HANDOFF_COPIES
    await _expect(fleet, used, WHOLE, "")
    await _expect(fleet, unused, NOT_RUN, "ticket_absent")
    # One copy is enough, and its holder needs no other.
    fleet.replace(_holders(fleet)[0])
    await _expect(fleet, unused, NOT_RUN, "ticket_absent")
    fleet.replace(_holders(fleet)[0])
    await _expect(fleet, unused, UNKNOWN, "ticket_unknown")


def _holders(fleet):
    there = [i for i in fleet.instances if i.finals.size and not i.gone]
    return [fleet.instances.index(instance) for instance in there]


async def _expect(fleet, ticket, outcome, reason):
    """Check the answer of each instance that is there."""
    for number, instance in enumerate(fleet.instances):
        if not instance.gone:
            answer = await fleet.ask(number, ticket)
            assert (answer.outcome, answer.reason) == (outcome, reason)


async def test_a_run_that_outlasts_the_drain_is_handed_off_as_unknown(start):
    fleet = start()
    fleet.target_delay = 60.0
    ticket = fleet.mint(0)
    fleet.submit(0, ticket, 60.0)
    await fleet.drive(0.2)
    fleet.leave(0)
    await fleet.drive(2.0)
    await _expect(fleet, ticket, UNKNOWN, "ticket_unknown")


async def test_an_expired_ticket_never_runs(start):
    fleet = start()
    ticket = fleet.mint(0)
    await fleet.drive(10.0, step=1.0)
    assert (await fleet.ask(1, ticket)).reason == "ticket_expired"
    await fleet.drive(8.0, step=1.0)
    await _expect(fleet, ticket, UNKNOWN, "ticket_unknown")


async def test_another_body_is_an_error_at_every_instance(start):
    # Guards against an outcome given to a request that did not cause it.
    fleet = start()
    ticket = fleet.mint(0)
    await fleet.ask(0, ticket)
    other = BookingRequest("r", "c", {}, "hire", "s1", {"ticket": "other"})
    for instance in fleet.instances:
        task = asyncio.ensure_future(instance.bookings.submit(ticket, other, 9.0))
        await fleet.drive(0.5)
        with pytest.raises(TicketBodyError):
            task.result()


ANSWERED = Attempt("t0", Result.ANSWERED, answer=[{"rack": (1, 2)}])


class _Scripted(Runner):
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
        (0, ValueError("before it writes anything, or so it seems")),
        (1, [Attempt("t1", Result.UNKNOWN), ANSWERED]),
        (1, [attrs.evolve(ANSWERED, answer="x" * MAX_OUTCOME_BYTES)]),
        (1, [attrs.evolve(ANSWERED, answer=object())]),
    ],
)
async def test_a_fault_of_the_runner_is_unknown(start, writes, result):
    # Guards against "not run" by a runner that lost track of what it wrote.
    fleet = start(runner=lambda i: _Scripted(writes, result, i.fleet.history))
    ticket = fleet.mint(0)
    for number in (0, 1):
        assert (await fleet.ask(number, ticket)).outcome is UNKNOWN


async def test_bookings_over_real_connections():
    # Guards against messages that fit the fake network only.
    clock = SystemClock()
    linked = [Peers(CFG, Identity(name, "z", 1), clock) for name in "abc"]
    for peers in linked:
        await peers.start()
    rows = [Member(peers.identity.id, "z", peers.address, 1) for peers in linked]
    nodes = [_real(peers, clock, rows) for peers in linked]
    used, unused = nodes[0].mint(), nodes[0].mint()
    request = BookingRequest("r", "c", {}, "hire", "s1", {"rack": 1})
    until = clock.monotonic() + 20
    first = await nodes[0].submit(used, request, until)
    assert first.outcome is WHOLE
    assert await nodes[1].submit(used, request, until) == first
    await nodes[0].leave(1.0)
    await linked[0].stop()
    assert await nodes[2].submit(used, request, until) == first
    absent = await nodes[2].submit(unused, request, until)
    assert (absent.outcome, absent.reason) == (NOT_RUN, "ticket_absent")
    for peers in linked[1:]:
        await peers.stop()


def _real(peers, clock, rows):
    table = TicketTable(CFG, clock, peers.identity, peers.address)
    rest = SimpleNamespace(members=lambda: rows, choose=choose, check=lambda: 0.0)
    runner = _Scripted(1, [ANSWERED], BookingHistory())
    finals = FinalTableStore(clock)
    return Bookings(CFG, clock, table, finals, peers, rest, rest, runner, rest)
