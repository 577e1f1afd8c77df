"""Replicates the platform's documents between instances and decides readiness."""

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
    WatchCallbacks,
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

# With this many peers per offer, a version reaches most of a fleet in O(log n) hops.
# The versions in membership probes reach the rest.
OFFERED_PEERS = 3
ASKED_PEERS = 3
# Interval at which an instance that isn't ready asks its peers.
ASK_PERIOD_S = 0.5
ASK_TIMEOUT_S = 1.0
# A full document of 1 MB takes well under a second between regions.
FETCH_TIMEOUT_S = 2.0
# After a pause the peers are asked first, so that the instances of a paused rack don't
# all read the platform at the same time.
READ_DELAY_AFTER_PAUSE_S = 0.5
# Queued offers per document. Further ones are dropped, since probes repeat them.
MAX_WAITING_OFFERS = 32


class Sender(Protocol):
    """The sender of a message."""

    id: str
    address: Address


class PeerTransport(Protocol):
    """The part of the peer transport that `Configuration` uses."""

    def register(
        self, message_class: type, handler: Callable[[Any, Any], Awaitable[Any]]
    ) -> None:
        """Set the handler of a message class."""

    async def request(self, address: Address, msg: Any, timeout: float) -> Any:
        """Return the reply; raises `FilbertshelfError`."""

    async def notify(self, address: Address, msg: Any) -> None:
        """Send a message without a reply; raises `FilbertshelfError`."""


class MembershipView(Protocol):
    """The part of the membership that `Configuration` uses; probes carry `payload`."""

    payload: Callable[[], dict[str, Any]]
    on_payload: Callable[[Member, dict[str, Any]], None]

    def members(self) -> Iterable[Member]:
        """Return the members that are not dead, this instance included."""

    def random_peers(self, count: int) -> Iterable[Member]:
        """Return up to `count` random other members that are alive."""

    def merge_instance_list(self, rows: Iterable[ListedInstance]) -> None:
        """Merge the platform's current instance list."""


Subscriber = Callable[[str], None]


@attrs.frozen
class _VersionSource:
    """A version and the address of a peer that holds it."""

    address: Address
    version: Version


