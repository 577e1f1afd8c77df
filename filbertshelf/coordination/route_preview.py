"""Where a request would go now, and why, as told without sending it.

It reads the state of the gateway and changes none: it uses no permit, draws no random
number, moves no sequence and creates no statistics.
"""

from __future__ import annotations

import urllib.parse
from collections.abc import Iterable, Sequence
from typing import Protocol

import attrs
import orjson

from filbertshelf.coordination.delegation import Delegation
from filbertshelf.coordination.room import (
    PREDICTION_MARGIN,
    WAIT_SHARE,
    Group,
    RoomControl,
    contested_services,
    decision_delay_s,
    predicted_wait_s,
)
from filbertshelf.coordination.routed_request import RETURN_MARGIN_S, RoutingContext
from filbertshelf.coordination.router import MAX_DEADLINE_DIGITS, MAX_DEADLINE_S
from filbertshelf.coordination.target_entries import TargetEntry
from filbertshelf.protocol.http_messages import Response
from filbertshelf.state.answer_time import AnswerRule
from filbertshelf.state.room import (
    MAX_WAITING,
    RoomAccount,
    WaitingRequest,
)
from filbertshelf.state.routing import Route, RouteTable
from filbertshelf.state.selection import Candidate, assumed_latency_s

MAX_SHARDS = 5
"""The shards of a query that are shown; the others are counted."""

MAX_TARGETS = 20
"""The targets of a service that are shown; the others are counted."""

JSON = ((b"Content-Type", b"application/json"),)


class FeedView(Protocol):
    """The part of the feed that a preview reads."""

    table: RouteTable | None
    ready: bool

    def age_s(self) -> float:
        """Return the seconds since the platform last confirmed the content."""


@attrs.frozen
class Sources:
    """The parts of a gateway whose state decides where requests go."""

    context: RoutingContext
    feed: FeedView
    delegation: Delegation
    room: RoomControl


@attrs.frozen
class PreviewRequest:
    """The request to explain."""

    host: str
    path: str
    method: str = "GET"
    deadline_s: float = MAX_DEADLINE_S


@attrs.frozen
class TargetPreview:
    """A target of a service, as this instance sees it."""

    id: str
    data_centre: str
    expected_ms: float
    in_flight: int
    """The requests of this instance that the target has not answered."""
    slots: int
    can_connect: bool
    """Whether a connection is free; without one a request waits for it."""
    cold_ms: float
    """How long it is still cold, 0.0 if it is warm."""
    withheld_by: tuple[str, ...]
    """What keeps a new request away from it."""


@attrs.frozen
class ServicePreview:
    """The targets of a service, those that may be chosen first, the best one first."""

    name: str
    share: float
    """The share of the route's requests that the service gets."""
    targets: tuple[TargetPreview, ...]
    other_targets: int

    @property
    def has_target(self) -> bool:
        """Return whether a target may be sent a request."""
        return bool(self.targets) and not self.targets[0].withheld_by

    @property
    def expected_ms(self) -> float:
        """Return the expected latency of the target that would be chosen."""
        return self.targets[0].expected_ms


@attrs.frozen
class RoomPreview:
    """The capacity of a group of services, and what it means for the request."""

    services: int
    first_service: str
    limit_ms: float | None
    """The limit on the work in flight, None while there is none."""
    running_ms: float
    waiting: int
    work_ms: float
    predicted_wait_ms: float
    waits: bool
    """Whether it would not start at once."""
    refused: str = ""
    """Why the request would be refused, empty if it would start or wait."""
    late: str = ""
    """Why a request that waits would probably be refused later."""
    displaced: str = ""
    """The id of the waiting request that would be refused instead."""


