"""HTTP/1.1 client connection based on httptools' parser, for one request at a time.

The scheduler needs details that common clients do not report: whether anything was sent, whether a
response belongs to the request, whether its body is complete or truncated, and whether bytes
arrived without a request. Requests are never retried or redirected, and content is neither
decompressed nor normalized.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable

import httptools

from bendshed.adapters.framing_limit import FramingLimit, pieces_of
from bendshed.model.address import Address
from bendshed.ports.http_messages import (
    BreakCause,
    ClientRequest,
    ConnectFailed,
    ResponseBroken,
    ResponseHead,
)
from bendshed.ports.runner_connections import RunnerConnection

PAUSE_READING_BYTES = 64 * 1024
MAX_CHUNK_BYTES = 16 * 1024
"""Size of the pieces of a body that are passed on. With what one call of the transport delivers,
256 KiB, both bound the memory of a connection."""
USER_TIMEOUT_MS = 4_000
"""The kernel closes a connection whose bytes are unacknowledged for this long. If a request is
aborted after this long without any received byte, the connection may be silent even though its
bytes are acknowledged."""
FIRST_INTERIM_STATUS, FIRST_FINAL_STATUS, LAST_STATUS = 100, 200, 599
KNOWN_VERSIONS = ("1.0", "1.1")
DEFAULT_KEEP_ALIVE_S = 4.0
"""Idle time after which a connection is not reused if the peer sends no keep-alive timeout."""
KEEP_ALIVE_SHARE = 0.75
"""Fraction of the peer's keep-alive timeout after which a connection is not reused."""


