"""The askers' side of the catalog: asks a replica machine for configuration and runners.

Fronts ask, and so do replica machines: one machine, the first by a rank that all share, reads the
registry for all. What an asker is told is newer than what it knows or is passed over, so an old
word does no harm, and it serves a front that knows nothing. Only a fresh word lets the asker do
without the registry.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bendshed.catalog.codec import (
    DocumentUnreadable,
    read_document,
    read_peer,
    read_runner,
    read_zones,
)
from bendshed.catalog.reader_choice import RequestingNode, choose_catalog_source
from bendshed.catalog.server import CATALOG_METHOD, MIN_SHARED_ASKERS, NEVER_CONFIRMED_MS
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.consensus.directory import HELLO_METHOD, ReplicaDirectory, from_wire
from bendshed.identifiers import rendezvous_rank
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.service_document import ServiceDocument
from bendshed.paths.neighbours import Neighbours
from bendshed.placement.zones import ZoneUpdate
from bendshed.ports.transport import PeerUnreachable, Requests, Transport
from bendshed.wire import catalog_pb2 as wire
from bendshed.wire import turns_pb2 as wire_turns

REPLY_MARGIN_S = 0.2
MARGIN_TRIPS = 3.0
"""A far machine has so many of its round trips more: one may open a connection, one may be lost."""
HEAD_SHARE = 0.25
"""The head of another region asks the reader after this share of the time after which others ask:
its word is handed on twice, and must be as young as others' then."""
IDLE_INTERVAL_S = 1.0
"""Who asks the registry itself asks for the catalog this often, to know other nodes."""
RETRY_MIN_S, RETRY_MAX_S = 0.05, 0.2
AVOIDED_MIN_S, AVOIDED_MAX_S = 1.0, 8.0
"""A machine that does not answer, or has lost the registry, is passed over for so long, twice as
long after each further failure: the next by rank reads meanwhile."""
ENOUGH_FRONTS = 3
"""A reply that names so many other fronts replaces those known before: what is named was heard
lately, and a front that is cut off itself is no relay. A shorter one adds to them."""
MAX_FRONTS_KNOWN = 6
"""Other fronts kept for relaying."""
MAX_QUICK_FAILURES = 4
"""After so many failures in a row nobody is likely to know more; the asker slows down."""
SLOW_RETRY_S = 0.5

log = PartLog("catalog")


class CatalogTaker(Protocol):
    """Who is told of configuration and runners."""

    def take_document(self, document: ServiceDocument) -> bool:
        """Take a configuration; an older one changes nothing."""

    def put_runner(self, known: KnownRunner) -> None:
        """Take one runner's state."""

    def remove_runner(self, runner_id: str, at: int, is_trusted: bool) -> None:
        """A runner is not listed any more."""

    def list_runners(self, runners: list[KnownRunner], at: int, is_trusted: bool) -> None:
        """Take the whole list."""

    def take_zones(self, word: ZoneUpdate) -> None:
        """Take which zones are closed; an older word changes nothing."""

    def confirm_all(self, age_s: float, runners_at: int) -> None:
        """The registry confirmed all of this so long ago."""


@dataclass(slots=True)
class _Avoidance:
    """A machine that is passed over until a loop time."""

    until_s: float
    for_s: float


