"""The ``store`` role on this platform: a replica of the turn log on the machine's disk."""

import asyncio
import random
from functools import partial
from pathlib import Path

from prometheus_client import CollectorRegistry

from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.catalog.file import FileCatalogStorage
from bendshed.catalog.server import CatalogPart
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes, ReadingPace
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
            CatalogTimes.within(settings.apply_s, settings.platform.historyS),
            settings.policy,
        )
        confirm = self._node.catalog.confirm
        self._runners = self._watcher(
            names.RUNNER_KIND,
            KindHandler(self._list_runners, self._on_runner, partial(confirm, CatalogPart.RUNNERS)),
        )
        self._configuration = self._watcher(
            names.CONFIGURATION_KIND,
            KindHandler.of_states(self._take_configuration, partial(confirm, CatalogPart.DOCUMENT)),
        )
        self._node.catalog.on_pace = self._set_pace

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
        replicas = KindHandler.of_states(self._take_replica)
        retirements = KindHandler(self._list_retirements, self._on_retirement)
        return [
            KindWatcher(self._api, names.REPLICA_KIND, replicas, WATCH_S, self._rng),
            KindWatcher(self._api, names.RETIREMENT_KIND, retirements, WATCH_S, self._rng),
            self._runners,
            self._configuration,
        ]

    def _watcher(self, kind: str, handler: KindHandler) -> KindWatcher:
        pace = self._node.catalog.pace
        return KindWatcher(self._api, kind, handler, pace.wait_s, self._rng, pace.pace_s)

    # --- what fronts rely on ---------------------------------------------------------------

    def _set_pace(self, pace: ReadingPace) -> None:
        for watcher in (self._runners, self._configuration):
            watcher.set_pace(pace.wait_s, pace.pace_s)

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

    def _take_configuration(self, item: PlatformObject) -> None:
        if item.name == names.CONFIGURATION_NAME:
            self._node.catalog.take_document(read_document(item.spec))

    # --- replicas and retirements ----------------------------------------------------------

    def _take_replica(self, item: PlatformObject) -> None:
        self._node.directory.put(read_replica(item))

    def _list_retirements(self, listed: ObjectList) -> None:
        self._node.list_retirements([read_retirement(item) for item in listed.items])

    def _on_retirement(self, event: ObjectEvent) -> None:
        wish = read_retirement(event.object)
        if event.is_gone:
            self._node.remove_retirement(wish.name)
        else:
            self._node.put_retirement(wish)
