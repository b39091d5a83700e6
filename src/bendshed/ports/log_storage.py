"""Port to the durable logs of the groups on a node with a disk."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from bendshed.wire.consensus_pb2 import LogEntry, Snapshot


class StorageCorrupt(Exception):
    """A stored record does not match its checksum."""


class StorageFailed(Exception):
    """The commit failed and nothing was written (disk full, I/O error)."""


@dataclass(slots=True)
class GroupWrite:
    """The writes of one group in one commit.

    Attributes:
        term, voted_for: hard state; ``None`` leaves it unchanged.
        truncate_from: delete the entries from this index on before appending; 0 for none.
        entries: entries to append.
        snapshot: replaces the log up to its index.

    """

    group_id: int
    term: int | None = None
    voted_for: str | None = None
    truncate_from: int = 0
    entries: list[LogEntry] = field(default_factory=list)
    snapshot: Snapshot | None = None


@dataclass(slots=True)
class StoredGroup:
    """The stored state of one group, as read at start."""

    group_id: int
    term: int
    voted_for: str
    snapshot: Snapshot
    entries: list[LogEntry]


class LogStorage(ABC):
    """Durable logs of all groups of a node, written with one commit for all of them."""

    @abstractmethod
    def load(self) -> list[StoredGroup]:
        """Read all groups; truncate an incomplete last entry; raise ``StorageCorrupt``."""

    @abstractmethod
    async def commit(self, writes: list[GroupWrite]) -> None:
        """Make the writes durable atomically; raise ``StorageFailed`` if none was written."""

    @abstractmethod
    def node_id(self) -> str:
        """Return the identity of this data folder; an emptied folder gets a new one."""

    @abstractmethod
    def is_bootstrapped(self) -> bool:
        """Return whether this folder took part in the installation's initial replica placement."""

    @abstractmethod
    def mark_bootstrapped(self) -> None:
        """Record durably that the initial replica placement was carried out here."""
