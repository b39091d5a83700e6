"""Follows the catalog (configuration, runners, closed zones) of a replica machine.

Fronts and replica machines follow one machine, the first in a ranking that all nodes share, which
reads the registry for all. Only the parts of an update that are newer than what the node knows are
applied, so an old update does no harm, and it is useful to a front that knows nothing. Only a fresh
part of an update allows the node to stop reading that part from the registry itself.
"""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from bendshed.catalog.demand import is_reading_shared
from bendshed.catalog.freshness import Freshness
from bendshed.catalog.known_fronts import KnownFronts
from bendshed.catalog.messages import CatalogUpdate, ReadRequest, decode_update, encode_request
from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.reader_choice import ReaderChoice, RequestingNode
from bendshed.catalog.server import CATALOG_METHOD
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.update_intake import CatalogSink, UpdateIntake
from bendshed.catalog.upstream import Upstream
from bendshed.consensus.directory import HELLO_METHOD, ReplicaDirectory, from_wire
from bendshed.identifiers import rendezvous_rank
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.paths.host_locations import HostLocations
from bendshed.ports.registry import ReplicaNode
from bendshed.ports.transport import PeerUnreachable, RequestSender, Transport
from bendshed.wire import turns_pb2 as wire_turns

REPLY_MARGIN_S = 0.2
"""Allowance for a reply from the same region, beyond the wait that the request asks for."""
MARGIN_ROUND_TRIPS = 3.0
"""Additional allowance in round trips: one may open a connection, one may be lost."""
REGIONAL_READER_SHARE = 0.25
"""A regional reader requests at this share of the usual interval: its updates take one hop more and
must still reach the nodes of its region as fresh as elsewhere."""
IDLE_INTERVAL_S = 1.0
"""Request interval of a node that reads the registry itself, to learn of other nodes."""
RETRY_MIN_S, RETRY_MAX_S = 0.05, 0.2
MAX_QUICK_FAILURES = 4
"""After this many failures in a row another machine is unlikely to reply either: retries use
``SLOW_RETRY_S``."""
SLOW_RETRY_S = 0.5

log = PartLog("catalog")


@dataclass(frozen=True, slots=True)
class FollowerPaths:
    """How a node reaches replica machines.

    Attributes:
        direct: for long polls, which relays would time out.
        relayed: for other requests; may be the same transport.
        host_locations: zones and regions of machines.
        is_relay_only: whether only relays reach a machine.

    """

    direct: Transport
    relayed: RequestSender
    host_locations: HostLocations
    is_relay_only: Callable[[Address], bool] = lambda _machine: False


