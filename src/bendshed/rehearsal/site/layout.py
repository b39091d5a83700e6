"""Where the machines of a simulated site stand."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from bendshed.model.places import Places
from bendshed.placement.groups import TurnGroups
from bendshed.rehearsal.site.sim_zones import RUNNER_ZONES


@dataclass(frozen=True, slots=True)
class SiteLayout:
    """Machines by zone, and what lies between regions.

    Attributes:
        front_zones, store_zones: zone of each machine that is there from the start.
        num_voters: wanted voters of each group of the turn log.
        region_of: region by zone; empty: none is declared.
        between_regions_s: latency of one direction, on top of the one between zones.
        has_tenants: whether the configuration names tenants.
        runner_zones: zones of the runners of each service, in turn.
        is_regional: whether each region has a group of the turn log; else there is one in all.
        max_stores: with more stores than this none is replaced.

    """

    front_zones: tuple[str, ...]
    store_zones: tuple[str, ...]
    num_voters: int
    region_of: Mapping[str, str] = field(default_factory=dict)
    between_regions_s: float = 0.0
    has_tenants: bool = True
    max_stores: int = 6
    runner_zones: tuple[str, ...] = RUNNER_ZONES
    is_regional: bool = True

    @property
    def places(self) -> Places:
        """Zones and regions as the settings declare them."""
        return Places(self.region_of)

    @property
    def groups(self) -> TurnGroups:
        """The turn log's groups."""
        return TurnGroups.from_places(self.places, self.is_regional)

    def zone(self, number: int, has_disk: bool) -> str:
        """Zone of a machine by its number."""
        zones = self.store_zones if has_disk else self.front_zones
        return zones[number % len(zones)]


ONE_REGION = SiteLayout(
    front_zones=("zone-a", "zone-b", "zone-c"),
    store_zones=("zone-a", "zone-b", "zone-c", "zone-d"),
    num_voters=3,
)
"""Zones without a region: one group."""

SMALL = SiteLayout(
    front_zones=("zone-a", "zone-b", "zone-c"),
    store_zones=("zone-a", "zone-b", "zone-c"),
    num_voters=3,
    has_tenants=False,
)
"""One store a zone, each a voter, so none stands by."""

SMALL_WITH_SPARE = replace(SMALL, store_zones=("zone-a", "zone-b", "zone-c", "zone-a"))
"""The same with a store that stands by."""

THREE_ZONES = SiteLayout(
    front_zones=("zone-a", "zone-b", "zone-c"),
    store_zones=("zone-a", "zone-b", "zone-c") * 3 + ("zone-a",),
    num_voters=5,
    max_stores=10,
)
"""Ten stores, 4, 3 and 3 in three zones, of which one may be lost."""

_REGIONS = {
    **dict.fromkeys(("near-a", "near-b", "near-c"), "near"),
    **dict.fromkeys(("far-x", "far-y", "far-z"), "far"),
}
BETWEEN_REGIONS_S = 0.03

TWO_REGIONS = SiteLayout(
    front_zones=("near-a", "far-x", "near-b", "far-y"),
    store_zones=("near-a", "near-b", "near-c", "near-a", "far-x", "far-y", "far-z"),
    num_voters=5,
    region_of=_REGIONS,
    between_regions_s=BETWEEN_REGIONS_S,
    has_tenants=False,
    max_stores=8,
)
"""Two groups; programs of nobody's, so that both groups hold shares of their budgets."""

TWO_REGIONS_WITH_TENANTS = SiteLayout(
    TWO_REGIONS.front_zones,
    TWO_REGIONS.store_zones,
    TWO_REGIONS.num_voters,
    _REGIONS,
    BETWEEN_REGIONS_S,
    max_stores=TWO_REGIONS.max_stores,
)
"""Two groups; each tenant is held by one of them."""

_FOUR_ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


def two_zones_a_region(num_fronts: int) -> SiteLayout:
    """Two zones in each of two regions, with runners in all, before one group of the turn log."""
    return SiteLayout(
        front_zones=tuple(_FOUR_ZONES[number % 4] for number in range(num_fronts)),
        store_zones=_FOUR_ZONES,
        num_voters=3,
        region_of={"zone-a": "east", "zone-b": "east", "zone-c": "west", "zone-d": "west"},
        between_regions_s=BETWEEN_REGIONS_S,
        runner_zones=_FOUR_ZONES,
        is_regional=False,
    )
