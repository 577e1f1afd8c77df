"""Queries that another instance runs, because it is faster and holds connections."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import attrs
import mode

from filbertshelf import events
from filbertshelf.coordination.gather import Gather
from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutedResult,
    RoutingContext,
    Timer,
)
from filbertshelf.errors import FilbertshelfError, PeerUnreachableError
from filbertshelf.protocol.delegation import (
    DelegationAnswer,
    DelegationCancelled,
    DelegationConfirmed,
    DelegationReply,
    DelegationRequest,
)
from filbertshelf.protocol.http_messages import Response
from filbertshelf.protocol.target_responses import error_response
from filbertshelf.state.delegation import Delegates
from filbertshelf.state.members import Address, Member
from filbertshelf.state.routing import Route
from filbertshelf.transport.http1.server import Request
from filbertshelf.transport.peers import Sender

REPLY_TIMEOUT_S = 0.1
"""A delegate that doesn't reply in this time stands still or is cut off."""

AVOID_S = 5.0
"""How long a delegate that didn't reply is avoided."""

ANSWER_MARGIN_S = 0.02
"""The time before the deadline at which a delegate's answer is given up."""


class PeerCalls(Protocol):
    """What is needed of the connections to other instances."""

    def register(self, message_class: type, handler: Callable[..., Any]) -> None:
        """Set the handler of a message class."""

    async def request(self, address: Address, msg: Any, timeout: float) -> Any:
        """Return the reply; raises `FilbertshelfError`."""

    async def notify(self, address: Address, msg: Any) -> None:
        """Send a message without a reply; raises `FilbertshelfError`."""


HOP_RETURN_S = 0.008
"""The time that an answer takes back to the sender, which may be a slow machine."""

SENDER_TARGETS = 1
"""Targets of each shard that a sender may ask by itself if no reply comes in time."""


@attrs.frozen
class NotTaken:
    """Why an instance does not run a query for another; nothing of it ran."""

    reason: str


Serve = Callable[
    [Request, int, Callable[[RoutedResult], None]], RoutedRequest | NotTaken
]
"""Starts a delegated request without hedges; `held_back` of the result allows them."""


class Delegation(mode.Service):
    """Passes queries on to delegates, and runs those of others."""

    def __init__(self, tools: RoutingContext, peers: PeerCalls, rng: random.Random):
        super().__init__()
        self.delegates = Delegates()
        self.own_cost_us = 0
        self.mesh = True
        """Whether each instance may hold connections to all targets."""
        self.serve: Serve = _refuse_all
        self._tools = tools
        self._peers = peers
        self._rng = rng
        self._keys = itertools.count(1)
        self._avoided: dict[str, float] = {}
        self._waiting: dict[str, DelegatedGather] = {}
        self._serving: dict[tuple[Address, str], RoutedRequest] = {}
        peers.register(DelegationRequest, self._on_delegated)
        peers.register(DelegationConfirmed, self._on_confirmed)
        peers.register(DelegationAnswer, self._on_answer)
        peers.register(DelegationCancelled, self._on_ended)

    # For requests of own callers.

    def choose(self, job: RoutedRequest) -> Member | None:
        """Return who should run the query instead of this instance, if anyone."""
        if self.delegates.includes_self:
            return None
        shards = len(job.route.gather.shards)
        if self.mesh and self.delegates.time_saved_s(shards, self.own_cost_us) <= 0:
            return None
        now = self._tools.clock.monotonic()
        self._avoided = {k: v for k, v in self._avoided.items() if v > now}
        return self.delegates.pick(self._rng, self._avoided)

    def avoid(self, member: Member) -> None:
        """Pass nothing on to a member for some time."""
        self._avoided[member.id] = self._tools.clock.monotonic() + AVOID_S

    def next_key(self, gather: DelegatedGather) -> str:
        """Return a new key, under which the answer is awaited."""
        key = str(next(self._keys))
        self._waiting[key] = gather
        return key

    def forget(self, key: str) -> None:
        """Don't wait for an answer any more."""
        self._waiting.pop(key, None)

    async def ask(self, member: Member, msg: DelegationRequest) -> DelegationReply:
        """Return whether the member took the query; raises `FilbertshelfError`."""
        reply = await self._peers.request(member.address, msg, REPLY_TIMEOUT_S)
        if isinstance(reply, DelegationReply):
            return reply
        return DelegationReply(False, f"the reply is {type(reply).__name__}")

    def tell_confirmed(self, member: Member, key: str) -> None:
        """Tell a delegate that its reply came in time."""
        self.start_task(self._notify(member.address, DelegationConfirmed(key)))

    def tell_ended(self, member: Member, key: str) -> None:
        """Tell a delegate that nobody waits any more."""
        self.start_task(self._notify(member.address, DelegationCancelled(key)))

    def start_task(self, coro: Coroutine[Any, Any, None]) -> None:
        """Run something that the service waits for at its stop."""
        self.add_future(coro)

    async def _on_answer(self, _sender: Sender, msg: DelegationAnswer) -> None:
        gather = self._waiting.pop(msg.key, None)
        if gather is not None:
            gather.answered(msg)

    # For requests of other instances.

    async def _on_delegated(
        self, sender: Sender, msg: DelegationRequest
    ) -> DelegationReply:
        place = (sender.address, msg.key)
        received = self._tools.clock.monotonic() - msg.waited_s
        fields = [(name, value) for name, value in msg.fields]
        req = Request(
            msg.method, msg.target, fields, msg.body, received, True, _no_reply
        )

        def done(ending: RoutedResult) -> None:
            self._serving.pop(place, None)
            answer = DelegationAnswer(
                msg.key,
                ending.response.status,
                ending.response.fields,
                ending.response.body,
                ending.outcome,
                ending.missing,
                ending.slowest,
            )
            self.start_task(self._notify(sender.address, answer))

        job = self.serve(req, msg.version, done)
        if isinstance(job, NotTaken):
            return DelegationReply(False, job.reason)
        # A query that no target can answer has ended by now.
        if req.on_disconnect is not None:
            self._serving[place] = job
        return DelegationReply(True)

    async def _on_confirmed(self, sender: Sender, msg: DelegationConfirmed) -> None:
        job = self._serving.get((sender.address, msg.key))
        if job is not None:
            job.held_back = 0

    async def _on_ended(self, sender: Sender, msg: DelegationCancelled) -> None:
        job = self._serving.pop((sender.address, msg.key), None)
        if job is not None and job.req.on_disconnect is not None:
            job.req.on_disconnect()

    async def _notify(self, address: Address, msg: Any) -> None:
        try:
            await self._peers.notify(address, msg)
        except FilbertshelfError as exc:
            # The other side stops waiting at the deadline of the request.
            self.log.debug("%s was not told: %s", address, exc)


