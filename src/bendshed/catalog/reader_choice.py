"""Selects the machine that a node follows, so that updates cross regions only once. Pure.

All nodes share a ranking of the replica machines. The first by rank, the reader, reads the registry
for all, and the other nodes of its region follow it. In another region the first by rank there, the
regional reader, follows the reader, and all others of that region follow the regional reader.
Without regions all nodes follow the reader.

Two machines cannot follow each other for long: an update carries its age, which only a reply of the
registry resets, and a machine that has lost the registry reports that to other replica machines
even while its own updates are fresh.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from bendshed.model.address import Address
from bendshed.model.places import Places
from bendshed.ports.registry import ReplicaNode

AVOIDED_MIN_S, AVOIDED_MAX_S = 1.0, 8.0
"""A machine that does not reply, or has lost the registry, is avoided for this time, which doubles
with each further failure. The next by rank reads meanwhile, and a dead machine costs a node one
request in 8 s instead of one per reply of the next."""


@dataclass(frozen=True, slots=True)
class RequestingNode:
    """A node that requests the catalog.

    Attributes:
        address: its address.
        zone: its zone.
        is_replica: it is a replica machine, which others may follow.

    """

    address: Address
    zone: str
    places: Places
    is_replica: bool

    def is_in_same_region(self, node: ReplicaNode) -> bool:
        """Whether a replica machine is located in the node's region."""
        return self.places.region(node.zone) == self.places.region(self.zone)


def choose_catalog_source(
    requester: RequestingNode, ranked: Sequence[ReplicaNode], avoided: Collection[Address]
) -> Address | None:
    """Select the machine to follow; ``None``: the node is the reader, or all are avoided.

    Args:
        requester: the requesting node.
        ranked: the replica machines in the ranking that all nodes share.
        avoided: those that recently did not reply or lost the registry.

    """
    eligible = [node for node in ranked if node.address not in avoided]
    if not eligible:
        return None
    reader = eligible[0]
    in_region = [node for node in eligible if requester.is_in_same_region(node)]
    regional_reader = in_region[0] if in_region else reader
    if not requester.is_replica:
        return regional_reader.address
    if reader.address == requester.address:
        return None
    crosses_link = regional_reader.address == requester.address
    return reader.address if crosses_link else regional_reader.address


@dataclass(frozen=True, slots=True)
class _Avoidance:
    """A machine that is avoided until a loop time, for ``for_s`` seconds in total."""

    until_s: float
    for_s: float


class ReaderChoice:
    """Selects among the machines that are not avoided, or else the one whose avoidance ends first.

    Times are of the caller's clock, in seconds.
    """

    def __init__(self, requester: RequestingNode) -> None:
        self._requester = requester
        self._avoided: dict[Address, _Avoidance] = {}

    def target(self, ranked: Sequence[ReplicaNode], now_s: float) -> Address | None:
        """Return the machine to follow; ``None``: this node reads the registry itself."""
        avoided = {peer for peer, avoidance in self._avoided.items() if avoidance.until_s > now_s}
        if any(node.address not in avoided for node in ranked):
            return choose_catalog_source(self._requester, ranked, avoided)
        addresses = [node.address for node in ranked]
        first_to_expire = min(
            addresses, key=lambda address: self._avoided[address].until_s, default=None
        )
        return first_to_expire if first_to_expire != self._requester.address else None

    def avoid(self, machine: Address, now_s: float) -> float:
        """Avoid a machine from now on; return for how long, in seconds."""
        previous = self._avoided.get(machine)
        for_s = AVOIDED_MIN_S if previous is None else min(AVOIDED_MAX_S, 2 * previous.for_s)
        self._avoided[machine] = _Avoidance(now_s + for_s, for_s)
        return for_s

    def readmit(self, machine: Address) -> None:
        """Use a machine that works again; its next failure begins with the shortest time."""
        self._avoided.pop(machine, None)
