"""Looks for a node that passes a request on to a target which the direct way does not reach."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from bendshed.model.address import Address
from bendshed.paths.adaptive_timeout import AdaptiveTimeout
from bendshed.paths.neighbours import Neighbours
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.wire import catalog_pb2 as wire

RELAY_METHOD = "paths.relay"
MAX_RELAYS_AT_ONCE = 2
LATE_TIMES, LATE_SLACK_S = 1.25, 0.03
"""A relay is late after so many times the least that its way can take, and this. Then a second one
is asked, and the first still waited for: a third of all nodes may be cut off together."""
RELAY_SILENT_S = 1.0
"""A node that did not answer as a relay, or did not reach a target, is not asked for this long."""
MAX_UNREACHED = 2
"""So many relays that do not reach a target prove that it is not this node that is cut off."""


@dataclass(slots=True)
class Way:
    """What is known of the way to one target.

    Attributes:
        is_cut: relays reach it and the direct way does not.
        heard_s: loop time of the last direct reply.
        scouting: set while a request is finding out whether relays reach it; set off at its end.
        relay: the one that reached it last; asked first.
        avoided_until_s: relays that did not reach it, and until when they are not asked.

    """

    is_cut: bool = False
    heard_s: float = float("-inf")
    scouting: asyncio.Event | None = None
    probe_from_s: float = 0.0
    no_relay_until_s: float = 0.0
    relay: Address | None = None
    avoided_until_s: dict[Address, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Search:
    """One request that looks for a relay.

    Attributes:
        until_s: loop time after which no answer helps.
        num_unreached: relays that do not reach the target, and know of no cut of their own.

    """

    peer: Address
    method: str
    payload: bytes
    until_s: float
    num_unreached: int = 0

    @property
    def may_ask_more(self) -> bool:
        """Whether the target may be well although some relays do not reach it."""
        return self.num_unreached < MAX_UNREACHED


class RelaySearch:
    """Asks relays, one after the other.

    Attributes:
        heard_s: loop time of the last word of any relay.

    """

    def __init__(
        self,
        transport: Transport,
        rng: random.Random,
        relays: Callable[[], list[Address]],
        adaptive_timeout: AdaptiveTimeout,
        neighbours: Neighbours,
        on_word: Callable[[], None],
        on_failure: Callable[[PeerUnreachable, Address], None],
    ) -> None:
        self.heard_s = float("-inf")
        self._transport = transport
        self._rng = rng
        self._relays = relays
        self._adaptive_timeout = adaptive_timeout
        self._neighbours = neighbours
        self._on_word = on_word
        self._on_failure = on_failure
        self._silent_until_s: dict[Address, float] = {}
        self._good_relay: Address | None = None

    async def find(
        self, way: Way, peer: Address, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Ask one relay after the other, and a second one beside it when that takes too long."""
        search = _Search(peer, method, payload, asyncio.get_running_loop().time() + timeout_s)
        candidates = self._candidates(way, peer)
        asking: set[asyncio.Task[bytes]] = set()
        num_at_once, late_s = 1, 0.0
        try:
            while True:
                while candidates and len(asking) < num_at_once and search.may_ask_more:
                    relay = candidates.pop(0)
                    late_s = self._late_s(relay, search)
                    asking.add(spawn(self._through(way, relay, search)))
                if not asking:
                    break
                may_add = candidates and len(asking) < MAX_RELAYS_AT_ONCE
                done, asking = await asyncio.wait(
                    asking,
                    timeout=late_s if may_add else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    if task.exception() is None:
                        return task.result()
                num_at_once = 1 if done else MAX_RELAYS_AT_ONCE
        finally:
            for task in asking:
                task.cancel()
        raise PeerUnreachable(f"no relay reaches {peer}")

    def _late_s(self, relay: Address, search: _Search) -> float:
        """After this long without an answer another relay is asked beside this one."""
        now_s = asyncio.get_running_loop().time()
        least_s = self._adaptive_timeout.least_relay_s(relay, search.peer, search.method, now_s)
        return LATE_TIMES * least_s + LATE_SLACK_S

    async def _through(self, way: Way, relay: Address, search: _Search) -> bytes:
        """Ask one relay; raise ``PeerUnreachable`` unless it reaches the target in time."""
        loop = asyncio.get_running_loop()
        now_s, peer, method = loop.time(), search.peer, search.method
        left_s = search.until_s - now_s
        least_s = self._adaptive_timeout.least_relay_s(relay, peer, method, now_s)
        if left_s <= least_s:
            raise PeerUnreachable(f"no time is left to reach {peer} through {relay}")
        passed_on_s = self._adaptive_timeout.passed_on_s(relay, peer, method, now_s)
        request = wire.RelayRequest(
            target=wire.PeerAddress(host=peer.host, port=peer.port),
            method=method,
            payload=search.payload,
            timeout_ms=max(1, int(min(passed_on_s, left_s) * 1000)),
        )
        try_s = min(self._adaptive_timeout.relay_s(relay, peer, method, now_s), left_s)
        reply = await self._ask_relay(relay, request, try_s)
        if reply is not None and reply.is_reached:
            way.relay = self._good_relay = relay
            return reply.payload
        way.avoided_until_s[relay] = loop.time() + RELAY_SILENT_S
        search.num_unreached += reply is not None and not reply.is_cut_here
        raise PeerUnreachable(f"{relay} does not reach {peer}")

    async def _ask_relay(
        self, relay: Address, request: wire.RelayRequest, timeout_s: float
    ) -> wire.RelayReply | None:
        """Ask one relay; ``None``: it does not answer."""
        try:
            content = await self._transport.request(
                relay, RELAY_METHOD, request.SerializeToString(), timeout_s
            )
        except PeerUnreachable as error:
            self._on_failure(error, relay)
            self._silent_until_s[relay] = asyncio.get_running_loop().time() + RELAY_SILENT_S
            return None
        self.heard_s = asyncio.get_running_loop().time()
        self._on_word()
        return wire.RelayReply.FromString(content)

    def _candidates(self, way: Way, peer: Address) -> list[Address]:
        """Who may be asked: the last that reached the target, then those of this region.

        The way through a relay beside the target is as long; but for a target in this region it
        crosses the link twice.
        """
        now_s = asyncio.get_running_loop().time()
        waits = (self._silent_until_s, way.avoided_until_s)
        heard = [
            node
            for node in self._relays()
            if node != peer and all(until_s.get(node, 0.0) <= now_s for until_s in waits)
        ]
        self._rng.shuffle(heard)
        heard.sort(
            key=lambda node: (
                node != way.relay,
                node != self._good_relay,
                self._neighbours.is_far(node.host),
            )
        )
        return heard


def spawn(work: Coroutine[Any, Any, bytes]) -> "asyncio.Task[bytes]":
    """Start one way of a request; it may fail without being waited for."""
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_see_failure)
    return task


def _see_failure(task: "asyncio.Task[bytes]") -> None:
    """A way that was not waited for may fail."""
    if not task.cancelled():
        task.exception()
