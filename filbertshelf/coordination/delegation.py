"""Delegation of queries to instances that are faster and keep connections open."""

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
"""Without a reply within this time a delegate counts as stalled or unreachable."""

AVOID_S = 5.0
"""Seconds for which a delegate that didn't reply is avoided."""

ANSWER_MARGIN_S = 0.02
"""Seconds before the deadline at which the sender stops waiting for the delegate's
answer."""


class PeerTransport(Protocol):
    """The part of the peer transport that `Delegation` uses."""

    def register(self, message_class: type, handler: Callable[..., Any]) -> None:
        """Set the handler of a message class."""

    async def request(self, address: Address, msg: Any, timeout: float) -> Any:
        """Return the reply; raises `FilbertshelfError`."""

    async def notify(self, address: Address, msg: Any) -> None:
        """Send a message without a reply; raises `FilbertshelfError`."""

    async def open(self, address: Address) -> None:
        """Open a connection unless one is open; raises `FilbertshelfError`."""


HOP_RETURN_MARGIN_S = 0.008
"""Time for an answer to return to the sender, which may be a slow machine."""

SENDER_TARGETS = 1
"""Targets of each shard that are left to the sender in case no reply comes in time."""


@attrs.frozen
class DelegationRefusal:
    """Why an instance refuses a delegated query; no part of it ran."""

    reason: str


ServeQuery = Callable[
    [Request, int, Callable[[RoutedResult], None]], RoutedRequest | DelegationRefusal
]
"""Starts a delegated request without hedges, or returns why it is refused. Setting
`withheld_targets` of the request to 0 allows hedges."""


