"""Reaches the leader of a group from any node, across leader changes."""

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from bendshed.identifiers import group_of
from bendshed.model.address import Address
from bendshed.ports.transport import PeerUnreachable, Requests
from bendshed.wire import programs_pb2 as wire

COMMAND_METHOD = "group.command"
REPLY_MARGIN_S = 1.0
"""Time that a leader may take beyond the wait of a request."""
SILENT_NODE_BACKOFF_S = 1.0
"""A node that gave no answer is not tried for this long while others can be. One whose machine
refuses the connection costs nothing to try, and may be about to start."""
EXTRA_TIMEOUT_ROUND_TRIPS = 3.0
"""Where the leader is far, its bound has so many round trips more: one for the direct
path, two for a relayed one when that times out (`paths/`)."""
MIN_CONCLUSIVE_ROUND_TRIPS = 2.0
"""A node that had less time than so many round trips may be well though it gave no answer."""
MIN_CONCLUSIVE_TIMEOUT_S = 0.06
"""The same for a near one, whose commit may wait for replicas that are far."""
RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.2


class GroupUnavailable(Exception):
    """No leader answered in time; whether the command took effect is unknown."""


@dataclass(frozen=True, slots=True)
class LeaderAnswer:
    """What the supposed leader of a group said."""

    node_id: str
    content: bytes


class GroupClient:
    """Sends commands to group leaders; every command may be sent again without harm.

    Invariant: a failed try takes back only what it supposed itself; what another try has learned
    meanwhile stays.

    Attributes:
        leaders: group -> node id of the leader last named (a hint).

    While no leader is known, one of the nodes that may lead is tried, the likely ones first.

    """

    def __init__(
        self,
        transport: Requests,
        rng: random.Random,
        group_count: int,
        resolve: Callable[[str], Address | None],
        disk_nodes: Callable[[], list[str]],
        likely_leaders: Callable[[int], list[str]] = lambda _group: [],
        expected_round_trip_s: Callable[[Address], float] = lambda _peer: 0.0,
    ) -> None:
        self.leaders: dict[int, str] = {}
        self._expected_round_trip_s = expected_round_trip_s
        self.group_count = group_count
        self._transport = transport
        self._rng = rng
        self._resolve = resolve
        self._disk_nodes = disk_nodes
        self._likely_leaders = likely_leaders
        self._backoff_until_s: dict[str, float] = {}

    async def command(
        self, key: str, command: wire.ProgramCommand, timeout_s: float, wait_s: float = 0.0
    ) -> wire.CallResult:
        """Commit a command in the group of ``key`` (program id or tenant).

        Args:
            key: decides the group.
            command: may be applied at most once however often it is sent.
            timeout_s: over all tries; then ``GroupUnavailable``.
            wait_s: how long the leader may wait for the call's turn or outcome.

        """
        request = wire.GroupRequest(
            group_id=group_of(key, self.group_count), command=command, wait_ms=int(wait_s * 1000)
        )
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while loop.time() < deadline_s:
            reply = await self._try_once(request, deadline_s - loop.time(), wait_s)
            if reply is not None and reply.is_leader:
                return reply.result
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
        raise GroupUnavailable(f"group {request.group_id} has no leader that answers")

    async def _try_once(
        self, request: wire.GroupRequest, remaining_s: float, wait_s: float
    ) -> wire.GroupReply | None:
        timeout_s = wait_s + REPLY_MARGIN_S
        answer = await self.request_leader(
            request.group_id, COMMAND_METHOD, request.SerializeToString(), timeout_s, remaining_s
        )
        if answer is None:
            return None
        reply = wire.GroupReply.FromString(answer.content)
        if reply.is_leader:
            self.leaders[request.group_id] = answer.node_id
        else:
            self.follow_hint(request.group_id, reply.not_leader_hint, answer.node_id)
        return reply

    async def request_leader(
        self,
        group_id: int,
        method: str,
        payload: bytes,
        timeout_s: float,
        max_timeout_s: float = math.inf,
    ) -> LeaderAnswer | None:
        """Send the supposed leader of a group a request; ``None``: no answer, it is forgotten.

        Args:
            group_id: which group.
            method: of the request.
            payload: of the request.
            timeout_s: for an answer of a neighbour; a far leader has more.
            max_timeout_s: no answer helps after this long.

        """
        target = self._choose_target(group_id)
        address = self._resolve(target) if target else None
        if address is None:
            self._forget(group_id, target)
            return None
        expected_round_trip_s = self._expected_round_trip_s(address)
        request_timeout_s = min(
            timeout_s + EXTRA_TIMEOUT_ROUND_TRIPS * expected_round_trip_s, max_timeout_s
        )
        try:
            content = await self._transport.request(address, method, payload, request_timeout_s)
        except PeerUnreachable as error:
            if error.is_silent and request_timeout_s < max(
                MIN_CONCLUSIVE_ROUND_TRIPS * expected_round_trip_s, MIN_CONCLUSIVE_TIMEOUT_S
            ):
                return None
            self._forget(group_id, target)
            if error.is_silent:
                self._backoff_until_s[target] = (
                    asyncio.get_running_loop().time() + SILENT_NODE_BACKOFF_S
                )
            return None
        self._backoff_until_s.pop(target, None)
        return LeaderAnswer(target, content)

    def round_trip_to_leader_s(self, group_id: int) -> float:
        """The round trip to the supposed leader: sooner no answer comes; 0: nobody is known."""
        address = self._resolve(self.leaders.get(group_id, ""))
        return self._expected_round_trip_s(address) if address is not None else 0.0

    def follow_hint(self, group_id: int, hint: str, hinted_by: str) -> None:
        """A node that does not lead the group named who may; empty: nobody known.

        Followers name a dead leader until they miss it, so one that was silent within
        ``SILENT_NODE_BACKOFF_S``
        is not tried again for their hint.
        """
        if hint and not self._is_backed_off(hint):
            self.leaders[group_id] = hint
        else:
            self._forget(group_id, hinted_by)

    def _forget(self, group_id: int, node_id: str) -> None:
        if self.leaders.get(group_id) == node_id:
            del self.leaders[group_id]

    def _is_backed_off(self, node_id: str) -> bool:
        until_s = self._backoff_until_s.get(node_id, 0.0)
        return asyncio.get_running_loop().time() < until_s

    def _choose_target(self, group_id: int) -> str:
        known = self.leaders.get(group_id)
        if known is not None:
            return known
        likely = [node for node in self._likely_leaders(group_id) if not self._is_backed_off(node)]
        candidates = likely or self._disk_nodes()
        answering = [node for node in candidates if not self._is_backed_off(node)]
        return self._rng.choice(answering or candidates) if candidates else ""
