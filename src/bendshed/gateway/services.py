"""Forwards requests on declared routes to the service machines of the machine list."""

from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

from prometheus_client import CollectorRegistry

from bendshed.adapters.asgi import Receive, Scope, Send
from bendshed.configuration.document import ConfigurationDocument
from bendshed.configuration.services import ServiceDeclaration, to_service_document
from bendshed.gateway.forwarding import ForwardingApplication
from bendshed.gateway.service_protocol import ServiceCallerProtocol, ServiceRunnerProtocol
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.route_index import RouteIndex
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.node import Node
from bendshed.ports.runner_connections import RunnerConnections
from bendshed.ports.store import Machine
from bendshed.services.attempts import RunnerPorts
from bendshed.services.forwarder import Forwarder
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.runners import RunnerTable

SERVICE_MACHINE_KIND = "service"
"""Machines of this kind run the service named in their field ``model``."""
DEFAULT_HTTP_PORT = 80

log = PartLog("services")

Application = Callable[[Scope, Receive, Send], Awaitable[None]]


class DeclaredServices:
    """Forwards requests on declared routes; all others go to the fallback application.

    Attributes:
        table: runners of declared services, from the machine list.
        forwarder: forwards requests to runners.

    """

    def __init__(
        self,
        node: Node,
        connections: RunnerConnections,
        fallback: Application,
        registry: CollectorRegistry,
    ) -> None:
        self.table = RunnerTable()
        self._node = node
        self._connections = connections
        self._fallback = fallback
        ports = RunnerPorts(
            self.table,
            connections,
            ServiceRunnerProtocol(),
            node.settings.node.zone,
            node.node_id,
            node.ports.rng,
            ServiceMetrics(registry),
        )
        self.forwarder = Forwarder(ports)
        callers = ServiceCallerProtocol(lambda: node.configuration.document, node.ports.rng)
        self._forwarding = ForwardingApplication(self.forwarder, callers)
        node.configuration.on_change.append(self._on_configuration)
        node.monitor.on_machine_list.append(self._on_machines)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one request or the server's lifespan events."""
        if scope["type"] == "http" and self._matches_route(scope):
            self._forwarding.is_draining = self._node.draining
            await self._forwarding(scope, receive, send)
        else:
            await self._fallback(scope, receive, send)

    def close(self) -> None:
        """Close idle connections to runners."""
        self._connections.close()

    def _matches_route(self, scope: Scope) -> bool:
        index = self.forwarder.index
        if index is None:
            return False
        host = next((value for name, value in scope["headers"] if name == b"host"), b"")
        path = scope["raw_path"].decode("latin-1")
        return index.match(host.decode("latin-1"), path) is not None

    def _on_configuration(self, document: ConfigurationDocument) -> None:
        revision = self._node.configuration.snapshot.revision
        forwarded = to_service_document(
            revision, document.services, document.routes, document.limits
        )
        self.forwarder.index = RouteIndex(forwarded)
        log.say("routes in force", revision=revision, routes=len(forwarded.routes))

    def _on_machines(self, machines: list[Machine]) -> None:
        """Replace the runners by the service machines of the complete machine list."""
        listed = [self._to_runner(m) for m in machines if m.kind == SERVICE_MACHINE_KIND]
        known = set(self.table.by_id)
        for runner_id in known - {runner.runner_id for runner in listed}:
            self._remove_runner(runner_id)
        for runner in listed:
            self.table.put(runner)

    def _to_runner(self, machine: Machine) -> ServiceRunner:
        declared = self._node.configuration.document.services.get(machine.model)
        slots = (declared or ServiceDeclaration()).slots
        url = urlsplit(machine.url)
        is_leaving = machine.leaving or machine.machine_id in self._node.table.drained
        return ServiceRunner(
            runner_id=machine.machine_id,
            service=machine.model,
            address=Address(url.hostname or "", url.port or DEFAULT_HTTP_PORT),
            zone=machine.zone,
            slots=slots,
            state=RunnerState.DRAINING if is_leaving else RunnerState.READY,
        )

    def _remove_runner(self, runner_id: str) -> None:
        address = self.table.by_id[runner_id].listed.address
        self.table.remove(runner_id, now_s=0.0, last_resort_s=0.0)
        self._connections.close_idle(address)
