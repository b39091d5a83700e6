"""A replica machine's side of the catalog: answers fronts, and keeps the catalog on its disk."""

import asyncio
import random
from collections.abc import Callable, Collection
from enum import StrEnum

from bendshed.catalog.codec import (
    StoredCatalog,
    add_zones,
    decode_kept,
    encode_kept,
    read_peer,
    write_reply,
)
from bendshed.catalog.relay_list import RelayList
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes, ReadingPace
from bendshed.catalog.zones import ZoneKeeper
from bendshed.consensus.directory import HELLO_METHOD, ReplicaDirectory, to_wire
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.service_document import ServiceDocument
from bendshed.paths.neighbours import Neighbours
from bendshed.placement.zones import ZoneUpdate
from bendshed.ports.catalog_storage import CatalogStorage
from bendshed.ports.transport import Transport
from bendshed.wire import catalog_pb2 as wire

CATALOG_METHOD = "catalog.read"
FRONTS_METHOD = "catalog.fronts"
REQUESTER_MEMORY_S = 3.0
"""Who did not ask for this long does not count among the askers."""
SHARE_INTERVAL_S = 1.0
SAVE_PACE_S = 1.0
KEPT_FRONTS_S = 10.0
"""Fronts of the last life that have not asked by then are forgotten."""
GREETING_INTERVAL_S = 0.3
SILENT_REQUESTER_S = 1.2
"""A front that has not asked for this long may have started anew and know nobody."""
GREETED_S = 30.0
"""A front that has been silent for this long is given up."""
MIN_SHARED_ASKERS = 8
"""From this many fronts on it costs the registry less to be read by this machine for all of them,
several times a second, than by each of them (docs/design/0004)."""

NEVER_CONFIRMED_MS = 2**31

log = PartLog("catalog")


class CatalogPart(StrEnum):
    """What the registry confirms apart."""

    DOCUMENT = "document"
    RUNNERS = "runners"
    ZONES = "zones"


