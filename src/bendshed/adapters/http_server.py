"""uvicorn in this process and loop, on sockets that are bound at once."""

import contextlib
import logging
from collections.abc import Iterator
from typing import Any

import uvicorn


class HttpServer(uvicorn.Server):
    """uvicorn in this process and loop; signals stay ours."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers alone."""
        yield


def make_server(application: Any, **options: Any) -> HttpServer:
    """Return a server, still to be run with ``serve(sockets=[...])``."""
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)  # ours says what happened
    config = uvicorn.Config(
        application,
        loop="none",
        interface="asgi3",
        http="httptools",
        proxy_headers=False,
        ws="none",
        lifespan="on",
        log_config=None,
        access_log=False,
        server_header=False,
        **options,
    )
    return HttpServer(config)
