"""Election timeouts in ticks: when a replica without a heartbeat stands for election."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

ELECTION_TICKS_MIN = 10
ELECTION_TICKS_MAX = 20
RANK_DELAY_TICKS = 3
"""Delay between the first attempts of two followers: enough for an election within a region."""
CROSS_REGION_RANK_DELAY_TICKS = 5
"""The same delay where votes may come from another region: enough for two round trips of 60 ms."""
RANK_JITTER_TICKS = 2
STARTUP_DELAY_TICKS = 2
STARTUP_RANK_DELAY_TICKS = 2
STARTUP_ATTEMPTS = 6
"""A replica that has just started requests votes at once, by rank, and retries quickly, so that a
restart of all replicas does not wait for an election timeout. Pre-vote keeps this from disturbing a
leader whose heartbeats reach the others."""


@dataclass(frozen=True, slots=True)
class ElectionOrder:
    """Order in which voters stand for election: those in the home region first.

    Attributes:
        is_home: whether a voter is located in the group's home region.
        rank_delay_ticks: delay per rank of a follower's first attempt after losing its leader.
        startup_rank_delay_ticks: the same after a process start.
        max_delay_ticks: upper bound on the delay of a first attempt.

    """

    is_home: Callable[[str], bool]
    rank_delay_ticks: int = RANK_DELAY_TICKS
    startup_rank_delay_ticks: int = STARTUP_RANK_DELAY_TICKS
    max_delay_ticks: int = ELECTION_TICKS_MAX

    @classmethod
    def across_regions(cls, is_home: Callable[[str], bool]) -> "ElectionOrder":
        """Create the order for a group with voters in other regions."""
        return cls(
            is_home,
            CROSS_REGION_RANK_DELAY_TICKS,
            CROSS_REGION_RANK_DELAY_TICKS,
            2 * ELECTION_TICKS_MAX,
        )

    def rank(self, node_id: str, voters: Collection[str]) -> int:
        """Position of a node among the voters; the last position if it is not one of them."""
        ordered = sorted(voters, key=lambda node: (not self.is_home(node), node))
        return ordered.index(node_id) if node_id in ordered else len(ordered)


SINGLE_REGION_ORDER = ElectionOrder(lambda _node: True)


class ElectionTimer:
    """Election timeout of one replica.

    Followers of a leader wait by rank, so that one of them stands first; the timeouts of further
    attempts are random.
    """

    def __init__(self, rng: random.Random, order: ElectionOrder = SINGLE_REGION_ORDER) -> None:
        self._rng = rng
        self._order = order
        self._elapsed_ticks = 0
        self._timeout_ticks = 0
        self._startup_attempts_left = 0
        self.reset()

    def start(self, node_id: str, voters: Collection[str]) -> None:
        """Schedule the first attempt of a process that has just started: soon, and by rank."""
        self._startup_attempts_left = STARTUP_ATTEMPTS
        rank = self._order.rank(node_id, voters) if node_id in voters else 0
        self._timeout_ticks = STARTUP_DELAY_TICKS + rank * self._order.startup_rank_delay_ticks

    @property
    def is_due(self) -> bool:
        """Whether no heartbeat arrived within the election timeout."""
        return self._elapsed_ticks >= self._timeout_ticks

    @property
    def has_recent_heartbeat(self) -> bool:
        """Whether a heartbeat came within the minimum timeout: the leader must not be disturbed."""
        return self._elapsed_ticks < ELECTION_TICKS_MIN

    def tick(self) -> None:
        """Advance the time by one tick."""
        self._elapsed_ticks += 1

    def record_heartbeat(self) -> None:
        """Restart the timeout after a heartbeat."""
        self._elapsed_ticks = 0

    def reset(self) -> None:
        """Restart with a new random timeout."""
        self._elapsed_ticks = 0
        self._timeout_ticks = self._rng.randrange(ELECTION_TICKS_MIN, ELECTION_TICKS_MAX)
        if self._startup_attempts_left:
            self._startup_attempts_left -= 1
            self._timeout_ticks = self._rng.randrange(STARTUP_DELAY_TICKS, ELECTION_TICKS_MIN)

    def follow(self, leader_id: str, node_id: str, voters: Collection[str]) -> None:
        """Restart the timeout, by rank among the leader's followers; random without a leader."""
        successors = set(voters) - {leader_id}
        if leader_id:
            self._startup_attempts_left = 0
        self.reset()
        if leader_id and node_id in successors:
            rank_delay_ticks = self._order.rank(node_id, successors) * self._order.rank_delay_ticks
            wait = ELECTION_TICKS_MIN + rank_delay_ticks + self._rng.randrange(RANK_JITTER_TICKS)
            self._timeout_ticks = min(wait, self._order.max_delay_ticks)

    def is_quorum_check_due(self) -> bool:
        """Whether a leader must check again that a majority replies; resets the interval."""
        if self._elapsed_ticks < ELECTION_TICKS_MAX:
            return False
        self._elapsed_ticks = 0
        return True
