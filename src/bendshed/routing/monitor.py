"""Keeps the runner table fresh: machine list, load reports, and KV cache held by the gone.

Few nodes read the platform's machine list (two per zone); the others request it from one of
these with the digest of what they have. A leaving back end is gossiped to all. For each runner
one node, by consistent hashing, compares the engine's held programs with those alive.
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
LIST_PEERS = 2
"""Peers among which one is drawn to request the machine list from."""
FRESH_S = 2.0
"""A load report this old does not show whether the engine is leaving."""
ENGINE_ERRORS = (EngineBroken, EngineNotStarted, NotSupported)

log = PartLog("routing")


class RunnerMonitor:
    """Background work around the runner table of one node.

    Attributes:
        on_list: called with each machine list.

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
        self.on_list: list[Callable[[list[Machine]], None]] = []
        self._machines: list[Machine] = []
        self._digest = 0
        self._poll_position = 0
        self._ring_nodes: list[str] = []
        self._ring = HashRing(())
        self._tasks: list[asyncio.Task[None]] = []
        membership.on_runner.append(table.apply_notice)
        transport.handlers[LIST_METHOD] = self._on_list_request

    def start(self) -> None:
        """Begin the three loops."""
        loops = (
            (self._refresh_list, self._list_interval_s),
            (self._poll_loads, self._settings.load_poll_interval_s),
            (self._reconcile, self._settings.reconcile_interval_s),
        )
        self._tasks = [start_loop(self._repeat(work, s), "routing") for work, s in loops]

    async def stop(self) -> None:
        """End the loops."""
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
                self._take_list(await self._machine_list.read())
            except StoreUnavailable:
                log.say("machine list unavailable")
                await self._request_from_peer()
        else:
            await self._request_from_peer()

    async def _request_from_peer(self) -> None:
        me = self._membership.swim.local_member.node_id
        others = [node for node in self._membership.zone_readers() if node != me]
        peers = others[:LIST_PEERS]
        address = self._membership.view.address(self._rng.choice(peers)) if peers else None
        if address is None:
            return
        question = peer_pb2.MachineListRequest(have_digest=self._digest).SerializeToString()
        try:
            payload = await self._transport.request(address, LIST_METHOD, question, PEER_TIMEOUT_S)
        except PeerUnreachable:
            return
        reply = peer_pb2.MachineListReply.FromString(payload)
        if reply.machines:
            self._take_list([Machine(**row) for row in orjson.loads(reply.machines)])

    def _take_list(self, machines: list[Machine]) -> None:
        self._machines = machines
        self._digest = xxhash.xxh3_64_intdigest(_encode(machines))
        for notice in self._table.update_list(machines):
            log.say("back end is leaving", runner=notice.runner_id)
            self._membership.broadcast_runner_notice(notice)
        for take in self.on_list:
            take(machines)
        self._scheduler.schedule()

    async def _on_list_request(self, payload: bytes) -> bytes:
        have = peer_pb2.MachineListRequest.FromString(payload).have_digest
        reply = peer_pb2.MachineListReply(digest=self._digest)
        if have != self._digest and self._machines:
            reply.machines = _encode(self._machines)
        return reply.SerializeToString()

    def engine_said_leaving(self, runner_id: str) -> None:
        """An engine refused work because it leaves: notify all nodes."""
        notice = self._table.mark_leaving(runner_id)
        if notice is not None:
            self._membership.broadcast_runner_notice(notice)

    # --- load ----------------------------------------------------------------------------

    async def _poll_loads(self) -> None:
        names = [name for name, runner in self._table.runners.items() if not runner.leaving]
        if not names:
            return
        count = min(len(names), self._settings.load_polls_per_interval)
        first = self._poll_position % len(names)
        self._poll_position = first + count
        chosen = (names + names)[first : first + count]
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
            self.engine_said_leaving(runner_id)

    async def confirm(self, runner_id: str) -> bool:
        """Whether new work may be sent to a runner now.

        A node that was paused or cut off has an old view. Unless peers or the
        engine replied lately, it requests the engine's load, so one that left gets nothing.
        """
        now_s = asyncio.get_running_loop().time()
        runner = self._table.runners.get(runner_id)
        if runner is None:
            return False
        if not self._membership.is_current and now_s - runner.report_at_s > FRESH_S:
            await self._poll_load(runner_id)
            now_s = asyncio.get_running_loop().time()
            if now_s - runner.report_at_s > FRESH_S:
                return False
        return runner.accepts_work(now_s)

    # --- KV cache held by programs that are gone -----------------------------------------

    async def _reconcile(self) -> None:
        live = sorted(member.node_id for member in self._membership.view.live())
        if live != self._ring_nodes:
            self._ring_nodes, self._ring = live, HashRing(live)
        me = self._membership.swim.local_member.node_id
        for runner_id in list(self._table.runners):
            if self._ring.owner(runner_id) == me:
                await self._reconcile_runner(runner_id)
                await self._send_order(runner_id)

    async def _send_order(self, runner_id: str) -> None:
        """Tell a runner the latest order; its fence lets it refuse an older one."""
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
            for program_id in await self._gone(await engine.held_programs()):
                await engine.release(program_id)
        except ENGINE_ERRORS:
            return

    async def _gone(self, program_ids: list[str]) -> list[str]:
        """Which programs their groups' leaders call gone; no answer means not gone."""
        by_group: dict[int, list[str]] = {}
        for program_id in program_ids:
            group = group_of(program_id, self._client.group_count)
            by_group.setdefault(group, []).append(program_id)
        gone: list[str] = []
        for group, names in by_group.items():
            gone += await self._request_gone(group, names)
        return gone

    async def _request_gone(self, group_id: int, names: list[str]) -> list[str]:
        question = programs_pb2.AliveRequest(group_id=group_id, program_ids=names)
        answer = await self._client.request_leader(
            group_id, ALIVE_METHOD, question.SerializeToString(), PEER_TIMEOUT_S
        )
        if answer is None:
            return []
        reply = programs_pb2.AliveReply.FromString(answer.content)
        if not reply.is_leader:
            self._client.follow_hint(group_id, reply.leader_hint, answer.node_id)
        return list(reply.gone)


def _encode(machines: list[Machine]) -> bytes:
    return orjson.dumps([asdict(machine) for machine in machines])
