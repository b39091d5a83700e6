"""Whether this machine's disk or loop delays the groups that it leads. Pure."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

SYNC_STALL_S = 0.6
"""A commit under way for so long is no slow one: disks of today's sites take 2 to 5 ms a sync. The
others commit without it meanwhile; but what is acknowledged then is on one disk fewer."""
MAX_MEAN_TICK_DELAY_S = 0.1
"""Mean lateness of ticks (25 ms apart) from which on a loop is late: answers wait as long."""
TICK_WINDOW = 40
"""Ticks over which the mean is taken: a second of a loop that is on time."""


class Stall(StrEnum):
    """What is slow."""

    DISK = "the disk"
    LOOP = "the loop"


@dataclass(slots=True)
class StallDetector:
    """Measures one process.

    Attributes:
        sync_started_s: when the commit under way began; ``None``: none is.

    """

    sync_started_s: float | None = None
    _tick_delays_s: deque[float] = field(default_factory=lambda: deque(maxlen=TICK_WINDOW))

    def begin_sync(self, now_s: float) -> None:
        """A commit to the disk begins."""
        self.sync_started_s = now_s

    def end_sync(self) -> None:
        """It has ended."""
        self.sync_started_s = None

    def record_tick(self, delay_s: float) -> None:
        """A tick came so much later than it was due."""
        self._tick_delays_s.append(delay_s)

    def detect(self, now_s: float) -> Stall | None:
        """What stalls now; ``None``: nothing."""
        if self.sync_started_s is not None and now_s - self.sync_started_s >= SYNC_STALL_S:
            return Stall.DISK
        is_window_full = len(self._tick_delays_s) == TICK_WINDOW
        if is_window_full and sum(self._tick_delays_s) / TICK_WINDOW >= MAX_MEAN_TICK_DELAY_S:
            return Stall.LOOP
        return None