class CatalogServer:
    """What one replica machine tells fronts.

    Attributes:
        catalog: what it knows; a start begins with what its disk holds.
        pace: how it reads the registry now.
        on_pace: called when that has changed.
        confirmed_at_s: loop time at which the registry last confirmed each part in this life.
        zones: closed zones, where operators close any.
        is_told: whether a machine of another region tells this one, the head of its own, freshly.
        num_askers_elsewhere: nodes that rely on that machine; 0: this one is no head.

    """

    def __init__(
        self,
        transport: Transport,
        directory: ReplicaDirectory,
        me: Address,
        rng: random.Random,
        storage: CatalogStorage,
        times: CatalogTimes,
        reads_kept: bool = True,
        neighbours: Neighbours | None = None,
    ) -> None:
        self.is_told: Callable[[], bool] = lambda: False
        self.num_askers_elsewhere: Callable[[], int] = lambda: 0
        self._kept = decode_kept(storage.load() if reads_kept else None)
        self.catalog = self._kept.catalog
        self._neighbours = neighbours if neighbours is not None else Neighbours()
        self.zones = ZoneKeeper(self._neighbours.places)
        self.catalog.filter = self.zones.filter
        self.confirmed_at_s: dict[CatalogPart, float] = {}
        self.pace = times.pace(in_demand=False)
        self.on_pace: Callable[[ReadingPace], None] = lambda _pace: None
        self._times = times
        self._transport = transport
        self._directory = directory
        self._me = me
        self._rng = rng
        self._storage = storage
        self._asked_at_s: dict[Address, float] = {}
        self._replicas_asked_at_s: dict[Address, float] = {}
        self._num_behind: dict[Address, int] = {}
        self._relay_list = RelayList(self._neighbours, rng, times.interval_s)
        self._is_lost = False
        self._forgets_kept_at_s = 0.0
        self._changed = asyncio.Event()
        self._unsaved = asyncio.Event()

    def start(self) -> None:
        """Begin to answer, with what the disk held."""
        loop = asyncio.get_running_loop()
        self._forgets_kept_at_s = loop.time() + KEPT_FRONTS_S
        self.catalog.begin_incarnation(loop.time)
        self.zones.on_zone_opened.append(self.catalog.cold.reopen)
        self.take_zones(self._kept.zones)
        for node in self._kept.replicas:
            self._directory.put(node)
        self._directory.on_change.append(self._announce)
        self._unsaved.set()
        self._transport.handlers[CATALOG_METHOD] = self._answer
        self._transport.one_way_handlers[FRONTS_METHOD] = self._take_fronts
        log.say(
            "starts with",
            version=self.catalog.version,
            runners_at=self.catalog.runners_at,
            zones_at=self.zones.record.zones.at,
        )

    # --- what the registry tells -----------------------------------------------------------

    def take_document(self, document: ServiceDocument) -> bool:
        """Take a configuration; ``False``: it is not newer."""
        is_newer = self.catalog.take_document(document)
        if is_newer:
            self._announce()
        return is_newer

    def list_runners(self, runners: Collection[KnownRunner], at: int, is_trusted: bool) -> None:
        """Take the whole list of runners."""
        if self.catalog.list_runners(runners, at, is_trusted):
            self._announce()

    def put_runner(self, known: KnownRunner) -> None:
        """Take one runner's state."""
        if self.catalog.put_runner(known):
            self._announce()

    def remove_runner(self, runner_id: str, at: int, is_trusted: bool) -> None:
        """A runner is not listed any more."""
        if self.catalog.remove_runner(runner_id, at, is_trusted):
            self._announce()

    def take_zones(self, word: ZoneUpdate) -> None:
        """Take which zones are closed; an older word changes nothing."""
        if self.zones.take(word):
            self._announce()
        self.catalog.filter = self.zones.filter

    def confirm(self, part: CatalogPart, at: int) -> None:
        """The registry answered: this part is known up to a revision."""
        self._confirm(part, 0.0)
        if part is CatalogPart.RUNNERS:
            self.catalog.advance(at)

    def confirm_all(self, age_s: float, runners_at: int) -> None:
        """Another machine told that the registry confirmed everything so long ago."""
        for part in self._parts:
            self._confirm(part, age_s + self._lag_s(part))
        self.catalog.advance(runners_at)

    def _confirm(self, part: CatalogPart, age_s: float) -> None:
        at_s = asyncio.get_running_loop().time() - age_s
        self.confirmed_at_s[part] = max(at_s, self.confirmed_at_s.get(part, at_s))
        if part is CatalogPart.ZONES:
            self.zones.confirm(age_s)

    @property
    def _parts(self) -> list[CatalogPart]:
        """What the registry must confirm."""
        is_read = {CatalogPart.ZONES: self._times.follows_zones}
        return [part for part in CatalogPart if is_read.get(part, True)]

    def _lag_s(self, part: CatalogPart) -> float:
        """How much older than the others a part may be."""
        return (self._times.zones_lag_s or 0.0) if part is CatalogPart.ZONES else 0.0

    def set_lost(self, is_lost: bool) -> None:
        """Whether the registry answers this machine; who asks is told at once."""
        if is_lost != self._is_lost:
            self._is_lost = is_lost
            self._announce()

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
        self._unsaved.set()

    # --- fronts ----------------------------------------------------------------------------

    @property
    def num_askers(self) -> int:
        """Fronts and replica machines that asked lately, with those that ask these."""
        replicas = self._lately(self._replicas_asked_at_s)
        num_behind = sum(self._num_behind.get(replica, 0) for replica in replicas)
        return len(self._askers()) + len(replicas) + num_behind

    @property
    def num_fronts(self) -> int:
        """Fronts that asked this machine lately."""
        return len(self._askers())

    @property
    def is_in_demand(self) -> bool:
        """Whether enough others rely on this machine that it reads the registry for them."""
        return self.num_askers >= MIN_SHARED_ASKERS

    async def _answer(self, payload: bytes) -> bytes:
        """Tell a front what it lacks, at once or when something changes."""
        request = wire.CatalogRequest.FromString(payload)
        loop = asyncio.get_running_loop()
        asker = read_peer(request.asker)
        asked_at_s = self._replicas_asked_at_s if request.is_replica else self._asked_at_s
        if asker not in asked_at_s:
            self._unsaved.set()
        asked_at_s[asker] = loop.time()
        self._note_asker(asker, request)
        self._follow_demand()
        if not self._has_news(request):
            await self._wait_for_change(request.wait_ms / 1000)
        reply = write_reply(self.catalog, request.runners_at, request.document_version)
        now_s = loop.time()
        add_zones(reply, self.zones.record.word(now_s), request.zones_at)
        reply.age_ms = self._age_ms()
        reply.num_askers = max(self.num_askers, self.num_askers_elsewhere())
        reply.is_lost = self._is_lost_for(request)
        self._add_directory(reply, request)
        if not request.is_replica:
            reply.fronts.extend(self._relay_list.some_for(asker, self._asked_at_s))
        return reply.SerializeToString()

    def _note_asker(self, asker: Address, request: wire.CatalogRequest) -> None:
        """Remember where an asker stands, who asks it, and whether it is cut off."""
        self._neighbours.put(asker.host, request.asker.zone)
        if request.is_replica:
            self._num_behind[asker] = request.num_behind
        else:
            self._relay_list.note_asker(asker, request.is_cut_off)

    def _is_lost_for(self, request: wire.CatalogRequest) -> bool:
        """Whether an asker must go elsewhere.

        A machine that lost the registry and is told by another may serve fronts, which nobody
        relies on. Replica machines must not rely on it: it may be they who tell it.
        """
        return self._is_lost and (request.is_replica or not self.is_told())

    def _add_directory(self, reply: wire.CatalogReply, request: wire.CatalogRequest) -> None:
        """Add the replica machines, unless the asker was told the same before."""
        reply.directory_digest = self._directory.digest()
        if reply.directory_digest == request.directory_digest:
            return
        reply.has_directory = True
        reply.replicas.extend(to_wire(node) for node in self._directory.by_name.values())
        reply.knows_retiring = self._directory.knows_retiring
        reply.retiring.extend(sorted(self._directory.retiring))

    def _has_news(self, request: wire.CatalogRequest) -> bool:
        is_newer = self.catalog.version > request.document_version
        is_newer = is_newer or self.zones.record.changed_at > request.zones_at
        is_lost = self._is_lost_for(request)
        if is_newer or is_lost or self._directory.digest() != request.directory_digest:
            return True
        if request.runners_at > self.catalog.runners_at:
            return False
        changes = self.catalog.changes_since(request.runners_at)
        return bool(changes.runners or changes.removed)

    async def _wait_for_change(self, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _age_ms(self) -> int:
        """Since the registry last confirmed the oldest part; very old when it never did.

        Closed zones may be older than the rest: what they may be counts as no age.
        """
        now_s = asyncio.get_running_loop().time()
        if any(part not in self.confirmed_at_s for part in self._parts):
            return NEVER_CONFIRMED_MS
        ages_s = [now_s - self.confirmed_at_s[part] - self._lag_s(part) for part in self._parts]
        return int(max(0.0, *ages_s) * 1000)

    def _askers(self) -> list[Address]:
        """Fronts that asked lately."""
        return self._lately(self._asked_at_s)

    @staticmethod
    def _lately(asked_at_s: dict[Address, float]) -> list[Address]:
        oldest_s = asyncio.get_running_loop().time() - REQUESTER_MEMORY_S
        return [asker for asker, at_s in asked_at_s.items() if at_s >= oldest_s]

    def _forget_silent(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for known, kept_s in (
            (self._asked_at_s, GREETED_S),
            (self._replicas_asked_at_s, REQUESTER_MEMORY_S),
            (self._relay_list.elsewhere, REQUESTER_MEMORY_S),
        ):
            for front in [front for front, at_s in known.items() if now_s - at_s > kept_s]:
                del known[front]
        self._relay_list.keep_only(self._asked_at_s)
        for replica in [name for name in self._num_behind if name not in self._replicas_asked_at_s]:
            del self._num_behind[replica]

    def _take_fronts(self, payload: bytes) -> None:
        """Another replica machine names fronts that it hears."""
        self._relay_list.take_told(wire.CatalogReply.FromString(payload).fronts)

    def _follow_demand(self) -> None:
        """While fronts rely on this machine, it reads the registry often."""
        pace = self._times.pace(self.is_in_demand)
        if pace == self.pace:
            return
        self.pace = pace
        log.say(
            "reads the registry for others, or not any more",
            is_in_demand=self.is_in_demand,
            askers=self.num_askers,
            every_s=pace.wait_s,
        )
        self.on_pace(pace)

    # --- in the background -----------------------------------------------------------------

    async def greet(self) -> None:
        """Tell fronts that fell silent where this machine is: they may have no other source."""
        while True:
            own = self._directory.own
            if own is not None:
                hello = to_wire(own).SerializeToString()
                for front in self._silent_fronts():
                    self._transport.send(front, HELLO_METHOD, hello)
            await asyncio.sleep(GREETING_INTERVAL_S)

    def _silent_fronts(self) -> list[Address]:
        """Fronts that asked this machine or its last life and do not any more."""
        now_s = asyncio.get_running_loop().time()
        silent = [
            front
            for front, at_s in self._asked_at_s.items()
            if SILENT_REQUESTER_S < now_s - at_s < GREETED_S
        ]
        if now_s < self._forgets_kept_at_s:
            silent += [front for front in self._kept.fronts if front not in self._asked_at_s]
        return silent

    async def share_fronts(self) -> None:
        """Name some fronts to the other replica machines, again and again; see who still asks."""
        while True:
            await asyncio.sleep(SHARE_INTERVAL_S)
            self._forget_silent()
            if self.zones.record.forget_old(asyncio.get_running_loop().time()):
                self._unsaved.set()
            self._follow_demand()
            fronts = self._relay_list.to_share(self._asked_at_s)
            if not fronts:
                continue
            told = wire.CatalogReply(fronts=fronts)
            for node in self._directory.by_name.values():
                if node.address != self._me:
                    self._transport.send(node.address, FRONTS_METHOD, told.SerializeToString())

    async def keep(self) -> None:
        """Keep the catalog on the disk after changes, at a bounded pace."""
        while True:
            await self._unsaved.wait()
            self._unsaved.clear()
            fronts = {*self._asked_at_s, *self._relay_list.elsewhere}
            if asyncio.get_running_loop().time() < self._forgets_kept_at_s:
                fronts.update(self._kept.fronts)
            kept = StoredCatalog(
                self.catalog,
                tuple(self._directory.by_name.values()),
                tuple(sorted(fronts, key=str)),
                self.zones.record.word(asyncio.get_running_loop().time()),
            )
            await self._storage.save(encode_kept(kept))
            await asyncio.sleep(SAVE_PACE_S)