class Delegation(mode.Service):
    """Delegates queries to other instances and runs the queries that they delegate."""

    def __init__(
        self, context: RoutingContext, peers: PeerTransport, rng: random.Random
    ):
        super().__init__()
        self.delegates = Delegates()
        self.own_cost_us = 0
        self.full_mesh = True
        """Whether every instance may hold connections to all targets."""
        self.serve_query: ServeQuery = _refuse_all
        self._context = context
        self._peers = peers
        self._rng = rng
        self._keys = itertools.count(1)
        self._avoided_until: dict[str, float] = {}
        self._connecting: set[str] = set()
        self._pending: dict[str, DelegatedGather] = {}
        self._serving: dict[tuple[Address, str], RoutedRequest] = {}
        peers.register(DelegationRequest, self._on_request)
        peers.register(DelegationConfirmed, self._on_confirmed)
        peers.register(DelegationAnswer, self._on_answer)
        peers.register(DelegationCancelled, self._on_cancelled)

    # Requests of this instance's callers.

    def choose_delegate(self, request: RoutedRequest) -> Member | None:
        """Return the instance that should run the query, or None for this one."""
        if self.delegates.includes_self:
            return None
        shards = len(request.route.gather.shards)
        if (
            self.full_mesh
            and self.delegates.time_saved_s(shards, self.own_cost_us) <= 0
        ):
            return None
        now = self._context.clock.monotonic()
        self._avoided_until = {
            id_: until for id_, until in self._avoided_until.items() if until > now
        }
        return self.delegates.pick(self._rng, self._avoided_until)

    def avoid(self, member: Member) -> None:
        """Delegate nothing to a member for `AVOID_S` seconds."""
        self._avoided_until[member.id] = self._context.clock.monotonic() + AVOID_S

    def keep_connected(self) -> None:
        """Open the missing connections to the preferred delegates."""
        if self.full_mesh or self.delegates.includes_self:
            return
        for member in self.delegates.preferred:
            if member.id not in self._connecting:
                self.start_task(self._connect(member.id, member.address))

    async def _connect(self, id_: str, address: Address) -> None:
        """Open a connection to an instance before a message to it is sent."""
        self._connecting.add(id_)
        try:
            await self._peers.open(address)
        except FilbertshelfError as exc:
            # The message itself tries again.
            self.log.debug("could not connect to %s: %s", id_, exc)
        finally:
            self._connecting.discard(id_)

    def add_pending(self, gather: DelegatedGather) -> str:
        """Register a query that waits for an answer and return its new key."""
        key = str(next(self._keys))
        self._pending[key] = gather
        return key

    def remove_pending(self, key: str) -> None:
        """Stop waiting for the answer with a key."""
        self._pending.pop(key, None)

    async def send_query(
        self, member: Member, msg: DelegationRequest
    ) -> DelegationReply:
        """Send a query and return the reply; raises `FilbertshelfError`."""
        reply = await self._peers.request(member.address, msg, REPLY_TIMEOUT_S)
        if isinstance(reply, DelegationReply):
            return reply
        return DelegationReply(False, f"the reply is {type(reply).__name__}")

    def notify_confirmed(self, member: Member, key: str) -> None:
        """Notify a delegate that its reply came in time."""
        self.start_task(self._notify(member.address, DelegationConfirmed(key)))

    def notify_cancelled(self, member: Member, key: str) -> None:
        """Notify a delegate that its answer is no longer needed."""
        self.start_task(self._notify(member.address, DelegationCancelled(key)))

    def start_task(self, coro: Coroutine[Any, Any, None]) -> None:
        """Start a task for which the service waits when it stops."""
        self.add_future(coro)

    async def _on_answer(self, _sender: Sender, msg: DelegationAnswer) -> None:
        gather = self._pending.pop(msg.key, None)
        if gather is not None:
            gather.on_answer(msg)

    # Requests of other instances.

    async def _on_request(
        self, sender: Sender, msg: DelegationRequest
    ) -> DelegationReply:
        serving_key = (sender.address, msg.key)
        received_at = self._context.clock.monotonic() - msg.waited_s
        fields = [(name, value) for name, value in msg.fields]
        req = Request(
            msg.method, msg.target, fields, msg.body, received_at, True, _no_reply
        )

        def on_result(result: RoutedResult) -> None:
            self._serving.pop(serving_key, None)
            answer = DelegationAnswer(
                msg.key,
                result.response.status,
                result.response.fields,
                result.response.body,
                result.outcome,
                result.missing,
                result.slowest,
            )
            self.start_task(self._notify(sender.address, answer))

        # The answer goes over a connection of its own, which is opened while the query
        # runs.
        self.start_task(self._connect(sender.id, sender.address))
        request = self.serve_query(req, msg.version, on_result)
        if isinstance(request, DelegationRefusal):
            return DelegationReply(False, request.reason)
        # A query that no target can answer has already ended.
        if req.on_disconnect is not None:
            self._serving[serving_key] = request
        return DelegationReply(True)

    async def _on_confirmed(self, sender: Sender, msg: DelegationConfirmed) -> None:
        request = self._serving.get((sender.address, msg.key))
        if request is not None:
            request.withheld_targets = 0

    async def _on_cancelled(self, sender: Sender, msg: DelegationCancelled) -> None:
        request = self._serving.pop((sender.address, msg.key), None)
        if request is not None and request.http_request.on_disconnect is not None:
            request.http_request.on_disconnect()

    async def _notify(self, address: Address, msg: Any) -> None:
        try:
            await self._peers.notify(address, msg)
        except FilbertshelfError as exc:
            # An instance that misses the message stops at the deadline of the request.
            self.log.debug("could not notify %s: %s", address, exc)


