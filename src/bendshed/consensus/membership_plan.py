"""Decides the next membership change of a small group, one replica at a time. No I/O."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from bendshed.consensus.replica_choice import VoterTopology
from bendshed.wire.consensus_pb2 import GroupMembership


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """Data on which the leader bases its plan of a membership change.

    Attributes:
        leader_id: identity of the leader, which makes the plan.
        wiped: identities whose disk is lost permanently.
        silent: members without a reply for long enough to be replaced.
        retiring: identities of machines that are to be emptied.
        caught_up: learners that hold nearly the whole log.
        candidates: live processes that hold no replica, best first.
        num_voters: desired number of voters.
        topology: zones of the nodes, so that the voters survive the loss of a zone.
        unresponsive: members without a reply for a short time, which may or may not have failed.

    """

    leader_id: str
    wiped: Collection[str]
    silent: Collection[str]
    retiring: Collection[str]
    caught_up: Collection[str]
    candidates: Sequence[str]
    num_voters: int
    topology: VoterTopology = field(default_factory=lambda: VoterTopology({}))
    unresponsive: Collection[str] = ()

    def may_remove(self, voters: Collection[str], node: str) -> bool:
        """Whether a voter may be removed: a live one only while all others are responsive.

        If another voter has failed and its successor already votes, losing the successor's disk
        would leave too few voters.
        """
        others = [voter for voter in voters if voter not in (node, self.leader_id)]
        return node in self.silent or not any(voter in self.unresponsive for voter in others)

    def needs_replacement(self, node: str) -> bool:
        """Whether a voter is silent or retiring."""
        return node in self.silent or node in self.retiring


def plan_membership(current: GroupMembership, inputs: PlanInputs) -> GroupMembership | None:
    """Return the next step towards ``num_voters`` healthy voters; ``None`` if there is none now.

    A wiped voter is removed at once: it can neither vote nor return. A silent or retiring voter
    stays until a successor has caught up, and so does a voter in a worse zone than that of an
    available machine. A leader never removes itself.
    """
    voters, learners = list(current.voters), list(current.learners)
    obsolete = [node for node in learners if node in inputs.wiped or inputs.needs_replacement(node)]
    if obsolete:
        return _membership(voters, [node for node in learners if node not in obsolete])
    for node in voters:
        if node in inputs.wiped and node != inputs.leader_id:
            return _without(current, node)
    to_replace = [node for node in voters if inputs.needs_replacement(node)]
    if len(voters) > inputs.num_voters:
        return _remove_surplus(current, to_replace, inputs)
    if len(voters) - len(to_replace) >= inputs.num_voters:
        return _improve_placement(current, inputs)
    if learners:
        return _replace(current, inputs)
    if inputs.candidates:
        return _membership(voters, [inputs.candidates[0]])
    return _remove_retiring_voter(current, inputs)


def _replace(current: GroupMembership, inputs: PlanInputs) -> GroupMembership | None:
    """Replace a voter by a learner that has caught up.

    A silent voter is removed before its successor votes: with both as voters a majority would need
    one voter more, and losing the successor's disk would leave too few. With two voters the silent
    one stays until its successor votes: the live voter and the successor are a majority of three,
    whereas the live voter alone would hold the only copy.
    """
    ready = [node for node in current.learners if node in inputs.caught_up]
    silent_voters = [
        node for node in current.voters if node in inputs.silent and node != inputs.leader_id
    ]
    if ready and silent_voters and len(current.voters) > 2:
        return _without(current, silent_voters[0])
    return _promote(current, ready)


def _promote(current: GroupMembership, ready: Sequence[str]) -> GroupMembership | None:
    """Make a learner that has caught up a voter."""
    if not ready:
        return None
    learners = [node for node in current.learners if node != ready[0]]
    return _membership([*current.voters, ready[0]], learners)


def _remove_surplus(
    current: GroupMembership, to_replace: Sequence[str], inputs: PlanInputs
) -> GroupMembership | None:
    """Remove one of too many voters: among equals the one whose removal leaves the best placement.

    A silent voter is removed before a retiring one, which still votes.
    """
    removable = [node for node in to_replace if node != inputs.leader_id]
    if to_replace and not removable:
        return None  # the leader itself is to be removed; it transfers leadership first
    silent = [node for node in removable if node in inputs.silent]
    others = silent or removable or [node for node in current.voters if node != inputs.leader_id]
    leaving = inputs.topology.choose_removal(current.voters, others)
    return _without(current, leaving) if inputs.may_remove(current.voters, leaving) else None


def _improve_placement(current: GroupMembership, inputs: PlanInputs) -> GroupMembership | None:
    """With enough healthy voters, add a machine whose zone is better than that of one of them.

    Each exchange strictly lowers the placement cost, so exchanges terminate. None starts while a
    voter is unresponsive.
    """
    if any(node in inputs.unresponsive for node in current.voters):
        return None
    for node in current.learners:
        if not _improves_placement(current, node, inputs):
            return _membership(list(current.voters), [n for n in current.learners if n != node])
    if current.learners:
        return _promote(current, [node for node in current.learners if node in inputs.caught_up])
    better = [node for node in inputs.candidates if _improves_placement(current, node, inputs)]
    return _membership(list(current.voters), better[:1]) if better else None


def _improves_placement(current: GroupMembership, node: str, inputs: PlanInputs) -> bool:
    """Whether replacing a voter other than the leader by ``node`` improves the placement."""
    voters = list(current.voters)
    others = [voter for voter in voters if voter != inputs.leader_id]
    if not others:
        return False
    leaving = inputs.topology.choose_removal([*voters, node], others)
    exchanged = [node, *(voter for voter in voters if voter != leaving)]
    placement_cost = inputs.topology.placement_cost
    surplus_during_exchange = placement_cost([*voters, node])[0]
    return surplus_during_exchange <= placement_cost(voters)[0] and placement_cost(
        exchanged
    ) < placement_cost(voters)


def _remove_retiring_voter(current: GroupMembership, inputs: PlanInputs) -> GroupMembership | None:
    """Without an available machine, remove a retiring voter while two others remain."""
    leaving = [n for n in current.voters if n in inputs.retiring and n != inputs.leader_id]
    remaining = [n for n in current.voters if not inputs.needs_replacement(n)]
    if leaving and len(remaining) >= 2 and inputs.may_remove(current.voters, leaving[0]):
        return _without(current, leaving[0])
    return None


def _without(current: GroupMembership, node: str) -> GroupMembership:
    return _membership([n for n in current.voters if n != node], list(current.learners))


def _membership(voters: list[str], learners: list[str]) -> GroupMembership:
    return GroupMembership(voters=voters, learners=learners)
