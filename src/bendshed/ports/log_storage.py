"""Port to the durable log of the groups on a disk node."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from bendshed.wire.consensus_pb2 import LogEntry, Snapshot


class StorageCorrupt(Exception):
    """A stored record does not match its checksum."""


class StorageFailed(Exception):
    """The commit was refused and left nothing (disk full, input or output error)."""


@dataclass(slots=True)
class GroupWrite:
    """What one group wants made durable in one commit.

    Attributes:
        term, voted_for: hard state; ``None``: unchanged.
        truncate_from: delete entries from this index on, before appending; 0: none.
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
    """What storage holds of one group at start."""

    group_id: int
    term: int
    voted_for: str
    snapshot: Snapshot
    entries: list[LogEntry]


class LogStorage(ABC):
    """Durable logs, group commit over all groups of the node."""

    @abstractmethod
    def load(self) -> list[StoredGroup]:
        """Read all groups; a torn tail is cut; raise ``StorageCorrupt``."""

    @abstractmethod
    async def commit(self, writes: list[GroupWrite]) -> None:
        """Make the writes durable, all or nothing; raise ``StorageFailed`` for nothing."""

    @abstractmethod
    def node_id(self) -> str:
        """Identity of this data folder; a wiped folder is a new node."""

    @abstractmethod
    def is_bootstrapped(self) -> bool:
        """Whether this folder has taken part in the installation's first placement."""

    @abstractmethod
    def mark_bootstrapped(self) -> None:
        """Remember durably that the first placement was carried out here."""
