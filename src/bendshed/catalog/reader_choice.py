"""Whom a node requests the catalog from, so that it crosses the link between regions once. Pure.

All nodes share a rank of the replica machines. The first by rank reads the registry for all. In its
region all others request the catalog of it. In another region the first by rank there requests it
across the link, and all others there request it of that one, the regional reader. Without regions
everybody requests it of the reader.

No two machines can rely on each other for long: an update carries its age, which only the
registry's answer makes young, and a machine that has lost the registry says so to other replica
machines however fresh its own updates are.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from bendshed.model.address import Address
from bendshed.model.places import Places
from bendshed.ports.registry import ReplicaNode

AVOIDED_MIN_S, AVOIDED_MAX_S = 1.0, 8.0
"""A machine that does not reply, or has lost the registry, is avoided for so long, twice as long
after each further failure: the next by rank reads meanwhile, and a dead machine costs a node one
request in 8 s instead of one a reply."""


@dataclass(frozen=True, slots=True)
class RequestingNode:
    """A node that requests the catalog.

    Attributes:
        address: its own.
        zone: where it is located.
        is_replica: it is one of those that others may request it of.

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
    """Whom to request it of; ``None``: the node is the reader, or all machines are avoided.

    Args:
        requester: the requesting node.
        ranked: the replica machines in the rank that all share.
        avoided: those that did not reply or lost the registry lately.

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
    """A machine that is avoided until a loop time; ``for_s``: how long that was from its start."""

    until_s: float
    for_s: float


class ReaderChoice:
    """Chooses among the machines that are not avoided, else the one avoided least long.

    Times are of the caller's clock, in seconds.
    """

    def __init__(self, requester: RequestingNode) -> None:
        self._requester = requester
        self._avoided: dict[Address, _Avoidance] = {}

    def target(self, ranked: Sequence[ReplicaNode], now_s: float) -> Address | None:
        """Whom to request it of; ``None``: no machine, this node reads the registry itself."""
        avoided = {peer for peer, avoidance in self._avoided.items() if avoidance.until_s > now_s}
        if any(node.address not in avoided for node in ranked):
            return choose_catalog_source(self._requester, ranked, avoided)
        addresses = [node.address for node in ranked]
        first_to_expire = min(
            addresses, key=lambda address: self._avoided[address].until_s, default=None
        )
        return first_to_expire if first_to_expire != self._requester.address else None

    def avoid(self, machine: Address, now_s: float) -> float:
        """Avoid a machine from now on; return for how long."""
        previous = self._avoided.get(machine)
        for_s = AVOIDED_MIN_S if previous is None else min(AVOIDED_MAX_S, 2 * previous.for_s)
        self._avoided[machine] = _Avoidance(now_s + for_s, for_s)
        return for_s

    def readmit(self, machine: Address) -> None:
        """A machine is well: use it, and begin with the shortest time at its next failure."""
        self._avoided.pop(machine, None)
