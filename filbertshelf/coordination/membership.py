"""Fleet membership: probes, suspicion and gossip of changes."""

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
    IndirectProbe,
    IndirectProbeAck,
    MemberNotice,
    MemberRow,
    Probe,
    ProbeAck,
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
from filbertshelf.supervision import contain_errors
from filbertshelf.transport.peers import Peers, Sender

INDIRECT_PROBE_HELPERS = 3
SUSPICION_PERIODS = 5
# Members that are notified directly when this one leaves. The others learn it from
# the rows in probes.
LEAVE_NOTICES = 3
# Once in this many periods, a dead or listed address is probed in addition, so that
# the two sides of a partition join again.
REJOIN_PROBE_PERIODS = 5
# After its start an instance probes in shorter periods until it has joined, because the
# addresses in its settings may belong to instances that start at the same moment.
JOIN_PROBE_S = 0.25
JOIN_PROBES = 8
# An instance that knows far fewer members than another requests the whole table. The
# interval between two such requests doubles up to this many periods, because in a mass
# start the first tables are short and later ones are rarely needed.
MAX_PULL_INTERVAL_PERIODS = 10

Payload = dict[str, Any]

_CHANGE_EVENTS = {
    Status.ALIVE: events.MEMBER_ALIVE,
    Status.SUSPECT: events.MEMBER_SUSPECT,
    Status.DEAD: events.MEMBER_DEAD,
    Status.LEAVING: events.MEMBER_LEAVING,
}


