"""Queries: policy, admission, plan, rounds of sub-requests and the answer."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, Protocol

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.admission import Admission
from filbertshelf.coordination.budgets import Budgets
from filbertshelf.coordination.rates import Rates
from filbertshelf.coordination.scatter import Job, Scatter
from filbertshelf.coordination.targets import Targets
from filbertshelf.errors import NotReadyError, QuarantinedError
from filbertshelf.metrics import Metrics
from filbertshelf.protocol.caller import CallerRequest
from filbertshelf.settings import Settings
from filbertshelf.state.documents import Version
from filbertshelf.state.merge import merge_rows
from filbertshelf.state.outcome import Answer, Outcome, query_outcome
from filbertshelf.state.plan import Choice, Plan, choose_policy, make_plan
from filbertshelf.state.publication import Policy, Publication
from filbertshelf.state.quarantine import Quarantine, Verdict

REPLAN_SHARE = 0.5  # Of the deadline that must be left to plan again.
REPLAN_POLL_S = 0.01


class ConfigurationView(Protocol):
    """What queries read of the configuration."""

    @property
    def publication(self) -> Publication | None:
        """Return the publication in force."""

    @property
    def version(self) -> Version:
        """Return the version of the publication in force."""

    @property
    def ready(self) -> bool:
        """Return whether the publication is confirmed."""


class Queries:
    """Answers queries; one task for each request calls `answer`."""

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        metrics: Metrics,
        configuration: ConfigurationView,
        targets: Targets,
        quarantine: Quarantine,
        rates: Rates,
        check: Callable[[], None],
    ):
        self.clock = clock
        self.targets = targets
        self.quarantine = quarantine
        self.adaptive = cfg.strategy == "adaptive"
        self.admission = Admission(cfg, clock, metrics)
        self.budgets = Budgets(clock)
        self._metrics = metrics
        self._configuration = configuration
        self._check = check
        self._rates = rates

    def busy(self) -> bool:
        """Return whether requests wait for admission."""
        return self.admission.waiting > 0

    async def answer(self, request_id: str, req: CallerRequest) -> Answer:
        """Return the answer to a query.

        Raises a kind of `UserError` if the query is refused; it did not run.
        """
        started = self.clock.monotonic()
        publication = self.publication()
        choice = self.choose(request_id, req, publication)
        fingerprint = self._fingerprint(req, choice.policy)
        await self._rates.take(choice.policy, publication)
        deadline = started + (req.deadline_ms or choice.policy.deadline_ms) / 1000
        if not self.adaptive:
            return await self._run(request_id, req, choice, fingerprint, deadline)
        await self.admission.acquire(request_id, req.caller, req.urgency, deadline)
        admitted = self.clock.monotonic()
        whole = False
        try:
            answer = await self._run(request_id, req, choice, fingerprint, deadline)
            whole = answer.outcome is Outcome.WHOLE
            return answer
        finally:
            self.admission.release(self.clock.monotonic() - admitted, whole)

    def publication(self) -> Publication:
        """Return the publication in force.

        Raises `NotReadyError` if there is none or if it is not confirmed.
        """
        self._check()
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

    def choose(
        self, request_id: str, req: CallerRequest, publication: Publication
    ) -> Choice:
        """Return the policy for a request and log the choice."""
        choice = choose_policy(publication, req.routing_labels)
        events.emit(
            events.POLICY_CHOSEN,
            request_id=request_id,
            caller=req.caller,
            policy=choice.policy.name,
            candidates=list(choice.candidates),
        )
        return choice

    def _fingerprint(self, req: CallerRequest, policy: Policy) -> str:
        fingerprint = self.quarantine.fingerprint((policy.services.text,), req.body)
        if self.quarantine.verdict(fingerprint) is Verdict.CONVICTED:
            raise QuarantinedError(
                f"a query with fingerprint {fingerprint} crashed targets",
                "change the query, or wait until its quarantine has ended",
            )
        return fingerprint

    async def _run(
        self,
        request_id: str,
        req: CallerRequest,
        choice: Choice,
        fingerprint: str,
        deadline: float,
    ) -> Answer:
        started = self.clock.monotonic()
        body = json.dumps({"query": req.body}).encode()
        scatter, plan = await self._round(
            request_id, choice.policy, body, fingerprint, deadline, False
        )
        sub_requests = scatter.sub_requests
        attempts = list(scatter.attempts)
        replan_until = started + (deadline - started) * REPLAN_SHARE
        if await self._newer_snapshot(scatter, plan, replan_until):
            events.emit(
                events.REPLANNED, request_id=request_id, reason="the snapshot is gone"
            )
            scatter, plan = await self._round(
                request_id, choice.policy, body, fingerprint, deadline, True
            )
            sub_requests += scatter.sub_requests
            attempts += scatter.attempts
        coverage = scatter.coverage()
        answer = Answer(
            request_id,
            query_outcome(coverage, attempts),
            plan.revision,
            plan.snapshot,
            coverage,
            merge_rows(scatter.answers(), req.body),
            "quarantined" if scatter.convicted else "",
            sub_requests,
        )
        self._record(answer, self.clock.monotonic() - started)
        return answer

    async def _round(
        self,
        request_id: str,
        policy: Policy,
        body: bytes,
        fingerprint: str,
        deadline: float,
        replan: bool,
    ) -> tuple[Scatter, Plan]:
        plan = make_plan(
            self.publication(), self._configuration.version.revision, policy
        )
        events.emit(
            events.PLANNED,
            request_id=request_id,
            revision=plan.revision,
            snapshot=plan.snapshot,
            shards=len(plan.shards),
            replan=replan,
        )
        job = Job(
            request_id if not replan else f"{request_id}.r",
            plan,
            body,
            fingerprint,
            deadline,
            self._check,
            lambda: not replan and self._changed(plan),
        )
        scatter = Scatter(self, job)
        await scatter.run()
        return scatter, plan

    def _changed(self, plan: Plan) -> bool:
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

    async def _newer_snapshot(self, scatter: Scatter, plan: Plan, until: float) -> bool:
        """Return whether to plan again; wait for the publication until `until`."""
        if not (self.adaptive and scatter.lost_snapshot()):
            return False
        while self.clock.monotonic() < until:
            if self._changed(plan):
                return True
            if not scatter.other_snapshot():
                return False
            await asyncio.sleep(REPLAN_POLL_S)
        return False

    def _record(self, answer: Answer, elapsed: float) -> None:
        self._metrics.incr(f"answers.{answer.outcome.value}")
        self._metrics.timing("query", elapsed * 1000)
        events.emit(
            events.ANSWERED,
            request_id=answer.request_id,
            outcome=answer.outcome.value,
            planned=answer.coverage.planned,
            answered=answer.coverage.answered,
            missing=[
                f"{m.service}/{m.shard}: {m.reason.value}"
                for m in answer.coverage.missing
            ],
            elapsed_ms=round(elapsed * 1000, 1),
            sub_requests=answer.sub_requests,
        )
