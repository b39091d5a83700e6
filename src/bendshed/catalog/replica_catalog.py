"""The catalog of a replica machine: applies updates of the registry and of other machines."""

import asyncio
import math
from collections.abc import Collection

from bendshed.catalog.confirmations import Confirmations
from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.persistence import CatalogPersistence
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.zones import ClosedZoneTracker
from bendshed.logs import PartLog
from bendshed.model.places import Places
from bendshed.model.service_document import ServiceDocument
from bendshed.placement.zones import ZoneUpdate

log = PartLog("catalog")


class ReplicaCatalog:
    """What one replica machine knows; each change is saved and wakes waiting requests.

    Attributes:
        catalog: configuration and runners, initially as loaded from the disk.
        zones: closed zones, if operators close zones in this installation.
        confirmations: when the registry confirmed each part.
        is_lost: the registry answers this machine for no part that requests depend on.
        registry_fails_partly: it does not answer for some kind of objects, or for none.

    """

    def __init__(
        self, persistence: CatalogPersistence, times: CatalogTimes, places: Places
    ) -> None:
        self.catalog = persistence.stored.catalog
        self.zones = ClosedZoneTracker(places)
        self.catalog.filter = self.zones.filter
        self.confirmations = Confirmations(times, self.zones)
        self.is_lost = False
        self.registry_fails_partly = False
        self._persistence = persistence
        self._changed = asyncio.Event()

    def start(self) -> None:
        """Apply what was loaded from the disk; start its clock."""
        self.catalog.begin_incarnation(asyncio.get_running_loop().time)
        self.zones.on_zone_opened.append(self.catalog.cold.note_zone_reopened)
        self.apply_zones(self._persistence.stored.zones)

    def apply_document(self, document: ServiceDocument) -> bool:
        """Apply a configuration; ``False``: it is not newer."""
        before = self.catalog.version
        is_newer = self.catalog.apply_document(document)
        if is_newer:
            log.say("configuration applied", version=document.version, before=before)
            self.notify_change()
        return is_newer

    def replace_runners(
        self, runners: Collection[KnownRunner], revision: int, last_resort_s: float = 0.0
    ) -> None:
        """Replace the whole list of runners."""
        if self.catalog.replace_runners(runners, revision, last_resort_s):
            self.notify_change()

    def put_runner(self, known: KnownRunner) -> None:
        """Apply one runner's state."""
        if self.catalog.put_runner(known):
            self.notify_change()

    def remove_runner(self, runner_id: str, revision: int, last_resort_s: float = 0.0) -> None:
        """Remove a runner that is no longer listed."""
        if self.catalog.remove_runner(runner_id, revision, last_resort_s):
            self.notify_change()

    def apply_zones(self, update: ZoneUpdate) -> None:
        """Apply which zones are closed; an older update changes nothing."""
        if self.zones.apply(update):
            self.notify_change()
        self.catalog.filter = self.zones.filter

    def confirm(self, part: CatalogPart, revision: int) -> None:
        """Record that the registry confirmed a part up to a revision."""
        self.confirmations.confirm(part)
        if part is CatalogPart.RUNNERS:
            self.catalog.advance(revision)

    def confirm_received(self, part: CatalogPart, age_s: float, runners_at: int) -> None:
        """Record that the registry confirmed a part of another machine's catalog ``age_s`` ago."""
        self.confirmations.confirm(part, age_s)
        if part is CatalogPart.RUNNERS:
            self.catalog.advance(runners_at)

    def age_s(self, part: CatalogPart) -> float:
        """Time since the registry confirmed a part; infinite: not since the process started."""
        return self.confirmations.ages_s().get(part, math.inf)

    def set_registry_lost(self, is_lost: bool, fails_partly: bool) -> None:
        """Record whether this machine lost the registry; waiting nodes are notified at once."""
        self.registry_fails_partly = fails_partly
        if is_lost != self.is_lost:
            self.is_lost = is_lost
            self.notify_change()

    def notify_change(self) -> None:
        """Wake all that wait for a change, and schedule a save."""
        self._changed.set()
        self._changed = asyncio.Event()
        self.schedule_save()

    def schedule_save(self) -> None:
        """Schedule a save."""
        self._persistence.note_change()

    async def wait_for_change(self, wait_s: float) -> None:
        """Return after the next change, or after ``wait_s``."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return
