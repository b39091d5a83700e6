"""The ``store`` role on this platform: a turn log replica on the machine's disk."""

import asyncio
import random
from pathlib import Path

from prometheus_client import CollectorRegistry

from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.catalog.file import FileCatalogStorage
from bendshed.consensus.sqlite_storage import open_or_replace
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.platform.objects import ObjectApi
from bendshed.platform.registry import PlatformReplicaRegistry
from bendshed.platform.settings import SiteSettings
from bendshed.platform.translate import REGISTRY_FORMAT
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.node import ReplicaPlace, ReplicaPorts, ReplicaSettings, TurnLogNode
from bendshed.turns.registry_watches import ReplicaWatches

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
        metrics = TurnLogMetrics(registry)
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
            metrics,
        )
        self._transport.traffic.distance = self._node.host_locations.distance
        self._transport.traffic.add_to(registry)
        self._watches = ReplicaWatches(
            self._api,
            REGISTRY_FORMAT,
            self._node,
            settings.catalog_times,
            self._rng,
        )
        self._watches.add_gauges(metrics)

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until ``stopping`` is set."""
        await self._transport.start()
        self._node.start()
        tasks = self._watches.start()
        log.say("started", name=self._settings.nodeName, zone=self._settings.zone)
        await stopping.wait()
        await self._node.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._transport.close()
        self._storage.close()
