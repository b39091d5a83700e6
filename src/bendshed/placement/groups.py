"""Groups of the turn log: one for each region, or a single one for all. Pure.

The number of groups follows from the regions that operators declare, so that all nodes agree on it
without a message. Each group's share of a program's budget depends on that number.
"""

from dataclasses import dataclass, field

from bendshed.identifiers import group_of
from bendshed.model.places import Places


@dataclass(frozen=True, slots=True)
class TurnGroups:
    """The turn log's groups, numbered from 0.

    Attributes:
        places: zones and regions.
        homes: home region of each group; empty for a single group.

    """

    places: Places = field(default_factory=Places)
    homes: tuple[str, ...] = ("",)

    @classmethod
    def from_places(cls, places: Places, is_regional: bool = True) -> "TurnGroups":
        """One group for each declared region; a single group if at most one is declared.

        Args:
            places: declared zones and regions.
            is_regional: ``False``: a single group, whatever is declared.

        """
        regions = tuple(region for region in places.regions if region)
        if not is_regional or len(regions) < 2:
            return cls(places)
        return cls(places, regions)

    @property
    def count(self) -> int:
        """Number of groups."""
        return len(self.homes)

    @property
    def ids(self) -> range:
        """Ids of all groups."""
        return range(self.count)

    def other_ids(self, group_id: int) -> list[int]:
        """Ids of all groups but one."""
        return [number for number in self.ids if number != group_id]

    def home_group_of_zone(self, zone: str) -> int:
        """The group that serves the callers of a zone; 0 if its region is no group's home."""
        region = self.places.region(zone)
        return self.homes.index(region) if region in self.homes else 0

    def home_group_of_tenant(self, tenant: str) -> int:
        """Home group of a tenant: the one that stores its programs, turns and usage."""
        return group_of(tenant, self.count)

    def home_zones(self, group_id: int) -> frozenset[str] | None:
        """Zones of a group's home region; ``None``: it is the only group and has no home region."""
        if self.count == 1:
            return None
        home = self.homes[group_id]
        return frozenset(zone for zone, region in self.places.region_of.items() if region == home)


ONE_GROUP = TurnGroups()
"""Groups of an installation without regions."""
