"""The membership of the fleet: probes, suspicion and the spread of changes."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

import mode

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.errors import (
    FilbertshelfError,
    PeerTimeoutError,
    PeerUnreachableError,
)
from filbertshelf.protocol.membership import (
    MemberNotice,
    MemberRow,
    Probe,
    ProbeAck,
    ProbeFor,
    ProbeForAck,
    Table,
    TableRequest,
)
from filbertshelf.settings import Settings
from filbertshelf.state.members import (
    MAX_UPDATES,
    Address,
    Identity,
    ListedInstance,
    Member,
    MemberTable,
    Status,
)
from filbertshelf.transport.peers import Peers, Sender

HELPERS = 3
SUSPICION_PERIODS = 5
# Members that are told directly that this one leaves; probes tell the others.
LEAVE_NOTICES = 3
# Every this many periods one dead or listed address is probed in addition, which
# joins the two sides again after a partition.
REVIVAL_PERIODS = 5
# An instance that sees far fewer members than another asks for the whole table. The
# periods between two such requests double up to this many: in a mass start the first
# tables are short, and later ones are rarely needed.
PULL_PERIODS = 10

Payload = dict[str, Any]

_CHANGE_EVENTS = {
    Status.ALIVE: events.MEMBER_ALIVE,
    Status.SUSPECT: events.MEMBER_SUSPECT,
    Status.DEAD: events.MEMBER_DEAD,
    Status.LEAVING: events.MEMBER_LEAVING,
}


class Membership(mode.Service):
    """Knows which instances there are; the cost per period is constant.

    `peers` must be started before. `payload` returns the small dict that each probe
    and each ack carries; `on_payload(sender, payload)` is called with the one of the
    other side. Both can be assigned before the start; neither may block.
    """

    payload: Callable[[], Payload]
    on_payload: Callable[[Member, Payload], None]

    def __init__(
        self,
        cfg: Settings,
        identity: Identity,
        clock: Clock,
        peers: Peers,
        rng: random.Random | None = None,
        **kwargs: Any,
    ):
        super().__init__(**kwargs)
        self.cfg = cfg
        self.identity = identity
        self.clock = clock
        self.peers = peers
        self.payload = dict
        self.on_payload = _ignore
        self._rng = rng if rng is not None else random.Random()
        own = Member(
            identity.id, identity.data_centre, peers.address, identity.incarnation
        )
        self.table = MemberTable(own, self._rng)
        self._period = 0
        self._joined = False
        self._fuller: Address | None = None
        self._next_pull = 0
        self._pull_gap = 1
        self._handlers = {
            Probe: self._on_probe,
            ProbeFor: self._on_probe_for,
            MemberNotice: self._on_notice,
            TableRequest: self._on_table_request,
        }
        for message_class, handler in self._handlers.items():
            peers.register(message_class, handler)

    @property
    def own(self) -> Member:
        """Return the row of this instance with its current incarnation."""
        return self.table.own

    def members(self) -> tuple[Member, ...]:
        """Return all members that are not dead, this instance included."""
        return self.table.members()

    def member_count(self) -> int:
        """Return the number of members that are not dead, this one included."""
        return len(self.members())

    def random_peers(self, count: int) -> list[Member]:
        """Return up to `count` different random other members that are alive."""
        return self.table.sample(count)

    def merge_instance_list(self, rows: Iterable[ListedInstance]) -> None:
        """Take the platform's current instance list."""
        self.table.replace_listed(rows)

    def raise_incarnation(self, reason: str = "pause") -> None:
        """Raise the own incarnation, so that it overrides what others concluded."""
        row = self.table.raise_incarnation()
        events.emit(
            events.INCARNATION_RAISED, incarnation=row.incarnation, reason=reason
        )

    async def leave(self) -> None:
        """Announce that this instance leaves; it still answers probes."""
        self.table.leave()
        told = self.random_peers(LEAVE_NOTICES)
        notices = [self._tell(member) for member in told]
        await asyncio.gather(*notices)

    async def _tell(self, member: Member) -> None:
        notice = MemberNotice(self._rows(member.id))
        try:
            await self.peers.notify(member.address, notice)
        except (PeerUnreachableError, PeerTimeoutError):
            # The probes carry the row to the others.
            return

    async def on_start(self) -> None:
        """Take the bound address into the own row."""
        self.table.set_address(self.peers.address)

    # The probe loop.

    @mode.Service.task
    async def _probe_loop(self) -> None:
        due = self.clock.monotonic()
        while not self.should_stop:
            due += self.cfg.probe_period
            silent = await self._probe_once()
            await self.clock.sleep(max(0.0, due - self.clock.monotonic()))
            late = self.clock.monotonic() - due
            if late > self.cfg.pause_threshold:
                self._discard_period(late)
            else:
                self._conclude(silent)
            if late > self.cfg.probe_period:
                due = self.clock.monotonic()

    def _discard_period(self, late: float) -> None:
        """Drop what a period saw in which this process did not run.

        Unread answers and overdue timers of a paused process say nothing about the
        other members.
        """
        events.emit(events.PROBE_PERIOD_DISCARDED, late_s=round(late, 3))
        self.table.restart_suspicions(self.clock.monotonic())
        self.raise_incarnation("pause")

    def _conclude(self, silent: str | None) -> None:
        """Apply the result of a period; `silent` is the member without an answer."""
        now = self.clock.monotonic()
        if silent is not None:
            self._note(self.table.suspect(silent, now))
        suspicion = SUSPICION_PERIODS * self.cfg.probe_period
        for row in self.table.expire(now, suspicion):
            self._note(row)

    async def _probe_once(self) -> str | None:
        """Probe one member; return its id if nobody reached it, else None."""
        self._period += 1
        target = self.table.next_probe()
        tasks = []
        if target is None or self._period % REVIVAL_PERIODS == 0:
            tasks.append(self._probe_absent())
        if target is not None:
            tasks.append(self._probe_member(target))
        results = await asyncio.gather(*tasks)
        if self._fuller is not None and self._period >= self._next_pull:
            await self._pull(self._fuller)
        if target is None or results[-1]:
            return None
        return target.id

    async def _probe_absent(self) -> None:
        """Probe an address at which a member may be new or back."""
        address = self.table.next_rejoin_address(self.cfg.peers)
        if address is None or address == self.own.address:
            return
        await self._probe(address, self._dead_at(address))

    def _dead_at(self, address: Address) -> str | None:
        """Return the id of a dead member, which can refute if it gets its row."""
        ids = [row.id for row in self.table if row.address == address]
        return ids[0] if ids else None

    async def _pull(self, address: Address) -> None:
        """Ask for a whole table, instead of learning many members row by row."""
        self._fuller = None
        timeout = self.cfg.probe_timeout
        try:
            reply = await self.peers.request(address, TableRequest(), timeout)
        except FilbertshelfError:
            # The next member that knows more is asked; probes carry rows meanwhile.
            return
        if isinstance(reply, Table):
            # The others spread these rows already.
            self._merge(reply.rows, spread=False)
            self._joined = True
            self._next_pull = self._period + self._pull_gap
            self._pull_gap = min(PULL_PERIODS, 2 * self._pull_gap)

    async def _probe_member(self, target: Member) -> bool:
        """Tell whether the member answered, directly or through a helper."""
        ack = await self._probe(target.address, target.id)
        if ack is not None and ack.rows[0].id == target.id:
            return True
        helpers = self.table.helpers(HELPERS, target.id)
        tasks = [self._probe_through(helper, target) for helper in helpers]
        return any(await asyncio.gather(*tasks))

    async def _probe(
        self, address: Address, member_id: str | None = None
    ) -> ProbeAck | None:
        msg = Probe(self._rows(member_id), self.payload(), self.member_count())
        timeout = self.cfg.probe_timeout
        try:
            reply = await self.peers.request(address, msg, timeout)
        except FilbertshelfError:
            return None
        if not isinstance(reply, ProbeAck) or not reply.rows:
            return None
        self._receive(reply, address)
        return reply

    async def _probe_through(self, helper: Member, target: Member) -> bool:
        row = MemberRow.of(target)
        msg = ProbeFor(row, self._rows(helper.id))
        timeout = self.cfg.probe_period - self.cfg.probe_timeout
        try:
            reply = await self.peers.request(helper.address, msg, max(timeout, 0.01))
        except FilbertshelfError:
            return False
        if not isinstance(reply, ProbeForAck):
            return False
        self._merge(reply.rows)
        return reply.reached

    # Messages of other members.

    async def _on_probe(self, sender: Sender, msg: Probe) -> ProbeAck:
        self._receive(msg, sender.address)
        return ProbeAck(self._rows(sender.id), self.payload(), self.member_count())

    async def _on_probe_for(self, sender: Sender, msg: ProbeFor) -> ProbeForAck:
        self._merge(msg.rows)
        target = msg.target
        ack = await self._probe((target.ip, target.port), target.id)
        reached = ack is not None and ack.rows[0].id == target.id
        rows = self._rows(sender.id)
        if reached:
            rows = (ack.rows[0], *rows[:-1])
        return ProbeForAck(reached, rows)

    async def _on_notice(self, sender: Sender, msg: MemberNotice) -> None:
        self._merge(msg.rows)

    async def _on_table_request(self, sender: Sender, msg: TableRequest) -> Table:
        return Table(tuple(MemberRow.of(row) for row in self.members()))

    def _rows(self, receiver: str | None) -> tuple[MemberRow, ...]:
        updates = self.table.take_updates(receiver)
        return tuple(MemberRow.of(row) for row in updates)

    def _receive(self, msg: Probe | ProbeAck, address: Address) -> None:
        self._merge(msg.rows)
        if not self._joined or msg.size - self.member_count() > MAX_UPDATES:
            self._fuller = address
        if not msg.payload or not msg.rows:
            return
        try:
            self.on_payload(msg.rows[0].member(), msg.payload)
        except Exception as exc:
            # A fault in the payload must not stop the probes.
            events.emit(
                events.PROBE_PAYLOAD_FAILED,
                member=msg.rows[0].id,
                reason=f"{exc!r:.200}",
            )

    def _merge(self, rows: Iterable[MemberRow], spread: bool = True) -> None:
        now = self.clock.monotonic()
        for row in rows:
            try:
                member = row.member()
            except ValueError:
                # A status of a later version; the member's next row replaces it.
                continue
            self._note(self.table.apply(member, now, spread))

    def _note(self, changed: Member | None) -> None:
        if changed is None:
            return
        if changed.id == self.identity.id:
            incarnation = changed.incarnation
            events.emit(
                events.INCARNATION_RAISED, incarnation=incarnation, reason="refutation"
            )
            return
        events.emit(
            _CHANGE_EVENTS[changed.status],
            member=changed.id,
            incarnation=changed.incarnation,
            address=f"{changed.address[0]}:{changed.address[1]}",
        )


def _ignore(sender: Member, payload: Payload) -> None:
    """Drop a payload that nobody asked for."""
