"""Which membership change a small group needs next: a pure decision, one replica at a time."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from bendshed.consensus.replica_choice import VoterTopology
from bendshed.wire.consensus_pb2 import GroupMembership


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """What the leader knows when it decides.

    Attributes:
        leader_id: the leader itself.
        wiped: identities whose disk is lost for good.
        silent: members without a reply for long enough to be replaced.
        retiring: identities that are to be emptied.
        caught_up: learners that hold nearly the whole log.
        candidates: live processes that hold no replica, best first.
        num_voters: wanted voters.
        places: zones of nodes, so that voters survive the loss of a zone.
        unresponsive: members without a reply for a moment: they may be silent_voters, or not.

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
        """Whether one voter may leave: a live one only while all others are heard.

        If another is silent_voters and its successor among the voters, a loss of the successor's
        disk would
        leave too few.
        """
        others = [voter for voter in voters if voter not in (node, self.leader_id)]
        return node in self.silent or not any(voter in self.unresponsive for voter in others)

    def needs_replacement(self, node: str) -> bool:
        """Whether a voter is to be replaced."""
        return node in self.silent or node in self.retiring


def plan_membership(current: GroupMembership, inputs: PlanInputs) -> GroupMembership | None:
    """Return the next step towards ``num_voters`` sound voters; ``None``: nothing to do now.

    A wiped voter is removed at once: it can neither vote nor come back. A silent or retiring one
    stays until a successor has caught up, and so does one in a worse zone than a free machine
    would. A leader never removes itself.
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
    """A learner that has caught up takes a voter's place.

    A silent voter goes before its successor votes: beside it, a majority would need one voter more,
    and a loss of the successor's disk would leave too few. Of two voters none goes first: with the
    learner the other makes a majority, alone it would be the only copy.
    """
    ready = [node for node in current.learners if node in inputs.caught_up]
    silent_voters = [
        node for node in current.voters if node in inputs.silent and node != inputs.leader_id
    ]
    if ready and silent_voters and len(current.voters) > 2:
        return _without(current, silent_voters[0])
    return _promote(current, ready)


def _promote(current: GroupMembership, ready: Sequence[str]) -> GroupMembership | None:
    """A learner that has caught up becomes a voter."""
    if not ready:
        return None
    learners = [node for node in current.learners if node != ready[0]]
    return _membership([*current.voters, ready[0]], learners)


def _remove_surplus(
    current: GroupMembership, to_replace: Sequence[str], inputs: PlanInputs
) -> GroupMembership | None:
    """More voters than wanted: one goes, and of equals the one without which the rest is best.

    A silent one goes before one that still votes while it waits to be emptied.
    """
    removable = [node for node in to_replace if node != inputs.leader_id]
    if to_replace and not removable:
        return None  # the leader itself is to go; it hands over first
    silent = [node for node in removable if node in inputs.silent]
    others = silent or removable or [node for node in current.voters if node != inputs.leader_id]
    leaving = inputs.topology.choose_removal(current.voters, others)
    return _without(current, leaving) if inputs.may_remove(current.voters, leaving) else None


def _improve_placement(current: GroupMembership, inputs: PlanInputs) -> GroupMembership | None:
    """Enough sound voters: take in a machine whose zone is better than that of one of them.

    Each exchange leaves the voters strictly better, so exchanges end. None begins while a voter is
    unresponsive.
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
    """Whether voters are spread better with ``node`` in place of one that is not the leader."""
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
    """No machine is free to take over: a retiring voter still goes while two others remaining."""
    leaving = [n for n in current.voters if n in inputs.retiring and n != inputs.leader_id]
    remaining = [n for n in current.voters if not inputs.needs_replacement(n)]
    if leaving and len(remaining) >= 2 and inputs.may_remove(current.voters, leaving[0]):
        return _without(current, leaving[0])
    return None


def _without(current: GroupMembership, node: str) -> GroupMembership:
    return _membership([n for n in current.voters if n != node], list(current.learners))


def _membership(voters: list[str], learners: list[str]) -> GroupMembership:
    return GroupMembership(voters=voters, learners=learners)
