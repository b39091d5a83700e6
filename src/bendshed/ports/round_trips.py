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
EXPIRY_S = 600.0
"""A measure that nothing has confirmed for so long is forgotten."""
MAX_PEERS = 1_000
"""Peers that are remembered, the longest unheard given up first; some 200 bytes each."""


@dataclass(slots=True)
class WindowedMinimum:
    """The least of what was noted lately.

    Attributes:
        recorded_s: when anything was noted last.

    """

    recorded_s: float = -math.inf
    _window_start_s: float = -math.inf
    _current: float = math.inf
    _previous: float = math.inf

    def record(self, value: float, now_s: float) -> None:
        """Take one measure."""
        self.recorded_s = now_s
        age_s = now_s - self._window_start_s
        if age_s < WINDOW_S:
            self._current = min(self._current, value)
            return
        self._previous = self._current if age_s < 2 * WINDOW_S else math.inf
        self._current = value
        self._window_start_s = now_s

    def minimum(self, now_s: float) -> float | None:
        """The least of this window and the one before; ``None``: nothing was noted for long."""
        if now_s - self.recorded_s > EXPIRY_S:
            return None
        return min(self._current, self._previous)


@dataclass(slots=True)
class RoundTrips(Generic[Key]):
    """Least times by peer, or by any other key."""

    _known: dict[Key, WindowedMinimum] = field(default_factory=dict)

    def record(self, key: Key, took_s: float, now_s: float) -> None:
        """Take one measure."""
        known = self._known.pop(key, None) or WindowedMinimum()
        known.record(max(0.0, took_s), now_s)
        self._known[key] = known
        if len(self._known) > MAX_PEERS:
            del self._known[next(iter(self._known))]

    def min_s(self, key: Key, now_s: float) -> float | None:
        """Seconds; ``None``: not measured."""
        known = self._known.get(key)
        return known.minimum(now_s) if known is not None else None

    def all_min_s(self, now_s: float) -> dict[Key, float]:
        """Everything that is known."""
        minimums = {key: known.minimum(now_s) for key, known in self._known.items()}
        return {key: minimum for key, minimum in minimums.items() if minimum is not None}
