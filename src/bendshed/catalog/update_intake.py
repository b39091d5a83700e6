"""Applies the parts of an update that are newer: configuration, runners, closed zones."""

import math
from typing import Protocol

from bendshed.catalog.codec import DocumentDecodeError, decode_document
from bendshed.catalog.known_runners import EntryGaps
from bendshed.catalog.messages import CatalogUpdate, RunnerUpdate
from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.state import KnownRunner
from bendshed.catalog.times import CatalogTimes
from bendshed.logs import PartLog
from bendshed.model.service_document import ServiceDocument
from bendshed.placement.zones import ZoneUpdate

log = PartLog("catalog")


class CatalogSink(Protocol):
    """Receives updates of a node's configuration, runners and closed zones."""

    def apply_document(self, document: ServiceDocument) -> bool:
        """Apply a configuration; an older one changes nothing."""

    def put_runner(self, known: KnownRunner) -> None:
        """Apply one runner's state."""

    def remove_runner(self, runner_id: str, revision: int, last_resort_s: float) -> None:
        """Remove a runner that is no longer listed; for how long it stays a last resort."""

    def replace_runners(
        self, runners: list[KnownRunner], revision: int, last_resort_s: float
    ) -> None:
        """Replace the whole list of runners; for how long the missing ones are a last resort."""

    def apply_zones(self, update: ZoneUpdate) -> None:
        """Apply which zones are closed; an older update changes nothing."""

    def confirm_received(self, part: CatalogPart, age_s: float, runners_at: int) -> None:
        """Record that the registry confirmed a part that was received ``age_s`` ago."""

    def age_s(self, part: CatalogPart) -> float:
        """Time since the registry confirmed a part, as far as the node knows, in seconds."""


class UpdateIntake:
    """Tracks the revisions that a node knows; older parts of an update are ignored.

    Attributes:
        version: version of the configuration that the node knows.
        runners_at: revision up to which the node knows the runners.
        zones_at: revision up to which the node knows the closed zones.
        gaps: runners that a machine of an earlier build passed on, with less than this one reads.

    """

    def __init__(self, sink: CatalogSink, times: CatalogTimes) -> None:
        self.version = 0
        self.runners_at = 0
        self.zones_at = 0
        self.gaps = EntryGaps()
        self._sink = sink
        self._times = times

    @property
    def without_version(self) -> set[str]:
        """Ids of runners whose software version was not passed on."""
        return self.gaps.without_version

    def apply(self, update: CatalogUpdate) -> frozenset[CatalogPart]:
        """Apply what is newer; return the parts of which the machine knows no less than this node.

        Closed zones are applied before runners, so that no runner of a closed zone is usable in
        between.
        """
        self._apply_document(update)
        is_known = {
            CatalogPart.ZONES: self._apply_zones(update),
            CatalogPart.RUNNERS: self._apply_runners(update),
            CatalogPart.DOCUMENT: update.document_version >= self.version,
        }
        return frozenset(part for part, knows in is_known.items() if knows)

    def confirm(self, part: CatalogPart, age_s: float) -> None:
        """Record that the registry confirmed a part that the node knows ``age_s`` ago."""
        self._sink.confirm_received(part, age_s, self.runners_at)

    def is_older(self, part: CatalogPart, update: CatalogUpdate) -> bool:
        """Whether an update's part was confirmed earlier than what the node knows of it."""
        return update.age_s(part, self._times) > self._sink.age_s(part)

    def _apply_document(self, update: CatalogUpdate) -> None:
        if not update.document or update.document_version <= self.version:
            return
        try:
            document = decode_document(update.document)
        except DocumentDecodeError as error:
            log.say("configuration ignored: unreadable", reason=str(error))
            return
        if self._sink.apply_document(document):
            age_ms = self._age_ms(CatalogPart.DOCUMENT, update)
            log.say("configuration received", version=document.version, age_ms=age_ms)
        self.version = max(self.version, document.version)

    def _apply_zones(self, update: CatalogUpdate) -> bool:
        """Apply closed zones that are newer; ``False``: the machine does not know them.

        An update contains all closed zones. Hence a node that has a newer revision from another
        source knows all that the machine does, and the age of the machine's update applies to it.
        """
        zones_at = update.zones.zones.revision
        if zones_at > self.zones_at:
            self._sink.apply_zones(update.zones)
            self.zones_at = zones_at
        return zones_at > 0 or not self._times.follows_zones

    def _apply_runners(self, update: CatalogUpdate) -> bool:
        """Apply runners that are newer; ``False``: the machine knows less than this node."""
        changes = update.runners
        if changes is None or changes.revision < self.runners_at:
            return False
        if changes.since == 0:
            self.gaps.clear()
            self._remove_runners(changes)
            self._replace_runners(changes, update)
        elif changes.since == self.runners_at:
            for known in changes.runners:
                self._sink.put_runner(known)
            self._remove_runners(changes)
        else:
            return False
        for known in changes.runners:
            self.gaps.note(known)
        self.gaps.forget(row.runner_id for row in changes.removed)
        self.runners_at = changes.revision
        return True

    def _remove_runners(self, changes: RunnerUpdate) -> None:
        for removal in changes.removed:
            last_resort_s = removal.last_resort_s
            if last_resort_s is None:
                last_resort_s = self._times.default_last_resort_s
            self._sink.remove_runner(removal.runner_id, removal.revision, last_resort_s)

    def _replace_runners(self, changes: RunnerUpdate, update: CatalogUpdate) -> None:
        is_first = self.runners_at == 0
        is_fresh = update.age_s(CatalogPart.RUNNERS, self._times) < self._times.max_age_s
        last_resort_s = 0.0 if is_fresh else self._times.default_last_resort_s
        self._sink.replace_runners(list(changes.runners), changes.revision, last_resort_s)
        if is_first:
            age_ms = self._age_ms(CatalogPart.RUNNERS, update)
            log.say("first runner list received", at=changes.revision, age_ms=age_ms)

    def _age_ms(self, part: CatalogPart, update: CatalogUpdate) -> int | None:
        """Age for the log; ``None``: not confirmed since the machine started."""
        age_s = update.age_s(part, self._times)
        return int(age_s * 1000) if age_s < math.inf else None
