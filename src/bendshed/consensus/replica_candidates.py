"""Ranks machines that may receive a replica: responsive ones first, failed ones after a backoff."""

import asyncio
from collections.abc import Iterable

from bendshed.logs import PartLog
from bendshed.retries.backoff import exponential_backoff

INITIAL_BACKOFF_S = 3.0
"""Backoff for a machine that was added and did not answer; it doubles with each further failure."""
MAX_BACKOFF_S = 60.0
RECENT_ANSWER_S = 1.5
"""A machine that answered within this time counts as alive."""
FIRST_ANSWER_TIMEOUT_S = 0.8
"""Time for which a leader that needs a voter waits for the first machine to answer."""

log = PartLog("supervisor")


class ReplicaCandidates:
    """Answers and failures of machines that a leader may add. All times are event loop times."""

    def __init__(self) -> None:
        self._backoff_until_s: dict[str, float] = {}
        self._num_failures: dict[str, int] = {}
        self._last_answer_s: dict[str, float] = {}
        self._voter_missing_since_s: dict[int, float] = {}

    def is_backed_off(self, node: str) -> bool:
        """Whether a machine was added, did not answer, and is still in its backoff."""
        return asyncio.get_running_loop().time() < self._backoff_until_s.get(node, 0.0)

    def record_failure(self, node: str) -> None:
        """Start the backoff of a machine that was added and did not answer."""
        num_failures = self._num_failures.get(node, 0)
        self._num_failures[node] = num_failures + 1
        wait_s = exponential_backoff(INITIAL_BACKOFF_S, num_failures, MAX_BACKOFF_S)
        self._backoff_until_s[node] = asyncio.get_running_loop().time() + wait_s

    def record_caught_up(self, nodes: Iterable[str]) -> None:
        """Reset the failure counts of learners that have caught up."""
        for node in nodes:
            self._num_failures.pop(node, None)

    def record_answer(self, node: str) -> None:
        """Record that a machine answered; this ends its backoff.

        Until it is added, the lost voter that it is to replace still counts in every quorum.
        """
        self._last_answer_s[node] = asyncio.get_running_loop().time()
        if self._backoff_until_s.pop(node, None) is not None:
            log.say("machine may be taken in again: it answers", node=node)

    def sort_responsive_first(
        self, group_id: int, ranked: list[str], is_voter_missing: bool
    ) -> list[str] | None:
        """Sort machines that answered recently first; ``None``: wait for the first answer.

        The registry also lists machines that were removed. Adding one of them costs a wait for its
        replies while the voter to be replaced still counts in every quorum. A machine of a
        version that does not answer comes after those that do.

        Args:
            group_id: group that needs a machine.
            ranked: machines, best first.
            is_voter_missing: whether the group lacks a healthy voter; otherwise nothing is urgent
                and the rank decides.

        """
        now_s = asyncio.get_running_loop().time()
        if not is_voter_missing or not ranked:
            self._voter_missing_since_s.pop(group_id, None)
            return ranked
        since_s = self._voter_missing_since_s.setdefault(group_id, now_s)
        oldest_s = now_s - RECENT_ANSWER_S
        responsive = [node for node in ranked if self._last_answer_s.get(node, -1.0) >= oldest_s]
        if not responsive and now_s < since_s + FIRST_ANSWER_TIMEOUT_S:
            return None
        return responsive + [node for node in ranked if node not in responsive]
