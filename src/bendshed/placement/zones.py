"""Which runners may get new work at all: closed zones and allowed regions. Pure.

One predicate answers for every way by which a request reaches a runner: a leader's advice, a node's
own choice, a retry, a resumed stream.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from bendshed.placement.places import Places
from bendshed.services.runners import ServiceRunner


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

    def may_get(self, runner: ServiceRunner, regions: Collection[str] | None = None) -> bool:
        """Whether a runner may be sent a request that is allowed in some regions.

        ``None``: anywhere; empty: nowhere, since route and tenant contradict each other.
        """
        if runner.zone in self.zones.closed:
            return False
        return self.places.is_within(runner.zone, regions)
