"""Checks of the guarantees against the recorded requests, runs and answers."""

from __future__ import annotations

import collections
import math
from collections.abc import Callable, Iterator

from test.soak.history import CallerRequest, History, RateLimit
from test.soak.targets import RECORD_BYTES

MIN_COVERAGE = 0.75
TOP_K = 5
MAX_TARGETS = 2
MAX_REQUESTS_OVER_LIMIT = 3
"""The number of requests that may run on more targets than their route allows."""

ROLLBACK_SLACK_S = 0.25
"""How long an older version may still be used after a newer one, in seconds."""

DEADLINE_SLACK_S = 0.5
"""How long after its deadline an answer is not counted as late, in seconds."""

LIMIT_WINDOW_S = 4.0
"""The span in which a target counts the requests above its rate limit."""

LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
"""How much more than its limit allows a target may get in one span."""

LEARNING_S = 4.0
"""How long after a target first names a limit nothing is counted, in seconds."""

TOLD_SLACK_S = 0.5
"""How long after an answer with the limit a process may go on, in seconds."""

EVACUATE_S = 5.0
"""How long after the write of its key an evacuation may take effect, in seconds."""

COLD_PER_S = 2.0
COLD_BOUND = COLD_PER_S * 1.5 + 5
"""The requests in any second that a cold target may get; the factors are defaults."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that guarantee that a request has not run and will not run."""


def find_violations(history: History) -> list[str]:
    """Return one line for each violation of a guarantee.

    Call it when no request runs any more.
    """
    violations: list[str] = []
    for check in CHECKS:
        violations += check(history)
    return violations


def check_bookings_run_at_most_once(history: History) -> Iterator[str]:
    """Yield a line for each booking that ran more than once."""
    for request in _bookings(history):
        runs = history.runs.get(request.request_id, [])
        if len(runs) > 1:
            yield f"TWICE {request}: {runs}"


def check_refused_requests_did_not_run(history: History) -> Iterator[str]:
    """Yield a line for each request that was answered as not run, but ran."""
    for request in history.requests:
        runs = history.runs.get(request.request_id, [])
        if request.status in NOT_RUN_STATUSES and runs:
            yield f"REFUSED {request}: {runs}"


def check_runs_match_requests(history: History) -> Iterator[str]:
    """Yield a line for each run without a matching request, or outside its route."""
    requests_by_id = {request.request_id: request for request in history.requests}
    for request_id, runs in history.runs.items():
        for run in runs:
            request = requests_by_id.get(request_id)
            if request is None:
                yield f"UNASKED {run}"
                continue
            expected = request.method.encode(), request.path.encode(), request.body
            if expected != (run.method, run.path, run.body):
                yield f"UNASKED {request}: {run}"
            if run.service not in _allowed_services(history, request):
                yield f"ROUTE {request}: {run}"


def check_successful_answers(history: History) -> Iterator[str]:
    """Yield a line for each success that does not match recorded target answers."""
    for request in history.requests:
        if request.status == 200:
            reason = (
                _gathered_answer_error
                if request.route == "all"
                else _single_answer_error
            )(history, request)
            if reason:
                yield f"MIXED ({reason}) {request}"


def check_known_routes_are_served(history: History) -> Iterator[str]:
    """Yield a line for each 3xx or 4xx from a gateway on a route of all versions."""
    for request in history.requests:
        if 300 <= request.status < 500 and request.status not in NOT_RUN_STATUSES:
            yield f"DENIED {request}"


def check_targets_per_request(history: History) -> Iterator[str]:
    """Yield a line if too many requests ran on more targets than their route allows.

    Targets that ended during the soak do not count.
    """
    over_limit = []
    for request_id, runs in history.runs.items():
        targets = collections.defaultdict(set)
        for run in runs:
            if run.target not in history.ended_targets:
                targets[run.service].add(run.target)
        over_limit += [request_id for ids in targets.values() if len(ids) > MAX_TARGETS]
    if len(over_limit) > MAX_REQUESTS_OVER_LIMIT:
        yield f"BUDGET over {MAX_TARGETS} targets: {over_limit}"


