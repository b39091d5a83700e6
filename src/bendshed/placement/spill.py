"""How much work may leave its own region at the same time. Pure.

The costs of `placement/cluster_load.py` say when a runner of another region is the better one. That
alone would swing: a burst makes the own pool dear for all at once, and the other region's runners
and the link would get what they can't bear. So the first turns leave only for a clear gain, no
more are away than the other region has places to spare for, and no more bytes leave than the link
carries.
"""

from dataclasses import dataclass, field

MARGIN_MS = 20.0
"""Least gain for which work begins to leave its region: some three turns' reading time, by which
two runners of one pool differ at any moment."""
KEPT_S = 1.0
"""So long after a turn has left, any gain is enough: some three lengths of a turn."""
SLOTS_SHARE = 0.5
"""Most of the other regions' places that this region's turns may take: they have work of their own,
and its burst may come next."""
BROKEN_GAIN_MS = 500.0
"""From this gain on the own region's runners fail or hang, as no mere load makes them: then the
other regions' places do not bound what leaves."""
LINK_SHARE = 0.5
"""Most of the link's rate for bodies and answers of turns; its other traffic must not wait."""
BURST_S = 0.5
"""Bytes of so long a time may leave at once."""
BYTES_PER_MBIT = 125_000


@dataclass(slots=True)
class SpillGate:
    """Decides whether one more turn may run in another region than its node's.

    Attributes:
        region_mbit_per_s: what the link carries; 0: not known, then the places alone bound it.

    """

    region_mbit_per_s: float = 0.0
    _left_s: float = float("-inf")
    _room_bytes: float = 0.0
    _filled_s: float = float("-inf")
    _away: set[str] = field(default_factory=set)

    @property
    def num_away(self) -> int:
        """Turns under way outside their region."""
        return len(self._away)

    def may_leave(self, gain_ms: float, num_slots: int, num_bytes: int, now_s: float) -> bool:
        """Whether a turn may leave.

        Args:
            gain_ms: what it loses less elsewhere.
            num_slots: of the runners of other regions.
            num_bytes: that it moves.
            now_s: steady time.

        """
        margin_ms = 0.0 if now_s - self._left_s < KEPT_S else MARGIN_MS
        is_bounded = gain_ms < BROKEN_GAIN_MS
        if gain_ms <= margin_ms or (is_bounded and self.num_away >= SLOTS_SHARE * num_slots):
            return False
        return not self.region_mbit_per_s or self._room(now_s) >= min(num_bytes, self._most_bytes)

    def begin(self, turn_id: str, num_bytes: int, now_s: float) -> None:
        """A turn left its region."""
        self._left_s = now_s
        self._room_bytes = self._room(now_s) - num_bytes
        self._filled_s = now_s
        self._away.add(turn_id)

    def end(self, turn_id: str) -> None:
        """A turn is over, wherever it ran."""
        self._away.discard(turn_id)

    def _room(self, now_s: float) -> float:
        """Bytes that may leave at this moment; negative after turns that had no choice."""
        return min(
            self._most_bytes,
            self._room_bytes + self._bytes_per_s * min(now_s - self._filled_s, 60.0),
        )

    @property
    def _bytes_per_s(self) -> float:
        return LINK_SHARE * self.region_mbit_per_s * BYTES_PER_MBIT

    @property
    def _most_bytes(self) -> float:
        """Of one burst; a turn that moves more leaves too, and those behind it wait longer."""
        return BURST_S * self._bytes_per_s
