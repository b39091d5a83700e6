"""Whether this machine's disk or loop delays the groups that it leads. Pure."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

SYNC_STALL_S = 0.6
"""A commit under way for so long is no slow one: disks of today's sites take 2 to 5 ms a sync. The
others commit without it meanwhile; but what is acknowledged then is on one disk fewer."""
LATE_TICK_S = 0.1
"""Mean lateness of ticks (25 ms apart) from which on a loop is late: answers wait as long."""
WATCHED_TICKS = 40
"""Ticks over which the mean is taken: a second of a loop that is on time."""


class Stall(StrEnum):
    """What is slow."""

    DISK = "the disk"
    LOOP = "the loop"


@dataclass(slots=True)
class StallWatch:
    """Measures one process.

    Attributes:
        sync_began_s: when the commit under way began; ``None``: none is.

    """

    sync_began_s: float | None = None
    _late_s: deque[float] = field(default_factory=lambda: deque(maxlen=WATCHED_TICKS))

    def begin_sync(self, now_s: float) -> None:
        """A commit to the disk begins."""
        self.sync_began_s = now_s

    def end_sync(self) -> None:
        """It has ended."""
        self.sync_began_s = None

    def note_tick(self, late_s: float) -> None:
        """A tick came so much later than it was due."""
        self._late_s.append(late_s)

    def stall(self, now_s: float) -> Stall | None:
        """What stalls now; ``None``: nothing."""
        if self.sync_began_s is not None and now_s - self.sync_began_s >= SYNC_STALL_S:
            return Stall.DISK
        is_watched = len(self._late_s) == WATCHED_TICKS
        if is_watched and sum(self._late_s) / WATCHED_TICKS >= LATE_TICK_S:
            return Stall.LOOP
        return None
