"""How often configuration and runners are read, and how old an update may be."""

from dataclasses import dataclass

INTERVAL_SHARE = 0.2
MAX_AGE_SHARE = 0.55
"""Shares of the bound within which a change must be applied. The registry is read each 0.2 of it;
a catalog older than 0.55 is not fresh, and 0.45 are left for the node's first own reading. Both
ends, a silent reader and one cut off from the registry, are tested (docs/design/0004)."""
HISTORY_SHARE = 0.75
"""A watch waits this share of the time for which the registry remembers changes: a later one would
have to list everything again."""
IDLE_PAUSE_S = 2.0
"""A burst of changes costs a machine on which few rely one call in this time."""
DEMAND_PAUSE_S = 0.05
"""The same for a machine that reads for others: each pause delays all of them."""


@dataclass(frozen=True, slots=True)
class ReadingPace:
    """How a process follows the registry.

    Attributes:
        wait_s: longest wait for a change.
        pause_s: changes of this time cost one call together.
        zones_wait_s: longest wait for a change of closed zones.

    """

    wait_s: float
    pause_s: float
    zones_wait_s: float


@dataclass(frozen=True, slots=True)
class CatalogTimes:
    """Times that follow from what the installation promises.

    Attributes:
        interval_s: a replica machine in demand reads the registry, and gets requests, this often.
        max_age_s: with an older catalog a node reads the registry itself.
        idle_wait_s: a watch that nobody relies on may wait this long.
        zones_lag_s: closed zones may be older by this than the rest and count as equally
            old; ``None``: operators close no zones, and nobody reads whether they do.

    """

    interval_s: float
    max_age_s: float
    idle_wait_s: float
    zones_lag_s: float | None = None

    @classmethod
    def within(
        cls, apply_s: float, history_s: float, zone_close_s: float | None = None
    ) -> "CatalogTimes":
        """Such that a change is applied within ``apply_s``, also when updates stop midway.

        A watch begins again while the registry still remembers where it began (``history_s``).

        Args:
            apply_s: bound of the configuration and of runners.
            history_s: how long the registry remembers changes.
            zone_close_s: bound of closed zones; ``None``: operators close none. A shorter one than
                ``apply_s`` bounds everything, a longer one saves calls.

        """
        bound_s = min(apply_s, zone_close_s or apply_s)
        lag_s = MAX_AGE_SHARE * (zone_close_s - bound_s) if zone_close_s is not None else None
        return cls(
            INTERVAL_SHARE * bound_s, MAX_AGE_SHARE * bound_s, HISTORY_SHARE * history_s, lag_s
        )

    @property
    def follows_zones(self) -> bool:
        """Whether operators close zones here."""
        return self.zones_lag_s is not None

    @property
    def zones_wait_s(self) -> float:
        """Longest watch for closed zones by a node that must know them in time.

        At 5 s for zones and 3 s for the rest it is 1.7 s: 0.57 calls a second beside 3.3. A watch
        that hangs is given up 0.6 s later, and the next one answers within 1.1 s.
        """
        return self.interval_s + (self.zones_lag_s or 0.0)

    def pace(self, is_in_demand: bool) -> ReadingPace:
        """How a replica machine reads; in demand: often enough that its updates are fresh."""
        if is_in_demand:
            return ReadingPace(self.interval_s, DEMAND_PAUSE_S, self.zones_wait_s)
        return ReadingPace(self.idle_wait_s, IDLE_PAUSE_S, self.idle_wait_s)