def check_versions_do_not_decrease(history: History) -> Iterator[str]:
    """Yield a line for each request routed by an older version after a newer one."""
    version_by_service = {
        config.moving_service: config.version for config in history.configs
    }
    seen_versions: dict[tuple[str, int], list[tuple[float, int]]] = (
        collections.defaultdict(list)
    )
    for request in history.requests:
        for run in history.runs.get(request.request_id, []):
            if run.service not in version_by_service:
                continue
            process = (request.gateway, request.boot)
            version = version_by_service[run.service]
            newer = [
                started_at
                for started_at, other in seen_versions[process]
                if other > version and request.sent_at > started_at + ROLLBACK_SLACK_S
            ]
            if newer:
                yield f"CONFIG back to {version}: {request}"
            seen_versions[process].append((run.started_at, version))


def check_deadlines(history: History) -> Iterator[str]:
    """Yield a line if many requests were answered long after their deadline."""
    late = [
        request
        for request in history.requests
        if request.status
        and request.ended_at - request.sent_at > _max_duration_s(request)
    ]
    if len(late) > 8 and len(late) > len(history.requests) / 4:
        yield f"CONFIG held {len(late)} of {len(history.requests)}: {late[0]}"


def check_rate_limits(history: History) -> Iterator[str]:
    """Yield a line for each target that got more requests than it named."""
    for limit in history.rate_limits:
        allowed = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        times = sorted(_limited_run_times(history, limit))
        for first in times:
            count = sum(first <= at < first + LIMIT_WINDOW_S for at in times)
            if count > allowed:
                yield f"LIMIT {count} of {allowed:.1f} from {first:.3f}: {limit}"
                break


def check_leaving_targets(history: History) -> Iterator[str]:
    """Yield a line for each request that a target got after it had said it leaves.

    Only requests count that came to a process which had passed on such an answer.
    """
    left_at: dict[tuple[str, int, str], float] = {}
    for request in history.requests:
        if request.says_leaving:
            target = request.stamp.partition(".")[0]
            key = (request.gateway, request.boot, target)
            left_at[key] = min(left_at.get(key, math.inf), request.ended_at)
    for request in history.requests:
        for run in history.runs.get(request.request_id, []):
            key = (request.gateway, request.boot, run.target)
            if request.sent_at > left_at.get(key, math.inf) + TOLD_SLACK_S:
                yield f"DRAIN {request}: {run}"


def check_evacuations(history: History) -> Iterator[str]:
    """Yield a line for each request that reached an evacuated target."""
    for evacuation in history.evacuations:
        in_force_at = evacuation.written_at + EVACUATE_S
        for arrival in history.arrivals:
            if (
                arrival.zone == evacuation.zone
                and in_force_at <= arrival.arrived_at < evacuation.removed_at
            ):
                yield f"EVACUATED {evacuation}: {arrival}"


def check_cold_targets(history: History) -> Iterator[str]:
    """Yield a line for each cold target that got too many requests in a second."""
    arrivals = collections.defaultdict(list)
    for arrival in history.arrivals:
        if not arrival.misdirected:
            arrivals[arrival.target].append(arrival.arrived_at)
    for cold in history.cold_times:
        times = [t for t in arrivals[cold.target] if cold.known_at <= t < cold.ends_at]
        most = max((sum(t <= at < t + 1 for at in times) for t in times), default=0)
        if most > COLD_BOUND:
            yield f"COLD {most} in a second of {COLD_BOUND:.1f}: {cold}"


