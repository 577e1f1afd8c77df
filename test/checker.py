"""A history of queries, bookings and configuration versions, and its checker."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

from filbertshelf.standins.target_config import Execution


@attrs.frozen
class RecordedAnswer:
    """An answer to a caller; the marker is unique to the query or the ticket."""

    kind: str
    marker: str
    answer: Mapping[str, Any]


@attrs.define
class FleetHistory:
    """The answers to callers and the configuration versions of each instance.

    `shards` holds the planned shard names. The checks assume that each shard has rows,
    that no query has a filter, and that the body of each query and booking carries its
    marker.
    """

    shards: Sequence[str]
    answers: list[RecordedAnswer] = attrs.field(factory=list)
    versions: dict[str, list[Any]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def record_answer(self, kind: str, marker: str, answer: Mapping[str, Any]) -> None:
        """Record an answer to a query or a booking."""
        self.answers.append(RecordedAnswer(kind, marker, answer))

    def record_version(self, process: str, version: Any) -> None:
        """Record the version in force in a process (one incarnation) now."""
        self.versions[process].append(version)

    def count_whole(self, kind: str = "query") -> int:
        """Return how many answers of a kind were whole."""
        return sum(
            a.kind == kind and a.answer["outcome"] == "whole" for a in self.answers
        )

    def violations(self, executions: Iterable[Execution]) -> list[str]:
        """Return one line for each rule that the history breaks."""
        runs = list(executions)
        search_runs: dict[str, list[Execution]] = collections.defaultdict(list)
        booking_runs: dict[str, list[Execution]] = collections.defaultdict(list)
        for run in runs:
            if run.verb == "search":
                search_runs[run.request_id.partition(".")[0]].append(run)
            else:
                booking_runs[run.body["booking"].get("marker", "")].append(run)
        violations: list[str] = []
        for recorded in self.answers:
            if recorded.kind == "query" and "coverage" in recorded.answer:
                violations += self._query_violations(recorded, search_runs)
            violations += _not_run_violations(recorded, search_runs)
        violations += self._booking_violations(booking_runs)
        for process, seen in self.versions.items():
            if any(later < earlier for earlier, later in itertools.pairwise(seen)):
                violations.append(f"{process}: the configuration version decreased")
        return sorted(violations)

    def _query_violations(
        self, recorded: RecordedAnswer, search_runs: Mapping[str, list[Execution]]
    ) -> Iterator[str]:
        answer = recorded.answer
        runs = search_runs.get(answer["request_id"], ())
        rows, coverage = answer["rows"], answer["coverage"]
        missing = [item["shard"] for item in coverage["missing"]]
        answered = set(self.shards) - set(missing)
        versions = {
            (item["index_version"], item["generation"])
            for item in answer["snapshot"].values()
        }
        ids = [row["id"] for row in rows]
        ran = {
            run.shard
            for run in runs
            if run.ended == "done" and (run.index_version, run.generation) in versions
        }
        rules = {
            "rows of another query": {row["marker"] for row in rows}
            <= {recorded.marker},
            "rows of another snapshot": {row["version"] for row in rows}
            <= {version for version, _generation in versions},
            "more than one snapshot": len(versions) <= 1,
            "duplicate rows": len(ids) == len(set(ids)),
            "planned is not the shard count": coverage["planned"] == len(self.shards),
            "duplicate missing shards": len(missing) == len(set(missing)),
            "answered is not planned minus missing": coverage["answered"]
            == coverage["planned"] - len(missing),
            "rows and coverage differ": {row["id"].split("-")[1] for row in rows}
            == answered,
            "missing without a reason": all(
                item["reason"] != "none" for item in coverage["missing"]
            ),
            "whole and coverage differ": (answer["outcome"] == "whole")
            == (not missing),
            "partial and coverage differ": (answer["outcome"] == "partial")
            == (0 < len(missing) < len(self.shards)),
            "counted shards that did not run": answered <= ran,
        }
        for rule, holds in rules.items():
            if not holds:
                yield f"{recorded.marker}: {rule}"

    def _booking_violations(
        self, booking_runs: Mapping[str, list[Execution]]
    ) -> Iterator[str]:
        answers: dict[str, list[Mapping[str, Any]]] = collections.defaultdict(list)
        for recorded in self.answers:
            if recorded.kind == "booking":
                answers[recorded.marker].append(recorded.answer)
        for marker in booking_runs.keys() | answers.keys():
            count = len(booking_runs.get(marker, ()))
            outcomes = {answer["outcome"] for answer in answers[marker]}
            rows = {str(a["rows"]) for a in answers[marker] if a["outcome"] == "whole"}
            rules = {
                f"the booking ran {count} times": count <= 1,
                "answered not run, but the booking ran": not (
                    "not_run" in outcomes and count
                ),
                "answered whole, but the booking did not run": not (
                    "whole" in outcomes and not count
                ),
                "answered both whole and not run": not {"whole", "not_run"} <= outcomes,
                "the resends have different rows": len(rows) <= 1,
                "answered partial": "partial" not in outcomes,
            }
            for rule, holds in rules.items():
                if not holds:
                    yield f"{marker}: {rule}"


def _not_run_violations(
    recorded: RecordedAnswer, search_runs: Mapping[str, list[Execution]]
) -> Iterator[str]:
    runs = search_runs.get(recorded.answer.get("request_id", ""), ())
    if recorded.kind == "query" and recorded.answer["outcome"] == "not_run" and runs:
        yield f"{recorded.marker}: answered not run, but a target ran it"
