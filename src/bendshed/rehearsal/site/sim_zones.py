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
        older: what was told before the last change.

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

    def word(self, since: int, at: int) -> ZoneUpdate:
        """What the registry tells at a revision who knows all up to another."""
        gone = [zone for zone, opened_at in self._opened_at.items() if opened_at > since]
        reopened = dict.fromkeys(set(gone) - self.closed, 0.0)
        return ZoneUpdate(ClosedZones(at, self.closed), reopened)

    def mark_kept(self, now_s: float) -> None:
        """Every machine was well and had time to hear of and to keep what is closed now."""
        for closing in self.seen.closings:
            if closing.zone in self.closed and closing.kept_s is None:
                closing.kept_s = now_s


def runs_in_closed_zones(seen: SiteRecords) -> Iterable[str]:
    """Requests that reached a runner of a closed zone after the bound.

    Fronts that could not hear of the closing are judged only where all machines had kept it before.
    """
    fronts = {request.request_id: request.node for request in seen.requests}
    for closing in seen.closings:
        for run in seen.runs:
            if seen.zones_of[run.runner_id] != closing.zone:
                continue
            if not closing.closed_s + ZONE_CLOSE_S < run.arrived_s < closing.opened_s:
                continue
            was_kept = closing.kept_s is not None and closing.kept_s < run.arrived_s
            front = fronts[run.request_id]
            if was_kept or not seen.was_blind(front, closing.closed_s, run.arrived_s):
                late_s = run.arrived_s - closing.closed_s
                yield f"{run.request_id} reached {run.runner_id} {late_s:.1f} s after the closing"
