"""Reports to operators how far the emptying of a replica machine is, over all groups."""

import asyncio
from collections.abc import Awaitable, Callable

from bendshed.consensus.directory import ReplicaDirectory
from bendshed.consensus.host import GroupHost, HostedGroup
from bendshed.consensus.raft_types import Role
from bendshed.logs import PartLog
from bendshed.placement.groups import TurnGroups
from bendshed.ports.registry import RegistryUnavailable, ReplicaRegistry
from bendshed.wire import turns_pb2 as wire

EMPTIED_METHOD = "replica.emptied"
"""Request of the first group's leader to another's: whether a machine is emptied there."""
REPORTING_GROUP = 0
"""Its leader writes the status."""
CHECK_INTERVAL_S = 0.1

log = PartLog("supervisor")

RequestEmptied = Callable[[int, str], Awaitable[bool]]
"""Requests it of another group's leader; ``False`` also where it does not answer."""


class EmptiedMachines:
    """Whether groups that this process leads hold nothing on a machine that others lack.

    What a removed machine may have held alone was committed before its removal. So the index that
    is committed when it is first seen outside the settled membership is all that the voters must
    hold; that they lag behind newer commits, as distant ones always do, does not matter.
    """

    def __init__(self, host: GroupHost) -> None:
        self._host = host
        self._goals: dict[tuple[int, str], tuple[int, int]] = {}

    def is_emptied(self, group_id: int, node_id: str) -> bool:
        """Whether a machine may go as far as a group is concerned; ``False`` if not led here."""
        group = self._host.groups.get(group_id)
        if group is None or not group.replica.is_ready_leader:
            return False
        replica = group.replica
        members = [*replica.membership.voters, *replica.membership.learners]
        if not replica.membership_settled or node_id in members or node_id == self._host.node_id:
            self._goals.pop((group_id, node_id), None)
            return False
        return self._have_all_reached(group, self._goal(group, node_id))

    def _goal(self, group: HostedGroup, node_id: str) -> int:
        """Index that all voters must hold; a new term of this leader begins again."""
        replica = group.replica
        begun = (replica.term, replica.commit_index)
        term, index = self._goals.setdefault((replica.group_id, node_id), begun)
        if term != replica.term:
            self._goals[replica.group_id, node_id] = begun
            return replica.commit_index
        return index

    def _have_all_reached(self, group: HostedGroup, index: int) -> bool:
        followers = group.replica.followers
        others = [node for node in group.replica.membership.voters if node != self._host.node_id]
        return all(followers[node].match_index >= index for node in others)


class RetirementReporter:
    """Runs on every replica machine; the leader of the first group reports."""

    def __init__(
        self,
        host: GroupHost,
        registry: ReplicaRegistry,
        directory: ReplicaDirectory,
        groups: TurnGroups,
        request_emptied: RequestEmptied,
    ) -> None:
        self._host = host
        self._registry = registry
        self._directory = directory
        self._groups = groups
        self._request_emptied = request_emptied
        self._emptied = EmptiedMachines(host)
        self._reported: dict[str, bool] = {}

    async def run(self) -> None:
        """Report, again and again."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            group = self._host.groups.get(REPORTING_GROUP)
            if group is None or group.replica.role is not Role.LEADER:
                self._reported.clear()
                continue
            wished = sorted(self._directory.retiring)
            self._reported = {
                name: self._reported[name] for name in wished if name in self._reported
            }
            for name in wished:
                await self._report(name)

    async def answer(self, payload: bytes) -> bytes:
        """Reply to the first group's leader how far a group led here is."""
        request = wire.EmptiedAsk.FromString(payload)
        group = self._host.groups.get(request.group)
        if group is None or not group.replica.is_ready_leader:
            leader_id = group.replica.leader_id if group is not None else ""
            hint = "" if leader_id == self._host.node_id else leader_id
            return wire.EmptiedReply(leader_id=hint).SerializeToString()
        is_emptied = self._emptied.is_emptied(request.group, request.node_id)
        return wire.EmptiedReply(is_leader=True, is_emptied=is_emptied).SerializeToString()

    async def _report(self, name: str) -> None:
        node = self._directory.by_name.get(name)
        complete = node is None or await self._is_emptied(node.node_id)
        if self._reported.get(name) == complete:
            return
        try:
            await self._registry.report_retirement(name, complete)
        except RegistryUnavailable as error:
            log.say("retirement report failed: registry unavailable", name=name, reason=str(error))
            return
        self._reported[name] = complete
        log.say("retirement reported", name=name, complete=complete)

    async def _is_emptied(self, node_id: str) -> bool:
        """Whether every group has let the machine go."""
        if not self._emptied.is_emptied(REPORTING_GROUP, node_id):
            return False
        for group_id in self._groups.other_ids(REPORTING_GROUP):
            here = self._emptied.is_emptied(group_id, node_id)
            if not here and not await self._request_emptied(group_id, node_id):
                return False
        return True
