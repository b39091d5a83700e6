"""Decides when to retry a turn that reservations of its program block. Pure.

Records since when each reservation has blocked a turn, in the leader's memory only.
"""

from collections import OrderedDict
from collections.abc import Mapping

STANDING_S = 3.0
"""A running front reports the ends of its turns within this time of finding a leader
(``turn_ends.py``: a pause and a timeout). A reservation that lasts longer belongs to a long-running
turn, or to a turn whose front is unreachable."""
RESERVED_RETRY_AFTER_MS = 300
"""Retry time of a turn that is blocked only by reservations; several commits take less."""
STANDING_RETRY_AFTER_MS = 1_000
"""Retry time of a turn that is blocked by standing reservations."""
MAX_PROGRAMS = 10_000
"""Maximum number of stored programs; the one rejected longest ago is dropped first."""

Program = tuple[str, str]
"""Tenant and program id."""


class StandingReservations:
    """Reservations for which turns were rejected.

    Invariant: a reservation counts as standing only ``STANDING_S`` after the first rejection here
    that was due to it.
    """

    def __init__(self) -> None:
        self._seen_s: OrderedDict[Program, dict[str, float]] = OrderedDict()

    def standing_tokens(self, program: Program, reserved: Mapping[str, int], now_s: float) -> int:
        """Return the tokens of the standing reservations; record new ones as seen now.

        Args:
            program: program whose turn is rejected.
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
