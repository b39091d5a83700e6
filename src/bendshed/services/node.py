"""A node that forwards requests: its parts, and what it does with updates."""

import asyncio
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import partial

from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.catalog.follower import CatalogFollower, FollowerPaths
from bendshed.catalog.server import CATALOG_METHOD
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.zones import ZoneKeeper
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.consensus.group_client import GroupClient
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.places import Places
from bendshed.model.route_index import RouteIndex
from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import ServiceDocument
from bendshed.paths.host_locations import HostLocations
from bendshed.paths.relayed import RelayedRequests
from bendshed.placement.allowed_regions import unknown_regions
from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.placement.zones import ZoneUpdate
from bendshed.policy import EVERYTHING, Policy
from bendshed.ports.runner import RunnerProtocol
from bendshed.ports.runner_connections import RunnerConnections
from bendshed.ports.transport import Transport
from bendshed.services.attempts import RunnerPorts
from bendshed.services.forwarder import Forwarder
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.permit_client import PermitClient
from bendshed.services.quota_client import QuotaClient
from bendshed.services.runners import ObservedState, RunnerTable
from bendshed.services.turn_record import TurnPorts
from bendshed.turns.client import TranscriptCache, TurnClient
from bendshed.turns.group_locator import GroupLocator
from bendshed.turns.methods import PREVIEW_METHOD, QUOTA_METHOD, RUNNER_METHOD, TURN_METHOD

TRANSCRIPT_BYTES = 16 * 1024 * 1024
TURNS_LOST_S = 1.5
"""A node that no replica of the turn log answered for this long sends its clients elsewhere."""
PROBE_INTERVAL_S = 0.4
RELAYED_METHODS = frozenset(
    {TURN_METHOD, PREVIEW_METHOD, QUOTA_METHOD, RUNNER_METHOD, CATALOG_METHOD}
)
"""Requests that may be repeated without harm, so that they may go through another node."""

log = PartLog("node")


@dataclass(frozen=True, slots=True)
class NodePlace:
    """Where a node is, and where other nodes reach it.

    Attributes:
        places: regions of all zones.

    """

    zone: str
    address: Address
    places: Places = field(default_factory=Places)


