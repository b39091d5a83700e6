"""Loads a replica machine's catalog at the start, and saves it after changes."""

import asyncio
from collections.abc import Callable

from bendshed.catalog.codec import StoredCatalog, decode_stored, encode_stored
from bendshed.model.address import Address
from bendshed.ports.catalog_storage import CatalogStorage

MIN_SAVE_INTERVAL_S = 1.0
"""Shortest time between two saves: a burst of changes is written once per second."""
PREVIOUS_FRONTS_EXPIRY_S = 10.0
"""Fronts from the disk that have sent no request are forgotten once the registry has answered this
machine for this long: with a registry, fronts find replica machines by themselves."""


class CatalogPersistence:
    """Holds what was saved before the restart, and saves changes.

    Attributes:
        stored: what the disk held at the start.
        saved_fronts: fronts that the disk holds now.

    """

    def __init__(self, storage: CatalogStorage, loads_stored: bool) -> None:
        self.stored = decode_stored(storage.load() if loads_stored else None)
        self.saved_fronts = frozenset(self.stored.fronts)
        self._storage = storage
        self._previous_fronts_expire_s = 0.0
        self._unsaved = asyncio.Event()

    def start(self) -> None:
        """Start the time after which fronts from before the restart are forgotten."""
        self._previous_fronts_expire_s = (
            asyncio.get_running_loop().time() + PREVIOUS_FRONTS_EXPIRY_S
        )

    def retain_previous_fronts(self) -> None:
        """Restart that time, since the registry does not answer.

        A front that starts now learns of replica machines from nowhere else.
        """
        self._previous_fronts_expire_s = (
            asyncio.get_running_loop().time() + PREVIOUS_FRONTS_EXPIRY_S
        )

    def previous_fronts(self) -> tuple[Address, ...]:
        """Fronts from before the restart; empty once they are forgotten."""
        is_recent = asyncio.get_running_loop().time() < self._previous_fronts_expire_s
        return self.stored.fronts if is_recent else ()

    def note_change(self) -> None:
        """Schedule a save."""
        self._unsaved.set()

    async def run(self, snapshot: Callable[[], StoredCatalog]) -> None:
        """Save a snapshot after changes, at a limited rate, until cancelled."""
        while True:
            await self._unsaved.wait()
            self._unsaved.clear()
            content = snapshot()
            await self._storage.save(encode_stored(content))
            self.saved_fronts = frozenset(content.fronts)
            await asyncio.sleep(MIN_SAVE_INTERVAL_S)
