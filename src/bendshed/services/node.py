"""A node that forwards requests: builds its components and applies updates to them."""

import asyncio
import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import partial

from bendshed.catalog.cold_runner_tracker import ColdRunnerTracker
from bendshed.catalog.confirmations import ConfirmationAge
from bendshed.catalog.document_exchange import send_document
from bendshed.catalog.follower import CatalogFollower, FollowerPaths
from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.quarantine_client import QuarantineClient
from bendshed.catalog.quarantine_messages import ENDS_METHOD
from bendshed.catalog.server import CATALOG_METHOD
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.zones import ClosedZoneTracker
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
from bendshed.policy import ALL_ENABLED, Policy
from bendshed.ports.runner import RunnerProtocol
from bendshed.ports.runner_connections import RunnerConnections
from bendshed.ports.transport import Transport
from bendshed.services.attempts import RunnerPorts
from bendshed.services.confirmed_span import ConfirmedSpan
from bendshed.services.forwarder import Forwarder
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.permit_client import PermitClient
from bendshed.services.quota_client import QuotaClient
from bendshed.services.runners import ObservedState, RunnerTable
from bendshed.services.turn_record import TurnPorts
from bendshed.turns.client import TranscriptCache, TurnClient
from bendshed.turns.group_locator import GroupLocator
from bendshed.turns.methods import PREVIEW_METHOD, QUOTA_METHOD, RUNNER_METHOD, TURN_METHOD

TRANSCRIPT_CACHE_BYTES = 16 * 1024 * 1024
TURN_LOG_LOST_AFTER_S = 1.5
"""A node that got no answer from any replica of the turn log for this long is not ready, so that
clients use other nodes."""
PROBE_INTERVAL_S = 0.4
RELAYED_METHODS = frozenset(
    {TURN_METHOD, PREVIEW_METHOD, QUOTA_METHOD, RUNNER_METHOD, CATALOG_METHOD, ENDS_METHOD}
)
"""Idempotent methods, whose requests may also be relayed through another node."""

log = PartLog("node")


@dataclass(frozen=True, slots=True)
class NodeLocation:
    """Zone and address of a node.

    Attributes:
        places: regions of all zones.

    """

    zone: str
    address: Address
    places: Places = field(default_factory=Places)


