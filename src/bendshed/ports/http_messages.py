"""HTTP requests and responses as they are forwarded."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Self

from bendshed.model.address import Address

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that apply to a single connection (RFC 9110, 7.6.1)."""


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones, including those named by ``Connection``."""
    named = [value for name, value in headers if name.lower() == b"connection"]
    listed = {token.strip().lower() for value in named for token in value.split(b",")}
    dropped = HOP_BY_HOP | listed
    return [(name, value) for name, value in headers if name.lower() not in dropped]


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response, as received.

    Attributes:
        is_framed: whether a length or chunked coding delimits the body, and not the end of the
            connection.

    """

    status: int = 0
    headers: Headers = field(default_factory=list)
    is_framed: bool = False

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; ``name`` must be in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete request to send.

    Attributes:
        target: path and query string, as on the wire.
        matches: whether a response answers this request and not an earlier one.

    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    matches: Callable[[ResponseHead], bool]

    @classmethod
    def get(cls, address: Address, target: bytes) -> Self:
        """Build a plain ``GET`` that any response answers."""
        headers = [(b"host", str(address).encode())]
        return cls(b"GET", target, headers, b"", lambda _head: True)

    def encode(self) -> bytes:
        """Return the bytes on the wire; a body is always sent with its length."""
        lines = [self.method + b" " + self.target + b" HTTP/1.1"]
        lines.extend(name + b": " + value for name, value in self.headers)
        if self.body or self.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            lines.append(b"content-length: " + str(len(self.body)).encode())
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.body


class ConnectFailed(Exception):
    """The connection could not be established; nothing was sent."""


class BreakCause(StrEnum):
    """Why no complete response arrived."""

    NOT_SENT = "not sent"
    """The connection was closed before the request was written."""
    DISCONNECTED = "disconnected"
    """The peer's end of the connection broke."""
    MALFORMED = "malformed"
    """The peer sent bytes that form no response."""


class ResponseBroken(Exception):
    """No complete response arrived. Unless it was not sent, the request may have been run."""

    def __init__(self, text: str, cause: BreakCause = BreakCause.DISCONNECTED) -> None:
        super().__init__(text)
        self.cause = cause
