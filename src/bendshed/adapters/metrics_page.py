"""The metrics endpoint: one page of text, whose server is loaded at the first scrape."""

import asyncio
import socket
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Gauge, generate_latest

from bendshed.adapters.sockets import bind
from bendshed.logs import BoundedLineWriter, PartLog

if TYPE_CHECKING:
    from bendshed.adapters.asgi import Receive, Scope, Send

OK, NOT_FOUND = 200, 404

log = PartLog("metrics")


class MetricsPage:
    """Serves a registry at one address and path.

    The server is loaded at the first scrape, because most processes are never scraped and it would
    cost each of them memory and startup time.
    """

    def __init__(self, registry: CollectorRegistry, path: str) -> None:
        self._registry = registry
        self._path = path.encode()
        self._serving: asyncio.Task[None] | None = None

    def listen(self, host: str, port: int) -> None:
        """Listen; if the address is in use, only the metrics are unavailable."""
        try:
            listener = bind(host, port)
        except OSError as error:
            log.say(
                "metrics not served: address in use", address=f"{host}:{port}", reason=str(error)
            )
            return
        loop = asyncio.get_running_loop()
        loop.add_reader(listener, self._start_server, listener)

    def _start_server(self, listener: socket.socket) -> None:
        from bendshed.adapters.http_server import make_server  # noqa: PLC0415 (see the class)

        loop = asyncio.get_running_loop()
        loop.remove_reader(listener)
        server = make_server(self._application)
        self._serving = loop.create_task(server.serve(sockets=[listener]))

    async def _application(self, scope: "Scope", receive: "Receive", send: "Send") -> None:
        from bendshed.adapters.asgi import send_text, serve_lifespan  # noqa: PLC0415

        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["raw_path"] == self._path:
            await send_text(send, OK, generate_latest(self._registry))
        else:
            await send_text(send, NOT_FOUND, b"")


def count_dropped_lines(registry: CollectorRegistry, writer: BoundedLineWriter) -> None:
    """Export the number of log lines dropped since start."""
    dropped = Gauge("bendshed_log_lines_dropped", "Log lines dropped", registry=registry)
    dropped.set_function(lambda: writer.num_dropped)
