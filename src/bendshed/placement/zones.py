"""Closed zones as known to one node, from the updates that it received. Pure.

An update lists every closed zone as of a revision of the registry, and the zones that were reopened
recently: a node that missed both the closing and the reopening must still treat their runners as
cold.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bendshed.placement.eligibility import ClosedZones, RunnerFilter

__all__ = ["ClosedZones", "OpenedZone", "RunnerFilter", "ZoneChanges", "ZoneRecord", "ZoneUpdate"]

REOPENED_REPORTED_S = 60.0
"""Time, in seconds, for which updates include a reopening; covers a node that receives no update
for that long."""
REOPENED_KNOWN_S = 2 * REOPENED_REPORTED_S
"""Time, in seconds, for which a reopening is remembered: longer than updates include it, so that a
late update does not count as a second reopening."""
SAME_OPENING_S = 1.0
"""Reopenings of a zone whose times differ by no more than this, in seconds, are the same one: an
update takes less time between two nodes."""


@dataclass(frozen=True, slots=True)
class ZoneUpdate:
    """Closed zones as known to one source.

    Attributes:
        zones: all closed zones as of a revision.
        reopened_ago_s: seconds since each recent reopening, by zone; the receiver may never have
            known that the zone was closed.

    """

    zones: ClosedZones = field(default_factory=ClosedZones)
    reopened_ago_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OpenedZone:
    """A zone that was reopened and may get work again.

    Attributes:
        at_s: steady time of the reopening, as far as known.

    """

    zone: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ZoneChanges:
    """Changes made by an update.

    Attributes:
        closed: zones that get no new work from now on.
        opened: zones that may get new work again; their runners may be cold.

    """

    closed: tuple[str, ...] = ()
    opened: tuple[OpenedZone, ...] = ()

    def __bool__(self) -> bool:
        """Whether anything changed."""
        return bool(self.closed or self.opened)


@dataclass(slots=True)
class ZoneRecord:
    """Closed zones as known to one node.

    Invariant: the known revision never decreases.

    Attributes:
        zones: closed zones of the newest update.
        changed_revision: revision of the update that last changed which zones are closed.
        closed_since_s: steady time at which this node received each closing.
        opened_at_s: steady time of reopenings, for ``REOPENED_KNOWN_S``.

    """

    zones: ClosedZones = field(default_factory=ClosedZones)
    changed_revision: int = 0
    closed_since_s: dict[str, float] = field(default_factory=dict)
    opened_at_s: dict[str, float] = field(default_factory=dict)

    def apply(self, update: ZoneUpdate, now_s: float) -> ZoneChanges:
        """Apply an update; one older than the known revision changes nothing."""
        latest = update.zones
        if latest.revision < self.zones.revision or latest.revision == 0:
            return ZoneChanges()
        closed = tuple(sorted(latest.closed - self.zones.closed))
        opened = self._opened_by(update, now_s)
        if latest.closed != self.zones.closed or not self.changed_revision:
            self.changed_revision = latest.revision
        self.zones = latest
        for zone in closed:
            self.closed_since_s[zone] = now_s
            self.opened_at_s.pop(zone, None)
        for opening in opened:
            self.closed_since_s.pop(opening.zone, None)
            self.opened_at_s[opening.zone] = opening.at_s
        return ZoneChanges(closed, opened)

    def _opened_by(self, update: ZoneUpdate, now_s: float) -> tuple[OpenedZone, ...]:
        """Zones reopened by an update, including those whose closing this node never received."""
        open_again = self.zones.closed - update.zones.closed
        opened = {zone: now_s for zone in open_again}
        for zone, ago_s in update.reopened_ago_s.items():
            if zone in update.zones.closed:
                continue
            at_s = now_s - ago_s
            if zone in open_again or self._is_new_opening(zone, at_s):
                opened[zone] = at_s
        return tuple(OpenedZone(zone, at_s) for zone, at_s in sorted(opened.items()))

    def _is_new_opening(self, zone: str, at_s: float) -> bool:
        last_opened_s = self.opened_at_s.get(zone)
        return last_opened_s is None or at_s > last_opened_s + SAME_OPENING_S

    def forget_old(self, now_s: float) -> bool:
        """Forget old reopenings; ``False``: none was old."""
        old = [zone for zone, at_s in self.opened_at_s.items() if now_s - at_s > REOPENED_KNOWN_S]
        for zone in old:
            del self.opened_at_s[zone]
        return bool(old)

    def make_update(self, now_s: float) -> ZoneUpdate:
        """Create the update that this node sends to others."""
        reopened = {
            zone: max(0.0, now_s - at_s)
            for zone, at_s in self.opened_at_s.items()
            if now_s - at_s <= REOPENED_REPORTED_S
        }
        return ZoneUpdate(self.zones, reopened)
