"""Where machines and runners are located: zones, regions, and the distance of two zones. Pure."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import StrEnum


class Distance(StrEnum):
    """Distance of two zones."""

    SAME_ZONE = "same_zone"
    SAME_REGION = "same_region"
    """Another zone of the same region."""
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
        """Region of a zone; empty: not declared."""
        return self.region_of.get(zone, "")

    @property
    def regions(self) -> list[str]:
        """All declared regions, in an order that all nodes share."""
        return sorted(set(self.region_of.values()))

    def distance(self, zone: str, other: str) -> Distance:
        """Distance of two zones."""
        if zone == other:
            return Distance.SAME_ZONE
        if self.region(zone) == self.region(other):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    def is_within(self, zone: str, regions: Collection[str] | None) -> bool:
        """Whether a zone is located in one of some regions; ``None``: in any."""
        return regions is None or self.region(zone) in regions
