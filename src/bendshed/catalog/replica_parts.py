"""Builds the parts of a replica machine's catalog, and runs them."""

import asyncio
import math
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from bendshed.catalog.codec import StoredCatalog
from bendshed.catalog.demand import SILENT_FRONT_EXPIRY_S, Demand
from bendshed.catalog.document_exchange import DocumentReceiver, send_document
from bendshed.catalog.follower import CatalogFollower, FollowerPaths
from bendshed.catalog.front_exchange import FrontExchange
from bendshed.catalog.persistence import CatalogPersistence
from bendshed.catalog.quarantine_client import QuarantineClient
from bendshed.catalog.quarantine_server import QuarantineServer
from bendshed.catalog.relay_list import RelayList
from bendshed.catalog.replica_catalog import ReplicaCatalog
from bendshed.catalog.server import CatalogServer
from bendshed.catalog.times import CatalogTimes
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.paths.host_locations import HostLocations
from bendshed.policy import Policy
from bendshed.ports.catalog_storage import CatalogStorage
from bendshed.ports.transport import Transport

SHARE_INTERVAL_S = 1.0
"""Fronts are named to the other replica machines, and silent nodes forgotten, this often."""

log = PartLog("catalog")


@dataclass(frozen=True, slots=True)
class CatalogDependencies:
    """Objects that a replica machine's catalog shares with the rest of the process.

    Attributes:
        own_address: this machine's address.

    """

    transport: Transport
    directory: ReplicaDirectory
    host_locations: HostLocations
    own_address: Address
    storage: CatalogStorage


class ReplicaCatalogParts:
    """The catalog, its dependent nodes, its server, and the follower of another machine.

    Attributes:
        catalog: what this machine knows.
        demand: which nodes depend on this machine, and how often it reads the registry for them.
        follower: requests the catalog of another machine, so that one reads the registry for all.
        server: answers nodes that request the catalog.

    """

    def __init__(
        self,
        dependencies: CatalogDependencies,
        times: CatalogTimes,
        policy: Policy,
        rng: random.Random,
    ) -> None:
        self._dependencies = dependencies
        self._persistence = CatalogPersistence(dependencies.storage, policy.kept_catalog)
        self.catalog = ReplicaCatalog(self._persistence, times, dependencies.host_locations.places)
        self.demand = Demand(times)
        self._relay_list = RelayList(dependencies.host_locations, rng, times.interval_s)
        self._exchange = FrontExchange(
            dependencies.transport,
            dependencies.directory,
            dependencies.own_address,
            self.demand,
            self._relay_list,
            self._persistence,
            lambda: self.catalog.registry_fails_partly,
        )
        self.follower = CatalogFollower(
            FollowerPaths(
                dependencies.transport, dependencies.transport, dependencies.host_locations
            ),
            dependencies.directory,
            self.catalog,
            dependencies.own_address,
            times,
            rng,
            may_share=policy.shared_reading and policy.replicas_follow,
            num_dependent_fronts=lambda: self.demand.num_fronts,
            is_replica=True,
        )
        self._quarantine = QuarantineServer(
            dependencies.transport,
            dependencies.directory,
            self.demand,
            dependencies.own_address,
            self._exchange.all_fronts,
            dependencies.host_locations.is_far,
        )
        quarantine_client = QuarantineClient(
            dependencies.transport, dependencies.transport, list, self._quarantine
        )
        self.follower.on_ends_version = quarantine_client.note_version
        self.follower.on_older_document = self._send_document
        self._document_receiver = DocumentReceiver(
            self.catalog,
            dependencies.directory,
            dependencies.transport,
            dependencies.own_address,
            lambda version: self.follower.note_revisions(version, 0),
        )
        self.server = CatalogServer(
            self.catalog,
            dependencies.directory,
            self.demand,
            self._relay_list,
            dependencies.host_locations,
            self.follower.upstream,
            lambda: self._quarantine.version,
        )

    def start(self) -> None:
        """Begin to answer requests from the stored catalog."""
        self._persistence.start()
        self.catalog.start()
        # Before the stored replicas: otherwise an older announcement makes a live voter count as
        # lost.
        self._dependencies.directory.wiped.update(self._persistence.stored.lost)
        self._dependencies.directory.proven_lost.update(self._persistence.stored.proven_lost)
        for node in self._persistence.stored.replicas:
            self._dependencies.directory.put(node)
        self._dependencies.directory.on_change.append(self.catalog.notify_change)
        self.catalog.schedule_save()
        self.server.start(self._dependencies.transport)
        self._exchange.start()
        self._document_receiver.start()
        self._quarantine.start()
        catalog, zones_at = self.catalog.catalog, self.catalog.zones.record.zones.revision
        log.say(
            "loaded at start",
            version=catalog.version,
            runners_at=catalog.runners_at,
            zones_at=zones_at,
        )
        self.follower.note_revisions(catalog.version, catalog.runners_at)
        self.follower.note_zones_revision(zones_at)

    def _send_document(self, machine: Address) -> None:
        document = self.catalog.catalog.document
        if document is not None:
            send_document(self._dependencies.transport, machine, document)

    def background_loops(self) -> list[Coroutine[Any, Any, None]]:
        """Coroutines that run in the background until cancelled."""
        return [
            self._exchange.send_hellos(),
            self._run_maintenance(),
            self._persistence.run(self._snapshot),
            self.follower.run(),
        ]

    async def _run_maintenance(self) -> None:
        """Forget silent nodes, adapt the read interval, name fronts to the other machines."""
        zones = self.catalog.zones.record
        while True:
            await asyncio.sleep(SHARE_INTERVAL_S)
            fails_partly = self.catalog.registry_fails_partly
            self.demand.expire_silent(keep_fronts=fails_partly)
            # While the registry is lost, fronts are known only to the machines that keep them.
            self._relay_list.forget_unnamed(math.inf if fails_partly else SILENT_FRONT_EXPIRY_S)
            self._relay_list.retain_only(self.demand.front_requested_at_s)
            if zones.forget_old(asyncio.get_running_loop().time()):
                self.catalog.schedule_save()
            self.demand.update_pace()
            self._exchange.share_fronts()

    def _snapshot(self) -> StoredCatalog:
        """The content to save now."""
        return StoredCatalog(
            self.catalog.catalog,
            tuple(self._dependencies.directory.by_name.values()),
            self._exchange.all_fronts(),
            self.catalog.zones.record.make_update(asyncio.get_running_loop().time()),
            tuple(sorted(self._dependencies.directory.wiped)),
            tuple(sorted(self._dependencies.directory.proven_lost)),
        )
