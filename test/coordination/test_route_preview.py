"""Where a request would go, as told without sending it."""

from __future__ import annotations

import enum
import random
import types

import attrs
import orjson
import pytest

from filbertshelf.coordination import route_preview
from filbertshelf.coordination.route_preview import PreviewRequest, Sources
from filbertshelf.state.cold import Source
from filbertshelf.state.delegation import Delegates
from filbertshelf.state.members import Member
from filbertshelf.state.routing import (
    Limits,
    Repeat,
    RouteTable,
    WeightedService,
    WeightedServiceSequence,
)
from filbertshelf.state.withholding import Cause, Withholding
from test.coordination.simulated_gateway import (
    ELSEWHERE,
    HERE,
    gather_route,
    single_route,
)
from test.coordination.test_room import SHARDS, RoomGateway

ATOMS = (str, bytes, int, float, bool, type(None), enum.Enum, type)


@pytest.fixture
def gateway():
    """Return a gateway with three queries of different priorities and some traffic."""
    gateway = RoomGateway()
    gateway.load(100, 1.0)
    return gateway


def sources_of(gateway: RoomGateway) -> Sources:
    """Return what a preview reads."""
    return Sources(
        gateway.simulation.context,
        gateway.feed,
        gateway.router._delegation,
        gateway.router.room,
    )


def preview(gateway: RoomGateway, path: str = "/q0/1", deadline_s: float = 0.8):
    """Return where a request would go."""
    request = PreviewRequest("h", path, deadline_s=deadline_s)
    return route_preview.preview(sources_of(gateway), request)


def add_route(gateway: RoomGateway, *routes) -> None:
    """Add routes to the configuration."""
    table = RouteTable.build(2, [*gateway.routes, *routes], [], Limits())
    gateway.feed.table = table


def add_single(gateway: RoomGateway, services=("one",), **changes) -> None:
    """Add a route of single requests with the prefix /s/."""
    changes = {"prefix": "/s/", **changes}
    route = single_route(services[0], Repeat.IDEMPOTENT, **changes)
    weighted = tuple(WeightedService(name, 1.0) for name in services)
    add_route(gateway, attrs.evolve(route, weighted_services=weighted))


def entries_of(gateway: RoomGateway, service: str) -> list:
    """Return the entries of a service's targets."""
    return list(gateway.simulation.targets.entries_within(service, frozenset()))


def state_of(item, seen: set[int] | None = None):
    """Return a comparable copy of all that can be reached from an object."""
    seen = set() if seen is None else seen
    if isinstance(item, ATOMS):
        return item
    if id(item) in seen:
        return "seen"
    seen.add(id(item))
    if isinstance(item, random.Random):
        return item.getstate()
    if isinstance(item, dict):
        return [(state_of(k, seen), state_of(v, seen)) for k, v in item.items()]
    if isinstance(item, (list, tuple)):
        return [state_of(value, seen) for value in item]
    if isinstance(item, (set, frozenset)):
        return sorted(map(repr, item))
    parts = list(getattr(item, "__dict__", {}).items())
    for cls in type(item).__mro__:
        names = cls.__dict__.get("__slots__", ())
        for name in (names,) if isinstance(names, str) else names:
            if name != "__weakref__" and hasattr(item, name):
                parts.append((name, getattr(item, name)))
    parts += [("self", getattr(item, "__self__", None))]
    return type(item).__name__, [(n, state_of(v, seen)) for n, v in parts]


def make_eventful(gateway: RoomGateway, waits: bool = True) -> None:
    """Bring targets and the room into states that a choice of a target changes."""
    simulation = gateway.simulation
    targets, now = simulation.targets, simulation.time.monotonic()
    for _ in range(3):
        simulation.add_leaf("one", rate_limit=2.0)
    simulation.add_leaf("two", ELSEWHERE)
    add_single(gateway, ("one", "two", "absent"), priority=3)
    limited, cold, paused = entries_of(gateway, "one")
    limited.rate.set_limit(2.0, now)
    targets._services["one"].cold_requests_per_s = 5.0
    targets.cold._record(cold, 30.0, Source.HEADER, now)
    paused.withholding = Withholding.retry_later(9.0, now, 0.0, "test")
    gateway.router._delegation.avoid(Member("m", HERE, ("10.1.0.2", 1), 1), 1.0)
    gateway.fill()
    if waits:
        gateway.send(gateway.routes[1])
    crashes = simulation.crashes
    fingerprint = crashes.fingerprint(b"h", b"/q0/1", b"")
    crashes.record_crash(fingerprint, "r", 1)
    crashes._records[fingerprint].last_at = -1e6
    # No request has used this configuration yet.
    new = gather_route(gateway.shards, name="new", prefix="/new/", priority=1)
    add_route(gateway, *list(gateway.feed.table.routes())[3:], new)
    # A use of the limit and an adjustment are due.
    [group] = gateway.router.room.groups()
    group.account._used = False
    group.account._ratios += [0.5] * 10
    # Permits, pauses and avoided instances expire meanwhile.
    simulation.time.pause(3.3)


