"""Answers nodes that request the catalog of a replica machine."""

import asyncio
from collections.abc import Callable

from bendshed.catalog.codec import add_zones, make_reply
from bendshed.catalog.demand import Demand
from bendshed.catalog.messages import ReadRequest, decode_request, part_ages_to_wire
from bendshed.catalog.relay_list import RelayList
from bendshed.catalog.replica_catalog import ReplicaCatalog
from bendshed.catalog.upstream import Upstream
from bendshed.consensus.directory import ReplicaDirectory, to_wire
from bendshed.model.address import Address
from bendshed.paths.host_locations import HostLocations
from bendshed.ports.transport import Transport
from bendshed.wire import catalog_pb2 as wire

CATALOG_METHOD = "catalog.read"
NO_ENDS_VERSION = 0
"""Version of the ends of runners at a machine that knows none."""


class CatalogServer:
    """Sends each requesting node what it lacks, at once or after the next change."""

    def __init__(
        self,
        catalog: ReplicaCatalog,
        directory: ReplicaDirectory,
        demand: Demand,
        relay_list: RelayList,
        host_locations: HostLocations,
        upstream: Upstream,
        ends_version: Callable[[], int] = lambda: NO_ENDS_VERSION,
    ) -> None:
        self._catalog = catalog
        self._directory = directory
        self._demand = demand
        self._relay_list = relay_list
        self._host_locations = host_locations
        self._upstream = upstream
        self._ends_version = ends_version

    def start(self, transport: Transport) -> None:
        """Register the request handler."""
        transport.handlers[CATALOG_METHOD] = self.handle

    async def handle(self, payload: bytes) -> bytes:
        """Reply to an encoded request; with nothing new, wait for a change as long as allowed."""
        request = decode_request(payload)
        self._record_requester(request)
        if not self._has_changes(request):
            await self._catalog.wait_for_change(request.wait_s)
        return self._reply(request).SerializeToString()

    def _record_requester(self, request: ReadRequest) -> None:
        """Record the requesting node, its zone, and whether it is cut off."""
        if self._demand.record_request(request):
            self._catalog.schedule_save()
        self._host_locations.put(request.requester.host, request.requester_zone)
        if not request.is_replica:
            self._relay_list.note_requester(request.requester, request.is_cut_off)
        self._demand.update_pace()

    def _has_changes(self, request: ReadRequest) -> bool:
        """Whether something is new for a node, so that it gets its reply at once."""
        catalog, zones = self._catalog.catalog, self._catalog.zones.record
        is_newer = catalog.version > request.document_version
        is_newer = is_newer or zones.changed_revision > request.zones_at
        if is_newer or self._is_lost_for(request) or self._has_directory_changed(request):
            return True
        if request.runners_at > catalog.runners_at:
            return False
        if self._adds_versions(request):
            return True
        return catalog.has_changes_since(request.runners_at)

    def _adds_versions(self, request: ReadRequest) -> bool:
        """Whether a node needs the whole list again, for what its entries of runners lack."""
        catalog = self._catalog.catalog
        lacks_version = request.lacks_software_versions and not catalog.lacks_software_versions
        return lacks_version or (request.lacks_births and not catalog.lacks_births)

    def _has_directory_changed(self, request: ReadRequest) -> bool:
        return self._directory.digest() != request.directory_digest

    def _reply(self, request: ReadRequest) -> wire.CatalogReply:
        since = 0 if self._adds_versions(request) else request.runners_at
        reply = make_reply(self._catalog.catalog, since, request.document_version)
        now_s = asyncio.get_running_loop().time()
        add_zones(reply, self._catalog.zones.record.make_update(now_s), request.zones_at)
        reply.age_ms = self._catalog.confirmations.age_ms()
        reply.part_ages.CopyFrom(part_ages_to_wire(self._catalog.confirmations.ages_s()))
        reply.num_askers = max(
            self._demand.num_dependents, self._upstream.num_dependents_across_regions
        )
        reply.is_lost = self._is_lost_for(request)
        reply.ends_version = self._ends_version()
        self._add_directory(reply, request)
        if not request.is_replica:
            reply.fronts.extend(self._relays_for(request.requester))
        return reply

    def _relays_for(self, requester: Address) -> list[wire.PeerAddress]:
        return self._relay_list.choose_for(requester, self._demand.front_requested_at_s)

    def _is_lost_for(self, request: ReadRequest) -> bool:
        """Whether a node must follow another machine, since this one lost the registry.

        A machine that lost the registry and follows one of another region may serve fronts, which
        no machine follows. Replica machines must not follow it, since it may follow them.
        """
        is_updated = self._upstream.is_updated_across_regions
        return self._catalog.is_lost and (request.is_replica or not is_updated)

    def _add_directory(self, reply: wire.CatalogReply, request: ReadRequest) -> None:
        """Add the replica machines, unless the node knows the current directory."""
        reply.directory_digest = self._directory.digest()
        if reply.directory_digest == request.directory_digest:
            return
        reply.has_directory = True
        reply.replicas.extend(to_wire(node) for node in self._directory.by_name.values())
        reply.knows_retiring = self._directory.knows_retiring
        reply.retiring.extend(sorted(self._directory.retiring))
