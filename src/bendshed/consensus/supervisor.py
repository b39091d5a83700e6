"""Founds the turn log's group, replaces lost replicas and empties retiring machines."""

import asyncio
from collections.abc import Sequence

from bendshed.consensus.directory import HELLO_METHOD, ReplicaDirectory, from_wire, to_wire
from bendshed.consensus.host import GroupHost, HostedGroup
from bendshed.consensus.membership_plan import ReplicaFacts, plan_membership
from bendshed.consensus.raft import RaftReplica
from bendshed.consensus.raft_types import Role
from bendshed.consensus.replica_choice import (
    DiskNode,
    VoterPlaces,
    choose_replicas,
    rank_candidates,
)
from bendshed.logs import PartLog
from bendshed.ports.log_storage import LogStorage
from bendshed.ports.registry import RegistryUnavailable, ReplicaNode, ReplicaRegistry
from bendshed.ports.transport import Transport
from bendshed.tasks import start_loop
from bendshed.wire import turns_pb2 as wire
from bendshed.wire.consensus_pb2 import GroupMembership

GROUP = 0
CHECK_INTERVAL_S = 0.1
FOUND_RETRY_S = 0.3
FOUND_WAIT_S = 4.0
"""After this long a group is founded with fewer machines than wanted."""
SILENT_S = 1.0
"""A member not heard for this long is replaced when a machine is free."""
REJECTED_S = 3.0
"""A machine that was taken in and did not answer is left alone for this long."""
MAX_LEARNER_LAG = 100
ANNOUNCE_RETRY_S = 0.5

log = PartLog("supervisor")


