"""A pool of keep-alive HTTP/1.1 connections to one address."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from filbertshelf.clock import Clock
from filbertshelf.state.idle_limit import IdleLimit
from filbertshelf.transport.http1.connection import DEFAULT_IDLE_S, HttpConnection
from filbertshelf.transport.http1.exchange import Exchange, ExchangeEnd
from filbertshelf.transport.http1.message_bounds import HeldBytes
from filbertshelf.transport.http1.untaken_requests import (
    MAX_TARGET_BYTES,
    UntakenRequests,
)

CONNECT_TIMEOUT_S = 1.0


class ConnectionPool:
    """At most `quota` connections to one address, opened on demand.

    `held` accounts for the bytes of responses, `untaken` for those of requests that
    the server has not read; pools of one process may share them.
    """

    def __init__(
        self,
        address: tuple[str, int],
        quota: int,
        clock: Clock,
        held: HeldBytes | None = None,
        untaken: UntakenRequests | None = None,
    ):
        self.address = address
        self.quota = quota
        self.held = held or HeldBytes()
        self.untaken = untaken or UntakenRequests()
        self._clock = clock
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        self._untaken_on: set[HttpConnection] = set()
        """Connections with a request that the server has not taken."""
        self._connecting: set[asyncio.Task] = set()
        # Not a deque, which takes 0.6 KB even while it is empty.
        self._waiting: list[Exchange] = []
        self._closed = False
        self._on_connect_result: list[Callable[[bool], None]] = []
        self._idle_limit = IdleLimit()

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._open) + len(self._connecting)

    @property
    def waiting(self) -> int:
        """Return the number of queued exchanges."""
        return len(self._waiting)

    def has_room(self) -> bool:
        """Return whether an exchange would start without waiting for another one."""
        return self._may_write() and (bool(self._idle) or self.size < self.quota)

    def _may_write(self) -> bool:
        """Return whether the server leaves few enough bytes of requests untaken."""
        if not self._untaken_on:
            return True
        untaken = sum(conn.untaken_request.count for conn in self._untaken_on)
        return untaken < MAX_TARGET_BYTES

    def monotonic(self) -> float:
        """Return the seconds of the monotonic clock."""
        return self._clock.monotonic()

    def on_untaken(self, conn: HttpConnection) -> None:
        """Count a request that the server has not taken."""
        self._untaken_on.add(conn)

    def on_taken(self, conn: HttpConnection) -> None:
        """Count it no more, and start queued exchanges."""
        self._untaken_on.discard(conn)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start queued exchanges if the server has taken enough of the others.

        None holds up those behind it. For the ones that can't use an idle connection,
        others are opened, because `submit` opens none while nothing may be written.
        """
        now = self._clock.monotonic()
        for exchange in list(self._waiting):
            if not self._idle or not self._may_write():
                break
            if exchange.end is not None or exchange.connection is not None:
                # A call-back of another one has ended or started it.
                continue
            conn = self._pop_idle(now, exchange)
            if conn is not None:
                self._waiting.remove(exchange)
                conn.send(exchange, now)
        self._connect_for_waiting()
        while (
            len(self._connecting) < len(self._waiting)
            and self.size < self.quota
            and self._may_write()
        ):
            self._connect()

    def _connect_for_waiting(self) -> None:
        if self._waiting and not self._connecting and self._may_write():
            self._connect_or_make_room()

    def submit(self, exchange: Exchange) -> None:
        """Start an exchange, or queue it until a connection is available."""
        now = exchange.started_at = self._clock.monotonic()
        if self._closed:
            exchange.finish(ExchangeEnd.NOT_SENT)
            return
        if not self._may_write():
            self._waiting.append(exchange)
            return
        conn = self._pop_idle(now, exchange)
        if conn is not None:
            conn.send(exchange, now)
            return
        self._waiting.append(exchange)
        if len(self._connecting) < len(self._waiting):
            self._connect_or_make_room()

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an exchange; its connection is closed if the request was written."""
        if exchange.end is not None:
            return
        if exchange.connection is None:
            self._remove_waiting(exchange)
        else:
            exchange.connection.abandon()
        exchange.finish(ExchangeEnd.CANCELLED)

    def warm_up(self) -> None:
        """Open a connection if there is none, before it is needed."""
        if not self._closed and not self.size:
            self._connect()

    def check_alive(self, on_dead: Callable[[], None]) -> None:
        """Open a connection, and call `on_dead` if that fails."""
        self.probe(lambda accepted: None if accepted else on_dead())

    def probe(self, on_result: Callable[[bool], None]) -> None:
        """Open a connection, and call `on_result` with whether it was accepted.

        It is not called if the pool is closed.
        """
        if self._closed:
            return
        self._on_connect_result.append(on_result)
        if not self._connecting:
            self._connect()

    def end_waiting(self) -> None:
        """End the queued exchanges as not sent, because the server wants no more."""
        waiting, self._waiting = self._waiting, []
        for exchange in waiting:
            exchange.finish(ExchangeEnd.NOT_SENT)

    def close_idle_since(self, at: float) -> None:
        """Close the connections that have been idle since a monotonic time or before.

        A connection that was open while the link failed may have lost its other end.
        """
        for conn in self._idle:
            if conn.idle_since <= at:
                conn.close()
        self._idle = [conn for conn in self._idle if conn.idle_since > at]

    def close(self) -> None:
        """Close idle connections now and others when their exchange has ended."""
        self._closed = True
        for conn in self._idle:
            conn.close()
        self._idle.clear()
        self.end_waiting()

    def release(self, conn: HttpConnection, seconds: float) -> None:
        """Return a connection to the pool; it may be reused for `seconds`."""
        if self._closed:
            conn.close()
            return
        now = conn.idle_since = self._clock.monotonic()
        conn.idle_until = now + seconds
        exchange = self._pop_waiting(conn)
        if exchange is not None:
            conn.send(exchange, now)
            return
        self._idle.append(conn)
        self._connect_for_waiting()

    def remove(self, conn: HttpConnection, exchange: Exchange | None) -> None:
        """Remove a closed connection; `exchange` is the one it interrupted, if any."""
        self._open.discard(conn)
        if exchange is not None and not exchange.status:
            now = self._clock.monotonic()
            self._idle_limit.record_loss(conn.idle_s, now - exchange.written_at, now)
        if conn in self._idle:
            self._idle.remove(conn)
        if self.size < self.quota:
            self._connect_for_waiting()

    def _pop_idle(self, now: float, exchange: Exchange) -> HttpConnection | None:
        """Return the usable connection that was used last; close unusable ones.

        Those that only this exchange can't use stay idle.
        """
        max_idle_s = self._idle_limit.limit_s(now)
        for conn in self._idle[::-1]:
            if not self._may_use(exchange, conn, now):
                continue
            self._idle.remove(conn)
            if conn.is_usable(now) and now - conn.idle_since <= max_idle_s:
                return conn
            conn.close()
        return None

    def _may_use(self, exchange: Exchange, conn: HttpConnection, now: float) -> bool:
        """Return whether an exchange may use a connection, now or once released."""
        if conn in exchange.avoid:
            return False
        return conn not in self._idle or now - conn.idle_since <= exchange.max_idle_s

    def _pop_waiting(self, conn: HttpConnection) -> Exchange | None:
        """Return the first queued exchange that may use the connection."""
        if not self._waiting or not self._may_write():
            return None
        for exchange in self._waiting:
            if conn not in exchange.avoid:
                self._waiting.remove(exchange)
                return exchange
        return None

    def _connect_or_make_room(self) -> None:
        """Open a connection for a queued exchange that can't use an idle one.

        If the quota is used up, an idle one is closed first; the next one is opened
        once it has gone.
        """
        if self.size < self.quota:
            self._connect()
        elif self._idle:
            self._idle.pop(0).close()

    def _remove_waiting(self, exchange: Exchange) -> None:
        if exchange in self._waiting:
            self._waiting.remove(exchange)

    def _connect(self) -> None:
        task = asyncio.get_running_loop().create_task(self._open_connection())
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _open_connection(self) -> None:
        loop = asyncio.get_running_loop()
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _transport, conn = await loop.create_connection(
                    lambda: HttpConnection(self), host, port
                )
        except (OSError, TimeoutError):
            self._connect_failed()
            return
        self._open.add(conn)
        self.release(conn, DEFAULT_IDLE_S)
        self._report_connect(True)

    def _connect_failed(self) -> None:
        """Fail the queued exchanges that no open connection can run."""
        self._report_connect(False)
        now = self._clock.monotonic()
        failed = [
            exchange
            for exchange in self._waiting
            if not any(self._may_use(exchange, conn, now) for conn in self._open)
        ]
        for exchange in failed:
            self._waiting.remove(exchange)
        for exchange in failed:
            exchange.finish(ExchangeEnd.NOT_CONNECTED)

    def _report_connect(self, accepted: bool) -> None:
        callbacks, self._on_connect_result = self._on_connect_result, []
        for on_result in callbacks:
            on_result(accepted)
