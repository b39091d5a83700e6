"""The operator's requests to close zones in a simulated site, and what must follow from them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bendshed.placement.zones import ClosedZones, ZoneUpdate
from bendshed.rehearsal.site.records import Closing, SiteRecords

ZONE_CLOSE_S = 3.0
"""A closed zone gets nothing new after this time."""
RUNNER_ZONES = ("zone-a", "zone-b")


@dataclass(slots=True)
class SimZones:
    """Closed zones as the simulated registry holds them.

    Attributes:
        next_revision: raises the registry's revision and returns it.
        older: the update before the last change.

    """

    seen: SiteRecords
    next_revision: Callable[[], int]
    closed: frozenset[str] = frozenset()
    older: ZoneUpdate = field(default_factory=ZoneUpdate)
    _opened_at: dict[str, int] = field(default_factory=dict)
    _changed_at: int = 0

    def close(self, zone: str, now_s: float) -> None:
        """The operator closes a zone; the registry acknowledges it at once."""
        if zone in self.closed:
            return
        self._change(self.closed | {zone})
        self.seen.closings.append(Closing(zone, now_s))

    def open(self, zone: str, now_s: float) -> None:
        """The operator takes it back."""
        if zone not in self.closed:
            return
        self._change(self.closed - {zone})
        self._opened_at[zone] = self._changed_at
        for closing in self.seen.closings:
            if closing.zone == zone:
                closing.opened_s = min(closing.opened_s, now_s)

    def _change(self, closed: frozenset[str]) -> None:
        self.older = ZoneUpdate(ClosedZones(self._changed_at, self.closed))
        self._changed_at = self.next_revision()
        self.closed = closed

    def update_since(self, since: int, at: int) -> ZoneUpdate:
        """The update, at revision ``at``, for a node that knows all up to revision ``since``."""
        gone = [zone for zone, opened_at in self._opened_at.items() if opened_at > since]
        reopened = dict.fromkeys(set(gone) - self.closed, 0.0)
        return ZoneUpdate(ClosedZones(at, self.closed), reopened)

    def mark_stored(self, now_s: float) -> None:
        """All machines were healthy and had time to receive and store what is closed now."""
        for closing in self.seen.closings:
            if closing.zone in self.closed and closing.stored_s is None:
                closing.stored_s = now_s


def runs_in_closed_zones(seen: SiteRecords) -> Iterable[str]:
    """Requests that reached a runner of a closed zone after the bound.

    Fronts that could not receive the update are judged only if all machines had stored it before.
    """
    fronts = {request.request_id: request.node for request in seen.requests}
    for closing in seen.closings:
        for run in seen.runs:
            if seen.zones_of[run.runner_id] != closing.zone:
                continue
            if not closing.closed_s + ZONE_CLOSE_S < run.arrived_s < closing.opened_s:
                continue
            was_stored = closing.stored_s is not None and closing.stored_s < run.arrived_s
            front = fronts[run.request_id]
            if was_stored or not seen.was_blind(front, closing.closed_s, run.arrived_s):
                late_s = run.arrived_s - closing.closed_s
                yield f"{run.request_id} reached {run.runner_id} {late_s:.1f} s after the closing"
