"""Port to the connections to runners."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable

from bendshed.model.address import Address
from bendshed.model.runner import NO_REPORT, ReportedBirth
from bendshed.ports.http_messages import (
    BreakCause,
    ClientRequest,
    ResponseBroken,
    ResponseHead,
)


class RunnerConnection(ABC):
    """One connection, which carries one request at a time.

    Attributes:
        reported: what the process behind it reported of its start.

    """

    reported: ReportedBirth = NO_REPORT

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return False

    @abstractmethod
    async def send(self, request: ClientRequest) -> ResponseHead:
        """Send a request and wait for the response head; raise ``ResponseBroken``."""

    @abstractmethod
    def body(self) -> AsyncIterator[bytes]:
        """Yield chunks as they arrive; raise ``ResponseBroken`` if the body is incomplete."""

    @abstractmethod
    def watch_close(self, on_closed: Callable[[], None]) -> None:
        """Call back once if the peer closes the connection while it is idle."""

    @abstractmethod
    def finish(self) -> None:
        """End the exchange after a complete response; keep the connection if it is reusable."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection immediately."""


class RunnerConnections(ABC):
    """Persistent connections by address."""

    @abstractmethod
    async def acquire(self, address: Address) -> RunnerConnection:
        """Return an idle connection or open one; raise ``ConnectFailed``."""

    @abstractmethod
    def has_idle(self, address: Address) -> bool:
        """Return whether ``acquire`` would reuse an open connection."""

    @abstractmethod
    def release(self, address: Address, connection: RunnerConnection) -> None:
        """Return a connection to the pool after ``finish`` or ``abort``."""

    @abstractmethod
    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a peer that is no longer in use."""

    @abstractmethod
    def close(self) -> None:
        """Close all idle connections."""


async def read_body(connection: RunnerConnection, max_bytes: int) -> bytes:
    """Read the body of a response; raise ``ResponseBroken`` if it is broken or larger."""
    chunks: list[bytes] = []
    num_bytes = 0
    async for chunk in connection.body():
        num_bytes += len(chunk)
        if num_bytes > max_bytes:
            raise ResponseBroken(f"a body of more than {max_bytes} bytes", BreakCause.MALFORMED)
        chunks.append(chunk)
    return b"".join(chunks)
