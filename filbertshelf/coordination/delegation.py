"""Delegation of requests to instances that are faster or reach the targets."""

from __future__ import annotations

import itertools
import random
import secrets
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from typing import Any, Protocol

import attrs
import mode

from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutedResult,
    RoutingContext,
)
from filbertshelf.errors import FilbertshelfError
from filbertshelf.protocol.delegation import (
    DelegationAnswer,
    DelegationCancelled,
    DelegationConfirmed,
    DelegationReply,
    DelegationRequest,
)
from filbertshelf.protocol.http_messages import Response
from filbertshelf.state.delegation import (
    Delegates,
    outside_regions,
    substitutes,
)
from filbertshelf.state.members import Address, Member
from filbertshelf.state.routing import Repeat, Route
from filbertshelf.supervision import contained
from filbertshelf.transport.http1.server import Request
from filbertshelf.transport.peers import Sender

REPLY_TIMEOUT_S = 0.1
"""Without a reply within this time a delegate counts as stalled or unreachable."""

AVOID_S = 5.0
"""Seconds for which a delegate that didn't reply is avoided."""

AVOID_REFUSED_S = 0.5
"""Seconds for which an instance that refused the request of one that is cut off is
avoided; it is asked again soon, because a partition may end at any time."""

CUT_OFF_REASON = "the instance reaches no target"

PROVEN_S = 5.0
"""Seconds for which an instance that took a request is preferred as a substitute."""


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
    """Why an instance refuses a delegated request; no part of it ran."""

    reason: str
    cut_off: bool = False
    """Whether the instance reaches no target itself."""


@attrs.frozen
class _ServedRequest:
    """A request that this instance runs for another one."""

    request: RoutedRequest
    max_targets: int
    """How many targets of each service may be asked once the sender confirms."""


ServeRequest = Callable[
    [Request, DelegationRequest, Callable[[RoutedResult], None]],
    RoutedRequest | DelegationRefusal,
]
"""Starts a delegated request, or returns why it is refused."""


