"""One simulated installation: nodes, engines, platform, callers, and the faults done to them."""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from typing import Any

from bendshed.configuration.document import (
    AnyChange,
    DeclareProgram,
    ProgramDeclaration,
    PutTenant,
    SetBudget,
    Tenant,
)
from bendshed.configuration.service import Accepted
from bendshed.dispatch.calls import CallRequest
from bendshed.errors import Refusal
from bendshed.model.address import Address
from bendshed.node import Node, NodePorts
from bendshed.ports.engine import Engine
from bendshed.ports.store import Machine
from bendshed.rehearsal.engine_model import EngineParameters
from bendshed.rehearsal.search import Tally
from bendshed.rehearsal.simulator.callers import (
    CALLER_LATENCY_S,
    CALLER_TIMEOUT_S,
    Channel,
    PlannedCall,
    ProgramDriver,
    RequestRecord,
    serve_call,
)
from bendshed.rehearsal.simulator.engines import SimEngine, SimRunner
from bendshed.rehearsal.simulator.loop import SimProcess, VirtualTimeLoop
from bendshed.rehearsal.simulator.network import Network, SimTransport
from bendshed.rehearsal.simulator.oracle import Observations, Violation, check_all
from bendshed.rehearsal.simulator.platform import (
    SimClock,
    SimConfigurationCache,
    SimDisk,
    SimLogStorage,
    SimMachineList,
    SimStore,
)
from bendshed.rehearsal.simulator.timed_world import TimedWorld
from bendshed.settings.model import (
    GroupsSection,
    NodeSection,
    PlatformSection,
    ProgramsSection,
    Settings,
)
from bendshed.wire import programs_pb2 as wire

PEER_PORT = 7000
GROUP_COUNT = 2
START_LIMIT_S = 30.0
QUIET_S = 45.0
DRAIN_LIMIT_S = 300.0
PROGRAM_TOKENS = 4_000
TENANT, TENANT_TOKENS = "desk", 60_000
SLOW_ENGINE = EngineParameters(slots=4, step_base_s=0.05, answer_tokens=16)


@dataclass(slots=True)
class SimNode:
    """One node of the simulation over all its incarnations."""

    name: str
    zone: str
    host: str
    disk: SimDisk | None
    process: SimProcess
    clock: SimClock
    node: Node | None = None
    lives: int = 0

    @property
    def is_up(self) -> bool:
        """Whether a process of it runs, paused or not."""
        return self.node is not None and not self.process.dead


