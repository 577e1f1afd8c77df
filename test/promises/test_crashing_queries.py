"""A query that crashes targets is stopped before it takes the fleet down."""

from __future__ import annotations

import asyncio

import pytest

from filbertshelf import events
from filbertshelf.clock import SystemClock
from filbertshelf.state import quarantine
from filbertshelf.state.quarantine import Quarantine
from test.checker import FleetHistory
from test.fleet import SHARDS

POISON = {"poison": True, "order_by": "id"}
LONG_DOWN = {"crash_down_s": 30.0}


def crashes(fleet):
    return sum(target.counters.crashes for target in fleet.targets.values())


async def poison(fleet, instance="i0", **fields):
    query = {**POISON, **fields}
    return (await fleet.query(instance, query=query, deadline_ms=1500))[1]


async def test_a_poisoned_query_and_its_resends_crash_two_targets(fleet, log):
    # Guards against a caller's resends that crash every replica in turn.
    await fleet.start(targets=6, policy={"canary": True}, target_options=LONG_DOWN)
    first = await poison(fleet)
    assert first["outcome"] == "unknown"
    assert crashes(fleet) <= 2
    # The notice is sent at once; the caller's next resend comes after its answer.
    resends = [await poison(fleet, f"i{number % 2}") for number in range(10)]
    assert crashes(fleet) <= 2
    assert {answer["outcome"] for answer in resends} <= {"not_run", "unknown"}
    assert resends[-1]["code"] == "quarantined"
    assert any(line.get("event") == events.QUERY_QUARANTINED.number for line in log)
    # Another query is unharmed by the quarantine and by the dead targets.
    for name in fleet.instances:
        _status, answer = await fleet.query(name, deadline_ms=5000)
        assert answer["outcome"] == "whole"


async def test_resends_that_do_not_wait_crash_two_targets(fleet):
    # Guards against resends that run while the first one is not yet convicted.
    await fleet.start(targets=6, policy={"canary": True}, target_options=LONG_DOWN)
    answers = await asyncio.gather(*(poison(fleet) for _ in range(8)))
    assert {answer["outcome"] for answer in answers} <= {"not_run", "unknown"}
    assert 1 <= crashes(fleet) <= 2


async def test_the_conviction_reaches_the_other_instance_by_a_notice(fleet):
    # Guards against two more dead targets for each instance that a caller tries.
    await fleet.start(targets=6, policy={"canary": True}, target_options=LONG_DOWN)
    await poison(fleet)
    second = fleet.instances["i1"].quarantine
    fingerprint = second.fingerprint(("catalogue=racks",), POISON)
    convicted = quarantine.Verdict.CONVICTED
    await fleet.until(lambda: second.verdict(fingerprint) is convicted, 1.0)
    before = crashes(fleet)
    answer = await poison(fleet, "i1")
    assert (answer["outcome"], answer["code"]) == ("not_run", "quarantined")
    assert crashes(fleet) == before <= 2


async def test_queries_in_flight_on_the_dead_targets_are_answered(fleet):
    # Guards against a conviction of what only shared a target with the culprit.
    await fleet.start(
        targets=6,
        policy={"canary": True},
        target_options={**LONG_DOWN, "service_ms": 150.0, "sigma": 0.3},
    )
    record = FleetHistory(SHARDS)

    async def ask(number):
        marker = f"q{number}"
        body = {"marker": marker, "order_by": "id"}
        _status, answer = await fleet.query(
            f"i{number % 2}", query=body, deadline_ms=20_000
        )
        record.record_answer("query", marker, answer)
        return answer

    others = [asyncio.create_task(ask(number)) for number in range(16)]
    await fleet.until(lambda: all(t.in_flight for t in fleet.targets.values()))
    await poison(fleet)
    assert crashes(fleet) >= 1
    answers = await asyncio.gather(*others)
    assert [answer["outcome"] for answer in answers] == ["whole"] * len(answers)
    assert record.violations(fleet.executions()) == []
    assert crashes(fleet) <= 2


async def test_a_query_that_one_death_interrupted_is_not_refused(fleet):
    # Guards against a conviction because a target died by itself.
    await fleet.start(targets=3, target_options={"service_ms": 200.0, "sigma": 0.0})
    queries = [
        asyncio.create_task(fleet.query(query={"job": n}, deadline_ms=20_000))
        for n in range(4)
    ]
    await fleet.until(lambda: fleet.targets["t0"].in_flight > 0)
    fleet.targets["t0"].crash_for(30.0)
    answers = [answer for _status, answer in await asyncio.gather(*queries)]
    assert [answer["outcome"] for answer in answers] == ["whole"] * 4
    again = [await fleet.query(query={"job": n}, deadline_ms=5000) for n in range(4)]
    assert [answer["outcome"] for _status, answer in again] == ["whole"] * 4


async def test_the_quarantine_ends(fleet, monkeypatch):
    # Guards against a query that is refused for ever, for example after a mended
    # target; a target that crashes again is at most one more.
    monkeypatch.setattr(quarantine, "QUARANTINE_S", 0.5)
    await fleet.start(targets=6, policy={"canary": True}, target_options=LONG_DOWN)
    await poison(fleet)
    assert (await poison(fleet))["code"] == "quarantined"
    fingerprint = fleet.instances["i0"].quarantine.fingerprint(
        ("catalogue=racks",), POISON
    )
    state = fleet.instances["i0"].quarantine
    guarded = quarantine.Verdict.GUARDED
    await fleet.until(lambda: state.verdict(fingerprint) is guarded, 5.0)
    before = crashes(fleet)
    await poison(fleet)
    assert before < crashes(fleet) <= before + 1


@pytest.mark.parametrize("canary", [False, True])
def test_without_the_canary_the_bound_does_not_hold(canary):
    # States the assumption of the promise: the policy has `canary` on.
    state = Quarantine(SystemClock(), b"key")
    fingerprint = state.fingerprint(("a",), POISON)
    state.attempt_started("t0", fingerprint)
    assert state.may_start("t1", fingerprint, canary) is not canary


async def test_a_target_over_its_connection_cap_convicts_no_query(fleet, log):
    # Guards against taking a closed connection for a crash: with more instances than
    # published, targets close connections over their cap, and two such losses
    # refused an innocent query for 60 s.
    options = {"connections": 3, "service_ms": 20.0}
    await fleet.start(targets=2, target_options=options)
    queries = [
        fleet.query(f"i{number % 2}", query={"job": number % 3}, deadline_ms=4000)
        for number in range(60)
    ]
    answers = [answer for _status, answer in await asyncio.gather(*queries)]
    refused = sum(t.counters.connections_refused for t in fleet.targets.values())
    assert refused > 0
    assert not any(line.get("event") == events.QUERY_QUARANTINED.number for line in log)
    assert "quarantined" not in {answer.get("code") for answer in answers}
