"""Port to the storage in which a replica machine persists its catalog across restarts."""

from abc import ABC, abstractmethod


class CatalogStorage(ABC):
    """Persists one block of bytes.

    The content is an optimization: losing it delays the start but breaks no guarantee.
    """

    @abstractmethod
    def load(self) -> bytes | None:
        """Return the persisted bytes; ``None`` if there are none or they are damaged."""

    @abstractmethod
    async def save(self, content: bytes) -> None:
        """Replace the persisted bytes; a disk error is logged and otherwise ignored."""
