"""Awaitable GET requests over keep-alive connections."""

from __future__ import annotations

import asyncio

from filbertshelf.clock import Clock
from filbertshelf.errors import FetchError
from filbertshelf.transport.http1.exchange import Exchange, ExchangeEnd
from filbertshelf.transport.http1.pool import ConnectionPool


class Fetcher:
    """Sends GET requests to one address over at most `connections` connections."""

    def __init__(self, address: tuple[str, int], clock: Clock, connections: int = 2):
        self._host = "{}:{}".format(*address).encode()
        self._pool = ConnectionPool(address, connections, clock)

    async def get(self, target: bytes, timeout: float) -> Exchange:
        """Request `target` and return the finished exchange.

        Raises `FetchError` if no complete response arrives within `timeout` seconds;
        the connection is closed then, because the response may still arrive on it.
        """
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_end(_exchange: Exchange) -> None:
            if not ended.done():
                ended.set_result(None)

        head = b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (target, self._host)
        exchange = Exchange(lambda: head, b"", on_end)
        self._pool.submit(exchange)
        try:
            async with asyncio.timeout(timeout):
                await ended
        except TimeoutError as exc:
            raise FetchError(f"no answer in {timeout:g} s") from exc
        finally:
            self._pool.cancel(exchange)
        if exchange.end is not ExchangeEnd.RESPONDED:
            raise FetchError(f"no answer: {exchange.end.value}")
        return exchange

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()
