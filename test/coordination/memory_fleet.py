"""An in-memory fleet with a faulty network and simulated targets on one clock."""

from __future__ import annotations

import asyncio
import enum
import random

from filbertshelf.clock import ManualClock
from filbertshelf.coordination.booking_interfaces import ShardChoice
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
# The time for which the fake pause detector reports a pause after its end.
PAUSE_REPORTED_S = 0.3


class WriteOutcome(enum.Enum):
    """How a target handles a write."""

    ANSWERED = 0
    REFUSED = 1
    LOST_BEFORE_RUN = 2
    LOST_AFTER_RUN = 3


def choose_shard(request):
    return ShardChoice(request.service, request.shard, "v1", 1, 1)


class Instance:
    """A simulated process; while it is paused, its sleeps and requests don't return.

    It also serves as clock, pause detector, membership, planner and peer transport.
    """

    def __init__(self, fleet: Fleet, number: int, incarnation: int):
        self.fleet = fleet
        self.id = f"i{number}"
        self.address = ("127.0.0.1", 7000 + number)
        self.unpaused = asyncio.Event()
        self.unpaused.set()
        self.stopped = False
        self.resumed_at = -PAUSE_REPORTED_S
        self.status = Status.ALIVE
        self.handlers = {}
        self.register = self.handlers.__setitem__
        self.now, self.monotonic = fleet.clock.now, fleet.clock.monotonic
        self.members, self.choose_shard = fleet.members, choose_shard
        identity = Identity(self.id, "bne-1", incarnation)
        self.table = fleet.table(CFG, self, identity, self.address, LIMITS)
        self.final_tables = FinalTableStore(self)
        runner = fleet.runner(self)
        self.bookings = Bookings(
            CFG, self, self.table, self.final_tables, self, self, self, runner, self
        )

    async def sleep(self, seconds: float) -> None:
        """Return when the time has passed and the process is not paused."""
        await self.fleet.clock.sleep(seconds)
        await self.wait_until_running()

    async def wait_until_running(self) -> None:
        """Return when the process is not paused; never return if it has stopped."""
        await self.unpaused.wait()
        if self.stopped:
            await self.fleet.hang()

    def pending_pause_s(self) -> float:
        """Return 1.0 for a while after a pause, else 0.0."""
        return float(self.monotonic() < self.resumed_at + PAUSE_REPORTED_S)

    async def request(self, address, msg, timeout):
        """Return the reply, as the peer transport does."""
        started = self.monotonic()
        call = asyncio.ensure_future(self.fleet.call(self, address, msg))
        timer = asyncio.ensure_future(self.sleep(timeout))
        await asyncio.wait({call, timer}, return_when=asyncio.FIRST_COMPLETED)
        timer.cancel()
        # After a timeout the receiver still handles the message; its reply is ignored.
        call.add_done_callback(lambda done: done.cancelled() or done.exception())
        await self.wait_until_running()
        if not call.done() or self.monotonic() >= started + timeout:
            raise PeerTimeoutError(f"{address} gave no reply in time")
        return call.result()

    def pause(self) -> None:
        """Pause the process."""
        self.unpaused.clear()

    def resume(self) -> None:
        """Resume the process."""
        if not self.unpaused.is_set():
            self.resumed_at = self.monotonic()
            self.unpaused.set()

    async def leave(self) -> None:
        """Leave gracefully; the process ends shortly after its hand-off."""
        self.status = Status.LEAVING
        await self.bookings.leave(1.0)
        await self.sleep(0.2)
        self.stopped = True


class Runner:
    """A runner that writes to the fleet's simulated targets."""

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
        """Write to one target; the outcome is drawn by the fleet's weights."""
        fleet, now = self.instance.fleet, self.instance.monotonic()
        write_outcome = fleet.rng.choices(list(WriteOutcome), fleet.outcome_weights)[0]
        if write_outcome is WriteOutcome.REFUSED:
            await self.instance.sleep(0.02)
            return Attempt(target, Result.NOT_RUN, Reason.DRAINING)
        if write_outcome is WriteOutcome.LOST_BEFORE_RUN:
            await self.instance.sleep(0.05)
            return Attempt(target, Result.UNKNOWN, Reason.CONNECTION_LOST)
        await fleet.clock.sleep(fleet.rng.uniform(0.0, fleet.target_delay_s))
        fleet.history.record_execution(request.body["ticket"], now, deadline)
        await self.instance.wait_until_running()
        if write_outcome is WriteOutcome.LOST_AFTER_RUN:
            return Attempt(target, Result.UNKNOWN, Reason.CONNECTION_LOST)
        row = f"{target}/{fleet.rng.random()}"
        return Attempt(target, Result.ANSWERED, answer=row)


