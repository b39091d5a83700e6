"""One node: all its parts wired together, over ports only.

The same class runs as a process, many to a process, and under virtual time.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from bendshed.configuration.document import ConfigurationDocument
from bendshed.configuration.service import ConfigurationCache, ConfigurationService
from bendshed.consensus.group_client import GroupClient
from bendshed.consensus.host import GroupHost
from bendshed.consensus.raft_types import Role, RoleChanged
from bendshed.consensus.replica_placement import ReplicaPlacement
from bendshed.dispatch.calls import CallRequest, LiveAnswer
from bendshed.dispatch.executor import Executor
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.membership.service import MembershipService
from bendshed.model.address import Address
from bendshed.ports.clock import Clock
from bendshed.ports.engine import Engine
from bendshed.ports.log_storage import LogStorage
from bendshed.ports.store import Machine, MachineList, ObjectStore
from bendshed.ports.transport import Transport
from bendshed.programs.service import ProgramService, Retention, TenantBudget
from bendshed.programs.shutdown_check import ShutdownCheck
from bendshed.programs.state import GroupStateMachine
from bendshed.routing.monitor import RunnerMonitor
from bendshed.routing.runners import RunnerTable
from bendshed.routing.scheduler import CacheAwarePolicy, Scheduler
from bendshed.settings.model import Settings
from bendshed.wire import peer_pb2 as wire

SPARED_FACTOR = 2.0
"""A planned stop waits this many times the replacement delay for a lost replica's successor."""
SPARED_CHECK_S = 0.25

log = PartLog("node")


@dataclass(frozen=True, slots=True)
class NodePorts:
    """Everything outside the node.

    Attributes:
        storage: ``None`` on a node without a data folder.
        boot: rises with each process of the node (wall clock in milliseconds at start).

    """

    transport: Transport
    store: ObjectStore
    machine_list: MachineList
    new_engine: Callable[[Machine], Engine]
    storage: LogStorage | None
    cache: ConfigurationCache | None
    clock: Clock
    rng: random.Random
    boot: int


