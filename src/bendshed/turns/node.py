"""Composition of a replica process, which stores a replica of the turn log on its disk."""

import asyncio
import random
from dataclasses import dataclass, field

from bendshed.admission.quota_limits import NO_TOLERANCE, QuotaTolerance
from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.replica_parts import CatalogDependencies, ReplicaCatalogParts
from bendshed.catalog.times import CatalogTimes
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.consensus.election_timer import SINGLE_REGION_ORDER, ElectionOrder
from bendshed.consensus.host import GroupHost
from bendshed.consensus.supervisor import ReplicaSupervisor
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.places import Distance, Places
from bendshed.paths.echo import Echo
from bendshed.paths.host_locations import HostLocations
from bendshed.placement.cold_runners import ColdRateLimit
from bendshed.placement.distance import DistanceCosts, LinkSettings
from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.placement.zones import ZoneUpdate
from bendshed.policy import ALL_ENABLED, Policy
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
from bendshed.turns.replica_gauges import ReplicaGauges
from bendshed.turns.service import TurnService
from bendshed.turns.state import TurnLogState
from bendshed.turns.turn_placement import TurnPlacement

TICK_S = 0.025
"""Raft tick. Heartbeats are sent every 3 ticks; a follower without one for 10 to 20 ticks starts an
election."""
COMPACT_AFTER_ENTRIES = 60_000
"""Log compaction threshold for small entries, which store no text. For larger entries the host's
limit in bytes is reached first."""
LEADERSHIP_TRANSFER_TIMEOUT_S = 1.0
LEADERSHIP_TRANSFER_POLL_INTERVAL_S = 0.02

log = PartLog("replica")


@dataclass(frozen=True, slots=True)
class ReplicaPlace:
    """Identity and location of this machine.

    Attributes:
        name: name of the machine, which stays the same when its disk is replaced.
        address: address at which peers reach it.
        places: regions of all zones.

    """

    name: str
    zone: str
    address: Address
    places: Places = field(default_factory=Places)


