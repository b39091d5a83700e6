"""Decides whether a turn may be redirected to another region, and limits how many are. Pure.

The costs of `placement/placement_cost.py` show when a runner of another region is the better one.
Placement by cost alone oscillates: a burst raises the cost of a whole region at once, and the other
region's runners and the link would get more than they can serve. So redirection starts only at a
clear gain, redirected turns take a bounded share of the other regions' slots, and their bytes a
bounded share of the link.
"""

from dataclasses import dataclass, field

MIN_GAIN_MS = 20.0
"""Redirection starts only above this gain, in milliseconds: the prefill time of three turns, by
which two runners of one pool differ by chance."""
MIN_GAIN_WAIVED_S = 1.0
"""Time, in seconds, for which any gain is enough after a redirected turn: about three turn lengths,
so that redirection does not start and stop with each turn."""
MAX_SLOT_SHARE = 0.5
"""Share of the other regions' slots that redirected turns may take. Protects those regions' own
work, whose burst may come next."""
OUTAGE_GAIN_MS = 500.0
"""Gain, in milliseconds, from which on the region's runners must be failing or hanging, since load
alone does not raise costs so far. The other regions' slots are then no limit."""
MAX_LINK_SHARE = 0.5
"""Share of the link's rate for bodies and answers of redirected turns. Protects other traffic on
the link (replication, catalog) from delays."""
LINK_BURST_S = 0.5
"""Size of a burst of redirected bytes, in seconds of the rate that they may use."""
BYTES_PER_MBIT = 125_000


@dataclass(slots=True)
class SpilloverLimiter:
    """Decides whether one more turn may run outside its node's region.

    Invariant: each running redirected turn is counted once.

    Attributes:
        region_mbit_per_s: rate of the link; 0: unknown, so only slots are a limit.

    """

    region_mbit_per_s: float = 0.0
    _last_redirect_s: float = float("-inf")
    _credit_bytes: float = 0.0
    _refilled_s: float = float("-inf")
    _redirected_turns: set[str] = field(default_factory=set)

    @property
    def num_redirected(self) -> int:
        """Number of running redirected turns."""
        return len(self._redirected_turns)

    def may_redirect(self, gain_ms: float, num_slots: int, num_bytes: int, now_s: float) -> bool:
        """Whether a turn may be redirected.

        Args:
            gain_ms: cost of its region's best runner minus that of the other regions' best.
            num_slots: slots of the other regions' runners.
            num_bytes: bytes of its body and longest answer.
            now_s: steady time.

        """
        min_gain_ms = 0.0 if now_s - self._last_redirect_s < MIN_GAIN_WAIVED_S else MIN_GAIN_MS
        has_slot_limit = gain_ms < OUTAGE_GAIN_MS
        if gain_ms <= min_gain_ms or (
            has_slot_limit and self.num_redirected >= MAX_SLOT_SHARE * num_slots
        ):
            return False
        return not self.region_mbit_per_s or self._available_bytes(now_s) >= min(
            num_bytes, self._max_credit_bytes
        )

    def begin(self, turn_id: str, num_bytes: int, now_s: float) -> None:
        """Count a redirected turn, including one without an eligible runner in its region."""
        self._last_redirect_s = now_s
        self._credit_bytes = self._available_bytes(now_s) - num_bytes
        self._refilled_s = now_s
        self._redirected_turns.add(turn_id)

    def end(self, turn_id: str) -> None:
        """Stop counting a turn, redirected or not."""
        self._redirected_turns.discard(turn_id)

    def _available_bytes(self, now_s: float) -> float:
        """Bytes that may be redirected now; negative after turns that had to be redirected."""
        return min(
            self._max_credit_bytes,
            self._credit_bytes + self._bytes_per_s * min(now_s - self._refilled_s, 60.0),
        )

    @property
    def _bytes_per_s(self) -> float:
        return MAX_LINK_SHARE * self.region_mbit_per_s * BYTES_PER_MBIT

    @property
    def _max_credit_bytes(self) -> float:
        """Bytes of one burst; a larger turn may be redirected too and delays the next ones."""
        return LINK_BURST_S * self._bytes_per_s