class HttpConnection(asyncio.Protocol, RunnerConnection):
    """A client connection.

    Invariant: it ``is_reusable`` only if all responses so far were complete and framed and belonged
    to their requests, and no other bytes were received.

    Attributes:
        reusable_until_s: event loop time until which an idle connection may be reused.
        on_silent: called if nothing was received for ``USER_TIMEOUT_MS`` after a request.

    """

    def __init__(self) -> None:
        self.reusable_until_s = 0.0
        self.on_silent: Callable[[], None] = _do_nothing
        self._on_peer_closed: Callable[[], None] = _do_nothing
        self._is_aborted = False
        self._no_receipt_since_s: float | None = None
        self._num_sent = 0
        self._num_received = 0
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._framing = FramingLimit()
        self._request: ClientRequest | None = None
        self._head = ResponseHead()
        self._answer_head = self._head
        self._head_ready: asyncio.Future[ResponseHead] | None = None
        self._buffered = bytearray()
        self._wake: asyncio.Future[None] | None = None
        self._complete = False
        self._skips_message = False
        self._is_head_complete = False
        self._usable = True
        self._error: ResponseBroken | None = None

    # --- requests ------------------------------------------------------------------------

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        alive = self._transport is not None and not self._transport.is_closing()
        return alive and self._usable and self._request is None

    async def send(self, request: ClientRequest) -> ResponseHead:
        """Send a request and wait for the response head; raise ``ResponseBroken``."""
        if self._transport is None or self._transport.is_closing():
            raise ResponseBroken("the connection was closed", BreakCause.NOT_SENT)
        self._request = request
        self._complete = False
        self._framing.begin_exchange()
        self._buffered.clear()
        self._head_ready = self._loop.create_future()
        content = request.encode()
        self._num_sent += len(content)
        self._no_receipt_since_s = self._loop.time()
        self._transport.write(content)
        return await self._head_ready

    async def body(self) -> AsyncIterator[bytes]:
        """Yield chunks as they arrive; raise ``ResponseBroken`` if the body is incomplete."""
        while True:
            while self._buffered:
                chunk = bytes(self._buffered[:MAX_CHUNK_BYTES])
                del self._buffered[:MAX_CHUNK_BYTES]
                if not self._buffered and self._transport is not None:
                    self._transport.resume_reading()
                yield chunk
            if self._complete:
                return
            if self._error is not None:
                raise self._error
            self._wake = self._loop.create_future()
            await self._wake

    def finish(self) -> None:
        """End the exchange after a complete response; keep the connection if it is reusable."""
        self._request = None
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        if unsent or not self._complete or not self._answer_head.is_framed:
            self.abort()
            return
        self.reusable_until_s = self._loop.time() + _max_idle_s(self._answer_head)

    def watch_close(self, on_closed: Callable[[], None]) -> None:
        """Call back once if the peer closes the connection, or sends what nobody requested."""
        self._on_peer_closed = on_closed

    def take_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call."""
        counts = self._num_sent, self._num_received
        self._num_sent = self._num_received = 0
        return counts

    def abort(self) -> None:
        """Close the connection immediately."""
        self._usable = False
        self._is_aborted = True
        since_s, self._no_receipt_since_s = self._no_receipt_since_s, None
        if since_s is not None and self._loop.time() - since_s >= USER_TIMEOUT_MS / 1000:
            self.on_silent()
        if self._transport is not None:
            self._transport.abort()

    # --- asyncio -------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; limit how long bytes may remain unacknowledged."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        own_socket = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            own_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection on data without a request."""
        self._num_received += len(data)
        self._no_receipt_since_s = None
        if self._request is None or self._complete:
            self._on_peer_closed()
            self.abort()
            return
        try:
            for piece in pieces_of(data):
                self._parser.feed_data(piece)
                self._framing.count_piece(len(piece))
        except (httptools.HttpParserError, ValueError) as error:
            if not self._complete:
                self._fail(f"no HTTP answer: {_reason_of(error)}", BreakCause.MALFORMED)
            self.abort()

    def eof_received(self) -> bool | None:
        """Complete an unframed response, which ends with its connection."""
        started = self._head_ready is not None and self._head_ready.done()
        is_open = self._request is not None and started and not self._complete
        if is_open and not self._skips_message and not self._answer_head.is_framed:
            self._end()
        self._usable = False
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an incomplete response."""
        self._transport = None
        self._usable = False
        if not self._is_aborted:
            self._on_peer_closed()
        if isinstance(exc, TimeoutError):
            self.on_silent()
        self._fail("the connection was reset" if exc is not None else "the connection closed")

    def _fail(self, reason: str, cause: BreakCause = BreakCause.DISCONNECTED) -> None:
        if self._complete or self._error is not None:
            return
        self._error = ResponseBroken(reason, cause)
        if self._head_ready is not None and not self._head_ready.done():
            self._head_ready.set_exception(self._error)
            self._head_ready.exception()  # marks it as retrieved, also if send() was cancelled
        self._notify()

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _end(self) -> None:
        self._complete = True
        self._notify()

    # --- httptools -----------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a new response."""
        self._framing.begin_message()
        self._head = ResponseHead()  # the previous one is in use by the reader of its response
        self._is_head_complete = False
        self._skips_message = self._complete
        if self._complete:
            self.abort()  # more than one response

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers, which come behind a body, are counted alone."""
        self._framing.count_header(len(name) + len(value))
        if not self._is_head_complete:
            self._head.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Determine whether the response belongs to the request."""
        self._is_head_complete = True
        self._head.status = self._parser.get_status_code()
        self._head.is_framed = _is_framed(self._head)
        request = self._request
        if request is None or self._complete or self._is_interim():
            self._skips_message = True
            return
        if not self._is_valid_response():
            raise ValueError(
                f"status {self._head.status} in HTTP/{self._parser.get_http_version()}"
            )
        if not request.matches(self._head):
            self._skips_message = True
            self._usable = False
            return
        self._answer_head = self._head
        if self._head_ready is not None and not self._head_ready.done():
            self._head_ready.set_result(self._head)
        if request.method == b"HEAD":
            self._usable = False
            self._end()

    def _is_interim(self) -> bool:
        return FIRST_INTERIM_STATUS <= self._head.status < FIRST_FINAL_STATUS

    def _is_valid_response(self) -> bool:
        """Return whether status and version are valid.

        The parser accepts any three digits as a status; forwarded, an undefined status would not be
        a valid response for the caller.
        """
        in_range = FIRST_FINAL_STATUS <= self._head.status <= LAST_STATUS
        known = self._parser.get_http_version() in KNOWN_VERSIONS
        return in_range and known

    def on_body(self, body: bytes) -> None:
        """Buffer a chunk of the body."""
        if self._skips_message or self._complete:
            self._framing.note_surplus_body()
            return
        self._framing.note_body()
        self._buffered += body
        if len(self._buffered) > PAUSE_READING_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._notify()

    def on_message_complete(self) -> None:
        """Complete a framed response."""
        if self._skips_message:
            return
        if not self._parser.should_keep_alive():
            self._usable = False
        self._end()


def _do_nothing() -> None:
    """Default of callbacks that nobody set."""


def _reason_of(error: Exception) -> str:
    """Reason of a parser's error; an exception of one of its callbacks is in its context."""
    cause = error.__context__
    return str(cause if isinstance(cause, ValueError) else error)


def _is_framed(head: ResponseHead) -> bool:
    if head.status in (204, 304):
        return True
    if head.get(b"content-length") is not None:
        return True
    coding = head.get(b"transfer-encoding")
    return coding is not None and b"chunked" in coding.lower()


def _max_idle_s(head: ResponseHead) -> float:
    """Return the idle time in seconds after which the connection is not reused."""
    for part in (head.get(b"keep-alive") or b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.strip().isdigit():
            return int(value) * KEEP_ALIVE_SHARE
    return DEFAULT_KEEP_ALIVE_S


async def open_connection(address: Address, timeout_s: float) -> HttpConnection:
    """Connect; raise ``ConnectFailed``."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(HttpConnection, address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(f"cannot connect to {address}: {error!r}") from error
    return connection
