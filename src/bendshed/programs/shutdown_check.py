"""Checks whether groups of programs keep a majority when this node stops.

Asks the voters directly, because membership has not yet noticed a node that died moments ago.
"""

import asyncio

from bendshed.consensus.host import GroupHost
from bendshed.membership.swim import MembershipView
from bendshed.model.address import Address
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.programs.service import ALIVE_METHOD, ProgramService
from bendshed.wire.programs_pb2 import AliveRequest

VOTER_REPLY_TIMEOUT_S = 0.5
"""A voter that does not reply within this time counts as down."""


class ShutdownCheck:
    """Finds the groups that a stopping node must wait for."""

    def __init__(
        self,
        host: GroupHost,
        programs: ProgramService,
        membership: MembershipView,
        transport: Transport,
        num_replicas: int,
    ) -> None:
        self._host = host
        self._programs = programs
        self._membership = membership
        self._transport = transport
        self._num_replicas = num_replicas

    async def groups_needing_this_node(self) -> list[int]:
        """Return the groups that have no majority without this node and that are worth waiting for.

        Waiting helps while another node can take over the replica, or while calls are in progress
        whose outcomes the group must still commit. Otherwise the whole installation may be
        stopping.
        """
        groups = self._voters_of_local_groups()
        responding = await self._responding_voters(
            {voter for voters in groups.values() for voter in voters}
        )
        return [
            group_id
            for group_id, voters in groups.items()
            if len(responding & voters) <= len(voters) // 2
            and (self._has_replacement_nodes() or self._programs.has_calls_in_progress(group_id))
        ]

    def _voters_of_local_groups(self) -> dict[int, set[str]]:
        """Return the voters of each group in which this node is one of several voters."""
        voters = {
            group_id: set(group.replica.membership.voters)
            for group_id, group in self._host.groups.items()
        }
        own_id = self._host.node_id
        return {group_id: ids for group_id, ids in voters.items() if own_id in ids and len(ids) > 1}

    def _has_replacement_nodes(self) -> bool:
        """Whether the other live disk nodes suffice for a majority of a group's replicas."""
        others = [m for m in self._membership.live() if m.has_disk]
        num_others = sum(member.node_id != self._host.node_id for member in others)
        return num_others > self._num_replicas // 2

    async def _responding_voters(self, voters: set[str]) -> set[str]:
        """Return the other voters that reply to a request and are not leaving themselves."""
        addresses = {
            member.node_id: Address(member.host, member.peer_port)
            for member in self._membership.live()
            if member.node_id in voters and member.node_id != self._host.node_id
        }
        responses = await asyncio.gather(*(self._responds(peer) for peer in addresses.values()))
        return {node for node, responds in zip(addresses, responses, strict=True) if responds}

    async def _responds(self, peer: Address) -> bool:
        request = AliveRequest().SerializeToString()
        try:
            await self._transport.request(peer, ALIVE_METHOD, request, VOTER_REPLY_TIMEOUT_S)
        except PeerUnreachable:
            return False
        return True
