"""Owns the documents: platform watch, spread between instances and readiness."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any, Protocol

import attrs
import mode

from filbertshelf import events
from filbertshelf.addresses import Address, parse_address
from filbertshelf.clock import Clock
from filbertshelf.coordination.document_store import DocumentStore, UpdateResult
from filbertshelf.coordination.platform_watch import (
    FIRST_RETRY_S,
    HIGHEST_RETRY_S,
    PlatformReader,
    PlatformWatch,
    WatchOwner,
)
from filbertshelf.errors import (
    FilbertshelfError,
    PlatformError,
    ProtocolError,
)
from filbertshelf.protocol.configuration import (
    DocumentChange,
    DocumentFetch,
    DocumentOffer,
    DocumentUnchanged,
    VersionsReply,
    VersionsRequest,
    pack_versions,
    unpack_versions,
)
from filbertshelf.protocol.platform import (
    CONFIG,
    DOCUMENTS,
    INSTANCES,
    PlatformDocument,
    Row,
    RowKind,
    RowState,
)
from filbertshelf.settings import Settings
from filbertshelf.state.backoff import Backoff
from filbertshelf.state.documents import Version
from filbertshelf.state.members import ListedInstance, Member, Status
from filbertshelf.state.publication import Publication
from filbertshelf.state.readiness import Readiness
from filbertshelf.state.watchers import choose_watchers

# An offer reaches most of any fleet in O(log n) hops; the versions in the membership
# probes reach the rest.
OFFERED_PEERS = 3
ASKED_PEERS = 3
# While not ready, peers are asked this often.
ASK_PERIOD_S = 0.5
ASK_TIMEOUT_S = 1.0
# A whole document of 1 MB between regions takes well under a second.
FETCH_TIMEOUT_S = 2.0
# After a pause the peers are asked first, so that a paused rack doesn't read the
# platform all at once.
RESUMED_READ_DELAY_S = 0.5
# Offers of one document that wait for the fetch before them. Further ones are
# dropped, because the next probes repeat them.
MAX_WAITING_OFFERS = 32


class Sender(Protocol):
    """Who sent a message."""

    id: str
    address: Address


class PeerCalls(Protocol):
    """What is needed of the connections to other instances."""

    def register(
        self, message_class: type, handler: Callable[[Any, Any], Awaitable[Any]]
    ) -> None:
        """Set the handler of a message class."""

    async def request(self, address: Address, msg: Any, timeout: float) -> Any:
        """Return the reply; raises `FilbertshelfError`."""

    async def notify(self, address: Address, msg: Any) -> None:
        """Send a message without a reply; raises `FilbertshelfError`."""


class MembershipView(Protocol):
    """What is needed of the membership; its probes carry `payload`."""

    payload: Callable[[], dict[str, Any]]
    on_payload: Callable[[Member, dict[str, Any]], None]

    def members(self) -> Iterable[Member]:
        """Return the members that are not dead, this instance included."""

    def random_peers(self, count: int) -> Iterable[Member]:
        """Return up to `count` other live members."""

    def merge_instance_list(self, rows: Iterable[ListedInstance]) -> None:
        """Take the platform's current instance list."""


Subscriber = Callable[[str], None]


@attrs.frozen
class _Source:
    """A peer that holds a version."""

    address: Address
    version: Version


