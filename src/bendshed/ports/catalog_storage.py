"""Port to where a replica machine persists its catalog across restarts."""

from abc import ABC, abstractmethod


class CatalogStorage(ABC):
    """Persists one block of bytes. It is a hint: losing it costs time and breaks no promise."""

    @abstractmethod
    def load(self) -> bytes | None:
        """Return the persisted bytes; ``None``: none, or damaged."""

    @abstractmethod
    async def save(self, content: bytes) -> None:
        """Replace the persisted bytes; an error of the disk is logged and otherwise ignored."""
