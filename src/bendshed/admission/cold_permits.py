"""Decides how many permits for cold runners a leader of the turn log grants. Pure.

Nothing is dispatched to a cold runner without a permit from the leader for this one dispatch
(docs/design/0010). A permit expires ``PERMIT_VALID_S`` after it was requested, so what is
dispatched within a second was permitted within that second or ``PERMIT_VALID_S`` before. A leader
counts its permits within ``WINDOW_MS``, which covers both. However late a permitted dispatch leaves
or arrives, no second contains more than the maximum that the leader may permit in a window.

A new leader does not know the permits of its predecessor, so each leader may use only a share of
the bound:

- half if it is established: it has been in contact with a majority for ``ESTABLISHED_S`` without
  interruption;
- a quarter if it is not established, and nothing without contact to a majority.

Two established leaders cannot grant within one second. The later one's term began after the earlier
one was last in contact with its majority, so the earlier one's permits end within
``MAX_STALE_LEADER_S`` (a leader notices the loss within 0.25 s, a paused one when it resumes) plus
``PERMIT_VALID_S``, and the later one is established more than a second after: ``ESTABLISHED_S > 1 +
PERMIT_VALID_S + MAX_STALE_LEADER_S``. So one second contains at most one half and the quarters of
two more leaders: the leader may change twice within it. A leader that was paused or partitioned
starts as a new one, with a quarter.

The part of the bound that leaders leave unused is room for dispatches of nodes that have not yet
been notified that a warm runner turned cold. With several groups of the turn log, each leader has
its part of the bound.
"""

from dataclasses import dataclass, field

from bendshed.admission.sliding_window import BUCKET_MS, SlidingWindowCounter
from bendshed.placement.cold_runners import ColdRateLimit

PERMIT_VALID_S = 0.25
"""Seconds from the request for a permit to its expiry: a preview's reply takes up to 0.2 s, a new
connection across regions 0.06 s."""
WINDOW_MS = 1_000 + int(1000 * PERMIT_VALID_S)
"""Window in which permits are counted, in milliseconds: the second of the bound plus the validity
of a permit."""
MAX_STALE_LEADER_S = 0.5
"""Maximum seconds for which a replaced leader may still grant permits. Used by the proof above, and
by the test that checks its inequality."""
ESTABLISHED_S = 2.0
"""Seconds after which a leader counts as established; see the proof above."""
ESTABLISHED_SHARE = 0.5
"""Share of the bound that an established leader may permit."""
NEW_LEADER_SHARE = 0.25
"""Share of the bound that any other leader may permit."""
MAX_UPDATE_GAP_S = 0.25
"""Seconds without an update after which a leader may have been replaced unnoticed: an election
starts 0.25 s after the leader's last heartbeat."""
NEW_PROGRAM_SHARE = 0.8
"""Share of a leader's permits that new programs may use; the rest is reserved for running programs,
whose work so far would be lost. With 22 cold runners of 21 permits a window, programs of four and
nine turns, 0.45 s apart, and three times the normal load for 4 s: at 0.5, 192 programs completed;
at 0.8, 283, and none of 1,329 turns of running programs was rejected; at 1.0, 305, but 46 such
turns were rejected (simulated; ``tests/test_cold_runner_dispatch.py`` has the case)."""


@dataclass(slots=True)
class LeadershipTracker:
    """Tracks since when a process has led in uninterrupted contact with a majority.

    Attributes:
        since_s: steady time; ``None`` if it does not lead or has no contact with a majority.

    """

    since_s: float | None = None
    _term: int = -1
    _updated_s: float = float("-inf")

    def update(self, term: int, has_majority: bool, now_s: float) -> None:
        """Record the current state of the group.

        After a gap of more than ``MAX_UPDATE_GAP_S`` the process starts as a new leader.

        Args:
            term: term of the leader.
            has_majority: whether it leads, and a majority replies.
            now_s: steady time.

        """
        is_continued = now_s - self._updated_s <= MAX_UPDATE_GAP_S and term == self._term
        if not has_majority:
            self.since_s = None
        elif not is_continued or self.since_s is None:
            self.since_s = now_s
        self._term, self._updated_s = term, now_s

    def share(self, now_s: float) -> float:
        """Return the share of the bound that may be permitted now."""
        if self.since_s is None or now_s - self._updated_s > MAX_UPDATE_GAP_S:
            return 0.0
        return ESTABLISHED_SHARE if now_s - self.since_s >= ESTABLISHED_S else NEW_LEADER_SHARE


@dataclass(slots=True)
class ColdPermitCounts:
    """Permits that one process has granted, over all of its terms.

    Attributes:
        rate_limit: bound on requests to a cold runner.
        num_leaders: number of groups of the turn log, whose leaders share the bound.

    """

    rate_limit: ColdRateLimit = field(default_factory=ColdRateLimit)
    num_leaders: int = 1
    leadership: LeadershipTracker = field(default_factory=LeadershipTracker)
    _granted: dict[str, SlidingWindowCounter] = field(default_factory=dict)

    def max_permits(self, cold_per_s: float, is_new_program: bool, now_s: float) -> int:
        """Return the maximum number of permits for one runner within a window.

        It is lower for requests of new programs.
        """
        share = self.leadership.share(now_s) / self.num_leaders
        max_permits = int(share * self.rate_limit.max_per_s(cold_per_s))
        if not is_new_program or not max_permits:
            return max_permits
        return max(1, int(NEW_PROGRAM_SHARE * max_permits))

    def num_granted(self, runner_id: str, now_s: float) -> int:
        """Return the number of permits granted within the window that ends now."""
        counts = self._granted.get(runner_id)
        return counts.in_window(_ms(now_s), WINDOW_MS) if counts is not None else 0

    def num_available(
        self, runner_id: str, cold_per_s: float, is_new_program: bool, now_s: float
    ) -> int:
        """Return the number of permits that may still be granted now; 0 or less if none."""
        max_permits = self.max_permits(cold_per_s, is_new_program, now_s)
        return max_permits - self.num_granted(runner_id, now_s)

    def grant(self, runner_id: str, now_s: float) -> None:
        """Count one permit."""
        counts = self._granted.setdefault(runner_id, SlidingWindowCounter())
        counts.drop_before(_oldest_ms(now_s))
        counts.add(_ms(now_s))

    def wait_ms(self, runner_id: str, cold_per_s: float, is_new_program: bool, now_s: float) -> int:
        """Return the time in ms until one more permit may be granted for a runner."""
        max_permits = self.max_permits(cold_per_s, is_new_program, now_s)
        excess = self.num_granted(runner_id, now_s) + 1 - max_permits
        if excess <= 0:
            return 0
        counts = self._granted.get(runner_id)
        if max_permits <= 0 or counts is None:
            return WINDOW_MS
        return counts.wait_ms(_ms(now_s), WINDOW_MS, excess)

    def sweep(self, now_s: float) -> None:
        """Remove permits that are outside every window."""
        oldest_ms = _oldest_ms(now_s)
        for runner_id in [
            r for r, counts in self._granted.items() if counts.drop_before(oldest_ms)
        ]:
            del self._granted[runner_id]


def _ms(now_s: float) -> int:
    return int(1000 * now_s)


def _oldest_ms(now_s: float) -> int:
    """Return the start of the oldest bucket that a window may still contain, in milliseconds."""
    return _ms(now_s) - WINDOW_MS - BUCKET_MS
