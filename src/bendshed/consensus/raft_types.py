"""Types of the Raft state machine: roles, effects and the log."""

from dataclasses import dataclass, field
from enum import StrEnum

from bendshed.ports.log_storage import GroupWrite
from bendshed.wire import consensus_pb2 as wire


class Role(StrEnum):
    """Role of a replica in its group."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send to ``message.receiver``; with ``after_persist`` only once earlier writes are durable."""

    message: wire.ConsensusMessage
    after_persist: bool


@dataclass(frozen=True, slots=True)
class Persist:
    """Make this write durable, then call ``persisted``."""

    write: GroupWrite


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply these committed entries, in order."""

    entries: list[wire.LogEntry]


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state of the state machine by this snapshot."""

    snapshot: wire.Snapshot


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """The replica's role, term or known leader changed."""

    role: Role
    term: int
    leader_id: str


Effect = SendMessage | Persist | Apply | Restore | RoleChanged


@dataclass(slots=True)
class ReplicaLog:
    """Entries after the snapshot. ``entries[0].index == snapshot.index + 1``."""

    snapshot: wire.Snapshot
    entries: list[wire.LogEntry] = field(default_factory=list)
    num_bytes: int = field(init=False)

    def __post_init__(self) -> None:
        self.num_bytes = sum(len(entry.data) for entry in self.entries)

    def extend(self, entries: list[wire.LogEntry]) -> None:
        """Append entries; ``num_bytes`` is the data size of all held entries."""
        self.entries.extend(entries)
        self.num_bytes += sum(len(entry.data) for entry in entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Term of an entry; ``None`` if it was compacted or does not exist."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        if 0 <= offset < len(self.entries):
            return self.entries[offset].term
        return None

    def entries_between(self, first: int, last: int) -> list[wire.LogEntry]:
        """Entries with ``first <= index <= last``."""
        base = self.snapshot.index + 1
        return self.entries[max(0, first - base) : max(0, last - base + 1)]

    def truncate_from(self, index: int) -> None:
        """Delete the entries from ``index`` on."""
        offset = max(0, index - self.snapshot.index - 1)
        self.num_bytes -= sum(len(entry.data) for entry in self.entries[offset:])
        del self.entries[offset:]

    def compact(self, snapshot: wire.Snapshot) -> None:
        """Replace the entries that the snapshot covers by the snapshot."""
        self.entries = self.entries_between(snapshot.index + 1, self.last_index)
        self.num_bytes = sum(len(entry.data) for entry in self.entries)
        self.snapshot = snapshot

    def membership_at(self, index: int) -> wire.GroupMembership:
        """Membership in effect at an entry, committed or not."""
        for entry in reversed(self.entries_between(self.snapshot.index + 1, index)):
            if entry.kind == wire.ENTRY_KIND_MEMBERSHIP:
                return wire.GroupMembership.FromString(entry.data)
        return self.snapshot.membership

    def first_difference(self, entries: list[wire.LogEntry]) -> int | None:
        """Index of the first of ``entries`` that this log lacks or holds with another term."""
        for entry in entries:
            if self.term_at(entry.index) != entry.term:
                return entry.index
        return None

    def conflict_hint(self, previous_index: int, commit_index: int) -> int:
        """Last index that may match the leader's log; skips the whole conflicting term."""
        index = min(previous_index, self.last_index + 1)
        term = self.term_at(index)
        while term is not None and index > commit_index and self.term_at(index) == term:
            index -= 1
        return max(min(index, previous_index - 1), commit_index)
