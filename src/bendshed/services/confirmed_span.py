"""Over which time the registry has confirmed the list of runners without a gap. Pure."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class ConfirmedSpan:
    """The latest span in which confirmations followed each other closely.

    Attributes:
        max_gap_s: longest time between two confirmations of one span, in seconds. A registry that
            was away for longer may have kept entries of processes that had ended.
        from_s, until_s: loop times of the first and the last confirmation.

    """

    max_gap_s: float
    from_s: float = math.inf
    until_s: float = -math.inf

    def confirm(self, at_s: float) -> None:
        """Record that the list was confirmed as of a loop time."""
        if at_s <= self.until_s:
            return
        if at_s - self.until_s > self.max_gap_s:
            self.from_s = at_s
        self.until_s = at_s

    def duration_after(self, since_s: float) -> float:
        """How much of the span lies after a loop time, in seconds."""
        return max(0.0, self.until_s - max(self.from_s, since_s))