def _limited_run_times(history: History, limit: RateLimit) -> Iterator[float]:
    """Yield the starts of runs that a gateway knew the limit for.

    Those are of processes that had passed on an answer with the limit.
    """
    told_at = _told_at(history, limit)
    requests_by_id = {request.request_id: request for request in history.requests}
    for request_id, runs in history.runs.items():
        request = requests_by_id.get(request_id)
        if request is None:
            continue
        told = told_at.get((request.gateway, request.boot), math.inf) + TOLD_SLACK_S
        for run in runs:
            since = max(told, limit.named_at + LEARNING_S)
            if run.target == limit.target and since <= run.started_at < limit.ended_at:
                yield run.started_at


def _told_at(history: History, limit: RateLimit) -> dict[tuple[str, int], float]:
    """Return when each gateway process first passed on an answer with the limit."""
    told_at: dict[tuple[str, int], float] = {}
    for request in history.requests:
        stamps = (request.stamp, *request.part_stamps)
        if request.status != 200 or not any(
            stamp.startswith(f"{limit.target}.") for stamp in stamps
        ):
            continue
        if limit.named_at <= request.sent_at and request.ended_at < limit.ended_at:
            process = (request.gateway, request.boot)
            told_at[process] = min(told_at.get(process, math.inf), request.ended_at)
    return told_at


CHECKS: tuple[Callable[[History], Iterator[str]], ...] = (
    check_bookings_run_at_most_once,
    check_refused_requests_did_not_run,
    check_runs_match_requests,
    check_successful_answers,
    check_known_routes_are_served,
    check_targets_per_request,
    check_versions_do_not_decrease,
    check_deadlines,
    check_rate_limits,
    check_leaving_targets,
    check_evacuations,
    check_cold_targets,
)


def lost_during_maintenance(history: History, start: float, end: float) -> list[str]:
    """Return the requests without a complete answer during maintenance.

    No faults are injected between `start` and `end`.
    """
    return [
        f"LOST {request}"
        for request in history.requests
        if start <= request.sent_at <= end and request.status == 0
    ]


def served_share(requests: list[CallerRequest]) -> float:
    """Return the share of requests with status 200, or NaN without requests."""
    served = sum(request.status == 200 for request in requests)
    return served / len(requests) if requests else math.nan


def _bookings(history: History) -> Iterator[CallerRequest]:
    return (request for request in history.requests if request.route == "book")


def _allowed_services(history: History, request: CallerRequest) -> set[str]:
    if request.route == "all":
        return {name for config in history.configs for name in config.shards}
    if request.route == "move":
        return {config.moving_service for config in history.configs}
    return {"desk"}


def _max_duration_s(request: CallerRequest) -> float:
    return (0.8 if request.route == "all" else 2.0) + DEADLINE_SLACK_S


def _single_answer_error(history: History, request: CallerRequest) -> str:
    answer = history.answers.get(request.stamp)
    if answer is None or answer.request_id != request.request_id:
        return "the stamp does not identify an answer to this request"
    if answer.status != 200:
        return "the answer of the target is an error"
    return (
        ""
        if answer.body == request.answer
        else "the body differs from that of the target"
    )


def _gathered_answer_error(history: History, request: CallerRequest) -> str:
    answers = [history.answers.get(stamp) for stamp in request.part_stamps]
    if not answers or None in answers:
        return "a stamp does not identify an answer"
    if any(a.request_id != request.request_id or a.status != 200 for a in answers):
        return "a stamp does not identify a successful answer to this request"
    services = {answer.service for answer in answers}
    if len(services) != len(answers):
        return "two parts come from one service"
    total = len(services) + request.missing_parts
    shard_sets = [config.shards for config in history.configs]
    if not any(len(names) == total and services <= set(names) for names in shard_sets):
        return "the parts are not the shards of one version"
    if len(services) < MIN_COVERAGE * total:
        return "the coverage is too low"
    merged = b"".join(answer.body for answer in answers)
    records = [
        merged[start : start + RECORD_BYTES]
        for start in range(0, len(merged), RECORD_BYTES)
    ]
    best = b"".join(sorted(records, reverse=True)[:TOP_K])
    return "" if best == request.answer else "the records are not the top ones"
