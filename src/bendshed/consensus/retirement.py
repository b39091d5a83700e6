"""Reports to operators whether a retiring replica machine is empty, over all groups."""

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
"""Request of the first group's leader to other leaders: whether their group emptied a machine."""
REPORTING_GROUP = 0
"""The leader of this group reports the status."""
CHECK_INTERVAL_S = 0.1

log = PartLog("supervisor")

RequestEmptied = Callable[[int, str], Awaitable[bool]]
"""Asks another group's leader whether a machine is emptied; ``False`` also without an answer."""


class EmptiedTracker:
    """Tracks whether led groups still depend on the copy of the log on a removed machine.

    Entries that only the removed machine may hold were committed before its removal. So the voters
    need to hold only what is committed when the machine is first absent from the committed
    membership; lagging behind newer commits, as remote voters always do, does not matter.
    """

    def __init__(self, host: GroupHost) -> None:
        self._host = host
        self._required_indexes: dict[tuple[int, str], tuple[int, int]] = {}

    def is_emptied(self, group_id: int, node_id: str) -> bool:
        """Whether a group no longer needs a machine; ``False`` if the group is not led here."""
        group = self._host.groups.get(group_id)
        if group is None or not group.replica.is_ready_leader:
            return False
        replica = group.replica
        members = [*replica.membership.voters, *replica.membership.learners]
        if (
            not replica.is_membership_committed
            or node_id in members
            or node_id == self._host.node_id
        ):
            self._required_indexes.pop((group_id, node_id), None)
            return False
        return self._do_voters_hold(group, self._required_index(group, node_id))

    def _required_index(self, group: HostedGroup, node_id: str) -> int:
        """Index that all voters must hold; reset in a new term of this leader."""
        replica = group.replica
        current = (replica.term, replica.commit_index)
        term, index = self._required_indexes.setdefault((replica.group_id, node_id), current)
        if term != replica.term:
            self._required_indexes[replica.group_id, node_id] = current
            return replica.commit_index
        return index

    def _do_voters_hold(self, group: HostedGroup, index: int) -> bool:
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
        self._emptied_tracker = EmptiedTracker(host)
        self._reported: dict[str, bool] = {}

    async def run(self) -> None:
        """Report status changes until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            group = self._host.groups.get(REPORTING_GROUP)
            if group is None or group.replica.role is not Role.LEADER:
                self._reported.clear()
                continue
            retiring_names = sorted(self._directory.retiring)
            self._reported = {
                name: self._reported[name] for name in retiring_names if name in self._reported
            }
            for name in retiring_names:
                await self._report(name)

    async def answer(self, payload: bytes) -> bytes:
        """Report to the first group's leader whether a group led here no longer needs a machine."""
        request = wire.EmptiedAsk.FromString(payload)
        group = self._host.groups.get(request.group)
        if group is None or not group.replica.is_ready_leader:
            leader_id = group.replica.leader_id if group is not None else ""
            hint = "" if leader_id == self._host.node_id else leader_id
            return wire.EmptiedReply(leader_id=hint).SerializeToString()
        is_emptied = self._emptied_tracker.is_emptied(request.group, request.node_id)
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
        """Whether no group needs the machine any more."""
        if not self._emptied_tracker.is_emptied(REPORTING_GROUP, node_id):
            return False
        for group_id in self._groups.other_ids(REPORTING_GROUP):
            is_emptied_here = self._emptied_tracker.is_emptied(group_id, node_id)
            if not is_emptied_here and not await self._request_emptied(group_id, node_id):
                return False
        return True