class Membership(mode.Service):
    """Tracks the instances of the fleet at a constant cost per period.

    `peers` must already be started. `payload` returns the small dict that each probe
    and each ack carries; `on_payload(sender, payload)` is called with the dict that
    was received. Both can be assigned before the start; neither may block.
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
        self.on_payload = _ignore_payload
        self._rng = rng if rng is not None else random.Random()
        own = Member(
            identity.id, identity.data_centre, peers.address, identity.incarnation
        )
        self.table = MemberTable(own, self._rng)
        self._period = 0
        self._joined = False
        self._pull_address: Address | None = None
        self._next_pull_period = 0
        self._pull_interval = 1
        self._handlers = {
            Probe: self._on_probe,
            IndirectProbe: self._on_indirect_probe,
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
        """Return up to `count` distinct random other members that are alive."""
        return self.table.sample(count)

    def merge_instance_list(self, rows: Iterable[ListedInstance]) -> None:
        """Merge the platform's current instance list into the table."""
        self.table.replace_listed(rows)

    def raise_incarnation(self, reason: str = "pause") -> None:
        """Raise this instance's incarnation to override its status at other members."""
        row = self.table.raise_incarnation()
        events.emit(
            events.INCARNATION_RAISED, incarnation=row.incarnation, reason=reason
        )

    async def leave(self) -> None:
        """Announce that this instance is leaving; it still answers probes."""
        self.table.leave()
        notified = self.random_peers(LEAVE_NOTICES)
        notices = [self._send_leave_notice(member) for member in notified]
        await asyncio.gather(*notices)

    async def _send_leave_notice(self, member: Member) -> None:
        notice = MemberNotice(self._rows_for(member.id))
        try:
            await self.peers.notify(member.address, notice)
        except (PeerUnreachableError, PeerTimeoutError):
            # The other members learn the row from probes.
            return

    async def on_start(self) -> None:
        """Set the address of this instance's row to the peer server's bound address."""
        self.table.set_address(self.peers.address)

    # Probe loop.

    @mode.Service.task
    async def _probe_loop(self) -> None:
        due_at = self.clock.monotonic()
        while not self.should_stop:
            due_at += self._next_period_s()
            unreached_id = await self._probe_once()
            await self.clock.sleep(max(0.0, due_at - self.clock.monotonic()))
            late_s = self.clock.monotonic() - due_at
            if late_s > self.cfg.pause_threshold:
                self._discard_period(late_s)
            else:
                self._apply_probe_result(unreached_id)
            if late_s > self.cfg.probe_period:
                due_at = self.clock.monotonic()

    def _next_period_s(self) -> float:
        if self._joined or self._period >= JOIN_PROBES:
            return self.cfg.probe_period
        return min(JOIN_PROBE_S, self.cfg.probe_period)

    def _discard_period(self, late_s: float) -> None:
        """Discard the result of a period in which this process was paused.

        Unread answers and overdue timers of a paused process say nothing about the
        other members.
        """
        events.emit(events.PROBE_PERIOD_DISCARDED, late_s=round(late_s, 3))
        self.table.restart_suspicions(self.clock.monotonic())
        self.raise_incarnation("pause")

    def _apply_probe_result(self, unreached_id: str | None) -> None:
        """Apply the result of a period.

        `unreached_id` is the id of the probed member if it was not reached, else None.
        """
        now = self.clock.monotonic()
        if unreached_id is not None:
            self._log_change(self.table.suspect(unreached_id, now))
        suspicion_timeout = SUSPICION_PERIODS * self.cfg.probe_period
        for row in self.table.expire(now, suspicion_timeout):
            self._log_change(row)

    @contain_errors
    async def _probe_once(self) -> str | None:
        """Probe one member; return its id if no instance reached it, else None."""
        self._period += 1
        probed = self.table.next_probe()
        tasks = []
        if probed is None or self._period % REJOIN_PROBE_PERIODS == 0:
            tasks.append(self._probe_rejoin_address())
        if probed is not None:
            tasks.append(self._probe_member(probed))
        results = await asyncio.gather(*tasks)
        if self._pull_address is not None and self._period >= self._next_pull_period:
            await self._pull_table(self._pull_address)
        if probed is None or results[-1]:
            return None
        return probed.id

    async def _probe_rejoin_address(self) -> None:
        """Probe an address where a member may have started or come back."""
        address = self.table.next_rejoin_address(self.cfg.peers)
        if address is None or address == self.own.address:
            return
        await self._probe_address(address, self._member_id_at(address))

    def _member_id_at(self, address: Address) -> str | None:
        """Return the id of the member at the address, or None.

        A member that was declared dead can refute that if the probe carries its row.
        """
        ids = [row.id for row in self.table if row.address == address]
        return ids[0] if ids else None

    async def _pull_table(self, address: Address) -> None:
        """Request a member's whole table, which is faster than gossip for many rows."""
        self._pull_address = None
        timeout = self.cfg.probe_timeout
        try:
            reply = await self.peers.request(address, TableRequest(), timeout)
        except FilbertshelfError:
            # The next member that knows more is asked; meanwhile, probes carry rows.
            return
        if isinstance(reply, Table):
            # The other members already spread these rows.
            self._merge_rows(reply.rows, spread=False)
            self._joined = True
            self._next_pull_period = self._period + self._pull_interval
            self._pull_interval = min(
                MAX_PULL_INTERVAL_PERIODS, 2 * self._pull_interval
            )

    async def _probe_member(self, probed: Member) -> bool:
        """Return whether the member answered, directly or through a helper."""
        ack = await self._probe_address(probed.address, probed.id)
        if ack is not None and ack.rows[0].id == probed.id:
            return True
        helpers = self.table.helpers(INDIRECT_PROBE_HELPERS, probed.id)
        tasks = [self._probe_through(helper, probed) for helper in helpers]
        return any(await asyncio.gather(*tasks))

    async def _probe_address(
        self, address: Address, member_id: str | None = None
    ) -> ProbeAck | None:
        msg = Probe(self._rows_for(member_id), self.payload(), self.member_count())
        timeout = self.cfg.probe_timeout
        try:
            reply = await self.peers.request(address, msg, timeout)
        except FilbertshelfError:
            return None
        if not isinstance(reply, ProbeAck) or not reply.rows:
            return None
        self._process_probe(reply, address)
        return reply

    async def _probe_through(self, helper: Member, probed: Member) -> bool:
        row = MemberRow.of(probed)
        msg = IndirectProbe(row, self._rows_for(helper.id))
        timeout = self.cfg.probe_period - self.cfg.probe_timeout
        try:
            reply = await self.peers.request(helper.address, msg, max(timeout, 0.01))
        except FilbertshelfError:
            return False
        if not isinstance(reply, IndirectProbeAck):
            return False
        self._merge_rows(reply.rows)
        return reply.reached

    # Messages from other members.

    async def _on_probe(self, sender: Sender, msg: Probe) -> ProbeAck:
        self._process_probe(msg, sender.address)
        return ProbeAck(self._rows_for(sender.id), self.payload(), self.member_count())

    async def _on_indirect_probe(
        self, sender: Sender, msg: IndirectProbe
    ) -> IndirectProbeAck:
        self._merge_rows(msg.rows)
        probed = msg.target
        ack = await self._probe_address((probed.ip, probed.port), probed.id)
        reached = ack is not None and ack.rows[0].id == probed.id
        rows = self._rows_for(sender.id)
        if reached:
            rows = (ack.rows[0], *rows[:-1])
        return IndirectProbeAck(reached, rows)

    async def _on_notice(self, sender: Sender, msg: MemberNotice) -> None:
        self._merge_rows(msg.rows)

    async def _on_table_request(self, sender: Sender, msg: TableRequest) -> Table:
        return Table(tuple(MemberRow.of(row) for row in self.members()))

    def _rows_for(self, receiver: str | None) -> tuple[MemberRow, ...]:
        updates = self.table.take_updates(receiver)
        return tuple(MemberRow.of(row) for row in updates)

    def _process_probe(self, msg: Probe | ProbeAck, address: Address) -> None:
        self._merge_rows(msg.rows)
        if not self._joined or msg.size - self.member_count() > MAX_UPDATES:
            self._pull_address = address
        if not msg.payload or not msg.rows:
            return
        try:
            self.on_payload(msg.rows[0].member(), msg.payload)
        except Exception as exc:
            # A failing payload callback must not stop the probes.
            events.emit(
                events.PROBE_PAYLOAD_FAILED,
                member=msg.rows[0].id,
                reason=f"{exc!r:.200}",
            )

    def _merge_rows(self, rows: Iterable[MemberRow], spread: bool = True) -> None:
        now = self.clock.monotonic()
        for row in rows:
            try:
                member = row.member()
            except ValueError:
                # Unknown status of a newer version; the member's next row replaces it.
                continue
            self._log_change(self.table.apply(member, now, spread))

    def _log_change(self, changed: Member | None) -> None:
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


def _ignore_payload(sender: Member, payload: Payload) -> None:
    """Ignore the payload; the default of `on_payload`."""
