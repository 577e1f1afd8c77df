"""The checker of fleet histories finds each kind of planted violation."""

from __future__ import annotations

import copy

import attrs
import pytest

from filbertshelf.standins.target_config import Execution
from test.checker import FleetHistory

SHARDS = ("s0", "s1")


def execution(verb="search", **fields):
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
RUNS = [
    execution(),
    execution(shard="s1", request_id="q.1.1"),
    execution("book", request_id="x.t0"),
]
BOOKING = {"request_id": "b1", "outcome": "whole", "rows": ["r1"]}


def make_history(query=QUERY, *bookings):
    history = FleetHistory(SHARDS)
    history.record_answer("query", "m", query)
    for booking in bookings or (BOOKING,):
        history.record_answer("booking", "b", booking)
    return history


def query_with(**fields):
    return {**copy.deepcopy(QUERY), **fields}


def rows_with_first(**fields):
    return [{**QUERY["rows"][0], **fields}, QUERY["rows"][1]]


def coverage(planned, answered, *missing):
    items = [{"shard": shard, "reason": "timeout"} for shard in missing]
    return {"planned": planned, "answered": answered, "missing": items}


def test_a_correct_history_has_no_violations():
    good = make_history()
    for version in (1, 1, 2):
        good.record_version("i0/1", version)
    assert good.violations(RUNS) == []
    assert good.count_whole() == good.count_whole("booking") == 1


@pytest.mark.parametrize(
    ("query", "rule"),
    [
        (query_with(rows=rows_with_first(marker="other")), "rows of another query"),
        (query_with(rows=rows_with_first(version="v2")), "rows of another snapshot"),
        (query_with(rows=QUERY["rows"] * 2), "duplicate rows"),
        (query_with(rows=QUERY["rows"][:1]), "rows and coverage differ"),
        (query_with(coverage=coverage(1, 1)), "planned is not the shard count"),
        (query_with(coverage=coverage(2, 2, "s1")), "answered is not planned minus"),
        (query_with(outcome="partial"), "partial and coverage differ"),
        (query_with(outcome="not_run"), "answered not run, but a target ran it"),
        (query_with(request_id="z"), "counted shards that did not run"),
    ],
)
def test_a_planted_violation_of_a_query_is_found(query, rule):
    assert any(rule in line for line in make_history(query).violations(RUNS))


@pytest.mark.parametrize(
    ("bookings", "runs", "rule"),
    [
        ([BOOKING], [RUNS[2], attrs.evolve(RUNS[2], target="t1")], "ran 2 times"),
        ([{**BOOKING, "outcome": "not_run"}], RUNS[2:], "answered not run, but"),
        ([BOOKING], [], "answered whole, but"),
        ([BOOKING, {**BOOKING, "rows": ["r2"]}], RUNS[2:], "different rows"),
        ([{**BOOKING, "outcome": "partial"}], RUNS[2:], "answered partial"),
    ],
)
def test_a_planted_violation_of_a_booking_is_found(bookings, runs, rule):
    violations = make_history(QUERY, *bookings).violations(RUNS[:2] + runs)
    assert any(rule in line for line in violations)


def test_a_decreasing_configuration_version_is_found():
    bad = make_history()
    for version in (1, 2, 1):
        bad.record_version("i0/1", version)
    assert bad.violations(RUNS) == ["i0/1: the configuration version decreased"]