class ReplicaSupervisor:
    """Runs on every replica machine; only the leader changes the group.

    Attributes:
        me: this process's announcement.

    """

    def __init__(
        self,
        host: GroupHost,
        storage: LogStorage,
        transport: Transport,
        registry: ReplicaRegistry,
        directory: ReplicaDirectory,
        me: ReplicaNode,
        tick_s: float,
        num_voters: int,
    ) -> None:
        self.me = me
        self._host = host
        self._storage = storage
        self._transport = transport
        self._registry = registry
        self._directory = directory
        self._tick_s = tick_s
        self._num_voters = num_voters
        self._rejected_until_s: dict[str, float] = {}
        self._reported: dict[str, bool] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin."""
        self._directory.own = self.me
        self._directory.put(self.me)
        self._transport.one_way_handlers[HELLO_METHOD] = self._take_hello
        self._host.on_foreign_message = self._introduce_to
        self._tasks = [
            start_loop(self._announce(), "supervisor"),
            start_loop(self._found(), "supervisor"),
            start_loop(self._supervise(), "supervisor"),
            start_loop(self._report_retirements(), "supervisor"),
        ]

    async def stop(self) -> None:
        """End."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- announcements -------------------------------------------------------------------

    async def _announce(self) -> None:
        while True:
            try:
                await self._registry.announce(self.me)
                return
            except RegistryUnavailable as error:
                log.say("cannot announce this machine yet", reason=str(error))
                await asyncio.sleep(ANNOUNCE_RETRY_S)

    def _introduce_to(self, sender: str) -> None:
        """A peer wrote to an identity that this machine no longer is: tell who it is."""
        address = self._directory.resolve(sender)
        if address is not None:
            self._transport.send(address, HELLO_METHOD, to_wire(self.me).SerializeToString())

    def _take_hello(self, payload: bytes) -> None:
        self._directory.put(from_wire(wire.ReplicaHello.FromString(payload)))

    # --- founding ------------------------------------------------------------------------

    async def _found(self) -> None:
        """Found the group, or learn that it is founded; a leader takes others in later."""
        started_s = asyncio.get_running_loop().time()
        voters: list[str] = []
        while not voters and not self._storage.is_bootstrapped():
            waited_s = asyncio.get_running_loop().time() - started_s
            if self._may_found(waited_s):
                voters = await self._founding_voters()
            if not voters:
                await asyncio.sleep(FOUND_RETRY_S)
        if self.me.node_id in voters and GROUP not in self._host.groups:
            self._host.bootstrap(GROUP, GroupMembership(voters=voters))
            await self._host.flush()
            self._storage.mark_bootstrapped()
            log.say("is a founding replica", voters=voters)

    async def _founding_voters(self) -> list[str]:
        """Read the founding record, or write it if there is none; empty: the registry is down."""
        try:
            voters = await self._registry.founding_voters()
            if voters:
                return voters
            nodes = [DiskNode(n.node_id, n.zone) for n in self._directory.by_name.values()]
            chosen = choose_replicas(GROUP, nodes, self._num_voters)
            return await self._registry.found(chosen)
        except RegistryUnavailable as error:
            log.say("the founding waits for the registry", reason=str(error))
            return []

    def _may_found(self, waited_s: float) -> bool:
        enough = len(self._directory.by_name) >= self._num_voters
        return enough or waited_s > FOUND_WAIT_S

    # --- repair --------------------------------------------------------------------------

    async def _supervise(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            group = self._host.groups.get(GROUP)
            if group is not None:
                group.replica.lost = frozenset(self._directory.wiped)
            if group is None or not group.replica.is_ready_leader:
                continue
            if self.me.node_id in self._directory.retiring_ids() and self._can_hand_over(group):
                self._host.hand_over()
                continue
            if group.replica.membership_settled:
                self._change_membership(group)

    def _change_membership(self, group: HostedGroup) -> None:
        replica = group.replica
        facts = self._facts(group)
        wanted = plan_membership(replica.membership, facts)
        if wanted is None:
            return
        for node in set(replica.membership.learners) & set(facts.silent):
            self._rejected_until_s[node] = asyncio.get_running_loop().time() + REJECTED_S
        if self._host.propose_membership(GROUP, wanted):
            log.say(
                "changes the replicas",
                voters=list(wanted.voters),
                learners=list(wanted.learners),
                wiped=sorted(facts.wiped),
                silent=sorted(facts.silent),
                retiring=sorted(facts.retiring),
                term=replica.term,
            )

    def _facts(self, group: HostedGroup) -> ReplicaFacts:
        replica = group.replica
        members = [*replica.membership.voters, *replica.membership.learners]
        silent = replica.followers.silent(members, SILENT_S / self._tick_s)
        retiring = self._directory.retiring_ids()
        zone_of = {node.node_id: node.zone for node in self._directory.by_name.values()}
        places = VoterPlaces(zone_of)
        return ReplicaFacts(
            me=self.me.node_id,
            wiped=self._directory.wiped & set(members),
            silent=silent,
            retiring=retiring,
            caught_up=replica.followers.caught_up(
                replica.membership.learners, replica.last_index, MAX_LEARNER_LAG
            ),
            candidates=self._candidates(replica.membership, places, silent, retiring),
            count=self._num_voters,
            places=places,
        )

    def _candidates(
        self,
        membership: GroupMembership,
        places: VoterPlaces,
        silent: set[str],
        retiring: set[str],
    ) -> list[str]:
        """Free machines, best first."""
        now_s = asyncio.get_running_loop().time()
        members = {*membership.voters, *membership.learners}
        free = [
            node
            for node in places.zone_of
            if node not in members
            and node not in retiring
            and self._rejected_until_s.get(node, 0.0) <= now_s
        ]
        weak = silent | retiring
        return rank_candidates(GROUP, places, free, membership.voters, weak)

    def _can_hand_over(self, group: HostedGroup) -> bool:
        replica = group.replica
        retiring = self._directory.retiring_ids()
        return any(node not in retiring for node in replica.membership.voters)

    # --- retirements ---------------------------------------------------------------------

    async def _report_retirements(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            group = self._host.groups.get(GROUP)
            if group is None or group.replica.role is not Role.LEADER:
                continue
            for name in sorted(self._directory.retiring):
                await self._report_retirement(group, name)

    async def _report_retirement(self, group: HostedGroup, name: str) -> None:
        node = self._directory.by_name.get(name)
        complete = node is None or self._is_emptied(group, node.node_id)
        if self._reported.get(name) == complete:
            return
        try:
            await self._registry.report_retirement(name, complete)
        except RegistryUnavailable as error:
            log.say("cannot report a retirement yet", name=name, reason=str(error))
            return
        self._reported[name] = complete
        log.say("reported a retirement", name=name, complete=complete)

    def num_sound_voters(self) -> int:
        """Voters that were heard lately and hold all that is committed; 0 at a follower."""
        group = self._host.groups.get(GROUP)
        if group is None or not group.replica.is_ready_leader:
            return 0
        replica = group.replica
        silent = replica.followers.silent(replica.membership.voters, SILENT_S / self._tick_s)
        heard = [node for node in replica.membership.voters if node not in silent]
        return len(heard) - len(self._behind(replica, heard))

    def _behind(self, replica: RaftReplica, voters: Sequence[str]) -> list[str]:
        """Voters that lack something committed."""
        return [
            node
            for node in voters
            if node != self.me.node_id
            and replica.followers[node].match_index < replica.commit_index
        ]

    def _is_emptied(self, group: HostedGroup, node_id: str) -> bool:
        """The machine holds no replica and every voter holds all that is committed."""
        replica = group.replica
        if not replica.is_ready_leader or not replica.membership_settled:
            return False
        members = [*replica.membership.voters, *replica.membership.learners]
        if node_id in members or node_id == self.me.node_id:
            return False
        return not self._behind(replica, list(replica.membership.voters))
