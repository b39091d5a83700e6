"""Encodes the catalog as protobuf; the document inside it is JSON (msgspec), deflated."""

import zlib
from dataclasses import dataclass, field

import msgspec
from google.protobuf.message import DecodeError

from bendshed.catalog.state import Catalog, KnownRunner, Removal
from bendshed.consensus.directory import from_wire, to_wire
from bendshed.model.address import Address
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.model.service_document import ServiceDocument
from bendshed.placement.zones import ClosedZones, ZoneUpdate
from bendshed.ports.registry import ReplicaNode
from bendshed.wire import catalog_pb2 as wire

JSON_PREFIX = b"{"
"""First byte of a document that an earlier version of the program saved as plain JSON."""


class DocumentDecodeError(Exception):
    """The bytes are not a document that this version of the program can decode."""


def address_to_wire(address: Address, zone: str = "") -> wire.PeerAddress:
    """Convert an address to its wire message."""
    return wire.PeerAddress(host=address.host, port=address.port, zone=zone)


def address_from_wire(address: wire.PeerAddress) -> Address:
    """Convert an address from its wire message."""
    return Address(address.host, address.port)


def encode_document(document: ServiceDocument) -> bytes:
    """Encode and deflate a document; routes and tenants are similar and compress well."""
    return zlib.compress(msgspec.json.encode(document))


def decode_document(content: bytes) -> ServiceDocument:
    """Decode a document, deflated or plain JSON; raise ``DocumentDecodeError``."""
    try:
        plain = content if content.startswith(JSON_PREFIX) else zlib.decompress(content)
        return msgspec.json.decode(plain, type=ServiceDocument)
    except (zlib.error, msgspec.DecodeError) as error:
        raise DocumentDecodeError(str(error)) from error


def make_reply(catalog: Catalog, since: int, known_version: int) -> wire.CatalogReply:
    """Build the part of a reply that a node lacks.

    Args:
        catalog: what this machine knows.
        since: revision up to which the node knows the runners.
        known_version: version of the configuration that the node knows.

    """
    reply = wire.CatalogReply(document_version=catalog.version)
    if catalog.document is not None and catalog.version > known_version:
        reply.document = catalog.encoded_document(encode_document)
    if catalog.runners_at:
        changes = catalog.changes_since(since)
        reply.has_runners = True
        reply.since = changes.since
        reply.runners_at = changes.revision
        reply.runners.extend(
            _runner_to_wire(known, catalog.cold.left_ms(known.runner.runner_id))
            for known in changes.runners
        )
        reply.removed.extend(_removal_to_wire(removal) for removal in changes.removed)
    return reply


@dataclass(frozen=True, slots=True)
class StoredCatalog:
    """What a replica machine keeps on its disk between restarts.

    Attributes:
        lost: identities of replica machines whose disk is lost according to announcements.
        proven_lost: those whose machine has answered under another identity.

    """

    catalog: Catalog = field(default_factory=Catalog)
    replicas: tuple[ReplicaNode, ...] = ()
    fronts: tuple[Address, ...] = ()
    zones: ZoneUpdate = field(default_factory=ZoneUpdate)
    lost: tuple[str, ...] = ()
    proven_lost: tuple[str, ...] = ()


def encode_stored(stored: StoredCatalog) -> bytes:
    """Encode the stored catalog."""
    reply = make_reply(stored.catalog, since=0, known_version=0)
    reply.replicas.extend(to_wire(node) for node in stored.replicas)
    reply.fronts.extend(address_to_wire(front) for front in stored.fronts)
    add_zones(reply, stored.zones, known_at=0)
    reply.lost.extend(stored.lost)
    reply.proven_lost.extend(stored.proven_lost)
    return reply.SerializeToString()


def decode_stored(content: bytes | None) -> StoredCatalog:
    """Decode the stored catalog; empty if nothing was saved or the content is not decodable."""
    if content is None:
        return StoredCatalog()
    try:
        reply = wire.CatalogReply.FromString(content)
        return StoredCatalog(
            _catalog_from_wire(reply),
            tuple(from_wire(replica) for replica in reply.replicas),
            tuple(address_from_wire(front) for front in reply.fronts),
            zones_from_wire(reply),
            tuple(reply.lost),
            tuple(reply.proven_lost),
        )
    except (DecodeError, DocumentDecodeError):
        return StoredCatalog()


def _catalog_from_wire(reply: wire.CatalogReply) -> Catalog:
    catalog = Catalog()
    if reply.document:
        catalog.apply_document(decode_document(reply.document))
    if reply.has_runners:
        runners = [runner_from_wire(row) for row in reply.runners]
        catalog.replace_runners(runners, reply.runners_at)
    return catalog


def add_zones(reply: wire.CatalogReply, update: ZoneUpdate, known_at: int) -> None:
    """Add the revision of the closed zones, and the zones if the node knows an older revision."""
    reply.zones_at = update.zones.revision
    if update.zones.revision <= known_at:
        return
    reply.closed_zones.extend(sorted(update.zones.closed))
    for zone, ago_s in sorted(update.reopened_ago_s.items()):
        reply.reopened.add(zone=zone, ago_ms=int(ago_s * 1000))


def zones_from_wire(reply: wire.CatalogReply) -> ZoneUpdate:
    """Convert the closed zones of a reply whose revision is above the requesting node's."""
    zones = ClosedZones(reply.zones_at, frozenset(reply.closed_zones))
    return ZoneUpdate(zones, {row.zone: row.ago_ms / 1000 for row in reply.reopened})


def _runner_to_wire(known: KnownRunner, cold_left_ms: int) -> wire.CatalogRunner:
    runner = known.runner
    row = wire.CatalogRunner(
        runner_id=runner.runner_id,
        service=runner.service,
        address=address_to_wire(runner.address),
        zone=runner.zone,
        slots=runner.slots,
        is_draining=runner.state is RunnerState.DRAINING,
        revision=known.revision,
        cold_left_ms=cold_left_ms,
    )
    if known.has_version:
        row.software_version = runner.software_version
    if runner.born_ms is not None:
        row.born_ms = runner.born_ms
    return row


def runner_from_wire(row: wire.CatalogRunner) -> KnownRunner:
    """Convert a runner from its wire message."""
    state = RunnerState.DRAINING if row.is_draining else RunnerState.READY
    runner = ServiceRunner(
        row.runner_id,
        row.service,
        address_from_wire(row.address),
        row.zone,
        row.slots,
        state,
        row.cold_left_ms,
        row.software_version,
        row.born_ms if row.HasField("born_ms") else None,
    )
    return KnownRunner(runner, row.revision, row.HasField("software_version"))


def _removal_to_wire(removal: Removal) -> wire.RemovedRunner:
    return wire.RemovedRunner(
        runner_id=removal.runner_id,
        revision=removal.revision,
        is_trusted=not removal.last_resort_s,
        last_resort_ms=round(1000 * (removal.last_resort_s or 0.0)),
    )


def removal_from_wire(row: wire.RemovedRunner) -> Removal:
    """Convert a removed runner from its wire message."""
    last_resort_s = row.last_resort_ms / 1000 if row.HasField("last_resort_ms") else None
    return Removal(row.runner_id, row.revision, 0.0 if row.is_trusted else last_resort_s)
