"""Port to the wall clock. Monotonic time and timers come from the event loop itself."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Wall-clock time; no safety rests on it (deadlines and limits only)."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Milliseconds since 1970."""


class SystemClock(Clock):
    """The operating system's clock."""

    def wall_ms(self) -> int:
        """Milliseconds since 1970."""
        return time.time_ns() // 1_000_000