@attrs.frozen
class RoutePreview:
    """Where a request would go now.

    `decision` is "here", "delegated" or "refused"; a refusal has a status and a reason.
    """

    request: PreviewRequest
    decision: str
    status: int = 0
    reason: str = ""
    version: int = 0
    age_s: float = 0.0
    """The seconds since the platform last confirmed the configuration."""
    route: str = ""
    priority: int = 0
    instances: tuple[str, ...] = ()
    """The instances of which one would run the request; it decides on the targets by
    its own state."""
    room: tuple[RoomPreview, ...] = ()
    """Empty where admission is not controlled."""
    shards: int = 0
    """The number of shards of a query, 0 for a single request."""
    needed_shards: int = 0
    shards_without_target: int = 0
    services: tuple[ServicePreview, ...] = ()
    other_shards: int = 0


def answer(sources: Sources, query: bytes) -> Response | None:
    """Return the preview as JSON, None if the query names no host and no path."""
    fields = urllib.parse.parse_qs(
        query.decode("latin-1"), keep_blank_values=True, encoding="latin-1"
    )
    if "host" not in fields or "path" not in fields:
        return None
    request = _parse_request(fields)
    if request is None:
        body = {"error": "host, path, method or deadline_ms is malformed"}
        return Response(400, JSON, orjson.dumps(body))
    body = attrs.asdict(preview(sources, request))
    return Response(200, JSON, orjson.dumps(body))


def _parse_request(fields: dict[str, list[str]]) -> PreviewRequest | None:
    """Return the request that the fields of a query name, None if it is malformed."""
    if any(len(values) != 1 or not values[0] for values in fields.values()):
        return None
    deadline_s = MAX_DEADLINE_S
    if "deadline_ms" in fields:
        digits = fields["deadline_ms"][0]
        if not (digits.isascii() and digits.isdigit()):
            return None
        if len(digits.lstrip("0")) <= MAX_DEADLINE_DIGITS:
            deadline_s = min(MAX_DEADLINE_S, int(digits) / 1000)
    method = fields.get("method", ["GET"])[0]
    return PreviewRequest(fields["host"][0], fields["path"][0], method, deadline_s)


def preview(sources: Sources, request: PreviewRequest) -> RoutePreview:
    """Return where a request would go if it arrived now."""
    table = sources.feed.table
    if sources.room.stopped:
        return _refusal(request, 503, "the instance has stopped")
    if table is None or not sources.feed.ready:
        return _refusal(request, 503, "no configuration is known")
    known = {"version": table.version, "age_s": round(sources.feed.age_s(), 2)}
    route = table.match(request.host, request.path.partition("?")[0])
    if route is None:
        return _refusal(request, 404, "no route matches", **known)
    known |= {"route": route.name, "priority": route.priority}
    if _is_quarantined(sources, request):
        reason = "the request crashed the targets that ran it"
        return _refusal(request, 503, reason, **known)
    cut_off = sources.context.targets.reachability.cut_off
    instances = _other_instances(sources, route, cut_off)
    if cut_off and not instances:
        reason = "this instance reaches no target, and no other one can take it"
        return _refusal(request, 503, reason, **known)
    known |= _targets_of(sources, route)
    if instances:
        names = tuple(sorted(member.id for member in instances))
        reason = "they are faster or near the shards"
        if cut_off:
            reason = "this instance reaches no target"
        return RoutePreview(
            request, "delegated", reason=reason, instances=names, **known
        )
    known["room"] = rooms = _rooms(sources, route, table, request)
    refused = [room.refused for room in rooms if room.refused]
    # A single request to several services is refused only where it is sent to one
    # without room.
    if refused and len(refused) == len(rooms):
        return _refusal(request, 503, f"for want of room: {refused[0]}", **known)
    reason = _missing_targets(route, known)
    if reason:
        return _refusal(request, 503, reason, **known)
    return RoutePreview(request, "here", **known)


def _refusal(
    request: PreviewRequest, status: int, reason: str, **known: object
) -> RoutePreview:
    return RoutePreview(request, "refused", status, reason, **known)


def _is_quarantined(sources: Sources, request: PreviewRequest) -> bool:
    """Return whether the request, without a body, is known to crash targets."""
    crashes = sources.context.crashes
    host, path = request.host.encode("latin-1"), request.path.encode("latin-1")
    return crashes.would_quarantine(crashes.fingerprint(host, path, b""))


