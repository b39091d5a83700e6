"""Port to where a replica machine keeps its catalog between lives."""

from abc import ABC, abstractmethod


class CatalogStorage(ABC):
    """Keeps one block of bytes. What is kept is a hint: losing it costs time and no promise."""

    @abstractmethod
    def load(self) -> bytes | None:
        """Return what was kept whole; ``None``: nothing, or it is damaged."""

    @abstractmethod
    async def save(self, content: bytes) -> None:
        """Replace what was kept; a disk that refuses is told and passed over."""
