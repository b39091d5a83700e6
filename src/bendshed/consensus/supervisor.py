"""Replaces lost replicas, moves badly placed ones and empties retiring machines."""

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
UNRESPONSIVE_S = 0.2
"""A member without a reply for this long is asked for its identity. Until it replies or is
replaced, no live voter is removed."""
SILENT_S = 1.0
"""A member without a reply for this long is replaced when a machine is available."""
MAX_LEARNER_LAG = 100
HOME_CATCH_UP_S = 0.5
"""A voter in the home region must hold what was committed this long ago to become the leader."""

STALL_TRANSFER_INTERVAL_S = 5.0
"""Minimum time between transfers by a stalled machine, since the others may be no faster."""

log = PartLog("supervisor")


async def _no_emptied_answer(_group_id: int, _node_id: str) -> bool:
    return False


class ReplicaSupervisor:
    """Runs on every replica machine; only the leader of a group changes its membership.

    Attributes:
        local_node: this process's announcement.

    """

    def __init__(
        self,
        host: GroupHost,
        storage: LogStorage,
        transport: Transport,
        registry: ReplicaRegistry,
        directory: ReplicaDirectory,
        local_node: ReplicaNode,
        tick_s: float,
        num_voters: int,
        groups: TurnGroups = ONE_GROUP,
        request_emptied: RequestEmptied = _no_emptied_answer,
    ) -> None:
        self.local_node = local_node
        self._host = host
        self._transport = transport
        self._directory = directory
        self._tick_s = tick_s
        self._num_voters = num_voters
        self._groups = groups
        self._bootstrap = GroupBootstrap(
            host, storage, registry, directory, local_node, num_voters, groups
        )
        self._reporter = RetirementReporter(host, registry, directory, groups, request_emptied)
        self._candidates = ReplicaCandidates()
        self._introductions = Introductions(
            transport,
            directory,
            host,
            local_node,
            self._nodes_to_ask,
            self._candidates.record_answer,
        )
        self._outside_home_since: dict[int, tuple[float, int, int]] = {}
        self._last_stall_transfer_s = float("-inf")
        self._idle_plan_keys: dict[int, object] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all background tasks."""
        self._directory.own_node = self.local_node
        self._directory.put(self.local_node)
        self._transport.one_way_handlers[HELLO_METHOD] = self._receive_hello
        self._transport.handlers[EMPTIED_METHOD] = self._reporter.answer
        self._host.on_misaddressed_message = self._send_hello
        self._introductions.start()
        self._tasks = [
            start_loop(self._bootstrap.announce(), "supervisor"),
            start_loop(self._bootstrap.run(), "supervisor"),
            start_loop(self._supervise(), "supervisor"),
            start_loop(self._reporter.run(), "supervisor"),
            start_loop(self._introductions.run(), "supervisor"),
        ]

    async def stop(self) -> None:
        """Stop all background tasks."""
        self._introductions.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    # --- identities ----------------------------------------------------------------------

    def _send_hello(self, sender: str) -> None:
        """Send the current identity to a peer that addressed a former one of this machine."""
        address = self._directory.resolve(sender)
        if address is not None:
            self._transport.send(
                address, HELLO_METHOD, to_wire(self.local_node).SerializeToString()
            )

    def _receive_hello(self, payload: bytes) -> None:
        self._directory.put(from_wire(wire.ReplicaHello.FromString(payload)))

    def _nodes_to_ask(self) -> set[str]:
        """Identities that this machine should ask for a reply.

        A leader asks unresponsive members and, while there is one or a voter is missing, the
        machines that may replace it. A voter without a leader asks all machines, since a voter may
        be listed under another identity.
        """
        nodes_to_ask: set[str] = set()
        for group in self._host.groups.values():
            replica = group.replica
            if replica.role is Role.LEADER:
                members = [*replica.membership.voters, *replica.membership.learners]
                silent = replica.followers.silent(members, UNRESPONSIVE_S / self._tick_s)
                nodes_to_ask |= silent
                if silent or len(replica.membership.voters) < self._num_voters:
                    nodes_to_ask.update(set(self._directory.node_ids()) - set(members))
            elif not replica.leader_id and replica.is_voter:
                nodes_to_ask.update(self._directory.node_ids())
        return nodes_to_ask

    # --- repair --------------------------------------------------------------------------

    async def _supervise(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._transfer_if_stalled()
            for group_id, group in list(self._host.groups.items()):
                # Announcements alone prove nothing: two voters that each read an outdated one of
                # the other would both become leaders.
                group.replica.lost_nodes = frozenset(self._directory.proven_lost)
                if group.replica.is_ready_leader:
                    self._supervise_group(group_id, group)

    def _transfer_if_stalled(self) -> None:
        """Transfer leadership while this machine's disk or event loop is stalled."""
        now_s = asyncio.get_running_loop().time()
        stall = self._host.stall_detector.detect(now_s)
        led = self._host.led_groups()
        if (
            stall is None
            or not led
            or now_s < self._last_stall_transfer_s + STALL_TRANSFER_INTERVAL_S
        ):
            return
        self._last_stall_transfer_s = now_s
        log.say("handing leadership over: disk or loop stalled", reason=stall.value, groups=led)
        self._host.transfer_all_leadership()

    def _supervise_group(self, group_id: int, group: HostedGroup) -> None:
        """Transfer leadership if another voter should lead, else plan a membership change."""
        voters = group.replica.membership.voters
        retiring = self._directory.retiring_ids()
        remaining = [node for node in voters if node not in retiring]
        if self.local_node.node_id in retiring and remaining:
            self._host.transfer_leadership(group_id, remaining)
            return
        self._transfer_to_home_region(group_id, group, remaining)
        if group.replica.is_membership_committed:
            self._change_membership(group_id, group)

    def _transfer_to_home_region(
        self, group_id: int, group: HostedGroup, remaining: list[str]
    ) -> None:
        """Transfer leadership to a home voter that has kept up for ``HOME_CATCH_UP_S``."""
        topology = self._topology(group_id)
        if topology.is_home(self.local_node.node_id):
            self._outside_home_since.pop(group_id, None)
            return
        now_s, replica = asyncio.get_running_loop().time(), group.replica
        current = (now_s, replica.term, replica.commit_index)
        since_s, term, index = self._outside_home_since.setdefault(group_id, current)
        if term == replica.term and now_s < since_s + HOME_CATCH_UP_S:
            return
        self._outside_home_since[group_id] = current
        home_voters = [node for node in remaining if topology.is_home(node)]
        ready = [node for node in home_voters if replica.followers[node].match_index >= index]
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
        """Propose the next membership change, if any; plan only when the inputs have changed."""
        replica = group.replica
        inputs = self._plan_inputs(group_id, group)
        plan_key = (tuple(replica.membership.voters), tuple(replica.membership.learners), inputs)
        if self._idle_plan_keys.get(group_id) == plan_key:
            return
        topology, to_replace = inputs.topology, {*inputs.silent, *inputs.retiring}
        available, voters = inputs.candidates, replica.membership.voters
        ranked = rank_candidates(group_id, topology, available, voters, to_replace)
        healthy = [node for node in voters if node not in to_replace and node not in inputs.wiped]
        # While a learner catches up no other machine is needed, so none is waited for.
        is_voter_missing = len(healthy) < inputs.num_voters and not replica.membership.learners
        candidates = self._candidates.sort_responsive_first(group_id, ranked, is_voter_missing)
        if candidates is None and not inputs.wiped:
            return
        new_membership = plan_membership(
            replica.membership, replace(inputs, candidates=candidates or [])
        )
        if new_membership is None:
            self._idle_plan_keys[group_id] = plan_key
            return
        for node in set(replica.membership.learners) & set(inputs.silent):
            self._candidates.record_failure(node)
        if self._host.propose_membership(group_id, new_membership):
            log.say(
                "membership change proposed",
                group=group_id,
                voters=list(new_membership.voters),
                learners=list(new_membership.learners),
                zones=[inputs.topology.zone_of.get(node, "") for node in new_membership.voters],
                wiped=sorted(inputs.wiped),
                silent=sorted(inputs.silent),
                retiring=sorted(inputs.retiring),
                term=replica.term,
            )

    def _plan_inputs(self, group_id: int, group: HostedGroup) -> PlanInputs:
        """Inputs of the membership plan, with unranked candidates."""
        replica = group.replica
        membership = replica.membership
        members = [*membership.voters, *membership.learners]
        silent = replica.followers.silent(members, SILENT_S / self._tick_s)
        retiring = self._directory.retiring_ids()
        topology = self._topology(group_id)
        available = self._available_nodes(topology, members, retiring)
        caught_up = replica.followers.caught_up(
            membership.learners, replica.last_index, MAX_LEARNER_LAG
        )
        self._candidates.record_caught_up(caught_up)
        return PlanInputs(
            leader_id=self.local_node.node_id,
            wiped=self._directory.wiped & set(members),
            silent=silent,
            unresponsive=replica.followers.silent(members, UNRESPONSIVE_S / self._tick_s),
            retiring=retiring,
            caught_up=caught_up,
            candidates=available,
            num_voters=self._num_voters,
            topology=topology,
        )

    def _available_nodes(
        self, topology: VoterTopology, members: list[str], retiring: set[str]
    ) -> list[str]:
        """Machines that may be added."""
        return [
            node
            for node in topology.zone_of
            if node not in members
            and node not in retiring
            and not self._candidates.is_backed_off(node)
        ]

    def num_healthy_voters(self, group_id: int = 0) -> int:
        """Number of recently replying voters that hold all committed entries; 0 at a follower."""
        group = self._host.groups.get(group_id)
        if group is None or not group.replica.is_ready_leader:
            return 0
        replica = group.replica
        voters = replica.membership.voters
        silent = replica.followers.silent(voters, SILENT_S / self._tick_s)
        return sum(
            1
            for node in voters
            if node == self.local_node.node_id
            or (node not in silent and replica.followers[node].match_index >= replica.commit_index)
        )
