"""Tests that outcomes are correct and that each caller gets its own whole answer."""

from __future__ import annotations

import asyncio
import itertools
import json

import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.standins.target_config import Faults
from filbertshelf.state.outcome import Result
from filbertshelf.state.plan import ShardRef
from filbertshelf.transport.target_link import Call, TargetLink
from test.checker import FleetHistory
from test.fleet import SHARDS

MARKERS = itertools.count()


class Callers:
    """Sends requests with unique markers and records the answers in a history."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.history = FleetHistory(SHARDS)

    async def query(self, instance="i0", **fields):
        """Send one query and return the answer."""
        marker = f"q{next(MARKERS)}"
        body = {"order_by": "id", "marker": marker}
        _status, answer = await self.fleet.query(instance, query=body, **fields)
        self.history.record_answer("query", marker, answer)
        return answer

    async def query_concurrently(self, count, **fields):
        """Send concurrent queries to both instances and return the answers."""
        queries = (self.query(f"i{n % 2}", **fields) for n in range(count))
        return await asyncio.gather(*queries)

    async def book(self, instance, **fields):
        """Send one booking with a new ticket and return the answer."""
        marker = f"b{next(MARKERS)}"
        ticket = await self.fleet.ticket(instance)
        _status, answer = await self.fleet.book(
            instance, ticket, booking={"marker": marker}, **fields
        )
        self.history.record_answer("booking", marker, answer)
        return answer

    async def check_history(self):
        """Wait until no target runs a request, then check the whole history."""
        targets = self.fleet.targets.values()
        await self.fleet.until(lambda: not any(t.in_flight for t in targets))
        runs = self.fleet.executions() + self.fleet.executions("book")
        assert self.history.violations(runs) == []


@pytest.fixture
def callers(fleet):
    """Return callers that record the answers in a history."""
    return Callers(fleet)


async def fault_all(fleet, **faults):
    for target in fleet.targets.values():
        await target.set_faults(Faults(**faults))


@pytest.mark.parametrize(
    "faults",
    [
        {"reset_on_request": True},
        {"reset_after_bytes": 0},
        {"reset_after_bytes": 20},
        {"reset_after_bytes": 200},
        {"fail_fast": True},
        {"black_hole": True},
        {"forged_id": "another request"},
        {"answer_delay_s": 1.0},
    ],
    ids=str,
)
async def test_a_sent_request_without_an_answer_is_unknown(fleet, callers, faults):
    # Guards against "not run" for a request that was written to a target connection.
    await fleet.start()
    await fault_all(fleet, **faults)
    answers = await callers.query_concurrently(6, deadline_ms=300)
    answers += [await callers.book(name, deadline_ms=300) for name in ("i0", "i1")]
    # Once the circuit breakers are open, a request is known not to have run.
    assert {answer["outcome"] for answer in answers} <= {"unknown", "not_run"}
    assert answers[0]["outcome"] == "unknown"
    await callers.check_history()
    # A late or malformed response must not be used for the next request.
    await fault_all(fleet)
    await asyncio.gather(*(callers.query(deadline_ms=5000) for _ in range(20)))
    await callers.check_history()


@pytest.mark.parametrize("faults", [{"draining": True}, {"down": True}], ids=str)
async def test_a_request_that_all_targets_refuse_is_not_run(fleet, callers, faults):
    # Guards against "unknown" for a request that the caller can safely send again.
    await fleet.start()
    await fault_all(fleet, **faults)
    answers = await callers.query_concurrently(6, deadline_ms=300)
    answers += [await callers.book(name, deadline_ms=300) for name in ("i0", "i1")]
    assert {answer["outcome"] for answer in answers} == {"not_run"}
    assert fleet.executions() == fleet.executions("book") == []
    await callers.check_history()


async def test_a_target_that_closes_excess_connections_causes_no_wrong_outcome(
    fleet, callers
):
    # Guards against a wrong outcome when a target closes connections that it accepted.
    await fleet.start(targets=2)
    await fleet.add_target("t2", connections=0)
    fleet.publish()
    instances = fleet.instances.values()
    await fleet.until(lambda: all("t2" in i.targets.states() for i in instances))
    answers = await callers.query_concurrently(40, deadline_ms=5000)
    assert any(answer["outcome"] == "whole" for answer in answers)
    await callers.check_history()


async def test_one_unknown_attempt_makes_a_request_unknown(fleet, callers):
    # Guards against "not run" when only the last attempt was refused.
    await fleet.start(targets=2)
    await fleet.targets["t0"].set_faults(Faults(reset_after_bytes=0))
    await fleet.targets["t1"].set_faults(Faults(draining=True, hide_draining=True))
    answers = await callers.query_concurrently(6, deadline_ms=400)
    for answer in answers:
        # A request that was sent only to the refusing target is known not to have run.
        assert answer["outcome"] in ("unknown", "not_run")
    assert any(answer["outcome"] == "unknown" for answer in answers)
    await callers.check_history()


async def test_an_attempt_still_in_flight_makes_a_request_unknown(fleet, callers):
    # Guards against ignoring attempts that are still in flight when the query ends.
    # The HTTP client rounds timeouts above 5 s up to the next second, so the query
    # ends first.
    await fleet.start(targets=1, policy={"canary": False})
    await fault_all(fleet, black_hole=True)
    answer = await callers.query(deadline_ms=5100)
    assert answer["outcome"] == "unknown"


async def test_out_of_order_and_cancelled_responses_reach_no_other_request(
    fleet, callers
):
    # Guards against a keep-alive connection whose unread response answers the next
    # request.
    await fleet.start(target_options={"sigma": 1.2, "service_ms": 6.0})
    await fleet.targets["t1"].set_faults(Faults(straggle=20.0, straggle_share=0.3))
    for number in range(6):
        await callers.query_concurrently(20, deadline_ms=20 if number % 2 else 3000)
    assert callers.history.count_whole()
    await callers.check_history()


class UnlimitedConcurrency:
    """A concurrency limit that allows every call."""

    def try_start(self):
        """Allow the call."""
        return True

    def finished(self, latency_s, shed=False):
        """Do nothing."""

    def cancelled(self):
        """Do nothing."""


async def test_a_call_cancelled_before_it_is_written_never_runs(fleet):
    # Guards against a call that is reported "not run" while it waits for a connection
    # and that is sent afterwards.
    target = await fleet.add_target("t0", service_ms=100.0, sigma=0.0)
    clock = SystemClock()
    link = TargetLink(
        "t0", target.address, 1, clock, UnlimitedConcurrency(), lambda report: None
    )
    ended = {}
    ref = ShardRef("racks", "s0", "v1", 1, ("t0",))
    calls = [
        Call(
            name,
            ref,
            "search",
            b"{}",
            clock.monotonic() + 5,
            lambda call, attempt: ended.update({call.sub_id: attempt.result}),
        )
        for name in ("first", "second")
    ]
    async with link:
        for call in calls:
            link.submit(call)
        await asyncio.sleep(0.03)
        link.cancel(calls[1])
        await fleet.until(lambda: len(ended) == 2)
    assert ended == {"first": Result.ANSWERED, "second": Result.NOT_RUN}
    assert [run.request_id for run in fleet.executions()] == ["first"]


def raw_query(marker, host):
    body = json.dumps({"caller": "gone", "query": {"marker": marker}}).encode()
    head = (
        f"POST /v1/query HTTP/1.1\r\nHost: {host}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode(), body


async def test_callers_that_disconnect_release_their_slots_and_affect_no_other(
    fleet, callers
):
    # Guards against work that continues after its caller has disconnected, and against
    # answers that reach another caller.
    await fleet.start(target_options={"service_ms": 1500.0, "sigma": 0.0})
    host, port = fleet.instances["i0"].caller_server.address
    remaining = [
        asyncio.create_task(callers.query(deadline_ms=15000)) for _ in range(3)
    ]
    for number in range(12):
        _reader, writer = await asyncio.open_connection(host, port)
        head, body = raw_query(f"gone{number}", host)
        # Some disconnect in the middle of the body, the others while their query runs.
        writer.write(head + (body if number % 2 else body[:9]))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.transport.abort()
    instance = fleet.instances["i0"]
    await fleet.until(lambda: instance.caller_server.in_flight <= len(remaining))
    for answer in await asyncio.gather(*remaining):
        assert answer["outcome"] == "whole"
    await fleet.until(lambda: not instance.caller_server.in_flight)
    disconnected = [
        run for run in fleet.executions() if "gone" in run.body["query"]["marker"]
    ]
    assert disconnected
    assert all(run.ended != "done" for run in disconnected)
    assert instance.queries.admission.running == 0
    assert instance.queries.admission.waiting == 0
    assert (await callers.query(deadline_ms=9000))["outcome"] == "whole"
    await callers.check_history()
