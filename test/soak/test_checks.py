"""The checks of the soak find what they are for."""

from __future__ import annotations

import attrs
import pytest

from test.soak.checks import (
    MAX_REQUESTS_OVER_LIMIT,
    find_violations,
    lost_during_maintenance,
    served_share,
)
from test.soak.history import Answer, CallerRequest, Config, History, Run
from test.soak.targets import RECORD_BYTES, records

SHARDS = ("s0", "s1", "s2", "s3")


def request(route: str, number: int = 1, **changes) -> CallerRequest:
    """Return a request without an answer."""
    method = "POST" if route == "book" else "GET"
    found = CallerRequest(
        f"r{number}", method, f"/{route}/1", b"", "g0", 1, float(number)
    )
    for name, value in changes.items():
        setattr(found, name, value)
    return found


def run(service: str, number: int = 1, target: str = "t1", **changes) -> Run:
    """Return the run of a request that `request` returns."""
    values = {
        "method": b"GET",
        "path": b"/one/1",
        "body": b"",
        "started_at": float(number),
    }
    return Run(f"r{number}", target, service, **{**values, **changes})


def answer(stamp: str, service: str, number: int = 1, status: int = 200) -> Answer:
    """Return a target's answer."""
    body = records(service, f"r{number}")
    return Answer(stamp, f"r{number}", service, status, body)


def history(*requests: CallerRequest, runs=(), answers=()) -> History:
    """Return a history with two versions."""
    found = History()
    found.configs += [Config(1, "m1", SHARDS, 0.0), Config(2, "m2", SHARDS, 5.0)]
    found.requests += requests
    for one in runs:
        found.runs[one.request_id].append(one)
    found.answers.update({one.stamp: one for one in answers})
    return found


def gathered(parts: int = 4, **changes) -> History:
    """Return a history with one merged answer."""
    answers = [answer(f"x{n}", SHARDS[n]) for n in range(parts)]
    rows = b"".join(one.body for one in answers)
    best = sorted(rows[n : n + 16] for n in range(0, len(rows), RECORD_BYTES))
    sent = request(
        "all",
        status=200,
        part_stamps=tuple(one.stamp for one in answers),
        missing_parts=4 - parts,
        answer=b"".join(best[::-1][:5]),
        ended_at=1.1,
    )
    for name, value in changes.items():
        setattr(sent, name, value)
    return history(sent, answers=answers)


def single(**changes) -> History:
    """Return a history with one answer of one target."""
    good = answer("x1", "desk")
    values = {"status": 200, "stamp": "x1", "answer": good.body, "ended_at": 1.1}
    return history(request("one", **{**values, **changes}), answers=[good])


BOOKED = {"method": b"POST", "path": b"/book/1"}
BROKEN = {
    "TWICE": history(request("book"), runs=[run("desk", **BOOKED)] * 2),
    "REFUSED": history(request("book", status=503), runs=[run("desk", **BOOKED)]),
    "UNASKED of nobody": history(runs=[run("desk")]),
    "UNASKED other path": history(request("one"), runs=[run("desk", path=b"/one/2")]),
    "ROUTE": history(request("one"), runs=[run("m1")]),
    "MIXED unknown stamp": single(stamp="x9"),
    "MIXED other body": single(answer=b"cut"),
    "MIXED other request": history(
        request("one", 2, status=200, stamp="x1", answer=records("desk", "r1")),
        answers=[answer("x1", "desk")],
    ),
    "MIXED failure as success": history(
        request("one", status=200, stamp="x1", answer=records("desk", "r1")),
        answers=[answer("x1", "desk", status=500)],
    ),
    "MIXED missing is wrong": gathered(missing_parts=1),
    "MIXED too few parts": gathered(2),
    "MIXED one part twice": gathered(part_stamps=("x0", "x0", "x1", "x2")),
    "MIXED order": gathered(answer=b"0" * 80),
    "DENIED": history(request("one", status=404)),
    "BUDGET": history(
        *(request("one", n) for n in range(MAX_REQUESTS_OVER_LIMIT + 1)),
        runs=[
            run("desk", n, f"t{copy}")
            for n in range(MAX_REQUESTS_OVER_LIMIT + 1)
            for copy in range(3)
        ],
    ),
    "CONFIG back": history(
        request("move", 1),
        request("move", 2),
        runs=[
            run("m2", 1, path=b"/move/1"),
            run("m1", 2, path=b"/move/1"),
        ],
    ),
    "CONFIG held": history(
        *(request("all", n, status=504, ended_at=n + 2.0) for n in range(20))
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_promise_is_found(name):
    # Guards against a soak that passes because it looks at nothing.
    found = find_violations(BROKEN[name])
    assert {line.split()[0] for line in found} == {name.split()[0]}


@pytest.mark.parametrize("good", [gathered(), gathered(3), single()])
def test_a_kept_promise_is_no_finding(good):
    assert find_violations(good) == []


def test_a_request_without_an_answer_is_lost_during_maintenance():
    found = history(request("one", 1), request("one", 2, status=503))
    assert len(lost_during_maintenance(found, 0.0, 5.0)) == 1
    assert lost_during_maintenance(found, 3.0, 5.0) == []


def test_the_share_served_counts_successes():
    good, bad = request("one", status=200), request("one", status=502)
    assert served_share([good, bad]) == 0.5


def test_the_targets_that_ended_meanwhile_do_not_count():
    found = BROKEN["BUDGET"]
    ended = attrs.evolve(found, ended_targets={"t0"})
    assert find_violations(ended) == []
