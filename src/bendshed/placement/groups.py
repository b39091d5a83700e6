"""Groups of the turn log: one whose home is each region, or one for all. Pure.

The number of groups follows from the regions that operators declare, so that all nodes agree on it
without a message: each group's share of a program's budget depends on it.
"""

from dataclasses import dataclass, field

from bendshed.identifiers import group_of
from bendshed.model.places import Places


@dataclass(frozen=True, slots=True)
class TurnGroups:
    """The turn log's groups, numbered from 0.

    Attributes:
        places: zones and regions.
        homes: region of each group; a single group has none.

    """

    places: Places = field(default_factory=Places)
    homes: tuple[str, ...] = ("",)

    @classmethod
    def from_places(cls, places: Places, is_regional: bool = True) -> "TurnGroups":
        """One group for each declared region; one in all where at most one is declared.

        Args:
            places: as declared.
            is_regional: ``False``: one group whatever is declared.

        """
        regions = tuple(region for region in places.regions if region)
        if not is_regional or len(regions) < 2:
            return cls(places)
        return cls(places, regions)

    @property
    def count(self) -> int:
        """How many groups there are."""
        return len(self.homes)

    @property
    def ids(self) -> range:
        """All groups."""
        return range(self.count)

    def other_ids(self, group_id: int) -> list[int]:
        """All groups but one."""
        return [number for number in self.ids if number != group_id]

    def home_group_of_zone(self, zone: str) -> int:
        """The group that serves the callers of a zone; 0 where its region is no group's home."""
        region = self.places.region(zone)
        return self.homes.index(region) if region in self.homes else 0

    def home_group_of_tenant(self, tenant: str) -> int:
        """Home group of a tenant: the one that holds its programs, turns and usage."""
        return group_of(tenant, self.count)

    def home_zones(self, group_id: int) -> frozenset[str] | None:
        """Zones of a group's home region; ``None``: it has none, as the only group."""
        if self.count == 1:
            return None
        home = self.homes[group_id]
        return frozenset(zone for zone, region in self.places.region_of.items() if region == home)


ONE_GROUP = TurnGroups()
"""An installation without regions."""
