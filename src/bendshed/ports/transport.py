"""Port for messages to other nodes: requests, one-way messages and datagrams."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Protocol

from bendshed.model.address import Address
from bendshed.ports.round_trips import RoundTrips

Handler = Callable[[bytes], Awaitable[bytes]]
OneWayHandler = Callable[[bytes], None]
ECHO_METHOD = "paths.echo"
"""Method that every node answers with an empty reply."""


class PeerUnreachable(Exception):
    """The peer did not answer in time, or refused or closed the connection.

    Attributes:
        is_silent: whether nothing was received; otherwise the peer's machine refused or reset the
            connection, or the request failed there.

    """

    def __init__(self, text: str, is_silent: bool = True) -> None:
        super().__init__(text)
        self.is_silent = is_silent


class RequestSender(Protocol):
    """Sends requests to peers and returns their replies."""

    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return the reply's payload; raise ``PeerUnreachable``."""


class Transport(ABC):
    """Messages between nodes. They are delivered at most once and may be delayed or lost.

    Attributes:
        round_trips: round trips to peers, measured by requests and new connections, excluding the
            peer's processing time.

    """

    def __init__(self) -> None:
        self.round_trips: RoundTrips[Address] = RoundTrips()
        self.handlers: dict[str, Handler] = {ECHO_METHOD: _answer_echo}
        self.one_way_handlers: dict[str, OneWayHandler] = {}
        self.datagram_handler: OneWayHandler | None = None

    @abstractmethod
    def round_trip_s(self, peer: Address) -> float | None:
        """Return the recent minimum round trip to a peer in seconds; ``None`` if not measured."""

    @abstractmethod
    async def start(self) -> Address:
        """Start listening and return the address in use."""

    @abstractmethod
    async def close(self) -> None:
        """Stop listening and close connections."""

    @abstractmethod
    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return the reply's payload; raise ``PeerUnreachable``."""

    @abstractmethod
    def send(self, peer: Address, method: str, payload: bytes) -> None:
        """Send a one-way message, which may be lost silently."""

    @abstractmethod
    def send_datagram(self, peer: Address, payload: bytes) -> None:
        """Send one datagram."""


async def _answer_echo(_payload: bytes) -> bytes:
    return b""
