"""Port for the callers' protocol: parsing of requests and responses to refused ones."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bendshed.errors import Refusal
from bendshed.ports.http_messages import Headers
from bendshed.ports.runner import ServiceRequest


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A complete request as received from the connection.

    Attributes:
        raw_path: path without the query string, still percent-encoded.
        headers: names in lower case, in the order received.
        arrived_s: event loop time of the arrival.

    """

    method: bytes
    raw_path: bytes
    query: bytes
    headers: Headers
    body: bytes
    arrived_s: float

    @property
    def target(self) -> bytes:
        """Path and query string, as on the wire."""
        return self.raw_path + (b"?" + self.query if self.query else b"")


@dataclass(frozen=True, slots=True)
class RefusalAnswer:
    """HTTP status and headers of the response to a refused request.

    Attributes:
        retry_after: value of ``Retry-After`` in seconds; empty for no header.

    """

    status: int
    retry_after: str = ""


class CallerProtocol(ABC):
    """The protocol of callers."""

    @abstractmethod
    def read(self, received: ReceivedRequest) -> ServiceRequest | Refusal:
        """Parse a request; return a refusal if its fields are invalid."""

    @abstractmethod
    def response_for(self, refusal: Refusal) -> RefusalAnswer:
        """Return the status and the retry delay for a refusal."""
