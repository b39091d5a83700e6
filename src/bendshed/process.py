"""Runs one node as a process: HTTP server, signals, orderly stop."""

import asyncio
import random
import signal
import sys
from typing import Any

import orjson

from bendshed.adapters.connection_pool import ConnectionPool
from bendshed.adapters.http import HttpClient
from bendshed.adapters.http_server import HttpServer, make_server
from bendshed.adapters.http_store import HttpMachineList, HttpObjectStore
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
LEAVING_SPREAD_S = 0.5
"""Time for the others to hear that this node leaves, before it closes."""

log = PartLog("process")


class NodeFailed(Exception):
    """A part of the node failed; the process ends so that it is restarted."""


def open_storage(settings: Settings) -> LogStorage | None:
    """Open the data folder's log, if the node has one."""
    folder = settings.node.data_folder
    return open_or_replace(folder) if folder is not None else None


async def run_node(settings: Settings) -> None:
    """Run until SIGTERM or SIGINT, then drain and return."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    failed: list[str] = []

    def on_failure(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        log.say("an error reached the loop", context=repr(context))
        if "task" in context and isinstance(context.get("exception"), Exception):
            failed.append(str(context["message"]))
            stopping.set()

    loop.set_exception_handler(on_failure)
    host = str(settings.node.host)
    transport = TcpTransport(host, settings.node.peer_port)
    address = await transport.start()
    client = HttpClient()
    clock = SystemClock()
    folder = settings.node.data_folder
    ports = NodePorts(
        transport=transport,
        store=HttpObjectStore(client, settings.platform.object_api),
        machine_list=HttpMachineList(client, settings.platform.machine_list),
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
    me = node.membership.swim.local_member
    announce(node_id=node.node_id, peer_port=me.peer_port, http_port=me.http_port)
    await stopping.wait()
    await _stop(settings, node, server, serving)
    services.close()
    await client.close()
    if failed:
        raise NodeFailed("; ".join(failed))


async def _stop(
    settings: Settings, node: Node, server: HttpServer, serving: "asyncio.Task[None]"
) -> None:
    """Finish every stream, then close. A second signal changes nothing."""
    try:
        async with asyncio.timeout(settings.node.drain_timeout_s):
            await node.drain()
            await asyncio.sleep(LEAVING_SPREAD_S)
            server.should_exit = True
            await serving
    except TimeoutError:
        log.say("drain timed out: streams cut")
    await node.stop()


def announce(**fields: object) -> None:
    """Print one JSON line on standard output: the addresses in use, for the parent process."""
    sys.stdout.write(orjson.dumps(fields).decode() + "\n")
    sys.stdout.flush()
