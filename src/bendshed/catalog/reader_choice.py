"""Whom a node asks for the catalog, so that it crosses the link between regions once. Pure.

All nodes share a rank of the replica machines. The first by rank reads the registry for all. In its
region all others ask it. In another region the first by rank there asks it across the link, and all
others there ask that one, the region's head. Without regions everybody asks the reader.

No two machines can rely on each other for long: a word carries its age, which only the registry's
answer makes young, and a machine that has lost the registry says so to other replica machines
however well it is told.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from bendshed.model.address import Address
from bendshed.model.places import Places
from bendshed.ports.registry import ReplicaNode


@dataclass(frozen=True, slots=True)
class RequestingNode:
    """Who asks.

    Attributes:
        me: its address.
        zone: where it stands.
        is_replica: it is one of those that others may ask.

    """

    me: Address
    zone: str
    places: Places
    is_replica: bool

    def is_near(self, node: ReplicaNode) -> bool:
        """Whether a replica machine stands in the asker's region."""
        return self.places.region(node.zone) == self.places.region(self.zone)


def choose_catalog_source(
    asker: RequestingNode, ranked: Sequence[ReplicaNode], avoided: Collection[Address]
) -> Address | None:
    """Whom to ask; ``None``: nobody, since the asker is the reader or all are avoided.

    Args:
        asker: who asks.
        ranked: the replica machines in the rank that all share.
        avoided: those that did not answer or lost the registry a moment ago.

    """
    usable = [node for node in ranked if node.address not in avoided]
    if not usable:
        return None
    reader = usable[0]
    near = [node for node in usable if asker.is_near(node)]
    head = near[0] if near else reader
    if not asker.is_replica:
        return head.address
    if reader.address == asker.me:
        return None
    is_head = head.address == asker.me
    return reader.address if is_head else head.address