class CatalogFollower:
    """Keeps a node informed.

    Attributes:
        runners_at: revision up to which the node knows the runners.
        version: of the configuration that the node knows.
        zones_at: revision up to which the node knows the closed zones.
        fronts: some others, for relaying.
        told: set once any machine has answered.
        is_fresh: the node may do without the registry.
        on_freshness: called when ``is_fresh`` has changed.
        num_behind: tells how many others ask this machine.
        num_askers_told: how many ask the machine that answered last, with those behind them.

    """

    def __init__(
        self,
        transport: Transport,
        requests: Requests,
        directory: ReplicaDirectory,
        taker: CatalogTaker,
        me: Address,
        times: CatalogTimes,
        rng: random.Random,
        may_share: bool = True,
        is_replica: bool = False,
        is_cut: Callable[[Address], bool] = lambda _peer: False,
        neighbours: Neighbours | None = None,
    ) -> None:
        self.runners_at = 0
        self.version = 0
        self.zones_at = 0
        self.fronts: list[Address] = []
        self.is_fresh = False
        self.on_freshness: Callable[[], None] = lambda: None
        self._transport = transport
        self._requests = requests
        self._directory = directory
        self._taker = taker
        self._me = me
        self._times = times
        self._rng = rng
        self._may_share = may_share
        self._is_replica = is_replica
        self._is_cut = is_cut
        self._neighbours = neighbours if neighbours is not None else Neighbours()
        self._asker = RequestingNode(me, self._neighbours.zone, self._neighbours.places, is_replica)
        self.num_behind: Callable[[], int] = lambda: 0
        self.num_askers_told = 0
        self.told = asyncio.Event()
        self._avoided: dict[Address, _Avoidance] = {}
        self._is_lost_here = False
        self._told_digest = 0
        self._told_by: Address | None = None
        self._is_shared = False
        self._num_failed = 0
        self._expiry: asyncio.TimerHandle | None = None
        self._knows_more = asyncio.Event()
        directory.on_change.append(self._knows_more.set)
        transport.one_way_handlers[HELLO_METHOD] = self._take_hello

    async def run(self) -> None:
        """Ask again and again until cancelled."""
        while True:
            target = self._target()
            if target is None:
                self._lead()
                await self._wait_for_nodes()
                continue
            waits_there = self._is_shared and not self._is_relayed(target)
            reply = await self._ask(target, waits_there)
            if reply is None:
                self._avoid(target, "silent")
                await asyncio.sleep(self._retry_s())
                continue
            self._take(target, reply)
            if reply.is_lost:
                self._avoid(target, "the registry is lost there")
                await asyncio.sleep(self._retry_s())
            elif not self._is_shared and self._target() == target:
                await asyncio.sleep(IDLE_INTERVAL_S)
            elif self._is_shared and not waits_there:
                await asyncio.sleep(self._times.interval_s)

    async def _wait_for_nodes(self) -> None:
        """Nobody is to be asked: look again after a while, or once a replica machine is known."""
        self._knows_more.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._retry_s()):
                await self._knows_more.wait()

    def _is_relayed(self, target: Address) -> bool:
        """Whether the next word comes through others, whose adaptive_timeout is short."""
        return self._num_failed > 0 or self._is_cut(target)

    def _retry_s(self) -> float:
        if self._num_failed > MAX_QUICK_FAILURES:
            return SLOW_RETRY_S
        return self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)

    def note_registry(self, at: int) -> None:
        """The node has read the runners from the registry itself, up to a revision."""
        self.runners_at = max(self.runners_at, at)

    def note_zones(self, at: int) -> None:
        """The node knows the closed zones from its disk or from the registry itself."""
        self.zones_at = max(self.zones_at, at)

    def note_own_reading(self, is_lost: bool) -> None:
        """Whether the registry answers this replica machine itself."""
        self._is_lost_here = is_lost
        if not is_lost and not self.is_fresh:
            self._avoided.pop(self._me, None)

    def note_known(self, version: int, runners_at: int) -> None:
        """The node knows this from its disk or from the registry."""
        self.version = max(self.version, version)
        self.runners_at = max(self.runners_at, runners_at)

    def _take_hello(self, payload: bytes) -> None:
        """A replica machine that has just started tells where it is."""
        self._directory.put(from_wire(wire_turns.ReplicaHello.FromString(payload)))

    # --- asking ----------------------------------------------------------------------------

    def _target(self) -> Address | None:
        """Whom to ask by a rank that all share; ``None``: nobody, this machine reads itself."""
        now_s = asyncio.get_running_loop().time()
        by_name = self._directory.by_name
        ranked = [by_name[name] for name in rendezvous_rank(CATALOG_METHOD, by_name)]
        avoided = {peer for peer, avoidance in self._avoided.items() if avoidance.until_s > now_s}
        if any(node.address not in avoided for node in ranked):
            return choose_catalog_source(self._asker, ranked, avoided)
        addresses = [node.address for node in ranked]
        soonest = min(addresses, key=lambda address: self._avoided[address].until_s, default=None)
        return soonest if soonest != self._me else None

    def _lead(self) -> None:
        """This machine is the first by rank that is not avoided: it reads the registry itself.

        If it cannot, it passes over itself as others do, and is told by the next.
        """
        self._is_shared = False
        self._told_by, self.num_askers_told = None, 0
        if self._is_lost_here:
            self._avoid(self._me, "the registry is lost here")
        if self._expiry is not None:
            self._expiry.cancel()
        if self._directory.own is not None:
            self._num_failed = 0
        self._expire()

    def _avoid(self, target: Address, reason: str) -> None:
        """Pass over a machine for a while."""
        self._num_failed += 1
        before = self._avoided.get(target)
        for_s = AVOIDED_MIN_S if before is None else min(AVOIDED_MAX_S, 2 * before.for_s)
        until_s = asyncio.get_running_loop().time() + for_s
        self._avoided[target] = _Avoidance(until_s, for_s)
        log.say("asks another machine", instead_of=str(target), reason=reason, for_s=for_s)

    async def _ask(self, target: Address, waits_there: bool) -> wire.CatalogReply | None:
        """Ask once; relays give up what waits, so only a direct word is waited for there."""
        wait_s = self._wait_s(target) if waits_there else 0.0
        request = wire.CatalogRequest(
            runners_at=self.runners_at,
            document_version=self.version,
            wait_ms=int(wait_s * 1000),
            asker=self._told_of_me(),
            directory_digest=self._told_digest if target == self._told_by else 0,
            is_replica=self._is_replica,
            zones_at=self.zones_at,
            is_cut_off=self._is_relayed(target),
            num_behind=self.num_behind(),
        )
        # A word that is waited for says nothing of the way meanwhile, so it goes directly.
        ways = self._transport if waits_there else self._requests
        expected_round_trip_s = self._neighbours.expected_round_trip_s(
            target.host, self._transport.round_trip_s(target)
        )
        timeout_s = wait_s + REPLY_MARGIN_S + MARGIN_TRIPS * expected_round_trip_s
        try:
            content = await ways.request(
                target, CATALOG_METHOD, request.SerializeToString(), timeout_s
            )
        except PeerUnreachable:
            return None
        return wire.CatalogReply.FromString(content)

    @property
    def is_head(self) -> bool:
        """Whether this replica machine is told across the link, for its whole region."""
        teller = self._told_by
        return self._is_replica and teller is not None and self._neighbours.is_far(teller.host)

    def _wait_s(self, target: Address) -> float:
        """How long a machine may wait for a change before it answers."""
        asks_as_head = self._is_replica and self._neighbours.is_far(target.host)
        return self._times.interval_s * (HEAD_SHARE if asks_as_head else 1.0)

    def _told_of_me(self) -> wire.PeerAddress:
        """Where this node is; a replica machine's zone is known from its announcement."""
        zone = "" if self._is_replica else self._neighbours.zone
        return wire.PeerAddress(host=self._me.host, port=self._me.port, zone=zone)

    # --- what is told ----------------------------------------------------------------------

    def _take(self, target: Address, reply: wire.CatalogReply) -> None:
        if not reply.is_lost:
            self._num_failed = 0
            self._avoided.pop(target, None)
        self._take_document(reply)
        are_zones_level = self._take_zones(reply)
        is_level = self._take_runners(reply) and are_zones_level
        self._take_directory(reply)
        self._told_by, self._told_digest = target, reply.directory_digest
        self.told.set()
        for front in reply.fronts:
            self._neighbours.put(front.host, front.zone)
        self._take_fronts([read_peer(front) for front in reply.fronts])
        self.num_askers_told = reply.num_askers
        self._is_shared = self._may_share and reply.num_askers >= MIN_SHARED_ASKERS
        age_s = reply.age_ms / 1000
        is_current = is_level and reply.document_version >= self.version
        if self._is_shared and is_current and age_s < self._times.max_age_s:
            self._taker.confirm_all(age_s, self.runners_at)
            self._note_fresh(self._times.max_age_s - age_s)

    def _take_directory(self, reply: wire.CatalogReply) -> None:
        if not reply.has_directory:
            return
        for hello in reply.replicas:
            self._directory.put(from_wire(hello))
        if reply.knows_retiring:
            self._directory.list_retiring(reply.retiring)

    def _take_fronts(self, told: list[Address]) -> None:
        """Keep those known when a machine names few: it may just have started."""
        if len(told) >= ENOUGH_FRONTS:
            self.fronts = told
            return
        known = [front for front in self.fronts if front not in told]
        self.fronts = [*told, *known][:MAX_FRONTS_KNOWN]

    def _take_document(self, reply: wire.CatalogReply) -> None:
        if not reply.document or reply.document_version <= self.version:
            return
        try:
            document = read_document(reply.document)
        except DocumentUnreadable as error:
            log.say("a configuration cannot be read", reason=str(error))
            return
        if self._taker.take_document(document):
            log.say("tells a configuration", version=document.version, age_ms=_age_ms(reply))
        self.version = max(self.version, document.version)

    def _take_zones(self, reply: wire.CatalogReply) -> bool:
        """Take closed zones that are newer; ``False``: the other side knows nothing of them.

        A node that heard of a newer revision elsewhere knows all that the other side does, so its
        word is as fresh as the other side's: which zones are closed is told whole.

        They come before runners, so that none of a closed zone is taken for usable in between.
        """
        if reply.zones_at > self.zones_at:
            self._taker.take_zones(read_zones(reply))
            self.zones_at = reply.zones_at
        return reply.zones_at > 0 or not self._times.follows_zones

    def _take_runners(self, reply: wire.CatalogReply) -> bool:
        """Take what is newer; ``False``: the other side knows less than this front."""
        if not reply.has_runners or reply.runners_at < self.runners_at:
            return False
        runners = [read_runner(row) for row in reply.runners]
        if reply.since == 0:
            is_first = self.runners_at == 0
            is_trusted = reply.age_ms / 1000 < self._times.max_age_s
            self._taker.list_runners(runners, reply.runners_at, is_trusted)
            if is_first:
                log.say("tells the runners", at=reply.runners_at, age_ms=_age_ms(reply))
        elif reply.since == self.runners_at:
            for known in runners:
                self._taker.put_runner(known)
            for gone in reply.removed:
                self._taker.remove_runner(gone.runner_id, gone.revision, gone.is_trusted)
        else:
            return False
        self.runners_at = reply.runners_at
        return True

    # --- freshness -------------------------------------------------------------------------

    def _note_fresh(self, for_s: float) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
        self._expiry = asyncio.get_running_loop().call_later(for_s, self._expire)
        self._set_fresh(True)

    def _expire(self) -> None:
        self._set_fresh(False)

    def _set_fresh(self, is_fresh: bool) -> None:
        if is_fresh == self.is_fresh:
            return
        self.is_fresh = is_fresh
        log.say("is fresh: the registry is read for this node" if is_fresh else "is not fresh")
        self.on_freshness()


def _age_ms(reply: wire.CatalogReply) -> int | None:
    """For the log; ``None``: never confirmed since the replica machine started."""
    return reply.age_ms if reply.age_ms < NEVER_CONFIRMED_MS else None
