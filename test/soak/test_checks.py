"""Tests that the checks of the soak detect violations."""

from __future__ import annotations

import attrs
import pytest

from test.soak.checks import (
    MAX_REQUESTS_OVER_LIMIT,
    find_violations,
    lost_during_maintenance,
    served_share,
)
from test.soak.history import (
    Answer,
    Arrival,
    CallerRequest,
    ColdTime,
    Config,
    Evacuation,
    History,
    RateLimit,
    Run,
)
from test.soak.targets import RECORD_BYTES, records

SHARDS = ("s0", "s1", "s2", "s3")


def make_request(route: str, number: int = 1, **changes) -> CallerRequest:
    """Return a record of a request without an answer."""
    method = "POST" if route == "book" else "GET"
    request = CallerRequest(
        f"r{number}", method, f"/{route}/1", b"", "g0", 1, float(number)
    )
    for name, value in changes.items():
        setattr(request, name, value)
    return request


def make_run(service: str, number: int = 1, target: str = "t1", **changes) -> Run:
    """Return a run of the request that `make_request` returns for the number."""
    values = {
        "method": b"GET",
        "path": b"/one/1",
        "body": b"",
        "started_at": float(number),
    }
    return Run(f"r{number}", target, service, **{**values, **changes})


def make_answer(stamp: str, service: str, number: int = 1, status: int = 200) -> Answer:
    """Return an answer of a target."""
    body = records(service, f"r{number}")
    return Answer(stamp, f"r{number}", service, status, body)


def make_history(*requests: CallerRequest, runs=(), answers=()) -> History:
    """Return a history with two configurations."""
    history = History()
    history.configs += [Config(1, "m1", SHARDS, 0.0), Config(2, "m2", SHARDS, 5.0)]
    history.requests += requests
    for run in runs:
        history.runs[run.request_id].append(run)
    history.answers.update({answer.stamp: answer for answer in answers})
    return history


def gathered_history(parts: int = 4, **changes) -> History:
    """Return a history with one answer that is merged from shards."""
    answers = [make_answer(f"x{n}", SHARDS[n]) for n in range(parts)]
    merged = b"".join(answer.body for answer in answers)
    best = sorted(merged[n : n + 16] for n in range(0, len(merged), RECORD_BYTES))
    request = make_request(
        "all",
        status=200,
        part_stamps=tuple(answer.stamp for answer in answers),
        missing_parts=4 - parts,
        answer=b"".join(best[::-1][:5]),
        ended_at=1.1,
    )
    for name, value in changes.items():
        setattr(request, name, value)
    return make_history(request, answers=answers)


def single_history(**changes) -> History:
    """Return a history with one answer from one target."""
    answer = make_answer("x1", "desk")
    values = {"status": 200, "stamp": "x1", "answer": answer.body, "ended_at": 1.1}
    return make_history(make_request("one", **{**values, **changes}), answers=[answer])


def limited_history(requests: int, told: bool = True) -> History:
    """Return a history with requests to a target that named one request a second."""
    answer = attrs.evolve(make_answer("t1.1", "desk", 10_000), body=b"")
    first = make_request(
        "one", 10_000, status=200, stamp="t1.1", sent_at=1.0, ended_at=1.1
    )
    if not told:
        first.status, first.stamp = 503, ""
    numbers = range(1, requests + 1)
    history = make_history(
        first,
        *(make_request("one", number) for number in numbers),
        runs=[make_run("desk", n, started_at=10.0 + n / 100) for n in numbers],
        answers=[answer],
    )
    history.rate_limits.append(RateLimit("t1", 1.0, 0.5))
    return history


def leaving_history(sent_at: float) -> History:
    """Return a history with a request after an answer of a target that leaves."""
    answer = attrs.evolve(make_answer("t1.1", "desk", 1), body=b"")
    first = make_request("one", status=200, stamp="t1.1", ended_at=1.1)
    first.says_leaving = True
    second = make_request("one", 2, sent_at=sent_at)
    return make_history(first, second, runs=[make_run("desk", 2)], answers=[answer])


def evacuated_history(arrived_at: float) -> History:
    """Return a history with an arrival in a data centre evacuated from 10 to 20 s."""
    history = make_history()
    history.evacuations.append(Evacuation("z1", 10.0, 20.0))
    history.arrivals.append(Arrival("r1", "t1", "z1", arrived_at))
    return history


