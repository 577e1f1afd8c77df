"""A ticket runs at most once, and "not run" is reported only if it is true."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from filbertshelf.clock import ManualClock
from filbertshelf.errors import (
    StoppingError,
    TicketError,
    TicketFormatError,
    TicketsFullError,
    TicketSignatureError,
    TicketVersionError,
)
from filbertshelf.settings import Settings
from filbertshelf.state.final_table import FinalTableStore, rank_peers, split_export
from filbertshelf.state.members import Identity
from filbertshelf.state.ticket_table import TableLimits, TicketTable, Verdict
from filbertshelf.state.tickets import format_ticket, parse_ticket

KEY = "0123456789abcdef"
CFG = Settings(
    name="a",
    data_centre="bne-1",
    fleet_key=KEY,
    platform=("127.0.0.1", 1),
    ticket_lifetime=10.0,
)
OWN = Identity("a", "bne-1", 1)
LIMITS = TableLimits(records=6, outcome_bytes=40, keep_ms=5_000)
FIXED = settings(derandomize=True, deadline=None)
NEVER_RUNS = (Verdict.EXPIRED, Verdict.CLOSED, Verdict.ABSENT)


def make_table(clock, nonce="n1", limits=LIMITS):
    return TicketTable(CFG, clock, OWN, ("127.0.0.1", 7001), limits, nonce)


@given(st.integers(0, 400), st.sampled_from("Aaz09-_.é"))
@FIXED
def test_a_modified_ticket_is_never_accepted_as_another(position, char):
    # Guards against a forged id, owner or lifetime.
    ticket = make_table(ManualClock()).mint()
    text = format_ticket(ticket, KEY)
    position %= len(text)
    changed = text[:position] + char + text[position + 1 :]
    try:
        assert parse_ticket(changed, KEY) == ticket
    except TicketError:
        assert changed != text


@pytest.mark.parametrize(
    ("change", "error"),
    [
        (lambda text: "", TicketFormatError),
        (lambda text: text * 9, TicketFormatError),
        (lambda text: text.replace(".", ".!", 1), TicketFormatError),
        (lambda text: text.replace("v1.", "v2.", 1), TicketVersionError),
    ],
)
def test_each_fault_of_a_ticket_raises_its_own_error(change, error):
    text = format_ticket(make_table(ManualClock()).mint(), KEY)
    with pytest.raises(error):
        parse_ticket(change(text), KEY)
    with pytest.raises(TicketSignatureError):
        parse_ticket(text, "another-fleet-key")


class _TableMachine(RuleBasedStateMachine):
    """Compares the owner's table and its final copies with the runs that took place."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.table = make_table(self.clock)
        self.finals = FinalTableStore(self.clock)
        self.tickets = []
        self.running = {}
        self.outcomes = {}
        self.never = set()

    @rule()
    def mint(self):
        try:
            ticket = self.table.mint()
        except (TicketsFullError, StoppingError):
            return
        assert ticket.id not in {known.id for known in self.tickets}
        self.tickets.append(ticket)

    @precondition(lambda self: self.tickets)
    @rule(data=st.data(), digest=st.sampled_from([b"x", b"x", b"y"]))
    def begin(self, data, digest):
        ticket = data.draw(st.sampled_from(self.tickets))
        self._check(ticket, self.table.begin(ticket, digest), digest)

    @precondition(lambda self: self.running)
    @rule(data=st.data(), refused=st.booleans(), outcome=st.binary(min_size=1))
    def end(self, data, refused, outcome):
        ticket_id = data.draw(st.sampled_from(sorted(self.running)))
        ticket, digest = self.running.pop(ticket_id)
        end = self.table.refuse if refused else self.table.finish
        end(ticket, outcome)
        self.outcomes[ticket_id] = (digest, outcome)
        with pytest.raises(ValueError, match="already"):
            end(ticket, b"second")

    @rule(seconds=st.sampled_from([0.5, 1, 4.999, 5, 9.999, 10, 15]))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @precondition(lambda self: not self.table.closed)
    @rule(now=st.integers(0, 7))
    def close(self, now):
        with pytest.raises(ValueError, match="close"):
            self.table.export()
        if now == 0:
            self.table.close()

    @precondition(lambda self: self.table.closed)
    @rule(lost=st.integers(-1, 3))
    def hand_off(self, lost):
        parts = split_export(self.table.export(), 2, 30)
        for number, part in enumerate(parts):
            if number != lost:
                self.finals.add(part, number, len(parts))

    @precondition(lambda self: self.tickets)
    @rule(data=st.data(), digest=st.sampled_from([b"x", b"y"]))
    def look_up(self, data, digest):
        ticket = data.draw(st.sampled_from(self.tickets))
        decision = self.finals.lookup(ticket, digest)
        assert decision.verdict not in (Verdict.RUN, Verdict.WAIT)
        self._check(ticket, decision, digest)

    def _check(self, ticket, decision, digest):
        used = ticket.id in self.running or ticket.id in self.outcomes
        match decision.verdict:
            case Verdict.RUN:
                assert not used
                assert ticket.id not in self.never
                self.running[ticket.id] = (ticket, digest)
            case Verdict.WAIT:
                assert self.running[ticket.id][1] == digest
            case Verdict.RECORDED:
                assert self.outcomes[ticket.id] == (digest, decision.outcome)
            case Verdict.OTHER_BODY:
                assert used
            case verdict if verdict in NEVER_RUNS:
                assert not used
                self.never.add(ticket.id)

    @invariant()
    def memory_is_bounded(self):
        assert self.table.size <= LIMITS.records

    def teardown(self):
        for ticket, _ in self.running.values():
            self.table.finish(ticket, b"end")
        for _ in range(2):
            self.clock.advance(60)
            for ticket in self.tickets:
                verdict = self.table.begin(ticket, b"x").verdict
                assert verdict is Verdict.UNKNOWN
        assert self.table.size == 0


