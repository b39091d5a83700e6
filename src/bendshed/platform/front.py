"""The ``node`` role on this platform: clients in front, runners behind, the turn log beside."""

import asyncio
import contextlib
import random
from typing import Any

from blacksheep import Application, Response, text

from bendshed.adapters.connection_pool import ConnectionPool
from bendshed.adapters.http_server import bind, make_server
from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.logs import PartLog
from bendshed.platform import names
from bendshed.platform.ingress import Ingress, Receive, Scope, Send
from bendshed.platform.objects import ObjectApi, ObjectEvent, PlatformObject
from bendshed.platform.runner_protocol import PlatformRunnerProtocol
from bendshed.platform.settings import SiteSettings, read_address
from bendshed.platform.translate import read_document, read_replica, read_runner
from bendshed.platform.watcher import KindHandler, KindWatcher
from bendshed.programs.client import GroupClient
from bendshed.services.attempts import RunnerPorts
from bendshed.services.forwarder import Forwarder
from bendshed.services.routing import RouteIndex
from bendshed.services.runners import RunnerTable
from bendshed.services.turn_exchange import TurnPorts
from bendshed.tasks import start_loop
from bendshed.turns.client import TranscriptCache, TurnClient

RUNNER_CONNECT_TIMEOUT_S = 0.6
TRANSCRIPT_BYTES = 16 * 1024 * 1024
SHORT_WATCH_S = 2.0
"""Also the time after which a dead way to the store is noticed."""
LONG_WATCH_S = 20.0
NOTICE_S = 2.6
"""The platform sends no new clients after two of its questions, a second apart, went unanswered."""
STOP_MARGIN_S = 0.8
IDLE_MARGIN_S = 5
NO_SUBSCRIPTION = "no runner is listed"

log = PartLog("front")


