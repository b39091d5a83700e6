"""Directory of the processes that can hold replicas, with their addresses."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import xxhash

from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.ports.registry import ReplicaNode
from bendshed.wire import turns_pb2 as wire

HELLO_METHOD = "replica.hello"
"""A replica machine announces its identity and address (no reply)."""

log = PartLog("replicas")


@dataclass(slots=True)
class ReplicaDirectory:
    """Replica machines by name.

    Invariants: an identity that was superseded counts as lost with its disk, also across restarts
    of this process (``catalog/persistence.py`` stores such identities), and is reinstated only by a
    direct reply of its machine; this process's own identity is never superseded; an identity is
    proven lost only by a direct reply of its machine under another identity.

    Attributes:
        own_node: this process's announcement; ``None`` if it holds no replica.
        by_name: the latest known announcement of each machine.
        wiped: identities whose disk is lost according to announcements, which arrive in any order.
        proven_lost: wiped identities whose machine has itself answered under another identity.
        retiring: names of machines that operators want to be emptied.
        knows_retiring: whether this incarnation has read the operators' retirement requests.
        on_change: called after each change.

    """

    own_node: ReplicaNode | None = None
    by_name: dict[str, ReplicaNode] = field(default_factory=dict)
    wiped: set[str] = field(default_factory=set)
    proven_lost: set[str] = field(default_factory=set)
    retiring: set[str] = field(default_factory=set)
    knows_retiring: bool = False
    on_change: list[Callable[[], None]] = field(default_factory=list)
    _identities: dict[str, set[str]] = field(default_factory=dict)

    def put(self, node: ReplicaNode) -> None:
        """Record an announcement."""
        self._identities.setdefault(node.name, set()).add(node.node_id)
        if self._is_own_former_identity(node):
            self.wiped.add(node.node_id)
            self.proven_lost.add(node.node_id)
            return
        known = self.by_name.get(node.name)
        if node == known or node.node_id in self.wiped:
            return
        if known is not None and known.node_id != node.node_id:
            self.wiped.add(known.node_id)
            log.say(
                "replica machine lost its disk", name=node.name, old=known.node_id, new=node.node_id
            )
        self.by_name[node.name] = node
        log.say(
            "replica machine announced",
            name=node.name,
            node=node.node_id,
            address=str(node.address),
        )
        self._notify()

    def put_direct_reply(self, node: ReplicaNode) -> None:
        """Record the identity that a machine has just replied with.

        Announcements arrive in any order, so a live identity may count as lost. A process that
        answers under it proves that its disk is present.
        """
        if node.node_id in self.wiped and not self._is_own_former_identity(node):
            self.wiped.discard(node.node_id)
            log.say("replica machine is not lost: it answers", name=node.name, node=node.node_id)
        self.put(node)
        self.proven_lost.discard(node.node_id)
        self.proven_lost |= self._identities[node.name] - {node.node_id}

    def set_retiring(self, names: Collection[str]) -> None:
        """Replace the set of machines that operators want to be emptied."""
        self.knows_retiring = True
        for name in [name for name in self.retiring if name not in names]:
            self.remove_retiring(name)
        for name in names:
            self.add_retiring(name)

    def add_retiring(self, name: str) -> None:
        """Record that operators want a machine to be emptied."""
        if name in self.retiring:
            return
        self.retiring.add(name)
        log.say("replica machine is retiring", name=name)
        self._notify()

    def remove_retiring(self, name: str) -> None:
        """Record that a retirement was cancelled."""
        if name in self.retiring:
            self.retiring.discard(name)
            self._notify()

    def digest(self) -> int:
        """64-bit digest of everything that is announced to others; never 0."""
        rows = [str(node) for _, node in sorted(self.by_name.items())]
        announced = "\n".join([*rows, *sorted(self.retiring), str(self.knows_retiring)])
        return xxhash.xxh3_64_intdigest(announced.encode()) or 1

    def _notify(self) -> None:
        for notify in self.on_change:
            notify()

    def _is_own_former_identity(self, node: ReplicaNode) -> bool:
        """Whether this is this machine's own announcement from before it lost its disk."""
        own = self.own_node
        return own is not None and node.name == own.name and node.node_id != own.node_id

    def resolve(self, node_id: str) -> Address | None:
        """Address of an identity; ``None`` if it is unknown or wiped."""
        for node in self.by_name.values():
            if node.node_id == node_id:
                return node.address
        return None

    def node_ids(self) -> list[str]:
        """All known identities that may still hold replicas."""
        return [node.node_id for node in self.by_name.values()]

    def node_ids_in(self, zones: Collection[str] | None) -> list[str]:
        """Known identities in some zones; empty for ``None``, where no zone is preferred."""
        if zones is None:
            return []
        return [node.node_id for node in self.by_name.values() if node.zone in zones]

    def retiring_ids(self) -> set[str]:
        """Identities of the machines that are to be emptied."""
        return {node.node_id for name, node in self.by_name.items() if name in self.retiring}


def to_wire(node: ReplicaNode) -> wire.ReplicaHello:
    """Convert an announcement to its wire message."""
    return wire.ReplicaHello(
        name=node.name,
        node_id=node.node_id,
        host=node.address.host,
        port=node.address.port,
        zone=node.zone,
    )


def from_wire(hello: wire.ReplicaHello) -> ReplicaNode:
    """Convert a wire message to an announcement."""
    return ReplicaNode(hello.name, hello.node_id, Address(hello.host, hello.port), hello.zone)
