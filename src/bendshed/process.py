"""Runs one node as a process: HTTP server, signals, graceful shutdown."""

import asyncio
import random
import signal
import sys
from typing import Any

import orjson

from bendshed.adapters.connection_pool import ConnectionPool
from bendshed.adapters.http import HttpClient
from bendshed.adapters.http_server import HttpServer, make_server
from bendshed.adapters.http_store import MAX_IDLE_S, HttpMachineList, HttpObjectStore
from bendshed.adapters.openai_engine import OpenAiEngine
from bendshed.adapters.sockets import bind
from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.configuration.file_cache import FileConfigurationCache
from bendshed.consensus.sqlite_storage import open_or_replace
from bendshed.gateway.application import Gateway
from bendshed.gateway.services import DeclaredServices
from bendshed.logs import PartLog
from bendshed.node import Node, NodePorts
from bendshed.operators.answers import OperatorService
from bendshed.ports.clock import SystemClock
from bendshed.ports.log_storage import LogStorage
from bendshed.settings.model import Settings

RUNNER_CONNECT_TIMEOUT_S = 2.0
LEAVE_PROPAGATION_S = 0.5
"""Delay before closing, in which the other nodes learn that this node is leaving."""

log = PartLog("process")


class NodeFailed(Exception):
    """A component of the node failed; the process exits so that it is restarted."""


def open_storage(settings: Settings) -> LogStorage | None:
    """Open the log in the data folder, if the node has one."""
    folder = settings.node.data_folder
    return open_or_replace(folder) if folder is not None else None


async def run_node(settings: Settings) -> None:
    """Run until SIGTERM or SIGINT, then drain and return."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    failed: list[str] = []

    def on_failure(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        log.say("unhandled error in the event loop", context=repr(context))
        if "task" in context and isinstance(context.get("exception"), Exception):
            failed.append(str(context["message"]))
            stopping.set()

    loop.set_exception_handler(on_failure)
    host = str(settings.node.host)
    transport = TcpTransport(host, settings.node.peer_port)
    address = await transport.start()
    client, store_client = HttpClient(), HttpClient(MAX_IDLE_S)
    clock = SystemClock()
    folder = settings.node.data_folder
    ports = NodePorts(
        transport=transport,
        store=HttpObjectStore(store_client, settings.platform.object_api),
        machine_list=HttpMachineList(store_client, settings.platform.machine_list),
        new_engine=lambda machine: OpenAiEngine(client, machine.url),
        storage=open_storage(settings),
        cache=FileConfigurationCache(folder) if folder is not None else None,
        clock=clock,
        rng=random.Random(),
        boot=clock.wall_ms(),
    )
    listener_port = settings.node.http_port
    listener = bind(host, listener_port)
    server = make_server(None)
    node = Node(settings, ports, address, listener.getsockname()[1])
    gateway = Gateway(node, OperatorService(node))
    services = DeclaredServices(
        node,
        ConnectionPool(RUNNER_CONNECT_TIMEOUT_S),
        gateway.application,
        gateway.metrics.registry,
    )
    server.config.app = services
    node.start()
    serving = loop.create_task(server.serve(sockets=[listener]))
    own_member = node.membership.swim.local_member
    print_addresses(
        node_id=node.node_id, peer_port=own_member.peer_port, http_port=own_member.http_port
    )
    await stopping.wait()
    await _stop(settings, node, server, serving)
    services.close()
    await client.close()
    await store_client.close()
    if failed:
        raise NodeFailed("; ".join(failed))


async def _stop(
    settings: Settings, node: Node, server: HttpServer, serving: "asyncio.Task[None]"
) -> None:
    """Finish all streams, then close. A second signal has no effect."""
    try:
        async with asyncio.timeout(settings.node.drain_timeout_s):
            await node.drain()
            await asyncio.sleep(LEAVE_PROPAGATION_S)
            server.should_exit = True
            await serving
    except TimeoutError:
        log.say("drain timed out: open streams closed")
    await node.stop()


def print_addresses(**fields: object) -> None:
    """Print the addresses in use as one JSON line on standard output, for the parent process."""
    sys.stdout.write(orjson.dumps(fields).decode() + "\n")
    sys.stdout.flush()
