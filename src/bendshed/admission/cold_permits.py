"""The leader's leave to send to cold runners: a count by runner and shares of the bound. Pure.

Nothing goes to a cold runner but by leave of the turn log's leader for that very sending
(docs/design/0010). Leave is void ``LEAVE_S`` after it was asked for, so what leaves within a second
was granted within that second or ``LEAVE_S`` before. A leader counts what it granted within
``WINDOW_MS``, which holds both; however late a granted sending leaves or arrives, no second holds
more than the most that the leader may grant in a window.

Leaders change, and a new one knows nothing of what the last one granted. So each may grant a share:

- an established leader half of the bound: one that has led without a doubt for ``ESTABLISHED_S``;
- any other a quarter, and one that does not hear a majority nothing.

Two established leaders cannot meet in one second. The later one's term began after the earlier one
was last sure of its majority, so the earlier one's leave ends within ``STALE_S`` (a leader hears of
its loss within 0.25 s, a frozen one when it wakes) and ``LEAVE_S`` of that, and the later one is
established more than a second after: ``ESTABLISHED_S > 1 + LEAVE_S + STALE_S``. So one second holds
at most one half and the quarters of two more leaders: the leader may change twice within it. A
leader that was frozen or cut off begins as a new one: a quarter.

What is not granted of the half is room for what nodes sent before the word reached them that a warm
runner had turned cold. With several groups of the turn log each leader has its part of the bound.
"""

from dataclasses import dataclass, field

from bendshed.admission.sliding_window import SPAN_MS, SlidingCount
from bendshed.placement.cold_runners import ColdTerms

LEAVE_S = 0.25
"""A preview's answer takes up to 0.2 s, a new connection across regions some 0.06 s."""
WINDOW_MS = 1_000 + int(1000 * LEAVE_S)
STALE_S = 0.5
"""Longest time for which a leader that was replaced may still grant."""
ESTABLISHED_S = 2.0
ESTABLISHED_SHARE = 0.5
NEW_LEADER_SHARE = 0.25
LOOK_GAP_S = 0.25
"""A process that has not run for so long may have been replaced meanwhile: an election begins
after 0.25 s without a word of the leader."""
NEW_PROGRAM_SHARE = 0.8
"""While less than this of what a leader may grant is granted, programs may begin; the rest is for
programs under way, whose work so far would be lost. Played with 22 cold runners that bear 21 a
window and programs of four and nine turns, 0.45 s apart, three times the calm load for 4 s
(``tests/test_cold_sendings.py`` plays the like): at 0.5 192 programs ended, at 0.8 283, and none of
1,329 turns of programs under way was refused; at 1.0 305 ended, and 46 such turns were refused."""


@dataclass(slots=True)
class LeaderTouch:
    """Since when a process has led without a doubt.

    Attributes:
        since_s: steady time; ``None``: it does not lead, or does not hear a majority.

    """

    since_s: float | None = None
    _term: int = -1
    _looked_s: float = float("-inf")

    def look(self, term: int, hears_majority: bool, now_s: float) -> None:
        """Look again; a process that has not looked for long was frozen, and begins anew."""
        is_continued = now_s - self._looked_s <= LOOK_GAP_S and term == self._term
        if not hears_majority:
            self.since_s = None
        elif not is_continued or self.since_s is None:
            self.since_s = now_s
        self._term, self._looked_s = term, now_s

    def share(self, now_s: float) -> float:
        """Part of the bound that may be granted now."""
        if self.since_s is None or now_s - self._looked_s > LOOK_GAP_S:
            return 0.0
        return ESTABLISHED_SHARE if now_s - self.since_s >= ESTABLISHED_S else NEW_LEADER_SHARE


@dataclass(slots=True)
class ColdPermitCounts:
    """What one process has granted, over all of its terms.

    Attributes:
        terms: how exact the rate must be.
        num_leaders: groups of the turn log, whose leaders share the bound.

    """

    terms: ColdTerms = field(default_factory=ColdTerms)
    num_leaders: int = 1
    touch: LeaderTouch = field(default_factory=LeaderTouch)
    _granted: dict[str, SlidingCount] = field(default_factory=dict)

    def most(self, cold_per_s: float, is_new_program: bool, now_s: float) -> int:
        """Sendings to one runner that may be granted within a window, for a request like this."""
        share = self.touch.share(now_s) / self.num_leaders
        most = int(share * self.terms.most_per_s(cold_per_s))
        if not is_new_program or not most:
            return most
        return max(1, int(NEW_PROGRAM_SHARE * most))

    def num_granted(self, runner_id: str, now_s: float) -> int:
        """Sendings granted within the window that ends now."""
        held = self._granted.get(runner_id)
        return held.in_window(_ms(now_s), WINDOW_MS) if held is not None else 0

    def room(self, runner_id: str, cold_per_s: float, is_new_program: bool, now_s: float) -> int:
        """Sendings that may still be granted now; not above 0: none."""
        most = self.most(cold_per_s, is_new_program, now_s)
        return most - self.num_granted(runner_id, now_s)

    def grant(self, runner_id: str, now_s: float) -> None:
        """Count one sending."""
        held = self._granted.setdefault(runner_id, SlidingCount())
        held.forget_before(_oldest_ms(now_s))
        held.add(_ms(now_s))

    def wait_ms(self, runner_id: str, cold_per_s: float, is_new_program: bool, now_s: float) -> int:
        """Time until there is room at a runner for one sending more."""
        most = self.most(cold_per_s, is_new_program, now_s)
        excess = self.num_granted(runner_id, now_s) + 1 - most
        if excess <= 0:
            return 0
        held = self._granted.get(runner_id)
        if most <= 0 or held is None:
            return WINDOW_MS
        return held.wait_ms(_ms(now_s), WINDOW_MS, excess)

    def sweep(self, now_s: float) -> None:
        """Forget what no window holds any more."""
        oldest_ms = _oldest_ms(now_s)
        for runner_id in [r for r, held in self._granted.items() if held.forget_before(oldest_ms)]:
            del self._granted[runner_id]


def _ms(now_s: float) -> int:
    return int(1000 * now_s)


def _oldest_ms(now_s: float) -> int:
    """Begin of the oldest span that a window may still hold."""
    return _ms(now_s) - WINDOW_MS - SPAN_MS