class Fleet:
    """The instances and the network between them."""

    def __init__(
        self,
        seed,
        size=4,
        outcome_weights=(1, 0, 0, 0),
        table=TicketTable,
        runner=Runner,
    ):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.history = BookingHistory()
        self.outcome_weights = outcome_weights
        self.target_delay_s = 0.2
        self.reply_loss = 0.0
        self.partition_side: dict[str, int] = {}
        self.table = table
        self.runner = runner
        self.callers: set[asyncio.Task] = set()
        self.hanging: list[asyncio.Future] = []
        self.instances = [Instance(self, number, 1) for number in range(size)]

    def hang(self) -> asyncio.Future:
        """Return a future that never ends.

        A reference is kept, since the garbage collector would destroy its waiters.
        """
        self.hanging.append(asyncio.get_running_loop().create_future())
        return self.hanging[-1]

    def replace(self, number: int, incarnation: int = 2) -> None:
        """Crash the process and start another one at its address."""
        self.instances[number].stopped = True
        self.instances[number] = Instance(self, number, incarnation)

    def leave(self, number: int) -> asyncio.Task:
        """Start a graceful leave."""
        return asyncio.ensure_future(self.instances[number].leave())

    def partition(self, *numbers: int) -> None:
        """Separate these instances from the others; without arguments, rejoin all."""
        self.partition_side = {f"i{number}": 1 for number in numbers}

    async def call(self, sender, address, msg):
        """Deliver a message and return the reply, unless the network loses one."""
        await self.clock.sleep(self.rng.uniform(0.0, 0.05))
        receiver = next(i for i in self.instances if i.address == address)
        if receiver.stopped or self._is_partitioned(sender, receiver):
            raise PeerUnreachableError(f"{address} can't be reached")
        await receiver.wait_until_running()
        handle = receiver.handlers[type(msg)]
        handler = asyncio.ensure_future(handle(sender, _encode_and_decode(msg)))
        if self.rng.random() < self.reply_loss:
            await self.hang()
        reply = _encode_and_decode(await handler)
        await receiver.wait_until_running()
        await self.clock.sleep(self.rng.uniform(0.0, 0.05))
        if receiver.stopped or self._is_partitioned(sender, receiver):
            await self.hang()
        return reply

    def members(self) -> list[Member]:
        """Return the rows of all current instances."""
        return [Member(i.id, "z", i.address, 1, i.status) for i in self.instances]

    def _is_partitioned(self, one, other) -> bool:
        return self.partition_side.get(one.id, 0) != self.partition_side.get(
            other.id, 0
        )

    def mint(self, number: int) -> str:
        """Return a ticket minted by the instance."""
        return self.instances[number].bookings.mint_ticket()

    def submit(self, number: int, ticket: str, seconds: float = 1.0) -> asyncio.Task:
        """Submit a booking as a caller that waits up to `seconds`."""
        task = asyncio.ensure_future(self._submit(number, ticket, seconds))
        self.callers.add(task)
        return task

    async def submit_and_wait(
        self, number: int, ticket: str, seconds: float = 1.0
    ) -> Answer:
        """Submit a booking and return the answer."""
        task = self.submit(number, ticket, seconds)
        await self.advance(seconds + 0.1)
        return task.result()

    async def _submit(self, number, ticket, seconds):
        instance = self.instances[number]
        request = BookingRequest("r", "c", {}, "hire", "s1", {"ticket": ticket})
        await instance.wait_until_running()
        deadline = self.clock.monotonic() + seconds
        answer = await instance.bookings.submit(ticket, request, deadline)
        await instance.wait_until_running()
        self.history.record_answer(ticket, answer)
        return answer

    async def advance(self, seconds: float, step: float = 0.02) -> None:
        """Run the fleet for this many seconds of its clock."""
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            for _ in range(15):
                await asyncio.sleep(0)
            self.clock.advance(step)

    def close(self) -> None:
        """Cancel all tasks, and raise the exception of any caller."""
        for task in self.callers:
            if task.done() and not task.cancelled():
                task.result()
        self.cancel()

    def cancel(self) -> None:
        """Cancel all tasks, some of which wait for stopped processes."""
        for task in self.callers:
            if task.done() and not task.cancelled():
                # With an injected fault, callers can get exceptions.
                task.exception()
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()


def _encode_and_decode(msg):
    return decode(encode(msg)).message


async def run_with_faults(seed: int, **parts) -> Fleet:
    """Run bookings and faults drawn from the seed, and return the fleet."""
    fleet = Fleet(seed, 4, (5, 3, 1, 1), **parts)
    rng = fleet.rng
    fleet.reply_loss = 0.1
    tickets: list[str] = []
    for _ in range(60):
        _inject_fault(fleet, rng)
        number = rng.randrange(4)
        if not fleet.instances[number].table.closed and rng.random() < 0.7:
            tickets.append(fleet.mint(number))
        for ticket in rng.choices(tickets, k=rng.randrange(3)) if tickets else ():
            fleet.submit(rng.randrange(4), ticket, rng.choice([0.1, 0.5, 2.0]))
        await fleet.advance(rng.choice([0.04, 0.1, 0.4]))
    fleet.partition()
    fleet.reply_loss = 0.0
    for instance in fleet.instances:
        instance.resume()
    # After this, some tickets have expired, and some of their records are deleted.
    await fleet.advance(6.0)
    for ticket in tickets:
        fleet.submit(rng.randrange(4), ticket, 3.0)
    await fleet.advance(4.0)
    return fleet


def _inject_fault(fleet: Fleet, rng: random.Random) -> None:
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
        case 8 if instance.stopped:
            fleet.replace(number)
