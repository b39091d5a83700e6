"""Decides how many permits for cold runners a leader of the turn log gives. Pure.

Nothing is dispatched to a cold runner without a permit of the leader for this one dispatch
(docs/design/0010). A permit expires ``PERMIT_VALID_S`` after it was requested, so what is
dispatched within a second was permitted within that second or ``PERMIT_VALID_S`` before. A leader
counts its permits within ``WINDOW_MS``, which holds both; however late a permitted dispatch leaves
or arrives, no second holds more than the most that the leader may permit in a window.

A new leader does not know the permits of the last one. So each may use a share of the bound:

- an established leader half: one that has heard a majority for ``ESTABLISHED_S`` without a gap;
- any other a quarter, and one that does not hear a majority nothing.

Two established leaders cannot meet in one second. The later one's term began after the earlier one
last heard its majority, so the earlier one's permits end within ``STALE_S`` (a leader notices the
loss within 0.25 s, a frozen one when it wakes) plus ``PERMIT_VALID_S``, and the later one is
established more than a second after: ``ESTABLISHED_S > 1 + PERMIT_VALID_S + STALE_S``. So one
second holds at most one half and the quarters of two more leaders: the leader may change twice
within it. A leader that was frozen or cut off starts as a new one, with a quarter.

What is not permitted of the half is room for dispatches of nodes that have not yet received that a
warm runner turned cold. With several groups of the turn log each leader has its part of the bound.
"""

from dataclasses import dataclass, field

from bendshed.admission.sliding_window import SPAN_MS, SlidingCount
from bendshed.placement.cold_runners import ColdRateLimit

PERMIT_VALID_S = 0.25
"""Time, in seconds, from the request for a permit to its expiry: a preview's reply takes up to
0.2 s, a new connection across regions 0.06 s."""
WINDOW_MS = 1_000 + int(1000 * PERMIT_VALID_S)
"""Span over which permits are counted, in milliseconds: the second of the bound, and the
validity."""
STALE_S = 0.5
"""Longest time, in seconds, for which a replaced leader may still give permits. Used by the proof
above, and by the test that checks its inequality."""
ESTABLISHED_S = 2.0
"""Time, in seconds, after which a leader counts as established; see the proof above."""
ESTABLISHED_SHARE = 0.5
"""Share of the bound that an established leader may permit."""
NEW_LEADER_SHARE = 0.25
"""Share of the bound that any other leader may permit."""
LOOK_GAP_S = 0.25
"""Time, in seconds, without a look after which a process may have been replaced unnoticed: an
election starts 0.25 s after the leader's last heartbeat."""
NEW_PROGRAM_SHARE = 0.8
"""Share of a leader's permits up to which programs may begin; the rest protects running programs,
whose work so far would be lost. Simulated with 22 cold runners of 21 permits a window and programs
of four and nine turns, 0.45 s apart, at three times the calm load for 4 s: at 0.5 192 programs
ended; at 0.8 283, and none of 1,329 turns of running programs was rejected; at 1.0 305 ended, and
46 such turns were rejected (``tests/test_cold_sendings.py`` has the case)."""


@dataclass(slots=True)
class LeaderTouch:
    """Since when a process has led without a gap in hearing its majority.

    Attributes:
        since_s: steady time; ``None``: it does not lead, or does not hear a majority.

    """

    since_s: float | None = None
    _term: int = -1
    _looked_s: float = float("-inf")

    def look(self, term: int, has_majority: bool, now_s: float) -> None:
        """Note what the group reports now; after a gap of ``LOOK_GAP_S`` it starts as a new leader.

        Args:
            term: of the leader.
            hears_majority: whether it leads, and a majority replies.
            now_s: steady time.

        """
        is_continued = now_s - self._looked_s <= LOOK_GAP_S and term == self._term
        if not has_majority:
            self.since_s = None
        elif not is_continued or self.since_s is None:
            self.since_s = now_s
        self._term, self._looked_s = term, now_s

    def share(self, now_s: float) -> float:
        """Share of the bound that may be permitted now."""
        if self.since_s is None or now_s - self._looked_s > LOOK_GAP_S:
            return 0.0
        return ESTABLISHED_SHARE if now_s - self.since_s >= ESTABLISHED_S else NEW_LEADER_SHARE


@dataclass(slots=True)
class ColdPermitCounts:
    """Permits that one process has given, over all of its terms.

    Attributes:
        terms: bound on requests to a cold runner.
        num_leaders: groups of the turn log, whose leaders share the bound.

    """

    terms: ColdRateLimit = field(default_factory=ColdRateLimit)
    num_leaders: int = 1
    touch: LeaderTouch = field(default_factory=LeaderTouch)
    _granted: dict[str, SlidingCount] = field(default_factory=dict)

    def most(self, cold_per_s: float, is_new_program: bool, now_s: float) -> int:
        """Most permits for one runner within a window; fewer for requests of new programs."""
        share = self.touch.share(now_s) / self.num_leaders
        most = int(share * self.terms.max_per_s(cold_per_s))
        if not is_new_program or not most:
            return most
        return max(1, int(NEW_PROGRAM_SHARE * most))

    def num_granted(self, runner_id: str, now_s: float) -> int:
        """Permits given within the window that ends now."""
        counts = self._granted.get(runner_id)
        return counts.in_window(_ms(now_s), WINDOW_MS) if counts is not None else 0

    def room(self, runner_id: str, cold_per_s: float, is_new_program: bool, now_s: float) -> int:
        """Permits that may still be given now; 0 or less: none."""
        most = self.most(cold_per_s, is_new_program, now_s)
        return most - self.num_granted(runner_id, now_s)

    def grant(self, runner_id: str, now_s: float) -> None:
        """Count one permit."""
        counts = self._granted.setdefault(runner_id, SlidingCount())
        counts.forget_before(_oldest_ms(now_s))
        counts.add(_ms(now_s))

    def wait_ms(self, runner_id: str, cold_per_s: float, is_new_program: bool, now_s: float) -> int:
        """Time until one more permit may be given for a runner, in milliseconds."""
        most = self.most(cold_per_s, is_new_program, now_s)
        excess = self.num_granted(runner_id, now_s) + 1 - most
        if excess <= 0:
            return 0
        counts = self._granted.get(runner_id)
        if most <= 0 or counts is None:
            return WINDOW_MS
        return counts.wait_ms(_ms(now_s), WINDOW_MS, excess)

    def sweep(self, now_s: float) -> None:
        """Forget permits that are in no window any more."""
        oldest_ms = _oldest_ms(now_s)
        for runner_id in [
            r for r, counts in self._granted.items() if counts.forget_before(oldest_ms)
        ]:
            del self._granted[runner_id]


def _ms(now_s: float) -> int:
    return int(1000 * now_s)


def _oldest_ms(now_s: float) -> int:
    """Begin of the oldest span that a window may still hold, in milliseconds."""
    return _ms(now_s) - WINDOW_MS - SPAN_MS
