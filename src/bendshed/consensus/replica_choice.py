"""Which nodes hold replicas: at home first, spread over zones, by rendezvous rank. Pure."""

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
    """What makes one set of voters better than another.

    A zone may be lost whole, so none should hold more voters than the group can lose. Beyond that
    voters are at home, where their leader waits for no distant disk, and evenly over zones.

    Attributes:
        zone_of: zone of each known node; an unknown one counts as a separate zone at home.
        home_zones: zones of the group's region; ``None``: all are.

    """

    zone_of: Mapping[str, str]
    home_zones: Collection[str] | None = None

    def is_home(self, node: str) -> bool:
        """Whether a node is located in the group's region."""
        if self.home_zones is None or node not in self.zone_of:
            return True
        return self.zone_of[node] in self.home_zones

    def placement_cost(self, voters: Collection[str]) -> tuple[int, int, int]:
        """How badly voters are spread; less is better.

        First the voters that a zone holds beyond those that may be lost, then those away from
        home, then how unevenly zones are filled.
        """
        by_zone = Counter(self.zone_of.get(node, node) for node in voters)
        num_tolerated_losses = (len(voters) - 1) // 2
        surplus = sum(max(0, count - num_tolerated_losses) for count in by_zone.values())
        num_outside_home = sum(1 for node in voters if not self.is_home(node))
        return surplus, num_outside_home, sum(count * count for count in by_zone.values())

    def choose_removal(self, voters: Sequence[str], removable: Sequence[str]) -> str:
        """Voter whose removal leaves the best set; of equals the one that joined last."""
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
    """Voters of a new group.

    Args:
        group_id: decides between equals.
        nodes: that can hold replicas.
        num_voters: wanted voters.
        home_zones: zones of the group's region; ``None``: all are.

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
    """The next voter has the least: its zone has room, it is at home, its zone holds few."""
    num_there = by_zone[topology.zone_of[node]]
    return num_there >= max(1, num_tolerated_losses), not topology.is_home(node), num_there


def rank_candidates(
    group_id: int,
    topology: VoterTopology,
    available: Collection[str],
    voters: Collection[str],
    to_replace: Collection[str] = (),
) -> list[str]:
    """Nodes that may take a replica, best first; of equals by rank.

    Both moments count: while the newcomer votes beside all present voters, and when the to_replace
    ones
    are gone.

    Args:
        group_id: decides the rank.
        places: zones of all nodes.
        available: nodes that hold no replica and may.
        voters: present voters, the to_replace ones too.
        to_replace: voters that are to go.

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
