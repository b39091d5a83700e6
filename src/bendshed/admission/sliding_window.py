"""Sliding counts and leave that runs out: what every bound over all nodes is made of. Pure."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

SPAN_MS = 50
"""Events of one such span are counted together, as if all had come at its end: a window is never
judged too small, by at most this much too large."""


@dataclass(slots=True)
class Span:
    """Events whose time lies in ``[at_ms, at_ms + SPAN_MS)``."""

    at_ms: int
    count: int


@dataclass(slots=True)
class SlidingCount:
    """Events by time, counted in windows that end now; their times may not fall.

    Attributes:
        spans: the oldest first.

    """

    spans: deque[Span] = field(default_factory=deque)

    @classmethod
    def of_spans(cls, spans: Iterable[Span]) -> "SlidingCount":
        """Read back what ``spans`` told."""
        return cls(deque(spans))

    def add(self, at_ms: int, count: int = 1) -> None:
        """Count events."""
        begins_ms = at_ms - at_ms % SPAN_MS
        if self.spans and self.spans[-1].at_ms == begins_ms:
            self.spans[-1].count += count
        else:
            self.spans.append(Span(begins_ms, count))

    def in_window(self, now_ms: int, window_ms: int) -> int:
        """Events counted in the window that ends now."""
        return sum(span.count for span in self._inside(now_ms, window_ms))

    def wait_ms(self, now_ms: int, window_ms: int, excess: float) -> int:
        """Time until so many of the counted events have left the window."""
        left = 0
        for span in self._inside(now_ms, window_ms):
            left += span.count
            if left >= excess:
                return span.at_ms + SPAN_MS + window_ms - now_ms
        return window_ms + SPAN_MS

    def _inside(self, now_ms: int, window_ms: int) -> Iterator[Span]:
        oldest_ms = now_ms - window_ms
        for span in self.spans:
            if span.at_ms + SPAN_MS > oldest_ms:
                yield span

    def forget_before(self, oldest_ms: int) -> bool:
        """Forget older spans; ``True``: nothing is left."""
        while self.spans and self.spans[0].at_ms < oldest_ms:
            self.spans.popleft()
        return not self.spans


@dataclass(frozen=True, slots=True)
class TimedPermit:
    """Leave to send that runs out on its holder's steady clock.

    Whoever gave it counts it for longer than its holder may use it.

    Attributes:
        until_s: steady time from which on it is void.

    """

    until_s: float = float("-inf")

    def is_valid(self, now_s: float) -> bool:
        """Whether it may still be used."""
        return now_s < self.until_s


NO_PERMIT = TimedPermit()