class Delegation(mode.Service):
    """Delegates requests to other instances and runs those that they delegate."""

    def __init__(
        self, context: RoutingContext, peers: PeerTransport, rng: random.Random
    ):
        super().__init__()
        self.delegates = Delegates()
        self.own_cost_us = 0
        self.full_mesh = True
        """Whether every instance may hold connections to all targets."""
        self.serve_request: ServeRequest = _refuse_all
        self.own_id = ""
        """The member id of this instance."""
        self.data_centre = ""
        """The data centre of this instance."""
        self.regions: Mapping[str, str] = {}
        """The region of each data centre."""
        self.members: Callable[[], Iterable[Member]] = tuple
        """Returns the known instances, any of which may run a request for this one."""
        self._context = context
        self._peers = peers
        self._rng = rng
        # A process that starts anew on this address must not take its answers.
        self._process_token = secrets.token_hex(8)
        self._keys = itertools.count(1)
        self._avoided_until: dict[str, float] = {}
        self._connecting: set[str] = set()
        self._proven_until: dict[str, float] = {}
        self._pending: dict[str, Callable[[DelegationAnswer], None]] = {}
        self._serving: dict[tuple[Address, str], _ServedRequest] = {}
        peers.register(DelegationRequest, self._on_request)
        peers.register(DelegationConfirmed, self._on_confirmed)
        peers.register(DelegationAnswer, self._on_answer)
        peers.register(DelegationCancelled, self._on_cancelled)

    # Requests of this instance's callers.

    def choose_delegate(self, request: RoutedRequest) -> Member | None:
        """Return the instance that should run the query, or None for this one."""
        return self._choose(self.delegate_candidates(request.route))

    def choose_substitute(self, request: RoutedRequest) -> Member | None:
        """Return an instance to run a request because this one reaches no target."""
        return self._choose(self.substitute_candidates(request.route))

    def _choose(self, candidates: Sequence[Member]) -> Member | None:
        return self._rng.choice(candidates) if candidates else None

    def delegate_candidates(self, route: Route) -> list[Member]:
        """Return the instances of which one runs a query, none if this one does."""
        if self.delegates.includes_self:
            return []
        shards = len(route.gather.shards)
        if (
            self.full_mesh
            and self.delegates.time_saved_s(shards, self.own_cost_us) <= 0
        ):
            return []
        members = self.delegates.local + self.delegates.remote
        avoided = {*self._avoided(), *self._outside_regions(route, members)}
        return self.delegates.candidates(avoided)

    def substitute_candidates(self, route: Route) -> list[Member]:
        """Return the instances of which one runs a request while this one can't."""
        known = [*self.members(), *self.delegates.local, *self.delegates.remote]
        outside = self._outside_regions(route, known)
        avoided = {self.own_id, *self._avoided(), *outside}
        if route.gather is not None and not self.full_mesh:
            delegates = self.delegates.candidates(avoided)
            if delegates:
                return delegates
        now = self._context.clock.monotonic()
        proven = [id_ for id_, until in self._proven_until.items() if until > now]
        members = (member for member in self.members() if member.id != self.own_id)
        return substitutes(members, proven, avoided, self.data_centre)

    def _outside_regions(self, route: Route, members: Iterable[Member]) -> set[str]:
        return outside_regions(
            members, route.allowed_regions, self.regions, self.data_centre
        )

    def _avoided(self) -> list[str]:
        now = self._context.clock.monotonic()
        return [id_ for id_, until in self._avoided_until.items() if until > now]

    def avoid(self, member: Member, seconds: float = AVOID_S) -> None:
        """Delegate nothing to a member for some seconds."""
        # Drops the expired entries, so that their number stays bounded.
        self._avoided_until = {id_: self._avoided_until[id_] for id_ in self._avoided()}
        self._avoided_until[member.id] = self._context.clock.monotonic() + seconds
        self._proven_until.pop(member.id, None)

    def prefer(self, member: Member) -> None:
        """Prefer a member that took a request as a substitute for some seconds."""
        self._proven_until[member.id] = self._context.clock.monotonic() + PROVEN_S

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

    def add_pending(self, on_answer: Callable[[DelegationAnswer], None]) -> str:
        """Register a request that waits for an answer and return its new key."""
        key = f"{self._process_token}.{next(self._keys)}"
        self._pending[key] = on_answer
        return key

    def remove_pending(self, key: str) -> None:
        """Stop waiting for the answer with a key."""
        self._pending.pop(key, None)

    async def send_request(
        self, member: Member, msg: DelegationRequest
    ) -> DelegationReply:
        """Send a request and return the reply; raises `FilbertshelfError`."""
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
        self.add_future(contained(coro, "a task of the delegation"))

    async def _on_answer(self, _sender: Sender, msg: DelegationAnswer) -> None:
        on_answer = self._pending.pop(msg.key, None)
        if on_answer is not None:
            on_answer(msg)

    # Requests of other instances.

    async def _on_request(
        self, sender: Sender, msg: DelegationRequest
    ) -> DelegationReply:
        serving_key = (sender.address, msg.key)
        received_at = self._context.clock.monotonic() - msg.waited_s
        reachability = self._context.targets.reachability
        if msg.needs_contact and not await reachability.confirm():
            return DelegationReply(False, CUT_OFF_REASON, cut_off=True)
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
        request = self.serve_request(req, msg, on_result)
        if isinstance(request, DelegationRefusal):
            return DelegationReply(False, request.reason, request.cut_off)
        # A request that no target can answer has already ended.
        if req.on_disconnect is not None:
            max_targets = targets_left(request.route, msg)
            self._serving[serving_key] = _ServedRequest(request, max_targets)
        return DelegationReply(True)

    async def _on_confirmed(self, sender: Sender, msg: DelegationConfirmed) -> None:
        served = self._serving.get((sender.address, msg.key))
        if served is not None:
            served.request.max_targets = served.max_targets

    async def _on_cancelled(self, sender: Sender, msg: DelegationCancelled) -> None:
        served = self._serving.pop((sender.address, msg.key), None)
        if served is None:
            return
        on_disconnect = served.request.http_request.on_disconnect
        if on_disconnect is not None:
            on_disconnect()

    async def _notify(self, address: Address, msg: Any) -> None:
        try:
            await self._peers.notify(address, msg)
        except FilbertshelfError as exc:
            # An instance that misses the message stops at the deadline of the request.
            self.log.debug("could not notify %s: %s", address, exc)


def targets_left(route: Route, msg: DelegationRequest) -> int:
    """Return how many targets of each service may be sent a delegated request."""
    return min(msg.max_targets or route.max_attempts, route.max_attempts)


def max_targets_of_sender(route: Route, max_targets: int) -> int:
    """Return how many of the targets that are left the delegate leaves to the sender.

    If there is only one, or the request must run only once, the delegate uses them
    all, and the sender can't run the request itself.
    """
    if route.repeat is not Repeat.IDEMPOTENT:
        return 0
    return min(SENDER_TARGETS, max_targets - 1)


def _no_reply(response: Response) -> None:
    """Ignore the response, because the answer is sent in a message."""


def _refuse_all(
    req: Request, msg: DelegationRequest, on_result: Callable[[RoutedResult], None]
) -> DelegationRefusal:
    return DelegationRefusal("the instance takes no requests yet")