@dataclass(frozen=True, slots=True)
class ReplicaPorts:
    """Adapters that the process provides to a replica machine."""

    storage: LogStorage
    catalog_storage: CatalogStorage
    transport: Transport
    registry: ReplicaRegistry


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of the installation that a replica machine uses.

    Attributes:
        num_voters: number of voting replicas per group.
        times: how often the catalog is read and how old it may be.

    """

    num_voters: int
    times: CatalogTimes
    policy: Policy = ALL_ENABLED
    quota_tolerance: QuotaTolerance = NO_TOLERANCE
    groups: TurnGroups = ONE_GROUP
    cold_rate_limit: ColdRateLimit = field(default_factory=ColdRateLimit)
    links: LinkSettings = field(default_factory=LinkSettings)


class TurnLogNode:
    """All parts of a replica process except its adapters.

    Attributes:
        directory: the known replica machines.
        host_locations: locations of other nodes.
        host: this process's replicas of the turn log's groups.
        supervisor: changes the membership of groups that this process leads.
        catalog: the known configuration and runners.
        demand: which nodes rely on the catalog, and how the registry is read for them.
        follower: requests the catalog from another machine, so that one reads the registry for all.

    """

    def __init__(
        self,
        location: ReplicaPlace,
        ports: ReplicaPorts,
        settings: ReplicaSettings,
        rng: random.Random,
        metrics: TurnLogMetrics,
    ) -> None:
        self._groups = settings.groups
        self.directory = ReplicaDirectory()
        self.host_locations = HostLocations(location.zone, location.places)
        self.directory.on_change.append(self._update_host_locations)
        self.host = self._build_host(ports, settings.policy, rng)
        peers = GroupPeers(
            ports.transport, rng, settings.groups, self.directory, self.host_locations
        )
        self.supervisor = self._build_supervisor(location, ports, settings, peers)
        surroundings = CatalogDependencies(
            ports.transport,
            self.directory,
            self.host_locations,
            location.address,
            ports.catalog_storage,
        )
        self._catalog_parts = ReplicaCatalogParts(
            surroundings, settings.times, settings.policy, rng
        )
        self.catalog = self._catalog_parts.catalog
        self.demand = self._catalog_parts.demand
        self.follower = self._catalog_parts.follower
        self._distance = DistanceCosts(location.places, settings.links)
        self._echo = Echo(
            ports.transport, self._other_replicas, self.host_locations, self._set_measured_distances
        )
        placement = self._build_placement(settings, rng, metrics)
        self._service = self._build_service(ports.transport, settings, metrics, placement, peers)
        self._load_exchange = LoadExchange(
            ports.transport, self.host, settings.groups, peers, placement.cluster_load
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._add_gauges(metrics, placement)

    def _build_host(self, ports: ReplicaPorts, policy: Policy, rng: random.Random) -> GroupHost:
        return GroupHost(
            ports.storage,
            ports.transport,
            rng,
            TICK_S,
            TurnLogState,
            self.directory.resolve,
            COMPACT_AFTER_ENTRIES,
            campaigns_at_start=policy.quick_election,
            election_order_of=self._election_order,
        )

    def _build_supervisor(
        self,
        location: ReplicaPlace,
        ports: ReplicaPorts,
        settings: ReplicaSettings,
        peers: GroupPeers,
    ) -> ReplicaSupervisor:
        return ReplicaSupervisor(
            self.host,
            ports.storage,
            ports.transport,
            ports.registry,
            self.directory,
            ReplicaNode(location.name, self.host.node_id, location.address, location.zone),
            TICK_S,
            settings.num_voters,
            settings.groups,
            peers.request_emptied,
        )

    def _build_placement(
        self, settings: ReplicaSettings, rng: random.Random, metrics: TurnLogMetrics
    ) -> TurnPlacement:
        catalog = self.catalog.catalog
        cold = ColdAdmission(catalog.cold, settings.cold_rate_limit, metrics, settings.groups.count)
        return TurnPlacement(catalog, cold, rng, self._distance)

    def _build_service(
        self,
        transport: Transport,
        settings: ReplicaSettings,
        metrics: TurnLogMetrics,
        placement: TurnPlacement,
        peers: GroupPeers,
    ) -> TurnService:
        catalog = self.catalog.catalog
        return TurnService(
            self.host,
            transport,
            metrics,
            placement,
            lambda: QuotaCounting(
                catalog, settings.quota_tolerance, settings.policy.programs_first
            ),
            settings.groups,
            peers.command,
        )

    def _add_gauges(self, metrics: TurnLogMetrics, placement: TurnPlacement) -> None:
        ReplicaGauges(
            self.host,
            tuple(self._groups.ids),
            self.directory,
            self._service,
            placement.cluster_load,
            self.catalog.catalog,
            self._echo.reachability,
            self._distance,
        ).add_to(metrics)
        self.catalog.zones.add_gauges(metrics)

    def _update_host_locations(self) -> None:
        """Update the locations of replica machines."""
        for replica in self.directory.by_name.values():
            self.host_locations.put(replica.address.host, replica.zone)

    def _set_measured_distances(self, measured_ms: dict[Distance, float]) -> None:
        self._distance.measured_round_trip_ms = measured_ms

    def _other_replicas(self) -> list[Address]:
        nodes = self.directory.by_name.values()
        return [node.address for node in nodes if node != self.directory.own_node]

    def _election_order(self, group_id: int) -> ElectionOrder:
        """Return the order in which a group's voters start elections."""
        home_zones = self._groups.home_zones(group_id)
        if home_zones is None:
            return SINGLE_REGION_ORDER

        def is_home(node_id: str) -> bool:
            return node_id in self.directory.node_ids_in(home_zones)

        return ElectionOrder.across_regions(is_home)

    def set_registry_lost(self, is_lost: bool, fails_partly: bool | None = None) -> None:
        """Record whether this machine has lost the registry; if so, nodes use other replicas.

        ``fails_partly``: the registry does not answer for some kind of objects.
        """
        lacks_part = is_lost if fails_partly is None else fails_partly
        self.catalog.set_registry_lost(is_lost, lacks_part)
        self.follower.note_registry_lost(is_lost, lacks_part)

    def apply_zones(self, update: ZoneUpdate) -> None:
        """Apply the closed zones as read from the registry itself."""
        self.catalog.apply_zones(update)
        self.catalog.confirm(CatalogPart.ZONES, update.zones.revision)
        self.follower.note_zones_revision(update.zones.revision)

    def start(self) -> None:
        """Start all parts."""
        self.host.start()
        self.supervisor.start()
        self._service.start()
        self._catalog_parts.start()
        self._tasks = [
            *(start_loop(loop, "catalog") for loop in self._catalog_parts.background_loops()),
            start_loop(self._load_exchange.run(), "loads"),
            start_loop(self._service.monitor_majority(), "turns"),
            start_loop(self._service.withdraw_unanswered(), "turns"),
            start_loop(self._echo.run(), "regions"),
        ]
        log.say("started", node=self.host.node_id, homes=list(self._groups.homes))

    async def stop(self) -> None:
        """Transfer leadership, then stop all parts."""
        await self._transfer_leadership()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.supervisor.stop()
        await self.host.stop()
        log.say("stopped", node=self.host.node_id)

    async def _transfer_leadership(self) -> None:
        """Transfer leadership to other replicas before this one stops."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + LEADERSHIP_TRANSFER_TIMEOUT_S
        while self.host.led_groups() and loop.time() < deadline_s:
            self.host.transfer_all_leadership()
            await asyncio.sleep(LEADERSHIP_TRANSFER_POLL_INTERVAL_S)
