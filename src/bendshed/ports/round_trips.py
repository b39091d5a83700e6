"""Round trips as they were measured: the least over a sliding window, so that queues and busy
moments do not count. Pure.

The least of a window is what TCP's BBR takes for the length of a path (Cardwell 2016).
"""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

WINDOW_S = 10.0
"""The least of the last 10 to 20 s counts: longer than a burst, short enough that a path which has
become longer is known before its requests have been late for long."""
MEMORY_S = 600.0
"""A measure that nothing has confirmed for so long is forgotten."""
MAX_PEERS = 1_000
"""Peers that are remembered, the longest unheard given up first; some 200 bytes each."""


@dataclass(slots=True)
class SlidingLeast:
    """The least of what was noted lately.

    Attributes:
        noted_s: when anything was noted last.

    """

    noted_s: float = -math.inf
    _began_s: float = -math.inf
    _current: float = math.inf
    _before: float = math.inf

    def note(self, value: float, now_s: float) -> None:
        """Take one measure."""
        self.noted_s = now_s
        age_s = now_s - self._began_s
        if age_s < WINDOW_S:
            self._current = min(self._current, value)
            return
        self._before = self._current if age_s < 2 * WINDOW_S else math.inf
        self._current = value
        self._began_s = now_s

    def least(self, now_s: float) -> float | None:
        """The least of this window and the one before; ``None``: nothing was noted for long."""
        if now_s - self.noted_s > MEMORY_S:
            return None
        return min(self._current, self._before)


@dataclass(slots=True)
class RoundTrips(Generic[Key]):
    """Least times by peer, or by any other key."""

    _known: dict[Key, SlidingLeast] = field(default_factory=dict)

    def note(self, key: Key, took_s: float, now_s: float) -> None:
        """Take one measure."""
        known = self._known.pop(key, None) or SlidingLeast()
        known.note(max(0.0, took_s), now_s)
        self._known[key] = known
        if len(self._known) > MAX_PEERS:
            del self._known[next(iter(self._known))]

    def least_s(self, key: Key, now_s: float) -> float | None:
        """Seconds; ``None``: not measured."""
        known = self._known.get(key)
        return known.least(now_s) if known is not None else None

    def all_s(self, now_s: float) -> dict[Key, float]:
        """Everything that is known."""
        found = {key: known.least(now_s) for key, known in self._known.items()}
        return {key: least for key, least in found.items() if least is not None}
