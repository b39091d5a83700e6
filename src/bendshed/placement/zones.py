"""Which runners may get new work at all: closed zones and allowed regions. Pure.

One predicate answers for every way by which a request reaches a runner: a leader's advice, a node's
own choice, a retry, a resumed stream.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from bendshed.model.places import Places

REOPENED_TOLD_S = 60.0
"""Others are told of an opened zone for this long; a longer standstill is not reckoned with."""
REOPENED_KNOWN_S = 2 * REOPENED_TOLD_S
"""It is remembered for longer, so that a late word of it is no second opening."""
SAME_OPENING_S = 1.0
"""Two words of an opening whose times differ by less are one: what a word spends on its way."""


class Standing(Protocol):
    """Something that stands in a zone."""

    @property
    def zone(self) -> str:
        """Its zone."""


@dataclass(frozen=True, slots=True)
class ClosedZones:
    """Zones that operators closed, as of a revision of the registry.

    Attributes:
        at: revision up to which this is known; 0: nothing is known.
        closed: names of the zones.

    """

    at: int = 0
    closed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RunnerFilter:
    """Who may get a request.

    Attributes:
        zones: closed ones.
        places: regions of all zones.

    """

    zones: ClosedZones = field(default_factory=ClosedZones)
    places: Places = field(default_factory=Places)

    def may_get(self, runner: Standing, regions: Collection[str] | None = None) -> bool:
        """Whether a runner may be sent a request that is allowed in some regions.

        ``None``: anywhere; empty: nowhere, since route and tenant contradict each other.
        """
        if runner.zone in self.zones.closed:
            return False
        return self.places.is_within(runner.zone, regions)

    def lets_all(self, regions: Collection[str] | None) -> bool:
        """Whether no runner is shut out, so that nobody need be asked (the usual case)."""
        return regions is None and not self.zones.closed


@dataclass(frozen=True, slots=True)
class ZoneUpdate:
    """What one source tells of closed zones.

    Attributes:
        zones: all that are closed, as of a revision.
        reopened_ago_s: zones that were opened a moment ago, also such as were never heard closed;
            by name, seconds.

    """

    zones: ClosedZones = field(default_factory=ClosedZones)
    reopened_ago_s: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OpenedZone:
    """A zone that may get work again, and since when as far as known (steady time)."""

    zone: str
    at_s: float


@dataclass(frozen=True, slots=True)
class ZoneChanges:
    """What a word changed.

    Attributes:
        closed: zones that get nothing new from now on.
        opened: zones that may again; their runners may be cold.

    """

    closed: tuple[str, ...] = ()
    opened: tuple[OpenedZone, ...] = ()

    def __bool__(self) -> bool:
        """Whether anything changed."""
        return bool(self.closed or self.opened)


@dataclass(slots=True)
class ZoneRecord:
    """Closed zones as one node knows them.

    Invariant: what is known never goes back to an older revision.

    Attributes:
        zones: the newest word.
        changed_at: revision of the word that last changed which zones are closed.
        closed_since_s: steady time at which each closed zone was first heard closed.
        opened_at_s: steady time at which zones were opened, for those opened lately.

    """

    zones: ClosedZones = field(default_factory=ClosedZones)
    changed_at: int = 0
    closed_since_s: dict[str, float] = field(default_factory=dict)
    opened_at_s: dict[str, float] = field(default_factory=dict)

    def take(self, word: ZoneUpdate, now_s: float) -> ZoneChanges:
        """Take a word; one older than what is known changes nothing."""
        told = word.zones
        if told.at < self.zones.at or told.at == 0:
            return ZoneChanges()
        closed = tuple(sorted(told.closed - self.zones.closed))
        opened = self._opened_by(word, now_s)
        if told.closed != self.zones.closed or not self.changed_at:
            self.changed_at = told.at
        self.zones = told
        for zone in closed:
            self.closed_since_s[zone] = now_s
            self.opened_at_s.pop(zone, None)
        for row in opened:
            self.closed_since_s.pop(row.zone, None)
            self.opened_at_s[row.zone] = row.at_s
        return ZoneChanges(closed, opened)

    def _opened_by(self, word: ZoneUpdate, now_s: float) -> tuple[OpenedZone, ...]:
        """Zones that were closed here, and such as were closed and opened unheard."""
        open_again = self.zones.closed - word.zones.closed
        heard = {zone: now_s for zone in open_again}
        for zone, ago_s in word.reopened_ago_s.items():
            if zone in word.zones.closed:
                continue
            at_s = now_s - ago_s
            if zone in open_again or self._is_news(zone, at_s):
                heard[zone] = at_s
        return tuple(OpenedZone(zone, at_s) for zone, at_s in sorted(heard.items()))

    def _is_news(self, zone: str, at_s: float) -> bool:
        known_s = self.opened_at_s.get(zone)
        return known_s is None or at_s > known_s + SAME_OPENING_S

    def forget_old(self, now_s: float) -> bool:
        """Forget old openings; ``False``: none was old."""
        old = [zone for zone, at_s in self.opened_at_s.items() if now_s - at_s > REOPENED_KNOWN_S]
        for zone in old:
            del self.opened_at_s[zone]
        return bool(old)

    def word(self, now_s: float) -> ZoneUpdate:
        """What this node tells others."""
        reopened = {
            zone: max(0.0, now_s - at_s)
            for zone, at_s in self.opened_at_s.items()
            if now_s - at_s <= REOPENED_TOLD_S
        }
        return ZoneUpdate(self.zones, reopened)
