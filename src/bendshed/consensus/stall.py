"""Detects whether a slow disk or event loop delays the groups that this machine leads. No I/O."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

SYNC_STALL_S = 0.6
"""A commit that takes this long counts as a stall; disks of current sites take 2 to 5 ms per sync.
The other replicas still commit, but what is acknowledged then is on one disk fewer."""
MAX_MEAN_TICK_DELAY_S = 0.1
"""Mean delay of ticks (25 ms apart) that counts as a stalled loop; answers are delayed as much."""
TICK_WINDOW = 40
"""Number of ticks over which the mean is taken: one second of an undelayed loop."""


class Stall(StrEnum):
    """Cause of a stall."""

    DISK = "the disk"
    LOOP = "the loop"


@dataclass(slots=True)
class StallDetector:
    """Detects stalls of one process.

    Attributes:
        sync_started_s: start time of the commit in progress; ``None`` if there is none.

    """

    sync_started_s: float | None = None
    _tick_delays_s: deque[float] = field(default_factory=lambda: deque(maxlen=TICK_WINDOW))

    def begin_sync(self, now_s: float) -> None:
        """Record the start of a commit to the disk."""
        self.sync_started_s = now_s

    def end_sync(self) -> None:
        """Record the end of the commit."""
        self.sync_started_s = None

    def record_tick(self, delay_s: float) -> None:
        """Record by how much a tick was late."""
        self._tick_delays_s.append(delay_s)

    def detect(self, now_s: float) -> Stall | None:
        """Return the present stall; ``None`` if there is none."""
        if self.sync_started_s is not None and now_s - self.sync_started_s >= SYNC_STALL_S:
            return Stall.DISK
        is_window_full = len(self._tick_delays_s) == TICK_WINDOW
        if is_window_full and sum(self._tick_delays_s) / TICK_WINDOW >= MAX_MEAN_TICK_DELAY_S:
            return Stall.LOOP
        return None
