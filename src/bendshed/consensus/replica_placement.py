"""Places the groups of a new installation and later replaces lost replicas."""

import asyncio

from bendshed.consensus.host import GroupHost
from bendshed.consensus.membership_plan import PlanInputs, plan_membership
from bendshed.consensus.raft import RaftReplica
from bendshed.consensus.raft_types import Role
from bendshed.consensus.replica_choice import (
    DiskNode,
    VoterTopology,
    choose_replicas,
    rank_candidates,
)
from bendshed.identifiers import rendezvous_rank
from bendshed.logs import PartLog
from bendshed.membership.service import MembershipService
from bendshed.ports.log_storage import LogStorage
from bendshed.ports.store import ObjectStore, StoreUnavailable, VersionConflict
from bendshed.settings.model import GroupsSection
from bendshed.tasks import start_loop
from bendshed.wire.consensus_pb2 import GroupMembership, Placement

PLACEMENT_KEY = "placement"
CHECK_INTERVAL_S = 1.0
UNRESPONSIVE_TICKS = 10
"""A member without a reply to the leader for this many ticks may have failed; heartbeats are sent
every 3 ticks."""
MAX_LEARNER_LAG = 100
"""A learner that lacks at most this many entries may become a voter."""

log = PartLog("placement")


class ReplicaPlacement:
    """Runs on disk nodes. The store is needed for the initial placement only."""

    def __init__(
        self,
        host: GroupHost,
        storage: LogStorage,
        store: ObjectStore,
        membership: MembershipService,
        settings: GroupsSection,
    ) -> None:
        self._host = host
        self._storage = storage
        self._store = store
        self._membership = membership
        self._settings = settings
        self._missing_since_s: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start placing and repairing groups."""
        self._task = start_loop(self._run(), "placement")

    async def stop(self) -> None:
        """Stop placing and repairing groups."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while not self._storage.is_bootstrapped():
            try:
                await self._bootstrap()
            except StoreUnavailable:
                log.say("first placement waits: store unavailable")
            if not self._storage.is_bootstrapped():
                await asyncio.sleep(CHECK_INTERVAL_S)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._repair()

    # --- initial placement ---------------------------------------------------------------

    async def _bootstrap(self) -> None:
        stored = await self._store.get(PLACEMENT_KEY)
        if stored is None:
            await self._create_placement()
            return
        placement = Placement.FromString(stored.content)
        for group_id, membership in placement.groups.items():
            if self._host.node_id in membership.voters:
                self._host.bootstrap(group_id, membership)
        await self._host.flush()
        self._storage.mark_bootstrapped()
        log.say("took part in the first placement", groups=len(self._host.groups))

    async def _create_placement(self) -> None:
        """Write the placement on the node of highest rendezvous rank, once enough are live."""
        nodes = list(self._live_disk_nodes().values())
        if len(nodes) < self._settings.bootstrap_disk_nodes:
            return
        names = [node.node_id for node in nodes]
        if rendezvous_rank(PLACEMENT_KEY, names)[0] != self._host.node_id:
            return
        placement = Placement()
        for group_id in range(self._settings.count):
            voters = choose_replicas(group_id, nodes, self._settings.replicas)
            placement.groups[group_id].CopyFrom(GroupMembership(voters=voters))
        if len(nodes) < self._settings.replicas:
            log.say("groups have too few replicas to outlive a disk", disk_nodes=len(nodes))
        try:
            await self._store.create(PLACEMENT_KEY, placement.SerializeToString())
        except VersionConflict:
            return

    def _live_disk_nodes(self) -> dict[str, DiskNode]:
        return {
            member.node_id: DiskNode(member.node_id, member.zone)
            for member in self._membership.view.live()
            if member.has_disk
        }

    # --- repair --------------------------------------------------------------------------

    def _repair(self) -> None:
        live = self._live_disk_nodes()
        missing_too_long = self._missing_too_long(live)
        for group_id, group in self._host.groups.items():
            replica = group.replica
            if replica.role is not Role.LEADER or not replica.is_membership_committed:
                continue
            inputs = self._plan_inputs(group_id, replica, live, missing_too_long)
            wanted = plan_membership(replica.membership, inputs)
            if wanted is not None and self._host.propose_membership(group_id, wanted):
                log.say("membership change proposed", group=group_id, voters=list(wanted.voters))

    def _plan_inputs(
        self,
        group_id: int,
        replica: RaftReplica,
        live: dict[str, DiskNode],
        missing_too_long: set[str],
    ) -> PlanInputs:
        membership = replica.membership
        members = [*membership.voters, *membership.learners]
        topology = VoterTopology({node_id: node.zone for node_id, node in live.items()})
        available = [node for node in live if node not in members]
        voters = list(membership.voters)
        unresponsive = replica.followers.silent(members, UNRESPONSIVE_TICKS)
        return PlanInputs(
            leader_id=self._host.node_id,
            wiped=(),
            silent=missing_too_long & unresponsive,
            unresponsive=unresponsive,
            # A stopping node is missing but still votes until its calls have ended.
            retiring=missing_too_long - unresponsive,
            caught_up=replica.followers.caught_up(
                membership.learners, replica.last_index, MAX_LEARNER_LAG
            ),
            candidates=rank_candidates(group_id, topology, available, voters, missing_too_long),
            num_voters=self._settings.replicas,
            topology=topology,
        )

    def _missing_too_long(self, live: dict[str, DiskNode]) -> set[str]:
        """Members that have not been live for at least ``replace_after_s``."""
        now_s = asyncio.get_running_loop().time()
        members = {
            node
            for group in self._host.groups.values()
            for node in (*group.replica.membership.voters, *group.replica.membership.learners)
        }
        missing = {node for node in members if node not in live}
        self._missing_since_s = {
            node: self._missing_since_s.get(node, now_s) for node in sorted(missing)
        }
        limit_s = self._settings.replace_after_s
        return {node for node, since in self._missing_since_s.items() if now_s - since >= limit_s}
