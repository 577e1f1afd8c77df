"""The promises, judged from what callers and targets saw."""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterator

from test.soak.history import Attempt, History
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
    """Yield bookings that ran more than once for one attempt."""
    for attempt in _bookings(history):
        runs = history.runs.get(attempt.request_id, [])
        if len(runs) > 1:
            yield f"TWICE {attempt}: {runs}"


def refusals_are_true(history: History) -> Iterator[str]:
    """Yield bookings that were said not to have run and have."""
    for attempt in _bookings(history):
        runs = history.runs.get(attempt.request_id, [])
        if attempt.status in PROMISES and runs:
            yield f"REFUSED {attempt}: {runs}"


def runs_as_it_was_sent(history: History) -> Iterator[str]:
    """Yield what a target ran that no caller sent so, or no version allows there."""
    sent = {attempt.request_id: attempt for attempt in history.attempts}
    for request_id, runs in history.runs.items():
        for run in runs:
            attempt = sent.get(request_id)
            if attempt is None:
                yield f"UNASKED {run}"
                continue
            asked = attempt.method.encode(), attempt.path.encode(), attempt.body
            if asked != (run.method, run.path, run.body):
                yield f"UNASKED {attempt}: {run}"
            if run.service not in _allowed(history, attempt):
                yield f"ROUTE {attempt}: {run}"


def successes_are_right(history: History) -> Iterator[str]:
    """Yield successes that are no whole answer of a target or of shards."""
    for attempt in history.attempts:
        if attempt.status == 200:
            reason = (_gathered if attempt.route == "all" else _single)(
                history, attempt
            )
            if reason:
                yield f"MIXED ({reason}) {attempt}"


def known_routes_are_not_denied(history: History) -> Iterator[str]:
    """Yield a 3xx or 4xx of our own for a route of all versions."""
    for attempt in history.attempts:
        if 300 <= attempt.status < 500 and attempt.status not in PROMISES:
            yield f"DENIED {attempt}"


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
    for attempt in history.attempts:
        for run in history.runs.get(attempt.request_id, []):
            if run.service not in version_of:
                continue
            place = (attempt.gateway, attempt.boot)
            version = version_of[run.service]
            newer = [
                at
                for at, other in seen[place]
                if other > version and attempt.sent_at > at + ROLLBACK_SLACK_S
            ]
            if newer:
                yield f"CONFIG back to {version}: {attempt}"
            seen[place].append((run.at, version))


def nobody_is_held_long(history: History) -> Iterator[str]:
    """Yield requests whose answers came long after the deadline, if they are many."""
    late = [
        attempt
        for attempt in history.attempts
        if attempt.status and attempt.ended_at - attempt.sent_at > _limit_s(attempt)
    ]
    if len(late) > 8 and len(late) > len(history.attempts) / 4:
        yield f"CONFIG held {len(late)} of {len(history.attempts)}: {late[0]}"


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


def lost_in_planned_work(history: History, start: float, end: float) -> list[str]:
    """Return the requests that planned work alone left without a whole answer."""
    return [
        f"LOST {attempt}"
        for attempt in history.attempts
        if start <= attempt.sent_at <= end and attempt.status == 0
    ]


def served_share(attempts: list[Attempt]) -> float:
    """Return the share of requests that ended with success."""
    served = sum(attempt.status == 200 for attempt in attempts)
    return served / len(attempts) if attempts else math.nan


def _bookings(history: History) -> Iterator[Attempt]:
    return (a for a in history.attempts if a.route == "book")


def _allowed(history: History, attempt: Attempt) -> set[str]:
    if attempt.route == "all":
        return {name for config in history.configs for name in config.shards}
    if attempt.route == "move":
        return {config.moving for config in history.configs}
    return {"desk"}


def _limit_s(attempt: Attempt) -> float:
    return (0.8 if attempt.route == "all" else 2.0) + HELD_SLACK_S


def _single(history: History, attempt: Attempt) -> str:
    answer = history.answers.get(attempt.stamp)
    if answer is None or answer.request_id != attempt.request_id:
        return "the stamp is no answer to this request"
    if answer.status != 200:
        return "the target had failed"
    return "" if answer.body == attempt.answer else "the body is another"


def _gathered(history: History, attempt: Attempt) -> str:
    answers = [history.answers.get(stamp) for stamp in attempt.part_stamps]
    if not answers or None in answers:
        return "a stamp is no answer"
    if any(a.request_id != attempt.request_id or a.status != 200 for a in answers):
        return "a stamp is no good answer to this request"
    services = {answer.service for answer in answers}
    if len(services) != len(answers):
        return "two parts of one service"
    total = len(services) + attempt.missing_parts
    sets = [config.shards for config in history.configs]
    if not any(len(names) == total and services <= set(names) for names in sets):
        return "the parts are no set of one version"
    if len(services) < MIN_COVERAGE * total:
        return "too few parts"
    found = b"".join(answer.body for answer in answers)
    rows = [found[at : at + RECORD_BYTES] for at in range(0, len(found), RECORD_BYTES)]
    best = b"".join(sorted(rows, reverse=True)[:TOP])
    return "" if best == attempt.answer else "the records are not the greatest"
