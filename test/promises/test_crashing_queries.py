"""Tests that a query that crashes targets is stopped before it crashes all."""

from __future__ import annotations

import asyncio

import pytest

from filbertshelf import events
from filbertshelf.clock import SystemClock
from filbertshelf.state import quarantine
from filbertshelf.state.quarantine import Quarantine
from test.checker import FleetHistory
from test.fleet import SHARDS

POISON_QUERY = {"poison": True, "order_by": "id"}
LONG_RESTART = {"crash_down_s": 30.0}


def count_crashes(fleet):
    return sum(target.counters.crashes for target in fleet.targets.values())


async def send_poison_query(fleet, instance="i0", **fields):
    query = {**POISON_QUERY, **fields}
    return (await fleet.query(instance, query=query, deadline_ms=1500))[1]


async def test_a_poison_query_and_its_resends_crash_at_most_two_targets(fleet, log):
    # Guards against a caller whose resends crash every replica in turn.
    await fleet.start(targets=6, policy={"canary": True}, target_options=LONG_RESTART)
    first = await send_poison_query(fleet)
    assert first["outcome"] == "unknown"
    assert count_crashes(fleet) <= 2
    # The notice is sent immediately, and the caller resends only after an answer.
    resends = [await send_poison_query(fleet, f"i{number % 2}") for number in range(10)]
    assert count_crashes(fleet) <= 2
    assert {answer["outcome"] for answer in resends} <= {"not_run", "unknown"}
    assert resends[-1]["code"] == "quarantined"
    assert any(line.get("event") == events.QUERY_QUARANTINED.number for line in log)
    # Neither the quarantine nor the crashed targets affect another query.
    for name in fleet.instances:
        _status, answer = await fleet.query(name, deadline_ms=5000)
        assert answer["outcome"] == "whole"


async def test_concurrent_resends_crash_at_most_two_targets(fleet):
    # Guards against resends that run before the first attempt leads to a quarantine.
    await fleet.start(targets=6, policy={"canary": True}, target_options=LONG_RESTART)
    answers = await asyncio.gather(*(send_poison_query(fleet) for _ in range(8)))
    assert {answer["outcome"] for answer in answers} <= {"not_run", "unknown"}
    assert 1 <= count_crashes(fleet) <= 2


async def test_a_notice_spreads_the_quarantine_to_the_other_instance(fleet):
    # Guards against two more crashed targets for each instance that a caller tries.
    await fleet.start(targets=6, policy={"canary": True}, target_options=LONG_RESTART)
    await send_poison_query(fleet)
    second_quarantine = fleet.instances["i1"].quarantine
    fingerprint = second_quarantine.fingerprint(("catalogue=racks",), POISON_QUERY)
    convicted = quarantine.Verdict.CONVICTED
    await fleet.until(lambda: second_quarantine.verdict(fingerprint) is convicted, 1.0)
    before = count_crashes(fleet)
    answer = await send_poison_query(fleet, "i1")
    assert (answer["outcome"], answer["code"]) == ("not_run", "quarantined")
    assert count_crashes(fleet) == before <= 2


async def test_queries_in_flight_on_crashed_targets_are_answered(fleet):
    # Guards against a quarantine of queries that only shared a target with the one
    # that crashed it.
    await fleet.start(
        targets=6,
        policy={"canary": True},
        target_options={**LONG_RESTART, "service_ms": 150.0, "sigma": 0.3},
    )
    history = FleetHistory(SHARDS)

    async def send_query(number):
        marker = f"q{number}"
        body = {"marker": marker, "order_by": "id"}
        _status, answer = await fleet.query(
            f"i{number % 2}", query=body, deadline_ms=20_000
        )
        history.record_answer("query", marker, answer)
        return answer

    others = [asyncio.create_task(send_query(number)) for number in range(16)]
    await fleet.until(lambda: all(t.in_flight for t in fleet.targets.values()))
    await send_poison_query(fleet)
    assert count_crashes(fleet) >= 1
    answers = await asyncio.gather(*others)
    assert [answer["outcome"] for answer in answers] == ["whole"] * len(answers)
    assert history.violations(fleet.executions()) == []
    assert count_crashes(fleet) <= 2


async def test_a_query_that_one_target_failure_interrupts_is_not_quarantined(fleet):
    # Guards against a quarantine after a target failure that no query caused.
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


async def test_the_quarantine_expires(fleet, monkeypatch):
    # Guards against a query that stays refused after its targets were fixed. A query
    # that still crashes targets crashes at most one more.
    monkeypatch.setattr(quarantine, "QUARANTINE_S", 0.5)
    await fleet.start(targets=6, policy={"canary": True}, target_options=LONG_RESTART)
    await send_poison_query(fleet)
    assert (await send_poison_query(fleet))["code"] == "quarantined"
    fingerprint = fleet.instances["i0"].quarantine.fingerprint(
        ("catalogue=racks",), POISON_QUERY
    )
    state = fleet.instances["i0"].quarantine
    guarded = quarantine.Verdict.GUARDED
    await fleet.until(lambda: state.verdict(fingerprint) is guarded, 5.0)
    before = count_crashes(fleet)
    await send_poison_query(fleet)
    assert before < count_crashes(fleet) <= before + 1


@pytest.mark.parametrize("canary", [False, True])
def test_only_the_canary_bounds_the_crashes(canary):
    # The bound on crashes holds only for policies with `canary` on.
    state = Quarantine(SystemClock(), b"key")
    fingerprint = state.fingerprint(("a",), POISON_QUERY)
    state.attempt_started("t0", fingerprint)
    assert state.may_start("t1", fingerprint, canary) is not canary


async def test_a_target_over_its_connection_cap_causes_no_quarantine(fleet, log):
    # Guards against counting a closed connection as a crash. With more instances than
    # published, targets close connections over their cap, and two such losses
    # quarantined a harmless query for 60 s.
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
