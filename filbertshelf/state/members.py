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
# SWIM reaches every member with high probability after a multiple of log2 n sends.
RETRANSMIT_FACTOR = 3
# Stable rows that are added to a message with room, so that a member that missed an
# update learns it later.
FILL_ROWS = 2
# The regions are partitioned from each other for up to an hour; the dead rows are
# kept for longer, so that both sides probe each other again.
FORGET_AFTER_S = 7_200.0


class Status(enum.IntEnum):
    """The state of a member; at the same incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@attrs.frozen
class Identity:
    """Who a process is for its whole life: (id, incarnation) is unique.

    `incarnation` is the start time in ms. The incarnation of the member row starts
    with this value and is raised later; this one never changes.
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
    """What is known of one instance."""

    id: str
    data_centre: str
    address: Address
    incarnation: int
    status: Status = Status.ALIVE
    shard_us: int = 0
    """How many microseconds it takes for one shard of a query, 0 if unknown."""

    @property
    def precedence(self) -> tuple:
        """Return the key of a total order, so that merges give the same everywhere."""
        return (self.incarnation, self.status, self.address, self.data_centre)


@attrs.frozen
class ListedInstance:
    """One row of the platform's instance list."""

    id: str
    data_centre: str
    address: Address
    leaving: bool = False


def merge(first: Member, second: Member) -> Member:
    """Return which of two rows of one member wins.

    The higher incarnation wins, then the higher status.
    """
    return max(first, second, key=lambda member: member.precedence)


@attrs.define
class _Update:
    """A row that is still to be sent on and how often it was sent."""

    member: Member
    sent: int = 0


