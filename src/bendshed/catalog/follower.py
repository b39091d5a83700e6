"""A front's side of the catalog: asks a replica machine for configuration and runners.

What it is told is newer than what it knows or is passed over, so an old word does no harm, and it
serves a front that knows nothing. Only a fresh word lets the front do without the registry.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from bendshed.catalog.codec import DocumentUnreadable, read_document, read_peer, read_runner
from bendshed.catalog.server import CATALOG_METHOD, MIN_SHARED_ASKERS, NEVER_CONFIRMED_MS
from bendshed.catalog.times import CatalogTimes
from bendshed.consensus.directory import HELLO_METHOD, ReplicaDirectory, from_wire
from bendshed.identifiers import rendezvous_rank
from bendshed.logs import PartLog
from bendshed.paths.relayed import RelayedRequests
from bendshed.ports.transport import Address, PeerUnreachable, Transport
from bendshed.services.document import ServiceDocument
from bendshed.services.runners import ServiceRunner
from bendshed.wire import catalog_pb2 as wire
from bendshed.wire import turns_pb2 as wire_turns

REPLY_MARGIN_S = 0.2
IDLE_INTERVAL_S = 1.0
"""A front that asks the registry itself asks for the catalog this often, to know other fronts."""
RETRY_MIN_S, RETRY_MAX_S = 0.05, 0.2
SETTLED_REPLIES = 3
"""So many fresh words in a row let the front do without the registry."""

log = PartLog("catalog")


class CatalogTaker(Protocol):
    """Who is told of configuration and runners."""

    def take_document(self, document: ServiceDocument) -> bool:
        """Take a configuration; an older one changes nothing."""

    def put_runner(self, runner: ServiceRunner) -> None:
        """Take one runner's state."""

    def remove_runner(self, runner_id: str, trusted: bool) -> None:
        """A runner is not listed any more."""

    def list_runners(self, runners: list[ServiceRunner], trusted: bool) -> None:
        """Take the whole list."""


class CatalogFollower:
    """Keeps a front informed.

    Attributes:
        runners_at: revision up to which the front knows the runners.
        version: of the configuration that the front knows.
        fronts: some others, for relaying.
        is_fresh: the front may do without the registry.
        on_freshness: called when ``is_fresh`` has changed.

    """

    def __init__(
        self,
        transport: Transport,
        requests: RelayedRequests,
        directory: ReplicaDirectory,
        taker: CatalogTaker,
        me: Address,
        times: CatalogTimes,
        rng: random.Random,
        may_share: bool = True,
    ) -> None:
        self.runners_at = 0
        self.version = 0
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
        self._num_fresh = 0
        self._is_shared = False
        self._num_failed = 0
        self._expiry: asyncio.TimerHandle | None = None
        transport.one_way_handlers[HELLO_METHOD] = self._take_hello

    async def run(self) -> None:
        """Ask again and again until cancelled."""
        while True:
            target = self._target()
            reply = await self._ask(target) if target is not None else None
            if reply is None:
                self._num_failed += 1
                await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
                continue
            self._take(reply)
            if not self._is_shared:
                await asyncio.sleep(IDLE_INTERVAL_S)

    def note_registry(self, at: int) -> None:
        """The front has read the runners from the registry itself, up to a revision."""
        self.runners_at = max(self.runners_at, at)

    def _take_hello(self, payload: bytes) -> None:
        """A replica machine that has just started tells where it is."""
        self._directory.put(from_wire(wire_turns.ReplicaHello.FromString(payload)))

    # --- asking ----------------------------------------------------------------------------

    def _target(self) -> Address | None:
        """The first replica machine by a rank that all fronts share; after a failure, the next."""
        by_name = self._directory.by_name
        ranked = rendezvous_rank(CATALOG_METHOD, by_name)
        return by_name[ranked[self._num_failed % len(ranked)]].address if ranked else None

    async def _ask(self, target: Address) -> wire.CatalogReply | None:
        wait_s = self._times.interval_s if self._is_shared else 0.0
        request = wire.CatalogRequest(
            runners_at=self.runners_at,
            document_version=self.version,
            wait_ms=int(wait_s * 1000),
            asker=wire.PeerAddress(host=self._me.host, port=self._me.port),
        )
        # A word that is waited for says nothing of the way meanwhile, so it goes directly.
        ways = self._transport if wait_s and not self._num_failed else self._requests
        try:
            content = await ways.request(
                target, CATALOG_METHOD, request.SerializeToString(), wait_s + REPLY_MARGIN_S
            )
        except PeerUnreachable:
            return None
        return wire.CatalogReply.FromString(content)

    # --- what is told ----------------------------------------------------------------------

    def _take(self, reply: wire.CatalogReply) -> None:
        self._num_failed = 0
        self._take_document(reply)
        is_level = self._take_runners(reply)
        for hello in reply.replicas:
            self._directory.put(from_wire(hello))
        self.fronts = [read_peer(front) for front in reply.fronts]
        self._is_shared = self._may_share and reply.num_askers >= MIN_SHARED_ASKERS
        age_s = reply.age_ms / 1000
        is_current = is_level and reply.document_version >= self.version
        if self._is_shared and is_current and age_s < self._times.max_age_s:
            self._note_fresh(self._times.max_age_s - age_s)
        else:
            self._num_fresh = 0

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

    def _take_runners(self, reply: wire.CatalogReply) -> bool:
        """Take what is newer; ``False``: the other side knows less than this front."""
        if not reply.has_runners or reply.runners_at < self.runners_at:
            return False
        runners = [read_runner(row).runner for row in reply.runners]
        if reply.since == 0:
            is_first = self.runners_at == 0
            is_trusted = reply.age_ms / 1000 < self._times.max_age_s
            self._taker.list_runners(runners, is_trusted)
            if is_first:
                log.say("tells the runners", at=reply.runners_at, age_ms=_age_ms(reply))
        elif reply.since == self.runners_at:
            for runner in runners:
                self._taker.put_runner(runner)
            for gone in reply.removed:
                self._taker.remove_runner(gone.runner_id, gone.is_trusted)
        else:
            return False
        self.runners_at = reply.runners_at
        return True

    # --- freshness -------------------------------------------------------------------------

    def _note_fresh(self, for_s: float) -> None:
        self._num_fresh += 1
        if self._expiry is not None:
            self._expiry.cancel()
        self._expiry = asyncio.get_running_loop().call_later(for_s, self._expire)
        if self._num_fresh >= SETTLED_REPLIES:
            self._set_fresh(True)

    def _expire(self) -> None:
        self._num_fresh = 0
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
