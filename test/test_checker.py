"""The checker of histories finds each kind of planted violation."""

from __future__ import annotations

import copy

import attrs
import pytest

from filbertshelf.standins.target_config import Execution
from test.checker import Record

SHARDS = ("s0", "s1")


def run(verb="search", **fields):
    defaults = {
        "target": "t0",
        "verb": verb,
        "request_id": "q.0.1",
        "idempotency_key": "",
        "service": "racks",
        "shard": "s0",
        "index_version": "v1",
        "generation": 1,
        "body": {"booking": {"marker": "b"}},
        "start": 0.0,
        "end": 1.0,
        "ended": "done",
        "in_flight": 1,
    }
    return Execution(**{**defaults, **fields})


QUERY = {
    "request_id": "q",
    "outcome": "whole",
    "snapshot": {"racks": {"index_version": "v1", "generation": 1}},
    "coverage": {"planned": 2, "answered": 2, "missing": []},
    "rows": [
        {"id": f"racks-{shard}-0", "marker": "m", "version": "v1"} for shard in SHARDS
    ],
}
RUNS = [run(), run(shard="s1", request_id="q.1.1"), run("book", request_id="x.t0")]
BOOKING = {"request_id": "b1", "outcome": "whole", "rows": ["r1"]}


def record(query=QUERY, *bookings):
    found = Record(SHARDS)
    found.note("query", "m", query)
    for booking in bookings or (BOOKING,):
        found.note("booking", "b", booking)
    return found


def changed(**fields):
    return {**copy.deepcopy(QUERY), **fields}


def row(**fields):
    return [{**QUERY["rows"][0], **fields}, QUERY["rows"][1]]


def coverage(planned, answered, *missing):
    items = [{"shard": shard, "reason": "timeout"} for shard in missing]
    return {"planned": planned, "answered": answered, "missing": items}


def test_a_true_history_has_no_violations():
    good = record()
    for version in (1, 1, 2):
        good.saw("i0/1", version)
    assert good.violations(RUNS) == []
    assert good.whole() == good.whole("booking") == 1


@pytest.mark.parametrize(
    ("query", "rule"),
    [
        (changed(rows=row(marker="other")), "rows of another query"),
        (changed(rows=row(version="v2")), "rows of another snapshot"),
        (changed(rows=QUERY["rows"] * 2), "a row stands twice"),
        (changed(rows=QUERY["rows"][:1]), "rows and coverage differ"),
        (changed(coverage=coverage(1, 1)), "planned is not the plan"),
        (changed(coverage=coverage(2, 2, "s1")), "answered is not planned less"),
        (changed(outcome="partial"), "partial and coverage differ"),
        (changed(outcome="not_run"), "told not run, but a target ran it"),
        (changed(request_id="z"), "counted shards that did not run"),
    ],
)
def test_a_planted_violation_of_a_query_is_found(query, rule):
    assert any(rule in line for line in record(query).violations(RUNS))


@pytest.mark.parametrize(
    ("bookings", "runs", "rule"),
    [
        ([BOOKING], [RUNS[2], attrs.evolve(RUNS[2], target="t1")], "ran 2 times"),
        ([{**BOOKING, "outcome": "not_run"}], RUNS[2:], "told not run, but"),
        ([BOOKING], [], "told whole, but"),
        ([BOOKING, {**BOOKING, "rows": ["r2"]}], RUNS[2:], "different rows"),
        ([{**BOOKING, "outcome": "partial"}], RUNS[2:], "told partial"),
    ],
)
def test_a_planted_violation_of_a_booking_is_found(bookings, runs, rule):
    found = record(QUERY, *bookings).violations(RUNS[:2] + runs)
    assert any(rule in line for line in found)


def test_a_planted_step_back_of_the_configuration_is_found():
    bad = record()
    for version in (1, 2, 1):
        bad.saw("i0/1", version)
    assert bad.violations(RUNS) == ["i0/1: the configuration went back"]
