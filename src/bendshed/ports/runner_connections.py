"""Port to the connections towards runners."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator

from bendshed.model.address import Address
from bendshed.ports.http_messages import ClientRequest, ResponseHead


class RunnerConnection(ABC):
    """One connection, one request at a time."""

    @abstractmethod
    async def send(self, request: ClientRequest) -> ResponseHead:
        """Send a request and wait for the head of its answer; raise ``ResponseBroken``."""

    @abstractmethod
    def body(self) -> AsyncIterator[bytes]:
        """Chunks as they arrive; raise ``ResponseBroken`` unless the body ends properly."""

    @abstractmethod
    def finish(self) -> None:
        """The answer was read whole: the connection may serve again if nothing speaks against."""

    @abstractmethod
    def abort(self) -> None:
        """Close at once."""


class RunnerConnections(ABC):
    """Kept connections by address."""

    @abstractmethod
    async def acquire(self, address: Address) -> RunnerConnection:
        """Take an idle connection or open one; raise ``ConnectFailed``."""

    @abstractmethod
    def has_idle(self, address: Address) -> bool:
        """Whether ``acquire`` would find a connection that is open already."""

    @abstractmethod
    def release(self, address: Address, connection: RunnerConnection) -> None:
        """Give a connection back after ``finish`` or ``abort``."""

    @abstractmethod
    def forget(self, address: Address) -> None:
        """Close the idle connections to a peer that is gone."""

    @abstractmethod
    def close(self) -> None:
        """Close all idle connections."""
