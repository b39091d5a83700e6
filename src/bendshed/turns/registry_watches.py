"""A replica machine's watches of the registry, at the pace that its dependent nodes need."""

import asyncio
import random
from functools import partial

from bendshed.catalog.call_schedule import CallSchedule
from bendshed.catalog.metrics_port import LabelledGaugeFactory
from bendshed.catalog.object_reader import ObjectReader
from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.reading import RegistryReading
from bendshed.catalog.registry_outage import RegistryOutage
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes, ReadingPace
from bendshed.catalog.watcher import KindHandler, KindWatcher
from bendshed.catalog.zones import make_registry_update
from bendshed.ports.objects import ObjectEvent, ObjectList, ObjectSource, StoredObject
from bendshed.ports.registry_objects import RegistryFormat
from bendshed.tasks import start_loop
from bendshed.turns.node import TurnLogNode

REPLICA_BATCH_INTERVAL_S = 0.25
"""Changes within this interval, such as many replicas starting at once, are fetched in one call;
the first change after an idle period is delivered immediately."""


class ReplicaWatches:
    """Passes what the registry holds on to a ``TurnLogNode``.

    Args:
        source: read access to the registry.
        registry_format: names and encoding of its objects.
        node: gets all changes; its demand sets the pace.
        times: longest waits of the watches.

    Attributes:
        reading: pauses and resumes the watches.

    """

    def __init__(
        self,
        source: ObjectSource,
        registry_format: RegistryFormat,
        node: TurnLogNode,
        times: CatalogTimes,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._format = registry_format
        self._reader = ObjectReader(registry_format)
        self._node = node
        self._schedule = CallSchedule(rng)
        self._runners = self._watch(
            registry_format.runner_kind,
            KindHandler(self._set_runners, self._on_runner, self._confirm_runners),
            RegistryOutage(
                times.contact_s,
                times.drain_s,
                times.max_gap_s,
                lambda: node.catalog.confirmations.confirmed_s(CatalogPart.RUNNERS),
            ),
        )
        confirm_document = partial(node.catalog.confirm, CatalogPart.DOCUMENT)
        self._configuration = self._watch(
            registry_format.configuration_kind,
            KindHandler.of_items(self._put_configuration, confirm_document),
        )
        self._zones = self._watch(
            registry_format.closed_zone_kind, KindHandler.of_names(self._on_zones)
        )
        self._zones.is_first_watch_short = True
        self._watches = {
            CatalogPart.RUNNERS: self._runners,
            CatalogPart.DOCUMENT: self._configuration,
            CatalogPart.MACHINES: self._watch_machines(times.idle_wait_s),
            CatalogPart.RETIREMENTS: self._watch_retirements(times.idle_wait_s),
        }
        if times.follows_zones:
            self._watches[CatalogPart.ZONES] = self._zones
        self.reading = RegistryReading(
            node.follower, self._watches, self._schedule, self._report_losses
        )
        node.demand.on_pace_change.append(self._set_pace)

    def _watch(
        self, kind: str, handler: KindHandler, outage: RegistryOutage | None = None
    ) -> KindWatcher:
        pace = self._node.demand.pace
        return KindWatcher(
            self._source, kind, handler, pace.wait_s, self._schedule, pace.pause_s, outage
        )

    def _watch_machines(self, wait_s: float) -> KindWatcher:
        confirm = partial(self._node.catalog.confirm, CatalogPart.MACHINES)
        return KindWatcher(
            self._source,
            self._format.replica_kind,
            KindHandler.of_items(self._put_replica, confirm),
            wait_s,
            self._schedule,
            REPLICA_BATCH_INTERVAL_S,
        )

    def _watch_retirements(self, wait_s: float) -> KindWatcher:
        confirm = partial(self._node.catalog.confirm, CatalogPart.RETIREMENTS)
        return KindWatcher(
            self._source,
            self._format.retirement_kind,
            KindHandler(self._replace_retirements, self._on_retirement, confirm),
            wait_s,
            self._schedule,
        )

    def _report_losses(self) -> None:
        self._node.set_registry_lost(self.reading.is_lost, self.reading.fails_partly)

    def add_gauges(self, metrics: LabelledGaugeFactory) -> None:
        """Add gauges of the calls to the registry and of what it holds."""
        self.reading.add_gauges(metrics)
        self._reader.add_gauge(metrics)

    def start(self) -> "list[asyncio.Task[None]]":
        """Start the watches."""
        return [start_loop(watch.run(), "platform") for watch in self._watches.values()]

    def _set_pace(self, pace: ReadingPace) -> None:
        for watcher in (self._runners, self._configuration):
            watcher.set_pace(pace.wait_s, pace.pause_s)
        self._zones.set_pace(pace.zones_wait_s, pace.pause_s)

    # --- changes -----------------------------------------------------------------------------

    def _confirm_runners(self, revision: int) -> None:
        self._node.catalog.confirm(CatalogPart.RUNNERS, revision)
        self._node.follower.note_registry_read(revision)

    def _set_runners(self, listed: ObjectList) -> None:
        decoded = self._reader.runners(listed.items)
        runners = [KnownRunner(runner, item.revision) for item, runner in decoded]
        last_resort_s = self._runners.last_resort_s()
        self._node.catalog.replace_runners(runners, listed.revision, last_resort_s)

    def _on_runner(self, event: ObjectEvent) -> None:
        item = event.object
        if event.is_deleted:
            self._reader.forget_runner(item.name)
            last_resort_s = self._runners.last_resort_s()
            self._node.catalog.remove_runner(item.name, event.revision, last_resort_s)
            return
        runner = self._reader.runner(item)
        if runner is None:
            self._node.catalog.remove_runner(item.name, event.revision)
        else:
            self._node.catalog.put_runner(KnownRunner(runner, item.revision))

    def _put_configuration(self, item: StoredObject) -> None:
        document = self._reader.document(item)
        if document is not None:
            self._node.catalog.apply_document(document)
            self._node.follower.note_revisions(document.version, 0)

    def _on_zones(self, zones: frozenset[str], revision: int, deleted: frozenset[str]) -> None:
        self._node.apply_zones(make_registry_update(zones, revision, deleted))

    def _put_replica(self, item: StoredObject) -> None:
        replica = self._reader.replica(item)
        if replica is not None:
            self._node.directory.put(replica)

    def _replace_retirements(self, listed: ObjectList) -> None:
        self._node.directory.set_retiring([item.name for item in listed.items])

    def _on_retirement(self, event: ObjectEvent) -> None:
        if event.is_deleted:
            self._node.directory.remove_retiring(event.object.name)
        else:
            self._node.directory.add_retiring(event.object.name)
