"""An in-memory fleet: instances, a faulty network and targets on one clock."""

from __future__ import annotations

import asyncio
import enum
import random

from filbertshelf.clock import ManualClock
from filbertshelf.coordination.booking_runs import ShardChoice
from filbertshelf.coordination.bookings import Bookings
from filbertshelf.errors import PeerTimeoutError, PeerUnreachableError
from filbertshelf.protocol.bookings import BookingRequest
from filbertshelf.protocol.messages import decode, encode
from filbertshelf.settings import Settings
from filbertshelf.state.final_table import FinalTableStore
from filbertshelf.state.members import Identity, Member, Status
from filbertshelf.state.outcome import Answer, Attempt, Reason, Result
from filbertshelf.state.ticket_table import TableLimits, TicketTable
from test.history import BookingHistory

CFG = Settings(
    name="i0",
    data_centre="bne-1",
    fleet_key="0123456789abcdef",
    platform=("127.0.0.1", 1),
    ticket_lifetime=10.0,
)
LIMITS = TableLimits(keep_ms=8_000)
# How long the fake pause detector reports a pause after it has ended, in seconds.
PAUSE_SEEN = 0.3


class Fate(enum.Enum):
    """What a target does with a write."""

    ANSWERED = 0
    REFUSED = 1
    LOST_BEFORE = 2
    LOST_AFTER = 3


def choose(request):
    return ShardChoice(request.service, request.shard, "v1", 1, 1)


class Instance:
    """One process; while it is paused none of its sleeps and requests ends.

    It is its own clock, pause detector, membership, planner and peer transport.
    """

    def __init__(self, fleet: Fleet, number: int, incarnation: int):
        self.fleet = fleet
        self.id = f"i{number}"
        self.address = ("127.0.0.1", 7000 + number)
        self.awake = asyncio.Event()
        self.awake.set()
        self.gone = False
        self.woken_at = -PAUSE_SEEN
        self.status = Status.ALIVE
        self.handlers = {}
        self.register = self.handlers.__setitem__
        self.now, self.monotonic = fleet.clock.now, fleet.clock.monotonic
        self.members, self.choose = fleet.members, choose
        identity = Identity(self.id, "bne-1", incarnation)
        self.table = fleet.table(CFG, self, identity, self.address, LIMITS)
        self.finals = FinalTableStore(self)
        runner = fleet.runner(self)
        self.bookings = Bookings(
            CFG, self, self.table, self.finals, self, self, self, runner, self
        )

    async def sleep(self, seconds: float) -> None:
        """Return when the time has passed and the process runs."""
        await self.fleet.clock.sleep(seconds)
        await self.runs()

    async def runs(self) -> None:
        """Return when the process is not paused; never if it is gone."""
        await self.awake.wait()
        if self.gone:
            await self.fleet.hang()

    def pending_pause_s(self) -> float:
        """Return whether the process was paused a moment ago."""
        return float(self.monotonic() < self.woken_at + PAUSE_SEEN)

    async def request(self, address, msg, timeout):
        """Return the reply, as the peer transport does."""
        started = self.monotonic()
        call = asyncio.ensure_future(self.fleet.call(self, address, msg))
        timer = asyncio.ensure_future(self.sleep(timeout))
        await asyncio.wait({call, timer}, return_when=asyncio.FIRST_COMPLETED)
        timer.cancel()
        # The receiver still gets the message; only the reply has no reader.
        call.add_done_callback(lambda done: done.cancelled() or done.exception())
        await self.runs()
        if not call.done() or self.monotonic() >= started + timeout:
            raise PeerTimeoutError(f"{address} gave no reply in time")
        return call.result()

    def pause(self) -> None:
        """Stop the process."""
        self.awake.clear()

    def resume(self) -> None:
        """Let the process run on."""
        if not self.awake.is_set():
            self.woken_at = self.monotonic()
            self.awake.set()

    async def leave(self) -> None:
        """Leave gracefully; the process ends a moment after its hand-off."""
        self.status = Status.LEAVING
        await self.bookings.leave(1.0)
        await self.sleep(0.2)
        self.gone = True


class Runner:
    """Obeys the contract of a runner against the fleet's targets."""

    def __init__(self, instance: Instance):
        self.instance = instance

    async def run_once(self, request, ticket_id, choice, deadline, check):
        """Try up to three targets."""
        attempts = []
        for target in ("t0", "t1", "t2"):
            await self.instance.sleep(self.instance.fleet.rng.uniform(0.0, 0.1))
            check.before_write()
            attempt = await self.write(target, request, deadline)
            attempts.append(attempt)
            if attempt.result is not Result.NOT_RUN:
                break
            check.mark_not_run()
        return attempts

    async def write(self, target, request, deadline):
        """Write to one target, which draws the fate."""
        fleet, now = self.instance.fleet, self.instance.monotonic()
        fate = fleet.rng.choices(list(Fate), fleet.fates)[0]
        if fate is Fate.REFUSED:
            await self.instance.sleep(0.02)
            return Attempt(target, Result.NOT_RUN, Reason.DRAINING)
        if fate is Fate.LOST_BEFORE:
            await self.instance.sleep(0.05)
            return Attempt(target, Result.UNKNOWN, Reason.CONNECTION_LOST)
        await fleet.clock.sleep(fleet.rng.uniform(0.0, fleet.target_delay))
        fleet.history.record_execution(request.body["ticket"], now, deadline)
        await self.instance.runs()
        if fate is Fate.LOST_AFTER:
            return Attempt(target, Result.UNKNOWN, Reason.CONNECTION_LOST)
        row = f"{target}/{fleet.rng.random()}"
        return Attempt(target, Result.ANSWERED, answer=row)


