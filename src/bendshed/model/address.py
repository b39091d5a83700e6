"""Network address of a node or runner."""

from dataclasses import dataclass
from typing import Self


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port of a node or runner; nodes use the port for both TCP and UDP."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse ``ip:port``; raise ``ValueError``."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
