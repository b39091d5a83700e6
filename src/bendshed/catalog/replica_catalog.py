"""The catalog of a replica machine: takes updates of the registry and of other machines."""

import asyncio
from collections.abc import Collection

from bendshed.catalog.confirmations import CatalogPart, Confirmations
from bendshed.catalog.persistence import CatalogPersistence
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.zones import ClosedZoneTracker
from bendshed.model.places import Places
from bendshed.model.service_document import ServiceDocument
from bendshed.placement.zones import ZoneUpdate


class ReplicaCatalog:
    """What one replica machine knows; each change wakes those who wait for one and is saved.

    Attributes:
        catalog: configuration and runners; a start begins with what the disk holds.
        zones: closed zones, where operators close any.
        confirmations: when the registry confirmed each part.
        is_lost: the registry does not answer this machine.

    """

    def __init__(
        self, persistence: CatalogPersistence, times: CatalogTimes, places: Places
    ) -> None:
        self.catalog = persistence.stored.catalog
        self.zones = ClosedZoneTracker(places)
        self.catalog.filter = self.zones.filter
        self.confirmations = Confirmations(times, self.zones)
        self.is_lost = False
        self._persistence = persistence
        self._changed = asyncio.Event()

    def start(self) -> None:
        """Begin with what the disk held; time passes for it from now on."""
        self.catalog.begin_incarnation(asyncio.get_running_loop().time)
        self.zones.on_zone_opened.append(self.catalog.cold.note_zone_reopened)
        self.apply_zones(self._persistence.stored.zones)

    def apply_document(self, document: ServiceDocument) -> bool:
        """Take a configuration; ``False``: it is not newer."""
        is_newer = self.catalog.apply_document(document)
        if is_newer:
            self.notify_change()
        return is_newer

    def replace_runners(self, runners: Collection[KnownRunner], at: int, is_trusted: bool) -> None:
        """Take the whole list of runners."""
        if self.catalog.replace_runners(runners, at, is_trusted):
            self.notify_change()

    def put_runner(self, known: KnownRunner) -> None:
        """Take one runner's state."""
        if self.catalog.put_runner(known):
            self.notify_change()

    def remove_runner(self, runner_id: str, at: int, is_trusted: bool) -> None:
        """A runner is not listed any more."""
        if self.catalog.remove_runner(runner_id, at, is_trusted):
            self.notify_change()

    def apply_zones(self, update: ZoneUpdate) -> None:
        """Take which zones are closed; an older update changes nothing."""
        if self.zones.apply(update):
            self.notify_change()
        self.catalog.filter = self.zones.filter

    def confirm(self, part: CatalogPart, at: int) -> None:
        """The registry answered: this part is known up to a revision."""
        self.confirmations.confirm(part)
        if part is CatalogPart.RUNNERS:
            self.catalog.advance(at)

    def confirm_all(self, age_s: float, runners_at: int) -> None:
        """Another machine said that the registry confirmed everything so long ago."""
        self.confirmations.confirm_all(age_s)
        self.catalog.advance(runners_at)

    def set_registry_lost(self, is_lost: bool) -> None:
        """Whether the registry answers this machine; waiting nodes are notified at once."""
        if is_lost != self.is_lost:
            self.is_lost = is_lost
            self.notify_change()

    def notify_change(self) -> None:
        """Wake those who wait for a change, and save."""
        self._changed.set()
        self._changed = asyncio.Event()
        self.schedule_save()

    def schedule_save(self) -> None:
        """Save soon."""
        self._persistence.note_change()

    async def wait_for_change(self, wait_s: float) -> None:
        """Return after the next change, or after ``wait_s``."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return