class Fleet:
    """The instances, and the network between them."""

    def __init__(
        self, seed, size=4, fates=(1, 0, 0, 0), table=TicketTable, runner=Runner
    ):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.history = BookingHistory()
        self.fates = fates
        self.target_delay = 0.2
        self.lost = 0.0
        self.side: dict[str, int] = {}
        self.table = table
        self.runner = runner
        self.callers: set[asyncio.Task] = set()
        self.hanging: list[asyncio.Future] = []
        self.instances = [Instance(self, number, 1) for number in range(size)]

    def hang(self) -> asyncio.Future:
        """Return a future that never ends; it is kept, or its waiters would vanish."""
        self.hanging.append(asyncio.get_running_loop().create_future())
        return self.hanging[-1]

    def replace(self, number: int, incarnation: int = 2) -> None:
        """End the process without notice and start another at its address."""
        self.instances[number].gone = True
        self.instances[number] = Instance(self, number, incarnation)

    def leave(self, number: int) -> asyncio.Task:
        """Start a graceful leave."""
        return asyncio.ensure_future(self.instances[number].leave())

    def partition(self, *numbers: int) -> None:
        """Separate these instances from the others."""
        self.side = {f"i{number}": 1 for number in numbers}

    async def call(self, sender, address, msg):
        """Deliver a message and return the reply, if the network lets it."""
        await self.clock.sleep(self.rng.uniform(0.0, 0.05))
        receiver = next(i for i in self.instances if i.address == address)
        if receiver.gone or self._cut(sender, receiver):
            raise PeerUnreachableError(f"{address} can't be reached")
        await receiver.runs()
        handle = receiver.handlers[type(msg)]
        handler = asyncio.ensure_future(handle(sender, _sent(msg)))
        if self.rng.random() < self.lost:
            await self.hang()
        reply = _sent(await handler)
        await receiver.runs()
        await self.clock.sleep(self.rng.uniform(0.0, 0.05))
        if receiver.gone or self._cut(sender, receiver):
            await self.hang()
        return reply

    def members(self) -> list[Member]:
        """Return the rows of all instances; a replaced one has its successor's."""
        return [Member(i.id, "z", i.address, 1, i.status) for i in self.instances]

    def _cut(self, one, other) -> bool:
        return self.side.get(one.id, 0) != self.side.get(other.id, 0)

    def mint(self, number: int) -> str:
        """Return a ticket of the instance."""
        return self.instances[number].bookings.mint()

    def submit(self, number: int, ticket: str, seconds: float = 1.0) -> asyncio.Task:
        """Send the booking as a caller that waits up to `seconds`."""
        task = asyncio.ensure_future(self._submit(number, ticket, seconds))
        self.callers.add(task)
        return task

    async def ask(self, number: int, ticket: str, seconds: float = 1.0) -> Answer:
        """Send the booking and return the answer."""
        task = self.submit(number, ticket, seconds)
        await self.drive(seconds + 0.1)
        return task.result()

    async def _submit(self, number, ticket, seconds):
        instance = self.instances[number]
        request = BookingRequest("r", "c", {}, "hire", "s1", {"ticket": ticket})
        await instance.runs()
        deadline = self.clock.monotonic() + seconds
        answer = await instance.bookings.submit(ticket, request, deadline)
        await instance.runs()
        self.history.record_answer(ticket, answer)
        return answer

    async def drive(self, seconds: float, step: float = 0.02) -> None:
        """Let the fleet run for some seconds of its clock."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            for _ in range(15):
                await asyncio.sleep(0)
            self.clock.advance(step)

    def close(self) -> None:
        """End all tasks; raise what a caller got other than an answer."""
        for task in self.callers:
            if task.done() and not task.cancelled():
                task.result()
        self.cancel()

    def cancel(self) -> None:
        """End the tasks, some of which wait for processes that are gone."""
        for task in self.callers:
            if task.done() and not task.cancelled():
                # Callers of a fleet with a planted fault can get errors.
                task.exception()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()


def _sent(msg):
    return decode(encode(msg)).message


async def run_month_end(seed: int, **parts) -> Fleet:
    """Return a fleet after seeded bookings and faults."""
    fleet = Fleet(seed, 4, (5, 3, 1, 1), **parts)
    rng = fleet.rng
    fleet.lost = 0.1
    tickets: list[str] = []
    for _ in range(60):
        _disturb(fleet, rng)
        number = rng.randrange(4)
        if not fleet.instances[number].table.closed and rng.random() < 0.7:
            tickets.append(fleet.mint(number))
        for ticket in rng.choices(tickets, k=rng.randrange(3)) if tickets else ():
            fleet.submit(rng.randrange(4), ticket, rng.choice([0.1, 0.5, 2.0]))
        await fleet.drive(rng.choice([0.04, 0.1, 0.4]))
    fleet.partition()
    fleet.lost = 0.0
    for instance in fleet.instances:
        instance.resume()
    # A part of the tickets has expired by then, and of some the records are gone.
    await fleet.drive(6.0)
    for ticket in tickets:
        fleet.submit(rng.randrange(4), ticket, 3.0)
    await fleet.drive(4.0)
    return fleet


def _disturb(fleet: Fleet, rng: random.Random) -> None:
    number = rng.randrange(4)
    instance = fleet.instances[number]
    match rng.randrange(12):
        case 0:
            instance.pause()
        case 1 | 2:
            for other in fleet.instances:
                other.resume()
        case 3:
            fleet.partition(*rng.sample(range(4), 2))
        case 4 | 5:
            fleet.partition()
        case 6 if rng.random() < 0.3:
            fleet.replace(number)
        case 7 if not instance.table.closed and rng.random() < 0.5:
            fleet.leave(number)
        case 8 if instance.gone:
            fleet.replace(number)
