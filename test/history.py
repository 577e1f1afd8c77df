"""A history of bookings and the rules that it must obey."""

from __future__ import annotations

from collections import defaultdict

import attrs

from filbertshelf.state.outcome import Answer, Outcome


@attrs.define
class History:
    """What callers were answered and what targets ran, by the ticket's text."""

    answers: dict[str, list[Answer]] = attrs.field(factory=lambda: defaultdict(list))
    runs: dict[str, list[float]] = attrs.field(factory=lambda: defaultdict(list))
    late: list[str] = attrs.field(factory=list)

    def answered(self, ticket: str, answer: Answer) -> None:
        """Record what one caller was told."""
        self.answers[ticket].append(answer)

    def executed(self, ticket: str, written_at: float, deadline: float) -> None:
        """Record that a target ran the booking."""
        self.runs[ticket].append(written_at)
        if written_at >= deadline:
            self.late.append(ticket)

    def violations(self) -> list[str]:
        """Return one line for each rule that the history breaks."""
        found = [f"{ticket}: written after its deadline" for ticket in self.late]
        for ticket in self.answers.keys() | self.runs.keys():
            found += self._of_ticket(ticket)
        return sorted(found)

    def _of_ticket(self, ticket: str) -> list[str]:
        runs = len(self.runs.get(ticket, ()))
        told = [answer.outcome for answer in self.answers.get(ticket, ())]
        definite = {
            (answer.outcome, answer.rows)
            for answer in self.answers.get(ticket, ())
            if answer.outcome is not Outcome.UNKNOWN
        }
        rules = {
            f"ran {runs} times": runs <= 1,
            "told not run, but ran": not (Outcome.NOT_RUN in told and runs),
            "told whole, but did not run": not (Outcome.WHOLE in told and not runs),
            f"resends disagree: {definite}": len(definite) <= 1,
            "told partial": Outcome.PARTIAL not in told,
        }
        return [f"{ticket}: {rule}" for rule, holds in rules.items() if not holds]
