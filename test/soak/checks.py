"""The promises, judged from what callers and targets saw."""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterator

from test.soak.history import CallerRequest, History
from test.soak.targets import RECORD_BYTES

MIN_COVERAGE = 0.75
TOP = 5
MAX_TARGETS = 2
MAX_OVER_TARGETS = 3
"""Requests on more targets than their route allows that the rule leaves unpunished."""

ROLLBACK_SLACK_S = 0.25
HELD_SLACK_S = 0.5
PROMISES = (408, 421, 429, 503)
"""Statuses that say that a request has not run and never will."""


def violations(history: History) -> list[str]:
    """Return what broke a promise; to be called once nothing runs any more."""
    found: list[str] = []
    for check in CHECKS:
        found += check(history)
    return found


def runs_at_most_once(history: History) -> Iterator[str]:
    """Yield bookings that ran more than once for one request."""
    for request in _bookings(history):
        runs = history.runs.get(request.request_id, [])
        if len(runs) > 1:
            yield f"TWICE {request}: {runs}"


def refusals_are_true(history: History) -> Iterator[str]:
    """Yield bookings that were said not to have run and have."""
    for request in _bookings(history):
        runs = history.runs.get(request.request_id, [])
        if request.status in PROMISES and runs:
            yield f"REFUSED {request}: {runs}"


def runs_as_it_was_sent(history: History) -> Iterator[str]:
    """Yield what a target ran that no caller sent so, or no version allows there."""
    sent = {request.request_id: request for request in history.requests}
    for request_id, runs in history.runs.items():
        for run in runs:
            request = sent.get(request_id)
            if request is None:
                yield f"UNASKED {run}"
                continue
            asked = request.method.encode(), request.path.encode(), request.body
            if asked != (run.method, run.path, run.body):
                yield f"UNASKED {request}: {run}"
            if run.service not in _allowed(history, request):
                yield f"ROUTE {request}: {run}"


def successes_are_right(history: History) -> Iterator[str]:
    """Yield successes that are no whole answer of a target or of shards."""
    for request in history.requests:
        if request.status == 200:
            reason = (_gathered if request.route == "all" else _single)(
                history, request
            )
            if reason:
                yield f"MIXED ({reason}) {request}"


def known_routes_are_not_denied(history: History) -> Iterator[str]:
    """Yield a 3xx or 4xx of our own for a route of all versions."""
    for request in history.requests:
        if 300 <= request.status < 500 and request.status not in PROMISES:
            yield f"DENIED {request}"


def few_targets_are_asked(history: History) -> Iterator[str]:
    """Yield requests that ran on more targets of a service than their route allows."""
    over = []
    for request_id, runs in history.runs.items():
        targets = collections.defaultdict(set)
        for run in runs:
            if run.target not in history.ended_targets:
                targets[run.service].add(run.target)
        over += [request_id for ids in targets.values() if len(ids) > MAX_TARGETS]
    if len(over) > MAX_OVER_TARGETS:
        yield f"BUDGET over {MAX_TARGETS} targets: {over}"


def versions_never_go_back(history: History) -> Iterator[str]:
    """Yield requests that a boot handled by an older version than one before."""
    version_of = {config.moving: config.version for config in history.configs}
    seen: dict[tuple[str, int], list[tuple[float, int]]] = collections.defaultdict(list)
    for request in history.requests:
        for run in history.runs.get(request.request_id, []):
            if run.service not in version_of:
                continue
            place = (request.gateway, request.boot)
            version = version_of[run.service]
            newer = [
                at
                for at, other in seen[place]
                if other > version and request.sent_at > at + ROLLBACK_SLACK_S
            ]
            if newer:
                yield f"CONFIG back to {version}: {request}"
            seen[place].append((run.at, version))


def nobody_is_held_long(history: History) -> Iterator[str]:
    """Yield requests whose answers came long after the deadline, if they are many."""
    late = [
        request
        for request in history.requests
        if request.status and request.ended_at - request.sent_at > _limit_s(request)
    ]
    if len(late) > 8 and len(late) > len(history.requests) / 4:
        yield f"CONFIG held {len(late)} of {len(history.requests)}: {late[0]}"


CHECKS: tuple[Callable[[History], Iterator[str]], ...] = (
    runs_at_most_once,
    refusals_are_true,
    runs_as_it_was_sent,
    successes_are_right,
    known_routes_are_not_denied,
    few_targets_are_asked,
    versions_never_go_back,
    nobody_is_held_long,
)


def lost_during_maintenance(history: History, start: float, end: float) -> list[str]:
    """Return the requests that planned work alone left without a whole answer."""
    return [
        f"LOST {request}"
        for request in history.requests
        if start <= request.sent_at <= end and request.status == 0
    ]


def served_share(requests: list[CallerRequest]) -> float:
    """Return the share of requests that ended with success."""
    served = sum(request.status == 200 for request in requests)
    return served / len(requests) if requests else math.nan


def _bookings(history: History) -> Iterator[CallerRequest]:
    return (a for a in history.requests if a.route == "book")


def _allowed(history: History, request: CallerRequest) -> set[str]:
    if request.route == "all":
        return {name for config in history.configs for name in config.shards}
    if request.route == "move":
        return {config.moving for config in history.configs}
    return {"desk"}


def _limit_s(request: CallerRequest) -> float:
    return (0.8 if request.route == "all" else 2.0) + HELD_SLACK_S


def _single(history: History, request: CallerRequest) -> str:
    answer = history.answers.get(request.stamp)
    if answer is None or answer.request_id != request.request_id:
        return "the stamp is no answer to this request"
    if answer.status != 200:
        return "the target had failed"
    return "" if answer.body == request.answer else "the body is another"


def _gathered(history: History, request: CallerRequest) -> str:
    answers = [history.answers.get(stamp) for stamp in request.part_stamps]
    if not answers or None in answers:
        return "a stamp is no answer"
    if any(a.request_id != request.request_id or a.status != 200 for a in answers):
        return "a stamp is no good answer to this request"
    services = {answer.service for answer in answers}
    if len(services) != len(answers):
        return "two parts of one service"
    total = len(services) + request.missing_parts
    sets = [config.shards for config in history.configs]
    if not any(len(names) == total and services <= set(names) for names in sets):
        return "the parts are no set of one version"
    if len(services) < MIN_COVERAGE * total:
        return "too few parts"
    found = b"".join(answer.body for answer in answers)
    rows = [found[at : at + RECORD_BYTES] for at in range(0, len(found), RECORD_BYTES)]
    best = b"".join(sorted(rows, reverse=True)[:TOP])
    return "" if best == request.answer else "the records are not the greatest"
