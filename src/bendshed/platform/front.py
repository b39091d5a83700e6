"""The ``node`` role on this platform: clients in front, runners behind, the turn log beside."""

import asyncio
import contextlib
import random

from prometheus_client import CollectorRegistry

from bendshed.adapters.asgi import Receive, Scope, Send, send_text, serve_lifespan
from bendshed.adapters.connection_pool import ConnectionPool
from bendshed.adapters.http_server import make_server
from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.catalog.reading import RegistryReading
from bendshed.catalog.watcher import MAX_RETRY_GROWTH, KindHandler, KindWatcher
from bendshed.catalog.zones import make_registry_update
from bendshed.gateway.forwarding import ForwardingApplication
from bendshed.logs import PartLog
from bendshed.model.service_document import ServiceDocument
from bendshed.platform import names
from bendshed.platform.caller_protocol import PlatformCallerProtocol
from bendshed.platform.listeners import Listeners
from bendshed.platform.objects import ObjectApi
from bendshed.platform.runner_protocol import PlatformRunnerProtocol
from bendshed.platform.settings import SiteSettings, read_address
from bendshed.platform.translate import read_document, read_replica, read_runner
from bendshed.ports.objects import ObjectEvent, ObjectList, StoredObject
from bendshed.ports.store import StoreUnavailable
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.node import NodeLocation, ServiceNode
from bendshed.tasks import start_loop

RUNNER_CONNECT_TIMEOUT_S = 0.6
NOTICE_SHARE = 0.6
"""A dead way to the store is noticed within this share of the time that a node has, after the way
is back, until it must act on what the store says."""
PACE_SHARE = 0.15
"""Changes of this share of the time in which they must be applied cost one call together."""
NOTICE_S = 2.6
"""The platform sends no new clients after two of its questions, a second apart, went unanswered."""
STOP_MARGIN_S = 0.8
IDLE_MARGIN_S = 5
READY_STATUS, NOT_READY_STATUS = 200, 503

log = PartLog("front")


