"""Counts the ticks since a leader was heard, and when a replica stands for election."""

import random
from collections.abc import Collection

ELECTION_TICKS_MIN = 10
ELECTION_TICKS_MAX = 20
RANK_TICKS = 3
"""Ticks between two followers' first tries: time enough for an election to end."""
RANK_JITTER_TICKS = 2


class ElectionTimer:
    """Followers of one leader wait by rank, so that one stands first; further tries are random."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ticks = 0
        self._due_ticks = 0
        self.reset()

    @property
    def is_due(self) -> bool:
        """No leader was heard for as long as this replica waits."""
        return self._ticks >= self._due_ticks

    @property
    def heard_lately(self) -> bool:
        """A leader was heard within the shortest wait: others must not disturb it."""
        return self._ticks < ELECTION_TICKS_MIN

    def tick(self) -> None:
        """One unit of time has passed."""
        self._ticks += 1

    def hear(self) -> None:
        """The leader was heard."""
        self._ticks = 0

    def reset(self) -> None:
        """Begin anew, with another length."""
        self._ticks = 0
        self._due_ticks = self._rng.randrange(ELECTION_TICKS_MIN, ELECTION_TICKS_MAX)

    def follow(self, leader_id: str, me: str, voters: Collection[str]) -> None:
        """Begin anew behind a leader, by rank among its followers; without one, at random."""
        successors = sorted(set(voters) - {leader_id})
        self.reset()
        if leader_id and me in successors:
            rank_ticks = successors.index(me) * RANK_TICKS
            wait = ELECTION_TICKS_MIN + rank_ticks + self._rng.randrange(RANK_JITTER_TICKS)
            self._due_ticks = min(wait, ELECTION_TICKS_MAX)

    def leader_must_check(self) -> bool:
        """Whether a leader must look again whether it still hears a majority."""
        if self._ticks < ELECTION_TICKS_MAX:
            return False
        self._ticks = 0
        return True
