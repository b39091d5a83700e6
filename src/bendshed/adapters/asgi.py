"""ASGI types and helpers for applications that do not use the blacksheep framework."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the server's startup and shutdown events."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def send_text(send: Send, status: int, content: bytes) -> None:
    """Send a complete plain-text response."""
    headers = [
        (b"content-type", b"text/plain"),
        (b"content-length", str(len(content)).encode()),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": content, "more_body": False})
