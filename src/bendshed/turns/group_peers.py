"""Requests of a replica machine to the leaders of groups that it does not lead."""

import asyncio
import random

from bendshed.consensus.directory import ReplicaDirectory
from bendshed.consensus.group_client import EXTRA_TIMEOUT_ROUND_TRIPS, GroupClient, GroupUnavailable
from bendshed.consensus.retirement import EMPTIED_METHOD
from bendshed.model.address import Address
from bendshed.paths.host_locations import HostLocations
from bendshed.placement.groups import TurnGroups
from bendshed.ports.transport import Transport
from bendshed.turns.client import TurnClient
from bendshed.wire import turns_pb2 as wire

EMPTIED_TIMEOUT_S = 0.3
LEADER_LOOKUP_INTERVAL_S = 2.0
"""Interval at which another group's leader is looked up, since one-way messages get no reply."""


class GroupPeers:
    """Sends requests to the leaders of other groups; remembers the leaders as hints."""

    def __init__(
        self,
        transport: Transport,
        rng: random.Random,
        groups: TurnGroups,
        directory: ReplicaDirectory,
        host_locations: HostLocations,
    ) -> None:
        self._directory = directory
        self._client = GroupClient(
            transport,
            rng,
            groups.count,
            directory.resolve,
            directory.node_ids,
            lambda group: directory.node_ids_in(groups.home_zones(group)),
            lambda peer: host_locations.expected_round_trip_s(
                peer.host, transport.round_trip_s(peer)
            ),
        )
        self._turn_client = TurnClient(rng, self._client)
        self._last_lookup_s: dict[int, float] = {}
        self._lookup_tasks: set[asyncio.Task[None]] = set()

    async def command(self, command: wire.TurnCommand, timeout_s: float) -> wire.TurnReply | None:
        """Commit a command in its group; ``None``: no leader answered in time.

        ``timeout_s`` applies to a nearby leader and is extended for a distant one.
        """
        timeout_s += EXTRA_TIMEOUT_ROUND_TRIPS * self._client.round_trip_to_leader_s(command.group)
        try:
            return await self._turn_client.command(command, timeout_s)
        except GroupUnavailable:
            return None

    async def request_emptied(self, group_id: int, node_id: str) -> bool:
        """Whether a group has removed a machine; ``False`` also if its leader does not answer."""
        request = wire.EmptiedAsk(group=group_id, node_id=node_id)
        answer = await self._client.request_leader(
            group_id, EMPTIED_METHOD, request.SerializeToString(), EMPTIED_TIMEOUT_S
        )
        if answer is None:
            return False
        reply = wire.EmptiedReply.FromString(answer.content)
        if reply.is_leader:
            self._client.leaders[group_id] = answer.node_id
        else:
            self._client.follow_hint(group_id, reply.leader_id, answer.node_id)
        return reply.is_emptied

    def leader_address(self, group_id: int) -> Address | None:
        """Return the last known address of a group's leader; ``None``: the lookup is running."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._last_lookup_s.get(group_id, float("-inf")) > LEADER_LOOKUP_INTERVAL_S:
            self._last_lookup_s[group_id] = now_s
            task = asyncio.get_running_loop().create_task(self._find_leader(group_id))
            self._lookup_tasks.add(task)
            task.add_done_callback(self._lookup_tasks.discard)
        leader = self._client.leaders.get(group_id)
        return self._directory.resolve(leader) if leader is not None else None

    async def _find_leader(self, group_id: int) -> None:
        await self._turn_client.preview(wire.TurnPreview(group=group_id))
