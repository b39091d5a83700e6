"""The ``store`` role on this platform: a replica of the turn log on the machine's disk."""

import asyncio
import random
from pathlib import Path

from prometheus_client import CollectorRegistry

from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.consensus.sqlite_storage import open_or_replace
from bendshed.logs import PartLog
from bendshed.platform import names
from bendshed.platform.objects import ObjectApi, ObjectEvent, PlatformObject
from bendshed.platform.registry import PlatformReplicaRegistry
from bendshed.platform.settings import SiteSettings, read_address
from bendshed.platform.translate import read_replica, read_retirement
from bendshed.platform.watcher import KindHandler, KindWatcher
from bendshed.tasks import start_loop
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.node import TurnLogNode

WATCH_S = 8.0

log = PartLog("store")


class StoreProcess:
    """Shells around a ``TurnLogNode``."""

    def __init__(
        self, settings: SiteSettings, data_folder: Path, registry: CollectorRegistry
    ) -> None:
        self._settings = settings
        self._rng = random.Random()
        self._transport = TcpTransport(settings.ip, settings.peer_address.port)
        self._api = ObjectApi(read_address(settings.platform.addr))
        self._storage = open_or_replace(data_folder)
        self._node = TurnLogNode(
            settings.nodeName,
            settings.zone,
            settings.peer_address,
            self._storage,
            self._transport,
            PlatformReplicaRegistry(self._api),
            2 * settings.faultTolerance.most + 1,
            self._rng,
            TurnLogMetrics(registry),
            data_folder,
        )

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until told to stop."""
        await self._transport.start()
        self._node.start()
        following = [start_loop(watcher.run(), "platform") for watcher in self._make_watchers()]
        log.say("started", name=self._settings.nodeName, zone=self._settings.zone)
        await stopping.wait()
        await self._node.stop()
        for task in following:
            task.cancel()
        await asyncio.gather(*following, return_exceptions=True)
        await self._transport.close()
        self._storage.close()

    def _make_watchers(self) -> list[KindWatcher]:
        replicas = KindHandler(self._list_replicas, self._on_replica)
        retirements = KindHandler(self._list_retirements, self._on_retirement)
        return [
            KindWatcher(self._api, names.REPLICA_KIND, replicas, WATCH_S, self._rng),
            KindWatcher(self._api, names.RETIREMENT_KIND, retirements, WATCH_S, self._rng),
        ]

    def _list_replicas(self, items: list[PlatformObject]) -> None:
        for item in items:
            self._node.directory.put(read_replica(item))

    def _on_replica(self, event: ObjectEvent) -> None:
        if not event.is_gone:
            self._list_replicas([event.object])

    def _list_retirements(self, items: list[PlatformObject]) -> None:
        self._node.list_retirements([read_retirement(item) for item in items])

    def _on_retirement(self, event: ObjectEvent) -> None:
        wish = read_retirement(event.object)
        if event.is_gone:
            self._node.remove_retirement(wish.name)
        else:
            self._node.put_retirement(wish)
