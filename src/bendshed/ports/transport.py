"""Port to the other nodes: requests, one-way messages and datagrams."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Protocol

from bendshed.model.address import Address
from bendshed.ports.round_trips import RoundTrips

Handler = Callable[[bytes], Awaitable[bytes]]
OneWayHandler = Callable[[bytes], None]
ECHO_METHOD = "paths.echo"
"""A request that every node answers with nothing."""


class PeerUnreachable(Exception):
    """The peer did not answer in time, refused the connection or broke it.

    Attributes:
        is_silent: nothing came; otherwise its machine refused or reset the connection.

    """

    def __init__(self, text: str, is_silent: bool = True) -> None:
        super().__init__(text)
        self.is_silent = is_silent


class RequestSender(Protocol):
    """Whoever sends a request to a peer and gives its answer."""

    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return the reply's payload; raise ``PeerUnreachable``."""


class Transport(ABC):
    """Messages between nodes. Delivery is at most once and may be late or lost.

    Attributes:
        round_trips: to peers, as requests and new connections measured them without the time that
            the peer took for its answer.

    """

    def __init__(self) -> None:
        self.round_trips: RoundTrips[Address] = RoundTrips()
        self.handlers: dict[str, Handler] = {ECHO_METHOD: _answer_echo}
        self.one_way_handlers: dict[str, OneWayHandler] = {}
        self.datagram_handler: OneWayHandler | None = None

    @abstractmethod
    def round_trip_s(self, peer: Address) -> float | None:
        """Seconds to a peer and back, the least that was measured lately; ``None``: never."""

    @abstractmethod
    async def start(self) -> Address:
        """Listen; return the address in use."""

    @abstractmethod
    async def close(self) -> None:
        """Stop listening and close connections."""

    @abstractmethod
    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Send a request and return the reply's payload; raise ``PeerUnreachable``."""

    @abstractmethod
    def send(self, peer: Address, method: str, payload: bytes) -> None:
        """Send a one-way message; it may be lost without notice."""

    @abstractmethod
    def send_datagram(self, peer: Address, payload: bytes) -> None:
        """Send one datagram."""


async def _answer_echo(_payload: bytes) -> bytes:
    return b""
