"""Network address of a node or runner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """IP address and port of a node or runner; nodes use the port for both TCP and UDP."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
