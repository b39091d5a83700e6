"""A front's watches of the registry: runners, configuration, replica machines, closed zones."""

import asyncio
import random

from bendshed.catalog.call_schedule import CallSchedule
from bendshed.catalog.metrics_port import LabelledGaugeFactory
from bendshed.catalog.object_reader import ObjectReader
from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.reading import RegistryReading
from bendshed.catalog.registry_outage import RegistryOutage
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.watcher import KindHandler, KindWatcher
from bendshed.catalog.zones import make_registry_update
from bendshed.logs import PartLog
from bendshed.ports.objects import ObjectEvent, ObjectList, ObjectSource, StoredObject
from bendshed.ports.registry_objects import RegistryFormat
from bendshed.ports.store import StoreUnavailable
from bendshed.services.node import ServiceNode
from bendshed.tasks import start_loop

log = PartLog("front")


class FrontWatches:
    """Passes what the registry holds on to a ``ServiceNode``, while no machine reads for it.

    Args:
        source: read access to the registry.
        registry_format: names and encoding of its objects.
        node: gets all changes.
        times: waits and pauses of the watches.

    Attributes:
        reading: pauses and resumes the watches.

    """

    def __init__(
        self,
        source: ObjectSource,
        registry_format: RegistryFormat,
        node: ServiceNode,
        times: CatalogTimes,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._format = registry_format
        self._reader = ObjectReader(registry_format)
        self._node = node
        self._times = times
        self._schedule = CallSchedule(rng)
        self._runners = self._watch(
            registry_format.runner_kind,
            KindHandler(self._set_runners, self._on_runner, node.note_runners_read),
            times.idle_wait_s,
            RegistryOutage(
                times.contact_s,
                times.drain_s,
                times.max_gap_s,
                lambda: node.runners_confirmed_s,
                is_informed=True,
                is_isolated=lambda: node.is_isolated,
            ),
        )
        self._configuration = self._watch(
            registry_format.configuration_kind,
            KindHandler.of_items(
                self._apply_configuration, lambda _revision: node.configuration_age.confirm(0.0)
            ),
            times.idle_wait_s,
        )
        self._watches = {
            CatalogPart.RUNNERS: self._runners,
            CatalogPart.DOCUMENT: self._configuration,
            CatalogPart.MACHINES: self._watch(
                registry_format.replica_kind,
                KindHandler.of_items(self._put_replica),
                times.idle_wait_s,
            ),
        }
        if times.follows_zones:
            self._watches[CatalogPart.ZONES] = self._watch_zones()
        self.reading = RegistryReading(node.catalog, self._watches, self._schedule)
        node.forwarder.is_current = self._is_configuration_current

    def _watch(
        self,
        kind: str,
        handler: KindHandler,
        wait_s: float,
        outage: RegistryOutage | None = None,
    ) -> KindWatcher:
        pause_s = self._times.pause_s
        return KindWatcher(self._source, kind, handler, wait_s, self._schedule, pause_s, outage)

    def _watch_zones(self) -> KindWatcher:
        handler = KindHandler.of_names(self._apply_zones)
        zones = self._watch(self._format.closed_zone_kind, handler, self._times.zones_wait_s)
        zones.is_first_watch_short = True
        return zones

    def add_gauges(self, metrics: LabelledGaugeFactory) -> None:
        """Add gauges of the calls to the registry and of what it holds."""
        self.reading.add_gauges(metrics)
        self._reader.add_gauge(metrics)

    def start(self) -> "list[asyncio.Task[None]]":
        """Start the watches; they begin to read once other machines had time to send updates."""
        tasks = [start_loop(watch.run(), "platform") for watch in self._watches.values()]
        waiting = self.reading.wait_for_update(self._load_replicas, self._times.max_age_s)
        return [*tasks, start_loop(waiting, "registry")]

    def _is_configuration_current(self) -> bool:
        """Return whether replica machines or the registry keep the configuration current.

        That the registry answers for another kind says nothing of the configuration.
        """
        if self._node.catalog.is_part_fresh(CatalogPart.DOCUMENT):
            return True
        is_confirmed = self._node.configuration_age.seconds <= self._times.silence_s
        return is_confirmed and not self._configuration.is_lost

    async def _load_replicas(self) -> bool:
        """Read the list of replica machines; a list that is seconds old is sufficient."""
        try:
            listed = await self._source.list(self._format.replica_kind, may_be_stale=True)
        except StoreUnavailable as error:
            log.say("replica machines unknown: registry unavailable", reason=str(error))
            return False
        for item in listed.items:
            self._put_replica(item)
        return bool(self._node.directory.by_name)

    # --- changes -----------------------------------------------------------------------------

    def _set_runners(self, listed: ObjectList) -> None:
        runners = [runner for _, runner in self._reader.runners(listed.items)]
        self._node.replace_runners(runners, self._runners.last_resort_s())

    def _on_runner(self, event: ObjectEvent) -> None:
        item = event.object
        if event.is_deleted:
            self._reader.forget_runner(item.name)
            self._node.remove_runner(item.name, self._runners.last_resort_s())
            return
        runner = self._reader.runner(item)
        if runner is None:
            self._node.remove_runner(item.name)
        else:
            self._node.put_runner(runner)

    def _apply_configuration(self, item: StoredObject) -> None:
        document = self._reader.document(item)
        if document is not None:
            self._node.apply_document(document)

    def _apply_zones(self, zones: frozenset[str], revision: int, deleted: frozenset[str]) -> None:
        self._node.apply_zones(make_registry_update(zones, revision, deleted))
        self._node.zones.confirm(0.0)

    def _put_replica(self, item: StoredObject) -> None:
        replica = self._reader.replica(item)
        if replica is not None:
            self._node.directory.put(replica)