class FrontNode:
    """All parts of one ``node`` process."""

    def __init__(self, settings: SiteSettings) -> None:
        self._settings = settings
        self._rng = random.Random()
        self._transport = TcpTransport(str(settings.ip), settings.peer_address.port)
        self._api = ObjectApi(read_address(settings.platform.addr))
        self._directory = ReplicaDirectory()
        self._table = RunnerTable()
        self._pool = ConnectionPool(RUNNER_CONNECT_TIMEOUT_S)
        groups = GroupClient(
            self._transport, self._rng, 1, self._directory.resolve, self._directory.node_ids
        )
        self._turns = TurnPorts(
            TurnClient(self._transport, self._rng, groups), TranscriptCache(TRANSCRIPT_BYTES)
        )
        runners = RunnerPorts(
            self._table, self._pool, PlatformRunnerProtocol(), settings.zone, self._rng
        )
        self._forwarder = Forwarder(runners, self._turns)
        self._ingress = Ingress(self._forwarder)
        self._pages = self._make_pages()
        self._server = make_server(self._application)
        self._watchers = self._make_watchers()
        self._is_draining = False
        self._front_port = 0

    # --- life ----------------------------------------------------------------------------

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until told to stop, then drain."""
        await self._transport.start()
        sockets = [self._bind(text) for text in self._listen_addresses()]
        following = [start_loop(watcher.run(), "platform") for watcher in self._watchers]
        serving = asyncio.get_running_loop().create_task(self._server.serve(sockets=sockets))
        log.say("started", name=self._settings.nodeName, zone=self._settings.zone)
        await stopping.wait()
        await self._drain(serving)
        for task in following:
            task.cancel()
        await asyncio.gather(*following, return_exceptions=True)
        await self._transport.close()
        log.say("stopped", open=self._forwarder.num_open)

    def _listen_addresses(self) -> list[str]:
        listen = self._settings.listen
        if listen.front is not None:
            self._front_port = read_address(listen.front).port
        return [text for text in (listen.front, listen.ready) if text is not None]

    @staticmethod
    def _bind(address: str) -> Any:
        where = read_address(address)
        return bind(where.host, where.port)

    async def _drain(self, serving: "asyncio.Task[None]") -> None:
        """Not ready at once; serve what comes until the platform has noticed; finish the rest."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._settings.bounds.graceS - STOP_MARGIN_S
        self._is_draining = True
        self._ingress.is_closing = True
        log.say("drains", open=self._forwarder.num_open)
        await asyncio.sleep(NOTICE_S)
        self._server.should_exit = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await asyncio.shield(serving)
                await asyncio.gather(*self._turns.late, return_exceptions=True)

    # --- pages ---------------------------------------------------------------------------

    async def _application(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Clients' port to the forwarder; the rest to our own pages."""
        if scope["type"] == "http" and scope["server"][1] == self._front_port:
            await self._ingress(scope, receive, send)
        else:
            await self._pages(scope, receive, send)

    def _make_pages(self) -> Application:
        pages = Application()

        async def ready() -> Response:
            response: Response = text("ready" if self._is_ready else "not ready")
            response.status = 200 if self._is_ready else 503
            return response

        pages.router.add_get("/ready", ready)
        return pages

    @property
    def _is_ready(self) -> bool:
        return not self._is_draining and self._forwarder.index is not None

    # --- what the store tells ------------------------------------------------------------

    def _make_watchers(self) -> list[KindWatcher]:
        handlers = {
            names.RUNNER_KIND: (KindHandler(self._list_runners, self._on_runner), SHORT_WATCH_S),
            names.CONFIGURATION_KIND: (
                KindHandler(self._list_configuration, self._on_configuration),
                LONG_WATCH_S,
            ),
            names.REPLICA_KIND: (KindHandler(self._list_replicas, self._on_replica), LONG_WATCH_S),
        }
        watchers = [
            KindWatcher(self._api, kind, handler, wait_s, self._rng)
            for kind, (handler, wait_s) in handlers.items()
        ]
        self._runner_watcher, *others = watchers

        def restart_others() -> None:
            for watcher in others:
                watcher.restart()

        self._runner_watcher.on_trouble = restart_others
        return watchers

    def _list_runners(self, items: list[PlatformObject]) -> None:
        listed = {item.name for item in items}
        for runner_id in [name for name in self._table.by_id if name not in listed]:
            self._remove_runner(runner_id)
        for item in items:
            self._table.put(read_runner(item))

    def _on_runner(self, event: ObjectEvent) -> None:
        if event.is_gone:
            self._remove_runner(event.object.name)
        else:
            self._table.put(read_runner(event.object))

    def _remove_runner(self, runner_id: str) -> None:
        record = self._table.by_id.get(runner_id)
        now_s = asyncio.get_running_loop().time()
        trusted = not self._runner_watcher.is_in_doubt
        self._table.remove(runner_id, now_s, trusted)
        if record is not None and trusted:
            self._pool.forget(record.listed.address)

    def _list_configuration(self, items: list[PlatformObject]) -> None:
        for item in items:
            self._take_configuration(item)

    def _on_configuration(self, event: ObjectEvent) -> None:
        if not event.is_gone:
            self._take_configuration(event.object)

    def _take_configuration(self, item: PlatformObject) -> None:
        """Put a newer configuration in force; an older one changes nothing."""
        if item.name != names.CONFIGURATION_NAME:
            return
        document = read_document(item.spec)
        index = self._forwarder.index
        before = index.document.version if index is not None else 0
        if index is not None and document.version <= before:
            return
        self._forwarder.index = RouteIndex(document)
        idle_s = document.limits.idle_timeout_ms // 1000 + IDLE_MARGIN_S
        self._server.config.timeout_keep_alive = idle_s
        log.say(
            "puts a configuration in force",
            version=document.version,
            before=before,
            routes=len(document.routes),
        )

    def _list_replicas(self, items: list[PlatformObject]) -> None:
        for item in items:
            self._directory.put(read_replica(item))

    def _on_replica(self, event: ObjectEvent) -> None:
        if not event.is_gone:
            self._directory.put(read_replica(event.object))
