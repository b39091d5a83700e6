"""Chooses replica nodes: home region first, spread over zones, by rendezvous rank. No I/O."""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from bendshed.identifiers import rendezvous_rank


@dataclass(frozen=True, slots=True)
class DiskNode:
    """A node that can hold replicas."""

    node_id: str
    zone: str


@dataclass(frozen=True, slots=True)
class VoterTopology:
    """Zones of the nodes, and the cost of placing voters in them.

    A whole zone may fail, so none should hold more voters than the group can lose. Beyond that,
    voters should be in the home region, where the leader need not wait for a remote disk, and
    evenly spread over zones.

    Attributes:
        zone_of: zone of each known node; an unknown node counts as a separate zone of the home
            region.
        home_zones: zones of the group's home region; ``None``: all zones.

    """

    zone_of: Mapping[str, str]
    home_zones: Collection[str] | None = None

    def is_home(self, node: str) -> bool:
        """Whether a node is located in the group's home region."""
        if self.home_zones is None or node not in self.zone_of:
            return True
        return self.zone_of[node] in self.home_zones

    def placement_cost(self, voters: Collection[str]) -> tuple[int, int, int]:
        """Cost of a set of voters; lower is better.

        First the number of voters that zones hold beyond the tolerated losses, then the number
        outside the home region, then how unevenly the zones are filled.
        """
        by_zone = Counter(self.zone_of.get(node, node) for node in voters)
        num_tolerated_losses = (len(voters) - 1) // 2
        surplus = sum(max(0, count - num_tolerated_losses) for count in by_zone.values())
        num_outside_home = sum(1 for node in voters if not self.is_home(node))
        return surplus, num_outside_home, sum(count * count for count in by_zone.values())

    def choose_removal(self, voters: Sequence[str], removable: Sequence[str]) -> str:
        """Voter whose removal leaves the lowest cost; among equals the one that joined last."""
        newest_first = reversed(removable)
        return min(
            newest_first, key=lambda node: self.placement_cost([v for v in voters if v != node])
        )


def choose_replicas(
    group_id: int,
    nodes: Collection[DiskNode],
    num_voters: int,
    home_zones: Collection[str] | None = None,
) -> list[str]:
    """Choose the voters of a new group.

    Args:
        group_id: breaks ties.
        nodes: nodes that can hold replicas.
        num_voters: desired number of voters.
        home_zones: zones of the group's home region; ``None``: all zones.

    """
    topology = VoterTopology({node.node_id: node.zone for node in nodes}, home_zones)
    ranked = rendezvous_rank(f"group-{group_id}", topology.zone_of)
    num_tolerated_losses = (num_voters - 1) // 2
    chosen: list[str] = []
    while len(chosen) < min(num_voters, len(ranked)):
        by_zone = Counter(topology.zone_of[node] for node in chosen)
        remaining = [node for node in ranked if node not in chosen]
        chosen.append(
            min(
                remaining,
                key=lambda node: _placement_key(node, topology, by_zone, num_tolerated_losses),
            )
        )
    return chosen


def _placement_key(
    node: str, topology: VoterTopology, by_zone: "Counter[str]", num_tolerated_losses: int
) -> tuple[bool, bool, int]:
    """Sort key of the next voter: room in its zone, home region, fewest voters in its zone."""
    num_there = by_zone[topology.zone_of[node]]
    return num_there >= max(1, num_tolerated_losses), not topology.is_home(node), num_there


def rank_candidates(
    group_id: int,
    topology: VoterTopology,
    available: Collection[str],
    voters: Collection[str],
    to_replace: Collection[str] = (),
) -> list[str]:
    """Rank the nodes that may receive a replica, best first; ties by rendezvous rank.

    The cost counts both while the new node votes beside all current voters and once the voters to
    replace are removed.

    Args:
        group_id: determines the rendezvous rank.
        places: zones of all nodes.
        available: nodes without a replica that may receive one.
        voters: current voters, including those to replace.
        to_replace: voters that will be removed.

    """
    kept = [node for node in voters if node not in to_replace]
    ranked = rendezvous_rank(f"group-{group_id}", available)
    return sorted(
        ranked,
        key=lambda node: (
            topology.placement_cost([*voters, node])[0],
            topology.placement_cost([*kept, node]),
        ),
    )
