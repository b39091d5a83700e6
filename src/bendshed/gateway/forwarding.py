"""ASGI application that forwards requests to runners without altering their bodies.

The HTTP library does not expose client disconnects or a way to abort a response, so forwarded
requests are handled at the ASGI level below it (docs/design/0003).
"""

import asyncio
from collections.abc import Callable

import orjson

from bendshed.adapters.asgi import Receive, Scope, Send
from bendshed.errors import ErrorKind, Refusal
from bendshed.ports.caller_protocol import CallerProtocol, ReceivedRequest
from bendshed.ports.http_messages import Headers, ResponseHead, end_to_end_headers
from bendshed.ports.runner import Caller, ServiceRequest
from bendshed.services.forwarder import Forwarder

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Body size limit until a configuration sets one; bounds memory per request."""


class ClientDisconnected(Exception):
    """The client disconnected before its request was complete."""


class BodyTooLarge(Exception):
    """The request's body exceeds the configured limit."""


class AsgiCaller(Caller):
    """Sends the response of one request to its client.

    Args:
        send: ASGI send function of the request.
        protocol: determines status and Retry-After of refusals.
        closes_connection: whether responses carry ``Connection: close``.

    """

    def __init__(self, send: Send, protocol: CallerProtocol, closes_connection: bool) -> None:
        self._send = send
        self._protocol = protocol
        self._closes_connection = closes_connection
        self._has_started = False
        self._is_aborted = False

    async def refuse(self, refusal: Refusal) -> None:
        """Send an error response, or abort the response if it has started."""
        if self._has_started:
            self.abort()
            return
        content = orjson.dumps(refusal.body())
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
        ]
        answer = self._protocol.response_for(refusal)
        if answer.retry_after:
            headers.append((b"retry-after", answer.retry_after.encode()))
        await self._start(answer.status, headers)
        await self.send(content)
        await self.end()

    async def begin(self, head: ResponseHead) -> None:
        """Forward status and headers, without the hop-by-hop headers of the runner."""
        await self._start(head.status, end_to_end_headers(head.headers))

    async def _start(self, status: int, headers: Headers) -> None:
        self._has_started = True
        if self._closes_connection:
            headers = [*headers, (b"connection", b"close")]
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send(self, chunk: bytes) -> None:
        """Forward a chunk of the body."""
        if chunk and not self._is_aborted:
            await self._send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def end(self) -> None:
        """Finish the response after its complete body."""
        if not self._is_aborted:
            await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    def abort(self) -> None:
        """Abort the response; without a final body message the server closes the connection."""
        self._is_aborted = True


class ForwardingApplication:
    """ASGI application for requests that are forwarded to runners.

    Args:
        forwarder: serves the requests.
        protocol: parses requests and determines how refusals are answered.
        closes_connections: whether responses close the connection, so that clients reconnect to
            another node.

    Attributes:
        is_draining: whether the process drains; responses close the connection then too.

    """

    def __init__(
        self,
        forwarder: Forwarder,
        protocol: CallerProtocol,
        closes_connections: Callable[[], bool] = lambda: False,
    ) -> None:
        self.is_draining = False
        self._forwarder = forwarder
        self._protocol = protocol
        self._closes_connections = closes_connections

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        arrived_s = asyncio.get_running_loop().time()
        closes_connection = self.is_draining or self._closes_connections()
        caller = AsgiCaller(send, self._protocol, closes_connection)
        try:
            body = await self._read_body(receive)
        except ClientDisconnected:
            return  # nothing was forwarded yet, and the client cannot receive a response
        except BodyTooLarge:
            detail = "the body is over the configured limit; send a smaller one"
            await caller.refuse(Refusal(ErrorKind.BODY_TOO_LARGE, detail))
            return
        request = self._protocol.read(_to_received_request(scope, body, arrived_s))
        if isinstance(request, Refusal):
            await caller.refuse(request)
            return
        await self._serve_while_connected(request, caller, receive)

    async def _read_body(self, receive: Receive) -> bytes:
        index = self._forwarder.index
        limit = index.document.limits.max_body_bytes if index is not None else MAX_BODY_BYTES
        parts: list[bytes] = []
        num_bytes = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise ClientDisconnected
            part = message.get("body", b"")
            num_bytes += len(part)
            if num_bytes > limit:
                raise BodyTooLarge
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    async def _serve_while_connected(
        self, request: ServiceRequest, caller: AsgiCaller, receive: Receive
    ) -> None:
        loop = asyncio.get_running_loop()
        serving = loop.create_task(self._forwarder.serve(request, caller))
        disconnecting = loop.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait({serving, disconnecting}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            disconnecting.cancel()
            if not serving.done():
                serving.cancel()
        await asyncio.gather(serving, disconnecting, return_exceptions=True)
        if not serving.cancelled() and serving.exception() is not None:
            raise serving.exception() or RuntimeError


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _to_received_request(scope: Scope, body: bytes, arrived_s: float) -> ReceivedRequest:
    return ReceivedRequest(
        method=scope["method"].encode("latin-1"),
        raw_path=scope["raw_path"],
        query=scope.get("query_string", b""),
        headers=list(scope["headers"]),
        body=body,
        arrived_s=arrived_s,
    )
