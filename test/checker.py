"""A history of queries, bookings and revisions, and the rules that it must obey."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any

import attrs

from filbertshelf.standins.target_config import Execution


@attrs.frozen
class Asked:
    """One answer that a caller got; the marker is its own for each query or ticket."""

    kind: str
    marker: str
    answer: Mapping[str, Any]


@attrs.define
class Record:
    """What callers were answered and which versions each instance had in force.

    `shards` holds the planned shard names. Each shard has rows, no query has a
    filter, and each query and each booking carries its marker in the body.
    """

    shards: Sequence[str]
    asked: list[Asked] = attrs.field(factory=list)
    versions: dict[str, list[Any]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    def note(self, kind: str, marker: str, answer: Mapping[str, Any]) -> None:
        """Record an answer."""
        self.asked.append(Asked(kind, marker, answer))

    def saw(self, process: str, version: Any) -> None:
        """Record the version that a process (one incarnation) has in force now."""
        self.versions[process].append(version)

    def whole(self, kind: str = "query") -> int:
        """Return how many answers were whole."""
        return sum(
            a.kind == kind and a.answer["outcome"] == "whole" for a in self.asked
        )

    def violations(self, executions: Iterable[Execution]) -> list[str]:
        """Return one line for each rule that the history breaks."""
        runs = list(executions)
        searches: dict[str, list[Execution]] = collections.defaultdict(list)
        books: dict[str, list[Execution]] = collections.defaultdict(list)
        for run in runs:
            if run.verb == "search":
                searches[run.request_id.partition(".")[0]].append(run)
            else:
                books[run.body["booking"].get("marker", "")].append(run)
        found: list[str] = []
        for asked in self.asked:
            if asked.kind == "query" and "coverage" in asked.answer:
                found += self._of_query(asked, searches)
            found += _not_run(asked, searches)
        found += self._of_bookings(books)
        for process, seen in self.versions.items():
            if any(later < earlier for earlier, later in itertools.pairwise(seen)):
                found.append(f"{process}: the configuration went back")
        return sorted(found)

    def _of_query(
        self, asked: Asked, searches: Mapping[str, list[Execution]]
    ) -> Iterator[str]:
        answer = asked.answer
        runs = searches.get(answer["request_id"], ())
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
            "rows of another query": {row["marker"] for row in rows} <= {asked.marker},
            "rows of another snapshot": {row["version"] for row in rows}
            <= {version for version, _generation in versions},
            "more than one snapshot": len(versions) <= 1,
            "a row stands twice": len(ids) == len(set(ids)),
            "planned is not the plan": coverage["planned"] == len(self.shards),
            "a shard is missing twice": len(missing) == len(set(missing)),
            "answered is not planned less missing": coverage["answered"]
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
                yield f"{asked.marker}: {rule}"

    def _of_bookings(self, books: Mapping[str, list[Execution]]) -> Iterator[str]:
        told: dict[str, list[Mapping[str, Any]]] = collections.defaultdict(list)
        for asked in self.asked:
            if asked.kind == "booking":
                told[asked.marker].append(asked.answer)
        for marker in books.keys() | told.keys():
            count = len(books.get(marker, ()))
            outcomes = {answer["outcome"] for answer in told[marker]}
            rows = {str(a["rows"]) for a in told[marker] if a["outcome"] == "whole"}
            rules = {
                f"the booking ran {count} times": count <= 1,
                "told not run, but the booking ran": not (
                    "not_run" in outcomes and count
                ),
                "told whole, but the booking did not run": not (
                    "whole" in outcomes and not count
                ),
                "told whole and not run": not {"whole", "not_run"} <= outcomes,
                "the resends have different rows": len(rows) <= 1,
                "told partial": "partial" not in outcomes,
            }
            for rule, holds in rules.items():
                if not holds:
                    yield f"{marker}: {rule}"


def _not_run(asked: Asked, searches: Mapping[str, list[Execution]]) -> Iterator[str]:
    runs = searches.get(asked.answer.get("request_id", ""), ())
    if asked.kind == "query" and asked.answer["outcome"] == "not_run" and runs:
        yield f"{asked.marker}: told not run, but a target ran it"
