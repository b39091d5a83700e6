"""When the registry last confirmed each part of a replica machine's catalog, and so its age."""

import asyncio
from enum import StrEnum

from bendshed.catalog.messages import NEVER_CONFIRMED_MS
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.zones import ClosedZoneTracker


class CatalogPart(StrEnum):
    """Parts that the registry confirms each by itself."""

    DOCUMENT = "document"
    RUNNERS = "runners"
    ZONES = "zones"


class Confirmations:
    """Loop times at which the registry confirmed each part, in this incarnation of the process."""

    def __init__(self, times: CatalogTimes, zones: ClosedZoneTracker) -> None:
        self._at_s: dict[CatalogPart, float] = {}
        self._times = times
        self._zones = zones

    def confirm(self, part: CatalogPart, age_s: float = 0.0) -> None:
        """The registry confirmed a part so long ago."""
        at_s = asyncio.get_running_loop().time() - age_s
        self._at_s[part] = max(at_s, self._at_s.get(part, at_s))
        if part is CatalogPart.ZONES:
            self._zones.confirm(age_s)

    def confirm_all(self, age_s: float) -> None:
        """Another machine's catalog was confirmed so long ago, closed zones perhaps earlier."""
        for part in self._parts:
            self.confirm(part, age_s + self._lag_s(part))

    def age_ms(self) -> int:
        """Age of the oldest part; ``NEVER_CONFIRMED_MS`` while one was never confirmed.

        Closed zones may be older than the rest by a lag that does not count.
        """
        now_s = asyncio.get_running_loop().time()
        if any(part not in self._at_s for part in self._parts):
            return NEVER_CONFIRMED_MS
        ages_s = [now_s - self._at_s[part] - self._lag_s(part) for part in self._parts]
        return int(max(0.0, *ages_s) * 1000)

    @property
    def _parts(self) -> list[CatalogPart]:
        """What the registry must confirm here."""
        is_read = {CatalogPart.ZONES: self._times.follows_zones}
        return [part for part in CatalogPart if is_read.get(part, True)]

    def _lag_s(self, part: CatalogPart) -> float:
        """How much older than the others a part may be."""
        return (self._times.zones_lag_s or 0.0) if part is CatalogPart.ZONES else 0.0