class ServiceNode:
    """Everything of a node but its shells.

    Invariants: a document is only ever replaced by a newer one; a node without a document, one
    that drains and one that no replica of the turn log answers any more is not ready.

    Attributes:
        directory: where the turn log's replicas are.
        host_locations: where other nodes are located.
        catalog: requests configuration and runners of replica machines.
        forwarder: serves requests.
        quotas: what the node may admit of each tenant.
        zones: closed zones, where operators close any.
        on_document: called with each document that comes into force.

    """

    def __init__(
        self,
        transport: Transport,
        connections: RunnerConnections,
        protocol: RunnerProtocol,
        place: NodePlace,
        times: CatalogTimes,
        rng: random.Random,
        metrics: ServiceMetrics,
        policy: Policy = EVERYTHING,
        groups: TurnGroups = ONE_GROUP,
    ) -> None:
        self.directory = ReplicaDirectory()
        self.host_locations = HostLocations(place.zone, place.places)
        self.directory.on_change.append(self._note_replicas)
        self._knows_replicas = asyncio.Event()
        self.directory.on_change.append(self._knows_replicas.set)
        self.on_document: Callable[[ServiceDocument], None] = lambda _document: None
        self.is_draining = False
        self._policy = policy
        self._groups = groups
        self._places = place.places
        self._zones_lag_s = times.zones_lag_s
        self._pool = connections
        self.zones = ZoneKeeper(place.places)
        self._table = self._build_table()
        self._requests = RelayedRequests(
            transport, rng, self._other_nodes, RELAYED_METHODS, self.host_locations
        )
        self.catalog = self._build_follower(transport, place, times, rng)
        self._turns = self._build_turns(place, rng, metrics)
        self.quotas = self._turns.quotas
        self.forwarder = Forwarder(self._build_runners(protocol, place, rng, metrics), self._turns)
        self._add_gauges(metrics)
        self.zones.add_gauges(metrics)

    def _build_follower(
        self, transport: Transport, place: NodePlace, times: CatalogTimes, rng: random.Random
    ) -> CatalogFollower:
        return CatalogFollower(
            FollowerPaths(
                transport, self._requests, self.host_locations, self._requests.is_relay_only
            ),
            self.directory,
            _CatalogTaker(self),
            place.address,
            times,
            rng,
            self._policy.shared_reading,
        )

    def _build_table(self) -> RunnerTable:
        table = RunnerTable(filter=self.zones.filter, cold=ColdRunnerTracker(clock=_loop_time))
        self.zones.on_zone_opened.append(table.cold.reopen)
        return table

    def _build_turns(
        self, place: NodePlace, rng: random.Random, metrics: ServiceMetrics
    ) -> TurnPorts:
        """What a request needs of the turn log; each start draws a new incarnation."""
        leaders = GroupClient(
            self._requests,
            rng,
            self._groups.count,
            self.directory.resolve,
            self.directory.node_ids,
            lambda group: self.directory.node_ids_in(self._groups.home_zones(group)),
            self._requests.expected_round_trip_s,
        )
        home_group = self._groups.home_group_of_zone(place.zone)
        client = TurnClient(rng, leaders, self._refuses_alone, home_group)
        incarnation = f"{place.address}/{rng.getrandbits(48):012x}"
        quotas = QuotaClient(incarnation, client, metrics, self._groups)
        transcripts = TranscriptCache(TRANSCRIPT_BYTES)
        locator = GroupLocator(self._groups, home_group)
        return TurnPorts(client, transcripts, metrics, quotas, self._policy, locator)

    def _build_runners(
        self,
        protocol: RunnerProtocol,
        place: NodePlace,
        rng: random.Random,
        metrics: ServiceMetrics,
    ) -> RunnerPorts:
        """What an attempt needs to reach a runner."""
        return RunnerPorts(
            self._table,
            self._pool,
            protocol,
            place.zone,
            str(place.address),
            rng,
            metrics,
            self._policy,
            PermitClient(self._turns.client, metrics),
            place.places,
        )

    def _note_replicas(self) -> None:
        """Remember where replica machines are located."""
        for replica in self.directory.by_name.values():
            self.host_locations.put(replica.address.host, replica.zone)

    def _other_nodes(self) -> list[Address]:
        return self.catalog.fronts if self._policy.relays else []

    def _refuses_alone(self) -> bool:
        return self._policy.refusal_when_isolated and self._requests.is_isolated

    def _add_gauges(self, metrics: ServiceMetrics) -> None:
        """Add gauges that are read when metrics are scraped."""
        opened = metrics.gauge("bendshed_open_requests", "Requests under way")
        opened.set_function(lambda: self.forwarder.num_open)
        ready = metrics.gauge("bendshed_ready", "1 while new clients may be sent here")
        ready.set_function(lambda: float(self.is_ready))
        relayed = metrics.gauge("bendshed_requests_relayed", "Answers that came through others")
        relayed.set_function(lambda: float(self._requests.num_relayed))
        doubled = metrics.gauge(
            "bendshed_requests_doubled", "Requests that went directly and through others"
        )
        doubled.set_function(lambda: float(self._requests.num_doubled))
        ends = metrics.gauge("bendshed_turn_ends_pending", "Ends of turns to be committed")
        ends.set_function(lambda: float(self._turns.ends.num_pending))
        fresh = metrics.gauge(
            "bendshed_catalog_fresh", "1 while replica machines read for this node"
        )
        fresh.set_function(lambda: float(self.catalog.is_fresh))
        version = metrics.gauge("bendshed_configuration_version", "Configuration applied")
        version.set_function(self._version)
        runners = metrics.labelled_gauge("bendshed_runners", "Runners by state", "state")
        for state in ObservedState:
            runners.labels(state.value).set_function(partial(self._table.count, state))
        cold = metrics.gauge("bendshed_cold_runners", "Listed runners that are cold")
        cold.set_function(lambda: float(self._table.cold.num_cold))

    def _version(self) -> float:
        index = self.forwarder.index
        return float(index.document.version) if index is not None else 0.0

    @property
    def is_ready(self) -> bool:
        """Whether new clients may be sent here."""
        knows = self.forwarder.index is not None
        return knows and not self.is_draining and not self._has_lost_turns()

    def _has_lost_turns(self) -> bool:
        if self._turns.client.is_isolated:
            return True
        unreachable_since_s = self._turns.client.unreachable_since_s
        if unreachable_since_s is None:
            return False
        return asyncio.get_running_loop().time() - unreachable_since_s > TURNS_LOST_S

    async def watch_turn_log(self) -> None:
        """Find the leaders at the start; probe while no replica answers.

        A node becomes ready again by that. A region that is cut off must not hold it up.
        """
        await self._knows_replicas.wait()
        client = self._turns.client
        loop = asyncio.get_running_loop()
        others = self._groups.other_ids(client.home_group)
        looking = [loop.create_task(client.find_leader(group)) for group in others]
        try:
            await client.find_leader(client.home_group)
            while True:
                await asyncio.sleep(PROBE_INTERVAL_S)
                # A request that its caller gave up tells of a failed path and of no loss; while the
                # node rejects turns as isolated, only a probe can show that others answer again.
                if client.unreachable_since_s is not None or client.is_isolated:
                    await client.probe()
        finally:
            for task in looking:
                task.cancel()

    def take_document(self, document: ServiceDocument) -> bool:
        """Apply a newer document; an older one changes nothing."""
        index = self.forwarder.index
        before = index.document.version if index is not None else None
        if before is not None and document.version <= before:
            return False
        self.forwarder.index = RouteIndex(document)
        self._table.cold.take_document(document)
        self.catalog.note_known(document.version, 0)
        log.say(
            "configuration in force",
            version=document.version,
            before=before,
            routes=len(document.routes),
        )
        for who, regions in unknown_regions(document, self._places).items():
            log.say("allowed regions without a zone", who=who, regions=regions)
        self.on_document(document)
        return True

    @property
    def is_isolated(self) -> bool:
        """Whether no other node has answered for a while, on any path."""
        return self._turns.client.is_isolated

    def list_runners(self, runners: Collection[ServiceRunner], trusted: bool) -> None:
        """Take the whole list of runners; see ``remove_runner`` for ``trusted``."""
        listed = {runner.runner_id for runner in runners}
        for runner_id in [name for name in self._table.by_id if name not in listed]:
            self.remove_runner(runner_id, trusted)
        for runner in runners:
            self.put_runner(runner)

    def put_runner(self, runner: ServiceRunner) -> None:
        """Take one runner's state."""
        self.host_locations.put(runner.address.host, runner.zone)
        self._table.put(runner)

    def remove_runner(self, runner_id: str, trusted: bool) -> None:
        """A runner is not listed any more; ``trusted``: the list's keeper is well."""
        record = self._table.by_id.get(runner_id)
        self._table.remove(runner_id, asyncio.get_running_loop().time(), trusted)
        if record is not None and trusted:
            self._pool.forget(record.listed.address)

    def take_zones(self, update: ZoneUpdate) -> None:
        """Take which zones are closed; an older update changes nothing.

        Requests under way there end; nothing new is dispatched there from here on.
        """
        self.zones.take(update)
        self._table.filter = self.zones.filter
        self.catalog.note_zones(update.zones.revision)

    def confirm_zones(self, age_s: float) -> None:
        """The registry confirmed everything so long ago, closed zones perhaps somewhat earlier."""
        if self._zones_lag_s is not None:
            self.zones.confirm(age_s + self._zones_lag_s)

    def start_drain(self) -> None:
        """Be not ready from now on; what comes is still served."""
        self.is_draining = True
        log.say("draining", open=self.forwarder.num_open)

    async def finish_late_turns(self) -> None:
        """Wait for the ends of turns that no caller waits for."""
        await self._turns.finish_late()

    def close(self) -> None:
        """Close idle connections to runners; log what is left of turns."""
        self._turns.ends.log_left()
        self._pool.close()


class _CatalogTaker:
    """Passes updates on to the node; revisions are the follower's matter."""

    def __init__(self, node: ServiceNode) -> None:
        self._node = node

    def take_document(self, document: ServiceDocument) -> bool:
        """Take a configuration; an older one changes nothing."""
        return self._node.take_document(document)

    def put_runner(self, known: KnownRunner) -> None:
        """Take one runner's state."""
        self._node.put_runner(known.runner)

    def remove_runner(self, runner_id: str, _at: int, is_trusted: bool) -> None:
        """A runner is not listed any more."""
        self._node.remove_runner(runner_id, is_trusted)

    def list_runners(self, runners: list[KnownRunner], _at: int, is_trusted: bool) -> None:
        """Take the whole list."""
        self._node.list_runners([known.runner for known in runners], is_trusted)

    def take_zones(self, update: ZoneUpdate) -> None:
        """Take which zones are closed."""
        self._node.take_zones(update)

    def confirm_all(self, age_s: float, _runners_at: int) -> None:
        """Only the age of closed zones is used here."""
        self._node.confirm_zones(age_s)


def _loop_time() -> float:
    """Steady time of the running loop."""
    return asyncio.get_running_loop().time()
