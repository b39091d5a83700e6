"""Counts the ticks since the leader's last heartbeat, and when a replica stands for election."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

ELECTION_TICKS_MIN = 10
ELECTION_TICKS_MAX = 20
RANK_DELAY_TICKS = 3
"""Ticks between two followers' first tries: time enough for an election within a region to end."""
CROSS_REGION_RANK_DELAY_TICKS = 5
"""The same where votes may have to come from another region: two round trips of 60 ms fit."""
RANK_JITTER_TICKS = 2
STARTUP_DELAY_TICKS = 2
STARTUP_RANK_DELAY_TICKS = 2
STARTUP_ATTEMPTS = 6
"""A replica that has just started requests votes at once, by rank, and repeats them quickly: a
restart of all waits for nothing, and a leader that others hear is not disturbed (pre-vote)."""


@dataclass(frozen=True, slots=True)
class ElectionOrder:
    """In which order voters stand for election: those at home first.

    Attributes:
        is_home: whether a voter is located in the group's region.
        rank_delay_ticks: between two first tries behind a leader.
        startup_rank_delay_ticks: the same after a start.
        max_delay_ticks: no first try waits longer.

    """

    is_home: Callable[[str], bool]
    rank_delay_ticks: int = RANK_DELAY_TICKS
    startup_rank_delay_ticks: int = STARTUP_RANK_DELAY_TICKS
    max_delay_ticks: int = ELECTION_TICKS_MAX

    @classmethod
    def across_regions(cls, is_home: Callable[[str], bool]) -> "ElectionOrder":
        """For a group with voters in other regions."""
        return cls(
            is_home,
            CROSS_REGION_RANK_DELAY_TICKS,
            CROSS_REGION_RANK_DELAY_TICKS,
            2 * ELECTION_TICKS_MAX,
        )

    def rank(self, node_id: str, voters: Collection[str]) -> int:
        """Place of a voter among some; the last place for one that is not among them."""
        ordered = sorted(voters, key=lambda node: (not self.is_home(node), node))
        return ordered.index(node_id) if node_id in ordered else len(ordered)


SINGLE_REGION_ORDER = ElectionOrder(lambda _node: True)


class ElectionTimer:
    """Followers of one leader wait by rank, so that one stands first; further tries are random."""

    def __init__(self, rng: random.Random, order: ElectionOrder = SINGLE_REGION_ORDER) -> None:
        self._rng = rng
        self._order = order
        self._elapsed_ticks = 0
        self._timeout_ticks = 0
        self._startup_attempts_left = 0
        self.reset()

    def start(self, node_id: str, voters: Collection[str]) -> None:
        """Begin a process that holds a vote: the first tries come quickly, by rank."""
        self._startup_attempts_left = STARTUP_ATTEMPTS
        rank = self._order.rank(node_id, voters) if node_id in voters else 0
        self._timeout_ticks = STARTUP_DELAY_TICKS + rank * self._order.startup_rank_delay_ticks

    @property
    def is_due(self) -> bool:
        """No heartbeat came for as long as this replica waits."""
        return self._elapsed_ticks >= self._timeout_ticks

    @property
    def has_recent_heartbeat(self) -> bool:
        """A heartbeat came within the shortest wait: others must not disturb the leader."""
        return self._elapsed_ticks < ELECTION_TICKS_MIN

    def tick(self) -> None:
        """One unit of time has passed."""
        self._elapsed_ticks += 1

    def record_heartbeat(self) -> None:
        """A heartbeat came."""
        self._elapsed_ticks = 0

    def reset(self) -> None:
        """Begin again, with another length."""
        self._elapsed_ticks = 0
        self._timeout_ticks = self._rng.randrange(ELECTION_TICKS_MIN, ELECTION_TICKS_MAX)
        if self._startup_attempts_left:
            self._startup_attempts_left -= 1
            self._timeout_ticks = self._rng.randrange(STARTUP_DELAY_TICKS, ELECTION_TICKS_MIN)

    def follow(self, leader_id: str, node_id: str, voters: Collection[str]) -> None:
        """Begin again behind a leader, by rank among its followers; without one, at random."""
        successors = set(voters) - {leader_id}
        if leader_id:
            self._startup_attempts_left = 0
        self.reset()
        if leader_id and node_id in successors:
            rank_delay_ticks = self._order.rank(node_id, successors) * self._order.rank_delay_ticks
            wait = ELECTION_TICKS_MIN + rank_delay_ticks + self._rng.randrange(RANK_JITTER_TICKS)
            self._timeout_ticks = min(wait, self._order.max_delay_ticks)

    def is_quorum_check_due(self) -> bool:
        """Whether a leader must check again that a majority replies."""
        if self._elapsed_ticks < ELECTION_TICKS_MAX:
            return False
        self._elapsed_ticks = 0
        return True
