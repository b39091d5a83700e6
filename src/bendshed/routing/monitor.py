"""Keeps the runner table current: machine list, load reports, KV caches held for ended programs.

Few nodes read the platform's machine list (two per zone); the others request it from one of these,
with the digest of the list that they have. A leaving runner is gossiped to all nodes. For each
runner one node, chosen by consistent hashing, compares the programs that the engine holds with
those that are alive.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict

import orjson
import xxhash

from bendshed.configuration.document import RunnerOrder
from bendshed.consensus.group_client import GroupClient
from bendshed.identifiers import HashRing, group_of
from bendshed.logs import PartLog
from bendshed.membership.service import MembershipService
from bendshed.ports.engine import Engine, EngineBroken, EngineNotStarted, NotSupported
from bendshed.ports.store import Machine, MachineList, StoreUnavailable
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.programs.service import ALIVE_METHOD
from bendshed.routing.runners import RunnerTable
from bendshed.routing.scheduler import Scheduler
from bendshed.settings.model import RoutingSection
from bendshed.tasks import start_loop
from bendshed.wire import peer_pb2, programs_pb2

LIST_METHOD = "machines.list"
PEER_TIMEOUT_S = 2.0
NUM_LIST_PEERS = 2
"""Peers among which one is drawn at random to request the machine list from."""
MAX_REPORT_AGE_S = 2.0
"""Age, in seconds, from which on a load report does not show whether the engine is leaving."""
ENGINE_ERRORS = (EngineBroken, EngineNotStarted, NotSupported)

log = PartLog("routing")


class RunnerMonitor:
    """Background tasks that update the runner table of one node.

    Attributes:
        on_machine_list: called with each machine list.

    """

    def __init__(
        self,
        table: RunnerTable,
        scheduler: Scheduler,
        machine_list: MachineList,
        engine_of: Callable[[str], Engine | None],
        membership: MembershipService,
        transport: Transport,
        client: GroupClient,
        is_reader: Callable[[], bool],
        orders: Callable[[], Mapping[str, RunnerOrder]],
        settings: RoutingSection,
        list_interval_s: float,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._scheduler = scheduler
        self._machine_list = machine_list
        self._engine_of = engine_of
        self._membership = membership
        self._transport = transport
        self._client = client
        self._is_reader = is_reader
        self._orders = orders
        self._fences_sent: dict[str, int] = {}
        self._settings = settings
        self._list_interval_s = list_interval_s
        self._rng = rng
        self.on_machine_list: list[Callable[[list[Machine]], None]] = []
        self._machines: list[Machine] = []
        self._digest = 0
        self._poll_position = 0
        self._ring_nodes: list[str] = []
        self._ring = HashRing(())
        self._tasks: list[asyncio.Task[None]] = []
        membership.on_runner.append(table.apply_notice)
        transport.handlers[LIST_METHOD] = self._on_list_request

    def start(self) -> None:
        """Start the three loops."""
        loops = (
            (self._refresh_list, self._list_interval_s),
            (self._poll_loads, self._settings.load_poll_interval_s),
            (self._reconcile, self._settings.reconcile_interval_s),
        )
        self._tasks = [start_loop(self._repeat(work, s), "routing") for work, s in loops]

    async def stop(self) -> None:
        """Stop the loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _repeat(self, work: Callable[[], Awaitable[None]], interval_s: float) -> None:
        while True:
            await work()
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))

    # --- machine list --------------------------------------------------------------------

    async def _refresh_list(self) -> None:
        if self._is_reader():
            try:
                self._apply_list(await self._machine_list.read())
            except StoreUnavailable:
                log.say("machine list unavailable")
                await self._request_from_peer()
        else:
            await self._request_from_peer()

    async def _request_from_peer(self) -> None:
        own_id = self._membership.swim.local_member.node_id
        others = [node for node in self._membership.zone_readers() if node != own_id]
        peers = others[:NUM_LIST_PEERS]
        address = self._membership.view.address(self._rng.choice(peers)) if peers else None
        if address is None:
            return
        request = peer_pb2.MachineListRequest(have_digest=self._digest).SerializeToString()
        try:
            payload = await self._transport.request(address, LIST_METHOD, request, PEER_TIMEOUT_S)
        except PeerUnreachable:
            return
        reply = peer_pb2.MachineListReply.FromString(payload)
        if reply.machines:
            self._apply_list([Machine(**row) for row in orjson.loads(reply.machines)])

    def _apply_list(self, machines: list[Machine]) -> None:
        self._machines = machines
        self._digest = xxhash.xxh3_64_intdigest(_encode(machines))
        for notice in self._table.update_list(machines):
            log.say("runner is leaving", runner=notice.runner_id)
            self._membership.broadcast_runner_notice(notice)
        for callback in self.on_machine_list:
            callback(machines)
        self._scheduler.schedule()

    async def _on_list_request(self, payload: bytes) -> bytes:
        have_digest = peer_pb2.MachineListRequest.FromString(payload).have_digest
        reply = peer_pb2.MachineListReply(digest=self._digest)
        if have_digest != self._digest and self._machines:
            reply.machines = _encode(self._machines)
        return reply.SerializeToString()

    def note_engine_leaving(self, runner_id: str) -> None:
        """Handle an engine that refused work because it is leaving: notify all nodes."""
        notice = self._table.mark_leaving(runner_id)
        if notice is not None:
            self._membership.broadcast_runner_notice(notice)

    # --- load ----------------------------------------------------------------------------

    async def _poll_loads(self) -> None:
        runner_ids = [name for name, runner in self._table.runners.items() if not runner.leaving]
        if not runner_ids:
            return
        count = min(len(runner_ids), self._settings.load_polls_per_interval)
        start_position = self._poll_position % len(runner_ids)
        self._poll_position = start_position + count
        chosen = (runner_ids + runner_ids)[start_position : start_position + count]
        await asyncio.gather(*(self._poll_load(name) for name in chosen))
        self._scheduler.schedule()

    async def _poll_load(self, runner_id: str) -> None:
        engine = self._engine_of(runner_id)
        if engine is None:
            return
        try:
            report = await engine.load()
        except ENGINE_ERRORS:
            return
        self._table.apply_report(runner_id, report, asyncio.get_running_loop().time())
        if report.leaving:
            self.note_engine_leaving(runner_id)

    async def confirm(self, runner_id: str) -> bool:
        """Whether new work may be sent to a runner now.

        A node that was paused or partitioned has an outdated view. Unless peers or the engine
        replied recently, it requests the engine's load, so that an engine that left gets no work.
        """
        now_s = asyncio.get_running_loop().time()
        runner = self._table.runners.get(runner_id)
        if runner is None:
            return False
        if not self._membership.is_current and now_s - runner.report_at_s > MAX_REPORT_AGE_S:
            await self._poll_load(runner_id)
            now_s = asyncio.get_running_loop().time()
            if now_s - runner.report_at_s > MAX_REPORT_AGE_S:
                return False
        return runner.accepts_work(now_s)

    # --- KV cache held for ended programs ------------------------------------------------

    async def _reconcile(self) -> None:
        live = sorted(member.node_id for member in self._membership.view.live())
        if live != self._ring_nodes:
            self._ring_nodes, self._ring = live, HashRing(live)
        own_id = self._membership.swim.local_member.node_id
        for runner_id in list(self._table.runners):
            if self._ring.owner(runner_id) == own_id:
                await self._reconcile_runner(runner_id)
                await self._send_order(runner_id)

    async def _send_order(self, runner_id: str) -> None:
        """Send a runner its latest order; the fence lets it refuse an older one."""
        order, engine = self._orders().get(runner_id), self._engine_of(runner_id)
        if order is None or engine is None or self._fences_sent.get(runner_id) == order.fence:
            return
        try:
            await engine.order(order.fence, "load_model", order.model)
        except NotSupported:
            log.say("order not supported by the runner", runner=runner_id, fence=order.fence)
        except (EngineBroken, EngineNotStarted):
            return
        self._fences_sent[runner_id] = order.fence

    async def _reconcile_runner(self, runner_id: str) -> None:
        engine = self._engine_of(runner_id)
        if engine is None:
            return
        try:
            for program_id in await self._find_gone(await engine.held_programs()):
                await engine.release(program_id)
        except ENGINE_ERRORS:
            return

    async def _find_gone(self, program_ids: list[str]) -> list[str]:
        """Programs that their groups' leaders report as gone; without an answer none is."""
        by_group: dict[int, list[str]] = {}
        for program_id in program_ids:
            group = group_of(program_id, self._client.group_count)
            by_group.setdefault(group, []).append(program_id)
        gone_ids: list[str] = []
        for group, ids_of_group in by_group.items():
            gone_ids += await self._request_gone_programs(group, ids_of_group)
        return gone_ids

    async def _request_gone_programs(self, group_id: int, program_ids: list[str]) -> list[str]:
        request = programs_pb2.AliveRequest(group_id=group_id, program_ids=program_ids)
        answer = await self._client.request_leader(
            group_id, ALIVE_METHOD, request.SerializeToString(), PEER_TIMEOUT_S
        )
        if answer is None:
            return []
        reply = programs_pb2.AliveReply.FromString(answer.content)
        if not reply.is_leader:
            self._client.follow_hint(group_id, reply.leader_hint, answer.node_id)
        return list(reply.gone)


def _encode(machines: list[Machine]) -> bytes:
    return orjson.dumps([asdict(machine) for machine in machines])
