"""The ``store`` role on this platform: a replica of the turn log on the machine's disk."""

import asyncio
import random
from pathlib import Path

from prometheus_client import CollectorRegistry

from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.catalog.file import FileCatalogStorage
from bendshed.catalog.follower import CatalogTimes
from bendshed.catalog.server import CatalogPart
from bendshed.catalog.state import KnownRunner
from bendshed.consensus.sqlite_storage import open_or_replace
from bendshed.logs import PartLog
from bendshed.platform import names
from bendshed.platform.objects import ObjectApi, ObjectEvent, ObjectList, PlatformObject
from bendshed.platform.registry import PlatformReplicaRegistry
from bendshed.platform.settings import SiteSettings, read_address
from bendshed.platform.translate import read_document, read_replica, read_retirement, read_runner
from bendshed.platform.watcher import KindHandler, KindWatcher
from bendshed.tasks import start_loop
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.node import TurnLogNode

WATCH_S = 8.0
PACE_S = 1.0
DEMAND_PACE_S = 0.05
DEMAND_CHECK_S = 1.0

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
            FileCatalogStorage(data_folder),
        )
        self._times = CatalogTimes.within(settings.bounds.applyMs / 1000)
        self._runners = self._watcher(
            names.RUNNER_KIND,
            KindHandler(self._list_runners, self._on_runner, self._confirm_runners),
        )
        self._configuration = self._watcher(
            names.CONFIGURATION_KIND,
            KindHandler(self._list_configuration, self._on_configuration, self._confirm_document),
        )
        self._node.catalog.on_demand = self._follow_demand

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until told to stop."""
        await self._transport.start()
        self._node.start()
        following = [start_loop(watcher.run(), "platform") for watcher in self._make_watchers()]
        following.append(start_loop(self._watch_demand(), "platform"))
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
            self._watcher(names.REPLICA_KIND, replicas),
            self._watcher(names.RETIREMENT_KIND, retirements, DEMAND_PACE_S),
            self._runners,
            self._configuration,
        ]

    def _watcher(self, kind: str, handler: KindHandler, pace_s: float = PACE_S) -> KindWatcher:
        return KindWatcher(self._api, kind, handler, WATCH_S, self._rng, pace_s)

    # --- what fronts rely on ---------------------------------------------------------------

    async def _watch_demand(self) -> None:
        while True:
            await asyncio.sleep(DEMAND_CHECK_S)
            self._follow_demand()

    def _follow_demand(self) -> None:
        """While fronts rely on this process, ask often enough that its word is fresh."""
        in_demand = self._node.catalog.is_in_demand
        wait_s = self._times.interval_s if in_demand else WATCH_S
        for watcher in (self._runners, self._configuration):
            if watcher.wait_s == wait_s:
                continue
            watcher.wait_s = wait_s
            watcher.pace_s = DEMAND_PACE_S if in_demand else PACE_S
            if in_demand:
                watcher.restart()

    def _list_runners(self, listed: ObjectList) -> None:
        runners = [KnownRunner(read_runner(item), item.revision) for item in listed.items]
        trusted = not self._runners.is_in_doubt
        self._node.catalog.list_runners(runners, listed.at, trusted)

    def _on_runner(self, event: ObjectEvent) -> None:
        item = event.object
        if event.is_gone:
            trusted = not self._runners.is_in_doubt
            self._node.catalog.remove_runner(item.name, event.at, trusted)
        else:
            self._node.catalog.put_runner(KnownRunner(read_runner(item), item.revision))

    def _confirm_runners(self, at: int) -> None:
        self._node.catalog.confirm(CatalogPart.RUNNERS, at)

    def _list_configuration(self, listed: ObjectList) -> None:
        for item in listed.items:
            self._take_configuration(item)

    def _on_configuration(self, event: ObjectEvent) -> None:
        if not event.is_gone:
            self._take_configuration(event.object)

    def _take_configuration(self, item: PlatformObject) -> None:
        if item.name == names.CONFIGURATION_NAME:
            self._node.catalog.take_document(read_document(item.spec))

    def _confirm_document(self, at: int) -> None:
        self._node.catalog.confirm(CatalogPart.DOCUMENT, at)

    # --- replicas and retirements ----------------------------------------------------------

    def _list_replicas(self, listed: ObjectList) -> None:
        for item in listed.items:
            self._node.directory.put(read_replica(item))

    def _on_replica(self, event: ObjectEvent) -> None:
        if not event.is_gone:
            self._node.directory.put(read_replica(event.object))

    def _list_retirements(self, listed: ObjectList) -> None:
        self._node.list_retirements([read_retirement(item) for item in listed.items])

    def _on_retirement(self, event: ObjectEvent) -> None:
        wish = read_retirement(event.object)
        if event.is_gone:
            self._node.remove_retirement(wish.name)
        else:
            self._node.put_retirement(wish)
