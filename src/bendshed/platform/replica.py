"""The ``store`` role on this platform: a turn log replica on the machine's disk."""

import asyncio
import random
from functools import partial
from pathlib import Path

from prometheus_client import CollectorRegistry

from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.catalog.confirmations import CatalogPart
from bendshed.catalog.file import FileCatalogStorage
from bendshed.catalog.reading import RegistryReading
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import ReadingPace
from bendshed.catalog.watcher import KindHandler, KindWatcher
from bendshed.catalog.zones import make_registry_update
from bendshed.consensus.sqlite_storage import open_or_replace
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.platform import names
from bendshed.platform.objects import ObjectApi
from bendshed.platform.registry import PlatformReplicaRegistry
from bendshed.platform.settings import SiteSettings
from bendshed.platform.translate import read_document, read_replica, read_runner
from bendshed.ports.objects import ObjectEvent, ObjectList, StoredObject
from bendshed.tasks import start_loop
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.node import ReplicaPlace, ReplicaPorts, ReplicaSettings, TurnLogNode

WATCH_WAIT_S = 8.0
MAX_RETRY_GROWTH = 2.0
"""Limit of retry interval growth for a lost store; the first replica to reach it informs all."""
REPLICA_BATCH_INTERVAL_S = 0.25
"""Changes within this interval, such as many replicas starting at once, are fetched in one call;
the first change after an idle period is delivered immediately."""

log = PartLog("store")


class StoreProcess:
    """Connects a ``TurnLogNode`` to disk, transport and the metadata store."""

    def __init__(
        self, settings: SiteSettings, data_folder: Path, registry: CollectorRegistry
    ) -> None:
        self._settings = settings
        self._rng = random.Random()
        self._transport = TcpTransport(settings.ip, settings.peer_address.port)
        self._api = ObjectApi(Address.parse(settings.platform.addr))
        self._storage = open_or_replace(data_folder)
        catalog_storage = FileCatalogStorage(data_folder)
        replica_registry = PlatformReplicaRegistry(self._api)
        self._node = TurnLogNode(
            ReplicaPlace(settings.nodeName, settings.zone, settings.peer_address, settings.places),
            ReplicaPorts(self._storage, catalog_storage, self._transport, replica_registry),
            ReplicaSettings(
                2 * settings.faultTolerance.max_lost_replicas + 1,
                settings.catalog_times,
                settings.policy,
                settings.bounds.quota_tolerance,
                settings.turn_groups,
                settings.bounds.cold_rate_limit,
                settings.placement,
            ),
            self._rng,
            TurnLogMetrics(registry),
        )
        self._transport.traffic.distance = self._node.host_locations.distance
        self._transport.traffic.add_to(registry)
        confirm = self._node.catalog.confirm
        self._runner_watch = self._watch(
            names.RUNNER_KIND,
            KindHandler(self._set_runners, self._on_runner, self._confirm_runners),
        )
        self._configuration_watch = self._watch(
            names.CONFIGURATION_KIND,
            KindHandler.of_items(self._put_configuration, partial(confirm, CatalogPart.DOCUMENT)),
        )
        self._replica_watch = KindWatcher(
            self._api,
            names.REPLICA_KIND,
            KindHandler.of_items(self._put_replica),
            WATCH_WAIT_S,
            self._rng,
            REPLICA_BATCH_INTERVAL_S,
            MAX_RETRY_GROWTH,
        )
        self._retirement_watch = KindWatcher(
            self._api,
            names.RETIREMENT_KIND,
            KindHandler(self._replace_retirements, self._on_retirement),
            WATCH_WAIT_S,
            self._rng,
        )
        self._zone_watch = self._watch(names.CLOSED_ZONE_KIND, KindHandler.of_names(self._on_zones))
        self._zone_watch.is_first_watch_short = True
        other_watches = [self._configuration_watch, self._replica_watch, self._retirement_watch]
        if settings.catalog_times.follows_zones:
            other_watches.append(self._zone_watch)
        self._watches = [self._runner_watch, *other_watches]
        self._reading = RegistryReading(
            self._node.follower, self._runner_watch, other_watches, self._node.set_registry_lost
        )
        self._node.demand.on_pace_change.append(self._set_pace)

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until ``stopping`` is set."""
        await self._transport.start()
        self._node.start()
        tasks = [start_loop(watcher.run(), "platform") for watcher in self._watches]
        log.say("started", name=self._settings.nodeName, zone=self._settings.zone)
        await stopping.wait()
        await self._node.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._transport.close()
        self._storage.close()

    def _watch(self, kind: str, handler: KindHandler) -> KindWatcher:
        pace = self._node.demand.pace
        return KindWatcher(
            self._api, kind, handler, pace.wait_s, self._rng, pace.pause_s, MAX_RETRY_GROWTH
        )

    # --- changes read from the store --------------------------------------------------------

    def _confirm_runners(self, at: int) -> None:
        self._node.catalog.confirm(CatalogPart.RUNNERS, at)
        self._node.follower.note_registry_read(at)

    def _set_pace(self, pace: ReadingPace) -> None:
        for watcher in (self._runner_watch, self._configuration_watch):
            watcher.set_pace(pace.wait_s, pace.pause_s)
        self._zone_watch.set_pace(pace.zones_wait_s, pace.pause_s)

    def _on_zones(self, zones: frozenset[str], revision: int, deleted: frozenset[str]) -> None:
        self._node.apply_zones(make_registry_update(zones, revision, deleted))

    def _set_runners(self, listed: ObjectList) -> None:
        runners = [KnownRunner(read_runner(item), item.revision) for item in listed.items]
        self._node.catalog.replace_runners(runners, listed.revision, self._runner_watch.is_trusted)

    def _on_runner(self, event: ObjectEvent) -> None:
        item = event.object
        if event.is_deleted:
            is_trusted = self._runner_watch.is_trusted
            self._node.catalog.remove_runner(item.name, event.revision, is_trusted)
        else:
            self._node.catalog.put_runner(KnownRunner(read_runner(item), item.revision))

    def _put_configuration(self, item: StoredObject) -> None:
        if item.name == names.CONFIGURATION_NAME:
            document = read_document(item.spec)
            self._node.catalog.apply_document(document)
            self._node.follower.note_revisions(document.version, 0)

    # --- replicas and retirements ----------------------------------------------------------

    def _put_replica(self, item: StoredObject) -> None:
        self._node.directory.put(read_replica(item))

    def _replace_retirements(self, listed: ObjectList) -> None:
        self._node.directory.set_retiring([item.name for item in listed.items])

    def _on_retirement(self, event: ObjectEvent) -> None:
        if event.is_deleted:
            self._node.directory.remove_retiring(event.object.name)
        else:
            self._node.directory.add_retiring(event.object.name)