class MemberTable:
    """All known members, this instance included.

    Times are seconds of one monotonic clock. `rng` chooses probe order and helpers.
    """

    def __init__(
        self, own: Member, rng: random.Random, forget_after: float = FORGET_AFTER_S
    ):
        self.own = own
        self._rng = rng
        self._forget_after = forget_after
        self._rows: dict[str, Member] = {own.id: own}
        self._since: dict[str, float] = {}
        self._updates: dict[str, _Update] = {}
        self._round: list[str] = []
        self._listed_leaving: set[str] = set()
        self._candidates: set[Address] = set()
        self._queue(own)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._rows.values())

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, member_id: str) -> Member | None:
        """Return the row of a member, dead ones included."""
        return self._rows.get(member_id)

    def members(self) -> tuple[Member, ...]:
        """Return the rows that are not dead, this instance included.

        A member that the platform's list marks as leaving has the status LEAVING.
        """
        return tuple(self._view(row) for row in self if row.status is not Status.DEAD)

    def alive(self) -> list[Member]:
        """Return the other members that are neither suspect, leaving nor dead."""
        return [
            row
            for row in self
            if row.status is Status.ALIVE
            and row.id != self.own.id
            and row.id not in self._listed_leaving
        ]

    def candidates(self) -> tuple[Address, ...]:
        """Return listed addresses at which no member that is not dead is known."""
        known = {row.address for row in self if row.status is not Status.DEAD}
        return tuple(sorted(self._candidates - known))

    def apply(self, update: Member, now: float, spread: bool = True) -> Member | None:
        """Merge a row; return the new row if it changed, else None.

        `spread` tells whether a changed row is sent on to others.
        A row about this instance is refuted, and the refutation is returned.
        """
        if update.id == self.own.id:
            return self._refute(update)
        known = self._rows.get(update.id)
        if known is not None and merge(known, update) == known:
            return None
        self._store(update, now, spread)
        return update

    def suspect(self, member_id: str, now: float) -> Member | None:
        """Record that a member did not answer; return its row if it changed.

        A member that announced that it leaves and no longer answers is dead at once.
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
        """Declare overdue suspects dead and forget old dead rows.

        `suspicion` is the time in seconds in which a suspect can refute. Returns the
        rows that became dead.
        """
        changed = []
        for row in list(self._rows.values()):
            age = now - self._since.get(row.id, now)
            if row.status is Status.SUSPECT and age >= suspicion:
                dead = attrs.evolve(row, status=Status.DEAD)
                self._store(dead, now)
                changed.append(dead)
            elif row.status is Status.DEAD and age >= self._forget_after:
                self._forget(row.id)
        return changed

    def restart_suspicions(self, now: float) -> None:
        """Give every suspect the whole time again, after a pause of this process."""
        for row in self:
            if row.status is Status.SUSPECT:
                self._since[row.id] = now

    def set_address(self, address: Address) -> None:
        """Set the own address, which is known only after listening."""
        self._set_own(attrs.evolve(self.own, address=address))

    def set_shard_cost(self, shard_us: int) -> None:
        """Set how many microseconds this instance takes for one shard of a query."""
        self._set_own(attrs.evolve(self.own, shard_us=shard_us))

    def raise_incarnation(self, at_least: int = 0) -> Member:
        """Raise the own incarnation by one or to `at_least`; return the own row."""
        incarnation = max(self.own.incarnation + 1, at_least)
        return self._set_own(attrs.evolve(self.own, incarnation=incarnation))

    def leave(self) -> Member:
        """Mark this instance as leaving; return the own row."""
        return self._set_own(attrs.evolve(self.own, status=Status.LEAVING))

    def replace_listed(self, listed: Iterable[ListedInstance]) -> None:
        """Take the platform's current list in place of the previous one.

        A listed instance that isn't known becomes a candidate to probe. Absence from
        the list changes nothing: a member that answers probes is alive.
        """
        listed = [row for row in listed if row.id != self.own.id]
        self._listed_leaving = {row.id for row in listed if row.leaving}
        self._candidates = {row.address for row in listed if not row.leaving}

    def next_probe(self) -> Member | None:
        """Return the next member of the shuffled round, None if there is no other."""
        for _ in range(2):
            while self._round:
                row = self._rows.get(self._round.pop())
                if row is not None and row.status is not Status.DEAD:
                    return row
            self._round = [
                row.id
                for row in self
                if row.status is not Status.DEAD and row.id != self.own.id
            ]
            self._rng.shuffle(self._round)
        return None

    def next_rejoin_address(self, seeds: Iterable[Address] = ()) -> Address | None:
        """Return an address at which a member may be back or new, or None."""
        dead = {row.address for row in self if row.status is Status.DEAD}
        known = {row.address for row in self if row.status is not Status.DEAD}
        choices = sorted((dead | self._candidates | set(seeds)) - known)
        return self._rng.choice(choices) if choices else None

    def helpers(self, count: int, exclude: str) -> list[Member]:
        """Return up to `count` random members that can probe for this one."""
        return self.sample(count, {exclude})

    def sample(self, count: int, exclude: Iterable[str] = ()) -> list[Member]:
        """Return up to `count` different random members that are alive."""
        skipped = set(exclude)
        choices = [row for row in self.alive() if row.id not in skipped]
        return self._rng.sample(choices, min(count, len(choices)))

    def take_updates(self, receiver: str | None = None) -> tuple[Member, ...]:
        """Return at most 8 rows for a message; the own row is always the first.

        The receiver's own row follows if it isn't alive, so that it can refute. Then
        come the updates that were sent least often, then a few random stable rows.
        """
        chosen = {self.own.id: self.own}
        about = self._rows.get(receiver) if receiver is not None else None
        if about is not None and about.status is not Status.ALIVE:
            chosen[about.id] = about
        pending = sorted(self._updates.items(), key=lambda item: item[1].sent)
        for member_id, update in pending:
            if len(chosen) == MAX_UPDATES:
                break
            chosen[member_id] = update.member
            self._count_sent(member_id, update)
        self._fill(chosen)
        return tuple(chosen.values())

    def _fill(self, chosen: dict[str, Member]) -> None:
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

    def _view(self, row: Member) -> Member:
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
        self._queue(row)
        return row

    def _store(self, row: Member, now: float, spread: bool = True) -> None:
        known = self._rows.get(row.id)
        if known is None or known.status is not row.status:
            self._since[row.id] = now
        self._rows[row.id] = row
        if spread:
            self._queue(row)
        else:
            # A queued older row would contradict this one.
            self._updates.pop(row.id, None)

    def _queue(self, row: Member) -> None:
        self._updates[row.id] = _Update(row)

    def _forget(self, member_id: str) -> None:
        del self._rows[member_id]
        self._since.pop(member_id, None)
        self._updates.pop(member_id, None)
