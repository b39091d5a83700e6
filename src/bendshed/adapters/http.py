"""HTTP client (aiohttp) and a helper for routes (blacksheep).

blacksheep is used for the server only. Its client is unsuitable for engines: it resends a request
whose connection closed before the response (a call would start twice), reuses connections that the
peer has closed, and lets the garbage collector free a connection whose stream is being read, so
that the stream never ends. See docs/design/0002.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass

import aiohttp
from blacksheep import Application, Request, Response

CONNECT_TIMEOUT_S = 5.0
MAX_IDLE_S = 15.0
READ_TIMEOUT_S = 60.0
"""A stream that delivers no data for this long counts as broken; so does a response whose head, or
all of which, takes longer."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Size of the largest response that is read as a whole."""
MAX_DETAIL_BYTES = 64 * 1024
"""The same for the description of an error."""

CONNECTION_ERRORS = (OSError, TimeoutError, aiohttp.ClientError)
"""Exceptions that a request may raise if the peer does not send a valid response."""


class AnswerTooLarge(aiohttp.ClientPayloadError):
    """A response is larger than any that a peer has reason to send."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A complete response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpStream:
    """A response whose body is read as it arrives."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.status = response.status
        self._response = response

    async def read_detail(self) -> bytes:
        """Return the rest of the body, the description of an error."""
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await _read_limited(self._response, MAX_DETAIL_BYTES)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield bytes as they arrive; raise one of ``CONNECTION_ERRORS`` on a truncated body."""
        chunks = self._response.content.iter_any()
        try:
            while True:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    chunk = await anext(chunks, None)
                if chunk is None:
                    return
                yield chunk
        finally:
            if not self._response.content.at_eof():
                self._response.close()


class HttpClient:
    """HTTP client. It sends each request once and never retries.

    Args:
        max_idle_s: a connection that was idle for longer is not reused, in seconds.

    """

    def __init__(self, max_idle_s: float = MAX_IDLE_S) -> None:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=max_idle_s),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def send(
        self,
        method: str,
        url: str,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Send a request and read the complete response."""
        async with (
            asyncio.timeout(READ_TIMEOUT_S),
            self._session.request(
                method, url, data=content, headers=headers, allow_redirects=False
            ) as response,
        ):
            body = await _read_limited(response, MAX_ANSWER_BYTES)
            return HttpAnswer(response.status, response.headers, body)

    async def stream(
        self,
        method: str,
        url: str,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpStream:
        """Send a request and return once the response head has arrived."""
        async with asyncio.timeout(READ_TIMEOUT_S):
            response = await self._session.request(
                method, url, data=content, headers=headers, allow_redirects=False
            )
        return HttpStream(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


async def _read_limited(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Read a body; close the connection and raise ``AnswerTooLarge`` if it is larger."""
    chunks: list[bytes] = []
    num_bytes = 0
    async for chunk in response.content.iter_any():
        num_bytes += len(chunk)
        if num_bytes > max_bytes:
            response.close()
            raise AnswerTooLarge(f"a body of more than {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def is_refused(error: BaseException) -> bool:
    """Return whether the connection was refused, so that nothing was sent."""
    cause = error.os_error if isinstance(error, aiohttp.ClientConnectorError) else error
    return isinstance(cause, ConnectionRefusedError)


Handler = Callable[[Request], Awaitable[Response]]


def add_route(application: Application, method: str, path: str, handler: Handler) -> None:
    """Add a route whose handler may be a bound method; blacksheep accepts plain functions only."""

    async def route(request: Request) -> Response:
        return await handler(request)

    application.router.add(method, path, route)
