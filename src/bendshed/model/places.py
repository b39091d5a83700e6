"""Location of machines and runners: zones, regions, and the distance between zones. No I/O."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class Distance(StrEnum):
    """Distance between two zones."""

    SAME_ZONE = "same_zone"
    SAME_REGION = "same_region"
    """A different zone of the same region."""
    OTHER_REGION = "other_region"


@dataclass(frozen=True, slots=True)
class Places:
    """Zones and their regions, as operators declare them.

    A zone that is not declared is located in the region with the empty name.

    Attributes:
        region_of: region by zone.

    """

    region_of: Mapping[str, str] = field(default_factory=dict)

    def region(self, zone: str) -> str:
        """Return the region of a zone; empty if the zone is not declared."""
        return self.region_of.get(zone, "")

    @property
    def regions(self) -> list[str]:
        """All declared regions, in the same order on every node."""
        return sorted(set(self.region_of.values()))

    def distance(self, zone: str, other: str) -> Distance:
        """Return the distance between two zones."""
        if zone == other:
            return Distance.SAME_ZONE
        if self.region(zone) == self.region(other):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def is_within(self, zone: str, regions: Collection[str] | None) -> bool:
        """Return whether a zone is in one of the regions; ``None`` allows any region."""
        return regions is None or self.region(zone) in regions
