"""Which membership change a small group needs next: a pure decision, one replica at a time."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from bendshed.wire.consensus_pb2 import GroupMembership


@dataclass(frozen=True, slots=True)
class ReplicaFacts:
    """What the leader knows when it decides.

    Attributes:
        me: the leader itself.
        wiped: identities whose disk is lost for good.
        silent: members that have not been heard for long enough to be replaced.
        retiring: identities that are to be emptied.
        caught_up: learners that hold nearly the whole log.
        candidates: live processes that hold no replica, best first.
        count: wanted voters.

    """

    me: str
    wiped: Collection[str]
    silent: Collection[str]
    retiring: Collection[str]
    caught_up: Collection[str]
    candidates: Sequence[str]
    count: int


def plan_membership(present: GroupMembership, facts: ReplicaFacts) -> GroupMembership | None:
    """Return the next step towards ``count`` sound voters; ``None``: nothing to do now.

    A wiped voter is removed at once: it can neither vote nor come back. A silent or retiring one
    stays until a successor has caught up. A leader never removes itself.
    """
    voters, learners = list(present.voters), list(present.learners)
    useless = [
        node
        for node in learners
        if node in facts.wiped or node in facts.silent or node in facts.retiring
    ]
    if useless:
        return _membership(voters, [node for node in learners if node not in useless])
    for node in voters:
        if node in facts.wiped and node != facts.me:
            return _without(present, node)
    weak = [n for n in voters if n in facts.silent or n in facts.retiring]
    if len(voters) > facts.count:
        return _shrink(present, weak, facts)
    if len(voters) - len(weak) >= facts.count:
        return None
    ready = [node for node in learners if node in facts.caught_up]
    if ready:
        return _membership([*voters, ready[0]], [n for n in learners if n != ready[0]])
    if learners:
        return None
    if facts.candidates:
        return _membership(voters, [facts.candidates[0]])
    return _empty_without_successor(present, facts)


def _shrink(
    present: GroupMembership, weak: Sequence[str], facts: ReplicaFacts
) -> GroupMembership | None:
    """More voters than wanted: a weak one goes, else the one that joined last."""
    removable = [node for node in weak if node != facts.me]
    if removable:
        return _without(present, removable[0])
    if weak:
        return None  # the leader itself is to go; it hands over first
    others = [node for node in present.voters if node != facts.me]
    return _without(present, others[-1])


def _empty_without_successor(
    present: GroupMembership, facts: ReplicaFacts
) -> GroupMembership | None:
    """No machine is free to take over: a retiring voter still goes while two others stay."""
    leaving = [n for n in present.voters if n in facts.retiring and n != facts.me]
    stay = [n for n in present.voters if n not in facts.retiring and n not in facts.silent]
    if leaving and len(stay) >= 2:
        return _without(present, leaving[0])
    return None


def _without(present: GroupMembership, node: str) -> GroupMembership:
    return _membership([n for n in present.voters if n != node], list(present.learners))


def _membership(voters: list[str], learners: list[str]) -> GroupMembership:
    return GroupMembership(voters=voters, learners=learners)
