"""A history of bookings and its checker."""

from __future__ import annotations

from collections import defaultdict

import attrs

from filbertshelf.state.outcome import Answer, Outcome


@attrs.define
class BookingHistory:
    """The answers to callers and the runs on targets, by the text of the ticket."""

    answers: dict[str, list[Answer]] = attrs.field(factory=lambda: defaultdict(list))
    runs: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    late_tickets: list[str] = attrs.field(factory=list)

    def record_answer(self, ticket: str, answer: Answer) -> None:
        """Record an answer to a caller."""
        self.answers[ticket].append(answer)

    def record_execution(self, ticket: str, written_at: float, deadline: float) -> None:
        """Record that a target ran the booking; times are in monotonic seconds."""
        self.runs[ticket].append(written_at)
        if written_at >= deadline:
            self.late_tickets.append(ticket)

    def violations(self) -> list[str]:
        """Return one line for each rule that the history breaks."""
        violations = [
            f"{ticket}: written after its deadline" for ticket in self.late_tickets
        ]
        for ticket in self.answers.keys() | self.runs.keys():
            violations += self._ticket_violations(ticket)
        return sorted(violations)

    def _ticket_violations(self, ticket: str) -> list[str]:
        runs = len(self.runs.get(ticket, ()))
        outcomes = [answer.outcome for answer in self.answers.get(ticket, ())]
        definite = {
            (answer.outcome, answer.rows)
            for answer in self.answers.get(ticket, ())
            if answer.outcome is not Outcome.UNKNOWN
        }
        rules = {
            f"ran {runs} times": runs <= 1,
            "answered not run, but ran": not (Outcome.NOT_RUN in outcomes and runs),
            "answered whole, but did not run": not (
                Outcome.WHOLE in outcomes and not runs
            ),
            f"resends disagree: {definite}": len(definite) <= 1,
            "answered partial": Outcome.PARTIAL not in outcomes,
        }
        return [f"{ticket}: {rule}" for rule, holds in rules.items() if not holds]