class Node:
    """A node without its HTTP side.

    Attributes:
        draining: refuses new calls; set by ``drain``.

    """

    def __init__(self, settings: Settings, ports: NodePorts, address: Address, http_port: int):
        self.settings = settings
        self.ports = ports
        self.draining = False
        storage, rng = ports.storage, ports.rng
        node_id = storage.node_id() if storage is not None else f"{rng.getrandbits(64):016x}"
        self.node_id = node_id
        me = wire.Member(
            node_id=node_id,
            name=settings.node.name,
            zone=settings.node.zone,
            region=settings.node.region,
            host=address.host,
            peer_port=address.port,
            http_port=http_port,
            incarnation=ports.boot,
            boot=ports.boot,
            has_disk=storage is not None,
        )
        seeds = [parse_address(text) for text in settings.node.seeds]
        self.membership = MembershipService(me, ports.transport, rng, seeds)
        self.configuration = ConfigurationService(
            ports.store,
            ports.cache,
            self.membership,
            ports.transport,
            ports.clock,
            rng,
            settings.platform.store_readers_per_zone,
        )
        self.client = GroupClient(
            ports.transport,
            rng,
            settings.groups.count,
            self.membership.view.address,
            self._disk_nodes,
        )
        self.membership.on_leader.append(self._on_leader_hint)
        self.table = RunnerTable()
        self.scheduler = Scheduler(self.table, CacheAwarePolicy(rng))
        self._engines: dict[str, Engine] = {}
        self.monitor = RunnerMonitor(
            self.table,
            self.scheduler,
            ports.machine_list,
            self.engine_of,
            self.membership,
            ports.transport,
            self.client,
            lambda: self.configuration.is_reader,
            lambda: self.configuration.document.runner_orders,
            settings.routing,
            settings.platform.machine_list_interval_s,
            rng,
        )
        self.executor = Executor(
            f"{node_id}@{ports.boot}",
            self.client,
            self.scheduler,
            self.engine_of,
            self.monitor.confirm,
            self.monitor.note_engine_leaving,
            ports.transport,
            ports.clock,
            rng,
        )
        self.configuration.on_change.append(self._on_configuration)
        self.host: GroupHost | None = None
        self.programs: ProgramService | None = None
        self._placement: ReplicaPlacement | None = None
        self._shutdown_check: ShutdownCheck | None = None
        if storage is not None:
            self._add_groups(storage)

    def _add_groups(self, storage: LogStorage) -> None:
        ports, settings = self.ports, self.settings
        host = GroupHost(
            storage,
            ports.transport,
            ports.rng,
            settings.groups.tick_s,
            GroupStateMachine,
            self.membership.view.address,
        )
        host.on_role_changed = self._on_role_changed
        retention = Retention(
            int(settings.programs.idle_timeout_s * 1000), int(settings.programs.ended_kept_s * 1000)
        )
        self.host = host
        self.programs = ProgramService(
            host,
            ports.transport,
            self.client,
            ports.clock,
            self._budget_of,
            self._executor_address,
            retention,
        )
        self._placement = ReplicaPlacement(
            host, storage, ports.store, self.membership, settings.groups
        )
        self._shutdown_check = ShutdownCheck(
            host,
            self.programs,
            self.membership.view,
            ports.transport,
            settings.groups.replicas,
        )

    def start(self) -> None:
        """Start all parts."""
        if self.host is not None:
            self.host.start()
        self.membership.start()
        self.configuration.start()
        self.monitor.start()
        if self.programs is not None and self._placement is not None:
            self.programs.start()
            self._placement.start()
        log.say("started", node=self.node_id, zone=self.settings.node.zone)

    def submit(self, call: CallRequest) -> LiveAnswer | Refusal:
        """Take a call, or refuse it unrun while this node stops."""
        if self.draining:
            detail = "this node is stopping; the request was not run, send it to another node"
            return Refusal(ErrorKind.DRAINING, detail)
        return self.executor.submit(call)

    async def drain(self) -> None:
        """Take no new work, hand leadership over, and wait for every call under way."""
        self.draining = True
        log.say("drains", calls=len(self.executor.live))
        self.membership.leave()
        if self.host is not None:
            self.host.transfer_all_leadership()
        await self.executor.drain()
        await self._wait_until_spared()

    async def _wait_until_spared(self) -> None:
        """Wait, within limits, until no group needs this node any more."""
        if self._shutdown_check is None:
            return
        limit_s = SPARED_FACTOR * self.settings.groups.replace_after_s
        until_s = asyncio.get_running_loop().time() + limit_s
        while needed := await self._shutdown_check.groups_needing_this_node():
            if asyncio.get_running_loop().time() >= until_s:
                log.say("stopping although groups need this node", groups=needed)
                return
            await asyncio.sleep(SPARED_CHECK_S)

    async def stop(self) -> None:
        """Stop all parts."""
        for part in (self._placement, self.programs, self.host):
            if part is not None:
                await part.stop()
        await self.monitor.stop()
        await self.configuration.stop()
        await self.membership.stop()
        await self.ports.transport.close()
        log.say("stopped", node=self.node_id)

    # --- wiring --------------------------------------------------------------------------

    def engine_of(self, runner_id: str) -> Engine | None:
        """Engine adapter of a runner; ``None``: the runner is unknown here."""
        runner = self.table.runners.get(runner_id)
        if runner is None:
            return None
        url = runner.machine.url
        if url not in self._engines:
            self._engines[url] = self.ports.new_engine(runner.machine)
        return self._engines[url]

    def _disk_nodes(self) -> list[str]:
        return [m.node_id for m in self.membership.view.live() if m.has_disk]

    def _on_leader_hint(self, hint: wire.LeaderHint) -> None:
        self.client.leaders[hint.group_id] = hint.node_id

    def _on_role_changed(self, group_id: int, change: RoleChanged) -> None:
        if change.role is Role.LEADER:
            hint = wire.LeaderHint(group_id=group_id, term=change.term, node_id=self.node_id)
            self.membership.broadcast_leader_hint(hint)

    def _on_configuration(self, document: ConfigurationDocument) -> None:
        self.table.set_drained(frozenset(document.drained_runners))

    def _budget_of(self, tenant: str) -> TenantBudget:
        snapshot = self.configuration.snapshot
        known = snapshot.document.tenants.get(tenant)
        return TenantBudget(known.budget_tokens if known is not None else 0, snapshot.revision)

    def _executor_address(self, identity: str) -> Address | None:
        """Address of an executor's process; ``None`` when that process is gone."""
        node_id, _, boot = identity.partition("@")
        member = self.membership.view.members.get(node_id)
        if member is None or str(member.boot) != boot:
            return None
        return self.membership.view.address(node_id)


def parse_address(text: str) -> Address:
    """Read ``host:port``; an IPv6 number stands in brackets."""
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))
