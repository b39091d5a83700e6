"""HTTP by libraries: a client (aiohttp) and a helper for routes (blacksheep).

The house's library for HTTP serves our side. Its client was measured unfit towards engines: it
resends a request whose connection closed before the answer (a call would start twice), reuses
connections that the other side has closed, and lets the garbage collector take a connection whose
stream is being read, so that the stream never ends. See docs/design/0002.
"""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass

import aiohttp
from blacksheep import Application, Request, Response

CONNECT_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 60.0
"""A stream that brings no byte for this long counts as broken."""

CONNECTION_ERRORS = (OSError, TimeoutError, aiohttp.ClientError)
"""What a request may raise when the other side does not answer properly."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpStream:
    """An answer whose body is read as it comes."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self.status = response.status
        self._response = response

    async def read(self) -> bytes:
        """Return the rest of the body."""
        return await self._response.read()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Bytes as they arrive; raises one of ``CONNECTION_ERRORS`` when the body is cut."""
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        finally:
            if not self._response.content.at_eof():
                self._response.close()


class HttpClient:
    """One client per process. A request is sent once and never repeated by the client."""

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def send(
        self,
        method: str,
        url: str,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Send a request and read the whole answer."""
        async with self._session.request(
            method, url, data=content, headers=headers, allow_redirects=False
        ) as response:
            return HttpAnswer(response.status, response.headers, await response.read())

    async def stream(
        self,
        method: str,
        url: str,
        content: bytes | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> HttpStream:
        """Send a request and return once the answer's head is there."""
        response = await self._session.request(
            method, url, data=content, headers=headers, allow_redirects=False
        )
        return HttpStream(response)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def is_refused(error: BaseException) -> bool:
    """Whether the connection was refused, so that nothing was sent."""
    cause = error.os_error if isinstance(error, aiohttp.ClientConnectorError) else error
    return isinstance(cause, ConnectionRefusedError)


Handler = Callable[[Request], Awaitable[Response]]


def add_route(application: Application, method: str, path: str, handler: Handler) -> None:
    """Add a route whose handler may be a bound method (the library wants plain functions)."""

    async def route(request: Request) -> Response:
        return await handler(request)

    application.router.add(method, path, route)
