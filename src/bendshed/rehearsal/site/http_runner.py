"""A runner's stand-in behind a real socket."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass

from bendshed.adapters.http_server import HttpServer, bind, make_server
from bendshed.platform import names
from bendshed.platform.ingress import Receive, Scope, Send
from bendshed.ports.transport import Address
from bendshed.rehearsal.site.runner import Chunk, Head, RunnerCall, RunnerReset, SiteRunner

EVENTS_HEADER = b"x-rehearsal-events"
"""How many events the client wants; only our own clients send it."""
STAMP = b"stand-in"


@dataclass(slots=True)
class RunnerServer:
    """A ``SiteRunner`` as an HTTP server."""

    runner: SiteRunner
    address: Address
    server: HttpServer
    serving: "asyncio.Task[None]"

    @classmethod
    async def start(cls, runner: SiteRunner, host: str) -> "RunnerServer":
        """Listen on a free port."""
        listener = bind(host, 0)
        address = Address(host, listener.getsockname()[1])
        server = make_server(RunnerApplication(runner))
        serving = asyncio.get_running_loop().create_task(server.serve(sockets=[listener]))
        return cls(runner, address, server, serving)

    async def stop(self) -> None:
        """Close."""
        self.server.should_exit = True
        self.server.force_exit = True
        await asyncio.wait([self.serving], timeout=2.0)


class RunnerApplication:
    """ASGI side of a runner."""

    def __init__(self, runner: SiteRunner) -> None:
        self._runner = runner

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        call = _read_call(dict(scope["headers"]), body)
        with contextlib.suppress(RunnerReset):  # an answer without its end closes the connection
            await _send_pieces(self._runner.serve(call), call.request_id.encode(), send)


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


def _read_call(fields: dict[bytes, bytes], body: bytes) -> RunnerCall:
    return RunnerCall(
        request_id=fields[names.REQUEST_ID].decode(),
        wanted_runner=fields.get(names.EXPECT_RUNNER, b"").decode(),
        program_id=fields.get(names.PROGRAM_ID, b"").decode(),
        body=body,
        num_events=int(fields.get(EVENTS_HEADER, b"0")),
    )


async def _send_pieces(pieces: AsyncIterator[Head | Chunk], request_id: bytes, send: Send) -> None:
    async for piece in pieces:
        match piece:
            case Head(status, is_run):
                headers = [(names.REQUEST_ID, request_id), (names.SERVER_STAMP, STAMP)]
                if not is_run:
                    headers.append((names.NOT_RUN, b"1"))
                await send({"type": "http.response.start", "status": status, "headers": headers})
            case Chunk(content):
                await send({"type": "http.response.body", "body": content, "more_body": True})
    await send({"type": "http.response.body", "body": b"", "more_body": False})
