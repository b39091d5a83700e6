"""The clients' side as an ASGI application: requests in, answers out, byte for byte.

The house's HTTP library hides when a client leaves and how an answer is broken off, so requests
that are forwarded are taken at the ASGI level below it (docs/design/0003).
"""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import orjson

from bendshed.errors import ErrorKind, Refusal
from bendshed.platform import names
from bendshed.platform.answers import RETRY_AFTER_S, status_of
from bendshed.ports.http_messages import Headers, ResponseHead
from bendshed.ports.runner import Caller, ServiceRequest, TurnDetails
from bendshed.services.forwarder import Forwarder

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Until a configuration says less."""


class ClientGone(Exception):
    """The client left before its request was whole."""


class BodyTooLarge(Exception):
    """The request's body is over the operators' limit."""


class AsgiCaller(Caller):
    """The way back to one client.

    Attributes:
        is_closing: answers ask the client to use another connection next.

    """

    def __init__(self, send: Send, is_closing: bool) -> None:
        self._send = send
        self._is_closing = is_closing
        self._has_begun = False
        self._is_broken = False

    async def refuse(self, refusal: Refusal) -> None:
        """Answer with an error of ours, or break off what has begun."""
        if self._has_begun:
            self.break_off()
            return
        content = orjson.dumps(refusal.body())
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(content)).encode()),
        ]
        retry_after_s = RETRY_AFTER_S.get(refusal.kind)
        if retry_after_s is not None:
            headers.append((b"retry-after", str(retry_after_s).encode()))
        await self._start(status_of(refusal), headers)
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

    def break_off(self) -> None:
        """Leave the answer without its end; the server closes such a connection."""
        self._is_broken = True


class Ingress:
    """ASGI application for clients.

    Attributes:
        is_closing: the process drains.

    """

    def __init__(self, forwarder: Forwarder) -> None:
        self.is_closing = False
        self._forwarder = forwarder

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        arrived_s = asyncio.get_running_loop().time()
        caller = AsgiCaller(send, self.is_closing)
        try:
            body = await self._read_body(receive)
        except ClientGone:
            return
        except BodyTooLarge:
            detail = "the body is over the configured limit; send a smaller one"
            await caller.refuse(Refusal(ErrorKind.BODY_TOO_LARGE, detail))
            return
        request = read_request(scope, body, arrived_s)
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


def end_to_end(headers: Headers) -> Headers:
    """Headers without those that concern one connection only."""
    named = [value for name, value in headers if name.lower() == b"connection"]
    listed = {token.strip().lower() for value in named for token in value.split(b",")}
    dropped = names.HOP_BY_HOP | listed
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def read_request(scope: Scope, body: bytes, arrived_s: float) -> ServiceRequest | Refusal:
    """Translate a client's request; refuse one whose fields cannot be read."""
    received: Headers = list(scope["headers"])
    fields = dict(reversed(received))  # the first of a name counts
    request_id = fields.get(names.REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        return Refusal(ErrorKind.BAD_REQUEST, "X-Request-Id: (missing): send an id of the attempt")
    try:
        wait_ms = _read_int(fields, names.DEADLINE_MS)
        turn = _read_turn(fields)
    except ValueError as error:
        return Refusal(ErrorKind.BAD_REQUEST, str(error))
    query = scope.get("query_string", b"")
    raw_path: bytes = scope["raw_path"]
    program_id = fields.get(names.PROGRAM_ID, b"").decode("latin-1")
    return ServiceRequest(
        request_id=request_id,
        method=scope["method"].encode("latin-1"),
        target=raw_path + (b"?" + query if query else b""),
        host=fields.get(b"host", b"").decode("latin-1"),
        path=raw_path.decode("latin-1"),
        headers=_passed_on(received),
        body=body,
        wait_ms=wait_ms,
        program_id=program_id,
        session=program_id or fields.get(names.SESSION_ID, b"").decode("latin-1"),
        last_event_id=fields.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
        turn=turn if program_id else None,
        arrived_s=arrived_s,
    )


def _passed_on(received: Headers) -> Headers:
    """The client's headers for the runner; length, deadline and ours are set anew."""
    own = names.SET_BY_THE_SYSTEM | {names.DEADLINE_MS, b"content-length", b"expect"}
    return [(name, value) for name, value in end_to_end(received) if name not in own]


def _read_turn(fields: dict[bytes, bytes]) -> TurnDetails | None:
    counts = fields.get(names.TOKEN_COUNTS)
    if counts is None:
        return None
    _, _, most = counts.partition(b",")
    if not most.strip().isdigit():
        raise ValueError(f"X-Token-Counts: {counts!r}: write the prompt's tokens, the most out")
    previous = fields.get(names.PREVIOUS_TURN, b"").decode("latin-1")
    return TurnDetails(previous, _read_int(fields, names.TOKEN_BUDGET), int(most))


def _read_int(fields: dict[bytes, bytes], name: bytes) -> int | None:
    text = fields.get(name)
    if text is None:
        return None
    if not text.strip().isdigit():
        raise ValueError(f"{name.decode()}: {text!r}: write a whole number")
    return int(text)
