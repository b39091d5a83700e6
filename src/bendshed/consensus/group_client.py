"""Client that reaches the leader of a group from any node, across leader changes."""

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from bendshed.identifiers import group_of
from bendshed.model.address import Address
from bendshed.ports.transport import PeerUnreachable, RequestSender
from bendshed.wire import programs_pb2 as wire

COMMAND_METHOD = "group.command"
REPLY_MARGIN_S = 1.0
"""Time that a leader may take to reply beyond the wait of a request."""
SILENT_NODE_BACKOFF_S = 1.0
"""A node that timed out is not tried for this long while others are available. One whose machine
refuses the connection is cheap to try and may be about to start, so it gets no backoff."""
EXTRA_TIMEOUT_ROUND_TRIPS = 3.0
"""Round trips that are added to the timeout of a remote leader: one for the direct path, two for a
relayed one when that times out (`paths/`)."""
MIN_CONCLUSIVE_ROUND_TRIPS = 2.0
"""A timeout shorter than this many round trips does not show that the node is unavailable."""
MIN_CONCLUSIVE_TIMEOUT_S = 0.06
"""The same bound for a nearby node, whose commit may wait for remote replicas."""
RETRY_MIN_S = 0.02
RETRY_MAX_S = 0.2


class GroupUnavailable(Exception):
    """No leader answered in time; it is unknown whether the command took effect."""


@dataclass(frozen=True, slots=True)
class LeaderAnswer:
    """Reply of the presumed leader of a group."""

    node_id: str
    content: bytes


class GroupClient:
    """Sends commands to group leaders; every command must be safe to send again.

    Invariant: a failed attempt clears only the leader that it assumed itself, not one that another
    attempt has recorded since.

    Attributes:
        leaders: group -> node id of the last reported leader (a hint).

    While no leader is known, one of the nodes that may lead is tried, the likely leaders first.

    """

    def __init__(
        self,
        transport: RequestSender,
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
            key: determines the group.
            command: must be applied at most once however often it is sent.
            timeout_s: for all attempts together; after it ``GroupUnavailable`` is raised.
            wait_s: how long the leader may wait for the call to be dispatched or finished.

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
        """Send a request to the presumed leader of a group.

        Returns ``None`` without an answer; the presumed leader is then forgotten, unless the time
        was too short to show that it is unavailable.

        Args:
            group_id: group whose leader is asked.
            method: name of the request method.
            payload: serialized request.
            timeout_s: timeout for a nearby leader; a remote one gets more.
            max_timeout_s: upper bound, after which an answer is of no use.

        """
        target = self._choose_target(group_id)
        address = self._resolve(target) if target else None
        if address is None:
            self._forget_leader(group_id, target)
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
            self._forget_leader(group_id, target)
            if error.is_silent:
                self._backoff_until_s[target] = (
                    asyncio.get_running_loop().time() + SILENT_NODE_BACKOFF_S
                )
            return None
        self._backoff_until_s.pop(target, None)
        return LeaderAnswer(target, content)

    def round_trip_to_leader_s(self, group_id: int) -> float:
        """Minimum response time of the presumed leader: the expected round trip; 0 without one."""
        address = self._resolve(self.leaders.get(group_id, ""))
        return self._expected_round_trip_s(address) if address is not None else 0.0

    def follow_hint(self, group_id: int, hint: str, hinted_by: str) -> None:
        """Follow the leader hint of a node that does not lead the group; may be empty.

        Followers name a dead leader until their election timeout, so a leader that was silent
        within ``SILENT_NODE_BACKOFF_S`` is not tried again because of their hint.
        """
        if hint and not self._is_backed_off(hint):
            self.leaders[group_id] = hint
        else:
            self._forget_leader(group_id, hinted_by)

    def _forget_leader(self, group_id: int, node_id: str) -> None:
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
