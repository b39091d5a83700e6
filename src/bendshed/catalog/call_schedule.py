"""Decides when each kind of objects is called again after failed calls. Pure.

That the registry does not answer for one kind says nothing of the others. Only while it answers for
none of the kinds that a node reads does it count as away.
"""

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bendshed.retries.backoff import exponential_backoff

INITIAL_RETRY_MIN_S = 0.15
INITIAL_RETRY_MAX_S = 0.4
"""Retry delay of a process that does not know the objects of the kind yet."""
RETRY_MIN_S = 0.5
RETRY_MAX_S = 0.9
"""Retry delay of a process that knows the kind and can serve requests meanwhile, since calls to a
store that is down cost as much as others."""

MAX_RETRY_GROWTH = 2.0
"""Limit of the growth of a retry delay. A node is in touch again soon after an outage, also if no
other informs it, so the longest delay and the calls after it must fit into that time."""


@dataclass(slots=True)
class _Kind:
    """One kind of objects.

    Attributes:
        is_read: this node reads it now; otherwise other nodes send it.
        is_known: its objects are known, so that the node can serve meanwhile.
        num_failed: calls in a row without an answer.
        failed_s: when the last of them failed.
        retry_s: when it may be called again.

    """

    is_read: bool = True
    is_known: bool = False
    num_failed: int = 0
    failed_s: float = -math.inf
    retry_s: float = -math.inf


class CallSchedule:
    """All kinds that one node reads. Times are of the caller's clock, in seconds.

    Invariant: while the registry is away, one kind after the other is called, one call a delay. So
    it costs the same however many kinds are read, and is noticed whichever kind answers first.

    Args:
        rng: adds jitter to delays.
        max_growth: largest factor by which a delay grows while calls fail; 1: constant.

    Attributes:
        on_change: called when kinds may be called earlier than before.

    """

    def __init__(self, rng: random.Random, max_growth: float = MAX_RETRY_GROWTH) -> None:
        self.on_change: list[Callable[[], None]] = []
        self._rng = rng
        self._max_growth = max_growth
        self._kinds: dict[str, _Kind] = {}
        self._num_failed_while_away = 0

    def add(self, name: str) -> None:
        """Add a kind that is read."""
        self._kinds.setdefault(name, _Kind())

    @property
    def is_away(self) -> bool:
        """Whether the last call for each kind that is read failed."""
        read = list(self._read())
        return bool(read) and all(kind.num_failed for kind in read)

    def delay_s(self, name: str, now_s: float) -> float:
        """How long to wait before the next call for a kind; infinite: until a change."""
        return max(0.0, self._kinds[name].retry_s - now_s)

    def set_read(self, name: str, is_read: bool, now_s: float) -> None:
        """Record whether this node reads a kind; one that is read again is called at once."""
        kind = self._kinds[name]
        if kind.is_read == is_read:
            return
        was_away = self.is_away
        kind.is_read = is_read
        if self.is_away:
            self._call_next(now_s)
        elif was_away:
            self._call_all(now_s)
        if is_read:
            kind.retry_s = -math.inf
        self._notify()

    def note_reply(self, name: str, now_s: float) -> None:
        """Record an answer; if the registry was away, all other kinds are called at once."""
        kind = self._kinds[name]
        was_away = self.is_away
        kind.num_failed, kind.retry_s = 0, -math.inf
        self._num_failed_while_away = 0
        if was_away:
            self._call_all(now_s)

    def note_failure(
        self, name: str, now_s: float, is_silent: bool = False, is_known: bool = True
    ) -> None:
        """Record a call without an answer.

        Args:
            name: the kind.
            now_s: when the call failed.
            is_silent: nothing answered; a call on a new connection may work.
            is_known: the objects of the kind are known.

        """
        kind = self._kinds[name]
        kind.num_failed += 1
        kind.is_known = is_known
        kind.failed_s = now_s
        if is_silent and kind.num_failed == 1:
            kind.retry_s = now_s
        elif self.is_away:
            self._num_failed_while_away += 1
            self._call_next(now_s)
        else:
            kind.retry_s = now_s + self._draw_delay_s(kind, kind.num_failed)

    def _call_next(self, now_s: float) -> None:
        """Call the kind that was not called for longest, after a delay, and no other."""
        for kind in self._read():
            kind.retry_s = math.inf
        following = min(self._read(), key=lambda kind: kind.failed_s)
        following.retry_s = now_s + self._draw_delay_s(following, self._num_failed_while_away)
        self._notify()

    def _call_all(self, now_s: float) -> None:
        for kind in self._kinds.values():
            kind.retry_s = min(kind.retry_s, now_s)
        self._notify()

    def _draw_delay_s(self, kind: _Kind, num_failed: int) -> float:
        if not kind.is_known:
            return self._rng.uniform(INITIAL_RETRY_MIN_S, INITIAL_RETRY_MAX_S)
        growth = exponential_backoff(1.0, max(0, num_failed - 1), self._max_growth)
        return growth * self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)

    def _read(self) -> Iterator[_Kind]:
        return (kind for kind in self._kinds.values() if kind.is_read)

    def _notify(self) -> None:
        for notify in self.on_change:
            notify()
