"""The ``store`` role on this platform: replicas of the turn log on the machine's disk."""

import asyncio
import random
from pathlib import Path

from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.consensus.directory import ReplicaDirectory, load_directory, save_directory
from bendshed.consensus.host import GroupHost
from bendshed.consensus.sqlite_storage import SqliteLogStorage, open_or_replace
from bendshed.consensus.supervisor import ReplicaSupervisor
from bendshed.logs import PartLog
from bendshed.platform import names
from bendshed.platform.objects import ObjectApi, ObjectEvent, PlatformObject
from bendshed.platform.registry import PlatformReplicaRegistry
from bendshed.platform.settings import SiteSettings, read_address
from bendshed.platform.translate import read_replica, read_retirement
from bendshed.platform.watcher import KindHandler, KindWatcher
from bendshed.ports.registry import ReplicaNode
from bendshed.tasks import start_loop
from bendshed.turns.service import TurnService
from bendshed.turns.state import TurnLogState

TICK_S = 0.025
"""Heartbeats every 3 ticks, elections after 10 to 20."""
COMPACT_AFTER_ENTRIES = 20_000
WATCH_S = 8.0
HAND_OVER_S = 1.0
HAND_OVER_CHECK_S = 0.02

log = PartLog("store")


class ReplicaProcess:
    """All parts of one ``store`` process."""

    def __init__(self, settings: SiteSettings, data_folder: Path) -> None:
        self._settings = settings
        self._folder = data_folder
        self._rng = random.Random()
        self._transport = TcpTransport(str(settings.ip), settings.peer_address.port)
        self._api = ObjectApi(read_address(settings.platform.addr))
        self._directory = ReplicaDirectory()
        self._storage: SqliteLogStorage = open_or_replace(data_folder)
        self._host = GroupHost(
            self._storage,
            self._transport,
            self._rng,
            TICK_S,
            TurnLogState,
            self._directory.resolve,
            COMPACT_AFTER_ENTRIES,
        )
        me = ReplicaNode(
            settings.nodeName, self._storage.node_id(), settings.peer_address, settings.zone
        )
        self._supervisor = ReplicaSupervisor(
            self._host,
            self._storage,
            self._transport,
            PlatformReplicaRegistry(self._api),
            self._directory,
            me,
            TICK_S,
            2 * settings.faultTolerance.machines + 1,
        )
        self._service = TurnService(self._host, self._transport)

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until told to stop, then hand leadership over."""
        load_directory(self._folder, self._directory)
        await self._transport.start()
        self._host.start()
        self._supervisor.start()
        self._service.start()
        self._directory.on_change.append(self._keep_directory)
        self._keep_directory()
        following = [start_loop(watcher.run(), "platform") for watcher in self._make_watchers()]
        log.say("started", name=self._settings.nodeName, node=self._host.node_id)
        await stopping.wait()
        await self._hand_over()
        for task in following:
            task.cancel()
        await asyncio.gather(*following, return_exceptions=True)
        await self._supervisor.stop()
        await self._host.stop()
        await self._transport.close()
        self._storage.close()
        log.say("stopped")

    async def _hand_over(self) -> None:
        """Let another replica lead before this one ends."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + HAND_OVER_S
        while self._host.led_groups() and loop.time() < until_s:
            self._host.hand_over()
            await asyncio.sleep(HAND_OVER_CHECK_S)

    def _keep_directory(self) -> None:
        save_directory(self._folder, self._directory)

    # --- what the store tells ------------------------------------------------------------

    def _make_watchers(self) -> list[KindWatcher]:
        replicas = KindHandler(self._list_replicas, self._on_replica)
        retirements = KindHandler(self._list_retirements, self._on_retirement)
        return [
            KindWatcher(self._api, names.REPLICA_KIND, replicas, WATCH_S, self._rng),
            KindWatcher(self._api, names.RETIREMENT_KIND, retirements, WATCH_S, self._rng),
        ]

    def _list_replicas(self, items: list[PlatformObject]) -> None:
        for item in items:
            self._directory.put(read_replica(item))

    def _on_replica(self, event: ObjectEvent) -> None:
        if not event.is_gone:
            self._directory.put(read_replica(event.object))

    def _list_retirements(self, items: list[PlatformObject]) -> None:
        wanted = [read_retirement(item).name for item in items]
        self._directory.retiring.clear()
        self._directory.retiring.update(wanted)

    def _on_retirement(self, event: ObjectEvent) -> None:
        wish = read_retirement(event.object)
        if event.is_gone:
            self._directory.retiring.discard(wish.name)
        elif wish.name not in self._directory.retiring:
            self._directory.retiring.add(wish.name)
            log.say("an operator wants a machine emptied", name=wish.name)
