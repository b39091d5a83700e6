"""Known zones of other hosts, and the expected round trip by distance. Pure."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from bendshed.median import median
from bendshed.model.address import Address
from bendshed.model.places import Distance, Places

DEFAULT_ROUND_TRIPS_S: Mapping[Distance | None, float] = {
    None: 0.001,
    Distance.SAME_ZONE: 0.001,
    Distance.SAME_REGION: 0.002,
    Distance.OTHER_REGION: 0.1,
}
"""Round trip assumed until one was measured. The default between regions is too long rather than
too short, because a request that times out too early is sent twice; regions of one continent are 10
to 80 ms apart."""
MAX_HOSTS = 8_000
"""Maximum number of hosts of nodes and runners, at some 150 bytes each; the one recorded longest
ago is dropped first."""


@dataclass(slots=True)
class HostLocations:
    """Zones of other nodes by host.

    Attributes:
        zone: zone of this process.
        places: regions of all zones.

    """

    zone: str = ""
    places: Places = field(default_factory=Places)
    _zone_of: dict[str, str] = field(default_factory=dict)

    def put(self, host: str, zone: str) -> None:
        """Record the zone that a host reported; an empty one is ignored."""
        if not zone:
            return
        self._zone_of.pop(host, None)
        self._zone_of[host] = zone
        if len(self._zone_of) > MAX_HOSTS:
            del self._zone_of[next(iter(self._zone_of))]

    def zone_of(self, host: str) -> str:
        """Zone of a host; empty if unknown."""
        return self._zone_of.get(host, "")

    def distance(self, host: str) -> Distance | None:
        """Distance of a host from this process; ``None`` if its zone is unknown."""
        zone = self._zone_of.get(host)
        return self.places.distance(self.zone, zone) if zone is not None else None

    def is_far(self, host: str) -> bool:
        """Whether a host is known to be located in another region."""
        return self.distance(host) is Distance.OTHER_REGION

    def expected_round_trip_s(self, host: str, measured_s: float | None) -> float:
        """Return the measured round trip to a host, or the default for its distance."""
        return measured_s if measured_s is not None else DEFAULT_ROUND_TRIPS_S[self.distance(host)]

    def are_in_same_region(self, host: str, other: str) -> bool:
        """Whether two hosts are known to be located in one region."""
        zone, other_zone = self._zone_of.get(host), self._zone_of.get(other)
        if zone is None or other_zone is None:
            return False
        return self.places.region(zone) == self.places.region(other_zone)

    def medians_s(self, round_trips_s: Mapping[Address, float]) -> dict[Distance, float]:
        """Return the median round trip of each distance that was measured."""
        by_kind: dict[Distance, list[float]] = {}
        for peer, took_s in round_trips_s.items():
            kind = self.distance(peer.host)
            if kind is not None:
                by_kind.setdefault(kind, []).append(took_s)
        return {kind: median(found) for kind, found in by_kind.items()}
