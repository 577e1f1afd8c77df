"""A request of this instance's caller that another instance runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from filbertshelf import events
from filbertshelf.coordination.call_results import NO_TARGET_RETRY_AFTER_S
from filbertshelf.coordination.delegation import (
    AVOID_REFUSED_S,
    Delegation,
    max_targets_of_sender,
)
from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutedResult,
    RoutingContext,
    Timer,
)
from filbertshelf.errors import FilbertshelfError, PeerUnreachableError
from filbertshelf.protocol.delegation import (
    DelegationAnswer,
    DelegationReply,
    DelegationRequest,
)
from filbertshelf.protocol.http_messages import Response
from filbertshelf.protocol.target_responses import error_response
from filbertshelf.state.members import Member

ANSWER_MARGIN_S = 0.02
"""Seconds before the deadline at which the sender stops waiting for the delegate's
answer."""

MAX_DELEGATES_ASKED = 8
"""Instances that are asked to take one request; most may be cut off as well."""


class DelegationListener(Protocol):
    """Receives the end of a delegated request."""

    def on_answer(self, result: RoutedResult) -> None:
        """Handle the result."""

    def on_declined(self) -> None:
        """Handle that no instance is known to have taken the request."""


class DelegatedRequest:
    """Offers a request to other instances until one takes it.

    `choose` returns the next instance to ask. `max_targets` is how many targets of
    each service may still be sent the request. With `sender_cut_off`, this instance
    reaches no target, so any refusal leads to the next instance; otherwise only the
    refusal of one that reaches none either does.
    """

    def __init__(
        self,
        context: RoutingContext,
        delegation: Delegation,
        request: RoutedRequest,
        choose: Callable[[RoutedRequest], Member | None],
        max_targets: int,
        sender_cut_off: bool,
        listener: DelegationListener,
    ):
        self._context = context
        self._delegation = delegation
        self._request = request
        self._choose = choose
        self._max_targets = max_targets
        self._sender_cut_off = sender_cut_off
        self._listener = listener
        self.may_be_running = False
        """Whether an instance that didn't reply may be running the request."""
        self._member: Member | None = None
        self._key = ""
        self._ended = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Offer the request to the first instance."""
        now = self._context.clock.monotonic()
        left = self._request.deadline - now - ANSWER_MARGIN_S
        self._timer = self._context.call_later(max(0.0, left), self._on_deadline)
        self._delegation.start_task(self._delegate())

    async def _delegate(self) -> None:
        for _ in range(MAX_DELEGATES_ASKED):
            member = self._choose(self._request)
            if member is None:
                break
            if not await self._offer(member):
                return
        self._decline()

    async def _offer(self, member: Member) -> bool:
        """Offer the request to an instance; return whether to ask another one."""
        self._member = member
        self._key = self._delegation.add_pending(self._on_answer)
        no_reply = False
        try:
            reply = await self._delegation.send_request(member, self._make_message())
        except FilbertshelfError as exc:
            no_reply = not isinstance(exc, PeerUnreachableError)
            self._delegation.avoid(member)
            reply = DelegationReply(False, str(exc))
        self._log(member, reply)
        if self._ended:
            # The caller may have left before the instance took the request.
            self._delegation.notify_cancelled(member, self._key)
            return False
        if reply.taken:
            self._delegation.prefer(member)
            self._delegation.notify_confirmed(member, self._key)
            return False
        if no_reply:
            return self._give_up_offer(member)
        self._delegation.remove_pending(self._key)
        if reply.cut_off or self._sender_cut_off:
            self._delegation.avoid(member, AVOID_REFUSED_S)
            return True
        self._decline()
        return False

    def _give_up_offer(self, member: Member) -> bool:
        """Handle that no reply came; return whether to ask another instance."""
        self.may_be_running = True
        left_here = max_targets_of_sender(self._request.route, self._max_targets)
        if self._sender_cut_off and not left_here:
            # The instance may be running the request; its answer may still come.
            return False
        self._delegation.remove_pending(self._key)
        self._delegation.notify_cancelled(member, self._key)
        if self._sender_cut_off:
            self._max_targets = left_here
            return True
        self._decline()
        return False

    def _make_message(self) -> DelegationRequest:
        req = self._request.http_request
        return DelegationRequest(
            self._key,
            req.method,
            req.target,
            tuple(req.fields),
            req.body,
            self._context.clock.monotonic() - req.received_at,
            self._request.table.version,
            self._max_targets,
            self._sender_cut_off,
            self._delegation.data_centre,
        )

    def _log(self, member: Member, reply: DelegationReply) -> None:
        events.emit(
            events.QUERY_DELEGATED,
            request_id=self._request.text_id,
            member=member.id,
            taken=reply.taken,
            reason=reply.reason,
        )

    def on_disconnect(self) -> None:
        """Stop and notify the delegate."""
        self._stop()
        if self._member is not None:
            self._delegation.notify_cancelled(self._member, self._key)

    def on_resume(self) -> None:
        """End the request if its deadline passed while the process was paused."""
        if self._context.clock.monotonic() >= self._request.deadline:
            self._on_deadline()

    def on_stop(self) -> None:
        """End the request now, because this instance stops."""
        if self._ended:
            return
        if self._member is None:
            refusal = error_response(503, NO_TARGET_RETRY_AFTER_S)
            self._finish(RoutedResult(refusal, "not run", 0, 0))
            return
        # The member may be running the request.
        self._delegation.notify_cancelled(self._member, self._key)
        self._finish(RoutedResult(error_response(502), "unknown", 0, 0))

    def _on_answer(self, msg: DelegationAnswer) -> None:
        response = Response(msg.status, msg.fields, msg.body)
        self._finish(
            RoutedResult(response, msg.outcome, 0, 0, msg.missing, msg.slowest)
        )

    def _on_deadline(self) -> None:
        if self._ended:
            return
        if self._member is not None:
            self._delegation.avoid(self._member)
            self._delegation.notify_cancelled(self._member, self._key)
        self._finish(RoutedResult(error_response(504), "timed out", 0, 0))

    def _decline(self) -> None:
        if not self._ended:
            self._stop()
            self._listener.on_declined()

    def _finish(self, result: RoutedResult) -> None:
        if not self._ended:
            self._stop()
            self._listener.on_answer(result)

    def _stop(self) -> None:
        self._ended = True
        self._delegation.remove_pending(self._key)
        if self._timer is not None:
            self._timer.cancel()
