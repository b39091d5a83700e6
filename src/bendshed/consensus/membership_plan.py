"""Which membership change a small group needs next: a pure decision, one replica at a time."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from bendshed.consensus.replica_choice import VoterTopology
from bendshed.wire.consensus_pb2 import GroupMembership


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """What the leader knows when it decides.

    Attributes:
        me: the leader itself.
        wiped: identities whose disk is lost for good.
        silent: members without a reply for long enough to be replaced.
        retiring: identities that are to be emptied.
        caught_up: learners that hold nearly the whole log.
        candidates: live processes that hold no replica, best first.
        count: wanted voters.
        places: zones of nodes, so that voters survive the loss of a zone.
        unheard: members without a reply for a moment: they may be gone, or not.

    """

    me: str
    wiped: Collection[str]
    silent: Collection[str]
    retiring: Collection[str]
    caught_up: Collection[str]
    candidates: Sequence[str]
    count: int
    topology: VoterTopology = field(default_factory=lambda: VoterTopology({}))
    unheard: Collection[str] = ()

    def may_let_go(self, voters: Collection[str], node: str) -> bool:
        """Whether one voter may leave: a live one only while all others are heard.

        If another is gone and its successor among the voters, a loss of the successor's disk would
        leave too few.
        """
        others = [voter for voter in voters if voter not in (node, self.me)]
        return node in self.silent or not any(voter in self.unheard for voter in others)

    def is_weak(self, node: str) -> bool:
        """Whether a voter is to be replaced."""
        return node in self.silent or node in self.retiring


def plan_membership(present: GroupMembership, inputs: PlanInputs) -> GroupMembership | None:
    """Return the next step towards ``count`` sound voters; ``None``: nothing to do now.

    A wiped voter is removed at once: it can neither vote nor come back. A silent or retiring one
    stays until a successor has caught up, and so does one in a worse zone than a free machine
    would. A leader never removes itself.
    """
    voters, learners = list(present.voters), list(present.learners)
    useless = [node for node in learners if node in inputs.wiped or inputs.is_weak(node)]
    if useless:
        return _membership(voters, [node for node in learners if node not in useless])
    for node in voters:
        if node in inputs.wiped and node != inputs.me:
            return _without(present, node)
    weak = [node for node in voters if inputs.is_weak(node)]
    if len(voters) > inputs.count:
        return _shrink(present, weak, inputs)
    if len(voters) - len(weak) >= inputs.count:
        return _rebalance(present, inputs)
    if learners:
        return _replace(present, inputs)
    if inputs.candidates:
        return _membership(voters, [inputs.candidates[0]])
    return _empty_without_successor(present, inputs)


def _replace(present: GroupMembership, inputs: PlanInputs) -> GroupMembership | None:
    """A learner that has caught up takes a voter's place.

    A silent voter goes before its successor votes: beside it, a majority would need one voter more,
    and a loss of the successor's disk would leave too few. Of two voters none goes first: with the
    learner the other makes a majority, alone it would be the only copy.
    """
    ready = [node for node in present.learners if node in inputs.caught_up]
    gone = [node for node in present.voters if node in inputs.silent and node != inputs.me]
    if ready and gone and len(present.voters) > 2:
        return _without(present, gone[0])
    return _promote(present, ready)


def _promote(present: GroupMembership, ready: Sequence[str]) -> GroupMembership | None:
    """A learner that has caught up becomes a voter."""
    if not ready:
        return None
    learners = [node for node in present.learners if node != ready[0]]
    return _membership([*present.voters, ready[0]], learners)


def _shrink(
    present: GroupMembership, weak: Sequence[str], inputs: PlanInputs
) -> GroupMembership | None:
    """More voters than wanted: one goes, and of equals the one without which the rest is best.

    A silent one goes before one that still votes while it waits to be emptied.
    """
    removable = [node for node in weak if node != inputs.me]
    if weak and not removable:
        return None  # the leader itself is to go; it hands over first
    silent = [node for node in removable if node in inputs.silent]
    others = silent or removable or [node for node in present.voters if node != inputs.me]
    leaving = inputs.topology.choose_removal(present.voters, others)
    return _without(present, leaving) if inputs.may_let_go(present.voters, leaving) else None


def _rebalance(present: GroupMembership, inputs: PlanInputs) -> GroupMembership | None:
    """Enough sound voters: take in a machine whose zone is better than that of one of them.

    Each exchange leaves the voters strictly better, so exchanges end. None begins while a voter is
    unheard.
    """
    if any(node in inputs.unheard for node in present.voters):
        return None
    for node in present.learners:
        if not _improves(present, node, inputs):
            return _membership(list(present.voters), [n for n in present.learners if n != node])
    if present.learners:
        return _promote(present, [node for node in present.learners if node in inputs.caught_up])
    better = [node for node in inputs.candidates if _improves(present, node, inputs)]
    return _membership(list(present.voters), better[:1]) if better else None


def _improves(present: GroupMembership, node: str, inputs: PlanInputs) -> bool:
    """Whether voters are spread better with ``node`` in place of one that is not the leader."""
    voters = list(present.voters)
    others = [voter for voter in voters if voter != inputs.me]
    if not others:
        return False
    leaving = inputs.topology.choose_removal([*voters, node], others)
    exchanged = [node, *(voter for voter in voters if voter != leaving)]
    placement_cost = inputs.topology.placement_cost
    surplus_meanwhile = placement_cost([*voters, node])[0]
    return surplus_meanwhile <= placement_cost(voters)[0] and placement_cost(
        exchanged
    ) < placement_cost(voters)


def _empty_without_successor(
    present: GroupMembership, inputs: PlanInputs
) -> GroupMembership | None:
    """No machine is free to take over: a retiring voter still goes while two others stay."""
    leaving = [n for n in present.voters if n in inputs.retiring and n != inputs.me]
    stay = [n for n in present.voters if not inputs.is_weak(n)]
    if leaving and len(stay) >= 2 and inputs.may_let_go(present.voters, leaving[0]):
        return _without(present, leaving[0])
    return None


def _without(present: GroupMembership, node: str) -> GroupMembership:
    return _membership([n for n in present.voters if n != node], list(present.learners))


def _membership(voters: list[str], learners: list[str]) -> GroupMembership:
    return GroupMembership(voters=voters, learners=learners)
