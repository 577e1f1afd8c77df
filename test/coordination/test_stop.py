"""What a stopping instance tells the callers whose requests it can't finish."""

from __future__ import annotations

import pytest

from test.coordination.peer_fleet import serving_fleet
from test.coordination.simulated_gateway import Link

CLOSED_AFTER_S = [0.0, 0.004, 0.03, 0.15, 0.4]


@pytest.fixture
async def fleet():
    """Return a fleet of five gateways that have served some requests."""
    async with serving_fleet(5) as started_fleet:
        yield started_fleet


@pytest.mark.parametrize("closed_after_s", CLOSED_AFTER_S)
@pytest.mark.parametrize("kind", ["query", "read", "booking"])
@pytest.mark.parametrize("link", list(Link))
async def test_each_request_of_a_closed_router_has_a_true_answer(
    fleet, link, kind, closed_after_s
):
    # Guards against requests that a stopping instance drops, whether they wait for a
    # target, for the check of the link or for another instance, and against one that
    # it calls not run and that runs.
    for leaf in fleet.leafs[::2]:
        leaf.fault = "held"
    (gateway,) = fleet.cut_off(1, link)
    route = getattr(fleet, kind)
    calls = [fleet.send(gateway, route) for _ in range(6)]
    await fleet.run(closed_after_s)
    gateway.router.close()
    late_call = fleet.send(gateway, route)
    assert all(call.response is not None for call in calls)
    assert late_call.status == 503
    await fleet.run(1.0)
    for call in [*calls, late_call]:
        assert call.status in (200, 502, 503, 504)
        if call.status == 503:
            assert fleet.arrivals(call) == 0


async def test_a_query_with_enough_answers_is_answered_at_the_stop(fleet):
    # Guards against a refusal of a query that only waits for its last shard.
    for leaf in fleet.leafs[:2]:
        leaf.fault = "silent"
    call = fleet.send(fleet.gateways[0], fleet.query)
    await fleet.run(0.06)
    assert call.status == 0
    fleet.gateways[0].router.close()
    assert call.status == 200
    assert (b"Missing", b"1") in call.response.fields
