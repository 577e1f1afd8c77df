"""Chooses the shard of a booking and sends the booking to one target at a time."""

from __future__ import annotations

import asyncio
import hashlib
import json
from collections.abc import Sequence

from filbertshelf import events
from filbertshelf.coordination.booking_interfaces import RunCheck, ShardChoice
from filbertshelf.coordination.queries import Queries
from filbertshelf.coordination.targets import Targets
from filbertshelf.errors import NoServiceError
from filbertshelf.protocol.bookings import BookingRequest
from filbertshelf.state.outcome import Attempt, Reason, Result
from filbertshelf.state.plan import Plan, ShardRef, choose_policy, make_plan
from filbertshelf.transport.target_link import Call

MAX_ATTEMPTS = 3


class BookingPlanner:
    """Chooses the shard of a booking by policy, labels and body."""

    def __init__(self, queries: Queries):
        self._queries = queries

    def choose_shard(self, request: BookingRequest) -> ShardChoice:
        """Return the shard and its snapshot.

        The same body always maps to the same shard while the shard map is unchanged.
        Raises a subclass of `UserError` if the booking must not run.
        """
        plan = self._make_plan(request)
        shards = [
            ref
            for ref in plan.shards
            if request.service in ("", ref.service) and request.shard in ("", ref.shard)
        ]
        if not shards:
            raise NoServiceError(
                f"shard {request.service}/{request.shard} is not in the plan",
                "correct the labels service and shard, or leave them out",
            )
        ref = max(shards, key=lambda ref: _rendezvous_weight(ref, request))
        return ShardChoice(
            ref.service, ref.shard, ref.index_version, ref.generation, plan.revision
        )

    def replicas(self, request: BookingRequest, choice: ShardChoice) -> tuple[str, ...]:
        """Return the current replicas of the chosen shard."""
        for ref in self._make_plan(request).shards:
            if (ref.service, ref.shard) == (choice.service, choice.shard):
                return ref.replicas
        return ()

    def _make_plan(self, request: BookingRequest) -> Plan:
        publication = self._queries.publication()
        labels = {**request.labels, "caller": request.caller, "kind": "booking"}
        policy = choose_policy(publication, labels).policy
        return make_plan(publication, self._queries.revision, policy)


def _rendezvous_weight(ref: ShardRef, request: BookingRequest) -> bytes:
    """Return the shard's rendezvous hashing weight for the booking's body."""
    text = json.dumps(
        [ref.service, ref.shard, request.body], sort_keys=True, separators=(",", ":")
    )
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class BookingRunner:
    """Sends a booking to a replica, and to another one only if it did not run."""

    def __init__(self, planner: BookingPlanner, targets: Targets):
        self._planner = planner
        self._targets = targets

    async def run_once(
        self,
        request: BookingRequest,
        ticket_id: str,
        choice: ShardChoice,
        deadline: float,
        check: RunCheck,
    ) -> Sequence[Attempt]:
        """Return all attempts; the deadline is in seconds of the monotonic clock."""
        replicas = self._planner.replicas(request, choice)
        attempts: list[Attempt] = []
        tried: set[str] = set()
        while len(attempts) < MAX_ATTEMPTS:
            check()
            replica_choice = self._targets.choose_replica(replicas, tried)
            if replica_choice is None:
                break
            tried.add(replica_choice.target)
            events.emit(
                events.REPLICA_CHOSEN,
                request_id=request.request_id,
                service=choice.service,
                shard=choice.shard,
                target=replica_choice.target,
                attempt=len(tried),
                reason=f"booking: {replica_choice.reason}",
            )
            attempt = await self._send(
                request, ticket_id, choice, replica_choice.target, deadline, check
            )
            attempts.append(attempt)
            if attempt.result is not Result.NOT_RUN:
                return attempts
            check.mark_not_run()
        return attempts or [Attempt("", Result.NOT_RUN, Reason.NO_REPLICA)]

    async def _send(
        self,
        request: BookingRequest,
        ticket_id: str,
        choice: ShardChoice,
        target: str,
        deadline: float,
        check: RunCheck,
    ) -> Attempt:
        attempt_fut: asyncio.Future[Attempt] = (
            asyncio.get_running_loop().create_future()
        )

        def on_done(_call: Call, attempt: Attempt) -> None:
            if not attempt_fut.done():
                attempt_fut.set_result(attempt)

        ref = ShardRef(
            choice.service,
            choice.shard,
            choice.index_version,
            choice.generation,
            (target,),
        )
        call = Call(
            f"{request.request_id}.{target}",
            ref,
            "book",
            json.dumps({"booking": request.body}).encode(),
            deadline,
            on_done,
            check.before_write,
            ticket_id,
        )
        self._targets.submit(target, call)
        return await attempt_fut
