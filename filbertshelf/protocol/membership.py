"""Peer messages of the membership protocol."""

from __future__ import annotations

from typing import Any

import attrs

from filbertshelf.protocol.messages import message
from filbertshelf.state.members import Member, Status


@attrs.frozen
class MemberRow:
    """A member in a message; field names are short, as a probe has up to 8 rows.

    The fields are: id, data centre, IP address, port, incarnation, status, and the
    time in microseconds that the member takes for one shard of a query (0: unknown).
    """

    id: str
    dc: str
    ip: str
    port: int
    inc: int
    st: int
    us: int = 0

    @classmethod
    def of(cls, member: Member) -> MemberRow:
        """Return the row of a member."""
        ip, port = member.address
        status = int(member.status)
        return cls(
            member.id,
            member.data_centre,
            ip,
            port,
            member.incarnation,
            status,
            member.shard_us,
        )

    def member(self) -> Member:
        """Return the member; raises `ValueError` if the status is unknown."""
        address = (self.ip, self.port)
        return Member(self.id, self.dc, address, self.inc, Status(self.st), self.us)


Rows = tuple[MemberRow, ...]


@message("probe")
@attrs.frozen
class Probe:
    """Asks whether the receiver is alive; the first row is the sender's own.

    `size` is the number of members that the sender knows.
    """

    rows: Rows
    payload: dict[str, Any] = attrs.field(factory=dict)
    size: int = 0


@message("probe-ack")
@attrs.frozen
class ProbeAck:
    """Replies that the sender is alive; the fields are those of a probe."""

    rows: Rows
    payload: dict[str, Any] = attrs.field(factory=dict)
    size: int = 0


@message("probe-for")
@attrs.frozen
class IndirectProbe:
    """Asks the receiver to probe the member `target` on behalf of the sender."""

    target: MemberRow
    rows: Rows


@message("probe-for-ack")
@attrs.frozen
class IndirectProbeAck:
    """Says whether the probed member answered."""

    reached: bool
    rows: Rows


@message("members")
@attrs.frozen
class MemberNotice:
    """Announces rows outside of probes, such as that of a leaving member."""

    rows: Rows


@message("table-request")
@attrs.frozen
class TableRequest:
    """Asks for the whole table; sent by an instance that lacks many rows."""


@message("table")
@attrs.frozen
class Table:
    """The rows of all members that are not dead."""

    rows: Rows
