"""uvicorn in this process and loop, on sockets that are bound at once."""

import contextlib
import logging
import socket
from collections.abc import Iterator
from typing import Any

import uvicorn

LISTEN_BACKLOG = 1024


class HttpServer(uvicorn.Server):
    """uvicorn in this process and loop; signals stay ours."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers alone."""
        yield


def bind(host: str, port: int) -> socket.socket:
    """Bind and listen; from now on a connection waits and is not refused."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(LISTEN_BACKLOG)
    return listener


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
