"""Read intervals of configuration and runners, and the maximum age of an update."""

from dataclasses import dataclass

from bendshed.catalog.parts import SERVED_PARTS, CatalogPart
from bendshed.catalog.registry_outage import MAX_LAST_RESORT_S
from bendshed.ports.objects import MAX_IDLE_S, WATCH_MARGIN_S

INTERVAL_SHARE = 0.2
MAX_AGE_SHARE = 0.55
"""Shares of the time within which a change must be applied. The registry is read every 0.2 of it. A
catalog older than 0.55 of it is not fresh, which leaves 0.45 for the node's first own read. Tests
cover a reader that is unreachable and one that lost the registry (docs/design/0004)."""
HISTORY_SHARE = 0.75
"""A watch waits for this share of the time for which the registry keeps changes: after a longer one
everything would have to be listed again."""
REREAD_S = 0.3
"""Allowance for reading a kind again on a new connection after a watch that was not answered."""
PAUSE_SHARE = 0.15
"""Share of the time within which a change must be applied: the pause between two watches, so that a
burst of changes costs one call. A change in the pause is known that much later."""
RETRY_ALLOWANCE_S = 1.0
"""Allowance for the first retry of a failed call (`catalog/watcher.py`, 0.9 s) and its answer."""
DEMAND_PAUSE_S = 0.05
"""The pause of a machine that reads for others, since it delays all of them."""


@dataclass(frozen=True, slots=True)
class ReadingPace:
    """How often a process reads the registry.

    Attributes:
        wait_s: longest wait for a change.
        pause_s: pause between two watches; changes within it cost one call together.
        zones_wait_s: longest wait for a change of closed zones.

    """

    wait_s: float
    pause_s: float
    zones_wait_s: float


@dataclass(frozen=True, slots=True)
class CatalogTimes:
    """Times that follow from the guarantees of the installation.

    Attributes:
        interval_s: interval at which a replica machine in demand reads the registry and receives
            requests.
        max_age_s: with an older catalog a node reads the registry itself.
        idle_wait_s: longest wait of a watch on which no other node depends.
        pause_s: pause between two such watches.
        silence_s: a connection to the registry may be silent for this long before the node knows
            the registry's state again.
        max_gap_s: longest time between two confirmations of a registry that is well, also where a
            watch is cut.
        contact_s: the registry has settled once it has been well for this long.
        drain_s: a runner that has left gets no new request this long after the registry, once
            settled, acknowledged it.
        default_last_resort_s: how long a runner is a last resort if it is not known whether the
            registry was well when it reported the removal.
        zones_lag_s: closed zones may be older than the rest by this and count as equally old;
            ``None``: operators close no zones, and the registry is not read for closed zones.

    """

    interval_s: float
    max_age_s: float
    idle_wait_s: float
    pause_s: float
    silence_s: float
    max_gap_s: float
    contact_s: float
    drain_s: float
    default_last_resort_s: float
    zones_lag_s: float | None = None

    @classmethod
    def within(
        cls,
        apply_s: float,
        history_s: float,
        zone_close_s: float | None = None,
        contact_s: float = 0.0,
        drain_s: float = 0.0,
    ) -> "CatalogTimes":
        """Derive times such that a change is applied within ``apply_s``, even if updates stop.

        A watch ends while the registry still keeps the changes since it began (``history_s``). Its
        wait also limits how long a silent connection goes unnoticed: the connection may have become
        silent while it was idle, the watch then waits in vain, is given up, and the kind is read
        again, all within ``contact_s`` or the bound of a change, whichever is longer.

        Args:
            apply_s: bound for the configuration and runners, in seconds.
            history_s: how long the registry keeps changes, in seconds.
            zone_close_s: bound for closed zones, in seconds; ``None``: operators close no zones. If
                shorter than ``apply_s`` it applies to everything; a longer one saves calls.
            contact_s: a node must know the registry's state this long after a disruption of its
                connections, in seconds.
            drain_s: a runner that has left gets no new request this long after the registry
                acknowledged it, in seconds.

        """
        bound_s = min(apply_s, zone_close_s or apply_s)
        lag_s = MAX_AGE_SHARE * (zone_close_s - bound_s) if zone_close_s is not None else None
        interval_s = INTERVAL_SHARE * bound_s
        silence_s = max(bound_s, contact_s)
        max_wait_s = silence_s - MAX_IDLE_S - WATCH_MARGIN_S - REREAD_S
        idle_wait_s = max(interval_s, min(max_wait_s, HISTORY_SHARE * history_s))
        max_age_s = MAX_AGE_SHARE * bound_s
        pause_s = PAUSE_SHARE * bound_s
        return cls(
            interval_s,
            max_age_s,
            idle_wait_s,
            pause_s,
            silence_s,
            pause_s + idle_wait_s + RETRY_ALLOWANCE_S,
            contact_s,
            drain_s,
            # A removal may have been acknowledged as long ago as an update is used.
            min(MAX_LAST_RESORT_S, max(0.0, drain_s - max_age_s)),
            lag_s,
        )

    @property
    def follows_zones(self) -> bool:
        """Whether operators close zones in this installation."""
        return self.zones_lag_s is not None

    def lag_s(self, part: CatalogPart) -> float:
        """How much older than the configuration a part may be, in seconds."""
        if part is CatalogPart.ZONES:
            return self.zones_lag_s or 0.0
        if part not in SERVED_PARTS:
            # These are read at the pace of a node that reads for itself alone.
            return self.silence_s - self.max_age_s
        return 0.0

    def max_part_age_s(self, part: CatalogPart) -> float:
        """With an older part a node reads that part itself."""
        return self.max_age_s + self.lag_s(part)

    @property
    def zones_wait_s(self) -> float:
        """Longest wait of a watch for closed zones by a node that must know them in time.

        With bounds of 5 s for zones and 3 s for the rest it is 1.7 s: 0.57 calls per second in
        addition to 3.3. A watch that hangs is cancelled 0.6 s later, and the next one returns
        within 1.1 s.
        """
        return self.interval_s + (self.zones_lag_s or 0.0)

    def pace(self, is_in_demand: bool) -> ReadingPace:
        """Read pace of a replica machine; in demand: often enough that its updates are fresh."""
        if is_in_demand:
            return ReadingPace(self.interval_s, DEMAND_PAUSE_S, self.zones_wait_s)
        return ReadingPace(self.idle_wait_s, self.pause_s, self.idle_wait_s)
