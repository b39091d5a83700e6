"""Age of a node's catalog: when the registry last confirmed each part of it."""

import asyncio
import math
from collections.abc import Callable

from bendshed.catalog.messages import NEVER_CONFIRMED_MS
from bendshed.catalog.parts import SERVED_PARTS, CatalogPart
from bendshed.catalog.times import CatalogTimes
from bendshed.catalog.zones import ClosedZoneTracker

NEVER_CONFIRMED_S = -1.0
"""Age in the metrics of what the registry has not confirmed."""


class ConfirmationAge:
    """Time since the registry confirmed one part of what a node knows."""

    def __init__(self) -> None:
        self._clock: Callable[[], float] = lambda: math.inf  # the loop's clock once confirmed
        self._confirmed_at_s = -math.inf

    def confirm(self, age_s: float) -> None:
        """Record that the registry confirmed the part ``age_s`` ago."""
        self._clock = asyncio.get_running_loop().time
        self._confirmed_at_s = max(self._confirmed_at_s, self._clock() - age_s)

    @property
    def seconds(self) -> float:
        """Age in seconds; infinite: never confirmed."""
        return self._clock() - self._confirmed_at_s

    def read(self) -> float:
        """Return the age as metrics show it."""
        return self.seconds if self._confirmed_at_s > -math.inf else NEVER_CONFIRMED_S


class Confirmations:
    """Loop times at which the registry confirmed each part since the process started."""

    def __init__(self, times: CatalogTimes, zones: ClosedZoneTracker) -> None:
        self._at_s: dict[CatalogPart, float] = {}
        self._times = times
        self._zones = zones

    def confirm(self, part: CatalogPart, age_s: float = 0.0) -> None:
        """Record that the registry confirmed a part ``age_s`` ago."""
        at_s = asyncio.get_running_loop().time() - age_s
        self._at_s[part] = max(at_s, self._at_s.get(part, at_s))
        if part is CatalogPart.ZONES:
            self._zones.confirm(age_s)

    def confirmed_s(self, part: CatalogPart) -> float:
        """Loop time at which the registry last confirmed a part; minus infinity: never."""
        return self._at_s.get(part, -math.inf)

    def ages_s(self) -> dict[CatalogPart, float]:
        """Age of each part that the registry confirmed since the process started, in seconds."""
        now_s = asyncio.get_running_loop().time()
        return {part: max(0.0, now_s - at_s) for part, at_s in self._at_s.items()}

    def age_ms(self) -> int:
        """Age of the oldest part; ``NEVER_CONFIRMED_MS`` while one was never confirmed.

        The lag that is allowed for closed zones does not count. Machines of an earlier build know
        no other age.
        """
        ages_s = self.ages_s()
        if any(part not in ages_s for part in self._parts):
            return NEVER_CONFIRMED_MS
        oldest_s = max(ages_s[part] - self._times.lag_s(part) for part in self._parts)
        return int(max(0.0, oldest_s) * 1000)

    @property
    def _parts(self) -> list[CatalogPart]:
        """Parts that this installation reads from the registry, and that requests depend on."""
        is_read = {CatalogPart.ZONES: self._times.follows_zones}
        return [part for part in SERVED_PARTS if is_read.get(part, True)]
