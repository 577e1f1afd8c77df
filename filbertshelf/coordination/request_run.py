"""The run of one request, here or at another instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from filbertshelf.coordination.call_results import NO_TARGET_RETRY_AFTER_S
from filbertshelf.coordination.delegated_request import DelegatedRequest
from filbertshelf.coordination.delegation import Delegation, max_targets_of_sender
from filbertshelf.coordination.room import RoomControl
from filbertshelf.coordination.routed_request import (
    RoutedRequest,
    RoutedResult,
    RoutingContext,
)
from filbertshelf.protocol.target_responses import error_response
from filbertshelf.state.members import Member

FAILED_OUTCOMES = ("not run", "unknown")
"""Outcomes without an answer that leave time for another instance."""


class LocalRunner(Protocol):
    """Runs a request with the targets that this instance reaches."""

    def start(self) -> None:
        """Start the request."""

    def on_disconnect(self) -> None:
        """Stop the request, because the caller has disconnected."""

    def on_resume(self) -> None:
        """End the request if its deadline passed while the process was paused."""

    def on_stop(self) -> None:
        """End the request now, because this instance stops."""

    def hand_over(self) -> int | None:
        """Stop and return how many targets of a service may have the request.

        It may have ended without an answer before. Returns None if another instance
        can't take it.
        """


MakeLocalRunner = Callable[[Callable[[RoutedResult], None]], LocalRunner]


class RequestRun:
    """Runs a request here, or delegates it.

    A request is delegated if another instance is faster, or if this one reaches no
    target. In the second case a request that was started here moves to another
    instance, unless its targets may have received it and it must run only once.
    """

    def __init__(
        self,
        context: RoutingContext,
        delegation: Delegation,
        request: RoutedRequest,
        make_local: MakeLocalRunner,
        on_result: Callable[[RoutedResult], None],
        may_delegate: bool = True,
        room: RoomControl | None = None,
    ):
        """Prepare the run; without `may_delegate` it starts here in any case."""
        self._context = context
        self._delegation = delegation
        self._request = request
        self._make_local = make_local
        self._on_result = on_result
        self._room = room
        self._waiting = False
        """Whether the request waits for room on the targets."""
        self._may_delegate = may_delegate
        self._local: LocalRunner | None = None
        self._delegated: DelegatedRequest | None = None
        self._ended = False
        self._moved = False
        self._failed_result: RoutedResult | None = None
        """The result of a failed request that waits for the check of the link."""
        self._stopping = False
        self._may_have_run = False
        """Whether targets that this request has left behind may have run it."""
        self._reachability = context.targets.reachability

    def start(self) -> None:
        """Start the request here, or offer it to another instance."""
        if not self._may_delegate:
            self._start_local()
        elif self._reachability.cut_off:
            self._move(self._request.max_targets)
        elif self._prefers_delegate():
            self._delegate(
                self._delegation.choose_delegate, self._request.max_targets, False
            )
        else:
            self._start_local()

    def on_disconnect(self) -> None:
        """Stop the request, because the caller has disconnected."""
        self._ended = True
        runner = self._local or self._delegated
        if runner is not None:
            runner.on_disconnect()
        # The runner holds this object, so the reference would keep both in a cycle.
        self._local = None
        self._release_room()

    def on_resume(self) -> None:
        """End the request if its deadline passed while the process was paused."""
        now = self._context.clock.monotonic()
        if self._waiting and now >= self._request.deadline:
            self._room.refuse(self._request, "the deadline has passed")
        runner = self._local or self._delegated
        if runner is not None:
            runner.on_resume()

    def on_cut_off(self) -> None:
        """Move the request to another instance, because no target is reached here."""
        has_failed = self._failed_result is not None
        if self._waiting:
            self._release_room()
            self._move(self._request.max_targets)
        elif self._local is not None and not self._ended and not has_failed:
            self._hand_over()

    def on_stop(self) -> None:
        """End the request now, because this instance stops."""
        self._stopping = True
        runner = self._local or self._delegated
        if self._waiting:
            self._room.refuse(self._request, "the instance stops")
        elif self._failed_result is not None:
            self._finish(self._failed_result)
        elif runner is not None:
            runner.on_stop()

    # Running here.

    def _start_local(self) -> None:
        """Start the request here as soon as its targets have room."""
        if self._room is None:
            self._start_runner()
            return
        self._waiting = True
        self._room.acquire(self._request, self._start_runner, self._on_refused)

    def _release_room(self) -> None:
        """Give back the room of a request that doesn't run or wait here any more."""
        self._waiting = False
        if self._room is not None:
            self._room.release(self._request)

    def _on_refused(self, result: RoutedResult) -> None:
        self._waiting = False
        self._finish(result)

    def _start_runner(self) -> None:
        self._waiting = False
        self._local = self._make_local(self._on_local_result)
        self._local.start()

    def _on_local_result(self, result: RoutedResult) -> None:
        """Return the result, unless another instance may still serve the request."""
        try:
            self._return_or_move(result)
        finally:
            self._release_room()

    def _return_or_move(self, result: RoutedResult) -> None:
        may_move = result.outcome in FAILED_OUTCOMES and not self._stopping
        if not may_move or not self._reachability.suspected:
            self._finish(result)
            return
        self._failed_result = result
        self._reachability.check(lambda reachable: self._on_verdict(reachable, result))

    def _on_verdict(self, reachable: bool, result: RoutedResult) -> None:
        """Move the failed request if the link failed, or else return its result."""
        if self._ended:
            return
        if reachable:
            self._finish(result)
        elif result.outcome == "not run":
            # Even a request that must run only once may move.
            self._move(self._request.max_targets)
        elif not self._hand_over():
            self._finish(result)

    def _hand_over(self) -> bool:
        """Move the request if its targets leave an attempt; return whether it moved."""
        asked = self._local.hand_over()
        if asked is None:
            return False
        self._release_room()
        self._may_have_run = self._may_have_run or asked > 0
        self._move(self._request.max_targets - asked)
        return True

    # Running at another instance.

    def _prefers_delegate(self) -> bool:
        if self._request.route.gather is None:
            return False
        return self._delegation.choose_delegate(self._request) is not None

    def _move(self, max_targets: int) -> None:
        self._local = None
        self._failed_result = None
        self._moved = True
        self._delegate(self._delegation.choose_substitute, max_targets, True)

    def _delegate(
        self,
        choose: Callable[[RoutedRequest], Member | None],
        max_targets: int,
        sender_cut_off: bool,
    ) -> None:
        self._delegated = DelegatedRequest(
            self._context,
            self._delegation,
            self._request,
            choose,
            max_targets,
            sender_cut_off,
            self,
        )
        self._delegated.start()

    def on_answer(self, result: RoutedResult) -> None:
        """Return the delegate's answer."""
        self._finish(result)

    def on_declined(self) -> None:
        """Run the request here, or refuse it if no substitute has taken it."""
        if self._delegated.may_be_running:
            self._may_have_run = True
        self._delegated = None
        if self._moved:
            refusal = error_response(503, NO_TARGET_RETRY_AFTER_S)
            self._finish(RoutedResult(refusal, "not run", 0, 0))
        elif self._may_have_run:
            self._start_local_beside_delegate()
        elif self._reachability.cut_off:
            self._move(self._request.max_targets)
        else:
            self._start_local()

    def _start_local_beside_delegate(self) -> None:
        """Run the request with the targets that a silent delegate leaves here."""
        route = self._request.route
        own_targets = max_targets_of_sender(route, route.max_attempts)
        if not own_targets:
            self._finish(RoutedResult(error_response(502), "unknown", 0, 0))
            return
        self._request.max_targets = own_targets
        self._start_local()

    def _finish(self, result: RoutedResult) -> None:
        if self._ended:
            return
        self._ended = True
        # The runner holds this object, so the reference would keep both in a cycle.
        self._local = None
        delegated = self._delegated
        may_have_run = self._may_have_run or (
            delegated is not None and delegated.may_be_running
        )
        if result.outcome == "not run" and may_have_run:
            # Only this part of the run did nothing.
            result = attrs.evolve(
                result, response=error_response(502), outcome="unknown"
            )
        self._on_result(result)
