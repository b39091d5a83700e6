"""A leader's replication state for each follower. No I/O."""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field

RESEND_TIMEOUT_TICKS = 6
"""Rejections within two heartbeats of a resend answer messages that were sent before it: a follower
that misses one of hundreds of messages in flight rejects all that follow it."""


@dataclass(slots=True)
class Progress:
    """Replication state of one follower.

    Attributes:
        next_index: index of the next entry to send.
        match_index: last entry known to be durable on the follower.
        ticks_since_reply: ticks since its last reply.
        pending_snapshot_index: index of a snapshot in transfer; 0: none.
        resend_index: first entry that was resent after a rejection; 0: none since it caught up.
        ticks_since_resend: ticks since that resend.

    """

    next_index: int
    match_index: int = 0
    ticks_since_reply: int = 0
    pending_snapshot_index: int = 0
    resend_index: int = 0
    ticks_since_resend: int = 0

    def is_resend_in_flight(self, first_index: int) -> bool:
        """Whether entries from this one on were resent so recently that they may still arrive."""
        return self.resend_index == first_index and self.ticks_since_resend < RESEND_TIMEOUT_TICKS

    def record_resend(self, first_index: int) -> None:
        """Record that entries from this one on are resent."""
        self.resend_index = first_index
        self.ticks_since_resend = 0


@dataclass(slots=True)
class FollowerTable:
    """The leader's followers by node id; empty at any other replica.

    Attributes:
        node_id: this replica, which is never a follower.

    """

    node_id: str
    _progress: dict[str, Progress] = field(default_factory=dict)

    def __iter__(self) -> Iterator[str]:
        return iter(self._progress)

    def __contains__(self, node: str) -> bool:
        return node in self._progress

    def __getitem__(self, node: str) -> Progress:
        return self._progress[node]

    def get(self, node: str) -> Progress | None:
        """Progress of a follower; ``None`` if the node is not one."""
        return self._progress.get(node)

    def reset(self, followers: Iterable[str], next_index: int) -> None:
        """Start over with no known progress of any follower."""
        self._progress = {node: Progress(next_index) for node in followers}

    def clear(self) -> None:
        """Drop all progress when this replica stops leading."""
        self._progress = {}

    def update_members(self, followers: Collection[str], next_index: int) -> None:
        """Apply a membership change; the progress of remaining followers is kept."""
        for node in followers:
            self._progress.setdefault(node, Progress(next_index))
        for node in set(self._progress) - set(followers):
            del self._progress[node]

    def tick(self) -> None:
        """Advance the time by one tick."""
        for progress in self._progress.values():
            progress.ticks_since_reply += 1
            progress.ticks_since_resend += 1

    def silent(self, nodes: Iterable[str], ticks: float) -> set[str]:
        """Followers among ``nodes`` without a reply for more than ``ticks``."""
        return {
            n for n in nodes if n in self._progress and self._progress[n].ticks_since_reply > ticks
        }

    def recently_replied(self, voters: Iterable[str], ticks: int) -> list[str]:
        """Voters that replied within ``ticks``, this replica among them."""
        return [
            node
            for node in voters
            if node == self.node_id
            or (node in self._progress and self._progress[node].ticks_since_reply < ticks)
        ]

    def most_advanced(self, voters: Iterable[str], ticks: int) -> str | None:
        """Recently replying follower that holds the most of the log; ``None`` if none replied."""
        responsive = [node for node in self.recently_replied(voters, ticks) if node != self.node_id]
        if not responsive:
            return None
        return max(sorted(responsive), key=lambda node: self._progress[node].match_index)

    def quorum_index(self, voters: Collection[str], own_index: int, quorum: int) -> int:
        """Highest index that is durable on a quorum of voters; 0 if there are too few voters."""
        if len(voters) < quorum:
            return 0
        matches = sorted(
            own_index if node == self.node_id else self._progress[node].match_index
            for node in voters
        )
        return matches[len(matches) - quorum]

    def caught_up(self, nodes: Iterable[str], last_index: int, max_lag: int) -> list[str]:
        """Followers among ``nodes`` that lack at most ``max_lag`` entries."""
        return [
            node
            for node in nodes
            if node in self._progress
            and self._progress[node].match_index > 0
            and last_index - self._progress[node].match_index <= max_lag
        ]
