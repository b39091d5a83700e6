"""A process that holds a replica of the turn log on its disk."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from bendshed.admission.quota_limits import EXACT, QuotaTerms
from bendshed.catalog.follower import CatalogFollower
from bendshed.catalog.server import CatalogPart, CatalogServer
from bendshed.catalog.times import CatalogTimes
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.consensus.election_timer import WITHIN_A_REGION, StandingOrder
from bendshed.consensus.host import GroupHost, HostedGroup
from bendshed.consensus.raft_types import Role
from bendshed.consensus.supervisor import ReplicaSupervisor
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.places import Distance, Places
from bendshed.paths.echo import Echo
from bendshed.paths.neighbours import Neighbours
from bendshed.placement.cold_runners import ColdTerms
from bendshed.placement.distance import DistanceCosts, LinkTerms
from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.placement.zones import ZoneUpdate
from bendshed.policy import EVERYTHING, Policy
from bendshed.ports.catalog_storage import CatalogStorage
from bendshed.ports.log_storage import LogStorage
from bendshed.ports.registry import ReplicaNode, ReplicaRegistry
from bendshed.ports.transport import Transport
from bendshed.tasks import start_loop
from bendshed.turns.cold_admission import ColdAdmission
from bendshed.turns.group_peers import GroupPeers
from bendshed.turns.load_exchange import LoadExchange
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.quota_counting import QuotaCounting
from bendshed.turns.service import TurnService
from bendshed.turns.state import TurnLogState
from bendshed.turns.turn_placement import TurnPlacement

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
        neighbours: where other nodes stand.
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
        groups: TurnGroups = ONE_GROUP,
        places: Places | None = None,
        cold_terms: ColdTerms | None = None,
        link_terms: LinkTerms | None = None,
    ) -> None:
        self.directory = ReplicaDirectory()
        self._groups = groups
        self.neighbours = Neighbours(zone, places or Places())
        self.directory.on_change.append(self._note_replicas)
        self.host = GroupHost(
            storage,
            transport,
            rng,
            TICK_S,
            TurnLogState,
            self.directory.resolve,
            COMPACT_AFTER_ENTRIES,
            stands_at_once=policy.quick_election,
            order_of=self._standing_order,
        )
        peers = GroupPeers(transport, rng, groups, self.directory, self.neighbours)
        me = ReplicaNode(name, self.host.node_id, address, zone)
        self.supervisor = ReplicaSupervisor(
            self.host,
            storage,
            transport,
            registry,
            self.directory,
            me,
            TICK_S,
            num_voters,
            groups,
            peers.ask_emptied,
        )
        self.catalog = CatalogServer(
            transport,
            self.directory,
            address,
            rng,
            catalog_storage,
            times,
            policy.kept_catalog,
            self.neighbours,
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
            neighbours=self.neighbours,
        )
        self.catalog.is_told = lambda: self.follower.is_head and self.follower.is_fresh
        self.catalog.num_askers_elsewhere = self._num_askers_of_teller
        self.follower.num_behind = lambda: self.catalog.num_fronts
        self._distance = DistanceCosts(self.neighbours.places, link_terms or LinkTerms())
        self._echo = Echo(transport, self._other_replicas, self.neighbours, self._take_distances)
        known = self.catalog.catalog
        cold = ColdAdmission(known.cold, cold_terms or ColdTerms(), metrics, groups.count)
        self._advice = TurnPlacement(known, cold, rng, self._distance)
        self._service = TurnService(
            self.host,
            transport,
            metrics,
            self._advice,
            lambda: QuotaCounting(known, quota_terms, policy.programs_first),
            groups,
            peers.command,
        )
        self._loads = LoadExchange(transport, self.host, groups, peers, self._advice.board)
        self._catalog_tasks: list[asyncio.Task[None]] = []
        self._add_gauges(metrics)
        self.catalog.zones.add_gauges(metrics)

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
            "bendshed_turn_log_voters_in_a_zone": (
                "Most voters that stand in one zone",
                self._most_in_a_zone,
            ),
        }
        for name, (text, read) in readings.items():
            gauge = metrics.labelled_gauge(name, text, "group")
            for number in self._groups.numbers:
                gauge.labels(str(number)).set_function(partial(self._read_group, read, number))
        shares = metrics.gauge("bendshed_budget_shares_taken", "Answers of other groups counted")
        shares.set_function(lambda: float(self._service.shares.num_taken))
        running = metrics.gauge("bendshed_turns_placed", "Turns under way that were advised here")
        running.set_function(lambda: float(self._advice.board.num_running))
        cold = metrics.gauge("bendshed_cold_runners", "Listed runners that are cold")
        cold.set_function(lambda: float(self.catalog.catalog.cold.num_cold))
        away = metrics.gauge("bendshed_turns_away", "Of them, those outside their front's region")
        away.set_function(lambda: float(self._advice.board.num_away))
        unheard = metrics.gauge("bendshed_regions_unheard", "Regions of which nobody is heard")
        unheard.set_function(lambda: float(self._echo.watch.num_unheard))
        trips = metrics.labelled_gauge(
            "bendshed_round_trip_ms", "Median round trip to replica machines", "distance"
        )
        for kind in Distance:
            trips.labels(kind.value).set_function(partial(self._round_trip_ms, kind))

    def _note_replicas(self) -> None:
        """Remember where replica machines stand."""
        for replica in self.directory.by_name.values():
            self.neighbours.put(replica.address.host, replica.zone)

    def _num_askers_of_teller(self) -> int:
        return self.follower.num_askers_told if self.follower.is_head else 0

    def _take_distances(self, measured_ms: dict[Distance, float]) -> None:
        self._distance.measured_ms = measured_ms

    def _round_trip_ms(self, kind: Distance) -> float:
        """As measured; 0: no machine of this kind was."""
        return self._distance.measured_ms.get(kind, 0.0)

    def _other_replicas(self) -> list[Address]:
        nodes = self.directory.by_name.values()
        return [node.address for node in nodes if node != self.directory.own]

    def _read_group(self, read: Callable[[HostedGroup], float], number: int) -> float:
        """Read a group of the turn log; 0 where this process holds no replica of it."""
        group = self.host.groups.get(number)
        return float(read(group)) if group is not None else 0.0

    def _most_in_a_zone(self, group: HostedGroup) -> float:
        zone_of = {node.node_id: node.zone for node in self.directory.by_name.values()}
        zones = Counter(zone_of.get(node, node) for node in group.replica.membership.voters)
        return float(max(zones.values(), default=0))

    def _standing_order(self, group_id: int) -> StandingOrder:
        """In which order a group's voters stand for election."""
        home_zones = self._groups.home_zones(group_id)
        if home_zones is None:
            return WITHIN_A_REGION

        def is_home(node_id: str) -> bool:
            return node_id in self.directory.node_ids_in(home_zones)

        return StandingOrder.over_regions(is_home)

    def note_registry(self, is_lost: bool) -> None:
        """Whether the registry answers this machine itself; others are told, and go elsewhere."""
        self.catalog.set_lost(is_lost)
        self.follower.note_own_reading(is_lost)

    def take_zones(self, word: ZoneUpdate) -> None:
        """The registry itself told which zones are closed."""
        self.catalog.take_zones(word)
        self.catalog.confirm(CatalogPart.ZONES, word.zones.at)
        self.follower.note_zones(word.zones.at)

    def start(self) -> None:
        """Start all parts."""
        self.host.start()
        self.supervisor.start()
        self._service.start()
        self.catalog.start()
        self.follower.note_known(self.catalog.catalog.version, self.catalog.catalog.runners_at)
        self.follower.note_zones(self.catalog.zones.record.zones.at)
        self._catalog_tasks = [
            start_loop(self.catalog.greet(), "catalog"),
            start_loop(self.catalog.share_fronts(), "catalog"),
            start_loop(self.catalog.keep(), "catalog"),
            start_loop(self.follower.run(), "catalog"),
            start_loop(self._loads.run(), "loads"),
            start_loop(self._service.follow_lead(), "turns"),
            start_loop(self._echo.run(), "regions"),
        ]
        log.say("started", node=self.host.node_id, homes=list(self._groups.homes))

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
            self.host.hand_over_all()
            await asyncio.sleep(HAND_OVER_CHECK_S)