class ServiceNode:
    """The components of a node, without its listeners and process.

    Invariants: a document is replaced only by a newer one; a node is not ready while it has no
    document, drains, or gets no answer from any replica of the turn log.

    Attributes:
        directory: addresses of the turn log's replicas.
        host_locations: zones of other nodes, by host.
        catalog: requests the configuration and the runners from replica machines.
        forwarder: serves requests.
        quotas: admits requests within the quota of each tenant.
        zones: zones that operators closed.
        configuration_age: since the registry confirmed the configuration, read or received.
        on_document: called with each document that comes into force.

    """

    def __init__(
        self,
        transport: Transport,
        connections: RunnerConnections,
        protocol: RunnerProtocol,
        location: NodeLocation,
        times: CatalogTimes,
        rng: random.Random,
        metrics: ServiceMetrics,
        policy: Policy = ALL_ENABLED,
        groups: TurnGroups = ONE_GROUP,
    ) -> None:
        self.directory = ReplicaDirectory()
        self.host_locations = HostLocations(location.zone, location.places)
        self.directory.on_change.append(self._record_replica_locations)
        self._knows_replicas = asyncio.Event()
        self.directory.on_change.append(self._knows_replicas.set)
        self.on_document: Callable[[ServiceDocument], None] = lambda _document: None
        self.is_draining = False
        self.configuration_age = ConfirmationAge()
        self._policy = policy
        self._groups = groups
        self._places = location.places
        self._pool = connections
        self.zones = ClosedZoneTracker(location.places)
        self._table = self._build_table(times)
        self._relayed_requests = RelayedRequests(
            transport, rng, self._other_nodes, RELAYED_METHODS, self.host_locations
        )
        self.catalog = self._build_follower(transport, location, times, rng)
        self.catalog.on_older_document = partial(self._send_document, transport)
        self._share_quarantine(transport, location)
        self._turn_ports = self._build_turn_ports(location, rng, metrics)
        self.quotas = self._turn_ports.quotas
        self.forwarder = Forwarder(
            self._build_runner_ports(protocol, location, rng, metrics), self._turn_ports
        )
        self._add_gauges(metrics)
        self.zones.add_gauges(metrics)

    def _build_follower(
        self, transport: Transport, location: NodeLocation, times: CatalogTimes, rng: random.Random
    ) -> CatalogFollower:
        return CatalogFollower(
            FollowerPaths(
                transport,
                self._relayed_requests,
                self.host_locations,
                self._relayed_requests.is_relay_only,
            ),
            self.directory,
            _CatalogReceiver(self),
            location.address,
            times,
            rng,
            self._policy.shared_reading,
        )

    def _send_document(self, transport: Transport, machine: Address) -> None:
        if self.forwarder.index is not None:
            send_document(transport, machine, self.forwarder.index.document)

    def _build_table(self, times: CatalogTimes) -> RunnerTable:
        table = RunnerTable(
            filter=self.zones.filter,
            cold=ColdRunnerTracker(clock=_loop_time),
            confirmed=ConfirmedSpan(times.silence_s),
        )
        self.zones.on_zone_opened.append(table.cold.note_zone_reopened)
        return table

    def _share_quarantine(self, transport: Transport, location: NodeLocation) -> None:
        """Exchange with other nodes under which requests runners ended."""
        quarantine = self._table.quarantine
        quarantine.own_address = str(location.address)
        client = QuarantineClient(
            self._relayed_requests, transport, self._replicas_for_reports, quarantine
        )
        quarantine.reporter = client
        self.catalog.on_ends_version = client.note_version

    def _replicas_for_reports(self) -> list[Address]:
        """Replica machines, the one that this node follows first, since all others follow it."""
        followed = self.catalog.upstream.machine
        addresses = [node.address for node in self.directory.by_name.values()]
        return sorted(addresses, key=lambda address: address != followed)

    def _build_turn_ports(
        self, location: NodeLocation, rng: random.Random, metrics: ServiceMetrics
    ) -> TurnPorts:
        """Build what turns need of the turn log; each start draws a new incarnation."""
        leaders = GroupClient(
            self._relayed_requests,
            rng,
            self._groups.count,
            self.directory.resolve,
            self.directory.node_ids,
            lambda group: self.directory.node_ids_in(self._groups.home_zones(group)),
            self._relayed_requests.expected_round_trip_s,
        )
        home_group = self._groups.home_group_of_zone(location.zone)
        client = TurnClient(rng, leaders, self._refuses_when_isolated, home_group)
        incarnation = f"{location.address}/{rng.getrandbits(48):012x}"
        quotas = QuotaClient(incarnation, client, metrics, self._groups)
        transcripts = TranscriptCache(TRANSCRIPT_CACHE_BYTES)
        locator = GroupLocator(self._groups, home_group)
        return TurnPorts(client, transcripts, metrics, quotas, self._policy, locator)

    def _build_runner_ports(
        self,
        protocol: RunnerProtocol,
        location: NodeLocation,
        rng: random.Random,
        metrics: ServiceMetrics,
    ) -> RunnerPorts:
        """Build what attempts need to reach a runner."""
        return RunnerPorts(
            self._table,
            self._pool,
            protocol,
            location.zone,
            str(location.address),
            rng,
            metrics,
            self._policy,
            PermitClient(self._turn_ports.client, metrics),
            location.places,
        )

    def _record_replica_locations(self) -> None:
        """Record the zones of replica machines."""
        for replica in self.directory.by_name.values():
            self.host_locations.put(replica.address.host, replica.zone)

    def _other_nodes(self) -> list[Address]:
        return self.catalog.fronts if self._policy.relays else []

    def _refuses_when_isolated(self) -> bool:
        return self._policy.refusal_when_isolated and self._relayed_requests.is_isolated

    def _add_gauges(self, metrics: ServiceMetrics) -> None:
        """Add gauges that are evaluated when metrics are scraped."""
        open_requests = metrics.gauge("bendshed_open_requests", "Requests under way")
        open_requests.set_function(lambda: self.forwarder.num_open)
        ready = metrics.gauge("bendshed_ready", "1 while new clients may be sent here")
        ready.set_function(lambda: float(self.is_ready))
        relayed = metrics.gauge("bendshed_requests_relayed", "Answers that came through others")
        relayed.set_function(lambda: float(self._relayed_requests.num_relayed))
        doubled = metrics.gauge(
            "bendshed_requests_doubled", "Requests that went directly and through others"
        )
        doubled.set_function(lambda: float(self._relayed_requests.num_doubled))
        ends = metrics.gauge("bendshed_turn_ends_pending", "Ends of turns to be committed")
        ends.set_function(lambda: float(self._turn_ports.ends.num_pending))
        fresh = metrics.gauge(
            "bendshed_catalog_fresh", "1 while replica machines read for this node"
        )
        fresh.set_function(lambda: float(self.catalog.is_fresh))
        version = metrics.gauge("bendshed_configuration_version", "Configuration applied")
        version.set_function(self._version)
        age = metrics.gauge(
            "bendshed_configuration_age_seconds", "Since the registry confirmed it; -1: never"
        )
        age.set_function(self.configuration_age.read)
        runners = metrics.labelled_gauge("bendshed_runners", "Runners by state", "state")
        for state in ObservedState:
            runners.labels(state.value).set_function(partial(self._table.count, state))
        ended = metrics.gauge(
            "bendshed_requests_with_ended_runners", "Requests under which runners ended, as known"
        )
        ended.set_function(lambda: float(len(self._table.quarantine.ledger)))
        cold = metrics.gauge("bendshed_cold_runners", "Listed runners that are cold")
        cold.set_function(lambda: float(self._table.cold.num_cold))

    def _version(self) -> float:
        index = self.forwarder.index
        return float(index.document.version) if index is not None else 0.0

    @property
    def is_ready(self) -> bool:
        """Whether new clients may be routed to this node."""
        has_routes = self.forwarder.index is not None
        return has_routes and not self.is_draining and not self._has_lost_turn_log()

    def _has_lost_turn_log(self) -> bool:
        if self._turn_ports.client.is_isolated:
            return True
        unreachable_since_s = self._turn_ports.client.unreachable_since_s
        if unreachable_since_s is None:
            return False
        return asyncio.get_running_loop().time() - unreachable_since_s > TURN_LOG_LOST_AFTER_S

    async def watch_turn_log(self) -> None:
        """Find the leaders at the start; probe while no replica answers.

        A successful probe makes the node ready again. Leaders of other groups are searched
        concurrently, so that a region that is cut off does not delay the node.
        """
        await self._knows_replicas.wait()
        client = self._turn_ports.client
        loop = asyncio.get_running_loop()
        others = self._groups.other_ids(client.home_group)
        searches = [loop.create_task(client.find_leader(group)) for group in others]
        try:
            await client.find_leader(client.home_group)
            while True:
                await asyncio.sleep(PROBE_INTERVAL_S)
                # A request that its caller gave up shows that a path failed, not that the turn log
                # is lost.
                # While the node rejects turns as isolated, only a probe shows that others answer.
                if client.unreachable_since_s is not None or client.is_isolated:
                    await client.probe()
        finally:
            for task in searches:
                task.cancel()

    def apply_document(self, document: ServiceDocument) -> bool:
        """Apply a newer document and return ``True``; an older one changes nothing."""
        index = self.forwarder.index
        before = index.document.version if index is not None else None
        if before is not None and document.version <= before:
            return False
        self.forwarder.index = RouteIndex(document)
        self._table.cold.apply_document(document)
        self.catalog.note_revisions(document.version, 0)
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
        """Whether no other node has answered for some time on any path."""
        return self._turn_ports.client.is_isolated

    def replace_runners(
        self, runners: Collection[ServiceRunner], last_resort_s: float = 0.0
    ) -> None:
        """Replace the list of runners; see ``remove_runner`` for ``last_resort_s``."""
        listed = {runner.runner_id for runner in runners}
        for runner_id in [name for name in self._table.by_id if name not in listed]:
            self.remove_runner(runner_id, last_resort_s)
        for runner in runners:
            self.put_runner(runner)

    def note_runners_read(self, revision: int) -> None:
        """Record that the node itself has read the list of runners, up to a revision."""
        self.catalog.note_registry_read(revision)
        self._table.confirm_list(0.0)

    @property
    def runners_confirmed_s(self) -> float:
        """Loop time at which the registry last confirmed the list; minus infinity: never."""
        return self._table.confirmed.until_s

    def confirm_runners(self, age_s: float) -> None:
        """Record that the registry confirmed the list of runners ``age_s`` ago."""
        self._table.confirm_list(age_s)

    def put_runner(self, runner: ServiceRunner) -> None:
        """Add or update one runner."""
        self.host_locations.put(runner.address.host, runner.zone)
        self._table.put(runner)

    def remove_runner(self, runner_id: str, last_resort_s: float = 0.0) -> None:
        """Remove a runner that is no longer listed.

        ``last_resort_s``: for how long it is used if no other is listed; 0: it has left.
        """
        record = self._table.by_id.get(runner_id)
        self._table.remove(runner_id, asyncio.get_running_loop().time(), last_resort_s)
        if record is not None and runner_id not in self._table.by_id:
            self._pool.close_idle(record.listed.address)

    def apply_zones(self, update: ZoneUpdate) -> None:
        """Apply an update of the closed zones; an older update changes nothing.

        Requests already running there complete; no new request is dispatched there.
        """
        self.zones.apply(update)
        self._table.filter = self.zones.filter
        self.catalog.note_zones_revision(update.zones.revision)

    def start_drain(self) -> None:
        """Report not ready from now on; requests that still arrive are served."""
        self.is_draining = True
        log.say("draining", open=self.forwarder.num_open)

    async def finish_background_work(self) -> None:
        """Wait for pending begins and ends of turns that no caller waits for."""
        await self._turn_ports.finish_background_work()

    def close(self) -> None:
        """Close idle connections to runners; log uncommitted turn ends."""
        self._turn_ports.ends.log_uncommitted()
        self._pool.close()


