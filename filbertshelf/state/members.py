"""The SWIM member table of one instance."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterable, Iterator

import attrs

from filbertshelf.addresses import Address
from filbertshelf.clock import Clock

MAX_UPDATES = 8
# An update is sent this factor times log2(members) times, after which SWIM has reached
# every member with high probability.
RETRANSMIT_FACTOR = 3
# Rows without pending updates that are added to a message if it has room, so that a
# member that missed an update receives it later.
FILL_ROWS = 2
# Regions can be partitioned from each other for up to an hour. Rows of dead members are
# kept for longer, so that both sides probe each other again afterwards.
DEAD_RETENTION_S = 7_200.0


class Status(enum.IntEnum):
    """The state of a member; the higher one wins within an incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.frozen
class Identity:
    """The identity of a process, which never changes; (id, incarnation) is unique.

    `incarnation` is the start time in ms. The incarnation in the member row starts at
    this value and may be raised later.
    """

    id: str
    data_centre: str
    incarnation: int

    @classmethod
    def start(cls, name: str, data_centre: str, clock: Clock) -> Identity:
        """Return the identity of a process that starts now."""
        return cls(name, data_centre, int(clock.now().timestamp() * 1000))


@attrs.frozen
class Member:
    """The row of one instance in the member table."""

    id: str
    data_centre: str
    address: Address
    incarnation: int
    status: Status = Status.ALIVE
    shard_us: int = 0
    """The time in microseconds for one shard of a query, 0 if unknown."""

    @property
    def precedence(self) -> tuple:
        """Return the key of a total order, so that all instances merge rows alike."""
        return (self.incarnation, self.status, self.address, self.data_centre)


@attrs.frozen
class ListedInstance:
    """A row of the platform's instance list."""

    id: str
    data_centre: str
    address: Address
    leaving: bool = False


def merge(first: Member, second: Member) -> Member:
    """Return the winner of two rows of one member.

    The higher incarnation wins, then the higher status.
    """
    return max(first, second, key=lambda member: member.precedence)


@attrs.define
class _Update:
    """A row that is to be sent to other members, and how often it was sent."""

    member: Member
    sent: int = 0