class DelegatedGather:
    """A query that a delegate runs, or this instance if it isn't taken."""

    def __init__(
        self,
        tools: RoutingContext,
        job: RoutedRequest,
        done: Callable[[RoutedResult], None],
        delegation: Delegation,
        member: Member,
    ):
        self._tools = tools
        self._job = job
        self._done = done
        self._delegation = delegation
        self._member = member
        self._key = delegation.next_key(self)
        self._own: Gather | None = None
        self._ended = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Pass the query on."""
        left = self._job.deadline - self._tools.clock.monotonic() - ANSWER_MARGIN_S
        self._timer = self._tools.call_later(max(0.0, left), self._timed_out)
        self._delegation.start_task(self._pass_on())

    async def _pass_on(self) -> None:
        req = self._job.req
        msg = DelegationRequest(
            self._key,
            req.method,
            req.target,
            tuple(req.fields),
            req.body,
            self._tools.clock.monotonic() - req.received_at,
            self._job.table.version,
        )
        unknown = False
        try:
            reply = await self._delegation.ask(self._member, msg)
        except FilbertshelfError as exc:
            unknown = not isinstance(exc, PeerUnreachableError)
            self._delegation.avoid(self._member)
            self._delegation.tell_ended(self._member, self._key)
            reply = DelegationReply(False, str(exc))
        events.emit(
            events.QUERY_DELEGATED,
            request_id=self._job.text_id,
            member=self._member.id,
            taken=reply.taken,
            reason=reply.reason,
        )
        if not reply.taken:
            self._run_here(unknown)
        elif not self._ended:
            self._delegation.tell_confirmed(self._member, self._key)

    def _run_here(self, unknown: bool) -> None:
        """Run the query without the delegate; `unknown` says that it may run there.

        Then this instance asks the targets that the delegate leaves to it.
        """
        self._delegation.forget(self._key)
        if self._ended:
            return
        if unknown:
            left = max_targets_of_sender(self._job.route)
            if not left:
                self._finish(RoutedResult(error_response(502), "unknown", 0, 0))
                return
            self._job.held_back = self._job.route.max_attempts - left
        self._timer.cancel()
        self._own = Gather(self._tools, self._job, self._done)
        self._own.start()

    def answered(self, msg: DelegationAnswer) -> None:
        """Pass the delegate's answer back."""
        response = Response(msg.status, msg.fields, msg.body)
        self._finish(
            RoutedResult(response, msg.outcome, 0, 0, msg.missing, msg.slowest)
        )

    def caller_left(self) -> None:
        """Tell the delegate that nobody waits."""
        self._end()
        if self._own is not None:
            self._own.caller_left()
        else:
            self._delegation.tell_ended(self._member, self._key)

    def resumed(self) -> None:
        """End the request if its time passed while the process did not run."""
        if self._own is not None:
            self._own.resumed()
        elif self._tools.clock.monotonic() >= self._job.deadline:
            self._timed_out()

    def _timed_out(self) -> None:
        if not self._ended:
            self._delegation.avoid(self._member)
            self._delegation.tell_ended(self._member, self._key)
            self._finish(RoutedResult(error_response(504), "timed out", 0, 0))

    def _finish(self, ending: RoutedResult) -> None:
        if not self._ended:
            self._end()
            self._done(ending)

    def _end(self) -> None:
        self._ended = True
        self._delegation.forget(self._key)
        if self._timer is not None:
            self._timer.cancel()


def max_targets_of_sender(route: Route) -> int:
    """Return how many targets of a shard the delegate leaves to the sender.

    A single one is the delegate's: the sender then can't run the query by itself.
    """
    return min(SENDER_TARGETS, route.max_attempts - 1)


def _no_reply(response: Response) -> None:
    """Ignore a response that goes back in a message."""


def _refuse_all(
    req: Request, version: int, done: Callable[[RoutedResult], None]
) -> NotTaken:
    return NotTaken("the instance takes no queries yet")