class Configuration(mode.Service):
    """The configuration and the instance list that are in force at this instance.

    Versions only go up. A content is checked before it is taken, and only what was
    taken is offered to others.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        client: PlatformReader,
        peers: PeerCalls,
        membership: MembershipView,
        rng: random.Random,
        **kwargs: Any,
    ):
        super().__init__(**kwargs)
        self.store = DocumentStore()
        self.readiness = Readiness(CONFIG, DOCUMENTS, cfg.start_grace, clock)
        self._cfg = cfg
        self._clock = clock
        self._peers = peers
        self._membership = membership
        self._rng = rng
        self._subscribers: list[Subscriber] = []
        self._watching = False
        self._unconfirmed = asyncio.Event()
        self._unconfirmed.set()
        self._offers: dict[str, asyncio.Queue[_Source]] = {
            name: asyncio.Queue(MAX_WAITING_OFFERS) for name in DOCUMENTS
        }
        owner = WatchOwner(
            self._is_watcher,
            lambda: self.readiness.epoch,
            lambda document: self.store.version(document).revision,
            self._platform_answered,
        )
        self._watches = {
            name: PlatformWatch(name, client, owner, clock, rng, cfg.watch_wait)
            for name in DOCUMENTS
        }
        peers.register(DocumentOffer, self._on_offer)
        peers.register(DocumentFetch, self._on_fetch)
        peers.register(VersionsRequest, self._on_ask)
        membership.payload = self.probe_payload
        membership.on_payload = self.take_probe_payload

    @property
    def publication(self) -> Publication | None:
        """Return the publication in force, None before the first."""
        return self.store.publication

    @property
    def version(self) -> Version:
        """Return the version of the publication in force."""
        return self.store.version(CONFIG)

    @property
    def ready(self) -> bool:
        """Return whether the configuration is confirmed."""
        return self.readiness.ready

    @property
    def watching(self) -> bool:
        """Return whether this instance watches the platform."""
        return self._watching

    def instances(self) -> Mapping[str, Row]:
        """Return the rows of the instance list, targets included, by name."""
        return self.store.rows

    def subscribe(self, callback: Subscriber) -> None:
        """Call `callback` with a document's name after each accepted version."""
        self._subscribers.append(callback)

    def require_confirmation(self) -> None:
        """Stop being ready until a peer or the platform answers a new question.

        To be called before anything is sent when the process did not run for a while.
        """
        events.emit(events.CONFIG_UNCONFIRMED, config=str(self.version))
        self.readiness.require_confirmation()
        self._unconfirmed.set()

    def probe_payload(self) -> dict[str, list[Any]]:
        """Return the held versions for the membership probes."""
        return pack_versions(self.store.versions())

    def take_probe_payload(self, member: Member, payload: object) -> None:
        """Learn the versions that a member holds."""
        for document, version in unpack_versions(payload).items():
            self._seen(document, version, member.address)

    async def on_started(self) -> None:
        """Start the tasks."""
        for document in DOCUMENTS:
            self.add_future(self._watches[document].run())
            self.add_future(self._fetch_offers(document))
            self.add_future(self._read_until_ready(document))
        self.add_future(self._ask_until_ready())

    # Messages of peers.

    async def _on_offer(self, sender: Sender, msg: DocumentOffer) -> None:
        self._seen(msg.document, msg.version, sender.address)

    async def _on_fetch(
        self, sender: Sender, msg: DocumentFetch
    ) -> DocumentChange | DocumentUnchanged:
        change = self.store.change_since(msg.document, msg.held)
        if change is None:
            return DocumentUnchanged(msg.document, msg.held)
        return DocumentChange.of(msg.document, change)

    async def _on_ask(self, sender: Sender, msg: VersionsRequest) -> VersionsReply:
        for document, version in msg.versions.items():
            self._seen(document, version, sender.address)
        return VersionsReply(self.store.versions(), self.ready)

    def _seen(self, document: str, version: Version, address: Address) -> None:
        if not self.store.wants(document, version):
            return
        self.readiness.claim(document, version)
        queue = self._offers[document]
        if not queue.full():
            queue.put_nowait(_Source(address, version))

    # Documents from peers and to them.

    async def _fetch_offers(self, document: str) -> None:
        """Fetch one version at a time, so that three offers cause one transfer."""
        queue = self._offers[document]
        while not self.should_stop:
            source = await queue.get()
            if self.store.wants(document, source.version):
                await self._fetch(document, source)

    async def _fetch(self, document: str, source: _Source) -> None:
        where = "{}:{}".format(*source.address)
        held = self.store.version(document)
        try:
            reply = await self._peers.request(
                source.address, DocumentFetch(document, held), FETCH_TIMEOUT_S
            )
            if not isinstance(reply, DocumentChange) or reply.document != document:
                raise ProtocolError(f"the reply is {type(reply).__name__}")
            taken = self.store.apply_peer_change(document, reply.change(), where)
        except FilbertshelfError as exc:
            # If the held version changed meanwhile, for example by the platform, the
            # delta has another base and that is no fault of the peer.
            if held == self.store.version(document):
                events.emit(
                    events.CONFIG_FETCH_FAILED,
                    document=document,
                    peer=where,
                    reason=str(exc),
                )
            self._ask_others()
            return
        if taken is UpdateResult.REFUSED:
            self.readiness.drop_claim(document, reply.version)
        self._after_taken(document, taken)

    def _ask_others(self) -> None:
        """Look for other holders of a version that a peer did not deliver."""
        for address in self._addresses_to_ask():
            self.add_future(self._ask(address))

    def _after_taken(self, document: str, taken: UpdateResult) -> None:
        if taken is UpdateResult.ACCEPTED:
            if document == INSTANCES:
                self._membership.merge_instance_list(self._listed_instances())
            self._offer(document)
            self._tell_subscribers(document)
        self._check_ready()

    def _offer(self, document: str) -> None:
        offer = DocumentOffer(document, self.store.version(document))
        for member in self._membership.random_peers(OFFERED_PEERS):
            self.add_future(self._notify(member.address, offer))

    async def _notify(self, address: Address, msg: Any) -> None:
        try:
            await self._peers.notify(address, msg)
        except FilbertshelfError as exc:
            # The versions in the probes repair a lost offer.
            self.log.debug("offer to %s was lost: %s", address, exc)

    def _tell_subscribers(self, document: str) -> None:
        for callback in self._subscribers:
            try:
                callback(document)
            except Exception as exc:
                # The same document is applied by all instances, so a fault in one
                # subscriber must not stop every one of them.
                events.emit(
                    events.CONFIG_SUBSCRIBER_FAILED, document=document, reason=repr(exc)
                )

    # The platform.

    def _is_watcher(self) -> bool:
        """Return whether this instance is one of the watchers of its data centre."""
        here = [
            member.id
            for member in self._membership.members()
            if member.status is Status.ALIVE
            and member.data_centre == self._cfg.data_centre
        ]
        watchers = choose_watchers(self._cfg.data_centre, here)
        watching = self.ready and self._cfg.name in watchers
        if watching != self._watching:
            self._watching = watching
            events.emit(
                events.PLATFORM_WATCH_CHANGED,
                watching=watching,
                watchers=list(watchers),
            )
        return watching

    def _platform_answered(
        self, document: str, found: PlatformDocument | None, epoch: int
    ) -> None:
        self.readiness.platform_answered(epoch, document)
        taken = UpdateResult.OLDER
        if found is not None:
            taken = self.store.apply_platform_document(document, found)
        self._after_taken(document, taken)

    # Readiness.

    def _check_ready(self) -> None:
        if not self.readiness.try_confirm(self.store.versions()):
            return
        self._unconfirmed.clear()
        events.emit(
            events.CONFIG_CONFIRMED,
            config=str(self.version),
            instances=str(self.store.version(INSTANCES)),
            reason=self.readiness.confirmation.value,
        )

    async def _read_until_ready(self, document: str) -> None:
        """Read the platform at the start, and after a pause if no peer answers."""
        backoff = Backoff(FIRST_RETRY_S, HIGHEST_RETRY_S, self._rng)
        while not self.should_stop:
            await self._unconfirmed.wait()
            if self.readiness.resumed:
                await self._clock.sleep(RESUMED_READ_DELAY_S)
            backoff.reset()
            while not self.ready and not self.should_stop:
                await self._read_if_needed(document)
                await self._clock.sleep(backoff.delay())

    async def _read_if_needed(self, document: str) -> None:
        without = document == CONFIG and self.publication is None
        if not without and not self.readiness.needs_platform(document):
            return
        try:
            await self._watches[document].read()
        except PlatformError as exc:
            self.log.debug("%s can't be read: %s", document, exc)

    async def _ask_until_ready(self) -> None:
        while not self.should_stop:
            await self._unconfirmed.wait()
            asks = [self._ask(address) for address in self._addresses_to_ask()]
            await asyncio.gather(*asks)
            self._check_ready()
            await self._clock.sleep(ASK_PERIOD_S * self._rng.uniform(0.5, 1.0))

    async def _ask(self, address: Address) -> None:
        epoch = self.readiness.epoch
        ask = VersionsRequest(self.store.versions())
        try:
            answer = await self._peers.request(address, ask, ASK_TIMEOUT_S)
        except FilbertshelfError as exc:
            self.log.debug("%s did not answer: %s", address, exc)
            return
        if isinstance(answer, VersionsReply):
            for document, version in answer.versions.items():
                self._seen(document, version, address)
            self.readiness.peer_answered(epoch, answer.ready)
            self._check_ready()

    def _addresses_to_ask(self) -> list[Address]:
        """Return random members, and some of the settings and the list.

        An instance that just started has no members yet, and one whose members are
        all gone must find others.
        """
        members = [m.address for m in self._membership.random_peers(ASKED_PEERS)]
        own = {m.address for m in self._membership.members() if m.id == self._cfg.name}
        known = set(self._cfg.peers)
        known |= {row.address for row in self._listed_instances() if not row.leaving}
        others = sorted(known - own - set(members))
        count = min(len(others), max(1, ASKED_PEERS - len(members)))
        return members + self._rng.sample(others, count)

    def _listed_instances(self) -> list[ListedInstance]:
        return [
            ListedInstance(
                row.name,
                row.data_centre,
                parse_address(row.address),
                row.state is RowState.LEAVING,
            )
            for row in self.store.rows.values()
            if row.kind is RowKind.INSTANCE and row.name != self._cfg.name
        ]
