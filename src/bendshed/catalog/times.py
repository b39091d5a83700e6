"""How often configuration and runners are read, and how old a word of them may be."""

from dataclasses import dataclass

INTERVAL_SHARE = 0.2
MAX_AGE_SHARE = 0.55
HISTORY_SHARE = 0.75
IDLE_PACE_S = 2.0
DEMAND_PACE_S = 0.05


@dataclass(frozen=True, slots=True)
class ReadingPace:
    """How a process follows the registry.

    Attributes:
        wait_s: longest wait for a change.
        pace_s: changes of this time cost one call together.

    """

    wait_s: float
    pace_s: float


@dataclass(frozen=True, slots=True)
class CatalogTimes:
    """Times that follow from what the installation promises.

    Attributes:
        interval_s: a replica machine in demand asks the registry, and is asked, this often.
        max_age_s: with an older word a front asks the registry itself.
        idle_wait_s: a watch that nobody relies on may wait this long.

    """

    interval_s: float
    max_age_s: float
    idle_wait_s: float

    @classmethod
    def within(cls, apply_s: float, history_s: float) -> "CatalogTimes":
        """Such that a change is applied within ``apply_s``, also when the word stops midway.

        A watch is asked anew while the registry still remembers where it began (``history_s``).
        """
        return cls(INTERVAL_SHARE * apply_s, MAX_AGE_SHARE * apply_s, HISTORY_SHARE * history_s)

    def pace(self, in_demand: bool) -> ReadingPace:
        """How a replica machine reads; in demand: often enough that its word is fresh."""
        if in_demand:
            return ReadingPace(self.interval_s, DEMAND_PACE_S)
        return ReadingPace(self.idle_wait_s, IDLE_PACE_S)
