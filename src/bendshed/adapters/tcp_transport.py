"""Transport over TCP (requests, one-way messages) and UDP (datagrams), on one port number.

A frame on TCP is a protobuf ``Frame`` behind its length in four bytes. A connection carries
requests and their replies in any order; messages written in one turn of the loop leave in one
segment. Lost connections are opened again on the next message, and so are those that fell silent
without being closed (``silence.py``).
"""

import asyncio
import contextlib
import struct
from collections.abc import Callable, Coroutine
from typing import Any

from google.protobuf.message import DecodeError

from bendshed.adapters.silence import SilenceWatch
from bendshed.adapters.traffic import Traffic
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.ports.transport import ECHO_METHOD, PeerUnreachable, Transport
from bendshed.wire.peer_pb2 import Frame

LENGTH = struct.Struct("!I")
MAX_FRAME_BYTES = 256 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
"""Shorter than TCP's first retransmission: a machine that has just come up answers the next try."""
CONNECT_TRIPS = 4.0
"""Least connect timeout for a far machine, in its round trips."""
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
"""One-way messages to a peer that does not read are dropped beyond this."""
MAX_SERVED_US = 2**32 - 1
"""Most that a reply's field holds, 71 minutes; the rest of a longer wait counts as round trip."""
HANDLER_FAILED = "handler_failed"

log = PartLog("transport")


class _Connection(asyncio.Protocol):
    """One TCP connection, incoming or outgoing."""

    def __init__(self, owner: "TcpTransport") -> None:
        self._owner = owner
        self._buffer = bytearray()
        self.transport: asyncio.Transport | None = None
        self._peer_host = ""
        self.waiting: dict[int, asyncio.Future[Frame]] = {}
        self.silence = SilenceWatch()
        self._is_retired = False
        self._next_request_id = 1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        peer = transport.get_extra_info("peername")
        self._peer_host = peer[0] if peer else ""
        self._owner.connections.add(self)
        self.silence.note_heard(asyncio.get_running_loop().time())

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.connections.discard(self)
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(PeerUnreachable("connection lost", is_silent=False))
        self.waiting.clear()
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.silence.note_heard(asyncio.get_running_loop().time())
        self._buffer += data
        position = 0
        while len(self._buffer) - position >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self._buffer, position)
            end = position + LENGTH.size + size
            if size > MAX_FRAME_BYTES:
                self.abort("a frame is too long")
                return
            if len(self._buffer) < end:
                break
            content = bytes(self._buffer[position + LENGTH.size : end])
            position = end
            try:
                frame = Frame.FromString(content)
            except DecodeError:
                self.abort("a frame cannot be read")
                return
            self._owner.on_frame(self, frame)
        del self._buffer[:position]

    def abort(self, reason: str) -> None:
        log.say("connection closed: invalid frame", reason=reason)
        if self.transport is not None:
            self.transport.abort()

    def write(self, frame: Frame, method: str) -> None:
        if self.transport is None:
            return
        content = frame.SerializeToString()
        self._owner.traffic.note(method, self._peer_host, len(content) + LENGTH.size)
        self.transport.write(LENGTH.pack(len(content)) + content)

    @property
    def is_full(self) -> bool:
        return (
            self.transport is not None
            and self.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES
        )

    def begin_request(self, timeout_s: float) -> tuple[int, "asyncio.Future[Frame]"]:
        request_id = self._next_id()
        future: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()
        self.waiting[request_id] = future
        self.silence.note_request(timeout_s, asyncio.get_running_loop().time())
        return request_id, future

    def end_request(self, request_id: int) -> None:
        self.waiting.pop(request_id, None)
        self._abort_if_unused()

    def write_one_way(self, frame: Frame) -> None:
        """Write a message, and a request beside it where nothing else would bring an answer."""
        if self.is_full:
            return
        self.write(frame, frame.method)
        now_s = asyncio.get_running_loop().time()
        if self.silence.must_probe(now_s):
            self.silence.note_request(0.0, now_s)
            self.write(Frame(request_id=self._next_id(), method=ECHO_METHOD), ECHO_METHOD)

    def retire(self) -> None:
        """Send nothing here any more; an answer that comes after all is still taken."""
        self._is_retired = True
        self._abort_if_unused()

    def _abort_if_unused(self) -> None:
        if self._is_retired and not self.waiting and self.transport is not None:
            self.transport.abort()

    def _next_id(self) -> int:
        request_id = self._next_request_id
        self._next_request_id += 1
        return request_id


class _Datagrams(asyncio.DatagramProtocol):
    """UDP socket of a node."""

    def __init__(self, owner: "TcpTransport") -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, addr: Any) -> None:
        if self._owner.datagram_handler is None:
            return
        # Anybody may send bytes that are no message of ours; a line for each would flood the log.
        with contextlib.suppress(DecodeError):
            self._owner.datagram_handler(data)


