"""Requests for the catalog and their replies, decoded once into types.

The wire (``wire/catalog.proto``) has other names for some: ``asker`` is the requesting node,
``num_askers`` how many nodes depend on the machine that replies.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from bendshed.catalog.codec import (
    address_from_wire,
    address_to_wire,
    removal_from_wire,
    runner_from_wire,
    zones_from_wire,
)
from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.state import KnownRunner, Removal
from bendshed.catalog.times import CatalogTimes
from bendshed.consensus.directory import from_wire
from bendshed.model.address import Address
from bendshed.placement.zones import ZoneUpdate
from bendshed.ports.registry import ReplicaNode
from bendshed.wire import catalog_pb2 as wire

NEVER_CONFIRMED_MS = 2**31
"""Age on the wire of a catalog that the registry has not confirmed since its machine started."""


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """What a requesting node knows already, and how long the machine may wait to reply.

    Attributes:
        requester: address of the requesting node.
        requester_zone: empty: not reported.
        runners_at: revision up to which it knows the runners; 0: none.
        document_version: version of its configuration in force; 0: none.
        zones_at: revision up to which it knows the closed zones; 0: none.
        wait_s: longest time to wait for a change before the reply.
        directory_digest: of the directory that the same machine sent last; 0: none.
        is_replica: it is a replica machine and relays nothing.
        is_cut_off: it reaches the machine only through relays, so it is no relay for others.
        num_dependent_fronts: number of fronts that depend on it, if it is a replica machine.
        lacks_software_versions: it knows runners only as a machine of an earlier build sent them.
        lacks_births: the same for the times at which runners started.

    """

    requester: Address
    requester_zone: str
    runners_at: int
    document_version: int
    zones_at: int
    wait_s: float
    directory_digest: int
    is_replica: bool
    is_cut_off: bool
    num_dependent_fronts: int
    lacks_software_versions: bool = False
    lacks_births: bool = False


def encode_request(request: ReadRequest) -> bytes:
    """Encode a request."""
    return wire.CatalogRequest(
        runners_at=request.runners_at,
        document_version=request.document_version,
        wait_ms=int(request.wait_s * 1000),
        asker=address_to_wire(request.requester, request.requester_zone),
        directory_digest=request.directory_digest,
        is_replica=request.is_replica,
        zones_at=request.zones_at,
        is_cut_off=request.is_cut_off,
        num_behind=request.num_dependent_fronts,
        lacks_software_versions=request.lacks_software_versions,
        lacks_births=request.lacks_births,
    ).SerializeToString()


def decode_request(content: bytes) -> ReadRequest:
    """Decode a request; raise ``DecodeError``."""
    request = wire.CatalogRequest.FromString(content)
    return ReadRequest(
        address_from_wire(request.asker),
        request.asker.zone,
        request.runners_at,
        request.document_version,
        request.zones_at,
        request.wait_ms / 1000,
        request.directory_digest,
        request.is_replica,
        request.is_cut_off,
        request.num_behind,
        request.lacks_software_versions,
        request.lacks_births,
    )


@dataclass(frozen=True, slots=True)
class RunnerUpdate:
    """Runners that changed.

    Attributes:
        since: revision to which the update applies; 0: it contains all runners.
        removed: runners that were removed; of all runners those alone that are a last resort.
        revision: revision after the update.

    """

    since: int
    revision: int
    runners: tuple[KnownRunner, ...]
    removed: tuple[Removal, ...]


@dataclass(frozen=True, slots=True)
class DirectoryUpdate:
    """All replica machines, and those that operators are retiring.

    Attributes:
        retiring: ``None``: the machine has not read which machines are retiring.

    """

    replicas: tuple[ReplicaNode, ...]
    retiring: tuple[str, ...] | None


@dataclass(frozen=True, slots=True)
class FrontLocation:
    """A front that may relay requests, and its zone (empty: not reported)."""

    address: Address
    zone: str


@dataclass(frozen=True, slots=True)
class CatalogUpdate:
    """Configuration, runners, closed zones and replica machines that a machine sent.

    Attributes:
        age_ms: time since the registry last confirmed all of it.
        part_ages_s: time since it last confirmed each part, without those that it has not
            confirmed; ``None``: the machine's build tells no more than ``age_ms``.
        num_dependents: number of fronts and replica machines that depend on the machine.
        is_lost: the registry does not answer the machine, so it must not be followed.
        document_version: of the configuration that the machine knows.
        document: that configuration, encoded; empty: it is not newer than the requesting node's.
        runners: ``None``: the machine knows no list of runners.
        zones: only a revision, unless that is above the requesting node's.
        directory: ``None``: unchanged since the machine sent it last.
        fronts: some other fronts that requested the catalog recently.
        ends_version: of the ends of runners that the machine knows; 0: it knows none.

    """

    age_ms: int
    num_dependents: int
    is_lost: bool
    document_version: int
    document: bytes
    runners: RunnerUpdate | None
    zones: ZoneUpdate
    directory: DirectoryUpdate | None
    directory_digest: int
    fronts: tuple[FrontLocation, ...]
    ends_version: int = 0
    part_ages_s: dict[CatalogPart, float] | None = None

    def age_s(self, part: CatalogPart, times: CatalogTimes) -> float:
        """Time since the registry confirmed a part; infinite: not since the machine started."""
        if self.part_ages_s is not None:
            return self.part_ages_s.get(part, math.inf)
        if self.age_ms >= NEVER_CONFIRMED_MS:
            return math.inf
        return self.age_ms / 1000 + times.lag_s(part)


def decode_update(content: bytes) -> CatalogUpdate:
    """Decode a reply; raise ``DecodeError``."""
    reply = wire.CatalogReply.FromString(content)
    return CatalogUpdate(
        reply.age_ms,
        reply.num_askers,
        reply.is_lost,
        reply.document_version,
        reply.document,
        _runners_from_wire(reply) if reply.has_runners else None,
        zones_from_wire(reply),
        _directory_from_wire(reply) if reply.has_directory else None,
        reply.directory_digest,
        fronts_from_wire(reply),
        reply.ends_version,
        _part_ages_from_wire(reply.part_ages) if reply.HasField("part_ages") else None,
    )


def part_ages_to_wire(ages_s: Mapping[CatalogPart, float]) -> wire.PartAges:
    """Convert the ages of parts, in seconds."""
    ages = wire.PartAges()
    for part, age_s in ages_s.items():
        setattr(ages, f"{part}_ms", min(NEVER_CONFIRMED_MS, int(age_s * 1000)))
    return ages


def _part_ages_from_wire(ages: wire.PartAges) -> dict[CatalogPart, float]:
    return {
        part: getattr(ages, f"{part}_ms") / 1000
        for part in CatalogPart
        if ages.HasField(f"{part}_ms")  # type: ignore[arg-type]  # a name of the message
    }


def _runners_from_wire(reply: wire.CatalogReply) -> RunnerUpdate:
    removed = (removal_from_wire(row) for row in reply.removed)
    runners = tuple(runner_from_wire(row) for row in reply.runners)
    return RunnerUpdate(reply.since, reply.runners_at, runners, tuple(removed))


def _directory_from_wire(reply: wire.CatalogReply) -> DirectoryUpdate:
    replicas = tuple(from_wire(replica) for replica in reply.replicas)
    return DirectoryUpdate(replicas, tuple(reply.retiring) if reply.knows_retiring else None)


def fronts_from_wire(reply: wire.CatalogReply) -> tuple[FrontLocation, ...]:
    """Convert the fronts that a machine names."""
    return tuple(FrontLocation(address_from_wire(front), front.zone) for front in reply.fronts)
