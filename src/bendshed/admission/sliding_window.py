"""Counters over sliding windows, on which every limit across all nodes is based. Pure."""

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

BUCKET_MS = 50
"""Events of one bucket are counted together, as if all had occurred at its end. So a count is never
too low, and may include events that are up to ``BUCKET_MS`` older than the window."""


@dataclass(slots=True)
class Bucket:
    """Events whose time lies in ``[at_ms, at_ms + BUCKET_MS)``."""

    at_ms: int
    count: int


@dataclass(slots=True)
class SlidingWindowCounter:
    """Events by time, counted in windows that end now; events are added in order of time.

    Attributes:
        buckets: oldest first.

    """

    buckets: deque[Bucket] = field(default_factory=deque)

    @classmethod
    def from_buckets(cls, buckets: Iterable[Bucket]) -> "SlidingWindowCounter":
        """Restore a counter from its ``buckets``."""
        return cls(deque(buckets))

    def add(self, at_ms: int, count: int = 1) -> None:
        """Count events."""
        begins_ms = at_ms - at_ms % BUCKET_MS
        if self.buckets and self.buckets[-1].at_ms == begins_ms:
            self.buckets[-1].count += count
        else:
            self.buckets.append(Bucket(begins_ms, count))

    def in_window(self, now_ms: int, window_ms: int) -> int:
        """Return the events counted in the window that ends now."""
        return sum(bucket.count for bucket in self._buckets_in_window(now_ms, window_ms))

    def wait_ms(self, now_ms: int, window_ms: int, excess: float) -> int:
        """Return the time in ms until ``excess`` counted events have left the window."""
        left = 0
        for bucket in self._buckets_in_window(now_ms, window_ms):
            left += bucket.count
            if left >= excess:
                return bucket.at_ms + BUCKET_MS + window_ms - now_ms
        return window_ms + BUCKET_MS

    def _buckets_in_window(self, now_ms: int, window_ms: int) -> Iterator[Bucket]:
        oldest_ms = now_ms - window_ms
        for bucket in self.buckets:
            if bucket.at_ms + BUCKET_MS > oldest_ms:
                yield bucket

    def drop_before(self, oldest_ms: int) -> bool:
        """Remove older buckets; return whether none is left."""
        while self.buckets and self.buckets[0].at_ms < oldest_ms:
            self.buckets.popleft()
        return not self.buckets