class TcpTransport(Transport):
    """The real network.

    Attributes:
        traffic: what was sent by kind of message and distance, datagrams left out.

    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.connections: set[_Connection] = set()
        self.traffic = Traffic(
            "bendshed_peer_bytes_sent", "Bytes to other nodes by kind of message and distance"
        )
        self._host = host
        self._port = port
        self._server: asyncio.Server | None = None
        self._datagrams: asyncio.DatagramTransport | None = None
        self._outgoing: dict[Address, asyncio.Task[_Connection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        """Listen on TCP, then on the same UDP port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), self._host, self._port)
        port = self._server.sockets[0].getsockname()[1]
        self._datagrams, _ = await loop.create_datagram_endpoint(
            lambda: _Datagrams(self), local_addr=(self._host, port)
        )
        return Address(self._host, port)

    async def close(self) -> None:
        """Stop listening and close connections."""
        if self._server is not None:
            self._server.close()
        if self._datagrams is not None:
            self._datagrams.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.close()
        tasks = [*self._tasks, *self._outgoing.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def round_trip_s(self, peer: Address) -> float | None:
        """Seconds to a peer and back, the least that was measured lately; ``None``: never."""
        return self.round_trips.min_s(peer, asyncio.get_running_loop().time())

    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and wait for its reply."""
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect(peer)
                request_id, future = connection.begin_request(timeout_s)
                frame = Frame(request_id=request_id, method=method, payload=payload)
                connection.write(frame, method)
                sent_s = asyncio.get_running_loop().time()
                try:
                    reply = await future
                finally:
                    connection.end_request(request_id)
                now_s = asyncio.get_running_loop().time()
                expected_round_trip_s = now_s - sent_s - reply.served_us / 1_000_000
                self.round_trips.record(peer, expected_round_trip_s, now_s)
                return reply.payload
        except TimeoutError as error:
            raise PeerUnreachable(f"{peer} did not answer {method} in time") from error

    def send(self, peer: Address, method: str, payload: bytes) -> None:
        """Send a one-way message; connect first if need be."""
        frame = Frame(method=method, payload=payload)
        connection = self._open_connection(peer)
        if connection is not None:
            connection.write_one_way(frame)
        else:
            self._spawn(self._send_after_connect(peer, frame))

    async def _send_after_connect(self, peer: Address, frame: Frame) -> None:
        with contextlib.suppress(PeerUnreachable):
            (await self._connect(peer)).write_one_way(frame)

    def send_datagram(self, peer: Address, payload: bytes) -> None:
        """Send one datagram."""
        if self._datagrams is not None and not self._datagrams.is_closing():
            self._datagrams.sendto(payload, (peer.host, peer.port))

    # --- connections ---------------------------------------------------------------------

    async def _connect(self, peer: Address) -> _Connection:
        """Return the connection to a peer; concurrent callers share one attempt."""
        connection = self._open_connection(peer)
        if connection is not None:
            return connection
        task = self._outgoing.get(peer)
        if task is None or task.done():
            task = asyncio.get_running_loop().create_task(self._open(peer))
            self._outgoing[peer] = task
        try:
            return await asyncio.shield(task)
        except (OSError, TimeoutError) as error:
            was_refused = isinstance(error, ConnectionError)
            raise PeerUnreachable(f"cannot connect to {peer}", not was_refused) from error

    def _open_connection(self, peer: Address) -> _Connection | None:
        """Connection to a peer if one is open now."""
        task = self._outgoing.get(peer)
        if task is None or not task.done() or task.cancelled() or task.exception() is not None:
            return None
        connection = task.result()
        if connection.transport is None:
            return None
        # Neither a reset nor the kernel ends a connection whose bytes are lost or acknowledged
        # midway; each further message would be lost in it.
        if connection.silence.is_silent(asyncio.get_running_loop().time()):
            log.say("connection replaced: silent", peer=str(peer))
            del self._outgoing[peer]
            connection.retire()
            return None
        return connection

    async def _open(self, peer: Address) -> _Connection:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        far_s = CONNECT_TRIPS * (self.round_trip_s(peer) or 0.0)
        async with asyncio.timeout(max(CONNECT_TIMEOUT_S, far_s)):
            _, connection = await loop.create_connection(
                lambda: _Connection(self), peer.host, peer.port
            )
        self.round_trips.record(peer, loop.time() - began_s, loop.time())
        return connection

    def on_frame(self, connection: _Connection, frame: Frame) -> None:
        """Route one incoming frame."""
        if frame.is_reply:
            future = connection.waiting.pop(frame.request_id, None)
            if future is None or future.done():
                return
            if frame.error_kind:
                future.set_exception(PeerUnreachable(frame.error_detail, is_silent=False))
            else:
                future.set_result(frame)
        elif frame.request_id == 0:
            self._call_one_way(self.one_way_handlers.get(frame.method), frame.payload)
        else:
            self._spawn(self._answer(connection, frame))

    @staticmethod
    def _call_one_way(handler: Callable[[bytes], None] | None, payload: bytes) -> None:
        if handler is not None:
            handler(payload)

    async def _answer(self, connection: _Connection, frame: Frame) -> None:
        began_s = asyncio.get_running_loop().time()
        reply = Frame(request_id=frame.request_id, is_reply=True)
        handler = self.handlers.get(frame.method)
        try:
            if handler is None:
                raise LookupError(f"no method {frame.method}")
            reply.payload = await handler(frame.payload)
        except Exception as error:
            log.say("request handler failed", method=frame.method, error=repr(error))
            reply.error_kind = HANDLER_FAILED
            reply.error_detail = repr(error)
        served_us = int((asyncio.get_running_loop().time() - began_s) * 1_000_000)
        reply.served_us = min(served_us, MAX_SERVED_US)
        connection.write(reply, frame.method)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
