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
MIN_FAILURES = 2
"""A watch is cut now and then; the call after it is answered, and no entry lapses in between."""


@dataclass(slots=True)
class RegistryOutage:
    """The latest outage of the registry, as the calls of one watch show it.

    Times are of the event loop.

    Attributes:
        settled_s: the registry has settled once it has been well for this long.
        drain_s: a runner gets no new request this long after a removal that binds.
        is_informed: other machines inform this process within ``settled_s`` of the registry's
            return, so none has returned earlier than that if its own call is answered first.
        is_isolated: whether no other node answers this process either. Then its own path failed:
            the registry may have been well, and entries that it removed meanwhile are gone.

    """

    settled_s: float = 0.0
    drain_s: float = 0.0
    is_informed: bool = False
    is_isolated: Callable[[], bool] = lambda: False
    _num_failed: int = 0
    _is_silent: bool = False
    _failure_began_s: float = -math.inf
    _returned_s: float = -math.inf
    _reply_s: float = -math.inf
    _previous_reply_s: float = -math.inf

    def note_failure(self, began_s: float, is_silent: bool) -> None:
        """Record a call that failed; the registry may have been well since it began."""
        if self.is_isolated():
            self._num_failed, self._is_silent = 0, False
            return
        self._num_failed += 1
        self._is_silent = is_silent
        self._failure_began_s = began_s

    def note_others_informed(self) -> None:
        """Record that the registry answers other machines, which report removals from now on."""
        self._num_failed, self._is_silent = 0, False

    def note_others_silent(self) -> None:
        """Record that other machines report nothing new: as much of a sign as a failed call."""
        self._num_failed = max(self._num_failed, 1)

    def note_reply(self, now_s: float) -> None:
        """Record a reply of the registry, before the removals that it reports."""
        if self._num_failed >= MIN_FAILURES or self._is_silent:
            self._returned_s = now_s
            if self.is_informed:
                self._failure_began_s = max(self._failure_began_s, now_s - self.settled_s)
        self._num_failed = 0
        self._is_silent = False
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
