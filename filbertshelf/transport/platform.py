"""The HTTP client that reads and watches documents of the platform."""

from __future__ import annotations

from collections.abc import Mapping
from types import TracebackType

import aiohttp

from filbertshelf.errors import (
    PlatformError,
    PlatformMissingError,
    PlatformTooLargeError,
)
from filbertshelf.protocol.platform import (
    MAX_BODY_BYTES,
    MAX_WAIT_S,
    PlatformDocument,
    document_path,
    parse_document,
)

# The platform normally answers within milliseconds; 2 s covers a paused process or a
# full queue.
ANSWER_TIMEOUT_S = 2.0


class PlatformClient:
    """Reads and watches documents; every call is bounded by a timeout."""

    def __init__(self, address: tuple[str, int], timeout: float = ANSWER_TIMEOUT_S):
        """Create a client; `timeout` limits a call in seconds.

        A watch may take its waiting time in addition.
        """
        host, port = address
        host = f"[{host}]" if ":" in host else host
        self._base = f"http://{host}:{port}"
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> PlatformClient:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Close the connections; a later call opens new ones."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def read(self, document: str) -> PlatformDocument:
        """Return the document.

        Raises `PlatformMissingError` if it was never published, and another
        `PlatformError` if it can't be read.
        """
        result = await self._get(document, {}, self._timeout)
        if result is None:
            raise PlatformError("the platform answered 304 to a read")
        return result

    async def watch(
        self, document: str, after: int, wait: float
    ) -> PlatformDocument | None:
        """Return the document as soon as its revision is above `after`.

        Returns None if that doesn't happen within `wait` seconds (at most
        `MAX_WAIT_S`). Raises `PlatformError` if the document can't be read.
        """
        wait = min(wait, MAX_WAIT_S)
        query = {"after": str(after), "wait": f"{wait:g}"}
        return await self._get(document, query, wait + self._timeout)

    async def _get(
        self, document: str, query: Mapping[str, str], timeout: float
    ) -> PlatformDocument | None:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        url = self._base + document_path(document)
        limit = aiohttp.ClientTimeout(total=timeout)
        try:
            async with self._session.get(
                url, params=query, timeout=limit, allow_redirects=False
            ) as resp:
                return await _read_answer(resp)
        except TimeoutError as exc:
            raise PlatformError(f"no answer in {timeout:g} s") from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise PlatformError(f"{type(exc).__name__}: {exc}") from exc


async def _read_answer(resp: aiohttp.ClientResponse) -> PlatformDocument | None:
    if resp.status == 304:
        return None
    if resp.status == 404:
        raise PlatformMissingError("the document was never published")
    if resp.status != 200:
        raise PlatformError(f"the platform answered with status {resp.status}")
    body = bytearray()
    async for chunk in resp.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            resp.close()
            raise PlatformTooLargeError(f"the body is over {MAX_BODY_BYTES} bytes")
    return parse_document(bytes(body))
