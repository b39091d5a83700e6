"""Gauges of a replica machine, evaluated when metrics are scraped."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from bendshed.catalog.state import Catalog
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.consensus.host import GroupHost, HostedGroup
from bendshed.consensus.raft_types import Role
from bendshed.model.places import Distance
from bendshed.paths.echo import RegionReachability
from bendshed.placement.cluster_load import ClusterLoad
from bendshed.placement.distance import DistanceCosts
from bendshed.turns.metrics import TurnLogMetrics
from bendshed.turns.service import TurnService


@dataclass(frozen=True, slots=True)
class ReplicaGauges:
    """The objects that the gauges read."""

    host: GroupHost
    group_numbers: tuple[int, ...]
    directory: ReplicaDirectory
    service: TurnService
    load: ClusterLoad
    catalog: Catalog
    regions: RegionReachability
    distance: DistanceCosts

    def add_to(self, metrics: TurnLogMetrics) -> None:
        """Add all gauges."""
        self._add_group_gauges(metrics)
        readings: tuple[tuple[str, str, Callable[[], float]], ...] = (
            (
                "bendshed_budget_shares_taken",
                "Answers of other groups counted",
                lambda: self.service.shares.num_taken,
            ),
            (
                "bendshed_turns_placed",
                "Turns under way that were advised here",
                lambda: self.load.num_running,
            ),
            (
                "bendshed_cold_runners",
                "Listed runners that are cold",
                lambda: self.catalog.cold.num_cold,
            ),
            (
                "bendshed_turns_away",
                "Of them, those outside their front's region",
                lambda: self.load.num_redirected,
            ),
            (
                "bendshed_regions_unheard",
                "Regions of which nobody is heard",
                lambda: self.regions.num_unreachable,
            ),
        )
        for name, text, read in readings:
            metrics.gauge(name, text).set_function(partial(_read_as_float, read))
        round_trips = metrics.labelled_gauge(
            "bendshed_round_trip_ms", "Median round trip to replica machines", "distance"
        )
        for kind in Distance:
            round_trips.labels(kind.value).set_function(partial(self._round_trip_ms, kind))

    def _add_group_gauges(self, metrics: TurnLogMetrics) -> None:
        readings: dict[str, tuple[str, Callable[[HostedGroup], float]]] = {
            "bendshed_turn_log_leader": (
                "1 while this replica leads",
                lambda group: float(group.replica.role is Role.LEADER),
            ),
            "bendshed_turn_log_term": ("Term", lambda group: group.replica.term),
            "bendshed_turn_log_commit_index": (
                "Last committed entry",
                lambda group: group.replica.commit_index,
            ),
            "bendshed_turn_log_voters": (
                "Voters of the membership in the log",
                lambda group: len(group.replica.membership.voters),
            ),
            "bendshed_turn_log_voters_in_a_zone": (
                "Most voters that stand in one zone",
                self._max_voters_in_zone,
            ),
        }
        for name, (text, read) in readings.items():
            gauge = metrics.labelled_gauge(name, text, "group")
            for number in self.group_numbers:
                gauge.labels(str(number)).set_function(partial(self._read_group, read, number))

    def _read_group(self, read: Callable[[HostedGroup], float], number: int) -> float:
        """Read a value of a group; 0 if this process holds no replica of it."""
        group = self.host.groups.get(number)
        return float(read(group)) if group is not None else 0.0

    def _max_voters_in_zone(self, group: HostedGroup) -> float:
        zone_of = {node.node_id: node.zone for node in self.directory.by_name.values()}
        zones = Counter(zone_of.get(node, node) for node in group.replica.membership.voters)
        return float(max(zones.values(), default=0))

    def _round_trip_ms(self, kind: Distance) -> float:
        """Return the measured round trip; 0: no machine at this distance was measured."""
        return self.distance.measured_round_trip_ms.get(kind, 0.0)


def _read_as_float(read: Callable[[], float]) -> float:
    return float(read())
