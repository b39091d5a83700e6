"""Which membership change a group needs next: pure decision, one replica at a time."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bendshed.identifiers import rendezvous_rank
from bendshed.wire.consensus_pb2 import GroupMembership


@dataclass(frozen=True, slots=True)
class DiskNode:
    """A node that can hold replicas."""

    node_id: str
    zone: str


def choose_replicas(group_id: int, nodes: Collection[DiskNode], count: int) -> list[str]:
    """Replicas of a new group: by rendezvous rank, each in another zone while zones last."""
    zone_of = {node.node_id: node.zone for node in nodes}
    ranked = rendezvous_rank(f"group-{group_id}", zone_of)
    chosen: list[str] = []
    for distinct_zones in (True, False):
        for node in ranked:
            used = {zone_of[other] for other in chosen}
            if len(chosen) < count and node not in chosen:
                if distinct_zones and zone_of[node] in used:
                    continue
                chosen.append(node)
    return chosen


def next_membership(
    group_id: int,
    present: GroupMembership,
    live: Mapping[str, DiskNode],
    gone: Collection[str],
    caught_up: Collection[str],
    count: int,
) -> GroupMembership | None:
    """Next step towards ``count`` live voters in distinct zones; ``None``: nothing to do.

    Steps: add a learner; once it has caught up make it a voter; remove a voter that is gone.

    Args:
        group_id: decides the ranking of candidates.
        present: membership in force.
        live: live disk nodes by node id.
        gone: node ids that have been dead for long enough to be replaced.
        caught_up: learners that hold nearly the whole log.
        count: wanted voters.

    """
    voters, learners = list(present.voters), list(present.learners)
    stale = [node for node in learners if node in gone]
    if stale:
        return GroupMembership(voters=voters, learners=[n for n in learners if n not in stale])
    dead_voters = [node for node in voters if node in gone]
    if len(voters) > count and dead_voters:
        return GroupMembership(voters=[n for n in voters if n != dead_voters[0]], learners=learners)
    if len(voters) - len(dead_voters) >= count:
        return None
    ready = [node for node in learners if node in caught_up]
    if ready:
        return GroupMembership(
            voters=[*voters, ready[0]], learners=[n for n in learners if n != ready[0]]
        )
    if learners:
        return None
    candidate = _best_candidate(group_id, voters, live, gone)
    if candidate is None:
        return None
    return GroupMembership(voters=voters, learners=[candidate])


def _best_candidate(
    group_id: int, voters: list[str], live: Mapping[str, DiskNode], gone: Collection[str]
) -> str | None:
    used_zones = {live[v].zone for v in voters if v in live and v not in gone}
    free = [node for node in live if node not in voters]
    ranked = rendezvous_rank(f"group-{group_id}", free)
    ranked.sort(key=lambda node: live[node].zone in used_zones)  # stable: other zones first
    return ranked[0] if ranked else None