TestTable = _TableMachine.TestCase
TestTable.settings = settings(
    FIXED, max_examples=300, stateful_step_count=40, print_blob=False
)


def test_a_process_with_the_same_start_time_is_another_owner():
    # Guards against a wall clock that is set back during a restart.
    ticket = make_table(ManualClock(), "n1").mint()
    successor = make_table(ManualClock(), "n2")
    assert successor.begin(ticket, b"x").verdict is Verdict.UNKNOWN


def test_a_full_table_mints_again_when_unused_tickets_expire():
    # Guards against unused tickets that keep their place in the table forever.
    clock = ManualClock()
    table = make_table(clock)
    for _ in range(LIMITS.records):
        table.mint()
    with pytest.raises(TicketsFullError):
        table.mint()
    clock.advance(11)
    table.mint()


def test_large_outcomes_fill_the_table_too():
    # Guards against a table that limits only the number of records.
    table = make_table(ManualClock())
    ticket = table.mint()
    table.begin(ticket, b"x")
    table.finish(ticket, bytes(LIMITS.outcome_bytes))
    with pytest.raises(TicketsFullError):
        table.mint()


def test_records_dropped_before_the_export_are_unknown_in_the_final_table():
    # Guards against "not run" for a ticket that ran, but whose record has expired.
    clock = ManualClock()
    table, finals = make_table(clock), FinalTableStore(clock)
    ran = table.mint()
    table.begin(ran, b"x")
    table.finish(ran, b"done")
    clock.advance(15)
    table.close()
    finals.add(table.export())
    assert finals.lookup(ran, b"x").verdict is Verdict.UNKNOWN


def test_parts_of_two_exports_do_not_make_one_table():
    # Guards against a record that is lost between parts of different splits.
    clock = ManualClock()
    table, finals = make_table(clock), FinalTableStore(clock)
    tickets = [table.mint() for _ in range(3)]
    for ticket in tickets:
        table.begin(ticket, b"x")
    table.close()
    first = split_export(table.export(), 1, 100)
    second = split_export(table.export(), 2, 100)
    finals.add(first[0], 0, 2)
    finals.add(second[1], 1, 2)
    unused = attrs.evolve(tickets[0], serial=9)
    assert finals.lookup(unused, b"x").verdict is Verdict.UNKNOWN
    finals.add(second[0], 0, 2)
    assert finals.lookup(unused, b"x").verdict is Verdict.ABSENT


def test_a_holder_drops_whole_tables_and_then_answers_unknown():
    # Guards against a table that lost some records and still counts as final.
    clock = ManualClock()
    finals = FinalTableStore(clock, attrs.evolve(LIMITS, records=3, outcome_bytes=100))
    seen = []
    for number in range(3):
        table = make_table(clock, f"n{number}")
        ran, unused = table.mint(), table.mint()
        table.begin(ran, b"x")
        table.finish(ran, bytes(40))
        table.close()
        assert finals.add(table.export())
        seen.append((ran, unused))
    assert finals.size <= 3
    verdicts = [
        [finals.lookup(ticket, b"x").verdict for ticket in pair] for pair in seen
    ]
    kept = [Verdict.RECORDED, Verdict.ABSENT]
    assert verdicts == [[Verdict.UNKNOWN] * 2, kept, kept]
    clock.advance(15.1)
    assert finals.exports() == []


def test_peers_are_ranked_alike_when_one_has_left():
    names = [f"i{number}" for number in range(20)]
    best = rank_peers("owner", names)[:4]
    left = set(names) - {best[1]}
    assert rank_peers("owner", sorted(left))[:3] == [best[0], *best[2:4]]
