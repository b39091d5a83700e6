"""Minimum of measured round trips over a sliding window, which excludes queueing and load. No I/O.

TCP BBR also estimates a path's propagation delay by a windowed minimum (Cardwell 2016).
"""

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

WINDOW_S = 10.0
"""The minimum covers the last 10 to 20 s: longer than a burst, and short enough that an increased
path delay is recognized before requests have been late for long."""
EXPIRY_S = 600.0
"""A minimum expires after this time without a new measurement."""
MAX_PEERS = 1_000
"""The least recently measured peers are evicted first; one takes about 200 bytes."""


@dataclass(slots=True)
class WindowedMinimum:
    """Minimum of recent values over two windows, the current and the previous one.

    Attributes:
        recorded_s: time of the latest recorded value.

    """

    recorded_s: float = -math.inf
    _window_start_s: float = -math.inf
    _current: float = math.inf
    _previous: float = math.inf

    def record(self, value: float, now_s: float) -> None:
        """Record one value."""
        self.recorded_s = now_s
        age_s = now_s - self._window_start_s
        if age_s < WINDOW_S:
            self._current = min(self._current, value)
            return
        self._previous = self._current if age_s < 2 * WINDOW_S else math.inf
        self._current = value
        self._window_start_s = now_s

    def minimum(self, now_s: float) -> float | None:
        """Return the minimum of both windows; ``None`` if no value is newer than ``EXPIRY_S``."""
        if now_s - self.recorded_s > EXPIRY_S:
            return None
        return min(self._current, self._previous)


@dataclass(slots=True)
class RoundTrips(Generic[Key]):
    """Minimum round trips by peer, or by another key."""

    _known: dict[Key, WindowedMinimum] = field(default_factory=dict)

    def record(self, key: Key, took_s: float, now_s: float) -> None:
        """Record one measurement."""
        known = self._known.pop(key, None) or WindowedMinimum()
        known.record(max(0.0, took_s), now_s)
        self._known[key] = known
        if len(self._known) > MAX_PEERS:
            del self._known[next(iter(self._known))]

    def min_s(self, key: Key, now_s: float) -> float | None:
        """Return the minimum in seconds; ``None`` if there is no measurement."""
        known = self._known.get(key)
        return known.minimum(now_s) if known is not None else None

    def all_min_s(self, now_s: float) -> dict[Key, float]:
        """Return the minimums of all keys in seconds."""
        minimums = {key: known.minimum(now_s) for key, known in self._known.items()}
        return {key: minimum for key, minimum in minimums.items() if minimum is not None}