def cold_history(**changes) -> History:
    """Return a history with nine requests in a second to a target that is cold."""
    history = make_history()
    history.cold_times.append(ColdTime("t1", 10.0, 20.0))
    arrivals = [Arrival(f"r{n}", "t1", "z1", 12.0 + n / 10) for n in range(9)]
    history.arrivals += [attrs.evolve(arrival, **changes) for arrival in arrivals]
    return history


BOOKING = {"method": b"POST", "path": b"/book/1"}
VIOLATING_HISTORIES = {
    "TWICE": make_history(make_request("book"), runs=[make_run("desk", **BOOKING)] * 2),
    "REFUSED": make_history(
        make_request("book", status=503), runs=[make_run("desk", **BOOKING)]
    ),
    "REFUSED safe request": make_history(
        make_request("one", status=429), runs=[make_run("desk")]
    ),
    "UNASKED no request": make_history(runs=[make_run("desk")]),
    "UNASKED other path": make_history(
        make_request("one"), runs=[make_run("desk", path=b"/one/2")]
    ),
    "ROUTE": make_history(make_request("one"), runs=[make_run("m1")]),
    "MIXED unknown stamp": single_history(stamp="x9"),
    "MIXED other body": single_history(answer=b"cut"),
    "MIXED other request": make_history(
        make_request("one", 2, status=200, stamp="x1", answer=records("desk", "r1")),
        answers=[make_answer("x1", "desk")],
    ),
    "MIXED failure as success": make_history(
        make_request("one", status=200, stamp="x1", answer=records("desk", "r1")),
        answers=[make_answer("x1", "desk", status=500)],
    ),
    "MIXED wrong count of missing parts": gathered_history(missing_parts=1),
    "MIXED too few parts": gathered_history(2),
    "MIXED one part twice": gathered_history(part_stamps=("x0", "x0", "x1", "x2")),
    "MIXED other records": gathered_history(answer=b"0" * 80),
    "DENIED": make_history(make_request("one", status=404)),
    "BUDGET": make_history(
        *(make_request("one", n) for n in range(MAX_REQUESTS_OVER_LIMIT + 1)),
        runs=[
            make_run("desk", n, f"t{copy}")
            for n in range(MAX_REQUESTS_OVER_LIMIT + 1)
            for copy in range(3)
        ],
    ),
    "LIMIT": limited_history(12),
    "DRAIN": leaving_history(3.0),
    "COLD": cold_history(),
    "EVACUATED": evacuated_history(15.1),
    "CONFIG back": make_history(
        make_request("move", 1),
        make_request("move", 2),
        runs=[
            make_run("m2", 1, path=b"/move/1"),
            make_run("m1", 2, path=b"/move/1"),
        ],
    ),
    "CONFIG held": make_history(
        *(make_request("all", n, status=504, ended_at=n + 2.0) for n in range(20))
    ),
}


@pytest.mark.parametrize("name", VIOLATING_HISTORIES)
def test_a_violation_is_detected(name):
    # Guards against a soak that passes because its checks detect nothing.
    violations = find_violations(VIOLATING_HISTORIES[name])
    assert {line.split()[0] for line in violations} == {name.split()[0]}


@pytest.mark.parametrize(
    "history",
    [
        gathered_history(),
        gathered_history(3),
        single_history(),
        limited_history(11),
        limited_history(40, told=False),
        leaving_history(1.3),
        evacuated_history(14.9),
        evacuated_history(20.1),
        cold_history(misdirected=True),
        cold_history(arrived_at=9.9),
        cold_history(arrived_at=20.1),
    ],
)
def test_a_correct_history_has_no_violations(history):
    assert find_violations(history) == []


def test_a_request_without_an_answer_is_lost_during_maintenance():
    history = make_history(make_request("one", 1), make_request("one", 2, status=503))
    assert len(lost_during_maintenance(history, 0.0, 5.0)) == 1
    assert lost_during_maintenance(history, 3.0, 5.0) == []


def test_the_served_share_counts_successes():
    served, failed = make_request("one", status=200), make_request("one", status=502)
    assert served_share([served, failed]) == 0.5


def test_targets_that_ended_do_not_count_towards_the_limit():
    history = VIOLATING_HISTORIES["BUDGET"]
    ended = attrs.evolve(history, ended_targets={"t0"})
    assert find_violations(ended) == []