class DelegatedGather:
    """A query that a delegate runs.

    This instance runs it if the delegate refuses or doesn't reply.
    """

    def __init__(
        self,
        context: RoutingContext,
        request: RoutedRequest,
        on_result: Callable[[RoutedResult], None],
        delegation: Delegation,
        member: Member,
    ):
        self._context = context
        self._request = request
        self._on_result = on_result
        self._delegation = delegation
        self._member = member
        self._key = delegation.add_pending(self)
        self._local_gather: Gather | None = None
        self._ended = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Send the query to the delegate."""
        left = (
            self._request.deadline - self._context.clock.monotonic() - ANSWER_MARGIN_S
        )
        self._timer = self._context.call_later(max(0.0, left), self._on_deadline)
        self._delegation.start_task(self._delegate())

    async def _delegate(self) -> None:
        req = self._request.http_request
        msg = DelegationRequest(
            self._key,
            req.method,
            req.target,
            tuple(req.fields),
            req.body,
            self._context.clock.monotonic() - req.received_at,
            self._request.table.version,
        )
        may_be_running = False
        try:
            reply = await self._delegation.send_query(self._member, msg)
        except FilbertshelfError as exc:
            may_be_running = not isinstance(exc, PeerUnreachableError)
            self._delegation.avoid(self._member)
            self._delegation.notify_cancelled(self._member, self._key)
            reply = DelegationReply(False, str(exc))
        events.emit(
            events.QUERY_DELEGATED,
            request_id=self._request.text_id,
            member=self._member.id,
            taken=reply.taken,
            reason=reply.reason,
        )
        if not reply.taken:
            self._run_locally(may_be_running)
        elif not self._ended:
            self._delegation.notify_confirmed(self._member, self._key)

    def _run_locally(self, may_be_running: bool) -> None:
        """Run the query without the delegate.

        If `may_be_running` is set, the delegate may be running it too, and this
        instance asks only the targets that the delegate leaves to it.
        """
        self._delegation.remove_pending(self._key)
        if self._ended:
            return
        if may_be_running:
            own_targets = max_targets_of_sender(self._request.route)
            if not own_targets:
                self._finish(RoutedResult(error_response(502), "unknown", 0, 0))
                return
            self._request.withheld_targets = (
                self._request.route.max_attempts - own_targets
            )
        self._timer.cancel()
        self._local_gather = Gather(self._context, self._request, self._on_result)
        self._local_gather.start()

    def on_answer(self, msg: DelegationAnswer) -> None:
        """Return the delegate's answer to the caller."""
        response = Response(msg.status, msg.fields, msg.body)
        self._finish(
            RoutedResult(response, msg.outcome, 0, 0, msg.missing, msg.slowest)
        )

    def on_disconnect(self) -> None:
        """Stop the request and notify the delegate."""
        self._stop()
        if self._local_gather is not None:
            self._local_gather.on_disconnect()
        else:
            self._delegation.notify_cancelled(self._member, self._key)

    def on_resume(self) -> None:
        """End the request if its deadline passed while the process was paused."""
        if self._local_gather is not None:
            self._local_gather.on_resume()
        elif self._context.clock.monotonic() >= self._request.deadline:
            self._on_deadline()

    def _on_deadline(self) -> None:
        if not self._ended:
            self._delegation.avoid(self._member)
            self._delegation.notify_cancelled(self._member, self._key)
            self._finish(RoutedResult(error_response(504), "timed out", 0, 0))

    def _finish(self, result: RoutedResult) -> None:
        if not self._ended:
            self._stop()
            self._on_result(result)

    def _stop(self) -> None:
        self._ended = True
        self._delegation.remove_pending(self._key)
        if self._timer is not None:
            self._timer.cancel()


def max_targets_of_sender(route: Route) -> int:
    """Return how many targets of a shard the delegate leaves to the sender.

    If the route allows only one, the delegate uses it, and the sender can't run the
    query itself.
    """
    return min(SENDER_TARGETS, route.max_attempts - 1)


def _no_reply(response: Response) -> None:
    """Ignore the response, because the answer is sent in a message."""


def _refuse_all(
    req: Request, version: int, on_result: Callable[[RoutedResult], None]
) -> DelegationRefusal:
    return DelegationRefusal("the instance takes no queries yet")
