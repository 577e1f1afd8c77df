"""Keeps the configuration and targets up to date from the platform or from peers."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import mode

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.feed_config import Decoder, FeedConfig
from filbertshelf.coordination.membership import Membership
from filbertshelf.errors import (
    FilbertshelfError,
    HistoryLostError,
    PlatformError,
)
from filbertshelf.gateway_settings import GatewaySettings
from filbertshelf.protocol.feed import (
    UNKNOWN_ERA,
    FeedRequest,
    FeedUpdate,
)
from filbertshelf.state.directory import (
    DirectoryChange,
    TargetChange,
    TargetDirectory,
)
from filbertshelf.state.evacuation import (
    EvacuationChange,
    EvacuationEntry,
    EvacuationSet,
)
from filbertshelf.state.members import Address, Member, Status
from filbertshelf.state.platform_update import PlatformUpdate
from filbertshelf.state.poll_schedule import MAX_RANK, poll_due_at, retry_delay_s
from filbertshelf.state.routing import RouteTable
from filbertshelf.state.update_tree import plan_branches
from filbertshelf.supervision import contained, log_unexpected
from filbertshelf.transport.peers import Peers, Sender

WAIT_CHECK_INTERVAL_S = 0.2
"""Interval at which a waiting instance checks whether to wait on."""

FETCH_TIMEOUT_S = 1.0
"""Timeout for a peer's update, which may be the full content over a narrow link."""

MAX_FORWARDS = 64
"""Maximum number of peers to which an instance forwards an update."""

OUTAGE_THRESHOLD_S = 2.5
"""After an outage of this length the platform's list may lack live targets."""

REMOVAL_DELAY_S = 2.2
"""Time that a target missing after an outage has to return before it is removed."""

MAX_PUSHED_BYTES = 4_096
"""Larger updates are announced, so that they are sent only to peers without them."""


class PlatformSource(Protocol):
    """The interface of the platform's client."""

    async def snapshot(self) -> PlatformUpdate:
        """Return the full content of the platform; raises `PlatformError`."""

    async def changes(self, after: int) -> PlatformUpdate:
        """Return the changes above a revision, possibly none.

        Raises `HistoryLostError` if the platform no longer has the changes, and another
        `PlatformError` if it can't be reached.
        """


@attrs.frozen
class FeedListener:
    """Callbacks for a new configuration, changed targets and evacuated data centres."""

    on_table: Callable[[RouteTable], None]
    on_targets: Callable[[Sequence[TargetChange]], None]
    on_evacuations: Callable[[frozenset[str]], None] = lambda data_centres: None
    """Called with all evacuated data centres, before any target in them is listed."""


