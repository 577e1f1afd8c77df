"""Notices that reach every instance within a second."""

from __future__ import annotations

import asyncio
import collections
import uuid
from collections.abc import Callable, Sequence

import mode

from filbertshelf.coordination.membership import Membership
from filbertshelf.protocol.notices import Notice, Topic
from filbertshelf.state.members import Address
from filbertshelf.supervision import contained
from filbertshelf.transport.peers import Peers, Sender

# Up to this fleet size the origin sends a notice directly to each member.
MAX_DIRECT_MEMBERS = 32
# In a larger fleet each receiver forwards it once to this many others; gossip with a
# fan-out of six misses about 0.25% of the members.
FAN_OUT = 6
MAX_SEEN_NOTICES = 4_096

Handler = Callable[[Notice], None]


class Notices(mode.Service):
    """Sends notices and forwards those of other instances, each once."""

    def __init__(self, peers: Peers, membership: Membership):
        super().__init__()
        self._peers = peers
        self._membership = membership
        self._handlers: dict[str, Handler] = {}
        self._seen: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._outbox: asyncio.Queue[tuple[Notice, Sequence[Address]]] = asyncio.Queue()
        peers.register(Notice, self._on_notice)

    def subscribe(self, topic: Topic, handler: Handler) -> None:
        """Call `handler(notice)` for each notice of a peer about the topic."""
        self._handlers[topic.value] = handler

    def broadcast(self, topic: Topic, subject: str, seconds: float) -> None:
        """Queue a notice to all instances, without waiting for it to be sent."""
        origin = self._membership.own.id
        notice = Notice(uuid.uuid4().hex, topic.value, subject, seconds, origin)
        self._mark_seen(notice.id)
        recipients = [
            member
            for member in self._membership.members()
            if member != self._membership.own
        ]
        if len(recipients) > MAX_DIRECT_MEMBERS:
            recipients = self._membership.random_peers(FAN_OUT)
        self._outbox.put_nowait((notice, [member.address for member in recipients]))

    async def _on_notice(self, _sender: Sender, notice: Notice) -> None:
        if notice.id in self._seen:
            return
        self._mark_seen(notice.id)
        handler = self._handlers.get(notice.topic)
        if handler is not None:
            handler(notice)
        if self._membership.member_count() > MAX_DIRECT_MEMBERS:
            recipients = self._membership.random_peers(FAN_OUT)
            self._outbox.put_nowait((notice, [member.address for member in recipients]))

    def _mark_seen(self, notice_id: str) -> None:
        self._seen[notice_id] = None
        if len(self._seen) > MAX_SEEN_NOTICES:
            self._seen.popitem(last=False)

    @mode.Service.task
    async def _send_loop(self) -> None:
        while not self.should_stop:
            notice, addresses = await self._outbox.get()
            # An instance that misses a notice learns the same from the target.
            sending = self._peers.notify_all(addresses, notice)
            await contained(sending, "a notice to peers")
