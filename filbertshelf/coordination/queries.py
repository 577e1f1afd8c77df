"""Runs queries, from the choice of a policy to the merged answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import attrs

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.admission import Admission
from filbertshelf.coordination.budgets import Budgets
from filbertshelf.coordination.rate_limiter import RateLimiter
from filbertshelf.coordination.scatter import Scatter
from filbertshelf.coordination.scatter_state import ScatterRequest
from filbertshelf.coordination.targets import Targets
from filbertshelf.errors import NotReadyError, OverloadedError, QuarantinedError
from filbertshelf.metrics import Metrics
from filbertshelf.protocol.caller import MAX_URGENCY, CallerRequest
from filbertshelf.settings import Settings
from filbertshelf.state.documents import Version
from filbertshelf.state.merge import merge_rows
from filbertshelf.state.outcome import OVERLOAD_REASONS, Answer, query_outcome
from filbertshelf.state.plan import Plan, PolicyChoice, choose_policy, make_plan
from filbertshelf.state.publication import Policy, Publication
from filbertshelf.state.quarantine import Quarantine, Verdict

REPLAN_SHARE = 0.5  # A query is planned again only within this share of its time.
REPLAN_POLL_S = 0.01
# Share of its remaining time that a query of the lowest urgency may need for its
# slowest shard before it is refused. The share rises to 1 with the urgency.
LEAST_URGENT_SHARE = 0.3


class ConfigurationView(Protocol):
    """The part of the configuration that queries read."""

    @property
    def publication(self) -> Publication | None:
        """Return the publication in force."""

    @property
    def version(self) -> Version:
        """Return the version of the publication in force."""

    @property
    def ready(self) -> bool:
        """Return whether the publication is confirmed."""


@attrs.frozen
class _PreparedQuery:
    """A query ready to run; the deadline is in seconds of the monotonic clock."""

    request_id: str
    policy: Policy
    body: bytes
    fingerprint: str
    deadline: float
    urgency: int


class Queries:
    """Answers queries; each request calls `answer` in its own task."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        metrics: Metrics,
        configuration: ConfigurationView,
        targets: Targets,
        quarantine: Quarantine,
        rate_limiter: RateLimiter,
        check_confirmed: Callable[[], None],
    ):
        self.clock = clock
        self.targets = targets
        self.quarantine = quarantine
        self.adaptive = cfg.strategy == "adaptive"
        self.admission = Admission(cfg, clock, metrics)
        self.budgets = Budgets(clock)
        self._metrics = metrics
        self._configuration = configuration
        self._check_confirmed = check_confirmed
        self._rate_limiter = rate_limiter

    def has_queued_requests(self) -> bool:
        """Return whether requests are queued for admission."""
        return self.admission.waiting > 0

    async def answer(self, request_id: str, req: CallerRequest) -> Answer:
        """Return the answer to a query.

        Raises a subclass of `UserError` if the query is refused and did not run.
        """
        started = self.clock.monotonic()
        publication = self.publication()
        choice = self.choose_policy(request_id, req, publication)
        fingerprint = self._checked_fingerprint(req, choice.policy)
        await self._rate_limiter.take_token(choice.policy, publication)
        deadline = started + (req.deadline_ms or choice.policy.deadline_ms) / 1000
        body = json.dumps({"query": req.body}).encode()
        prepared = _PreparedQuery(
            request_id, choice.policy, body, fingerprint, deadline, req.urgency
        )
        if not self.adaptive:
            return await self._run(prepared, req.body)
        await self.admission.acquire(request_id, req.caller, req.urgency, deadline)
        admitted = self.clock.monotonic()
        reflects_load = False
        try:
            answer = await self._run(prepared, req.body)
            reflects_load = _duration_reflects_load(answer)
            return answer
        finally:
            self.admission.release(self.clock.monotonic() - admitted, reflects_load)

    def publication(self) -> Publication:
        """Return the publication in force.

        Raises `NotReadyError` if there is no confirmed publication.
        """
        self._check_confirmed()
        publication = self._configuration.publication
        if publication is None or not self._configuration.ready:
            raise NotReadyError(
                "this instance has no confirmed configuration",
                "send the request to another instance or wait a few seconds",
            )
        return publication

    @property
    def revision(self) -> int:
        """Return the revision of the publication in force."""
        return self._configuration.version.revision

    def choose_policy(
        self, request_id: str, req: CallerRequest, publication: Publication
    ) -> PolicyChoice:
        """Choose the policy for a request and log the choice."""
        choice = choose_policy(publication, req.routing_labels)
        events.emit(
            events.POLICY_CHOSEN,
            request_id=request_id,
            caller=req.caller,
            policy=choice.policy.name,
            candidates=list(choice.candidates),
        )
        return choice

    def _checked_fingerprint(self, req: CallerRequest, policy: Policy) -> str:
        fingerprint = self.quarantine.fingerprint((policy.services.text,), req.body)
        if self.quarantine.verdict(fingerprint) is Verdict.CONVICTED:
            raise QuarantinedError(
                f"a query with fingerprint {fingerprint} crashed targets",
                "change the query, or wait until its quarantine has ended",
            )
        return fingerprint

    async def _run(self, prepared: _PreparedQuery, query: Mapping[str, Any]) -> Answer:
        started = self.clock.monotonic()
        scatter, plan = await self._run_round(prepared, replan=False)
        sub_requests = scatter.sub_requests
        attempts = list(scatter.attempts)
        replan_until = started + (prepared.deadline - started) * REPLAN_SHARE
        if await self._wait_for_newer_snapshot(scatter, plan, replan_until):
            events.emit(
                events.QUERY_REPLANNED,
                request_id=prepared.request_id,
                reason="the snapshot is gone",
            )
            scatter, plan = await self._run_round(prepared, replan=True)
            sub_requests += scatter.sub_requests
            attempts += scatter.attempts
        coverage = scatter.coverage()
        answer = Answer(
            prepared.request_id,
            query_outcome(coverage, attempts),
            plan.revision,
            plan.snapshot,
            coverage,
            merge_rows(scatter.answers(), query),
            "quarantined" if scatter.quarantined else "",
            sub_requests,
        )
        self._record_answer(answer, self.clock.monotonic() - started)
        return answer

    async def _run_round(
        self, prepared: _PreparedQuery, replan: bool
    ) -> tuple[Scatter, Plan]:
        plan = make_plan(self.publication(), self.revision, prepared.policy)
        events.emit(
            events.QUERY_PLANNED,
            request_id=prepared.request_id,
            revision=plan.revision,
            snapshot=plan.snapshot,
            shards=len(plan.shards),
            replan=replan,
        )
        # A replanned query has already run, so it can't be refused as not run.
        if self.adaptive and not replan:
            self._refuse_if_too_slow(plan, prepared)
        request = ScatterRequest(
            f"{prepared.request_id}.r" if replan else prepared.request_id,
            plan,
            prepared.body,
            prepared.fingerprint,
            prepared.deadline,
            self._check_confirmed,
            lambda: not replan and self._snapshot_changed(plan),
        )
        scatter = Scatter(self, request)
        await scatter.run()
        return scatter, plan

    def _refuse_if_too_slow(self, plan: Plan, prepared: _PreparedQuery) -> None:
        """Raise `OverloadedError` if the slowest shard would need too much time.

        The limit is lower for less urgent queries, which keeps the targets' queues
        short for urgent ones.
        """
        predicted_s = max(
            (self.targets.predicted_time(ref.replicas) for ref in plan.shards),
            default=0.0,
        )
        usable_share = (
            LEAST_URGENT_SHARE
            + (1 - LEAST_URGENT_SHARE) * prepared.urgency / MAX_URGENCY
        )
        if predicted_s > usable_share * (prepared.deadline - self.clock.monotonic()):
            raise OverloadedError(
                f"its slowest shard would need about {predicted_s:.3f} s",
                "send the request again later, or with a longer deadline",
            )

    def _snapshot_changed(self, plan: Plan) -> bool:
        """Return whether the publication in force names another snapshot."""
        publication = self._configuration.publication
        if publication is None:
            return False
        for name, pinned in plan.snapshot.items():
            service = publication.services.get(name)
            current: dict[str, Any] = {}
            if service is not None:
                current["index_version"] = service.index_version
                current["generation"] = service.generation
            if current != pinned:
                return True
        return False

    async def _wait_for_newer_snapshot(
        self, scatter: Scatter, plan: Plan, wait_until: float
    ) -> bool:
        """Return whether to plan again, waiting for a publication until `wait_until`.

        It waits only if a target refused because it has another snapshot, since that
        target may know a newer publication than this instance.
        """
        if not (self.adaptive and scatter.snapshot_may_be_gone()):
            return False
        while self.clock.monotonic() < wait_until:
            if self._snapshot_changed(plan):
                return True
            if not scatter.refused_for_other_snapshot():
                return False
            await asyncio.sleep(REPLAN_POLL_S)
        return False

    def _record_answer(self, answer: Answer, elapsed: float) -> None:
        self._metrics.incr(f"answers.{answer.outcome.value}")
        self._metrics.timing("query", elapsed * 1000)
        events.emit(
            events.REQUEST_ANSWERED,
            request_id=answer.request_id,
            outcome=answer.outcome.value,
            planned=answer.coverage.planned,
            answered=answer.coverage.answered,
            missing=[
                f"{missing.service}/{missing.shard}: {missing.reason.value}"
                for missing in answer.coverage.missing
            ],
            elapsed_ms=round(elapsed * 1000, 1),
            sub_requests=answer.sub_requests,
        )


def _duration_reflects_load(answer: Answer) -> bool:
    """Return whether the query's duration is a measure of load.

    A replica that never answers also makes a query last until its deadline, but that
    is no reason to admit fewer queries.
    """
    reasons = {missing.reason for missing in answer.coverage.missing}
    return not reasons or not reasons.isdisjoint(OVERLOAD_REASONS)
