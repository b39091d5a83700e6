"""Which nodes hold replicas: by rendezvous rank, in distinct zones. Pure."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from bendshed.identifiers import rendezvous_rank


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


def rank_candidates(
    group_id: int,
    zone_of: Mapping[str, str],
    free: Collection[str],
    members: Collection[str],
) -> list[str]:
    """Nodes that may take a replica, best first: those in zones without one, then by rank.

    Args:
        group_id: decides the rank.
        zone_of: zone of each known node.
        free: nodes that hold no replica and may.
        members: nodes that hold one and count.

    """
    used_zones = {zone_of[node] for node in members if node in zone_of}
    ranked = rendezvous_rank(f"group-{group_id}", free)
    ranked.sort(key=lambda node: zone_of[node] in used_zones)  # stable
    return ranked