class MemberTable:
    """All known members, including this instance.

    Times are in monotonic seconds. `rng` chooses the probe order and the helpers, which
    are the members asked for indirect probes.
    """

    def __init__(
        self,
        own: Member,
        rng: random.Random,
        dead_retention_s: float = DEAD_RETENTION_S,
    ):
        self.own = own
        self._rng = rng
        self._dead_retention_s = dead_retention_s
        self._rows: dict[str, Member] = {own.id: own}
        self._status_since: dict[str, float] = {}
        self._updates: dict[str, _Update] = {}
        self._probe_round: list[str] = []
        self._listed_leaving: set[str] = set()
        self._listed_addresses: set[Address] = set()
        self._queue_update(own)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, member_id: str) -> Member | None:
        """Return the row of a member, which may be dead; None if it is unknown."""
        return self._rows.get(member_id)

    def members(self) -> tuple[Member, ...]:
        """Return the rows that are not dead, including this instance's.

        A live member that the platform lists as leaving has the status LEAVING.
        """
        return tuple(
            self._effective_row(row) for row in self if row.status is not Status.DEAD
        )

    def alive(self) -> list[Member]:
        """Return the other members that are not suspect, leaving or dead."""
        return [
            row
            for row in self
            if row.status is Status.ALIVE
            and row.id != self.own.id
            and row.id not in self._listed_leaving
        ]

    def candidates(self) -> tuple[Address, ...]:
        """Return the listed addresses that only dead or unknown members have."""
        known = {row.address for row in self if row.status is not Status.DEAD}
        return tuple(sorted(self._listed_addresses - known))

    def apply(self, update: Member, now: float, spread: bool = True) -> Member | None:
        """Merge a row and return the new row if it changed, else None.

        `spread` states whether a changed row is sent to other members. A row about this
        instance that would win is refuted, and the refutation is returned.
        """
        if update.id == self.own.id:
            return self._refute(update)
        known = self._rows.get(update.id)
        if known is not None and merge(known, update) == known:
            return None
        self._store(update, now, spread)
        return update

    def suspect(self, member_id: str, now: float) -> Member | None:
        """Record that a member did not answer and return its row if it changed.

        A leaving member that doesn't answer is marked as dead without suspicion.
        """
        row = self._rows.get(member_id)
        if row is None or member_id == self.own.id:
            return None
        if row.status is Status.ALIVE:
            return self.apply(attrs.evolve(row, status=Status.SUSPECT), now)
        if row.status is Status.LEAVING:
            return self.apply(attrs.evolve(row, status=Status.DEAD), now)
        return None

    def expire(self, now: float, suspicion: float) -> list[Member]:
        """Mark expired suspects as dead and remove old rows of dead members.

        `suspicion` is the time in seconds in which a suspect can refute. Returns the
        rows that became dead.
        """
        changed = []
        for row in list(self._rows.values()):
            age = now - self._status_since.get(row.id, now)
            if row.status is Status.SUSPECT and age >= suspicion:
                dead = attrs.evolve(row, status=Status.DEAD)
                self._store(dead, now)
                changed.append(dead)
            elif row.status is Status.DEAD and age >= self._dead_retention_s:
                self._remove(row.id)
        return changed

    def restart_suspicions(self, now: float) -> None:
        """Restart the suspicion time of all suspects after a pause of this process."""
        for row in self:
            if row.status is Status.SUSPECT:
                self._status_since[row.id] = now

    def set_address(self, address: Address) -> None:
        """Set the address of this instance, which is known only once it listens."""
        self._set_own(attrs.evolve(self.own, address=address))

    def set_shard_cost(self, shard_us: int) -> None:
        """Set the time in microseconds that this instance takes for one shard."""
        self._set_own(attrs.evolve(self.own, shard_us=shard_us))

    def raise_incarnation(self, at_least: int = 0) -> Member:
        """Raise the incarnation by 1, or to `at_least` if higher; return the row."""
        incarnation = max(self.own.incarnation + 1, at_least)
        return self._set_own(attrs.evolve(self.own, incarnation=incarnation))

    def leave(self) -> Member:
        """Mark this instance as leaving; return the own row."""
        return self._set_own(attrs.evolve(self.own, status=Status.LEAVING))

    def replace_listed(self, listed: Iterable[ListedInstance]) -> None:
        """Replace the previous list of instances by the platform's current one.

        An unknown instance becomes a candidate for a probe. Absence from the list has
        no effect, because a member that answers probes is alive.
        """
        listed = [row for row in listed if row.id != self.own.id]
        self._listed_leaving = {row.id for row in listed if row.leaving}
        self._listed_addresses = {row.address for row in listed if not row.leaving}

    def next_probe(self) -> Member | None:
        """Return the next member of the shuffled round, None if there is no other."""
        for _ in range(2):
            while self._probe_round:
                row = self._rows.get(self._probe_round.pop())
                if row is not None and row.status is not Status.DEAD:
                    return row
            self._probe_round = [
                row.id
                for row in self
                if row.status is not Status.DEAD and row.id != self.own.id
            ]
            self._rng.shuffle(self._probe_round)
        return None

    def next_rejoin_address(self, seeds: Iterable[Address] = ()) -> Address | None:
        """Return a random address to probe for new or returned members, or None."""
        dead = {row.address for row in self if row.status is Status.DEAD}
        known = {row.address for row in self if row.status is not Status.DEAD}
        choices = sorted((dead | self._listed_addresses | set(seeds)) - known)
        return self._rng.choice(choices) if choices else None

    def helpers(self, count: int, exclude: str) -> list[Member]:
        """Return up to `count` random live members for an indirect probe."""
        return self.sample(count, {exclude})

    def sample(self, count: int, exclude: Iterable[str] = ()) -> list[Member]:
        """Return up to `count` distinct random live members."""
        excluded = set(exclude)
        choices = [row for row in self.alive() if row.id not in excluded]
        return self._rng.sample(choices, min(count, len(choices)))

    def take_updates(self, receiver: str | None = None) -> tuple[Member, ...]:
        """Return the rows for a message, at most `MAX_UPDATES`, the own row first.

        The receiver's row follows unless it is alive, so that the receiver can refute
        it. Then come the updates that were sent least often, and a few random rows.
        """
        chosen = {self.own.id: self.own}
        receiver_row = self._rows.get(receiver) if receiver is not None else None
        if receiver_row is not None and receiver_row.status is not Status.ALIVE:
            chosen[receiver_row.id] = receiver_row
        pending = sorted(self._updates.items(), key=lambda item: item[1].sent)
        for member_id, update in pending:
            if len(chosen) == MAX_UPDATES:
                break
            chosen[member_id] = update.member
            self._count_sent(member_id, update)
        self._add_random_rows(chosen)
        return tuple(chosen.values())

    def _add_random_rows(self, chosen: dict[str, Member]) -> None:
        room = min(FILL_ROWS, MAX_UPDATES - len(chosen), len(self._rows))
        if room <= 0:
            return
        for member_id in self._rng.sample(list(self._rows), room):
            row = self._rows[member_id]
            if row.status is not Status.DEAD:
                chosen.setdefault(member_id, row)

    def _count_sent(self, member_id: str, update: _Update) -> None:
        update.sent += 1
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(len(self._rows) + 1))
        if update.sent >= limit:
            del self._updates[member_id]

    def _effective_row(self, row: Member) -> Member:
        if row.status is Status.ALIVE and row.id in self._listed_leaving:
            return attrs.evolve(row, status=Status.LEAVING)
        return row

    def _refute(self, update: Member) -> Member | None:
        if merge(self.own, update) == self.own:
            return None
        return self.raise_incarnation(update.incarnation + 1)

    def _set_own(self, row: Member) -> Member:
        self.own = row
        self._rows[row.id] = row
        self._queue_update(row)
        return row

    def _store(self, row: Member, now: float, spread: bool = True) -> None:
        known = self._rows.get(row.id)
        if known is None or known.status is not row.status:
            self._status_since[row.id] = now
        self._rows[row.id] = row
        if spread:
            self._queue_update(row)
        else:
            # An older queued row would contradict this one and must not be sent.
            self._updates.pop(row.id, None)

    def _queue_update(self, row: Member) -> None:
        self._updates[row.id] = _Update(row)

    def _remove(self, member_id: str) -> None:
        del self._rows[member_id]
        self._status_since.pop(member_id, None)
        self._updates.pop(member_id, None)