class FrontProcess:
    """Shells around a ``ServiceNode``."""

    def __init__(
        self, settings: SiteSettings, listeners: Listeners, registry: CollectorRegistry
    ) -> None:
        self._settings = settings
        self._listeners = listeners
        self._rng = random.Random()
        self._transport = TcpTransport(settings.ip, settings.peer_address.port)
        self._api = ObjectApi(read_address(settings.platform.addr))
        self._connections = ConnectionPool(RUNNER_CONNECT_TIMEOUT_S)
        times = settings.catalog_times
        self._settle_s = times.max_age_s
        self._node = ServiceNode(
            self._transport,
            self._connections,
            PlatformRunnerProtocol(),
            NodeLocation(settings.zone, settings.peer_address, settings.places),
            times,
            self._rng,
            self._make_metrics(registry),
            settings.policy,
            settings.turn_groups,
        )
        for traffic in (self._transport.traffic, self._connections.traffic):
            traffic.distance = self._node.host_locations.distance
            traffic.add_to(registry)
        self._node.on_document = self._apply_limits
        self._forwarding = ForwardingApplication(
            self._node.forwarder, PlatformCallerProtocol(), lambda: self._node.is_isolated
        )
        self._server = make_server(self._application)
        self._runners = self._watcher(
            names.RUNNER_KIND,
            KindHandler(self._list_runners, self._on_runner, self._node.catalog.note_registry_read),
            self._short_watch_s(),
        )
        long_watch_s = times.idle_wait_s
        self._others = [
            self._watcher(
                names.CONFIGURATION_KIND,
                KindHandler.of_items(self._take_configuration),
                long_watch_s,
            ),
            self._watcher(
                names.REPLICA_KIND,
                KindHandler.of_items(self._take_replica),
                long_watch_s,
            ),
        ]
        if times.follows_zones:
            handler = KindHandler.of_names(self._take_zones)
            zones = self._watcher(names.ZONE_CLOSURE_KIND, handler, times.zones_wait_s)
            zones.is_first_watch_short = True
            self._others.append(zones)
        self._reading = RegistryReading(self._node.catalog, self._runners, self._others)
        self._node.forwarder.is_current = self._is_current

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until ``stopping`` is set, then drain."""
        await self._transport.start()
        watchers = [self._runners, *self._others]
        following = [start_loop(watcher.run(), "platform") for watcher in watchers]
        following.append(start_loop(self._node.watch_turn_log(), "turns"))
        following.append(start_loop(self._node.catalog.run(), "catalog"))
        following.append(start_loop(self._node.quotas.report_until_cancelled(), "quota"))
        waiting = self._reading.wait_for_update(self._look_for_replicas, self._settle_s)
        following.append(start_loop(waiting, "registry"))
        sockets = list(self._listeners.sockets)
        serving = asyncio.get_running_loop().create_task(self._server.serve(sockets=sockets))
        log.say("started", name=self._settings.nodeName, zone=self._settings.zone)
        await stopping.wait()
        await self._drain(serving)
        for task in following:
            task.cancel()
        await asyncio.gather(*following, return_exceptions=True)
        self._node.close()
        await self._transport.close()
        log.say("stopped", open=self._node.forwarder.num_open)

    def _make_metrics(self, registry: CollectorRegistry) -> ServiceMetrics:
        metrics = ServiceMetrics(registry)
        calls = metrics.gauge("bendshed_store_calls", "Calls to the platform's store since start")
        calls.set_function(lambda: self._api.num_calls)
        opened = metrics.gauge("bendshed_runner_connections_opened", "Connections since start")
        opened.set_function(lambda: self._connections.num_opened)
        return metrics

    async def _drain(self, serving: "asyncio.Task[None]") -> None:
        """Not ready at once; serve what comes until the platform has noticed; finish the rest."""
        until_s = asyncio.get_running_loop().time() + self._settings.bounds.graceS - STOP_MARGIN_S
        self._node.start_drain()
        self._forwarding.is_closing = True
        await asyncio.sleep(NOTICE_S)
        self._server.should_exit = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await asyncio.shield(serving)
                await self._node.finish_background_work()

    # --- pages ---------------------------------------------------------------------------

    async def _application(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Clients' port to the forwarder; the rest is a question for readiness."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["server"][1] == self._listeners.front_port:
            await self._forwarding(scope, receive, send)
        else:
            is_ready = self._node.is_ready
            await send_text(send, READY_STATUS if is_ready else NOT_READY_STATUS, b"")

    def _is_current(self) -> bool:
        """Whether replica machines or the store itself keep this node's configuration current."""
        return self._node.catalog.is_fresh or not self._reading.is_lost

    def _apply_limits(self, document: ServiceDocument) -> None:
        idle_s = document.limits.idle_timeout_ms // 1000 + IDLE_MARGIN_S
        self._server.config.timeout_keep_alive = idle_s

    # --- changes read from the store -----------------------------------------------------

    def _short_watch_s(self) -> float:
        bounds = self._settings.bounds
        return NOTICE_SHARE * (bounds.contactMs + bounds.applyMs) / 1000

    def _watcher(self, kind: str, handler: KindHandler, wait_s: float) -> KindWatcher:
        pace_s = PACE_SHARE * self._settings.apply_s
        return KindWatcher(self._api, kind, handler, wait_s, self._rng, pace_s, MAX_RETRY_GROWTH)

    async def _look_for_replicas(self) -> bool:
        """Read the list of replica machines; a list that is seconds old suffices."""
        try:
            listed = await self._api.list(names.REPLICA_KIND, may_be_stale=True)
        except StoreUnavailable as error:
            log.say("replica machines unknown: registry unavailable", reason=str(error))
            return False
        for item in listed.items:
            self._take_replica(item)
        return bool(self._node.directory.by_name)

    def _list_runners(self, listed: ObjectList) -> None:
        runners = [read_runner(item) for item in listed.items]
        self._node.replace_runners(runners, is_trusted=not self._runners.failed_recently)

    def _on_runner(self, event: ObjectEvent) -> None:
        if event.is_deleted:
            trusted = not self._runners.failed_recently
            self._node.remove_runner(event.object.name, trusted)
        else:
            self._node.put_runner(read_runner(event.object))

    def _take_configuration(self, item: StoredObject) -> None:
        if item.name == names.CONFIGURATION_NAME:
            self._node.apply_document(read_document(item.spec))

    def _take_zones(self, names: frozenset[str], at: int, gone: frozenset[str]) -> None:
        self._node.apply_zones(make_registry_update(names, at, gone))
        self._node.zones.confirm(0.0)

    def _take_replica(self, item: StoredObject) -> None:
        self._node.directory.put(read_replica(item))