class CatalogFollower:
    """Requests the catalog of the machine that ``ReaderChoice`` selects.

    It handles hello messages of replica machines as soon as it is constructed.

    Args:
        paths: how replica machines are reached.
        directory: the known replica machines.
        sink: applies what is newer.
        own_address: this node's address.
        times: request interval and maximum age of an update.
        rng: adds jitter to retries.
        may_share: whether one machine may read the registry for all.
        num_dependent_fronts: number of fronts that depend on this node, if it is a replica machine.
        is_replica: whether this node is a replica machine.

    Attributes:
        upstream: the machine that replied last.
        first_update: set once any machine has replied.
        on_older_document: called with a machine that has an older configuration than this node.
        on_ends_version: called with the machine that replied and the version of the ends of runners
            that it knows.

    """

    def __init__(
        self,
        paths: FollowerPaths,
        directory: ReplicaDirectory,
        sink: CatalogSink,
        own_address: Address,
        times: CatalogTimes,
        rng: random.Random,
        may_share: bool = True,
        num_dependent_fronts: Callable[[], int] = lambda: 0,
        is_replica: bool = False,
    ) -> None:
        self._paths = paths
        self._directory = directory
        self._own_address = own_address
        self._times = times
        self._rng = rng
        self._may_share = may_share
        self._num_dependent_fronts = num_dependent_fronts
        self._is_replica = is_replica
        host_locations = paths.host_locations
        self._choice = ReaderChoice(
            RequestingNode(own_address, host_locations.zone, host_locations.places, is_replica)
        )
        self._intake = UpdateIntake(sink, times)
        self._fronts = KnownFronts()
        self.upstream = Upstream(host_locations, is_replica, follows_zones=times.follows_zones)
        self._freshness = Freshness(self.upstream)
        self.first_update = asyncio.Event()
        self.on_ends_version: Callable[[Address, int], None] = lambda _machine, _version: None
        self.on_older_document: Callable[[Address], None] = lambda _machine: None
        self._is_registry_lost = False
        self._lacks_part = False
        self._num_requested = 0
        self._is_reading_shared = False
        self._num_failed = 0
        self._directory_changed = asyncio.Event()
        directory.on_change.append(self._directory_changed.set)
        paths.direct.one_way_handlers[HELLO_METHOD] = self._handle_hello

    @property
    def is_fresh(self) -> bool:
        """Whether the node need not read itself what requests depend on."""
        return self.upstream.is_fresh

    def is_part_fresh(self, part: CatalogPart) -> bool:
        """Whether the node need not read one part itself."""
        return part in self.upstream.fresh_parts

    @property
    def on_freshness_change(self) -> list[Callable[[], None]]:
        """Called after each change of which parts are fresh."""
        return self._freshness.on_change

    @property
    def runners_at(self) -> int:
        """Revision up to which the node knows the runners."""
        return self._intake.runners_at

    @property
    def fronts(self) -> list[Address]:
        """Other fronts that may relay requests."""
        return self._fronts.addresses

    # --- revisions known from other sources --------------------------------------------------

    def note_registry_read(self, revision: int) -> None:
        """Record that the node itself has read the runners from the registry up to a revision."""
        self.note_revisions(0, revision)

    def note_zones_revision(self, revision: int) -> None:
        """Record up to which revision the disk or the registry provided the closed zones."""
        self._intake.zones_at = max(self._intake.zones_at, revision)

    def note_revisions(self, version: int, runners_at: int) -> None:
        """Record which configuration and runners the disk or the registry provided."""
        self._intake.version = max(self._intake.version, version)
        self._intake.runners_at = max(self._intake.runners_at, runners_at)

    def note_registry_lost(self, is_lost: bool, lacks_part: bool) -> None:
        """Record whether this replica machine itself has lost the registry.

        ``lacks_part``: it cannot read some part that it serves.
        """
        self._is_registry_lost = is_lost
        self._lacks_part = lacks_part
        if not is_lost and not self.is_fresh:
            self._choice.readmit(self._own_address)

    def _handle_hello(self, payload: bytes) -> None:
        """Add a replica machine that has just started and announced its address."""
        self._directory.put(from_wire(wire_turns.ReplicaHello.FromString(payload)))

    # --- requesting --------------------------------------------------------------------------

    async def run(self) -> None:
        """Request the catalog until cancelled."""
        while True:
            machine = self._target()
            if machine is None:
                self._become_reader()
                if self._lacks_part:
                    await self._request_missing_parts()
                await self._wait_for_replicas()
                continue
            is_long_poll = self._is_reading_shared and not self._needs_relay(machine)
            update = await self._request(machine, is_long_poll)
            if update is None:
                self._avoid(machine, "no reply")
                await asyncio.sleep(self._retry_s())
                continue
            self._apply(machine, update)
            if update.is_lost:
                self._avoid(machine, "the machine lost the registry", self._old_parts(update))
                await asyncio.sleep(self._retry_s())
            elif not self._is_reading_shared and self._target() == machine:
                await asyncio.sleep(IDLE_INTERVAL_S)
            elif self._is_reading_shared and not is_long_poll:
                await asyncio.sleep(self._times.interval_s)

    async def _request_missing_parts(self) -> None:
        """Request what this reader cannot read from the other machines, one after the other.

        They read it themselves, since this machine's updates do not keep it fresh.
        """
        others = [node.address for node in self._ranked_replicas()]
        others = [address for address in others if address != self._own_address]
        if not others:
            return
        machine = others[self._num_requested % len(others)]
        self._num_requested += 1
        update = await self._request(machine, is_long_poll=False)
        if update is not None:
            parts = self._intake.apply(update) | self._apply_directory(update)
            self._confirm(parts, update)
        await asyncio.sleep(self._times.interval_s)

    async def _wait_for_replicas(self) -> None:
        """Wait, while no machine can be followed, until one is known or the retry delay ends."""
        self._directory_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._retry_s()):
                await self._directory_changed.wait()

    def _needs_relay(self, machine: Address) -> bool:
        """Whether the next request may pass through a relay, whose timeout is short."""
        return self._num_failed > 0 or self._paths.is_relay_only(machine)

    def _retry_s(self) -> float:
        if self._num_failed > MAX_QUICK_FAILURES:
            return SLOW_RETRY_S
        return self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)

    def _target(self) -> Address | None:
        return self._choice.target(self._ranked_replicas(), asyncio.get_running_loop().time())

    def _ranked_replicas(self) -> list[ReplicaNode]:
        """The replica machines in the ranking that all nodes share."""
        by_name = self._directory.by_name
        return [by_name[name] for name in rendezvous_rank(CATALOG_METHOD, by_name)]

    def _become_reader(self) -> None:
        """Stop following, since this machine is the first by rank that is not avoided.

        If it has lost the registry, it avoids itself as others do and follows the next by rank.
        """
        self._is_reading_shared = False
        self.upstream.machine, self.upstream.num_dependents = None, 0
        if self._is_registry_lost:
            self._avoid(self._own_address, "this machine lost the registry")
        if self._directory.own_node is not None:
            self._num_failed = 0
        self._freshness.end()

    def _old_parts(self, update: CatalogUpdate) -> list[CatalogPart]:
        """Parts of an update that are too old to be fresh."""
        times = self._times
        return [
            part for part in CatalogPart if update.age_s(part, times) > times.max_part_age_s(part)
        ]

    def _avoid(self, machine: Address, reason: str, old_parts: Sequence[CatalogPart] = ()) -> None:
        """Follow another machine for some time."""
        self._num_failed += 1
        for_s = self._choice.avoid(machine, asyncio.get_running_loop().time())
        log.say(
            "machine avoided",
            instead_of=str(machine),
            reason=reason,
            old_parts=list(old_parts),
            for_s=for_s,
        )

    async def _request(self, machine: Address, is_long_poll: bool) -> CatalogUpdate | None:
        """Request the catalog once; ``None``: no reply in time.

        Only a direct request is a long poll: relays time out requests that wait, and a waiting
        request gives no information about its path.
        """
        wait_s = self._wait_s(machine) if is_long_poll else 0.0
        request = encode_request(self._request_for(machine, wait_s))
        paths = self._paths.direct if is_long_poll else self._paths.relayed
        round_trip_s = self._paths.host_locations.expected_round_trip_s(
            machine.host, self._paths.direct.round_trip_s(machine)
        )
        timeout_s = wait_s + REPLY_MARGIN_S + MARGIN_ROUND_TRIPS * round_trip_s
        try:
            content = await paths.request(machine, CATALOG_METHOD, request, timeout_s)
        except PeerUnreachable:
            return None
        return decode_update(content)

    def _request_for(self, machine: Address, wait_s: float) -> ReadRequest:
        """Build a request; a replica machine omits its zone, which its announcement contains."""
        knows_directory = machine == self.upstream.machine
        return ReadRequest(
            requester=self._own_address,
            requester_zone="" if self._is_replica else self._paths.host_locations.zone,
            runners_at=self._intake.runners_at,
            document_version=self._intake.version,
            zones_at=self._intake.zones_at,
            wait_s=wait_s,
            directory_digest=self.upstream.directory_digest if knows_directory else 0,
            is_replica=self._is_replica,
            is_cut_off=self._needs_relay(machine),
            num_dependent_fronts=self._num_dependent_fronts(),
            lacks_software_versions=bool(self._intake.gaps.without_version),
            lacks_births=bool(self._intake.gaps.without_birth),
        )

    def _wait_s(self, machine: Address) -> float:
        """How long a machine may wait for a change before it replies, in seconds."""
        is_regional = self._is_replica and self._paths.host_locations.is_far(machine.host)
        return self._times.interval_s * (REGIONAL_READER_SHARE if is_regional else 1.0)

    # --- updates -----------------------------------------------------------------------------

    def _apply(self, machine: Address, update: CatalogUpdate) -> None:
        if not update.is_lost:
            self._num_failed = 0
            self._choice.readmit(machine)
        known_parts = self._intake.apply(update) | self._apply_directory(update)
        self.upstream.machine = machine
        self.upstream.directory_digest = update.directory_digest
        self.first_update.set()
        self.on_ends_version(machine, update.ends_version)
        self._apply_fronts(update)
        self.upstream.num_dependents = update.num_dependents
        self._is_reading_shared = self._may_share and is_reading_shared(update.num_dependents)
        self._confirm(known_parts, update)
        if CatalogPart.DOCUMENT not in known_parts:
            self.on_older_document(machine)

    def _confirm(self, parts: Iterable[CatalogPart], update: CatalogUpdate) -> None:
        """Use the age of each part; while one machine reads for all, parts may be fresh by it."""
        fresh_s: dict[CatalogPart, float] = {}
        for part in parts:
            age_s = update.age_s(part, self._times)
            if age_s == math.inf:
                continue
            self._intake.confirm(part, age_s)
            left_s = self._times.max_part_age_s(part) - age_s
            if self._is_reading_shared and left_s > 0:
                fresh_s[part] = left_s
        if fresh_s:
            self._freshness.renew(fresh_s)

    def _apply_directory(self, update: CatalogUpdate) -> frozenset[CatalogPart]:
        """Apply replica machines and retirements; return which of them the machine knows."""
        known = {CatalogPart.MACHINES}
        if self._directory.knows_retiring:
            known.add(CatalogPart.RETIREMENTS)
        if update.directory is None:
            return frozenset(known)
        for node in update.directory.replicas:
            self._directory.put(node)
        retiring = update.directory.retiring
        if retiring is None or self._intake.is_older(CatalogPart.RETIREMENTS, update):
            return frozenset(known - {CatalogPart.RETIREMENTS})
        self._directory.set_retiring(retiring)
        return frozenset(known | {CatalogPart.RETIREMENTS})

    def _apply_fronts(self, update: CatalogUpdate) -> None:
        for front in update.fronts:
            self._paths.host_locations.put(front.address.host, front.zone)
        self._fronts.update([front.address for front in update.fronts])
