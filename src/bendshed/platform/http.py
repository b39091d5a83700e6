"""One HTTP client per process, and how its failures are told apart."""

from collections.abc import Awaitable, Callable

from blacksheep import Application, Request, Response
from blacksheep.client import ClientSession
from blacksheep.client.connection import ConnectionException, InvalidResponseFromServer
from blacksheep.client.exceptions import RequestTimeout

REQUEST_TIMEOUT_S = 30.0

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    ConnectionException,
    InvalidResponseFromServer,
    RequestTimeout,
)
"""What a request may raise when the other side does not answer properly."""


def new_client() -> ClientSession:
    """Return a client that never repeats a request by itself.

    The library resends a request whose connection closed before the answer; that would start a
    call twice, so its retries are off.
    """
    return ClientSession(
        http2=False,
        follow_redirects=False,
        request_timeout=REQUEST_TIMEOUT_S,
        max_connection_retries=0,
    )


Handler = Callable[[Request], Awaitable[Response]]


def add_route(application: Application, method: str, path: str, handler: Handler) -> None:
    """Add a route whose handler may be a bound method (the library wants plain functions)."""

    async def route(request: Request) -> Response:
        return await handler(request)

    application.router.add(method, path, route)
