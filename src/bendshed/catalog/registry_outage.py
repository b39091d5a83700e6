"""Decides for how long a runner whose entry vanished may still be used. Pure.

Entries of live runners lapse while the registry is away, and are written again soon after its
return. A runner whose entry goes later than that has left. A removal binds if the registry had been
well for some time, had settled, when it acknowledged it. That moment is not known here: only when
calls failed, and which reply first lacks the entry.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

REENTRY_S = 2.0
"""A live runner whose entry lapsed in an outage is listed again this long after its end."""
ENTRY_WAY_S = 0.5
"""An entry reaches every node within this time."""
MAX_LAST_RESORT_S = REENTRY_S + ENTRY_WAY_S
DISPATCH_MARGIN_S = 0.2
"""Covers the way of the removal to a node, and that of the last request to the runner."""


def _always_confirmed() -> float:
    """Default of watches whose removals do not matter."""
    return math.inf


@dataclass(slots=True)
class RegistryOutage:
    """The latest outage of the registry, as the calls of one watch show it.

    Times are of the event loop.

    Attributes:
        settled_s: the registry has settled once it has been well for this long.
        drain_s: a runner gets no new request this long after a removal that binds.
        max_gap_s: longest time between two confirmations of a registry that is well, also where a
            watch is cut.
        confirmed_s: when the registry last confirmed the list to this process, or to a machine that
            informs it.
        is_informed: other machines inform this process within ``settled_s`` of the registry's
            return, so it returned later than that if this process's own call is answered first.
        is_isolated: whether no other node answers this process either. Then its own path failed:
            the registry may have been well, and entries that it removed meanwhile are gone.

    """

    settled_s: float = 0.0
    drain_s: float = 0.0
    max_gap_s: float = 0.0
    confirmed_s: Callable[[], float] = _always_confirmed
    is_informed: bool = False
    is_isolated: Callable[[], bool] = lambda: False
    _has_failed: bool = False
    _failure_began_s: float = -math.inf
    _returned_s: float = -math.inf
    _reply_s: float = -math.inf
    _previous_reply_s: float = -math.inf

    def note_failure(self, began_s: float) -> None:
        """Record a call that failed; the registry may have been well since it began."""
        self._has_failed = not self.is_isolated()
        if self._has_failed:
            self._failure_began_s = began_s

    def note_reply(self, now_s: float) -> None:
        """Record a reply of the registry, before the list counts as confirmed by it."""
        if self._has_failed and now_s - self.confirmed_s() > self.max_gap_s:
            self._returned_s = now_s
            if self.is_informed:
                self._failure_began_s = max(self._failure_began_s, now_s - self.settled_s)
        self._has_failed = False
        self._previous_reply_s, self._reply_s = self._reply_s, now_s

    def last_resort_s(self, now_s: float) -> float:
        """How long a runner whose removal the latest reply reports may be used as a last resort.

        0: it has left, and gets no new request.
        """
        reentry_s = self._returned_s + MAX_LAST_RESORT_S
        settled_at_s = self._failure_began_s + self.settled_s
        earliest_binding_s = max(settled_at_s, self._previous_reply_s)
        until_s = min(reentry_s, earliest_binding_s + self.drain_s - DISPATCH_MARGIN_S)
        return max(0.0, until_s - now_s)