def _other_instances(sources: Sources, route: Route, cut_off: bool) -> Sequence:
    """Return the instances of which one would run the request, none for this one."""
    if cut_off:
        return sources.delegation.substitute_candidates(route)
    if route.gather is None:
        return ()
    return sources.delegation.delegate_candidates(route)


# Targets.


def _targets_of(sources: Sources, route: Route) -> dict:
    """Return the services of a route, with those shards first that need attention."""
    if route.gather is None:
        total = sum(weighted.weight for weighted in route.weighted_services)
        services = tuple(
            _service(sources, route, weighted.service, weighted.weight / total)
            for weighted in route.weighted_services
        )
        return {"services": services}
    shards = route.gather.shards
    previews = [_service(sources, route, name, 1.0) for name in shards]
    previews.sort(key=_attention_key)
    rule = AnswerRule.make(len(shards), route.gather.min_coverage, 0.0)
    return {
        "shards": len(shards),
        "needed_shards": rule.needed,
        "shards_without_target": sum(not shard.has_target for shard in previews),
        "services": tuple(previews[:MAX_SHARDS]),
        "other_shards": max(0, len(shards) - MAX_SHARDS),
    }


def _attention_key(service: ServicePreview) -> tuple[bool, float]:
    if not service.has_target:
        return False, 0.0
    return True, -service.expected_ms


def _service(sources: Sources, route: Route, name: str, share: float) -> ServicePreview:
    targets, now = sources.context.targets, sources.context.clock.monotonic()
    inside = targets.entries_within(name, route.allowed_regions)
    candidates = [(entry, _candidate(entry), _causes(entry, now)) for entry in inside]
    # The latency of new targets is assumed from those that may be chosen.
    default_s = assumed_latency_s(
        candidate for _, candidate, causes in candidates if not causes
    )
    candidates.sort(key=lambda item: (bool(item[2]), item[1].cost_s(now, default_s)))
    shown = [_target(*item, now, default_s) for item in candidates[:MAX_TARGETS]]
    if route.allowed_regions:
        ids = {entry.id for entry in inside}
        outside = [
            e for e in targets.entries_within(name, frozenset()) if e.id not in ids
        ]
        shown += [
            _target(entry, _candidate(entry), ("region",), now, default_s)
            for entry in outside[: MAX_TARGETS - len(shown)]
        ]
    total = len(targets.entries_within(name, frozenset()))
    return ServicePreview(name, round(share, 4), tuple(shown), total - len(shown))


def _candidate(entry: TargetEntry) -> Candidate:
    """Return a copy of a target's candidate with the state of its connections."""
    return attrs.evolve(
        entry.candidate,
        can_connect=entry.pool.has_room(),
        oldest_start=next(iter(entry.running.values()), None),
    )


def _causes(entry: TargetEntry, now: float) -> tuple[str, ...]:
    """Return what keeps a new request away from a target."""
    state = entry.state
    causes = []
    cause = entry.withheld_cause(now)
    if cause is not None:
        causes.append(cause.value)
    if not state.is_available():
        breaker = f"breaker {state.breaker.value}"
        causes.append("refused as draining" if state.draining else breaker)
    if entry.cold_rate is not None and not _allows_cold(entry, now):
        causes.append("cold")
    if not entry.rate.would_allow(now):
        causes.append("rate_limit")
    return tuple(causes)


def _allows_cold(entry: TargetEntry, now: float) -> bool:
    """Return whether a cold target may get a request, as `TargetEntry.allows` does."""
    return (
        entry.cold_rate.would_allow(now)
        and len(entry.running) < entry.cold_max_in_flight
        and entry.pool.has_room()
    )


def _target(
    entry: TargetEntry,
    candidate: Candidate,
    causes: tuple[str, ...],
    now: float,
    default_s: float,
) -> TargetPreview:
    cold_s = 0.0 if entry.cold is None else max(0.0, entry.cold.until - now)
    return TargetPreview(
        entry.id,
        entry.listed.data_centre,
        _ms(candidate.expected_s(now, default_s)),
        entry.state.in_flight,
        entry.listed.slots,
        candidate.can_connect,
        _ms(cold_s),
        causes,
    )


