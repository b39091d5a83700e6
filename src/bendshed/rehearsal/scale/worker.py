"""One process with several hollow nodes: the real control code over real sockets.

Engines and callers are hollow: no call is made and load reports come from memory. Everything
else (membership, groups on SQLite, configuration, machine list, reconciliation) is the product's.
The process prints one JSON line a second with its totals, and one for each event.
"""

import asyncio
import json
import os
import random
import sys
import time
from dataclasses import asdict, dataclass
from ipaddress import IPv4Address
from pathlib import Path

from bendshed.adapters.http import HttpClient
from bendshed.adapters.http_store import HttpMachineList, HttpObjectStore
from bendshed.adapters.tcp_transport import TcpTransport
from bendshed.configuration.document import ConfigurationDocument
from bendshed.consensus.sqlite_storage import SqliteLogStorage
from bendshed.node import Node, NodePorts
from bendshed.ports.clock import SystemClock
from bendshed.ports.engine import Engine, EngineRequest, EngineStream, LoadReport, NotSupported
from bendshed.settings.model import GroupsSection, NodeSection, PlatformSection, Settings
from bendshed.wire.peer_pb2 import MEMBER_STATUS_DEAD, Member

REPORT_S = 1.0
ZONES = 6
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True, slots=True)
class WorkerPlan:
    """What one worker runs.

    Attributes:
        first, count: numbers of its nodes.
        disk_every: each node whose number is a multiple of this has a data folder.

    """

    first: int
    count: int
    disk_every: int
    groups: int
    platform_url: str
    seeds: list[str]
    folder: str


@dataclass(slots=True)
class WorkerReport:
    """Totals of a worker since its start.

    Attributes:
        members_min: members that the node with the fewest sees as live.

    """

    at_s: float
    cpu_s: float
    rss_bytes: int
    bytes_total: int
    messages_total: int
    nodes: int
    members_min: int
    revision_min: int
    runners_min: int
    led_groups: int


class HollowEngine(Engine):
    """An engine that only reports an idle load."""

    async def generate(self, request: EngineRequest) -> EngineStream:
        """Nothing is generated in a scale run."""
        raise NotSupported("hollow")

    async def resume(self, attempt_id: str) -> EngineStream:
        """Nothing to resume."""
        raise NotSupported("hollow")

    async def cancel(self, attempt_id: str) -> None:
        """Nothing to cancel."""

    async def load(self) -> LoadReport:
        """Report an idle engine."""
        return LoadReport(running=0, waiting=0, kv_used_share=0.0, slots=8)

    async def held_programs(self) -> list[str]:
        """No cache is held."""
        return []

    async def release(self, program_id: str) -> None:
        """Nothing to release."""

    async def order(self, fence: int, order: str, argument: str) -> None:
        """Orders are accepted."""


def host_of(number: int) -> str:
    """Loopback address of a node."""
    return f"127.10.{number // 250}.{number % 250 + 1}"


def emit(kind: str, **fields: object) -> None:
    """Print one line for the controller."""
    sys.stdout.write(json.dumps({"kind": kind, "wall_s": time.time(), **fields}) + "\n")
    sys.stdout.flush()


async def run_worker(plan: WorkerPlan) -> None:
    """Run the nodes until standard input closes."""
    client = HttpClient()
    nodes: list[Node] = []
    transports: list[TcpTransport] = []
    for number in range(plan.first, plan.first + plan.count):
        transport = TcpTransport(host_of(number), 7000)
        node = await _start_node(plan, number, transport, client)
        nodes.append(node)
        transports.append(transport)
    emit("started", nodes=len(nodes))
    reporting = asyncio.create_task(_report_forever(nodes, transports))
    loop = asyncio.get_running_loop()
    await loop.run_in_executor(None, sys.stdin.read)
    reporting.cancel()
    os._exit(0)  # hollow nodes are not drained


async def _start_node(
    plan: WorkerPlan, number: int, transport: TcpTransport, client: HttpClient
) -> Node:
    address = await transport.start()
    zone = number % ZONES
    has_disk = number % plan.disk_every == 0
    folder = Path(plan.folder) / f"hollow-{number}" if has_disk else None
    clock = SystemClock()
    settings = Settings(
        node=NodeSection(
            name=f"hollow-{number}",
            zone=f"zone-{zone}",
            region=f"region-{zone % 2}",
            host=IPv4Address(address.host),
            seeds=plan.seeds,
        ),
        platform=PlatformSection(object_api=plan.platform_url, machine_list=plan.platform_url),
        groups=GroupsSection(count=plan.groups, bootstrap_disk_nodes=3),
    )
    ports = NodePorts(
        transport=transport,
        store=HttpObjectStore(client, plan.platform_url),
        machine_list=HttpMachineList(client, plan.platform_url),
        new_engine=lambda _machine: HollowEngine(),
        storage=SqliteLogStorage(folder) if folder is not None else None,
        cache=None,
        clock=clock,
        rng=random.Random(number),
        boot=clock.wall_ms(),
    )
    node = Node(settings, ports, address, 0)
    node.configuration.on_change.append(lambda _document: _on_change(node, _document))
    node.membership.on_member.append(_on_member)
    node.start()
    return node


def _on_change(node: Node, _document: ConfigurationDocument) -> None:
    emit("revision", revision=node.configuration.snapshot.revision)


def _on_member(member: Member) -> None:
    if member.status == MEMBER_STATUS_DEAD:
        emit("dead", name=member.name)


def resident_bytes() -> int:
    """Resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


async def _report_forever(nodes: list[Node], transports: list[TcpTransport]) -> None:
    while True:
        await asyncio.sleep(REPORT_S)
        report = WorkerReport(
            at_s=time.monotonic(),
            cpu_s=time.process_time(),
            rss_bytes=resident_bytes(),
            bytes_total=sum(t.bytes_sent + t.bytes_received for t in transports),
            messages_total=sum(t.messages_sent for t in transports),
            nodes=len(nodes),
            members_min=min(len(node.membership.view.live()) for node in nodes),
            revision_min=min(node.configuration.snapshot.revision for node in nodes),
            runners_min=min(len(node.table.runners) for node in nodes),
            led_groups=sum(len(n.host.led_groups()) for n in nodes if n.host is not None),
        )
        emit("report", **asdict(report))
