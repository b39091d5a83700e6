"""A runner's stand-in behind a real socket; its answers can be spoiled on the wire."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import StrEnum

import httptools
import orjson

from bendshed.adapters.sockets import bind
from bendshed.model.address import Address
from bendshed.platform import names
from bendshed.rehearsal.site.runner import (
    Chunk,
    Head,
    Piece,
    RunnerCall,
    RunnerReset,
    SiteRunner,
    WrongBytes,
)

EVENTS_HEADER = b"x-rehearsal-events"
"""How many events the client wants; only our own clients send it."""
HARMLESS_HEADER = b"x-rehearsal-harmless"
"""The runner survives the request, whatever its body contains."""
STAMP = b"stand-in"
WRONG_BYTES = b"\xff no answer \xff\r\n"
"""Neither a status line nor the size of a chunk."""
SURPLUS_ID = b"surplus"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Lingering for no time: a close sends a reset."""
EARLY_BODY_BYTES = 1024
"""An early answer comes before the body of requests longer than this."""


class Spoil(StrEnum):
    """How answers are spoiled on the wire."""

    NONE = "none"
    SURPLUS = "surplus"
    """A second answer, of another request, follows in the same segment."""
    UNFRAMED = "unframed"
    """Neither length nor chunks: the answer ends with its connection."""
    EARLY = "early"
    """Long requests are turned away unrun before their body is read; the connection stays."""

    NO_REPORT = "no report"
    """Reports are not answered."""


@dataclass(slots=True)
class RunnerServer:
    """A ``SiteRunner`` as an HTTP server.

    Attributes:
        spoil: how answers are spoiled from now on.
        strays: bytes received where a request's first line was due.

    """

    runner: SiteRunner
    address: Address
    spoil: Spoil = Spoil.NONE
    strays: int = 0
    _server: asyncio.Server | None = None
    _connections: "set[RunnerConnectionProtocol]" = field(default_factory=set)

    @classmethod
    async def start(cls, runner: SiteRunner, host: str) -> "RunnerServer":
        """Listen on a free port."""
        listener = bind(host, 0)
        started = cls(runner, Address(host, listener.getsockname()[1]))
        loop = asyncio.get_running_loop()
        started._server = await loop.create_server(
            lambda: RunnerConnectionProtocol(started), sock=listener
        )
        return started

    async def stop(self) -> None:
        """Close the listener and every connection."""
        assert self._server is not None
        self._server.close()
        self.close_connections()

    def close_connections(self) -> None:
        """Reset every connection, as when the process ends."""
        for connection in list(self._connections):
            connection.close()

    def opened(self, connection: "RunnerConnectionProtocol") -> None:
        """A connection came up."""
        self._connections.add(connection)

    def closed(self, connection: "RunnerConnectionProtocol") -> None:
        """A connection ended."""
        self._connections.discard(connection)


class RunnerConnectionProtocol(asyncio.Protocol):
    """One connection: requests one after the other, answers in chunks unless spoiled."""

    def __init__(self, server: RunnerServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._fields: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._target = b""
        self._is_answered = False
        self._serving: asyncio.Task[None] | None = None

    # --- asyncio ---------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop work on the request of a client that left."""
        self._server.closed(self)
        if self._serving is not None:
            self._serving.cancel()

    def data_received(self, data: bytes) -> None:
        """Read requests; what is none ends the connection and is counted."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._server.strays += 1
            self.close()

    def close(self) -> None:
        """Reset the connection."""
        if self._transport is None:
            return
        stream: socket.socket = self._transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    # --- the parser's call-backs -----------------------------------------------------------

    def on_message_begin(self) -> None:
        """A request begins."""
        self._fields, self._body, self._is_answered = {}, [], False
        self._target = b""

    def on_url(self, target: bytes) -> None:
        """Keep the target."""
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._fields[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Turn a long request away before its body, if that is the trouble."""
        length = int(self._fields.get(b"content-length", b"0"))
        if self._server.spoil is Spoil.EARLY and length > EARLY_BODY_BYTES:
            self._is_answered = True
            self._write(self._head(Head(503, is_run=False), b"content-length: 0"))

    def on_body(self, body: bytes) -> None:
        """Keep a piece of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Serve the request."""
        if self._target == names.REPORT_PATH:
            self._write_report()
        elif not self._is_answered:
            call = _read_call(self._fields, b"".join(self._body))
            self._serving = asyncio.get_running_loop().create_task(self._serve(call))

    def _write_report(self) -> None:
        if self._server.spoil is Spoil.NO_REPORT:
            return
        report = orjson.dumps(self._server.runner.report())
        head = b"HTTP/1.1 200 Report\r\ncontent-type: application/json\r\n"
        self._write(head + b"content-length: %d\r\n\r\n" % len(report) + report)

    # --- answers ---------------------------------------------------------------------------

    async def _serve(self, call: RunnerCall) -> None:
        pieces = self._server.runner.serve(call)
        try:
            if self._server.spoil is Spoil.UNFRAMED:
                await self._send_unframed(pieces)
            else:
                await self._send_chunked(pieces)
        except RunnerReset:
            self.close()
        finally:
            with contextlib.suppress(RuntimeError):
                await pieces.aclose()  # type: ignore[attr-defined]

    async def _send_chunked(self, pieces: AsyncIterator[Piece]) -> None:
        async for piece in pieces:
            match piece:
                case Head():
                    self._write(self._head(piece, b"transfer-encoding: chunked"))
                case Chunk(content):
                    self._write(b"%x\r\n%s\r\n" % (len(content), content))
                case WrongBytes():
                    self._write(WRONG_BYTES)
                    return
        end = b"0\r\n\r\n"
        if self._server.spoil is Spoil.SURPLUS:
            end += _surplus_answer()
        self._write(end)

    async def _send_unframed(self, pieces: AsyncIterator[Piece]) -> None:
        async for piece in pieces:
            match piece:
                case Head():
                    self._write(self._head(piece, b"connection: close"))
                case Chunk(content):
                    self._write(content)
                case WrongBytes():
                    self._write(WRONG_BYTES)
        if self._transport is not None:
            self._transport.close()

    def _head(self, head: Head, framing: bytes) -> bytes:
        lines = [
            b"HTTP/1.1 %d Answer" % head.status,
            names.REQUEST_ID + b": " + self._fields.get(names.REQUEST_ID, b""),
            names.SERVER_STAMP + b": " + STAMP,
            framing,
        ]
        if not head.is_run:
            lines.append(names.NOT_RUN + b": 1")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _write(self, content: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(content)


def _surplus_answer() -> bytes:
    body = b"nobody asked for this"
    lines = [
        b"HTTP/1.1 200 Answer",
        names.REQUEST_ID + b": " + SURPLUS_ID,
        names.SERVER_STAMP + b": " + SURPLUS_ID,
        b"content-length: %d" % len(body),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _read_call(fields: dict[bytes, bytes], body: bytes) -> RunnerCall:
    return RunnerCall(
        request_id=fields[names.REQUEST_ID].decode(),
        wanted_runner=fields.get(names.EXPECT_RUNNER, b"").decode(),
        program_id=fields.get(names.PROGRAM_ID, b"").decode(),
        body=body,
        num_events=int(fields.get(EVENTS_HEADER, b"0")),
        tenant=fields.get(names.TENANT, b"").decode(),
        after_event=int(fields.get(names.LAST_EVENT_ID, b"0")),
        is_harmless=HARMLESS_HEADER in fields,
    )