@pytest.mark.parametrize("waits", [False, True])
def test_a_preview_changes_no_state(gateway, waits):
    # Guards against a preview that uses up permits, moves the sequence of services or
    # the random numbers, or creates statistics, and so changes where requests go.
    make_eventful(gateway, waits)
    before = state_of([sources_of(gateway), gateway.router, gateway.rng])
    for path in ("/q0/1", "/q2/1", "/s/1", "/new/1", "/none"):
        route_preview.answer(sources_of(gateway), b"host=h&path=" + path.encode())
    assert state_of([sources_of(gateway), gateway.router, gateway.rng]) == before


def test_the_comparison_of_states_sees_what_a_choice_changes(gateway):
    # Guards against a test of unchanged state that would miss a change.
    make_eventful(gateway)
    clock, now = gateway.time, gateway.time.monotonic()
    [group] = gateway.router.room.groups()
    sequence = WeightedServiceSequence(0.5)
    gateway.router._service_sequences["one"] = sequence
    services = gateway.feed.table.match("h", "/s/").weighted_services
    changes = (
        lambda: entries_of(gateway, "one")[0].rate.allows(now),
        lambda: entries_of(gateway, "one")[1].cold_rate.allows(now),
        lambda: sequence.next_service(services),
        lambda: gateway.rng.random(),
        lambda: gateway.simulation.targets.budget("new"),
        lambda: group.account.has_room(9.0),
        lambda: group.waiting.load(gateway.feed.table.match("h", "/new/"), clock),
        lambda: gateway.router.room.on_room(group),
    )
    for change in changes:
        before = state_of([sources_of(gateway), gateway.router, gateway.rng])
        change()
        assert state_of([sources_of(gateway), gateway.router, gateway.rng]) != before


def test_targets_are_in_the_order_of_choice(gateway):
    # Guards against an order that differs from the one by which targets are chosen.
    simulation = gateway.simulation
    for work_s in (0.06, 0.02, 0.18):
        simulation.add_leaf("one", work_s=work_s)
    simulation.add_leaf("one", ELSEWHERE, work_s=0.02)
    add_single(gateway)
    for entry in entries_of(gateway, "one"):
        state = entry.state
        state._typical_latency = state._latency = simulation.leafs[entry.id].work_s
        state._sample_at = simulation.time.monotonic()
    [service] = preview(gateway, "/s/1").services
    shown = [target.id for target in service.targets]
    chosen = []
    while len(chosen) < len(shown):
        now = simulation.time.monotonic()
        chosen.append(simulation.targets.choose("one", chosen, now).id)
    assert shown == chosen


def test_what_withholds_a_target_agrees_with_the_choice(gateway):
    # Guards against a preview that names a target which a request could not use.
    simulation = gateway.simulation
    leafs = [simulation.add_leaf("one") for _ in range(6)]
    simulation.add_leaf("one", ELSEWHERE)
    add_single(gateway)
    entries = entries_of(gateway, "one")
    now = simulation.time.monotonic()
    entries[0].withholding = Withholding(Cause.LEAVING, "test")
    entries[1].withholding = Withholding.retry_later(9.0, now, 0.0, "test")
    entries[2].rate.set_limit(0.5, now)
    entries[3].state._open_breaker()
    simulation.targets._services["one"].cold_requests_per_s = 0.5
    simulation.targets.cold._record(entries[4], 30.0, Source.HEADER, now)
    simulation.targets.set_evacuated(frozenset({ELSEWHERE}))
    leafs[5].fault = "full"
    [service] = preview(gateway, "/s/1").services
    causes = {target.id: target.withheld_by for target in service.targets}
    expected = ["leaving", "retry_later", "rate_limit", "breaker open", "cold"]
    for entry, cause in zip(entries, expected, strict=False):
        assert causes[entry.id] == (cause,)
    assert causes[entries[6].id] == ("evacuated",)
    assert (service.targets[0].id, service.targets[0].can_connect) == ("t30", False)
    for entry in entries:
        usable = entry.allows(now) and entry.state.is_available()
        assert usable is not bool(causes[entry.id])


