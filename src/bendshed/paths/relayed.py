"""Requests that reach a peer through another node while the direct way is silent.

One hop and never more: a relay asks the target directly. The same request may arrive on both ways,
so only requests that may be repeated without harm go here. (SWIM's indirect probes, Das 2002, are
the same idea for heartbeats.)
"""

import asyncio
import random
from collections.abc import Callable

from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.paths.adaptive_timeout import AdaptiveTimeout
from bendshed.paths.neighbours import Neighbours
from bendshed.paths.relay_search import RELAY_METHOD, RELAY_SILENT_S, RelaySearch, Way, spawn
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.wire import catalog_pb2 as wire

DIRECT_PROBE_S = 0.5
"""While a target is reached through others, one request this often also goes directly."""
UNREACHED_PAUSE_S = 0.2
"""A target that relays do not reach either is not looked for through others for this long."""
ISOLATED_S = 0.3
"""A node that hears nobody for this long, neither targets nor relays, is cut off from all."""
ISOLATED_TRIPS = 3.0
"""And longer than so many round trips to the farthest node that it asked in vain."""
MAX_OPEN_RELAYS = 64
"""Requests that a node passes on for others at the same time."""

log = PartLog("paths")


class RelayedRequests:
    """Sends requests on the way that works, and passes others' requests on.

    Attributes:
        num_relayed: requests of this node that were answered through another.
        num_doubled: requests that went through others too while the direct answer was still out.

    """

    def __init__(
        self,
        transport: Transport,
        rng: random.Random,
        relays: Callable[[], list[Address]],
        relayed_methods: frozenset[str],
        neighbours: Neighbours | None = None,
    ) -> None:
        self.num_relayed = 0
        self.num_doubled = 0
        self._transport = transport
        self._neighbours = neighbours if neighbours is not None else Neighbours()
        self._adaptive_timeout = AdaptiveTimeout(transport.round_trip_s, self._neighbours)
        self._search = RelaySearch(
            transport,
            rng,
            relays,
            self._adaptive_timeout,
            self._neighbours,
            self._note_word,
            self._note_failure,
        )
        self._relayed_methods = relayed_methods
        self._ways: dict[Address, Way] = {}
        self._silent_since_s: float | None = None
        self._silent_way_s = 0.0
        self._num_open = 0
        self._cut_since_s = float("-inf")
        transport.handlers[RELAY_METHOD] = self._pass_on

    @property
    def is_isolated(self) -> bool:
        """Nobody, neither a target nor a relay, has said anything for a while."""
        if self._silent_since_s is None:
            return False
        now_s = asyncio.get_running_loop().time()
        isolated_s = max(ISOLATED_S, ISOLATED_TRIPS * self._silent_way_s)
        is_heard_by_relays = now_s - self._search.heard_s < RELAY_SILENT_S + isolated_s
        return now_s - self._silent_since_s > isolated_s and not is_heard_by_relays

    def expected_round_trip_s(self, peer: Address) -> float:
        """The round trip to a peer as measured, or what one of its kind takes."""
        return self._adaptive_timeout.expected_round_trip_s(peer)

    def is_cut(self, peer: Address) -> bool:
        """Whether only relays reach a peer: it must not be asked to wait before it answers."""
        way = self._ways.get(peer)
        return way is not None and way.is_cut

    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Send a request; raise ``PeerUnreachable`` when no way gives an answer in time."""
        way = self._ways.setdefault(peer, Way())
        now_s = asyncio.get_running_loop().time()
        until_s = now_s + timeout_s
        adaptive_timeout_s = self._adaptive_timeout.direct_s(peer, method, now_s)
        tasks: set[asyncio.Task[bytes]] = set()
        if not way.is_cut or now_s >= way.probe_from_s:
            way.probe_from_s = now_s + DIRECT_PROBE_S
            tasks.add(spawn(self._directly(way, peer, method, payload, timeout_s)))
        try:
            if not way.is_cut and not self._is_likely_cut(way):
                done, _ = await asyncio.wait(tasks, timeout=min(adaptive_timeout_s, timeout_s))
                if done and not _failed(done):
                    return done.pop().result()
            left_s = until_s - asyncio.get_running_loop().time()
            if left_s > 0 and self._may_relay(way, adaptive_timeout_s):
                self.num_doubled += not way.is_cut and any(not task.done() for task in tasks)
                tasks.add(spawn(self._indirectly(way, peer, method, payload, left_s)))
            elif left_s > 0 and way.scouting is not None:
                tasks.add(spawn(self._after_scout(way, peer, method, payload, until_s)))
            return await _first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()

    def _is_likely_cut(self, way: Way) -> bool:
        """Another target was found behind a cut, and this one said nothing since."""
        return self._is_behind_cut and way.heard_s < self._cut_since_s

    @property
    def _is_behind_cut(self) -> bool:
        """Whether any target is reached only through others.

        Then a target that relays do not reach may be well: the relays may be cut off too.
        """
        return any(way.is_cut for way in self._ways.values())

    def _may_relay(self, way: Way, adaptive_timeout_s: float) -> bool:
        if way.is_cut:
            return True
        now_s = asyncio.get_running_loop().time()
        was_heard = now_s - way.heard_s < adaptive_timeout_s
        return not was_heard and way.scouting is None and now_s >= way.no_relay_until_s

    async def _directly(
        self, way: Way, peer: Address, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        began_s = asyncio.get_running_loop().time()
        try:
            answer = await self._transport.request(peer, method, payload, timeout_s)
        except PeerUnreachable as error:
            self._note_failure(error, peer)
            raise
        way.heard_s = asyncio.get_running_loop().time()
        self._adaptive_timeout.note(peer, method, way.heard_s - began_s, way.heard_s)
        self._note_word()
        if way.is_cut:
            way.is_cut = False
            log.say("direct path in use again", peer=str(peer))
        return answer

    async def _indirectly(
        self, way: Way, peer: Address, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        scouting = asyncio.Event()
        if not way.is_cut:
            way.scouting = scouting
        try:
            answer = await self._search.find(way, peer, method, payload, timeout_s)
        except PeerUnreachable as error:
            way.probe_from_s = 0.0
            if not way.is_cut:
                way.no_relay_until_s = asyncio.get_running_loop().time() + UNREACHED_PAUSE_S
            raise PeerUnreachable(str(error), is_silent=not self._is_behind_cut) from error
        else:
            self._note_relayed(way, peer)
        finally:
            if way.scouting is scouting:
                way.scouting = None
            scouting.set()
        return answer

    def _note_relayed(self, way: Way, peer: Address) -> None:
        self.num_relayed += 1
        if not way.is_cut:
            way.is_cut = True
            self._cut_since_s = asyncio.get_running_loop().time()
            log.say("relayed path in use: direct path timed out", peer=str(peer))

    async def _after_scout(
        self, way: Way, peer: Address, method: str, payload: bytes, until_s: float
    ) -> bytes:
        """Another request looks for a way already: follow it if it finds one."""
        if way.scouting is not None:
            await way.scouting.wait()
        left_s = until_s - asyncio.get_running_loop().time()
        if not way.is_cut or left_s <= 0:
            raise PeerUnreachable(f"no way to {peer} was found")
        return await self._indirectly(way, peer, method, payload, left_s)

    def _note_word(self) -> None:
        """Somebody answered."""
        self._silent_since_s = None

    def _note_failure(self, error: PeerUnreachable, peer: Address) -> None:
        if not error.is_silent:
            self._silent_since_s = None
            return
        if self._silent_since_s is None:
            self._silent_since_s = asyncio.get_running_loop().time()
            self._silent_way_s = 0.0
        self._silent_way_s = max(
            self._silent_way_s, self._adaptive_timeout.expected_round_trip_s(peer)
        )

    # --- for others ------------------------------------------------------------------------

    async def _pass_on(self, payload: bytes) -> bytes:
        """Ask a target directly for another node."""
        request = wire.RelayRequest.FromString(payload)
        target = Address(request.target.host, request.target.port)
        if self.is_cut(target):
            return wire.RelayReply(is_cut_here=True).SerializeToString()
        is_known = request.method in self._relayed_methods
        if not is_known or self._num_open >= MAX_OPEN_RELAYS:
            return wire.RelayReply(is_reached=False).SerializeToString()
        self._num_open += 1
        try:
            answer = await self._transport.request(
                target, request.method, request.payload, request.timeout_ms / 1000
            )
        except PeerUnreachable:
            return wire.RelayReply(is_reached=False).SerializeToString()
        finally:
            self._num_open -= 1
        return wire.RelayReply(is_reached=True, payload=answer).SerializeToString()


def _failed(done: "set[asyncio.Task[bytes]]") -> bool:
    return all(task.exception() is not None for task in done)


async def _first_answer(tasks: "set[asyncio.Task[bytes]]") -> bytes:
    """The first task's result that is one; without one, raise the failure that tells most."""
    waiting = set(tasks)
    failure: BaseException = PeerUnreachable("no way to the peer")
    while waiting:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            error = task.exception()
            if error is None:
                return task.result()
            if not isinstance(failure, PeerUnreachable) or failure.is_silent:
                failure = error
    raise failure
