"""Decides which runners are eligible for a request. Pure.

A runner is eligible if it is listed, ready, in no closed zone, in a region that the request's
route and tenant allow (`placement/allowed_regions.py`), and, for a resumed stream, of the software
version that began the stream. The same rule applies to every path of a
request to a runner: the leader's placement, a node's own choice, a retry, a resumed stream. Cold
runners are eligible, but need a permit (`admission/cold_permits.py`).
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from bendshed.model.places import Places
from bendshed.model.runner import RunnerState, ServiceRunner
from bendshed.placement.runner_record import RunnerRecord


class Located(Protocol):
    """An object that is located in a zone."""

    @property
    def zone(self) -> str:
        """Name of the zone."""


@dataclass(frozen=True, slots=True)
class ClosedZones:
    """Zones that operators closed, as of a revision of the registry.

    Attributes:
        revision: revision up to which this is known; 0: nothing is known.
        closed: names of the zones.

    """

    revision: int = 0
    closed: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RunnerFilter:
    """Restricts requests to runners in open zones and allowed regions.

    Attributes:
        zones: closed zones.
        places: regions of all zones.

    """

    zones: ClosedZones = field(default_factory=ClosedZones)
    places: Places = field(default_factory=Places)

    def allows(self, runner: Located, regions: Collection[str] | None = None) -> bool:
        """Whether a request may run at a runner, by the runner's zone and region.

        Args:
            runner: the runner or its location.
            regions: regions in which the request may run; ``None``: any; empty: none, since route
                and tenant contradict each other.

        """
        if runner.zone in self.zones.closed:
            return False
        return self.places.is_within(runner.zone, regions)

    def allows_all(self, regions: Collection[str] | None) -> bool:
        """Whether every zone and region is allowed (the usual case), so no runner is checked."""
        return regions is None and not self.zones.closed


def eligible_runners(
    records: Iterable[RunnerRecord], runner_filter: RunnerFilter, regions: Collection[str] | None
) -> list[RunnerRecord]:
    """Eligible runners of a service; if none are listed, its last resorts."""
    allowed = _allowed(_ready(records), runner_filter, regions)
    listed = [record for record in allowed if record.is_listed]
    return listed or allowed


def are_all_excluded(
    records: Iterable[RunnerRecord], runner_filter: RunnerFilter, regions: Collection[str] | None
) -> bool:
    """Whether runners are ready, but each is in a closed zone or a region that is not allowed.

    A request is then refused at once, since waiting for a runner would not help.
    """
    if runner_filter.allows_all(regions):
        return False
    ready = _ready(records)
    return bool(ready) and not _allowed(ready, runner_filter, regions)


def may_continue_stream(runner: ServiceRunner, software_version: str) -> bool:
    """Whether a runner may continue a stream of a software version; empty: it is a new stream."""
    return not software_version or runner.software_version == software_version


def _ready(records: Iterable[RunnerRecord]) -> list[RunnerRecord]:
    return [record for record in records if record.listed.state is RunnerState.READY]


def _allowed(
    records: list[RunnerRecord], runner_filter: RunnerFilter, regions: Collection[str] | None
) -> list[RunnerRecord]:
    if runner_filter.allows_all(regions):
        return records
    return [record for record in records if runner_filter.allows(record.listed, regions)]
