"""A process that holds a replica of the turn log on its disk."""

import asyncio
import random
from collections.abc import Callable
from functools import partial

from bendshed.catalog.follower import CatalogFollower
from bendshed.catalog.server import CatalogServer
from bendshed.catalog.times import CatalogTimes
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.consensus.host import GroupHost, HostedGroup
from bendshed.consensus.raft_types import Role
from bendshed.consensus.supervisor import ReplicaSupervisor
from bendshed.logs import PartLog
from bendshed.policy import EVERYTHING, Policy
from bendshed.ports.catalog_storage import CatalogStorage
from bendshed.ports.log_storage import LogStorage
from bendshed.ports.registry import ReplicaNode, ReplicaRegistry
from bendshed.ports.transport import Address, Transport
from bendshed.quotas.limits import EXACT, QuotaTerms
from bendshed.tasks import start_loop
from bendshed.turns.advice import TurnAdvice
from bendshed.turns.methods import TURN_GROUP
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.quotas import TurnQuotas
from bendshed.turns.service import TurnService
from bendshed.turns.state import TurnLogState

TICK_S = 0.025
"""Heartbeats go every 3 ticks; a follower stands for election after 10 to 20 silent ones."""
COMPACT_AFTER_ENTRIES = 60_000
"""Entries without kept text are small; the host's bound on bytes comes first for the others."""
HAND_OVER_S = 1.0
HAND_OVER_CHECK_S = 0.02

log = PartLog("replica")


class TurnLogNode:
    """Everything of a replica process but its shells.

    Attributes:
        directory: the replica machines it knows.
        catalog: what it tells others of configuration and runners.
        follower: what it is told itself, so that one machine reads the registry for all.

    """

    def __init__(
        self,
        name: str,
        zone: str,
        address: Address,
        storage: LogStorage,
        transport: Transport,
        registry: ReplicaRegistry,
        num_voters: int,
        rng: random.Random,
        metrics: TurnLogMetrics,
        catalog_storage: CatalogStorage,
        times: CatalogTimes,
        policy: Policy = EVERYTHING,
        quota_terms: QuotaTerms = EXACT,
    ) -> None:
        self.directory = ReplicaDirectory()
        self.host = GroupHost(
            storage,
            transport,
            rng,
            TICK_S,
            TurnLogState,
            self.directory.resolve,
            COMPACT_AFTER_ENTRIES,
            stands_at_once=policy.quick_election,
        )
        me = ReplicaNode(name, self.host.node_id, address, zone)
        self.supervisor = ReplicaSupervisor(
            self.host, storage, transport, registry, self.directory, me, TICK_S, num_voters
        )
        self.catalog = CatalogServer(
            transport, self.directory, address, rng, catalog_storage, times, policy.kept_catalog
        )
        self.follower = CatalogFollower(
            transport,
            transport,
            self.directory,
            self.catalog,
            address,
            times,
            rng,
            policy.shared_reading and policy.replicas_follow,
            is_replica=True,
        )
        self._advice = TurnAdvice(self.catalog.catalog, rng)
        quotas = TurnQuotas(self.catalog.catalog, quota_terms, policy.programs_first)
        self._service = TurnService(self.host, transport, metrics, self._advice, quotas)
        self._catalog_tasks: list[asyncio.Task[None]] = []
        self._add_gauges(metrics)

    def _add_gauges(self, metrics: TurnLogMetrics) -> None:
        """What is told as it stands when it is asked for."""
        readings: dict[str, tuple[str, Callable[[HostedGroup], float]]] = {
            "bendshed_turn_log_leader": (
                "1 while this replica leads",
                lambda group: float(group.replica.role is Role.LEADER),
            ),
            "bendshed_turn_log_term": ("Term", lambda group: group.replica.term),
            "bendshed_turn_log_commit_index": (
                "Last committed entry",
                lambda group: group.replica.commit_index,
            ),
            "bendshed_turn_log_voters": (
                "Voters of the membership in the log",
                lambda group: len(group.replica.membership.voters),
            ),
        }
        for name, (text, read) in readings.items():
            metrics.gauge(name, text).set_function(partial(self._read_group, read))
        running = metrics.gauge("bendshed_turns_placed", "Turns under way that were advised here")
        running.set_function(lambda: float(self._advice.board.num_running))

    def _read_group(self, read: Callable[[HostedGroup], float]) -> float:
        """Read the turn log's group; 0 where this process holds no replica."""
        group = self.host.groups.get(TURN_GROUP)
        return float(read(group)) if group is not None else 0.0

    def note_registry(self, is_lost: bool) -> None:
        """Whether the registry answers this machine itself; others are told, and go elsewhere."""
        self.catalog.set_lost(is_lost)
        self.follower.note_own_reading(is_lost)

    def start(self) -> None:
        """Start all parts."""
        self.host.start()
        self.supervisor.start()
        self._service.start()
        self.catalog.start()
        self.follower.note_known(self.catalog.catalog.version, self.catalog.catalog.runners_at)
        self._catalog_tasks = [
            start_loop(self.catalog.greet(), "catalog"),
            start_loop(self.catalog.share_fronts(), "catalog"),
            start_loop(self.catalog.keep(), "catalog"),
            start_loop(self.follower.run(), "catalog"),
        ]
        log.say("started", node=self.host.node_id)

    async def stop(self) -> None:
        """Hand leadership over, then stop all parts."""
        await self._hand_over()
        for task in self._catalog_tasks:
            task.cancel()
        await asyncio.gather(*self._catalog_tasks, return_exceptions=True)
        await self.supervisor.stop()
        await self.host.stop()
        log.say("stopped", node=self.host.node_id)

    async def _hand_over(self) -> None:
        """Let another replica lead before this one ends."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + HAND_OVER_S
        while self.host.led_groups() and loop.time() < until_s:
            self.host.hand_over()
            await asyncio.sleep(HAND_OVER_CHECK_S)
