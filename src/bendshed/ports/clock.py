"""Port to the wall clock. Monotonic time and timers come from the event loop."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Wall-clock time. Used for deadlines and limits only; no safety property depends on it."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return the milliseconds since the Unix epoch."""


class SystemClock(Clock):
    """The operating system's clock."""

    def wall_ms(self) -> int:
        """Return the milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000
