"""Sliding counts and permits with an expiry: the parts of every bound over all nodes. Pure."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

SPAN_MS = 50
"""Events of one span are counted together, as if all had come at its end. So a count is never too
small, and may hold events that are up to ``SPAN_MS`` older than the window."""


@dataclass(slots=True)
class Span:
    """Events whose time lies in ``[at_ms, at_ms + SPAN_MS)``."""

    at_ms: int
    count: int


@dataclass(slots=True)
class SlidingCount:
    """Events by time, counted in windows that end now; times are added in order.

    Attributes:
        spans: the oldest first.

    """

    spans: deque[Span] = field(default_factory=deque)

    @classmethod
    def of_spans(cls, spans: Iterable[Span]) -> "SlidingCount":
        """Restore a count from its ``spans``."""
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
        """Time in ms until ``excess`` of the counted events have left the window."""
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
        """Remove older spans; ``True``: nothing is left."""
        while self.spans and self.spans[0].at_ms < oldest_ms:
            self.spans.popleft()
        return not self.spans
