"""When a turn that reservations of its program hold back is told to come back. Pure.

Owns: since when each reservation has been seen to hold a turn back, in the leader's memory alone.
"""

from collections import OrderedDict
from collections.abc import Mapping

STANDING_S = 3.0
"""A front that runs ends its turns within this time of finding a leader (``turn_ends.py``: a pause
and a time-out). What stands longer belongs to a turn that runs for long, or to one whose front is
away."""
RESERVED_RETRY_AFTER_MS = 300
"""When a turn is told to come back that only reservations hold back: after some commits."""
STANDING_RETRY_AFTER_MS = 1_000
"""The same where reservations that stand hold it back."""
MAX_PROGRAMS = 10_000
"""Programs remembered; the one that was refused longest ago is forgotten first."""

Program = tuple[str, str]
"""Tenant and program id."""


class StandingReservations:
    """Reservations that turns were refused for.

    Invariant: a reservation stands only ``STANDING_S`` after the first refusal here that rested on
    it.
    """

    def __init__(self) -> None:
        self._seen_s: OrderedDict[Program, dict[str, float]] = OrderedDict()

    def standing_tokens(self, program: Program, reserved: Mapping[str, int], now_s: float) -> int:
        """Tokens of the reservations that stand; notes the others as seen now.

        Args:
            program: that a turn is refused of.
            reserved: its reservations, in tokens by turn id.
            now_s: steady time.

        """
        before = self._seen_s.pop(program, {})
        seen_s = {turn_id: before.get(turn_id, now_s) for turn_id in reserved}
        self._seen_s[program] = seen_s
        if len(self._seen_s) > MAX_PROGRAMS:
            self._seen_s.popitem(last=False)
        return sum(
            tokens for turn_id, tokens in reserved.items() if now_s - seen_s[turn_id] >= STANDING_S
        )
