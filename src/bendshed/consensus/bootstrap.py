"""Announces a replica machine and bootstraps the turn log groups, each from one registry record."""

import asyncio

from bendshed.consensus.directory import ReplicaDirectory
from bendshed.consensus.host import GroupHost
from bendshed.consensus.replica_choice import DiskNode, choose_replicas
from bendshed.logs import PartLog
from bendshed.placement.groups import TurnGroups
from bendshed.ports.log_storage import LogStorage
from bendshed.ports.registry import RegistryUnavailable, ReplicaNode, ReplicaRegistry
from bendshed.wire.consensus_pb2 import GroupMembership

BOOTSTRAP_RETRY_S = 0.3
BOOTSTRAP_WAIT_S = 4.0
"""After this time a group is bootstrapped even if fewer machines than configured are known."""
ANNOUNCE_RETRY_S = 0.5
FIRST_GROUP = 0
"""The storage records the bootstrap of this group. Any other group counts as bootstrapped once this
machine holds a replica of it."""

log = PartLog("supervisor")


class GroupBootstrap:
    """Takes part in the bootstrap of groups; their leaders add further machines later."""

    def __init__(
        self,
        host: GroupHost,
        storage: LogStorage,
        registry: ReplicaRegistry,
        directory: ReplicaDirectory,
        local_node: ReplicaNode,
        num_voters: int,
        groups: TurnGroups,
    ) -> None:
        self._host = host
        self._storage = storage
        self._registry = registry
        self._directory = directory
        self._local_node = local_node
        self._num_voters = num_voters
        self._groups = groups

    async def announce(self) -> None:
        """Write this machine's identity and address to the registry; retry until that succeeds."""
        while True:
            try:
                await self._registry.announce(self._local_node)
                return
            except RegistryUnavailable as error:
                log.say("announcement failed: registry unavailable", reason=str(error))
                await asyncio.sleep(ANNOUNCE_RETRY_S)

    async def run(self) -> None:
        """Bootstrap each group, or find that it has been bootstrapped already."""
        started_s = asyncio.get_running_loop().time()
        pending_groups = [group for group in self._groups.ids if not self._is_bootstrapped(group)]
        while pending_groups:
            waited_s = asyncio.get_running_loop().time() - started_s
            if self._may_bootstrap(waited_s):
                pending_groups = [
                    group for group in pending_groups if not await self._bootstrap_one(group)
                ]
            if pending_groups:
                await asyncio.sleep(BOOTSTRAP_RETRY_S)

    def _is_bootstrapped(self, group_id: int) -> bool:
        """Whether this machine bootstrapped the group in an earlier incarnation."""
        if group_id == FIRST_GROUP:
            return self._storage.is_bootstrapped()
        return group_id in self._host.groups

    async def _bootstrap_one(self, group_id: int) -> bool:
        """Create the local replica if this machine is an initial voter.

        Returns ``False`` if the registry does not answer.
        """
        voters = await self._initial_voters(group_id)
        if not voters:
            return False
        if self._local_node.node_id in voters and group_id not in self._host.groups:
            self._host.bootstrap(group_id, GroupMembership(voters=voters))
            await self._host.flush()
            if group_id == FIRST_GROUP:
                self._storage.mark_bootstrapped()
            log.say("group bootstrapped", group=group_id, voters=voters)
        return True

    async def _initial_voters(self, group_id: int) -> list[str]:
        """Read the bootstrap record, or write it if there is none.

        Returns an empty list if the registry is unavailable.
        """
        try:
            voters = await self._registry.bootstrap_voters(group_id)
            if voters:
                return voters
            nodes = [DiskNode(node.node_id, node.zone) for node in self._directory.by_name.values()]
            home_zones = self._groups.home_zones(group_id)
            chosen = choose_replicas(group_id, nodes, self._num_voters, home_zones)
            return await self._registry.write_bootstrap_voters(chosen, group_id)
        except RegistryUnavailable as error:
            log.say("bootstrap waits: registry unavailable", group=group_id, reason=str(error))
            return []

    def _may_bootstrap(self, waited_s: float) -> bool:
        enough = len(self._directory.by_name) >= self._num_voters
        return enough or waited_s > BOOTSTRAP_WAIT_S
