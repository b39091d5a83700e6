"""Searches for a relay: a node that reaches a target that the direct path does not reach."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from bendshed.model.address import Address
from bendshed.paths.adaptive_timeout import AdaptiveTimeout
from bendshed.paths.path_state import RELAY_AVOIDANCE_S, IsolationDetector, PathState, rank_relays
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.wire import catalog_pb2 as wire

RELAY_METHOD = "paths.relay"
MAX_CONCURRENT_RELAYS = 2
"""Relays that one request tries at the same time; each may deliver a copy of it to the target."""
MAX_FAILED_RELAYS = 2
"""When this many relays do not reach a target, it is not this node that is cut off."""


@dataclass(slots=True)
class _Search:
    """One request that searches for a relay.

    Attributes:
        until_s: loop time after which an answer is too late.
        num_failed_relays: relays that did not reach the target and do not know it as relay-only.

    """

    path: PathState
    peer: Address
    method: str
    payload: bytes
    until_s: float
    num_failed_relays: int = 0

    @property
    def may_try_more(self) -> bool:
        """Whether the target may be up although some relays did not reach it."""
        return self.num_failed_relays < MAX_FAILED_RELAYS


class RelaySearch:
    """Sends requests through relays."""

    def __init__(
        self,
        transport: Transport,
        rng: random.Random,
        relays: Callable[[], list[Address]],
        adaptive_timeout: AdaptiveTimeout,
        isolation: IsolationDetector,
    ) -> None:
        self._transport = transport
        self._rng = rng
        self._relays = relays
        self._adaptive_timeout = adaptive_timeout
        self._isolation = isolation
        self._silent_until_s: dict[Address, float] = {}
        self._last_good_relay: Address | None = None

    async def send(
        self, path: PathState, peer: Address, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Try relays one after the other, and a second one in parallel when one takes too long.

        Raises ``PeerUnreachable`` when none reaches the target in time.
        """
        until_s = asyncio.get_running_loop().time() + timeout_s
        search = _Search(path, peer, method, payload, until_s)
        candidates = self._candidates(path, peer)
        pending: set[asyncio.Task[bytes]] = set()
        max_concurrent, second_delay_s = 1, 0.0
        try:
            while True:
                while candidates and len(pending) < max_concurrent and search.may_try_more:
                    relay = candidates.pop(0)
                    second_delay_s = self._adaptive_timeout.second_relay_delay_s(
                        relay, peer, method, _now_s()
                    )
                    pending.add(spawn(self._request_via(relay, search)))
                if not pending:
                    break
                may_add = candidates and len(pending) < MAX_CONCURRENT_RELAYS
                done, pending = await asyncio.wait(
                    pending,
                    timeout=second_delay_s if may_add else None,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    if task.exception() is None:
                        return task.result()
                max_concurrent = 1 if done else MAX_CONCURRENT_RELAYS
        finally:
            for task in pending:
                task.cancel()
        raise PeerUnreachable(f"no relay reaches {peer}")

    async def _request_via(self, relay: Address, search: _Search) -> bytes:
        """Try one relay; raise ``PeerUnreachable`` unless it reaches the target in time."""
        now_s, peer, method = _now_s(), search.peer, search.method
        left_s = search.until_s - now_s
        if left_s <= self._adaptive_timeout.min_relay_time_s(relay, peer, method, now_s):
            raise PeerUnreachable(f"no time is left to reach {peer} through {relay}")
        target_timeout_s = self._adaptive_timeout.target_timeout_s(relay, peer, method, now_s)
        request = wire.RelayRequest(
            target=wire.PeerAddress(host=peer.host, port=peer.port),
            method=method,
            payload=search.payload,
            timeout_ms=max(1, int(min(target_timeout_s, left_s) * 1000)),
        )
        relay_timeout_s = min(
            self._adaptive_timeout.relay_timeout_s(relay, peer, method, now_s), left_s
        )
        reply = await self._request(relay, request, relay_timeout_s)
        if reply is not None and reply.is_reached:
            search.path.last_relay = self._last_good_relay = relay
            return reply.payload
        search.path.note_relay_failed(relay, _now_s())
        search.num_failed_relays += reply is not None and not reply.is_cut_here
        raise PeerUnreachable(f"{relay} does not reach {peer}")

    async def _request(
        self, relay: Address, request: wire.RelayRequest, timeout_s: float
    ) -> wire.RelayReply | None:
        """Send a request to one relay; return ``None`` if it does not answer."""
        try:
            content = await self._transport.request(
                relay, RELAY_METHOD, request.SerializeToString(), timeout_s
            )
        except PeerUnreachable as error:
            note_failure(self._isolation, error, self._adaptive_timeout, relay)
            self._silent_until_s[relay] = _now_s() + RELAY_AVOIDANCE_S
            return None
        self._isolation.note_relay_answer(_now_s())
        return wire.RelayReply.FromString(content)

    def _candidates(self, path: PathState, peer: Address) -> list[Address]:
        """Return the relays that may be tried, the best first; equal ones in random order."""
        now_s = _now_s()
        eligible = [
            node
            for node in self._relays()
            if node != peer
            and self._silent_until_s.get(node, 0.0) <= now_s
            and path.may_use_relay(node, now_s)
        ]
        self._rng.shuffle(eligible)
        locations = self._adaptive_timeout.host_locations
        far = {node.host for node in eligible if locations.is_far(node.host)}
        return rank_relays(eligible, path.last_relay, self._last_good_relay, far)


def note_failure(
    isolation: IsolationDetector, error: PeerUnreachable, timeouts: AdaptiveTimeout, peer: Address
) -> None:
    """Record a failed request; a refused connection counts as an answer of the peer's machine."""
    if error.is_silent:
        isolation.note_silence(timeouts.expected_round_trip_s(peer), _now_s())
    else:
        isolation.note_answer()


def spawn(work: Coroutine[Any, Any, bytes]) -> "asyncio.Task[bytes]":
    """Start one path of a request as a task that may fail without being awaited."""
    task = asyncio.get_running_loop().create_task(work)
    task.add_done_callback(_retrieve_exception)
    return task


def _retrieve_exception(task: "asyncio.Task[bytes]") -> None:
    """Retrieve the exception of a task that is not awaited, so that the loop does not report it."""
    if not task.cancelled():
        task.exception()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
