"""Computes what a turn loses by the distance between its node and its runner. Pure.

Costs are in milliseconds of the turn, as everywhere in `placement/`. A path costs its round trip,
since the first event arrives that much later; a new connection costs one more round trip; bytes
cost what operators configure.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from typing import Annotated

from msgspec import Meta

from bendshed.model.places import Distance, Places

DEFAULT_ROUND_TRIP_MS: Mapping[Distance, float] = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: 2.0,
    Distance.OTHER_REGION: 60.0,
}
"""Round trips, in milliseconds, assumed until one of the kind was measured, some seconds after a
leader's start. Measured were 1 to 3 ms between zones of a region and 60 ms between regions."""
NEW_CONNECTION_COST_MS = 30.0
"""Cost, in milliseconds, of a new connection in addition to its round trip: the handshake occupies
a slot, and operators pay for connections. At 60 ms, bursts were concentrated on few runners, and
the score for the worth of the work served in a day's burst was 0.60 to 0.73."""
ANSWER_TOKEN_BYTES = 8
"""Estimated bytes of an answer per token: four of text and four of event framing. Used only if the
cost of bytes or the link's rate is configured; both are unset by default."""
BYTES_PER_KB = 1000.0

NonNegative = Annotated[float, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class LinkSettings:
    """Properties of links that no node can measure: the settings' section ``placement``.

    Attributes:
        zone_ms_per_kb: cost of a kilobyte that leaves its zone, in milliseconds of a turn; 0: none.
        region_ms_per_kb: additional cost of a kilobyte that leaves its region.
        region_mbit_per_s: rate of the link between two regions; 0: unknown.

    """

    zone_ms_per_kb: NonNegative = 0.0
    region_ms_per_kb: NonNegative = 0.0
    region_mbit_per_s: NonNegative = 0.0


LINK_SETTING_NAMES = frozenset(field.name for field in fields(LinkSettings))
LINK_SETTINGS_HINT = f"use one of {', '.join(sorted(LINK_SETTING_NAMES))}"


@dataclass(slots=True)
class DistanceCosts:
    """Costs by the distance between a node and a runner.

    Attributes:
        measured_round_trip_ms: round trips by kind; for others ``DEFAULT_ROUND_TRIP_MS`` holds.

    """

    places: Places = field(default_factory=Places)
    link: LinkSettings = field(default_factory=LinkSettings)
    measured_round_trip_ms: Mapping[Distance, float] = field(default_factory=dict)

    def paths(self, zone: str, num_bytes: int) -> "TurnPaths":
        """Costs of one turn by the runner's zone; see ``cost_ms``."""
        return TurnPaths(self, zone, num_bytes)

    def cost_ms(self, kind: Distance, is_connected: bool, num_bytes: int) -> float:
        """What a turn loses over such a distance, in milliseconds.

        Args:
            kind: distance between the node and the runner.
            is_connected: whether the node has an idle connection there; else one is opened first.
            num_bytes: bytes that the turn transfers in both directions.

        """
        round_trip_ms = self._round_trip_ms(kind)
        cost_ms = round_trip_ms + self._ms_per_kb(kind) * num_bytes / BYTES_PER_KB
        return cost_ms if is_connected else cost_ms + NEW_CONNECTION_COST_MS + round_trip_ms

    def _round_trip_ms(self, kind: Distance) -> float:
        """Round trip; 0 within a zone, since all candidates have that part in common."""
        if kind is Distance.SAME_ZONE:
            return 0.0
        return self.measured_round_trip_ms.get(kind, DEFAULT_ROUND_TRIP_MS[kind])

    def _ms_per_kb(self, kind: Distance) -> float:
        """Configured cost of a kilobyte."""
        if kind is Distance.SAME_ZONE:
            return 0.0
        is_other_region = kind is Distance.OTHER_REGION
        return self.link.zone_ms_per_kb + (self.link.region_ms_per_kb if is_other_region else 0.0)


@dataclass(frozen=True, slots=True)
class PathCost:
    """What a turn loses by the path to runners of one zone, in milliseconds.

    Attributes:
        connected_ms: cost over an idle connection.
        new_connection_ms: cost over a connection that is opened first.

    """

    kind: Distance
    connected_ms: float
    new_connection_ms: float


class TurnPaths(dict[str, PathCost]):
    """Path costs of one turn by the runner's zone, computed once for all runners of a zone."""

    def __init__(self, costs: DistanceCosts, zone: str, num_bytes: int) -> None:
        super().__init__()
        self._costs = costs
        self._zone = zone
        self._num_bytes = num_bytes

    def __missing__(self, zone: str) -> PathCost:
        """Compute the costs of a zone at its first lookup."""
        kind = self._costs.places.distance(self._zone, zone)
        connected_ms = self._costs.cost_ms(kind, True, self._num_bytes)
        new_connection_ms = self._costs.cost_ms(kind, False, self._num_bytes)
        self[zone] = PathCost(kind, connected_ms, new_connection_ms)
        return self[zone]

    @property
    def has_other_region(self) -> bool:
        """Whether any zone that was looked up is in another region."""
        return any(path.kind is Distance.OTHER_REGION for path in self.values())
