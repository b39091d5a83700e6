"""Replaces lost replicas, moves badly placed ones, empties retiring machines."""

import asyncio
from dataclasses import replace

from bendshed.consensus.bootstrap import GroupBootstrap
from bendshed.consensus.directory import HELLO_METHOD, ReplicaDirectory, from_wire, to_wire
from bendshed.consensus.host import GroupHost, HostedGroup
from bendshed.consensus.introductions import Introductions
from bendshed.consensus.membership_plan import PlanInputs, plan_membership
from bendshed.consensus.raft_types import Role
from bendshed.consensus.replica_candidates import ReplicaCandidates
from bendshed.consensus.replica_choice import VoterTopology, rank_candidates
from bendshed.consensus.retirement import EMPTIED_METHOD, RequestEmptied, RetirementReporter
from bendshed.logs import PartLog
from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.ports.log_storage import LogStorage
from bendshed.ports.registry import ReplicaNode, ReplicaRegistry
from bendshed.ports.transport import Transport
from bendshed.tasks import start_loop
from bendshed.wire import turns_pb2 as wire

CHECK_INTERVAL_S = 0.1
UNHEARD_S = 0.2
"""A member that was silent for this long is asked who it is, and no live voter leaves."""
SILENT_S = 1.0
"""A member that was silent for this long is replaced when a machine is free."""
MAX_LEARNER_LAG = 100
HOME_WATCH_S = 0.5
"""A voter at home must hold what was committed this long ago to be handed the lead."""

HAND_ON_AGAIN_S = 5.0
"""A machine that stalls gives its groups away at most this often: others may be no better."""

log = PartLog("supervisor")


async def _request_no_one(_group_id: int, _node_id: str) -> bool:
    return False


