"""The ``node`` role on this platform: forwards clients' requests to runners, using the turn log."""

import asyncio
import contextlib
import random

from prometheus_client import CollectorRegistry

from bendshed.adapters.asgi import Receive, Scope, Send, send_text, serve_lifespan
from bendshed.adapters.connection_pool import ConnectionPool
from bendshed.adapters.http_server import make_server
from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.gateway.forwarding import ForwardingApplication
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.service_document import ServiceDocument
from bendshed.platform.caller_protocol import PlatformCallerProtocol
from bendshed.platform.listeners import Listeners
from bendshed.platform.objects import ObjectApi
from bendshed.platform.runner_protocol import PlatformRunnerProtocol
from bendshed.platform.settings import SiteSettings
from bendshed.platform.translate import REGISTRY_FORMAT
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.node import NodeLocation, ServiceNode
from bendshed.services.registry_watches import FrontWatches
from bendshed.tasks import start_loop

RUNNER_CONNECT_TIMEOUT_S = 0.6
READINESS_DETECTION_S = 2.6
"""Drain delay: the platform stops sending clients after two failed readiness checks, 1 s apart."""
STOP_MARGIN_S = 0.8
IDLE_TIMEOUT_MARGIN_S = 5
READY_STATUS, NOT_READY_STATUS = 200, 503

log = PartLog("front")


class FrontProcess:
    """Connects a ``ServiceNode`` to sockets, the metadata store and runners."""

    def __init__(
        self, settings: SiteSettings, listeners: Listeners, registry: CollectorRegistry
    ) -> None:
        self._settings = settings
        self._listeners = listeners
        self._rng = random.Random()
        self._transport = TcpTransport(settings.ip, settings.peer_address.port)
        self._api = ObjectApi(Address.parse(settings.platform.addr))
        self._connections = ConnectionPool(RUNNER_CONNECT_TIMEOUT_S)
        times = settings.catalog_times
        metrics = self._make_metrics(registry)
        self._node = ServiceNode(
            self._transport,
            self._connections,
            PlatformRunnerProtocol(),
            NodeLocation(settings.zone, settings.peer_address, settings.places),
            times,
            self._rng,
            metrics,
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
        self._watches = FrontWatches(
            self._api,
            REGISTRY_FORMAT,
            self._node,
            times,
            self._rng,
        )
        self._watches.add_gauges(metrics)

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until ``stopping`` is set, then drain."""
        await self._transport.start()
        tasks = self._watches.start()
        tasks.append(start_loop(self._node.watch_turn_log(), "turns"))
        tasks.append(start_loop(self._node.catalog.run(), "catalog"))
        tasks.append(start_loop(self._node.quotas.report_until_cancelled(), "quota"))
        sockets = list(self._listeners.sockets)
        server_task = asyncio.get_running_loop().create_task(self._server.serve(sockets=sockets))
        log.say("started", name=self._settings.nodeName, zone=self._settings.zone)
        await stopping.wait()
        await self._drain(server_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._node.close()
        await self._transport.close()
        log.say("stopped", open=self._node.forwarder.num_open)

    def _make_metrics(self, registry: CollectorRegistry) -> ServiceMetrics:
        metrics = ServiceMetrics(registry)
        calls = metrics.gauge("bendshed_store_calls", "Calls to the platform's store since start")
        calls.set_function(lambda: self._api.num_calls)
        connections = metrics.gauge("bendshed_runner_connections_opened", "Connections since start")
        connections.set_function(lambda: self._connections.num_opened)
        return metrics

    async def _drain(self, server_task: "asyncio.Task[None]") -> None:
        """Report not ready, serve until the platform sends no new clients, finish open requests."""
        end_s = asyncio.get_running_loop().time() + self._settings.bounds.graceS - STOP_MARGIN_S
        self._node.start_drain()
        self._forwarding.is_draining = True
        await asyncio.sleep(READINESS_DETECTION_S)
        self._server.should_exit = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end_s):
                await asyncio.shield(server_task)
                await self._node.finish_background_work()

    # --- HTTP ----------------------------------------------------------------------------

    async def _application(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Forward requests on the clients' port; answer all others as readiness checks."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["server"][1] == self._listeners.front_port:
            await self._forwarding(scope, receive, send)
        else:
            is_ready = self._node.is_ready
            await send_text(send, READY_STATUS if is_ready else NOT_READY_STATUS, b"")

    def _apply_limits(self, document: ServiceDocument) -> None:
        idle_s = document.limits.idle_timeout_ms // 1000 + IDLE_TIMEOUT_MARGIN_S
        self._server.config.timeout_keep_alive = idle_s