class Feed(mode.Service):
    """Keeps the configuration and the list of targets up to date.

    Any instance may poll the platform; one that receives a recent update from a peer
    doesn't need to. Usually the instance with the lowest rank polls and pushes the
    result to the others. If it can't, the next one does.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        clock: Clock,
        rng: random.Random,
        source: PlatformSource,
        decode: Decoder,
        peers: Peers,
        membership: Membership,
        listener: FeedListener,
    ):
        super().__init__()
        self.directory = TargetDirectory()
        self.evacuations = EvacuationSet()
        self._config = FeedConfig(decode, listener.on_table)
        self._name = cfg.instance.name
        self._seeds = cfg.instance.peers
        self._clock = clock
        self._rng = rng
        self._source = source
        self._peers = peers
        self._membership = membership
        self._listener = listener
        self._confirmed_at = -math.inf
        self._evacuations_confirmed_at = -math.inf
        self._platform_answered_at = -math.inf
        self._removals_unsure_until = -math.inf
        self._needs_snapshot = True
        self._restored = False
        self._failures = 0
        self._fetching = False
        self._pushes = 0
        peers.register(FeedUpdate, self._on_update)
        peers.register(FeedRequest, self._on_update_request)

    @property
    def table(self) -> RouteTable | None:
        """Return the routes in force, None before the first configuration."""
        return self._config.table

    @property
    def ready(self) -> bool:
        """Return whether a configuration, the targets and the evacuations are known.

        If only peers of an older build answer, the evacuations can't be known.
        """
        if self.table is None or not self.directory.revision:
            return False
        return self.evacuations.revision > 0 or self._failures > 0

    def age_s(self) -> float:
        """Return the seconds since the platform last confirmed the content."""
        return self._clock.monotonic() - self._confirmed_at

    def refresh(self) -> None:
        """Poll the platform soon, because the known content may be out of date."""
        self._confirmed_at = -math.inf

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Set the peers to ask while no member is known."""
        self._seeds = tuple(seeds)

    # Polling the platform.

    @mode.Service.task
    async def _poll_loop(self) -> None:
        while not self.should_stop:
            wait = self._poll_wait_s()
            if wait > 0:
                # Sleep in short steps, because `refresh` ends the wait.
                await self._clock.sleep(min(wait, WAIT_CHECK_INTERVAL_S))
                continue
            try:
                await self._poll()
            except PlatformError as exc:
                await self._poll_failed(exc)
            except Exception as exc:
                log_unexpected("the poll of the platform", exc)
                await self._poll_failed(PlatformError(f"{type(exc).__name__}"))

    def _poll_wait_s(self) -> float:
        """Return the seconds left to wait for an update from a peer."""
        if self._needs_snapshot:
            return 0.0
        # Updates of an older build confirm no evacuations.
        confirmed_at = min(self._confirmed_at, self._evacuations_confirmed_at)
        due = poll_due_at(confirmed_at, self._rank())
        return due - self._clock.monotonic()

    def _rank(self) -> int:
        """Return how many live instances poll before this one.

        Without any known peer it is `MAX_RANK`.
        """
        if self._membership.member_count() == 1:
            return MAX_RANK
        own = self._name
        alive = (
            member
            for member in self._membership.members()
            if member.status is Status.ALIVE
        )
        return sum(member.id < own for member in alive)

    async def _poll(self) -> None:
        polled_at = self._clock.monotonic()
        if self._needs_snapshot or self._lacks_evacuations():
            update = await self._source.snapshot()
        else:
            # After updates of an older build the evacuations are behind the targets.
            after = min(self.directory.revision, self.evacuations.revision)
            try:
                update = await self._source.changes(after)
            except HistoryLostError:
                events.emit(events.PLATFORM_HISTORY_LOST, revision=after)
                self._needs_snapshot = True
                return
        if self._is_of_later_era(update):
            # Only the whole content tells what was lost.
            self._needs_snapshot = True
            return
        self._check_current(update)
        self._on_platform_answer(polled_at)
        before, era_before = self.directory.revision, self.directory.era
        config_before = self._config.text
        self._apply(update, "platform", self._removals_unsure())
        self._confirmed_at = max(self._confirmed_at, polled_at)
        self._evacuations_confirmed_at = max(self._evacuations_confirmed_at, polled_at)
        # At startup nothing is pushed, because every instance reads the full content.
        if before:
            config = self._config.text
            if config is config_before:
                config = None
            changes = self.directory.changes_since(before, era_before)
            self._push(PlatformUpdate(changes, config), self._removals_unsure())

    def _lacks_evacuations(self) -> bool:
        """Return whether the evacuations of the directory's era are not known."""
        known = self.evacuations
        return not known.revision or known.era != self.directory.era

    def _is_of_later_era(self, update: PlatformUpdate) -> bool:
        """Return whether changes are from after a restore that isn't known yet."""
        change = update.directory
        return change.since > 0 and change.era > self.directory.era

    def _check_current(self, update: PlatformUpdate) -> None:
        """Raise `PlatformError` for a content that is older than the one known."""
        answered = (update.directory.era, update.directory.revision)
        known = (self.directory.era, self.directory.revision)
        if answered < known:
            raise PlatformError(
                f"era and revision {answered} are older than the known {known}"
            )

    def _removals_unsure(self) -> bool:
        """Return whether targets may be missing only because of an outage."""
        return self._clock.monotonic() < self._removals_unsure_until

    def _on_platform_answer(self, now: float) -> None:
        if self._failures:
            events.emit(
                events.PLATFORM_RECOVERED, document="feed", failures=self._failures
            )
        was_outage = now - self._platform_answered_at > OUTAGE_THRESHOLD_S
        if was_outage and self._failures and self.directory.revision:
            self._removals_unsure_until = now + REMOVAL_DELAY_S
        self._platform_answered_at = now
        self._failures = 0

    async def _poll_failed(self, exc: PlatformError) -> None:
        self._failures += 1
        if self._failures == 1:
            events.emit(events.PLATFORM_UNAVAILABLE, reason=f"feed: {exc}")
        if not self.ready:
            await self._fetch_from_any()
        members = self._membership.member_count()
        await self._clock.sleep(retry_delay_s(self._failures, members, self._rng))

    # Updates between peers.

    def _push(self, update: PlatformUpdate, unsure: bool) -> None:
        """Push the update to all, even if it only confirms that nothing changed."""
        msg = self._message(update, unsure)
        if msg.size > MAX_PUSHED_BYTES:
            msg = msg.announcement()
        self._pushes += 1
        branches = plan_branches(self._live_peers(), self._pushes)
        self._notify([b.recipient.address for b in branches if not b.others], msg)
        for branch in branches:
            if branch.others:
                forward_to = tuple(member.address for member in branch.others)
                relayed = attrs.evolve(msg, forward_to=forward_to)
                self._notify([branch.recipient.address], relayed)

    def _live_peers(self) -> list[Member]:
        return [
            member
            for member in self._membership.members()
            if member.status is Status.ALIVE and member.id != self._name
        ]

    def _notify(self, addresses: Sequence[Address], msg: FeedUpdate) -> None:
        # A peer that misses the update polls once its own content is too old.
        if addresses:
            notices = self._peers.notify_all(addresses, msg)
            self.add_future(contained(notices, "an update to peers"))

    async def _on_update(self, sender: Sender, msg: FeedUpdate) -> None:
        msg = attrs.evolve(msg, era=self._era_of(msg))
        if msg.era == self.directory.era:
            # Evacuations must not wait for other content to be fetched.
            changed = self._apply_evacuations(msg.evacuations())
            self._log_evacuations(changed, sender.id)
        if self._must_fetch(msg):
            await self._fetch_from(sender.address)
        else:
            self._accept(msg, sender.id)
        if msg.forward_to and self._holds(msg):
            forwarded = attrs.evolve(msg, forward_to=(), age_s=self.age_s())
            self._notify(msg.forward_to[:MAX_FORWARDS], forwarded)

    def _era_of(self, msg: FeedUpdate | FeedRequest) -> int:
        """Return the era of a message; an older build sends none.

        It doesn't notice a restore, so after one its content can't be told from older
        content and counts as that.
        """
        if msg.era == UNKNOWN_ERA and not self._restored:
            return self.directory.era
        return msg.era

    def _must_fetch(self, msg: FeedUpdate) -> bool:
        """Return whether the message lacks content that its sender holds."""
        if not msg.config and msg.held_config.is_newer_than(self._config.held):
            return True
        if msg.era == self.directory.era:
            return msg.since > self.directory.revision
        return msg.era > self.directory.era and msg.since > 0

    def _accept(self, msg: FeedUpdate, source: str) -> None:
        """Apply the content of a message and the time of its confirmation."""
        update = msg.update()
        if not msg.held_config.is_newer_than(self._config.held):
            update = attrs.evolve(update, config=None)
        self._apply(update, source, msg.unsure)
        # A sender that doesn't know of a restore confirms an outdated content.
        if msg.era == self.directory.era:
            at = self._clock.monotonic() - msg.age_s
            self._confirmed_at = max(self._confirmed_at, at)
            if msg.evacuated_at:
                self._evacuations_confirmed_at = max(self._evacuations_confirmed_at, at)

    def _holds(self, msg: FeedUpdate) -> bool:
        """Return whether a receiver of the message could fetch its content here."""
        if msg.held_config.is_newer_than(self._config.held):
            return False
        known = (self.directory.era, self.directory.revision)
        return known >= (msg.era, msg.revision)

    async def _on_update_request(
        self, sender: Sender, msg: FeedRequest
    ) -> FeedUpdate | None:
        if not self.ready:
            return None
        config = self._config.text
        if not self._config.held.is_newer_than(msg.held_config):
            config = None
        changes = self.directory.changes_since(msg.revision, self._era_of(msg))
        return self._message(PlatformUpdate(changes, config), self._removals_unsure())

    def _message(self, update: PlatformUpdate, unsure: bool) -> FeedUpdate:
        update = attrs.evolve(update, evacuations=self.evacuations.whole())
        return FeedUpdate.of(update, self._config.held, self.age_s(), unsure)

    async def _fetch_from_any(self) -> None:
        """Fetch from a random member and from one of the addresses in the settings."""
        addresses = [member.address for member in self._membership.random_peers(1)]
        seeds = [seed for seed in self._seeds if seed != self._peers.address]
        if seeds:
            addresses.append(self._rng.choice(seeds))
        for address in addresses:
            await self._fetch_from(address)

    async def _fetch_from(self, address: Address) -> None:
        """Fetch the missing content, from one peer at a time.

        A reply may hold the full content; several of them would fill a narrow link.
        """
        if self._fetching:
            return
        self._fetching = True
        try:
            await self._request_update(address)
        finally:
            self._fetching = False

    async def _request_update(self, address: Address) -> None:
        held = self._config.held
        request = FeedRequest(
            self.directory.revision, held.revision, self.directory.era, held.version
        )
        try:
            reply = await self._peers.request(address, request, FETCH_TIMEOUT_S)
            if isinstance(reply, FeedUpdate):
                reply = attrs.evolve(reply, era=self._era_of(reply))
                self._accept(reply, f"{address[0]}:{address[1]}")
        except FilbertshelfError as exc:
            self.log.debug("%s did not answer: %s", address, exc)

    # Applying updates.

    def _apply(self, update: PlatformUpdate, source: str, unsure: bool) -> None:
        change = update.directory
        changed: list[EvacuationEntry] = []
        # Content of a later era counts only as a whole.
        if self.directory.is_contiguous(change) or change.era == self.directory.era:
            # No target may be used that is listed in an evacuated data centre.
            changed = self._apply_evacuations(update.evacuations)
        self._apply_content(update, source, unsure)
        self._log_evacuations(changed, source)

    def _apply_evacuations(
        self, change: EvacuationChange | None
    ) -> list[EvacuationEntry]:
        """Apply a change and return the evacuations that began or ended by it."""
        changed = [] if change is None else self.evacuations.apply(change)
        if changed:
            self._listener.on_evacuations(self.evacuations.data_centres)
        return changed

    def _log_evacuations(self, changed: Sequence[EvacuationEntry], source: str) -> None:
        for entry in changed:
            began, ended = events.DATA_CENTRE_EVACUATED, events.EVACUATION_ENDED
            targets = self.directory.targets().values()
            events.emit(
                began if entry.active else ended,
                data_centre=entry.data_centre,
                revision=entry.revision,
                source=source,
                targets=sum(t.data_centre == entry.data_centre for t in targets),
            )

    def _apply_content(self, update: PlatformUpdate, source: str, unsure: bool) -> None:
        if update.config is not None:
            self._config.apply(update.config, source)
        if self.directory.is_contiguous(update.directory):
            self._needs_snapshot = False
            if self.directory.revision and update.directory.era > self.directory.era:
                self._on_restored(update.directory, source)
        changes = self.directory.apply(update.directory)
        if not changes:
            return
        removed = [change for change in changes if change.target is None]
        if removed and (unsure or self._removals_unsure()):
            kept = [change for change in changes if change.target is not None]
            removal = self._remove_later(removed)
            self.add_future(contained(removal, "a delayed removal of targets"))
            self._listener.on_targets(kept)
        else:
            self._listener.on_targets(changes)

    def _on_restored(self, change: DirectoryChange, source: str) -> None:
        """Note that the platform came back from a copy that may lack live targets."""
        self._restored = True
        self._removals_unsure_until = self._clock.monotonic() + REMOVAL_DELAY_S
        events.emit(
            events.PLATFORM_RESTORED,
            before=self.directory.era,
            era=change.era,
            revision=change.revision,
            held=self.directory.revision,
            source=source,
        )

    async def _remove_later(self, removed: Sequence[TargetChange]) -> None:
        """After an outage, remove targets still missing after `REMOVAL_DELAY_S`."""
        await self._clock.sleep(REMOVAL_DELAY_S)
        listed = self.directory.targets()
        still_missing = [change for change in removed if change.id not in listed]
        self._listener.on_targets(still_missing)