def test_a_query_shows_the_shards_without_a_target_and_the_slowest(gateway):
    # Guards against the few shards that matter being lost among many (slow shards).
    names = gateway.shards
    for entry in entries_of(gateway, names[7]):
        entry.withholding = Withholding(Cause.LEAVING, "test")
    for entry in entries_of(gateway, names[3]):
        entry.state.observe_waiting(9.0)
    result = preview(gateway)
    assert result.decision == "here"
    assert [service.name for service in result.services][:2] == [names[7], names[3]]
    assert (len(result.services), result.other_shards) == (5, SHARDS - 5)
    assert (result.shards_without_target, result.shards) == (1, SHARDS)


def test_a_query_without_enough_shards_would_be_refused(gateway):
    # Guards against a preview that sends a query which is refused (all replicas of some
    # shards unavailable).
    for name in gateway.shards[:3]:
        for entry in entries_of(gateway, name):
            entry.withholding = Withholding(Cause.LEAVING, "test")
    result = preview(gateway)
    assert (result.decision, result.status) == ("refused", 503)
    assert gateway.send(gateway.routes[0]).status == 503


def test_the_room_agrees_with_what_happens_to_a_request(gateway, monkeypatch):
    # Guards against a preview of the room that differs from admission (burst).
    assert not preview(gateway).room[0].waits
    gateway.time.run_until(9.0)
    gateway.fill()
    assert preview(gateway, "/q1/1").room[0].waits
    waiting = gateway.send(gateway.routes[1])
    assert (waiting.status, gateway.waiting) == (0, 1)
    result = preview(gateway, "/q2/1", deadline_s=0.001)
    assert (result.decision, result.room[0].refused) == ("refused", "no time is left")
    assert gateway.send(gateway.routes[2], deadline_s=0.001).status == 503
    for module in ("route_preview", "room"):
        monkeypatch.setattr(f"filbertshelf.coordination.{module}.MAX_WAITING", 1)
    assert preview(gateway, "/q2/1").room[0].refused == "the queue is full"
    assert gateway.send(gateway.routes[2]).status == 503
    assert preview(gateway, "/q0/1").room[0].displaced == waiting.id.decode()
    gateway.send(gateway.routes[0])
    assert waiting.status == 503


def test_a_route_without_competing_priorities_has_no_room(gateway):
    gateway.simulation.add_leaf("one")
    add_single(gateway)
    assert preview(gateway, "/s/1").room == ()


def test_another_instance_that_would_run_the_query_is_named(gateway):
    # Guards against a name that no query goes to, and against one instance that gets
    # all requests of those that are slow or cut off.
    delegation = gateway.router._delegation
    others = [Member(f"m{n}", HERE, ("10.1.0.2", n), 1) for n in range(2)]
    delegation.delegates = Delegates(tuple(others), (), False, ())
    delegation.full_mesh = False
    request = types.SimpleNamespace(route=gateway.routes[0])
    for choose in (delegation.choose_delegate, delegation.choose_substitute):
        chosen = {choose(request).id for _ in range(50)}
        assert chosen == set(preview(gateway).instances) == {"m0", "m1"}
    delegation.avoid(others[0])
    result = preview(gateway)
    assert (result.decision, result.instances) == ("delegated", ("m1",))
    delegation.delegates = Delegates()
    gateway.simulation.targets.reachability.state.cut_off = True
    result = preview(gateway)
    assert (result.decision, result.status) == ("refused", 503)


@pytest.mark.parametrize(
    ("query", "status"),
    [
        (b"", None),
        (b"host=h", None),
        (b"host=h&path=/q0/1", 200),
        (b"host=h&path=/q0/1&deadline_ms=9", 200),
        (b"host=h&path=/q0/1&deadline_ms=soon", 400),
        (b"host=h&host=g&path=/q0/1", 400),
        (b"host=&path=/q0/1", 400),
        (b"host=%C3%A9&path=%ff%00", 200),
    ],
)
def test_a_malformed_query_is_refused_and_others_are_left_alone(gateway, query, status):
    # Guards against a fault of the gateway by what an operator types, and against
    # metrics that are no longer served at a path.
    response = route_preview.answer(sources_of(gateway), query)
    assert (response and response.status) == status


def test_requests_that_take_no_route_would_be_refused(gateway):
    body = route_preview.answer(sources_of(gateway), b"host=h&path=/none").body
    assert (orjson.loads(body)["status"], orjson.loads(body)["version"]) == (404, 1)
    fingerprint = gateway.simulation.crashes.fingerprint(b"h", b"/q0/1", b"")
    for number in range(9):
        gateway.simulation.crashes.record_crash(fingerprint, f"r{number}", 1)
    assert "crashed" in preview(gateway).reason
    gateway.feed.ready = False
    assert preview(gateway).reason == "no configuration is known"
