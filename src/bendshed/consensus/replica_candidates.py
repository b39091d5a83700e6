"""Which machines may take a replica next: those that answer first, those that failed later."""

import asyncio
from collections.abc import Iterable

from bendshed.logs import PartLog

INITIAL_BACKOFF_S = 3.0
"""A machine that was taken in and did not answer is left alone for this long, and for twice as
long each further time."""
MAX_BACKOFF_S = 60.0
RECENT_ANSWER_S = 1.5
"""A machine that answered within this time is taken for alive."""
FIRST_ANSWER_TIMEOUT_S = 0.8
"""A leader that needs a machine waits this long for the first to answer."""

log = PartLog("supervisor")


class ReplicaCandidates:
    """What a leader has learned of machines that it may take in. All times are the loop's."""

    def __init__(self) -> None:
        self._backoff_until_s: dict[str, float] = {}
        self._num_failures: dict[str, int] = {}
        self._last_answer_s: dict[str, float] = {}
        self._voter_missing_since_s: dict[int, float] = {}

    def is_backed_off(self, node: str) -> bool:
        """Whether a machine was taken in, stayed silent, and has not answered since."""
        return asyncio.get_running_loop().time() < self._backoff_until_s.get(node, 0.0)

    def record_failure(self, node: str) -> None:
        """Leave a machine alone that was taken in and stayed silent."""
        num_failures = self._num_failures.get(node, 0)
        self._num_failures[node] = num_failures + 1
        wait_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**num_failures)
        self._backoff_until_s[node] = asyncio.get_running_loop().time() + wait_s

    def record_caught_up(self, nodes: Iterable[str]) -> None:
        """Machines that hold the log have not failed."""
        for node in nodes:
            self._num_failures.pop(node, None)

    def record_answer(self, node: str) -> None:
        """A machine answers; one that was left alone may be taken in at once.

        Until it is, a lost voter that it is to replace still counts in each quorum.
        """
        self._last_answer_s[node] = asyncio.get_running_loop().time()
        if self._backoff_until_s.pop(node, None) is not None:
            log.say("machine may be taken in again: it answers", node=node)

    def sort_responsive_first(
        self, group_id: int, ranked: list[str], is_voter_missing: bool
    ) -> list[str] | None:
        """Put machines that answer first; ``None``: wait for the first answer.

        The registry also lists machines that were removed. Each would be waited for as a member
        while the voter to be replaced still counts in every quorum. A machine of a version that
        does not answer comes after those that do.

        Args:
            group_id: for which group.
            ranked: machines, best first.
            is_voter_missing: whether a sound voter is missing; else there is time, and the rank
                decides.

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
