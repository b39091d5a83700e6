"""Where a node or runner listens: a frozen value."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """IP number and port that a node's peers use (TCP and UDP alike)."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