class ReplicaSupervisor:
    """Runs on every replica machine; only a group's leader changes the group.

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
        groups: TurnGroups = ONE_GROUP,
        request_emptied: RequestEmptied = _request_no_one,
    ) -> None:
        self.me = me
        self._host = host
        self._transport = transport
        self._directory = directory
        self._tick_s = tick_s
        self._num_voters = num_voters
        self._groups = groups
        self._bootstrap = GroupBootstrap(host, storage, registry, directory, me, num_voters, groups)
        self._reporter = RetirementReporter(host, registry, directory, groups, request_emptied)
        self._candidates = ReplicaCandidates()
        self._introductions = Introductions(
            transport, directory, host, me, self._missed, self._candidates.record_answer
        )
        self._away_since: dict[int, tuple[float, int, int]] = {}
        self._handed_on_s = float("-inf")
        self._rested: dict[int, object] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin."""
        self._directory.own_node = self.me
        self._directory.put(self.me)
        self._transport.one_way_handlers[HELLO_METHOD] = self._take_hello
        self._transport.handlers[EMPTIED_METHOD] = self._reporter.answer
        self._host.on_misaddressed_message = self._introduce_to
        self._introductions.start()
        self._tasks = [
            start_loop(self._bootstrap.announce(), "supervisor"),
            start_loop(self._bootstrap.run(), "supervisor"),
            start_loop(self._supervise(), "supervisor"),
            start_loop(self._reporter.run(), "supervisor"),
            start_loop(self._introductions.run(), "supervisor"),
        ]

    async def stop(self) -> None:
        """End."""
        self._introductions.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- who is who ----------------------------------------------------------------------

    def _introduce_to(self, sender: str) -> None:
        """A peer wrote to an identity that this machine no longer has: send it the current one."""
        address = self._directory.resolve(sender)
        if address is not None:
            self._transport.send(address, HELLO_METHOD, to_wire(self.me).SerializeToString())

    def _take_hello(self, payload: bytes) -> None:
        self._directory.put(from_wire(wire.ReplicaHello.FromString(payload)))

    def _missed(self) -> set[str]:
        """Identities whose word this machine needs.

        A leader needs that of members that are silent, and while one is or is missing, that of
        machines which may take its place. Without a leader all machines are asked, since a voter
        may be listed under another identity.
        """
        missed: set[str] = set()
        for group in self._host.groups.values():
            replica = group.replica
            if replica.role is Role.LEADER:
                members = [*replica.membership.voters, *replica.membership.learners]
                silent = replica.followers.silent(members, UNHEARD_S / self._tick_s)
                missed |= silent
                if silent or len(replica.membership.voters) < self._num_voters:
                    missed.update(set(self._directory.node_ids()) - set(members))
            elif not replica.leader_id and replica.is_voter:
                missed.update(self._directory.node_ids())
        return missed

    # --- repair --------------------------------------------------------------------------

    async def _supervise(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._hand_on_when_stalled()
            for group_id, group in list(self._host.groups.items()):
                # Announcements alone prove nothing: two voters that each read an older one of the
                # other would both lead.
                group.replica.lost = frozenset(self._directory.proven_lost)
                if group.replica.is_ready_leader:
                    self._supervise_group(group_id, group)

    def _hand_on_when_stalled(self) -> None:
        """Hand leadership over while this machine's disk or loop stalls."""
        now_s = asyncio.get_running_loop().time()
        stall = self._host.stall_detector.detect(now_s)
        led = self._host.led_groups()
        if stall is None or not led or now_s < self._handed_on_s + HAND_ON_AGAIN_S:
            return
        self._handed_on_s = now_s
        log.say("handing leadership over: disk or loop stalled", reason=stall.value, groups=led)
        self._host.transfer_all_leadership()

    def _supervise_group(self, group_id: int, group: HostedGroup) -> None:
        """Hand over where another should lead, else change the members if need be."""
        voters = group.replica.membership.voters
        retiring = self._directory.retiring_ids()
        staying = [node for node in voters if node not in retiring]
        if self.me.node_id in retiring and staying:
            self._host.transfer_leadership(group_id, staying)
            return
        self._lead_from_home(group_id, group, staying)
        if group.replica.membership_settled:
            self._change_membership(group_id, group)

    def _lead_from_home(self, group_id: int, group: HostedGroup, staying: list[str]) -> None:
        """Away from home, hand over to a voter there that has kept up for ``HOME_WATCH_S``."""
        topology = self._topology(group_id)
        if topology.is_home(self.me.node_id):
            self._away_since.pop(group_id, None)
            return
        now_s, replica = asyncio.get_running_loop().time(), group.replica
        here = (now_s, replica.term, replica.commit_index)
        since_s, term, index = self._away_since.setdefault(group_id, here)
        if term == replica.term and now_s < since_s + HOME_WATCH_S:
            return
        self._away_since[group_id] = here
        home = [node for node in staying if topology.is_home(node)]
        ready = [node for node in home if replica.followers[node].match_index >= index]
        if term == replica.term and ready:
            log.say(
                "handing leadership over: leader outside the home region",
                group=group_id,
                voters=ready,
            )
            self._host.transfer_leadership(group_id, ready)

    def _topology(self, group_id: int) -> VoterTopology:
        zone_of = {node.node_id: node.zone for node in self._directory.by_name.values()}
        return VoterTopology(zone_of, self._groups.home_zones(group_id))

    def _change_membership(self, group_id: int, group: HostedGroup) -> None:
        """Take the next step, if any; the plan is made again only when its inputs changed."""
        replica = group.replica
        inputs = self._plan_inputs(group_id, group)
        seen = (tuple(replica.membership.voters), tuple(replica.membership.learners), inputs)
        if self._rested.get(group_id) == seen:
            return
        topology, weak = inputs.topology, {*inputs.silent, *inputs.retiring}
        free, voters = inputs.candidates, replica.membership.voters
        ranked = rank_candidates(group_id, topology, free, voters, weak)
        sound = [node for node in voters if node not in weak and node not in inputs.wiped]
        # While a machine is being taken in, no other is needed, and so none is waited for.
        is_voter_missing = len(sound) < inputs.count and not replica.membership.learners
        candidates = self._candidates.sort_responsive_first(group_id, ranked, is_voter_missing)
        if candidates is None and not inputs.wiped:
            return
        wanted = plan_membership(replica.membership, replace(inputs, candidates=candidates or []))
        if wanted is None:
            self._rested[group_id] = seen
            return
        for node in set(replica.membership.learners) & set(inputs.silent):
            self._candidates.record_failure(node)
        if self._host.propose_membership(group_id, wanted):
            log.say(
                "membership change proposed",
                group=group_id,
                voters=list(wanted.voters),
                learners=list(wanted.learners),
                zones=[inputs.topology.zone_of.get(node, "") for node in wanted.voters],
                wiped=sorted(inputs.wiped),
                silent=sorted(inputs.silent),
                retiring=sorted(inputs.retiring),
                term=replica.term,
            )

    def _plan_inputs(self, group_id: int, group: HostedGroup) -> PlanInputs:
        """What the plan rests on; candidates are not ranked yet."""
        replica = group.replica
        membership = replica.membership
        members = [*membership.voters, *membership.learners]
        silent = replica.followers.silent(members, SILENT_S / self._tick_s)
        retiring = self._directory.retiring_ids()
        topology = self._topology(group_id)
        free = self._free(topology, members, retiring)
        caught_up = replica.followers.caught_up(
            membership.learners, replica.last_index, MAX_LEARNER_LAG
        )
        self._candidates.record_caught_up(caught_up)
        return PlanInputs(
            me=self.me.node_id,
            wiped=self._directory.wiped & set(members),
            silent=silent,
            unheard=replica.followers.silent(members, UNHEARD_S / self._tick_s),
            retiring=retiring,
            caught_up=caught_up,
            candidates=free,
            count=self._num_voters,
            topology=topology,
        )

    def _free(self, topology: VoterTopology, members: list[str], retiring: set[str]) -> list[str]:
        """Machines that may be taken in."""
        return [
            node
            for node in topology.zone_of
            if node not in members
            and node not in retiring
            and not self._candidates.is_backed_off(node)
        ]

    def num_sound_voters(self, group_id: int = 0) -> int:
        """Voters that answered lately and hold all that is committed; 0 at a follower."""
        group = self._host.groups.get(group_id)
        if group is None or not group.replica.is_ready_leader:
            return 0
        replica = group.replica
        voters = replica.membership.voters
        silent = replica.followers.silent(voters, SILENT_S / self._tick_s)
        return sum(
            1
            for node in voters
            if node == self.me.node_id
            or (node not in silent and replica.followers[node].match_index >= replica.commit_index)
        )
