"""uvicorn in the current process and event loop, on sockets that are already bound."""

import contextlib
import logging
from collections.abc import Iterator
from typing import Any

import uvicorn

from bendshed.adapters.bounded_http_server import BoundedHttpProtocol


class HttpServer(uvicorn.Server):
    """uvicorn server that leaves signal handling to the process."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Keep the existing signal handlers."""
        yield


def make_server(application: Any, **options: Any) -> HttpServer:
    """Return a server, which the caller runs with ``serve(sockets=[...])``."""
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)  # errors are in our own log
    config = uvicorn.Config(
        application,
        loop="none",
        interface="asgi3",
        http=BoundedHttpProtocol,
        proxy_headers=False,
        ws="none",
        lifespan="on",
        log_config=None,
        access_log=False,
        server_header=False,
        **options,
    )
    return HttpServer(config)
