"""Requests that reach a peer through another node while the direct path returns no answer.

The same request may arrive on both paths, so only idempotent methods are sent here. (SWIM's
indirect probes, Das 2002, apply the same idea to heartbeats.)
"""

import asyncio
import random
from collections.abc import Callable

from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.paths.adaptive_timeout import AdaptiveTimeout
from bendshed.paths.host_locations import HostLocations
from bendshed.paths.path_state import IsolationDetector, KnownPaths, PathState
from bendshed.paths.relay_search import RelaySearch, note_failure, spawn
from bendshed.paths.relay_server import RelayServer
from bendshed.ports.transport import PeerUnreachable, Transport

log = PartLog("paths")


class RelayedRequests:
    """Sends requests on the path that works, and relays requests of other nodes.

    Attributes:
        num_relayed: requests of this node that were answered through a relay.
        num_doubled: requests that were also relayed while the direct answer was pending.

    """

    def __init__(
        self,
        transport: Transport,
        rng: random.Random,
        relays: Callable[[], list[Address]],
        relayed_methods: frozenset[str],
        host_locations: HostLocations | None = None,
    ) -> None:
        self.num_relayed = 0
        self.num_doubled = 0
        self._transport = transport
        self._adaptive_timeout = AdaptiveTimeout(
            transport.round_trip_s,
            host_locations if host_locations is not None else HostLocations(),
        )
        self._isolation = IsolationDetector()
        self._search = RelaySearch(transport, rng, relays, self._adaptive_timeout, self._isolation)
        self._paths = KnownPaths()
        self._server = RelayServer(transport, relayed_methods, self.is_relay_only)

    @property
    def is_isolated(self) -> bool:
        """Whether neither targets nor relays have answered within the isolation timeout."""
        if self._isolation.silent_since_s is None:
            return False  # metrics may be read outside an event loop
        return self._isolation.is_isolated(asyncio.get_running_loop().time())

    def expected_round_trip_s(self, peer: Address) -> float:
        """Return the measured round trip to a peer, or the default for its distance."""
        return self._adaptive_timeout.expected_round_trip_s(peer)

    def is_relay_only(self, peer: Address) -> bool:
        """Return whether only relays reach a peer, so that a request must not long-poll it."""
        return self._paths.is_relay_only(peer)

    async def request(self, peer: Address, method: str, payload: bytes, timeout_s: float) -> bytes:
        """Send a request; raise ``PeerUnreachable`` if no path returns an answer in time."""
        path = self._paths.get(peer)
        now_s = asyncio.get_running_loop().time()
        until_s = now_s + timeout_s
        direct_timeout_s = self._adaptive_timeout.direct_timeout_s(peer, method, now_s)
        tasks: set[asyncio.Task[bytes]] = set()
        if path.claim_direct_request(now_s):
            tasks.add(spawn(self._request_directly(path, peer, method, payload, timeout_s)))
        try:
            if not path.is_relay_only and not self._paths.may_be_relay_only(path):
                done, _ = await asyncio.wait(tasks, timeout=min(direct_timeout_s, timeout_s))
                if done and not _failed(done):
                    return done.pop().result()
            now_s = asyncio.get_running_loop().time()
            left_s = until_s - now_s
            if left_s > 0 and path.may_relay(now_s, direct_timeout_s):
                self.num_doubled += not path.is_relay_only and any(
                    not task.done() for task in tasks
                )
                tasks.add(spawn(self._request_via_relay(path, peer, method, payload, left_s)))
            elif left_s > 0 and path.search_done is not None:
                tasks.add(spawn(self._request_after_search(path, peer, method, payload, until_s)))
            return await _first_answer(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _request_directly(
        self, path: PathState, peer: Address, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        started_s = asyncio.get_running_loop().time()
        try:
            answer = await self._transport.request(peer, method, payload, timeout_s)
        except PeerUnreachable as error:
            note_failure(self._isolation, error, self._adaptive_timeout, peer)
            raise
        path.answered_s = asyncio.get_running_loop().time()
        self._adaptive_timeout.note(peer, method, path.answered_s - started_s, path.answered_s)
        self._isolation.note_answer()
        if path.is_relay_only:
            path.is_relay_only = False
            log.say("direct path in use again", peer=str(peer))
        return answer

    async def _request_via_relay(
        self, path: PathState, peer: Address, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        search = asyncio.Event()
        if not path.is_relay_only:
            path.search_done = search
        try:
            answer = await self._search.send(path, peer, method, payload, timeout_s)
        except PeerUnreachable as error:
            path.note_unreachable(asyncio.get_running_loop().time())
            raise PeerUnreachable(
                str(error), is_silent=not self._paths.has_relay_only_path
            ) from error
        else:
            self._note_relayed(path, peer)
        finally:
            if path.search_done is search:
                path.search_done = None
            search.set()
        return answer

    def _note_relayed(self, path: PathState, peer: Address) -> None:
        self.num_relayed += 1
        if not path.is_relay_only:
            path.is_relay_only = True
            self._paths.last_relay_only_s = asyncio.get_running_loop().time()
            log.say("relayed path in use: direct path timed out", peer=str(peer))

    async def _request_after_search(
        self, path: PathState, peer: Address, method: str, payload: bytes, until_s: float
    ) -> bytes:
        """Wait for another request's search, and use the relay that it finds."""
        if path.search_done is not None:
            await path.search_done.wait()
        left_s = until_s - asyncio.get_running_loop().time()
        if not path.is_relay_only or left_s <= 0:
            raise PeerUnreachable(f"no path to {peer} was found")
        return await self._request_via_relay(path, peer, method, payload, left_s)


def _failed(done: "set[asyncio.Task[bytes]]") -> bool:
    return all(task.exception() is not None for task in done)


async def _first_answer(tasks: "set[asyncio.Task[bytes]]") -> bytes:
    """Return the first successful result; if all fail, raise the most conclusive failure."""
    waiting = set(tasks)
    failure: BaseException = PeerUnreachable("no path to the peer")
    while waiting:
        done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            error = task.exception()
            if error is None:
                return task.result()
            if not isinstance(failure, PeerUnreachable) or failure.is_silent:
                failure = error
    raise failure