class _CatalogReceiver:
    """Passes updates on to the node; the follower handles revisions."""

    def __init__(self, node: ServiceNode) -> None:
        self._node = node

    def apply_document(self, document: ServiceDocument) -> bool:
        """Apply a configuration; an older one changes nothing."""
        return self._node.apply_document(document)

    def put_runner(self, known: KnownRunner) -> None:
        """Add or update one runner."""
        self._node.put_runner(known.runner)

    def remove_runner(self, runner_id: str, _at: int, last_resort_s: float) -> None:
        """Remove a runner that is no longer listed."""
        self._node.remove_runner(runner_id, last_resort_s)

    def replace_runners(self, runners: list[KnownRunner], _at: int, last_resort_s: float) -> None:
        """Replace the list of runners."""
        self._node.replace_runners([known.runner for known in runners], last_resort_s)

    def apply_zones(self, update: ZoneUpdate) -> None:
        """Apply an update of the closed zones."""
        self._node.apply_zones(update)

    def confirm_received(self, part: CatalogPart, age_s: float, _runners_at: int) -> None:
        """Use the ages of the configuration, the runners and the closed zones."""
        match part:
            case CatalogPart.DOCUMENT:
                self._node.configuration_age.confirm(age_s)
            case CatalogPart.RUNNERS:
                self._node.confirm_runners(age_s)
            case CatalogPart.ZONES:
                self._node.zones.confirm(age_s)

    def age_s(self, _part: CatalogPart) -> float:
        """A front follows no retirements, and uses what any machine says of the others."""
        return math.inf


def _loop_time() -> float:
    """Monotonic time of the running loop."""
    return asyncio.get_running_loop().time()
