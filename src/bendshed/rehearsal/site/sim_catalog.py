"""Where a simulated replica machine keeps its catalog."""

import asyncio

from bendshed.ports.catalog_storage import CatalogStorage
from bendshed.rehearsal.simulator.platform import SimDisk


class SimCatalogStorage(CatalogStorage):
    """A block of bytes on a simulated disk."""

    def __init__(self, disk: SimDisk) -> None:
        self._disk = disk

    def load(self) -> bytes | None:
        """Return what was stored."""
        return self._disk.catalog

    async def save(self, content: bytes) -> None:
        """Store it after the disk's time; a process killed before that leaves what was there."""
        await asyncio.sleep(self._disk.commit_s)
        if not self._disk.is_full:
            self._disk.catalog = content
