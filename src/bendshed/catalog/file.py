"""Stores the catalog on a replica machine's disk, for starts while the registry is down."""

import asyncio
from pathlib import Path

from bendshed.adapters.durable_file import FileDamaged, read_durable, write_durable
from bendshed.logs import PartLog
from bendshed.ports.catalog_storage import CatalogStorage

FILE_NAME = "catalog.bin"

log = PartLog("catalog")


class FileCatalogStorage(CatalogStorage):
    """Stores the catalog in one file of the data folder."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME

    def load(self) -> bytes | None:
        """Return the saved content; ``None``: nothing was saved, or the file is damaged."""
        if not self._path.exists():
            return None
        try:
            return read_durable(self._path)
        except (OSError, FileDamaged) as error:
            log.say("saved file ignored: unreadable", reason=repr(error))
            return None

    async def save(self, content: bytes) -> None:
        """Write the content on a thread, since the disk may be slow."""
        try:
            await asyncio.to_thread(write_durable, self._path, content)
        except OSError as error:
            log.say("not saved: disk failed", reason=str(error))