@dataclass(slots=True)
class World(TimedWorld):
    """The installation. Every method that takes time runs the virtual loop.

    Attributes:
        faults: how often each kind of fault was done.

    """

    seed: int
    loop: VirtualTimeLoop = field(default_factory=VirtualTimeLoop)
    rng: random.Random = field(init=False)
    network: Network = field(init=False)
    store: SimStore = field(init=False)
    machine_list: SimMachineList = field(init=False)
    nodes: dict[str, SimNode] = field(default_factory=dict)
    runners: dict[str, SimRunner] = field(default_factory=dict)
    seen: Observations = field(default_factory=Observations)
    faults: dict[str, int] = field(default_factory=dict)
    channels: list[Channel] = field(default_factory=list)
    caller: SimProcess = field(init=False)
    operator_tasks: "list[asyncio.Task[Accepted | Refusal]]" = field(default_factory=list)
    drains: "list[asyncio.Task[None]]" = field(default_factory=list)
    _num_programs: int = 0

    def __post_init__(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.rng = random.Random(self.seed)
        self.network = Network(self.loop, random.Random(self.seed + 1))
        self.store = SimStore(self.loop, random.Random(self.seed + 2))
        self.machine_list = SimMachineList(self.store)
        self.caller = SimProcess("caller")
        self.seen.tenant_budgets[TENANT] = TENANT_TOKENS

    # --- building ------------------------------------------------------------------------

    @classmethod
    def started(cls, seed: int) -> "World":
        """Three disk nodes in three zones, two without disk, two engines, configured."""
        world = cls(seed)
        try:
            world._build()
        except BaseException:
            world.close()
            raise
        return world

    def _build(self) -> None:
        for number in range(1, 3):
            self.add_runner(f"runner-{number}")
        for number in range(1, 6):
            zone = f"zone-{'abc'[(number - 1) % 3]}"
            disk = SimDisk(identity=f"disk-{number}-1") if number <= 3 else None
            name = f"node-{number}"
            self.nodes[name] = SimNode(
                name, zone, f"10.0.0.{number}", disk, SimProcess(name), SimClock(self.loop)
            )
            self.start_node(name)
        self.wait_for(self.all_groups_led, START_LIMIT_S)
        self.order(DeclareProgram(name="chat", declaration=ProgramDeclaration(models=["small"])))
        tenant = Tenant(token_sha256="0" * 64, budget_tokens=TENANT_TOKENS)
        self.order(PutTenant(name=TENANT, tenant=tenant))
        self.run_for(5.0)

    def add_runner(self, name: str) -> None:
        """Add an engine and list it."""
        self.runners[name] = SimRunner(name, SLOW_ENGINE, self.network)
        self.list_machine(name, leaving=False, incarnation=1)

    def list_machine(self, name: str, leaving: bool, incarnation: int) -> None:
        """Write a line of the machine list."""
        self.machine_list.machines[name] = Machine(
            name, "engine", f"sim://{name}", "small", "zone-a", leaving, incarnation
        )

    def start_node(self, name: str) -> None:
        """Start a process of a node."""
        holder = self.nodes[name]
        holder.lives += 1
        process = SimProcess(f"{name}#{holder.lives}")
        holder.process = process
        address = Address(holder.host, PEER_PORT)
        transport = SimTransport(self.network, process, address)
        clock = holder.clock
        disk = holder.disk
        ports = NodePorts(
            transport=transport,
            store=self.store,
            machine_list=self.machine_list,
            new_engine=lambda machine: self._engine(machine, holder.host),
            storage=SimLogStorage(disk) if disk is not None else None,
            cache=SimConfigurationCache(disk) if disk is not None else None,
            clock=clock,
            rng=random.Random(self.seed * 1000 + holder.lives * 10 + int(name[-1])),
            boot=clock.wall_ms(),
        )
        process.context.copy().run(self._start_in_process, holder, ports, transport, address)

    def _start_in_process(
        self, holder: SimNode, ports: NodePorts, transport: SimTransport, address: Address
    ) -> None:
        async def start() -> None:
            await transport.start()
            holder.node = Node(self._settings(holder), ports, address, 0)
            process_name = holder.process.name
            holder.node.configuration.on_change.append(
                lambda _document, node=holder.node: self.seen.revisions[process_name].append(  # type: ignore[misc]
                    node.configuration.snapshot.revision
                )
            )
            holder.node.start()

        self.loop.run_until_complete(holder.process.spawn(self.loop, start()))

    def _engine(self, machine: Machine, host: str) -> Engine:
        return SimEngine(self.runners[machine.machine_id], host)

    def _settings(self, holder: SimNode) -> Settings:
        seeds = [f"{other.host}:{PEER_PORT}" for other in self.nodes.values()]
        return Settings(
            node=NodeSection(
                name=holder.name,
                zone=holder.zone,
                host=IPv4Address(holder.host),
                seeds=seeds,
            ),
            platform=PlatformSection(
                object_api="http://sim",
                machine_list="http://sim",
                machine_list_interval_s=1.0,
                store_readers_per_zone=1,
            ),
            groups=GroupsSection(count=GROUP_COUNT, replace_after_s=15.0),
            programs=ProgramsSection(idle_timeout_s=60.0, ended_kept_s=300.0),
        )

    # --- time ----------------------------------------------------------------------------

    def all_groups_led(self) -> bool:
        """Whether every group has a leader that knows its past."""
        ready = {
            number
            for holder in self.up_nodes()
            if holder.node is not None and holder.node.host is not None
            for number, group in holder.node.host.groups.items()
            if group.replica.is_ready_leader
        }
        return len(ready) == GROUP_COUNT

    def up_nodes(self) -> list[SimNode]:
        """Nodes with a running process that is not paused."""
        return [
            holder for holder in self.nodes.values() if holder.is_up and not holder.process.paused
        ]

    # --- callers -------------------------------------------------------------------------

    def start_program(
        self, calls: list[PlannedCall], tokens: int = PROGRAM_TOKENS, tenant: str = TENANT
    ) -> ProgramDriver:
        """Start a program that issues these calls at nodes drawn at random."""
        self._num_programs += 1
        limits = wire.ProgramLimits(max_turns=100, max_seconds=3600, max_tokens=tokens)
        driver = ProgramDriver(f"p{self._num_programs}", tenant, limits)
        self.seen.programs[driver.program_id] = driver
        self.spawn_calls(driver, calls)
        return driver

    def spawn_calls(self, driver: ProgramDriver, calls: list[PlannedCall]) -> None:
        """Let a chain of calls of a program run, beside its other chains."""
        run = driver.run(calls, self.send_anywhere, SimClock(self.loop).wall_ms)
        self.caller.spawn(self.loop, run)

    def send_anywhere(self, request: CallRequest) -> "asyncio.Future[RequestRecord]":
        """Send a request to a node drawn at random."""
        return self.send(request, self.rng.choice(sorted(self.nodes)))

    def send(self, request: CallRequest, name: str) -> "asyncio.Future[RequestRecord]":
        """Send a request to a node; the result is what the caller saw."""
        return asyncio.ensure_future(self._send(request, name), loop=self.loop)

    async def _send(self, request: CallRequest, name: str) -> RequestRecord:
        record = RequestRecord(request, name, self.loop.time())
        self.seen.requests.append(record)
        await asyncio.sleep(CALLER_LATENCY_S)
        holder = self.nodes[name]
        if not holder.is_up or holder.node is None:
            record.ended_at_s = self.loop.time()
            return record
        channel = Channel(record, holder.process, self.loop, self.caller)
        self.channels.append(channel)
        holder.process.spawn(self.loop, serve_call(holder.node, channel))
        try:
            await asyncio.wait_for(channel.closed.wait(), CALLER_TIMEOUT_S)
        except TimeoutError:
            channel.finish(None)
        self.channels.remove(channel)
        return record

    def order(self, body: AnyChange, name: str = "node-1", wait: bool = True) -> None:
        """Give an operator's order at a node."""
        holder = self.nodes[name]
        if not holder.is_up or holder.node is None:
            return
        task = holder.process.spawn(self.loop, holder.node.configuration.submit(body, "operator"))
        self.operator_tasks.append(task)
        if isinstance(body, SetBudget):
            budgets = self.seen.tenant_budgets
            budgets[body.tenant] = max(budgets[body.tenant], body.budget_tokens)
        if wait:
            outcome = self.loop.run_until_complete(task)
            if isinstance(outcome, Refusal):
                raise RuntimeError(outcome.detail)

    # --- faults --------------------------------------------------------------------------

    def kill_node(self, name: str) -> None:
        """SIGKILL."""
        self.count("kill node")
        holder = self.nodes[name]
        holder.process.kill()
        holder.node = None
        self._break_channels(holder.process)

    def wipe_disk(self, name: str) -> None:
        """Replace the disk of a node that is down."""
        holder = self.nodes[name]
        if holder.disk is not None and not holder.is_up:
            self.count("wipe disk")
            holder.disk = SimDisk(identity=f"disk-{name[-1]}-{holder.lives + 1}")

    def _break_channels(self, process: SimProcess) -> None:
        for channel in [c for c in self.channels if c.process is process]:
            channel.to_caller(lambda channel=channel: channel.finish(None))  # type: ignore[misc]

    def pause_node(self, name: str) -> None:
        """SIGSTOP."""
        self.count("pause node")
        self.nodes[name].process.paused = True

    def resume_node(self, name: str) -> None:
        """SIGCONT."""
        self.nodes[name].process.resume(self.loop)

    def drain_node(self, name: str) -> None:
        """SIGTERM; the process ends when the drain is done."""
        self.count("planned stop")
        holder = self.nodes[name]
        self.drains.append(self.loop.create_task(self._drain(holder)))

    async def _drain(self, holder: SimNode) -> None:
        node, process = holder.node, holder.process
        if node is None:
            return
        if not await self._run_in(process, node.drain()):
            return
        await asyncio.sleep(0.5)
        for channel in self.channels:
            if channel.process is process and not channel.sent_outcome:
                channel.record.cut_by_planned_stop = True
        if not await self._run_in(process, node.stop()):
            return
        process.kill()
        holder.node = None
        self._break_channels(process)

    async def _run_in(self, process: SimProcess, work: Coroutine[Any, Any, None]) -> bool:
        """Run to the end in a process; ``False``: the process was killed before."""
        task = process.spawn(self.loop, work)
        while not task.done():
            await asyncio.sleep(0.1)
            if process.dead:
                return False
        return True

    def cut(self, one: str, other: str, both_ways: bool) -> None:
        """Cut the path between two hosts."""
        self.count("cut both ways" if both_ways else "cut one way")
        self.network.cuts.add((one, other))
        if both_ways:
            self.network.cuts.add((other, one))

    def is_draining(self, name: str) -> bool:
        """Whether a planned stop of the node is under way."""
        node = self.nodes[name].node
        return node is not None and node.draining

    def step_clock(self, name: str, by_ms: int) -> None:
        """Step a node's wall clock."""
        self.count("clock step")
        self.nodes[name].clock.offset_ms += by_ms

    def may_lose_disk(self, name: str) -> bool:
        """Whether the other replicas of each group are all up and hold all that is committed."""
        holder = self.nodes[name]
        if holder.disk is None or not holder.is_up or not self.all_groups_led():
            return False
        hosts = {
            other.node.node_id: other.node.host
            for other in self.up_nodes()
            if other.node is not None and other.node.host is not None
        }
        for number in range(GROUP_COUNT):
            replicas = {
                n: host.groups[number].replica for n, host in hosts.items() if number in host.groups
            }
            leader = next(r for r in replicas.values() if r.is_ready_leader)
            for voter in leader.membership.voters:
                if voter == holder.disk.identity:
                    continue
                replica = replicas.get(voter)
                if replica is None or replica.persisted_index < leader.commit_index:
                    return False
        return True

    def isolate(self, name: str) -> None:
        """Cut a node off from all other nodes and engines."""
        self.count("isolate node")
        host = self.nodes[name].host
        for other in [*(n.host for n in self.nodes.values()), *self.runners]:
            if other != host:
                self.network.cuts |= {(host, other), (other, host)}

    def heal_network(self) -> None:
        """Undo all cuts, losses and delays."""
        self.network.cuts.clear()
        self.network.datagram_loss = 0.0
        self.network.datagram_copies = 0.0
        self.network.slow_s = 0.0

    def kill_runner(self, name: str) -> None:
        """Kill an engine; it comes back empty at once, under the same name."""
        self.count("kill engine")
        runner = self.runners[name]
        runner.kill()
        runner.restart()

    def leave_runner(self, name: str) -> None:
        """An engine begins to leave: list and load report say so; it still takes what is sent."""
        self.count("engine leaves")
        runner = self.runners[name]
        self.seen.left_at_s[name] = self.loop.time()
        runner.model.says_leaving = True
        self.list_machine(name, leaving=True, incarnation=1)

    # --- the end -------------------------------------------------------------------------

    def settle(self) -> list[Violation]:
        """Heal everything, let programs end, and judge."""
        self.heal_network()
        self.store.down = False
        self.store.answer_loss = 0.0
        self.store.stale_reads = 0.0
        for name, holder in self.nodes.items():
            if holder.is_up and holder.process.paused:
                self.resume_node(name)
        self.wait_for(lambda: all(task.done() for task in self.drains), DRAIN_LIMIT_S)
        self.run_for(3.0)
        for name, holder in self.nodes.items():
            if not holder.is_up:
                self.start_node(name)
        self.wait_for(self._programs_finished, 900.0)
        self.run_for(QUIET_S)
        self._end_programs()
        self.run_for(QUIET_S)
        return self.judge()

    def _programs_finished(self) -> bool:
        return all(driver.finished for driver in self.seen.programs.values())

    def _end_programs(self) -> None:
        holder = next(holder for holder in self.up_nodes() if holder.node is not None)
        assert holder.node is not None
        for program_id in self.seen.programs:
            end = wire.ProgramCommand(end=wire.EndProgram(program_id=program_id, reason="over"))
            command = holder.node.client.command(program_id, end, 15.0)
            self.loop.run_until_complete(holder.process.spawn(self.loop, command))

    def judge(self) -> list[Violation]:
        """Collect what was seen and ask the oracle."""
        self.seen.starts = [s for runner in self.runners.values() for s in runner.starts]
        self.seen.held_after_quiet = {n: list(r.model.holds) for n, r in self.runners.items()}
        for task in self.operator_tasks:
            if task.done() and not task.cancelled() and task.exception() is None:
                outcome = task.result()
                if isinstance(outcome, Accepted):
                    newest = max(self.seen.accepted_revision, outcome.revision)
                    self.seen.accepted_revision = newest
        self.seen.revisions_after_quiet = {
            holder.name: holder.node.configuration.snapshot.revision
            for holder in self.up_nodes()
            if holder.node is not None
        }
        return check_all(self.seen)

    def tally(self) -> Tally:
        """Count what was seen."""
        counts = (len(self.seen.programs), len(self.seen.requests), len(self.seen.starts))
        return Tally(*counts, self.loop.time())
