"""Port to the callers' protocol: how requests are read and refusals answered."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from bendshed.errors import Refusal
from bendshed.ports.http_messages import Headers
from bendshed.ports.runner import ServiceRequest


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request as it came off the wire, whole.

    Attributes:
        raw_path: path without its query, not decoded.
        headers: names in lower case, in the order received.
        arrived_s: loop time.

    """

    method: bytes
    raw_path: bytes
    query: bytes
    headers: Headers
    body: bytes
    arrived_s: float

    @property
    def target(self) -> bytes:
        """Path and query, as on the wire."""
        return self.raw_path + (b"?" + self.query if self.query else b"")


@dataclass(frozen=True, slots=True)
class RefusalAnswer:
    """How a refusal is answered.

    Attributes:
        retry_after: value of ``Retry-After`` in seconds; empty: no header.

    """

    status: int
    retry_after: str = ""


class CallerProtocol(ABC):
    """How callers speak."""

    @abstractmethod
    def read(self, received: ReceivedRequest) -> ServiceRequest | Refusal:
        """Translate a request; refuse one whose fields cannot be read."""

    @abstractmethod
    def response_for(self, refusal: Refusal) -> RefusalAnswer:
        """Status and time to come back of a refusal."""
