"""Forwarded requests as an ASGI application: requests in, answers out, byte for byte.

The HTTP library hides when a client disconnects and how an answer is broken off, so requests
that are forwarded are taken at the ASGI level below it (docs/design/0003).
"""

import asyncio
from collections.abc import Callable

import orjson

from bendshed.adapters.asgi import Receive, Scope, Send
from bendshed.errors import ErrorKind, Refusal
from bendshed.ports.caller_protocol import CallerProtocol, ReceivedRequest
from bendshed.ports.http_messages import Headers, ResponseHead, end_to_end
from bendshed.ports.runner import Caller, ServiceRequest
from bendshed.services.forwarder import Forwarder

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Bound on a request's body until a configuration sets one; bounds memory per request."""


class ClientGone(Exception):
    """The client disconnected before its request was whole."""


class BodyTooLarge(Exception):
    """The request's body is over the operators' limit."""


class AsgiCaller(Caller):
    """Answers one client.

    Attributes:
        is_closing: answers ask the client to use another connection next.

    """

    def __init__(self, send: Send, protocol: CallerProtocol, is_closing: bool) -> None:
        self._send = send
        self._protocol = protocol
        self._is_closing = is_closing
        self._has_begun = False
        self._is_broken = False

    async def refuse(self, refusal: Refusal) -> None:
        """Answer with an error of ours, or break off what has begun."""
        if self._has_begun:
            self.abort()
            return
        content = orjson.dumps(refusal.body())
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
        ]
        answer = self._protocol.answer_of(refusal)
        if answer.retry_after:
            headers.append((b"retry-after", answer.retry_after.encode()))
        await self._start(answer.status, headers)
        await self.send(content)
        await self.end()

    async def begin(self, head: ResponseHead) -> None:
        """Pass on status and headers, without those of the runner's connection."""
        await self._start(head.status, end_to_end(head.headers))

    async def _start(self, status: int, headers: Headers) -> None:
        self._has_begun = True
        if self._is_closing:
            headers = [*headers, (b"connection", b"close")]
        await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send(self, chunk: bytes) -> None:
        """Pass on a piece of the body."""
        if chunk and not self._is_broken:
            await self._send({"type": "http.response.body", "body": chunk, "more_body": True})

    async def end(self) -> None:
        """The body is whole."""
        if not self._is_broken:
            await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    def abort(self) -> None:
        """End the answer without its last part; the server closes such a connection."""
        self._is_broken = True


class ForwardingApplication:
    """ASGI application for requests that are forwarded to runners.

    Attributes:
        is_closing: the process drains.

    ``sends_away`` returns whether answers ask callers to connect to another node.

    """

    def __init__(
        self,
        forwarder: Forwarder,
        protocol: CallerProtocol,
        sends_away: Callable[[], bool] = lambda: False,
    ) -> None:
        self.is_closing = False
        self._forwarder = forwarder
        self._protocol = protocol
        self._sends_away = sends_away

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        arrived_s = asyncio.get_running_loop().time()
        closes = self.is_closing or self._sends_away()
        caller = AsgiCaller(send, self._protocol, closes)
        try:
            body = await self._read_body(receive)
        except ClientGone:
            return  # nothing was forwarded yet, and nobody is left to answer
        except BodyTooLarge:
            detail = "the body is over the configured limit; send a smaller one"
            await caller.refuse(Refusal(ErrorKind.BODY_TOO_LARGE, detail))
            return
        request = self._protocol.read(_received(scope, body, arrived_s))
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
                raise ClientGone
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
        leaving = loop.create_task(_wait_until_gone(receive))
        try:
            await asyncio.wait({serving, leaving}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            leaving.cancel()
            if not serving.done():
                serving.cancel()
        await asyncio.gather(serving, leaving, return_exceptions=True)
        if not serving.cancelled() and serving.exception() is not None:
            raise serving.exception() or RuntimeError


async def _wait_until_gone(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _received(scope: Scope, body: bytes, arrived_s: float) -> ReceivedRequest:
    return ReceivedRequest(
        method=scope["method"].encode("latin-1"),
        raw_path=scope["raw_path"],
        query=scope.get("query_string", b""),
        headers=list(scope["headers"]),
        body=body,
        arrived_s=arrived_s,
    )