def _missing_targets(route: Route, known: dict) -> str:
    """Return why too few services have a target, empty if enough have one."""
    if route.gather is None:
        if any(service.has_target for service in known["services"]):
            return ""
        return "no target may be sent a request"
    reachable = known["shards"] - known["shards_without_target"]
    if reachable >= known["needed_shards"]:
        return ""
    return f"{reachable} shards have a target, {known['needed_shards']} are needed"


# Room.


def _rooms(
    sources: Sources, route: Route, table: RouteTable, request: PreviewRequest
) -> tuple[RoomPreview, ...]:
    """Return the room of the route, or of each of the services of single requests."""
    contested = contested_services(table)
    services = route.services()
    keys: Iterable[tuple[str, ...]] = [tuple(sorted(set(services)))]
    if route.gather is None:
        keys = [(name,) for name in services]
    return tuple(
        _room(sources, route, key, request)
        for key in keys
        if not contested.isdisjoint(key)
    )


def _room(
    sources: Sources, route: Route, key: tuple[str, ...], request: PreviewRequest
) -> RoomPreview:
    clock = sources.context.clock
    now = clock.monotonic()
    group = _find_group(sources.room.groups(), key)
    if group is None:
        # No request has used these services yet.
        group = Group(key[0], key, RoomAccount(now))
    entry = _waiting_request(sources, route, group, request, now)
    account, waiting = group.account, group.waiting
    starts = not waiting and account.fits(entry.work_s)
    wait_s = 0.0 if starts else predicted_wait_s(group, entry, now)
    result = RoomPreview(
        len(key),
        key[0],
        None if account.limit_s == float("inf") else _ms(account.limit_s),
        _ms(account.running_s),
        len(waiting),
        _ms(entry.work_s),
        _ms(wait_s),
        not starts,
    )
    if starts:
        return result
    if wait_s + entry.load.typical_s > _time_left_s(route, request):
        return attrs.evolve(result, refused="no time is left")
    if len(waiting) >= MAX_WAITING:
        displaced = waiting.displaced_by(entry, now)
        if displaced is entry:
            return attrs.evolve(result, refused="the queue is full")
        result = attrs.evolve(result, displaced=group.claims[displaced].request.text_id)
    late = _late_reason(route, request, group, entry, wait_s, now)
    return attrs.evolve(result, late=late)


def _find_group(groups: Iterable[Group], key: tuple[str, ...]) -> Group | None:
    return next((group for group in groups if group.services == key), None)


def _waiting_request(
    sources: Sources, route: Route, group: Group, request: PreviewRequest, now: float
) -> WaitingRequest:
    left_s = _time_left_s(route, request)
    objective_s = min(route.latency_objective_s, left_s)
    answer_by = now + min(route.latency_objective_s - RETURN_MARGIN_S, left_s)
    return WaitingRequest(
        route.name,
        sources.delegation.data_centre,
        route.priority,
        answer_by,
        now + WAIT_SHARE * objective_s,
        group.waiting.known_load(route, sources.context.clock),
    )


def _time_left_s(route: Route, request: PreviewRequest) -> float:
    return min(request.deadline_s, route.timeout_s)


def _late_reason(
    route: Route,
    request: PreviewRequest,
    group: Group,
    entry: WaitingRequest,
    wait_s: float,
    now: float,
) -> str:
    """Return why a request would be refused after a part of its objective."""
    objective_s = min(route.latency_objective_s, _time_left_s(route, request))
    decided_s = decision_delay_s(objective_s, RETURN_MARGIN_S)
    if wait_s <= decided_s:
        return ""
    needed_s = PREDICTION_MARGIN * (wait_s - decided_s) + entry.load.typical_s
    if now + decided_s + needed_s > entry.objective_at:
        return "it would be late"
    return "many requests are refused" if group.waiting.is_overloaded(now) else ""


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