class Configuration(mode.Service):
    """Holds the configuration and the instance list in force at this instance.

    Versions only increase. Content is validated before it is accepted, and only
    accepted versions are offered to other instances.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        client: PlatformReader,
        peers: PeerTransport,
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
        self._offers: dict[str, asyncio.Queue[_VersionSource]] = {
            name: asyncio.Queue(MAX_WAITING_OFFERS) for name in DOCUMENTS
        }
        callbacks = WatchCallbacks(
            self._is_watcher,
            lambda: self.readiness.epoch,
            lambda document: self.store.version(document).revision,
            self._on_platform_answer,
        )
        self._watches = {
            name: PlatformWatch(name, client, callbacks, clock, rng, cfg.watch_wait)
            for name in DOCUMENTS
        }
        peers.register(DocumentOffer, self._on_offer)
        peers.register(DocumentFetch, self._on_fetch)
        peers.register(VersionsRequest, self._on_versions_request)
        membership.payload = self.probe_payload
        membership.on_payload = self.receive_probe_payload

    @property
    def publication(self) -> Publication | None:
        """Return the publication in force, or None before the first one."""
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
        """Return the rows of the instance list by name, including targets."""
        return self.store.rows

    def subscribe(self, callback: Subscriber) -> None:
        """Call `callback` with the document's name after each accepted version."""
        self._subscribers.append(callback)

    def require_confirmation(self) -> None:
        """Stop being ready until a peer or the platform answers a new request.

        Must be called after a pause of the process, before anything is sent.
        """
        events.emit(events.CONFIG_UNCONFIRMED, config=str(self.version))
        self.readiness.require_confirmation()
        self._unconfirmed.set()

    def probe_payload(self) -> dict[str, list[Any]]:
        """Return the held versions as a payload for membership probes."""
        return pack_versions(self.store.versions())

    def receive_probe_payload(self, member: Member, payload: object) -> None:
        """Queue a member's versions that are newer than the held ones."""
        for document, version in unpack_versions(payload).items():
            self._add_offer(document, version, member.address)

    async def on_started(self) -> None:
        """Start the tasks that watch, fetch, read and ask."""
        for document in DOCUMENTS:
            self.add_future(self._watches[document].run())
            self.add_future(self._fetch_offers(document))
            self.add_future(self._read_until_ready(document))
        self.add_future(self._ask_until_ready())

    # Messages from peers.

    async def _on_offer(self, sender: Sender, msg: DocumentOffer) -> None:
        self._add_offer(msg.document, msg.version, sender.address)

    async def _on_fetch(
        self, sender: Sender, msg: DocumentFetch
    ) -> DocumentChange | DocumentUnchanged:
        change = self.store.change_since(msg.document, msg.held)
        if change is None:
            return DocumentUnchanged(msg.document, msg.held)
        return DocumentChange.of(msg.document, change)

    async def _on_versions_request(
        self, sender: Sender, msg: VersionsRequest
    ) -> VersionsReply:
        for document, version in msg.versions.items():
            self._add_offer(document, version, sender.address)
        return VersionsReply(self.store.versions(), self.ready)

    def _add_offer(self, document: str, version: Version, address: Address) -> None:
        if not self.store.wants(document, version):
            return
        self.readiness.claim(document, version)
        queue = self._offers[document]
        if not queue.full():
            queue.put_nowait(_VersionSource(address, version))

    # Exchange of documents with peers.

    async def _fetch_offers(self, document: str) -> None:
        """Fetch one version at a time, so that repeated offers cause one transfer."""
        queue = self._offers[document]
        while not self.should_stop:
            source = await queue.get()
            if self.store.wants(document, source.version):
                await self._fetch_document(document, source)

    async def _fetch_document(self, document: str, source: _VersionSource) -> None:
        peer_address = "{}:{}".format(*source.address)
        held = self.store.version(document)
        try:
            reply = await self._peers.request(
                source.address, DocumentFetch(document, held), FETCH_TIMEOUT_S
            )
            if not isinstance(reply, DocumentChange) or reply.document != document:
                raise ProtocolError(f"the reply is {type(reply).__name__}")
            result = self.store.apply_peer_change(
                document, reply.change(), peer_address
            )
        except FilbertshelfError as exc:
            # If the held version changed in the meantime, for example after a platform
            # read, the delta no longer applies. That is not the peer's fault.
            if held == self.store.version(document):
                events.emit(
                    events.CONFIG_FETCH_FAILED,
                    document=document,
                    peer=peer_address,
                    reason=str(exc),
                )
            self._ask_other_peers()
            return
        if result is UpdateResult.REFUSED:
            self.readiness.drop_claim(document, reply.version)
        self._handle_result(document, result)

    def _ask_other_peers(self) -> None:
        """Ask other peers for their versions after a peer failed to deliver one."""
        for address in self._addresses_to_ask():
            self.add_future(self._ask_peer(address))

    def _handle_result(self, document: str, result: UpdateResult) -> None:
        if result is UpdateResult.ACCEPTED:
            if document == INSTANCES:
                self._membership.merge_instance_list(self._listed_instances())
            self._offer_version(document)
            self._notify_subscribers(document)
        self._check_ready()

    def _offer_version(self, document: str) -> None:
        offer = DocumentOffer(document, self.store.version(document))
        for member in self._membership.random_peers(OFFERED_PEERS):
            self.add_future(self._notify(member.address, offer))

    async def _notify(self, address: Address, msg: Any) -> None:
        try:
            await self._peers.notify(address, msg)
        except FilbertshelfError as exc:
            # The versions in membership probes make up for a lost offer.
            self.log.debug("offer to %s was lost: %s", address, exc)

    def _notify_subscribers(self, document: str) -> None:
        for callback in self._subscribers:
            try:
                callback(document)
            except Exception as exc:
                # All instances apply the same document, so an error in a subscriber
                # must not stop every instance.
                events.emit(
                    events.CONFIG_SUBSCRIBER_FAILED, document=document, reason=repr(exc)
                )

    # Platform.

    def _is_watcher(self) -> bool:
        """Return whether this instance is a watcher of its data centre; log changes."""
        local_ids = [
            member.id
            for member in self._membership.members()
            if member.status is Status.ALIVE
            and member.data_centre == self._cfg.data_centre
        ]
        watchers = choose_watchers(self._cfg.data_centre, local_ids)
        watching = self.ready and self._cfg.name in watchers
        if watching != self._watching:
            self._watching = watching
            events.emit(
                events.PLATFORM_WATCH_CHANGED,
                watching=watching,
                watchers=list(watchers),
            )
        return watching

    def _on_platform_answer(
        self, document: str, platform_document: PlatformDocument | None, epoch: int
    ) -> None:
        self.readiness.platform_answered(epoch, document)
        result = UpdateResult.OLDER
        if platform_document is not None:
            result = self.store.apply_platform_document(document, platform_document)
        self._handle_result(document, result)

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
        """Read the platform at startup, and after a pause if no peer answers."""
        backoff = Backoff(FIRST_RETRY_S, HIGHEST_RETRY_S, self._rng)
        while not self.should_stop:
            await self._unconfirmed.wait()
            if self.readiness.resumed:
                await self._clock.sleep(READ_DELAY_AFTER_PAUSE_S)
            backoff.reset()
            while not self.ready and not self.should_stop:
                await self._read_if_needed(document)
                await self._clock.sleep(backoff.delay())

    async def _read_if_needed(self, document: str) -> None:
        lacks_publication = document == CONFIG and self.publication is None
        if not lacks_publication and not self.readiness.needs_platform(document):
            return
        try:
            await self._watches[document].read()
        except PlatformError as exc:
            self.log.debug("%s can't be read: %s", document, exc)

    async def _ask_until_ready(self) -> None:
        while not self.should_stop:
            await self._unconfirmed.wait()
            requests = [self._ask_peer(address) for address in self._addresses_to_ask()]
            await asyncio.gather(*requests)
            self._check_ready()
            await self._clock.sleep(ASK_PERIOD_S * self._rng.uniform(0.5, 1.0))

    async def _ask_peer(self, address: Address) -> None:
        epoch = self.readiness.epoch
        versions_request = VersionsRequest(self.store.versions())
        try:
            answer = await self._peers.request(address, versions_request, ASK_TIMEOUT_S)
        except FilbertshelfError as exc:
            self.log.debug("%s did not answer: %s", address, exc)
            return
        if isinstance(answer, VersionsReply):
            for document, version in answer.versions.items():
                self._add_offer(document, version, address)
            self.readiness.peer_answered(epoch, answer.ready)
            self._check_ready()

    def _addresses_to_ask(self) -> list[Address]:
        """Return addresses of random members and some configured or listed instances.

        An instance that just started has no members yet, and one whose members have
        all left or died must find others.
        """
        members = [
            member.address for member in self._membership.random_peers(ASKED_PEERS)
        ]
        own = {
            member.address
            for member in self._membership.members()
            if member.id == self._cfg.name
        }
        known_addresses = set(self._cfg.peers)
        known_addresses |= {
            row.address for row in self._listed_instances() if not row.leaving
        }
        others = sorted(known_addresses - own - set(members))
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
