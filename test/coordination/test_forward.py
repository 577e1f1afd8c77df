"""Requests to a single target, and the responses when no target answers."""

from __future__ import annotations

import pytest

from filbertshelf.state.routing import Repeat
from filbertshelf.transport.http1.exchange import ExchangeEnd
from test.coordination.simulated_gateway import Simulation, single_route

ONCE = single_route("desk", Repeat.ONCE)
IDEMPOTENT = single_route("desk", Repeat.IDEMPOTENT)


def simulation_with(*faults: str) -> Simulation:
    """Return a simulation with one leaf for each fault."""
    simulation = Simulation()
    for fault in faults:
        simulation.add_leaf("desk", work_s=0.1, fault=fault)
    return simulation


def send_and_wait(simulation: Simulation, route=ONCE, deadline_s: float = 4.0):
    """Send a request and return the call once it has ended."""
    call = simulation.send_request(route, deadline_s)
    simulation.time.run_until(simulation.time.monotonic() + 6.0)
    return call


def test_the_answer_is_returned_unchanged():
    simulation = simulation_with("")
    call = send_and_wait(simulation)
    assert call.status == 200
    assert call.header(b"Stamp") == b"t1-r1"
    assert call.result.response.body == simulation.leafs["t1"].record()


@pytest.mark.parametrize("fault", ["reset", "silent", "endless"])
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(fault):
    # Guards against a booking that runs twice.
    simulation = simulation_with(fault, fault)
    call = send_and_wait(simulation)
    assert simulation.arrivals() == 1
    assert call.status == (504 if fault == "silent" else 502)


@pytest.mark.parametrize("fault", ["refused", "shed", "moved"])
def test_a_request_that_did_not_run_is_retried_on_another_target(fault):
    simulation = simulation_with(fault, fault, "")
    for leaf in simulation.leafs.values():
        leaf.work_s = 0.01
    answered = [send_and_wait(simulation) for _ in range(4)]
    assert 200 in {call.status for call in answered}
    assert {call.status for call in answered} <= {200, 503}


def test_a_request_that_no_target_ran_is_refused_with_503():
    simulation = simulation_with("shed", "shed")
    call = send_and_wait(simulation)
    assert call.status == 503
    assert float(call.header(b"Retry-After")) > 0
    assert call.elapsed_s < 1.0


def test_an_error_response_of_a_target_is_returned_with_its_status():
    call = send_and_wait(simulation_with("error"))
    assert call.status == 500
    assert call.header(b"Stamp") == b"s-r1"


@pytest.mark.parametrize("fault", ["error", "reset", "shed", "refused"])
def test_an_idempotent_request_is_retried_on_another_target(fault):
    simulation = simulation_with(fault, "")
    for _ in range(3):
        assert send_and_wait(simulation, IDEMPOTENT).status == 200


def test_a_silent_target_is_hedged():
    simulation = simulation_with("silent", "")
    calls = [send_and_wait(simulation, IDEMPOTENT) for _ in range(4)]
    assert {call.status for call in calls} == {200}
    assert max(call.elapsed_s for call in calls) < 0.6


def test_a_request_ends_at_the_timeout_of_its_route():
    simulation = simulation_with("silent")
    call = send_and_wait(simulation, single_route("desk", Repeat.ONCE, timeout_s=0.5))
    assert call.status == 504
    assert call.elapsed_s <= 0.5


def test_a_target_with_another_id_is_not_asked_again():
    # Guards against sending to an address that now belongs to another target.
    simulation = simulation_with("moved")
    send_and_wait(simulation)
    send_and_wait(simulation)
    assert simulation.arrivals() == 1


def test_the_deadline_header_is_set_when_the_request_is_written():
    # Guards against a target that works after the caller has gone: a request that
    # waited for a connection must not carry the time left from when it was queued.
    simulation = simulation_with("held", "")
    calls = [simulation.send_request(IDEMPOTENT, 2.0) for _ in range(2)]
    simulation.time.run_until(0.1)
    queued = simulation.leafs["t1"].queued[0]
    head = queued.make_head()
    assert int(head.split(b"Left-Ms: ")[1].split(b"\r\n")[0]) == 1_900
    simulation.time.run_until(1.0)
    assert [call.status for call in calls] == [200, 200]


def test_a_request_reaches_no_more_targets_than_the_route_allows():
    # Guards against a third target after two of three have refused, as on the grown
    # deployment with three targets in each shard.
    simulation = simulation_with("shed", "shed", "shed")
    call = send_and_wait(simulation, IDEMPOTENT)
    assert call.status == 503
    asked = [leaf.id for leaf in simulation.leafs.values() if leaf.arrivals]
    assert len(asked) <= IDEMPOTENT.max_attempts


@pytest.mark.parametrize("route", [ONCE, IDEMPOTENT])
def test_a_request_whose_caller_left_holds_its_connection_no_longer_than_allowed(route):
    # Guards against connections to silent targets that are never given back: those of
    # requests that must run only once stayed open after their callers had left.
    simulation = simulation_with("silent")
    call = simulation.send_request(route, 2.0)
    simulation.time.run_until(0.1)
    call.runner.on_disconnect()
    simulation.time.run_until(1.9)
    running = simulation.targets._entries["t1"].running
    assert len(running) == (1 if route is ONCE else 0)
    simulation.time.run_until(2.5)
    assert not running


@pytest.mark.parametrize("route", [ONCE, IDEMPOTENT])
def test_a_request_that_only_waited_for_a_connection_is_refused_as_not_run(route):
    # Guards against a 504 for a request that was never written, and against a target
    # that receives it after the caller got its response.
    simulation = simulation_with("full")
    call = send_and_wait(simulation, route, deadline_s=0.5)
    assert (call.status, call.result.outcome) == (503, "not run")
    assert float(call.header(b"Retry-After")) > 0
    assert {exchange.end for exchange in simulation.leafs["t1"].queued} == {
        ExchangeEnd.CANCELLED
    }


def test_a_response_without_end_is_logged_and_another_target_asked(log):
    # Guards against a target that sends without end and keeps getting requests.
    simulation = simulation_with("endless", "endless", "")
    route = single_route("desk", Repeat.IDEMPOTENT, max_attempts=3)
    calls = [send_and_wait(simulation, route) for _ in range(10)]
    assert {call.status for call in calls} == {200}
    cut = [line for line in log if line.get("event") == 215]
    assert cut and {line["bound"] for line in cut} == {"body"}
    endless, _, good = (len(leaf.arrivals) for leaf in simulation.leafs.values())
    assert endless < good
