"""A node's closed zones: applies updates, logs changes and calls handlers for reopened zones."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from prometheus_client import Gauge

from bendshed.logs import PartLog
from bendshed.model.places import Places
from bendshed.placement.zones import ClosedZones, RunnerFilter, ZoneRecord, ZoneUpdate

ZoneOpenedHandler = Callable[[str, float], None]
"""Called with a zone and the loop time at which it was reopened, as far as known."""

log = PartLog("zones")


class GaugeFactory(Protocol):
    """Creates gauges among the metrics of a process."""

    def gauge(self, name: str, text: str) -> Gauge:
        """Add a gauge."""


class ClosedZoneTracker:
    """Tracks the closed zones of one node.

    Attributes:
        record: the closed zones that are known.
        on_zone_opened: called for each reopened zone, since its runners may be cold.
        confirmed_at_s: loop time at which the registry last confirmed it; ``None``: not yet.

    """

    def __init__(self, places: Places) -> None:
        self.record = ZoneRecord()
        self.on_zone_opened: list[ZoneOpenedHandler] = []
        self.confirmed_at_s: float | None = None
        self._places = places
        self._clock: Callable[[], float] = lambda: 0.0  # the loop's clock after the first update

    @property
    def filter(self) -> RunnerFilter:
        """Filter of the runners that may get a request now."""
        return RunnerFilter(self.record.zones, self._places)

    def apply(self, update: ZoneUpdate) -> bool:
        """Apply an update; ``False``: nothing changed."""
        previous = self.record.zones
        since_s = dict(self.record.closed_since_s)
        now_s = self._now_s()
        changes = self.record.apply(update, now_s)
        revision = self.record.zones.revision
        for zone in changes.closed:
            log.say("zone closed", zone=zone, revision=revision)
        for row in changes.opened:
            closed_for_s = round(row.at_s - since_s.get(row.zone, row.at_s), 3)
            ago_ms = int((now_s - row.at_s) * 1000)
            log.say(
                "zone open again",
                zone=row.zone,
                revision=revision,
                ago_ms=ago_ms,
                closed_for_s=max(0.0, closed_for_s),
            )
            for on_opened in self.on_zone_opened:
                on_opened(row.zone, row.at_s)
        return bool(changes) or (previous.revision == 0 and revision > 0)

    def confirm(self, age_s: float) -> None:
        """Record that the registry confirmed what is known ``age_s`` ago."""
        at_s = self._now_s() - age_s
        self.confirmed_at_s = max(at_s, self.confirmed_at_s or at_s)

    def _now_s(self) -> float:
        self._clock = asyncio.get_running_loop().time
        return self._clock()

    def add_gauges(self, metrics: GaugeFactory) -> None:
        """Add gauges for the number of closed zones, the longest closing and the data's age."""
        closed = metrics.gauge("bendshed_closed_zones", "Zones that operators closed")
        closed.set_function(lambda: float(len(self.record.zones.closed)))
        longest = metrics.gauge(
            "bendshed_closed_zones_seconds", "Since the first of them was heard closed; 0: none is"
        )
        longest.set_function(self._closed_for_s)
        age = metrics.gauge(
            "bendshed_closed_zones_age_seconds", "Since the registry confirmed it; -1: never"
        )
        age.set_function(self._age_s)

    def _closed_for_s(self) -> float:
        since_s = self.record.closed_since_s.values()
        return self._clock() - min(since_s) if since_s else 0.0

    def _age_s(self) -> float:
        if self.confirmed_at_s is None:
            return -1.0
        return self._clock() - self.confirmed_at_s


def make_registry_update(
    names: frozenset[str], revision: int, reopened: frozenset[str]
) -> ZoneUpdate:
    """Build an update from a reply of the registry itself.

    Args:
        names: all closed zones.
        revision: revision of ``names``.
        reopened: zones reopened since the last update, whether they were known as closed or not.

    """
    return ZoneUpdate(ClosedZones(revision, names), dict.fromkeys(reopened - names, 0.0))
